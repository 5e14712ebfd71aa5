//! Typed history of one run: requests and answers of callers, attempts at targets,
//! configuration revisions of daemons, and drains. The checker reads it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorn_types::CallerAnswer;
use hawthorn_types::ConfigRevision;
use hawthorn_types::IndexVersion;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use hawthorn_types::target::TargetRefusal;
use tokio::time::Instant;

/// Collects the records of one run. Clones share the same records.
#[derive(Clone, Debug)]
pub struct History {
    shared: Arc<SharedRecords>,
}

#[derive(Debug)]
struct SharedRecords {
    start: Instant,
    sends: AtomicU64,
    enabled: bool,
    records: Mutex<Vec<HistoryRecord>>,
}

/// One event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryRecord {
    /// Time since the start of the history.
    pub at: Duration,
    /// The event.
    pub event: HistoryEvent,
}

/// Events of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// An attempt at a target reached a new phase.
    Work(TargetWork),
    /// A caller sent a search.
    QuerySent(SentQuery),
    /// A caller sent a non-idempotent request.
    OnceSent(SentOnce),
    /// A caller received the answer to a send.
    Answered {
        /// The number of the send: [`SentQuery::send`] or [`SentOnce::send`].
        send: u64,
        /// The answer.
        answer: CallerAnswer,
    },
    /// The connection was lost between the request and its answer.
    ConnectionLost {
        /// The send.
        send: u64,
    },
    /// A daemon reported the configuration revision in force.
    ConfigSeen {
        /// The daemon.
        daemon: String,
        /// The revision.
        revision: ConfigRevision,
    },
    /// A target started draining, by itself or because its intent is drain or off.
    TargetDraining {
        /// The target.
        target: String,
    },
    /// A draining target serves again.
    TargetServing {
        /// The target.
        target: String,
    },
    /// A planned stop of a daemon started.
    StopStarted {
        /// The daemon, by the name used in [`SentQuery::front`].
        daemon: String,
    },
    /// A daemon is ready again after a stop or a kill.
    Started {
        /// The daemon.
        daemon: String,
    },
    /// A daemon was killed without warning; requests lost with it are no violation.
    Killed {
        /// The daemon.
        daemon: String,
    },
}

/// A search that a caller sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SentQuery {
    /// The number of the send, unique within the run.
    pub send: u64,
    /// The daemon it was sent to.
    pub front: String,
    /// The query.
    pub query: SearchQuery,
}

/// A non-idempotent request that a caller sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SentOnce {
    /// The number of the send, unique within the run.
    pub send: u64,
    /// The daemon it was sent to.
    pub front: String,
    /// The request.
    pub request: OnceRequest,
}

/// A phase change of one attempt at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetWork {
    /// The target.
    pub target: String,
    /// The request id that the tier assigned.
    pub request: String,
    /// The attempt.
    pub attempt: u64,
    /// The requested work.
    pub kind: WorkKind,
    /// The phase it reached.
    pub phase: WorkPhase,
}

/// The work that an attempt requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// An idempotent search at one version.
    Search {
        /// The service.
        service: String,
        /// The version.
        version: IndexVersion,
    },
    /// A non-idempotent request.
    Run {
        /// The caller.
        caller: String,
        /// The caller's own request id.
        caller_request: String,
    },
}

/// Phases of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPhase {
    /// It arrived at the target.
    Arrived,
    /// It was refused and did not run.
    Refused(TargetRefusal),
    /// It acquired a slot.
    Started,
    /// It ran to completion.
    Finished,
    /// It ended early, by a cancellation or at its deadline.
    Cancelled,
}

impl Default for History {
    fn default() -> Self {
        Self::new(true)
    }
}

impl History {
    /// A history that discards all events, for stand-ins that run for a long time.
    pub fn discarding() -> Self {
        Self::new(false)
    }

    fn new(enabled: bool) -> Self {
        let start = Instant::now();
        let sends = AtomicU64::default();
        let shared = SharedRecords { start, sends, enabled, records: Mutex::default() };
        Self { shared: Arc::new(shared) }
    }

    /// Adds `event` with the current time.
    pub fn record(&self, event: HistoryEvent) {
        if !self.shared.enabled {
            return;
        }
        let mut records = self.lock();
        // The time is read under the lock, so that records are ordered by time.
        let at = self.shared.start.elapsed();
        records.push(HistoryRecord { at, event });
    }

    /// Time since the start of the history.
    pub fn now(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// The next unique number of a send.
    pub fn next_send(&self) -> u64 {
        self.shared.sends.fetch_add(1, Ordering::Relaxed)
    }

    /// A copy of all records so far, ordered by time.
    pub fn records(&self) -> Vec<HistoryRecord> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HistoryRecord>> {
        self.shared.records.lock().expect("no holder of the lock panics")
    }
}
