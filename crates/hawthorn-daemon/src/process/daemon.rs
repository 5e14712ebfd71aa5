//! The daemon process: starts one thread per worker, connects them by bounded channels, and stops
//! them in an order that does not abort requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use hawthorn_connections::table::ConnectionTable;
use hawthorn_fleet::MemberPlace;
use hawthorn_intent::DaemonSettings;
use hawthorn_store::ClaimClient;
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
use crate::connection::serve::PeerServer;
use crate::connection::serve::ShutdownGate;
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
use crate::process::worker;
use crate::request::api;
use crate::request::front::FrontContext;
use crate::request::front::FrontParts;
use crate::version::views::ViewTable;

/// Capacity of the store's channel. The fleet worker has at most one call in flight.
const STORE_CHANNEL_CAPACITY: usize = 4;

/// Approximate interval of the load balancer's readiness probes. A stop waits this long before it
/// closes the listener, by when the load balancer has stopped opening connections.
const READINESS_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time to flush datagrams and handover messages after the departure is announced.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Maximum number of retries to find a port that is free for both TCP and UDP, if the settings
/// leave it open.
const MAX_BIND_RETRIES: u32 = 16;

/// Minimum interval between two searches of the heap for free pages.
const TRIM_INTERVAL: Duration = Duration::from_millis(100);

quick_error! {
    /// Reason why the process could not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
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
        /// The API description is invalid.
        Api(text: String) {
            display("invalid API description: {text}")
        }
    }
}

/// Lifecycle of the process as a type state: only a serving process can be drained, and only a
/// draining one can be finished.
pub trait ProcessState {}

/// The process serves requests.
pub struct Serving {
    http: HttpServer<Arc<FrontContext>>,
}

/// The process accepts no new work and finishes the requests in flight.
pub struct Draining {
    http: HttpServer<Arc<FrontContext>>,
}

impl ProcessState for Serving {}
impl ProcessState for Draining {}

/// A running daemon.
pub struct DaemonProcess<S: ProcessState> {
    state: S,
    settings: DaemonSettings,
    front: Arc<FrontContext>,
    owner: OwnerHandle,
    fleet: FleetHandle,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    shutdown_gate: ShutdownGate,
    stop: CancellationToken,
    runtime: Runtime,
}

/// Handles to the workers, before the front exists.
struct WorkerSet {
    owner: OwnerHandle,
    fleet: FleetHandle,
    links: Arc<PeerLinks>,
    views: Arc<ViewTable>,
    drift: watch::Receiver<Arc<DriftSnapshot>>,
    peer_address: SocketAddr,
}

/// Starts a daemon. When this returns, all threads run and callers can connect. The daemon is ready
/// once its configuration is known to be current.
///
/// # Errors
/// If an address cannot be bound or a thread cannot be started.
pub fn start(settings: DaemonSettings) -> Result<DaemonProcess<Serving>, Error> {
    crate::log_event!(Level::Info, LogEvent::Starting, "host {}", settings.host);
    // Before the first large block is freed.
    let _kept_by_other_libraries = hawthorn_malloc::unmap_large_blocks();
    let stop = CancellationToken::new();
    let runtime = Builder::new_multi_thread()
        .worker_threads(options::front_threads())
        .thread_name("front")
        .enable_all()
        .build()?;
    let metrics = MetricSet::new()?;
    let workers = start_workers(&settings, &runtime, &metrics, &stop)?;
    let _entered = runtime.enter();
    let store = StoreClient::new(settings.platform, options::store_client());
    let claim_client = ClaimClient::spawn(
        Arc::new(store.clone()),
        ProcessSeed(rand::random()),
        &stop,
        options::claims(&settings),
    );
    let front = Arc::new(FrontContext::new(FrontParts {
        options: options::front(&settings),
        zone: settings.zone.clone(),
        host: settings.host.clone(),
        fleet: workers.fleet.clone(),
        owner: workers.owner.clone(),
        links: workers.links,
        views: workers.views,
        drift: workers.drift,
        claim_client,
        metrics,
    }));
    let shutdown_gate = ShutdownGate::default();
    let server = PeerServer {
        owner: workers.owner.clone(),
        fleet: workers.fleet.clone(),
        shutdown_gate: shutdown_gate.clone(),
    };
    runtime
        .block_on(serve::start(workers.peer_address, server, stop.clone()))
        .map_err(|error| listen_error("peer_address", workers.peer_address, &error))?;
    let http = serve_callers(&settings, &front)?;
    let caller_address = http.local_addr();
    runtime.spawn(refresh::run(Arc::clone(&front), stop.clone()));
    runtime.spawn(trim_memory(Arc::clone(front.bodies()), stop.clone()));
    runtime.spawn(sample::run(Arc::clone(&front), stop.clone()));
    runtime.spawn(sweep::run(store, options::claims(&settings), Arc::clone(&front), stop.clone()));
    let peer = workers.peer_address;
    crate::log_event!(Level::Info, LogEvent::Listening, "callers {caller_address}, peers {peer}");
    Ok(DaemonProcess {
        state: Serving { http },
        settings,
        front,
        owner: workers.owner,
        fleet: workers.fleet,
        caller_address,
        peer_address: peer,
        shutdown_gate,
        stop,
        runtime,
    })
}

/// Returns memory to the system after requests with large bodies have ended.
async fn trim_memory(bodies: Arc<ConnectionTable>, stop: CancellationToken) {
    while stop.run_until_cancelled(bodies.released()).await.is_some() {
        hawthorn_malloc::trim();
        tokio::time::sleep(TRIM_INTERVAL).await;
    }
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
        // The body limit of this crate applies instead, as it gives a typed reason and rejects the
        // excess frame on arrival.
        default_request_body_max_bytes: usize::MAX,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(front), logs::slog_bridge())
        .config(config)
        .start()
        .map_err(|error| listen_error("caller_address", settings.caller_address, &error))
}

fn start_workers(
    settings: &DaemonSettings,
    runtime: &Runtime,
    metrics: &MetricSet,
    stop: &CancellationToken,
) -> Result<WorkerSet, Error> {
    let (peer_address, socket) = runtime.block_on(bind_peer(settings.peer_address))?;
    let links = Arc::new(PeerLinks::new(peer_address.ip()));
    let (store_calls, calls) = mpsc::channel(STORE_CHANNEL_CAPACITY);
    let (busy_sender, busy) = watch::channel(Arc::default());
    let place = MemberPlace {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        peer: settings.peer_advertised.unwrap_or(peer_address),
        capacity: 0,
    };
    let inputs = fleet::FleetInputs { socket, links: Arc::clone(&links), store: store_calls, busy };
    let (fleet, fleet_worker) = fleet::start(options::fleet(settings, place), inputs, stop.clone());
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
    let (owner, owner_worker) = owner::start(options::owner(settings), inputs, stop.clone());
    let (members_sender, members) = watch::channel(1);
    let client = StoreClient::new(settings.platform, options::store_client());
    let view = fleet.view.clone();
    let commands = fleet.commands.clone();
    let token = stop.clone();
    let store_worker = async move {
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
    let (drift, reconcile_worker) = reconcile::start(options, inputs, stop.clone());
    worker::spawn("fleet", stop, fleet_worker)?;
    worker::spawn("owner", stop, owner_worker)?;
    worker::spawn("store", stop, store_worker)?;
    worker::spawn("reconcile", stop, reconcile_worker)?;
    Ok(WorkerSet { owner, fleet, links, views, drift, peer_address })
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

/// Binds the same address for TCP and UDP. With port 0 the system chooses a UDP port that may be in
/// use for TCP; another one is tried then.
async fn bind_peer(address: SocketAddr) -> Result<(SocketAddr, UdpSocket), Error> {
    let fail = |error: std::io::Error| listen_error("peer_address", address, &error);
    let mut tries = 0;
    loop {
        let socket = UdpSocket::bind(address).await.map_err(fail)?;
        let bound = socket.local_addr().map_err(fail)?;
        match TcpListener::bind(bound).await {
            // The peer server closes this listener and binds again.
            Ok(_listener) => return Ok((bound, socket)),
            Err(error) if address.port() != 0 || tries == MAX_BIND_RETRIES => {
                return Err(fail(error));
            }
            Err(_) => tries += 1,
        }
    }
}

impl<S: ProcessState> DaemonProcess<S> {
    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }
}

impl DaemonProcess<Serving> {
    /// Settings of this process with the addresses actually bound, so that it can be restarted at
    /// the same place.
    pub fn settings_with_bound_addresses(&self) -> DaemonSettings {
        DaemonSettings {
            caller_address: self.caller_address,
            peer_address: self.peer_address,
            ..self.settings.clone()
        }
    }

    /// Waits for SIGTERM or SIGINT.
    ///
    /// # Errors
    /// If signal handlers cannot be installed.
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

    /// Waits until the process is ready, for at most `limit`. Returns whether it is.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let mut status = self.fleet.status.clone();
        self.runtime.block_on(async {
            let ready = status.wait_for(|status| status.ready);
            matches!(tokio::time::timeout(limit, ready).await, Ok(Ok(_)))
        })
    }

    /// Starts draining: readiness is withdrawn and ownership is handed over.
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
            shutdown_gate: self.shutdown_gate,
            stop: self.stop,
            runtime: self.runtime,
        }
    }
}

impl DaemonProcess<Draining> {
    /// Finishes requests in flight, closes connections and ends all threads. Returns whether
    /// everything finished within the grace period of the settings.
    ///
    /// Readiness is withdrawn while callers are still served. Once no request of a caller and no
    /// batch of another host is open, or the grace period is over, the listener closes and the
    /// departure is announced.
    pub fn finish(mut self) -> bool {
        let grace = self.settings.stop.grace;
        let probe_wait = READINESS_PROBE_INTERVAL.min(grace / 2);
        let completed = self.runtime.block_on(async {
            tokio::time::sleep(probe_wait).await;
            self.shutdown_gate.close();
            let callers = self.front.idle(grace).await;
            let batches = self.owner.idle(grace).await;
            callers && batches
        });
        if !completed {
            crate::log_event!(
                Level::Error,
                LogEvent::StopCutShort,
                "grace period of {grace:?} expired"
            );
        }
        let http = self.state.http;
        self.runtime.block_on(async {
            let _closed = tokio::time::timeout(grace, http.close()).await;
            self.fleet.depart().await;
            tokio::time::sleep(FLUSH_TIME).await;
        });
        self.stop.cancel();
        self.runtime.shutdown_timeout(FLUSH_TIME);
        crate::log_event!(Level::Info, LogEvent::Stopped, "host {}", self.settings.host);
        completed
    }
}
