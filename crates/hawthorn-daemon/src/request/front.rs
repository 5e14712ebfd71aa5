//! State shared by all requests of this host's front.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorn_connections::budget;
use hawthorn_connections::table::ConnectionTable;
use hawthorn_plan::FrontLoad;
use hawthorn_plan::RetryBudget;
use hawthorn_plan::admit;
use hawthorn_plan::track;
use hawthorn_store::ClaimClient;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigStamp;
use hawthorn_types::RefusalReason;
use hawthorn_types::RequestId;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::connection::peer::PeerLinks;
use crate::owner::OwnerHandle;
use crate::process::fleet::FleetHandle;
use crate::process::metrics::MetricSet;
use crate::process::reconcile::DriftSnapshot;
use crate::request::body;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::tables::TableCache;
use crate::version::views::ViewTable;

/// Limits of the front.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limits of reading a request.
    pub body: body::Options,
    /// Limits on all bodies that are being received or whose requests are being served.
    pub bodies: budget::Options,
    /// Options of admission control.
    pub admit: admit::Options,
    /// Options of one query.
    pub track: track::Options,
    /// Maximum number of matches that a query may request.
    pub max_limit: u32,
    /// Maximum length of a caller's request id in bytes.
    pub max_request_id_bytes: usize,
    /// Maximum deadline; longer ones are reduced to it.
    pub max_deadline: Duration,
    /// Time within which an accepted configuration is in force on every host.
    pub config_in_force_within: Duration,
}

/// The front of this host, with the lifetime of the process.
#[derive(Debug)]
pub struct FrontContext {
    pub(crate) options: Options,
    pub(crate) zone: String,
    pub(crate) host: String,
    pub(crate) started: Instant,
    pub(crate) fleet: FleetHandle,
    pub(crate) owner: OwnerHandle,
    pub(crate) links: Arc<PeerLinks>,
    pub(crate) views: Arc<ViewTable>,
    pub(crate) drift: watch::Receiver<Arc<DriftSnapshot>>,
    pub(crate) tables: TableCache,
    pub(crate) load: Mutex<FrontLoad>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) claim_client: ClaimClient,
    pub(crate) metrics: MetricSet,
    bodies: Arc<ConnectionTable>,
    synced: AtomicBool,
    stopping: AtomicBool,
    open: watch::Sender<u64>,
}

/// Components of a front.
pub struct FrontParts {
    /// Limits.
    pub options: Options,
    /// This host's availability zone.
    pub zone: String,
    /// This host's name.
    pub host: String,
    /// Handle to the fleet worker.
    pub fleet: FleetHandle,
    /// Handle to the owner worker.
    pub owner: OwnerHandle,
    /// Connections to other daemons.
    pub links: Arc<PeerLinks>,
    /// Views of all owners.
    pub views: Arc<ViewTable>,
    /// Owned targets that are not in the desired state.
    pub drift: watch::Receiver<Arc<DriftSnapshot>>,
    /// Claims non-idempotent requests.
    pub claim_client: ClaimClient,
    /// Metrics of the process.
    pub metrics: MetricSet,
}

/// Counts a request as open until dropped; a planned stop waits for open requests.
#[derive(Debug)]
pub struct OpenRequest {
    open: watch::Sender<u64>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open.send_modify(|count| *count -= 1);
    }
}

impl FrontContext {
    /// Creates a front, which serves requests once it is ready.
    pub fn new(parts: FrontParts) -> Self {
        Self {
            options: parts.options,
            zone: parts.zone,
            host: parts.host,
            started: Instant::now(),
            fleet: parts.fleet,
            owner: parts.owner,
            links: parts.links,
            views: parts.views,
            drift: parts.drift,
            tables: TableCache::default(),
            load: Mutex::default(),
            budget: Mutex::default(),
            claim_client: parts.claim_client,
            metrics: parts.metrics,
            bodies: ConnectionTable::new(parts.options.bodies, |_| {}),
            synced: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            open: watch::channel(0).0,
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn hold_open(&self) -> OpenRequest {
        self.open.send_modify(|count| *count += 1);
        OpenRequest { open: self.open.clone() }
    }

    /// Resolves once no request is open, or after `grace`. Returns whether it became idle in time.
    pub async fn idle(&self, grace: Duration) -> bool {
        let mut open = self.open.subscribe();
        let idle = open.wait_for(|count| *count == 0);
        matches!(tokio::time::timeout(grace, idle).await, Ok(Ok(_)))
    }

    /// Marks the initial sync as complete: the owners are known, or the wait for them has timed
    /// out. Until then the host is not ready.
    pub(crate) fn mark_synced(&self) {
        self.synced.store(true, Ordering::Release);
    }

    /// Makes the host not ready, so that the load balancer chooses other hosts. Requests that still
    /// arrive are served until the listener closes.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Reason why the load balancer should not send callers here; `None` if it should.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("stopping");
        }
        let status = self.fleet.status.borrow();
        if status.platform_leaving {
            return Some("the platform is about to stop this host");
        }
        if !status.ready {
            return Some("no configuration known to be current");
        }
        let synced = self.synced.load(Ordering::Acquire);
        (!synced).then_some("not all targets are known yet")
    }

    /// Limits of reading a request.
    pub fn body_options(&self) -> body::Options {
        self.options.body
    }

    /// The bodies that are being received or whose requests are being served.
    pub fn bodies(&self) -> &Arc<ConnectionTable> {
        &self.bodies
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &MetricSet {
        &self.metrics
    }

    /// Time since the front started.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.fleet.config.borrow().clone()
    }

    pub(crate) fn fleet_view(&self) -> Arc<FleetView> {
        self.fleet.view.borrow().clone()
    }

    /// Reason to refuse a request that the configuration in force does not allow.
    pub(crate) fn refusal_by_config(&self, reason: RefusalReason) -> RefusalReason {
        let confirmed = self.fleet.status.borrow().confirmed_at;
        let age = confirmed.map(|at| at.elapsed());
        refusal_by_config(reason, age, self.options.config_in_force_within)
    }

    /// The configuration in force and its age.
    pub(crate) fn stamp(&self) -> ConfigStamp {
        let revision = self.config().map(|config| config.document.revision).unwrap_or_default();
        let confirmed = self.fleet.status.borrow().confirmed_at;
        let age_ms = confirmed
            .map_or(u64::MAX, |at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
        ConfigStamp { revision, age_ms }
    }

    /// Whether a caller's request id is valid.
    pub(crate) fn is_valid_request_id(&self, id: &str) -> bool {
        let printable = id.bytes().all(|byte| byte.is_ascii_graphic());
        !id.is_empty() && id.len() <= self.options.max_request_id_bytes && printable
    }

    /// Returns an answer with the outcome of a request and no matches.
    pub(crate) fn empty_answer(
        &self,
        request: RequestId,
        request_id: Option<String>,
        outcome: CallerOutcome,
    ) -> CallerAnswer {
        CallerAnswer {
            request: request.to_string(),
            request_id,
            outcome,
            retry_after_ms: None,
            index_version: None,
            coverage: None,
            configuration: self.stamp(),
            total: 0,
            matches: Vec::new(),
            result: None,
            elapsed_ms: 0,
        }
    }

    /// Refuses a request of which nothing was sent, and counts the reason. Without `retry_after`,
    /// the delay is the default of the reason.
    pub fn refuse(
        &self,
        request_id: Option<String>,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> CallerAnswer {
        self.metrics.count_refusals(reason, 1);
        let outcome = CallerOutcome::NotRun(reason);
        let mut answer = self.empty_answer(new_request(), request_id, outcome);
        let retry_after = retry_after.or_else(|| default_retry_after(reason));
        answer.retry_after_ms =
            retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX).max(1));
        answer
    }
}

/// Reason to refuse a request that a configuration of this age does not allow.
///
/// `reason` is final, so it requires a configuration that was confirmed within `in_force_within`. An
/// older one, or one that was never confirmed, may lack a caller or service that was added since.
pub fn refusal_by_config(
    reason: RefusalReason,
    age: Option<Duration>,
    in_force_within: Duration,
) -> RefusalReason {
    match age {
        Some(age) if age <= in_force_within => reason,
        _ => RefusalReason::StaleConfiguration,
    }
}

/// Default delay before a request that was not run is worth retrying; `None` if it would be refused
/// again.
fn default_retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::ClaimUnavailable => Some(Duration::from_secs(1)),
        RefusalReason::QueueFull
        | RefusalReason::CallerOverShare
        | RefusalReason::WaitBeyondDeadline
        | RefusalReason::ExpiredInQueue
        | RefusalReason::TargetRefused => Some(Duration::from_millis(100)),
        RefusalReason::NoTarget
        | RefusalReason::OwnerUnreachable
        | RefusalReason::NoConfiguration
        | RefusalReason::StaleConfiguration => Some(Duration::from_secs(2)),
        _ => None,
    }
}

/// Returns a new request id.
pub(crate) fn new_request() -> RequestId {
    RequestId(rand::random())
}
