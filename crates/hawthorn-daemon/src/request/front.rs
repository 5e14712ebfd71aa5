//! What every request of this host's front shares.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorn_plan::FrontLoad;
use hawthorn_plan::RetryBudget;
use hawthorn_plan::admit;
use hawthorn_plan::track;
use hawthorn_store::ClaimKeeper;
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
    /// Of reading a request.
    pub body: body::Options,
    /// Of admission.
    pub admit: admit::Options,
    /// Of one query.
    pub track: track::Options,
    /// Matches a query may ask for, at the most.
    pub max_limit: u32,
    /// Bytes of a caller's own request id, at the most.
    pub max_request_id_bytes: usize,
    /// The longest deadline that is believed; a longer one is cut to it.
    pub max_deadline: Duration,
}

/// The front of this host. Lives as long as the process.
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
    pub(crate) keeper: ClaimKeeper,
    pub(crate) metrics: MetricSet,
    settled: AtomicBool,
    stopping: AtomicBool,
    open: watch::Sender<u64>,
}

/// What a front is made of.
pub struct FrontParts {
    /// Limits.
    pub options: Options,
    /// This host's availability zone.
    pub zone: String,
    /// This host's name.
    pub host: String,
    /// The fleet's duty.
    pub fleet: FleetHandle,
    /// The owner's duty.
    pub owner: OwnerHandle,
    /// Connections to other daemons.
    pub links: Arc<PeerLinks>,
    /// Views of all owners.
    pub views: Arc<ViewTable>,
    /// Targets owned here that are not as wanted.
    pub drift: watch::Receiver<Arc<DriftSnapshot>>,
    /// Claims non-idempotent requests.
    pub keeper: ClaimKeeper,
    /// Instruments.
    pub metrics: MetricSet,
}

/// Counts a request as open until dropped; a planned stop waits for it.
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
    /// A front that takes requests once it is ready.
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
            keeper: parts.keeper,
            metrics: parts.metrics,
            settled: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            open: watch::channel(0).0,
        }
    }

    /// Counts a request as open.
    pub fn hold_open(&self) -> OpenRequest {
        self.open.send_modify(|count| *count += 1);
        OpenRequest { open: self.open.clone() }
    }

    /// Resolves once no request is open, or after `grace`; tells which.
    pub async fn idle(&self, grace: Duration) -> bool {
        let mut open = self.open.subscribe();
        let idle = open.wait_for(|count| *count == 0);
        matches!(tokio::time::timeout(grace, idle).await, Ok(Ok(_)))
    }

    /// From now on the balancer may send callers here, if nothing else is
    /// against it: the owners are known, or have been waited for long enough.
    pub(crate) fn settle(&self) {
        self.settled.store(true, Ordering::Release);
    }

    /// From now on the balancer is told to go elsewhere. Requests that still
    /// come are served until the listener closes.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the process is on its way out.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Why the balancer should not send callers here, none when it should.
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
        let settled = self.settled.load(Ordering::Acquire);
        (!settled).then_some("the targets are not all seen yet")
    }

    /// Bounds on reading a request.
    pub fn body_options(&self) -> body::Options {
        self.options.body
    }

    /// The process's instruments.
    pub fn metrics(&self) -> &MetricSet {
        &self.metrics
    }

    /// Since the front began.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.fleet.config.borrow().clone()
    }

    pub(crate) fn fleet_view(&self) -> Arc<FleetView> {
        self.fleet.view.borrow().clone()
    }

    /// The configuration in force and its age.
    pub(crate) fn stamp(&self) -> ConfigStamp {
        let revision = self.config().map(|config| config.document.revision).unwrap_or_default();
        let confirmed = self.fleet.status.borrow().confirmed_at;
        let age_ms = confirmed
            .map_or(u64::MAX, |at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
        ConfigStamp { revision, age_ms }
    }

    /// Whether a caller's own request id may be used as it is.
    pub(crate) fn is_fit_id(&self, id: &str) -> bool {
        let printable = id.bytes().all(|byte| byte.is_ascii_graphic());
        !id.is_empty() && id.len() <= self.options.max_request_id_bytes && printable
    }

    /// An answer that says what became of a request, with nothing found.
    pub(crate) fn bare_answer(
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

    /// Refuses a request of which nothing was sent, and counts the reason.
    pub fn refuse(
        &self,
        request_id: Option<String>,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> CallerAnswer {
        self.metrics.count_refusals(reason, 1);
        let outcome = CallerOutcome::NotRun(reason);
        let mut answer = self.bare_answer(new_request(), request_id, outcome);
        answer.retry_after_ms =
            retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX).max(1));
        answer
    }
}

/// A fresh request id.
pub(crate) fn new_request() -> RequestId {
    RequestId(rand::random())
}
