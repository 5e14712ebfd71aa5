//! Start, background tasks and shutdown of a host.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_connections::table::ConnectionTable;
use hawthorn_connections::table::EvictionCause;
use hawthorn_fleet::MemberTable;
use hawthorn_route::cold::claim::SlotClaim;
use hawthorn_route::confirmation::ConfirmationPlan;
use hawthorn_route::confirmation::KeyChange;
use hawthorn_route::confirmation::KeyChangeReport;
use hawthorn_route::confirmation::StoreConfirmation;
use hawthorn_route::customer::KeyRefusalCause;
use hawthorn_route::customer::RequestCustomer;
use hawthorn_route::mirror::StoreMirror;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::pace;
use hawthorn_route::pace::BulkPacer;
use hawthorn_route::packing::ValuePacker;
use hawthorn_route::refresh::RefreshOrder;
use hawthorn_route::revision::StoreRevision;
use hawthorn_route::send_deadline::LagMeter;
use hawthorn_route::shutdown::ShutdownSchedule;
use hawthorn_store::StoreClient;
use hawthorn_store::client;
use log::Level;
use quick_error::quick_error;
use strum::IntoEnumIterator;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::connection::evictions;
use crate::connection::listen;
use crate::connection::peer;
use crate::connection::peer::PeerEndpoint;
use crate::connection::peer::PeerLinks;
use crate::edge_event;
use crate::process::catalog;
use crate::process::clock::host_now;
use crate::process::cold;
use crate::process::events::EdgeEvent;
use crate::process::fleet;
use crate::process::fleet::GatherPeers;
use crate::process::loop_clock;
use crate::process::metrics::EdgeMetrics;
use crate::process::quarantine;
use crate::process::quarantine::QuarantineState;
use crate::process::quota;
use crate::process::quota::QuotaState;
use crate::process::reachability;
use crate::process::store_sync;
use crate::process::traffic::TrafficAccount;
use crate::process::traffic::TrafficPurpose;
use crate::process::zone_reports;
use crate::process::zone_reports::ZoneReportState;
use crate::request::commit::CommitTable;
use crate::request::dispatch;
use crate::request::dispatch::DispatchQueue;
use crate::request::rejection::RejectionLog;
use crate::request::remainder::RemainderTable;
use crate::settings::RouteSettings;
use crate::version::state::RoutingState;

/// Interval at which expired state is removed and gauges are updated.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Number of sweeps between two log lines on cross-zone traffic.
const TRAFFIC_SWEEPS: u32 = 10;
/// Number of sweeps between two checks of idle connections, each of which is one read.
const CONNECTION_SWEEPS: u32 = 10;
/// Minimum interval between two searches of the heap for free pages.
const TRIM_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a stopping process checks whether it is done.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

quick_error! {
    /// The reason why a host did not start, or exited.
    #[derive(Debug)]
    pub enum Error {
        /// A listening socket, a signal handler or the runtime could not be created.
        System(what: &'static str, source: std::io::Error) {
            display("{what}: {source}")
        }
        /// A background task ended although the process was not stopping.
        Task {
            display("a background task ended")
        }
        /// Metrics could not be set up.
        Metrics(source: hawthorn_metrics::Error) {
            display("{source}")
            from()
        }
    }
}

/// Why a customer's request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum KeyRefusal {
    /// The newest known configuration does not hold the key.
    Revoked,
    /// The configuration was not confirmed recently.
    Stale,
}

impl From<KeyRefusal> for RefusalReason {
    fn from(refusal: KeyRefusal) -> Self {
        match refusal {
            KeyRefusal::Revoked => Self::KeyRevoked,
            KeyRefusal::Stale => Self::StaleKeys,
        }
    }
}

impl KeyRefusal {
    /// The cause of the refusal of a request that had been admitted.
    pub(crate) fn before_sending(self) -> KeyRefusalCause {
        match self {
            Self::Revoked => KeyRefusalCause::RevokedBeforeSending,
            Self::Stale => KeyRefusalCause::StaleBeforeSending,
        }
    }
}

/// Peers that may confirm this host's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerGroup {
    /// The other hosts of this host's zone.
    OwnZone,
    /// The hosts of all other zones.
    OtherZones,
}

/// State with the lifetime of the process.
#[derive(Debug)]
pub struct RouteHost {
    /// Routes, targets, latencies and budgets.
    pub routing: RoutingState,
    /// Counters and histograms.
    pub metrics: EdgeMetrics,
    /// Membership of the fleet.
    pub members: RefCell<MemberTable>,
    /// The other hosts that gather.
    pub gather_peers: RefCell<GatherPeers>,
    /// Connections to other hosts.
    pub links: PeerLinks,
    /// Queries of peers that were replied to, and may be asked for more parts.
    pub(crate) remainders: RemainderTable,
    /// Queries of peers that have not committed to this host.
    pub(crate) commits: CommitTable,
    /// Bytes to and from other zones.
    pub traffic: TrafficAccount,
    /// This host's mirror of the store's items.
    pub mirror: RefCell<StoreMirror>,
    /// The quarantine of requests that crash targets.
    pub quarantine: QuarantineState,
    /// What the hosts of this zone report as unreachable.
    pub zone_reports: ZoneReportState,
    /// When this host learned that the store was restored, until all items count as written again.
    pub(crate) restored: Cell<Option<Duration>>,
    /// This host's claim on a slot for cold targets.
    pub(crate) cold_claim: RefCell<SlotClaim>,
    /// Slots and tokens for customers' quotas.
    pub(crate) quota: QuotaState,
    /// Packs large values for peers.
    pub(crate) packer: RefCell<ValuePacker>,
    /// Paces bulk messages on the host's link.
    bulk_pacer: RefCell<BulkPacer>,
    /// Notified when the mirror advances to a newer revision.
    pub mirror_advanced: Notify,
    /// Whether newer items are being fetched from a peer.
    pub catching_up: Cell<bool>,
    /// When the store last confirmed the mirror, possibly through other hosts.
    confirmation: RefCell<StoreConfirmation>,
    /// Reports when the keys of customers become stale and current.
    key_changes: RefCell<KeyChangeReport>,
    /// The peers that were asked for a confirmation, of this host's zone and of others.
    refresh_orders: [RefCell<RefreshOrder<SocketAddr>>; 2],
    /// When the next confirmation is expected, if it can be foreseen.
    next_confirmation: Cell<Option<Duration>>,
    /// Whether the store's items were read completely at least once.
    pub catalog_read: Cell<bool>,
    /// Cancelled at the stop signal: the readiness probe fails, and each answer closes its
    /// connection.
    pub stopping: CancellationToken,
    /// The schedule of the stop, once it has been signalled.
    pub(crate) shutdown: Cell<Option<ShutdownSchedule>>,
    /// Cancelled when idle connections are to be closed.
    pub closing: CancellationToken,
    /// Open connections of callers.
    pub callers: Arc<ConnectionTable>,
    /// Since when the readiness probe has failed because of unreachable zones.
    pub unready_since: Cell<Option<Duration>>,
    /// Scheduling delay of this host.
    pub lag: Rc<RefCell<LagMeter>>,
    /// Number of open requests.
    pub open_requests: Cell<usize>,
    /// Number of open requests above which requests are refused.
    pub(crate) max_open_requests: usize,
    /// Number of peers' queries whose shards this host gathers.
    pub(crate) peer_queries: Cell<usize>,
    /// Time between the stop signal and forced termination.
    pub grace: Cell<Duration>,
    /// Requests that wait for capacity.
    pub(crate) dispatch: DispatchQueue,
    /// Limits the log lines on rejected requests.
    pub(crate) rejection_log: RejectionLog,
    /// Number of requests since the start, used to number and sample log lines.
    pub request_count: Cell<u32>,
}

impl RouteHost {
    /// Creates a host that has read nothing from the store yet.
    ///
    /// # Errors
    /// When metrics cannot be set up.
    pub fn new(settings: RouteSettings) -> Result<Self, Error> {
        Ok(Self {
            members: RefCell::new(fleet::table(&settings)),
            gather_peers: RefCell::default(),
            links: PeerLinks::default(),
            remainders: RemainderTable::default(),
            commits: CommitTable::default(),
            cold_claim: RefCell::new(SlotClaim::new(host_now())),
            quota: QuotaState::new(&settings),
            traffic: TrafficAccount::new(&settings.host.zone),
            mirror: RefCell::default(),
            restored: Cell::new(None),
            quarantine: QuarantineState::default(),
            zone_reports: ZoneReportState::default(),
            packer: RefCell::default(),
            bulk_pacer: RefCell::default(),
            mirror_advanced: Notify::new(),
            catching_up: Cell::new(false),
            confirmation: RefCell::default(),
            key_changes: RefCell::new(KeyChangeReport::new(host_now())),
            refresh_orders: Default::default(),
            next_confirmation: Cell::new(None),
            metrics: EdgeMetrics::new()?,
            catalog_read: Cell::new(false),
            stopping: CancellationToken::new(),
            shutdown: Cell::new(None),
            closing: CancellationToken::new(),
            callers: ConnectionTable::new(
                settings.host.caller_connections(),
                evictions::logger("callers"),
            ),
            unready_since: Cell::new(None),
            lag: Rc::default(),
            open_requests: Cell::new(0),
            max_open_requests: settings.host.max_open_requests(),
            peer_queries: Cell::new(0),
            grace: Cell::new(settings.stop.grace),
            dispatch: DispatchQueue::default(),
            rejection_log: RejectionLog::default(),
            request_count: Cell::new(0),
            routing: RoutingState::new(settings),
        })
    }

    /// Whether the host accepts callers: it has routes and targets, its zones are reachable, it may
    /// serve requests with keys if there are customers, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let has_catalog = self.catalog_read.get() && self.routing.table().is_some();
        let can_serve = !self.routing.unready.get() && !self.routing.may_be_unready.get();
        let can_serve = can_serve && !self.zone_reports.is_unready();
        let can_serve = can_serve && (self.keys_current() || !self.routing.has_customers());
        has_catalog && can_serve && !self.stopping.is_cancelled()
    }

    /// Records that the store had no revision above `revision` at `at`.
    pub fn confirm(&self, revision: StoreRevision, at: Duration) {
        let as_of = self.mirror.borrow().as_of();
        self.confirmation.borrow_mut().record(revision, at, as_of);
        self.report_key_change();
    }

    /// Confirms the mirror as of the confirmations that waited for its present revision.
    pub fn confirm_reached(&self) {
        let as_of = self.mirror.borrow().as_of();
        self.confirmation.borrow_mut().advance(as_of);
        self.report_key_change();
    }

    /// The order in which peers are asked for a confirmation.
    pub(crate) fn refresh_order(&self, peers: PeerGroup) -> &RefCell<RefreshOrder<SocketAddr>> {
        &self.refresh_orders[peers as usize]
    }

    /// Records when the next confirmation is expected.
    pub(crate) fn expect_confirmation(&self, at: Duration) {
        self.next_confirmation.set(Some(at));
    }

    /// When the next confirmation is expected; may have passed.
    pub(crate) fn next_confirmation(&self) -> Option<Duration> {
        self.next_confirmation.get()
    }

    /// Logs if the keys have become stale or current since the last call.
    pub(crate) fn report_key_change(&self) {
        let plan = self.confirmation_plan();
        let (confirmed, now) = (self.confirmed_at(), host_now());
        let Some(change) = self.key_changes.borrow_mut().observe(&plan, confirmed, now) else {
            return;
        };
        let (level, event) = match change {
            KeyChange::Stale => (Level::Warn, EdgeEvent::KeysStale),
            KeyChange::Current => (Level::Info, EdgeEvent::KeysCurrent),
        };
        let age_ms = confirmed.map_or(-1, |at| now.saturating_sub(at).as_millis() as i64);
        let limit_ms = plan.max_key_age.map_or(0, |limit| limit.as_millis());
        edge_event!(level, event, "age_ms={age_ms} limit_ms={limit_ms}");
    }

    /// The time as of which the store confirmed the mirror; `None` if it never did.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmation.borrow().confirmed_at()
    }

    /// How long ago the store confirmed the mirror; `None` if it never did.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.confirmed_at().map(|at| host_now().saturating_sub(at))
    }

    /// Whether the configuration was confirmed recently enough for requests with keys.
    pub fn keys_current(&self) -> bool {
        self.confirmation_plan().is_current(self.confirmed_age())
    }

    /// How this host has its mirror confirmed.
    pub(crate) fn confirmation_plan(&self) -> ConfirmationPlan {
        let revocation = self.routing.settings.revocation;
        ConfirmationPlan::new(revocation.map(|revocation| revocation.within))
    }

    /// Whether the mirror should be confirmed without waiting for a change.
    pub(crate) fn needs_refresh(&self) -> bool {
        self.confirmation_plan().needs_refresh(self.confirmed_age())
    }

    /// Why a request of a customer may not be sent to a target now; `None` if it may.
    pub(crate) fn key_refusal(&self, customer: &RequestCustomer) -> Option<KeyRefusal> {
        if !self.routing.holds_key(customer) {
            return Some(KeyRefusal::Revoked);
        }
        let refusal = (!self.keys_current()).then_some(KeyRefusal::Stale);
        if refusal.is_some() {
            self.report_key_change();
        }
        refusal
    }

    /// The endpoint of a peer for one purpose.
    pub(crate) fn peer_endpoint(
        &self,
        address: SocketAddr,
        purpose: TrafficPurpose,
    ) -> PeerEndpoint {
        let members = self.members.borrow();
        let zone = members.zone_of_peer(address).unwrap_or_default();
        PeerEndpoint { address, purpose, counter: self.traffic.counter(purpose, zone) }
    }

    /// Reserves link capacity for a bulk message. Returns the delay before it may be sent, or
    /// `None` if the link has no capacity for it.
    pub(crate) fn reserve_bulk(&self, now: Duration, bytes: usize) -> Option<Duration> {
        let Some(mbps) = self.routing.settings.host.link_mbps else { return Some(Duration::ZERO) };
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

/// Serves until SIGTERM or SIGINT, then finishes open requests.
///
/// # Errors
/// When an address cannot be listened on, or the system refuses something else.
pub fn run(
    settings: RouteSettings,
    reload: impl Fn() -> Option<RouteSettings> + 'static,
) -> Result<(), Error> {
    loop_clock::record_start();
    // Before the first large block is freed.
    let _kept_by_other_libraries = hawthorn_malloc::unmap_large_blocks();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(loop_clock::record_park)
        .on_thread_unpark(loop_clock::record_unpark)
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
    let listen = host.routing.settings.listen.clone();
    let mut terms =
        signal(SignalKind::terminate()).map_err(|source| Error::System("SIGTERM", source))?;
    let mut interrupts =
        signal(SignalKind::interrupt()).map_err(|source| Error::System("SIGINT", source))?;
    let mut hangups =
        signal(SignalKind::hangup()).map_err(|source| Error::System("SIGHUP", source))?;
    let bind = async |address| {
        TcpListener::bind(address).await.map_err(|source| Error::System("listen", source))
    };
    let callers =
        listen::bind_callers(listen.callers).map_err(|source| Error::System("listen", source))?;
    let ready = bind(listen.ready).await?;
    let peers = bind(listen.peers).await?;
    let heartbeats = UdpSocket::bind(listen.peers)
        .await
        .map_err(|source| Error::System("heartbeats", source))?;
    // The process exits, and is restarted, when a background task ends because of a bug: the host
    // would otherwise continue with state that is no longer updated.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(listen::callers(Rc::clone(&host), callers));
    tasks.spawn_local(listen::pages(Rc::clone(&host), "ready", ready));
    // The host serves without the metrics page if its port is already in use on this machine, as
    // requests do not depend on metrics.
    match bind(listen.metrics).await {
        Ok(metrics_listener) => {
            tasks.spawn_local(listen::pages(Rc::clone(&host), "metrics", metrics_listener));
        }
        Err(error) => {
            edge_event!(Level::Error, EdgeEvent::DutyFailed, "duty=metrics error=\"{error}\"");
        }
    }
    tasks.spawn_local(peer::serve(Rc::clone(&host), peers));
    tasks.spawn_local(fleet::run(Rc::clone(&host), heartbeats));
    let client = {
        let source = Some(listen.callers.ip());
        let options = client::Options { source, ..client::Options::default() };
        StoreClient::new(host.routing.settings.store.address, options)
    };
    host.metrics.observe_store_calls(client.clone());
    tasks.spawn_local(quarantine::save_refused(Rc::clone(&host), client.clone()));
    tasks.spawn_local(catalog::apply_pending(Rc::clone(&host)));
    tasks.spawn_local(cold::claim_slots(Rc::clone(&host), client.clone()));
    tasks.spawn_local(quota::claim_slots(Rc::clone(&host), client.clone()));
    tasks.spawn_local(store_sync::follow(Rc::clone(&host), client));
    tasks.spawn_local(dispatch::run(Rc::clone(&host)));
    tasks.spawn_local(sweep(Rc::clone(&host)));
    tasks.spawn_local(trim_memory(Rc::clone(&host)));
    tasks.spawn_local(reachability::watch(Rc::clone(&host)));
    tasks.spawn_local(zone_reports::update_after_probes(Rc::clone(&host)));
    tasks.spawn_local(loop_clock::check_reads());
    let policy = host.routing.policy.get().summary();
    let name = &host.routing.settings.host.name;
    let zone = &host.routing.settings.host.zone;
    // Lets readers align the logs of several hosts; not used for decisions.
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
                // Rejected settings leave the previous ones in use.
                if let Some(settings) = reload() {
                    host.routing.budget.set(settings.budget);
                    host.routing.policy.set(settings.policy);
                    host.routing.table_installed.notify_one();
                    host.grace.set(settings.stop.grace);
                }
            }
            Some(ended) = tasks.join_next() => {
                edge_event!(Level::Error, EdgeEvent::DutyFailed, "ended=\"{ended:?}\"");
                return Err(Error::Task);
            }
        }
    }
    stop(&host).await;
    Ok(())
}

/// Returns memory to the system after requests with large heads or bodies have ended.
async fn trim_memory(host: Rc<RouteHost>) {
    loop {
        host.callers.released().await;
        hawthorn_malloc::trim();
        sleep(TRIM_INTERVAL).await;
    }
}

/// Removes targets that have left, and updates the gauges.
async fn sweep(host: Rc<RouteHost>) {
    let mut ready = false;
    let mut tick: u32 = 0;
    loop {
        host.routing.sweep(host_now());
        host.report_key_change();
        quarantine::sweep(&host);
        catalog::sweep(&host);
        if host.is_ready() != ready {
            ready = host.is_ready();
            if ready {
                let version = host.routing.table().map_or(0, |table| table.version());
                edge_event!(Level::Info, EdgeEvent::HostReady, "version={version}");
            }
        }
        if let Some(age) = host.confirmed_age() {
            host.metrics.set_gauge("catalog-age-ms", age.as_millis() as u64);
            if host.routing.settings.revocation.is_some() {
                host.metrics.set_gauge("keys-age-ms", age.as_millis() as u64);
            }
        }
        host.metrics.set_gauge("hosts", host.routing.hosts.get() as u64);
        let (open, window) =
            host.routing.admission.borrow().state(&host.routing.policy.get().admission);
        host.metrics.set_gauge("queries", u64::from(open));
        host.metrics.set_gauge("query-window", window as u64);
        host.metrics.set_gauge("open-requests", host.open_requests.get() as u64);
        host.callers.relieve();
        host.metrics.set_gauge("connections", host.callers.count() as u64);
        host.metrics.set_gauge("callers-held-bytes", host.callers.held() as u64);
        for cause in EvictionCause::iter() {
            host.metrics.count_evictions(cause, host.callers.take_evictions(cause));
        }
        host.metrics.set_gauge("version", host.routing.table().map_or(0, |table| table.version()));
        let customers = host.routing.table().map_or(0, |table| table.customers().iter().count());
        host.metrics.set_gauge("customers", customers as u64);
        host.metrics.set_gauge("targets", host.routing.registry.borrow().iter().count() as u64);
        let evacuated = host.routing.registry.borrow().evacuations().iter().count();
        host.metrics.set_gauge("evacuated-zones", evacuated as u64);
        dispatch::report(&host);
        host.metrics.export_traffic(&host.traffic);
        if tick.is_multiple_of(TRAFFIC_SWEEPS) {
            log_traffic(&host.traffic);
        }
        if tick.is_multiple_of(CONNECTION_SWEEPS) {
            host.routing.sweep_connections();
        }
        tick = tick.wrapping_add(1);
        sleep(SWEEP_PERIOD).await;
    }
}

/// Logs the bytes to and from other zones since the start.
fn log_traffic(account: &TrafficAccount) {
    let totals = account.totals();
    let bytes = |purpose| totals.get(&purpose).copied().unwrap_or_default();
    edge_event!(
        Level::Info,
        EdgeEvent::ZoneTraffic,
        "targets={} gathering={} catalog={} membership={} quota={}",
        bytes(TrafficPurpose::Targets),
        bytes(TrafficPurpose::Gathering),
        bytes(TrafficPurpose::Catalog),
        bytes(TrafficPurpose::Membership),
        bytes(TrafficPurpose::Quota)
    );
}

/// Finishes open requests and closes connections.
///
/// Requests would be cut off if the process exited first, or if a connection were closed while a
/// request is on its way. So the host first fails its readiness probe, serves until the balancer
/// has reacted, closes each connection with an answer that announces it, and closes idle
/// connections only when callers have had most of the grace period to do so themselves.
async fn stop(host: &Rc<RouteHost>) {
    let schedule = ShutdownSchedule::new(host_now(), host.grace.get());
    host.shutdown.set(Some(schedule));
    host.stopping.cancel();
    let open = host.open_requests.get();
    let connections = host.callers.count();
    edge_event!(Level::Info, EdgeEvent::HostStopping, "open={open} connections={connections}");
    let mut was_idle = false;
    loop {
        let now = host_now();
        let idle = host.callers.count() == 0 && host.peer_queries.get() == 0;
        // The reply to a peer is written after its query has ended.
        let replied = idle && was_idle;
        if (now >= schedule.drained_at() && replied) || now >= schedule.exit_at() {
            break;
        }
        was_idle = idle;
        if now >= schedule.idle_close_at() {
            host.closing.cancel();
        }
        sleep(STOP_POLL_INTERVAL).await;
    }
    let cut = host.open_requests.get();
    let level = if cut == 0 { Level::Info } else { Level::Error };
    let millis = host_now().saturating_sub(schedule.started()).as_millis();
    edge_event!(level, EdgeEvent::HostStopped, "cut={cut} ms={millis}");
}
