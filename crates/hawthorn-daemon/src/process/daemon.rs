//! The process: starts a thread for each duty, joins them by bounded rings, and
//! stops them in an order that cuts off no request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use hawthorn_fleet::MemberPlace;
use hawthorn_intent::DaemonSettings;
use hawthorn_store::ClaimKeeper;
use hawthorn_store::StoreClient;
use hawthorn_store::claim::ProcessSeed;
use log::Level;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::connection::peer::PeerLinks;
use crate::connection::serve;
use crate::connection::serve::ClosingGate;
use crate::connection::serve::PeerServer;
use crate::owner;
use crate::owner::OwnerHandle;
use crate::process::events::LogEvent;
use crate::process::fleet;
use crate::process::fleet::FleetHandle;
use crate::process::logs;
use crate::process::metrics::MetricSet;
use crate::process::options;
use crate::process::reconcile;
use crate::process::reconcile::DriftSnapshot;
use crate::process::refresh;
use crate::process::sample;
use crate::process::store;
use crate::process::sweep;
use crate::request::api;
use crate::request::front::FrontContext;
use crate::request::front::FrontParts;
use crate::version::views::ViewTable;

/// Calls to the store that may wait, at the most: the fleet's duty has one out.
const STORE_RING: usize = 4;

/// How often the balancer looks at readiness, about: a stop waits so long
/// before it closes the listener, so that nothing new is on its way.
const BALANCER_NOTICE: Duration = Duration::from_secs(1);

/// After goodbye, datagrams and hand-over answers need so long to get out.
const GOODBYE_TIME: Duration = Duration::from_millis(100);

/// Tries to find a port that is free for TCP and UDP, when the settings leave it open.
const PORT_TRIES: u32 = 16;

quick_error! {
    /// Why the process could not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be listened on.
        Listen(what: &'static str, address: SocketAddr, text: String) {
            display("{what}: cannot listen on {address}: {text}")
        }
        /// A thread or runtime could not be started.
        Thread(source: std::io::Error) {
            display("a thread could not be started: {source}")
            from()
        }
        /// Metrics could not be set up.
        Metrics(source: hawthorn_metrics::Error) {
            display("{source}")
            from()
        }
        /// The interface's description is broken.
        Api(text: String) {
            display("the callers' interface is broken: {text}")
        }
    }
}

/// The life of the process, as a type: what is not yet served cannot be stopped,
/// and what is stopped cannot be served.
pub trait ProcessState {}

/// Requests are served.
pub struct Serving {
    http: HttpServer<Arc<FrontContext>>,
}

/// Nothing new is taken; what is in flight is finished.
pub struct Draining {
    http: HttpServer<Arc<FrontContext>>,
}

impl ProcessState for Serving {}
impl ProcessState for Draining {}

/// One running daemon.
pub struct DaemonProcess<S: ProcessState> {
    state: S,
    settings: DaemonSettings,
    front: Arc<FrontContext>,
    owner: OwnerHandle,
    fleet: FleetHandle,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    closing: ClosingGate,
    stop: CancellationToken,
    runtime: Runtime,
}

/// The duties of one process, before its front exists.
struct DutySet {
    owner: OwnerHandle,
    fleet: FleetHandle,
    links: Arc<PeerLinks>,
    views: Arc<ViewTable>,
    drift: watch::Receiver<Arc<DriftSnapshot>>,
    peer_address: SocketAddr,
}

/// Starts a daemon: all threads run when this returns, and callers can connect.
/// It is ready once it knows its configuration to be current.
///
/// # Errors
/// When an address cannot be listened on or a thread cannot be started.
pub fn start(settings: DaemonSettings) -> Result<DaemonProcess<Serving>, Error> {
    crate::log_event!(Level::Info, LogEvent::Starting, "host {}", settings.host);
    let stop = CancellationToken::new();
    let runtime = Builder::new_multi_thread()
        .worker_threads(options::front_threads())
        .thread_name("front")
        .enable_all()
        .build()?;
    let metrics = MetricSet::new()?;
    let duties = start_duties(&settings, &runtime, &metrics, &stop)?;
    let _inside = runtime.enter();
    let claims = StoreClient::new(settings.platform, options::store_client());
    let keeper = ClaimKeeper::spawn(
        Arc::new(claims.clone()),
        ProcessSeed(rand::random()),
        &stop,
        options::claims(&settings),
    );
    let front = Arc::new(FrontContext::new(FrontParts {
        options: options::front(&settings),
        zone: settings.zone.clone(),
        host: settings.host.clone(),
        fleet: duties.fleet.clone(),
        owner: duties.owner.clone(),
        links: duties.links,
        views: duties.views,
        drift: duties.drift,
        keeper,
        metrics,
    }));
    let closing = ClosingGate::default();
    let server = PeerServer {
        owner: duties.owner.clone(),
        fleet: duties.fleet.clone(),
        closing: closing.clone(),
    };
    runtime
        .block_on(serve::start(duties.peer_address, server, stop.clone()))
        .map_err(|error| listen_error("peer_address", duties.peer_address, &error))?;
    let http = serve_callers(&settings, &front)?;
    let caller_address = http.local_addr();
    runtime.spawn(refresh::run(Arc::clone(&front), stop.clone()));
    runtime.spawn(sample::run(Arc::clone(&front), stop.clone()));
    runtime.spawn(sweep::run(claims, options::claims(&settings), Arc::clone(&front), stop.clone()));
    let peer = duties.peer_address;
    crate::log_event!(Level::Info, LogEvent::Listening, "callers {caller_address}, peers {peer}");
    Ok(DaemonProcess {
        state: Serving { http },
        settings,
        front,
        owner: duties.owner,
        fleet: duties.fleet,
        caller_address,
        peer_address: peer,
        closing,
        stop,
        runtime,
    })
}

fn listen_error(what: &'static str, address: SocketAddr, error: &dyn std::fmt::Display) -> Error {
    Error::Listen(what, address, error.to_string())
}

fn serve_callers(
    settings: &DaemonSettings,
    front: &Arc<FrontContext>,
) -> Result<HttpServer<Arc<FrontContext>>, Error> {
    let api = api::describe().map_err(|error| Error::Api(error.to_string()))?;
    let config = ConfigDropshot {
        bind_address: settings.caller_address,
        // Our own limit speaks, with a typed reason; a frame that passes it is
        // dropped as soon as it is seen.
        default_request_body_max_bytes: usize::MAX,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(front), logs::slog_bridge())
        .config(config)
        .start()
        .map_err(|error| listen_error("caller_address", settings.caller_address, &error))
}

fn start_duties(
    settings: &DaemonSettings,
    runtime: &Runtime,
    metrics: &MetricSet,
    stop: &CancellationToken,
) -> Result<DutySet, Error> {
    let (peer_address, socket) = runtime.block_on(bind_peer(settings.peer_address))?;
    let links = Arc::new(PeerLinks::new(peer_address.ip()));
    let (store_calls, calls) = mpsc::channel(STORE_RING);
    let (busy_sender, busy) = watch::channel(Arc::default());
    let place = MemberPlace {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        peer: settings.peer_advertised.unwrap_or(peer_address),
        capacity: 0,
    };
    let inputs = fleet::FleetInputs { socket, links: Arc::clone(&links), store: store_calls, busy };
    let (fleet, fleet_duty) = fleet::start(options::fleet(settings, place), inputs, stop.clone());
    let views = Arc::new(ViewTable::default());
    let inputs = owner::OwnerInputs {
        relays: owner::RelayLinks {
            fleet: fleet.view.clone(),
            links: Arc::clone(&links),
            views: Arc::clone(&views),
            zone: settings.zone.clone(),
        },
        config: fleet.config.clone(),
        owned: fleet.owned.clone(),
        busy: busy_sender,
        metrics: metrics.clone(),
    };
    let (owner, owner_duty) = owner::start(options::owner(settings), inputs, stop.clone());
    let (members_sender, members) = watch::channel(1);
    let client = StoreClient::new(settings.platform, options::store_client());
    let view = fleet.view.clone();
    let commands = fleet.commands.clone();
    let token = stop.clone();
    let store_duty = async move {
        let count = count_members(view, members_sender);
        let calls = store::run(client, calls, commands, members, token);
        tokio::join!(count, calls);
    };
    let inputs = reconcile::ReconcileInputs {
        config: fleet.config.clone(),
        owned: fleet.owned.clone(),
        view: fleet.view.clone(),
        views: Arc::clone(&views),
        owner: owner.clone(),
    };
    let options = hawthorn_intent::reconcile::Options::default();
    let (drift, reconcile_duty) = reconcile::start(options, inputs, stop.clone());
    spawn_duty("fleet", stop, fleet_duty)?;
    spawn_duty("owner", stop, owner_duty)?;
    spawn_duty("store", stop, store_duty)?;
    spawn_duty("reconcile", stop, reconcile_duty)?;
    Ok(DutySet { owner, fleet, links, views, drift, peer_address })
}

async fn count_members(
    mut view: watch::Receiver<Arc<crate::version::fleet::FleetView>>,
    members: watch::Sender<usize>,
) {
    while view.changed().await.is_ok() {
        let live = view.borrow_and_update().live();
        members.send_replace(live);
    }
}

/// Runs a duty on a thread of its own. A duty that ends while the process is
/// not stopping is a broken invariant: the process stops rather than serve on
/// without it.
fn spawn_duty(
    name: &'static str,
    stop: &CancellationToken,
    duty: impl Future<Output = ()> + Send + 'static,
) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let stop = stop.clone();
    thread::Builder::new().name(name.into()).spawn(move || {
        runtime.block_on(duty);
        if !stop.is_cancelled() {
            crate::log_event!(Level::Error, LogEvent::DutyEnded, "duty {name}");
            stop.cancel();
        }
    })?;
    Ok(())
}

/// Finds the address for both TCP and UDP. With port 0 the system chooses one
/// for UDP, and TCP may find it taken; then another is tried.
async fn bind_peer(address: SocketAddr) -> Result<(SocketAddr, UdpSocket), Error> {
    let fail = |error: std::io::Error| listen_error("peer_address", address, &error);
    let mut tries = 0;
    loop {
        let socket = UdpSocket::bind(address).await.map_err(fail)?;
        let bound = socket.local_addr().map_err(fail)?;
        match TcpListener::bind(bound).await {
            // The listener is closed and opened again by the peer server.
            Ok(_listener) => return Ok((bound, socket)),
            Err(error) if address.port() != 0 || tries == PORT_TRIES => return Err(fail(error)),
            Err(_) => tries += 1,
        }
    }
}

impl<S: ProcessState> DaemonProcess<S> {
    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where other daemons reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }
}

impl DaemonProcess<Serving> {
    /// The settings of this process with the addresses it really has, to start
    /// it again at the same place.
    pub fn settings_with_bound_addresses(&self) -> DaemonSettings {
        DaemonSettings {
            caller_address: self.caller_address,
            peer_address: self.peer_address,
            ..self.settings.clone()
        }
    }

    /// Waits for the order to stop, SIGTERM or SIGINT.
    ///
    /// # Errors
    /// When signals cannot be listened for.
    pub fn wait_for_signal(&self) -> Result<(), Error> {
        self.runtime.block_on(async {
            use tokio::signal::unix::SignalKind;
            use tokio::signal::unix::signal;
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = self.stop.cancelled() => {}
            }
            Ok(())
        })
    }

    /// Waits until the process is ready, for at most `limit`; tells whether it is.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let mut status = self.fleet.status.clone();
        self.runtime.block_on(async {
            let ready = status.wait_for(|status| status.ready);
            matches!(tokio::time::timeout(limit, ready).await, Ok(Ok(_)))
        })
    }

    /// Takes nothing new: readiness goes off, and ownership is handed over.
    pub fn drain(self) -> DaemonProcess<Draining> {
        crate::log_event!(Level::Info, LogEvent::Stopping, "host {}", self.settings.host);
        self.front.stop();
        self.runtime.block_on(self.fleet.leave());
        DaemonProcess {
            state: Draining { http: self.state.http },
            settings: self.settings,
            front: self.front,
            owner: self.owner,
            fleet: self.fleet,
            caller_address: self.caller_address,
            peer_address: self.peer_address,
            closing: self.closing,
            stop: self.stop,
            runtime: self.runtime,
        }
    }
}

impl DaemonProcess<Draining> {
    /// Finishes what is in flight, closes connections and ends all threads;
    /// tells whether everything was finished within the grace of the settings.
    ///
    /// The order: callers are told to go elsewhere while they are still
    /// served; the listener closes once no request is open; batches of other
    /// hosts are finished; then goodbye.
    pub fn finish(mut self) -> bool {
        let grace = self.settings.stop.grace;
        let notice = BALANCER_NOTICE.min(grace / 2);
        let clean = self.runtime.block_on(async {
            tokio::time::sleep(notice).await;
            self.closing.close();
            let callers = self.front.idle(grace).await;
            let batches = self.owner.idle(grace).await;
            callers && batches
        });
        if !clean {
            crate::log_event!(Level::Error, LogEvent::StopCutShort, "grace of {grace:?} is over");
        }
        let http = self.state.http;
        self.runtime.block_on(async {
            let _closed = tokio::time::timeout(grace, http.close()).await;
            self.fleet.depart().await;
            tokio::time::sleep(GOODBYE_TIME).await;
        });
        self.stop.cancel();
        self.runtime.shutdown_timeout(GOODBYE_TIME);
        crate::log_event!(Level::Info, LogEvent::Stopped, "host {}", self.settings.host);
        clean
    }
}
