//! A host from start to stop.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_fleet::MemberTable;
use hawthorn_route::cold::claim::SlotClaim;
use hawthorn_route::mirror::StoreMirror;
use hawthorn_route::pace;
use hawthorn_route::pace::BulkPacer;
use hawthorn_route::send_deadline::LagMeter;
use hawthorn_store::StoreClient;
use hawthorn_store::client;
use log::Level;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::connection::listen;
use crate::connection::peer;
use crate::connection::peer::PeerLinks;
use crate::connection::peer::PeerRoute;
use crate::edge_event;
use crate::process::catalog;
use crate::process::clock::host_now;
use crate::process::cold;
use crate::process::events::EdgeEvent;
use crate::process::feed;
use crate::process::fleet;
use crate::process::fleet::GatherPeers;
use crate::process::metrics::EdgeMetrics;
use crate::process::quarantine;
use crate::process::quarantine::QuarantineState;
use crate::process::reach;
use crate::process::traffic::TrafficAccount;
use crate::process::traffic::TrafficPurpose;
use crate::process::turns;
use crate::request::remainder::RemainderTable;
use crate::settings::RouteSettings;
use crate::version::beliefs::Beliefs;

/// After the order to stop, callers go on coming for so long: the balancer asks
/// once a second and takes a host out after two answers without success.
const BALANCER_TIME: Duration = Duration::from_millis(2600);
/// Part of the grace after which idle connections are closed. Their callers
/// have had the rest of it to end them with the answer that says so.
const IDLE_CLOSE_SHARE: f64 = 0.75;
/// Part of the grace after which the process ends with requests still open.
const FORCED_END_SHARE: f64 = 0.96;
/// How often the beliefs are swept and the gauges are set.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Sweeps between two lines on the bytes between zones.
const TRAFFIC_SWEEPS: u32 = 10;
/// How often a process that stops looks whether it is done.
const STOP_LOOK: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a host did not start, or ended.
    #[derive(Debug)]
    pub enum Error {
        /// A listening socket, a signal handler or the runtime was refused.
        System(what: &'static str, source: std::io::Error) {
            display("{what}: {source}")
        }
        /// A duty ended although the process was not stopping.
        Duty {
            display("a duty ended")
        }
        /// Metrics could not be set up.
        Metrics(source: hawthorn_metrics::Error) {
            display("{source}")
            from()
        }
    }
}

/// Everything that lives as long as the process.
#[derive(Debug)]
pub struct RouteHost {
    /// What this host believes.
    pub beliefs: Beliefs,
    /// Counters and histograms.
    pub metrics: EdgeMetrics,
    /// Which other hosts live.
    pub members: RefCell<MemberTable>,
    /// Those of them that gather.
    pub gather_peers: RefCell<GatherPeers>,
    /// Connections to them.
    pub links: PeerLinks,
    /// Queries of peers that were replied to, and may be asked for more.
    pub(crate) remainders: RemainderTable,
    /// Bytes to and from other zones.
    pub traffic: TrafficAccount,
    /// The store's items as this host knows them.
    pub mirror: RefCell<StoreMirror>,
    /// The quarantine of requests that crash targets.
    pub quarantine: QuarantineState,
    /// This host's claim on a slot for cold targets.
    pub(crate) cold_claim: RefCell<SlotClaim>,
    /// Spaces bulk messages on the host's link.
    bulk_pacer: RefCell<BulkPacer>,
    /// Told when the mirror reaches further than before.
    pub news: Notify,
    /// A peer that knows more is being asked.
    pub catching_up: Cell<bool>,
    /// When the store last confirmed the mirror, perhaps through others.
    confirmed: Cell<Option<Duration>>,
    /// Entries of targets were read whole at least once.
    pub catalog_read: Cell<bool>,
    /// The order to stop came: no new callers, and answers end their connections.
    pub stopping: CancellationToken,
    /// Idle connections are closed from now on.
    pub closing: CancellationToken,
    /// Callers' connections that are open.
    pub connections: Cell<usize>,
    /// Since when the balancer is told that others serve its callers better.
    pub aside_since: Cell<Option<Duration>>,
    /// How late this host does what is due.
    pub lag: Rc<RefCell<LagMeter>>,
    /// Requests that are not answered yet.
    pub open_requests: Cell<usize>,
    /// Time between the order to stop and the end by force.
    pub grace: Cell<Duration>,
    /// Bytes of callers' bodies that are held.
    pub body_bytes: Cell<usize>,
    /// Requests since the start, to number and sample log lines.
    pub request_count: Cell<u32>,
}

impl RouteHost {
    /// A host that knows nothing yet.
    ///
    /// # Errors
    /// When metrics cannot be set up.
    pub fn new(settings: RouteSettings) -> Result<Self, Error> {
        Ok(Self {
            members: RefCell::new(fleet::table(&settings)),
            gather_peers: RefCell::default(),
            links: PeerLinks::default(),
            remainders: RemainderTable::default(),
            cold_claim: RefCell::new(SlotClaim::new(host_now())),
            traffic: TrafficAccount::new(&settings.host.zone),
            mirror: RefCell::default(),
            quarantine: QuarantineState::default(),
            bulk_pacer: RefCell::default(),
            news: Notify::new(),
            catching_up: Cell::new(false),
            confirmed: Cell::new(None),
            metrics: EdgeMetrics::new()?,
            catalog_read: Cell::new(false),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            connections: Cell::new(0),
            aside_since: Cell::new(None),
            lag: Rc::default(),
            open_requests: Cell::new(0),
            grace: Cell::new(settings.stop.grace),
            body_bytes: Cell::new(0),
            request_count: Cell::new(0),
            beliefs: Beliefs::new(settings),
        })
    }

    /// The host takes callers: it knows routes and targets and is not stopping.
    pub fn is_ready(&self) -> bool {
        let knows = self.catalog_read.get() && self.beliefs.table().is_some();
        let serves = !self.beliefs.stranded.get() && !self.beliefs.doubtful.get();
        knows && serves && !self.stopping.is_cancelled()
    }

    /// The store confirmed the mirror at that time.
    pub fn confirm(&self, at: Duration) {
        self.confirmed.set(self.confirmed.get().max(Some(at)));
    }

    /// How long ago the store confirmed the mirror; `None` if it never did.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.confirmed.get().map(|at| host_now().saturating_sub(at))
    }

    /// The way to a peer for one purpose.
    pub(crate) fn peer_route(&self, address: SocketAddr, purpose: TrafficPurpose) -> PeerRoute {
        let members = self.members.borrow();
        let zone = members.zone_of_peer(address).unwrap_or_default();
        PeerRoute { address, purpose, counter: self.traffic.counter(purpose, zone) }
    }

    /// How long to wait before sending a peer so many bytes, which count as sent;
    /// `None` while the link has no room for them.
    pub(crate) fn reserve_bulk(&self, now: Duration, bytes: usize) -> Option<Duration> {
        let Some(mbps) = self.beliefs.settings.host.link_mbps else { return Some(Duration::ZERO) };
        let options = pace::Options::for_link(mbps * BYTES_PER_MEGABIT);
        self.bulk_pacer.borrow_mut().reserve(now, bytes, &options)
    }

    /// Counts a request and returns its number.
    pub fn next_request(&self) -> u32 {
        let number = self.request_count.get();
        self.request_count.set(number.wrapping_add(1));
        number
    }
}

/// Serves until SIGTERM, then finishes what is open.
///
/// # Errors
/// When an address cannot be listened on, or the system refuses something else.
pub fn run(
    settings: RouteSettings,
    reload: impl Fn() -> Option<RouteSettings> + 'static,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(turns::note_park)
        .on_thread_unpark(turns::note_unpark)
        .build()
        .map_err(|source| Error::System("runtime", source))?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, serve(settings, reload));
    runtime.shutdown_background();
    outcome
}

async fn serve(
    settings: RouteSettings,
    reload: impl Fn() -> Option<RouteSettings> + 'static,
) -> Result<(), Error> {
    let host = Rc::new(RouteHost::new(settings)?);
    let listen = host.beliefs.settings.listen.clone();
    let mut terms =
        signal(SignalKind::terminate()).map_err(|source| Error::System("SIGTERM", source))?;
    let mut interrupts =
        signal(SignalKind::interrupt()).map_err(|source| Error::System("SIGINT", source))?;
    let mut hangups =
        signal(SignalKind::hangup()).map_err(|source| Error::System("SIGHUP", source))?;
    let bind = async |address| {
        TcpListener::bind(address).await.map_err(|source| Error::System("listen", source))
    };
    let callers = bind(listen.callers).await?;
    let ready = bind(listen.ready).await?;
    let peers = bind(listen.peers).await?;
    let heartbeats = UdpSocket::bind(listen.peers)
        .await
        .map_err(|source| Error::System("heartbeats", source))?;
    // Failure: a duty ends, by a fault of ours, and the host goes on with beliefs
    // that nobody renews. It ends instead, and is started again.
    let mut duties = JoinSet::new();
    duties.spawn_local(listen::callers(Rc::clone(&host), callers));
    duties.spawn_local(listen::pages(Rc::clone(&host), ready));
    // Failure: the port of the metrics is another's on this machine. A host that
    // nobody can measure is better than none.
    match bind(listen.metrics).await {
        Ok(figures) => {
            duties.spawn_local(listen::pages(Rc::clone(&host), figures));
        }
        Err(error) => {
            edge_event!(Level::Error, EdgeEvent::DutyFailed, "duty=metrics error=\"{error}\"");
        }
    }
    duties.spawn_local(peer::serve(Rc::clone(&host), peers));
    duties.spawn_local(fleet::run(Rc::clone(&host), heartbeats));
    let client = {
        let source = Some(listen.callers.ip());
        let options = client::Options { source, ..client::Options::default() };
        StoreClient::new(host.beliefs.settings.store.address, options)
    };
    host.metrics.show_calls(client.clone());
    duties.spawn_local(quarantine::save_refused(Rc::clone(&host), client.clone()));
    duties.spawn_local(catalog::apply_held(Rc::clone(&host)));
    duties.spawn_local(cold::claim_slots(Rc::clone(&host), client.clone()));
    duties.spawn_local(feed::follow(Rc::clone(&host), client));
    duties.spawn_local(sweep(Rc::clone(&host)));
    duties.spawn_local(reach::watch(Rc::clone(&host)));
    let policy = host.beliefs.policy.get().summary();
    let name = &host.beliefs.settings.host.name;
    let zone = &host.beliefs.settings.host.zone;
    // For those who read lines of several hosts; nothing is decided by it.
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    edge_event!(
        Level::Info,
        EdgeEvent::HostStarted,
        "host={name} zone={zone} unix_ms={unix_ms} policy={policy}"
    );
    loop {
        tokio::select! {
            _ = terms.recv() => break,
            _ = interrupts.recv() => break,
            _ = hangups.recv() => {
                // Settings that are not accepted leave those before in force.
                if let Some(settings) = reload() {
                    host.beliefs.budget.set(settings.budget);
                    host.beliefs.policy.set(settings.policy);
                    host.grace.set(settings.stop.grace);
                }
            }
            Some(ended) = duties.join_next() => {
                edge_event!(Level::Error, EdgeEvent::DutyFailed, "ended=\"{ended:?}\"");
                return Err(Error::Duty);
            }
        }
    }
    stop(&host).await;
    Ok(())
}

/// Forgets targets that left, and sets the gauges.
async fn sweep(host: Rc<RouteHost>) {
    let mut ready = false;
    let mut tick: u32 = 0;
    loop {
        host.beliefs.sweep(host_now());
        quarantine::sweep(&host);
        if host.is_ready() != ready {
            ready = host.is_ready();
            if ready {
                let version = host.beliefs.table().map_or(0, |table| table.version());
                edge_event!(Level::Info, EdgeEvent::HostReady, "version={version}");
            }
        }
        if let Some(age) = host.confirmed_age() {
            host.metrics.show("catalog-age-ms", age.as_millis() as u64);
        }
        host.metrics.show("hosts", host.beliefs.hosts.get() as u64);
        let (open, window) = host.beliefs.door.borrow().state(&host.beliefs.policy.get().admission);
        host.metrics.show("queries", u64::from(open));
        host.metrics.show("query-window", window as u64);
        host.metrics.show("open-requests", host.open_requests.get() as u64);
        host.metrics.show("connections", host.connections.get() as u64);
        host.metrics.show("version", host.beliefs.table().map_or(0, |table| table.version()));
        host.metrics.show("targets", host.beliefs.registry.borrow().iter().count() as u64);
        let evacuated = host.beliefs.registry.borrow().evacuations().iter().count();
        host.metrics.show("evacuated-zones", evacuated as u64);
        host.metrics.show_traffic(&host.traffic);
        if tick.is_multiple_of(TRAFFIC_SWEEPS) {
            note_traffic(&host.traffic);
        }
        tick = tick.wrapping_add(1);
        sleep(SWEEP_PERIOD).await;
    }
}

/// Writes the bytes to and from other zones since the start.
fn note_traffic(account: &TrafficAccount) {
    let totals = account.totals();
    let bytes = |purpose| totals.get(&purpose).copied().unwrap_or_default();
    edge_event!(
        Level::Info,
        EdgeEvent::ZoneTraffic,
        "targets={} gathering={} catalog={} membership={}",
        bytes(TrafficPurpose::Targets),
        bytes(TrafficPurpose::Gathering),
        bytes(TrafficPurpose::Catalog),
        bytes(TrafficPurpose::Membership)
    );
}

/// Finishes what is open.
///
/// Failure: a stop cuts requests off, either because the process ends first or
/// because a connection is closed as a request crosses the close. So the host
/// says that it is not ready, goes on serving until the balancer has noticed,
/// ends each connection with an answer that says so, and closes the idle ones
/// only when their callers have had most of the grace to do it themselves.
async fn stop(host: &Rc<RouteHost>) {
    host.stopping.cancel();
    let open = host.open_requests.get();
    let connections = host.connections.get();
    edge_event!(Level::Info, EdgeEvent::HostStopping, "open={open} connections={connections}");
    let grace = host.grace.get();
    let started = host_now();
    let passed = || host_now().saturating_sub(started);
    loop {
        let idle = host.connections.get() == 0;
        if passed() >= BALANCER_TIME && idle {
            break;
        }
        if passed() >= grace.mul_f64(IDLE_CLOSE_SHARE) {
            host.closing.cancel();
        }
        if passed() >= grace.mul_f64(FORCED_END_SHARE) {
            break;
        }
        sleep(STOP_LOOK).await;
    }
    let cut = host.open_requests.get();
    let level = if cut == 0 { Level::Info } else { Level::Error };
    let millis = passed().as_millis();
    edge_event!(level, EdgeEvent::HostStopped, "cut={cut} ms={millis}");
}
