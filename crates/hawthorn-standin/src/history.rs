//! Typed history of one run: what callers sent and heard, what targets ran,
//! which configuration daemons had, and who was leaving. The checker reads it.

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
    keeps: bool,
    records: Mutex<Vec<HistoryRecord>>,
}

/// One event and when it happened.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryRecord {
    /// Time since the history began.
    pub at: Duration,
    /// What happened.
    pub event: HistoryEvent,
}

/// What can happen in a run.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// Something happened to an attempt at a target.
    Work(TargetWork),
    /// A caller sent a search.
    QuerySent(SentQuery),
    /// A caller sent a non-idempotent request.
    OnceSent(SentOnce),
    /// A caller heard an answer to the send of that number.
    Answered {
        /// The send, as numbered by [`SentQuery::send`] or [`SentOnce::send`].
        send: u64,
        /// The answer.
        answer: CallerAnswer,
    },
    /// The connection broke after the request was sent and before its answer.
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
    /// A target began to leave: it drains, or intent says drain or off.
    TargetLeaving {
        /// The target.
        target: String,
    },
    /// A target that was leaving serves again.
    TargetServing {
        /// The target.
        target: String,
    },
    /// A planned stop of a daemon began.
    StopStarted {
        /// The daemon, by the name used in [`SentQuery::front`].
        daemon: String,
    },
    /// A daemon is ready again after a stop or a kill.
    Started {
        /// The daemon.
        daemon: String,
    },
    /// A daemon was killed without warning: what it cuts off is no broken promise.
    Killed {
        /// The daemon.
        daemon: String,
    },
}

/// A search as sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SentQuery {
    /// Numbers the sends of the run.
    pub send: u64,
    /// The daemon it was sent to.
    pub front: String,
    /// The query.
    pub query: SearchQuery,
}

/// A non-idempotent request as sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SentOnce {
    /// Numbers the sends of the run.
    pub send: u64,
    /// The daemon it was sent to.
    pub front: String,
    /// The request.
    pub request: OnceRequest,
}

/// Something that happened to one attempt at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetWork {
    /// The target.
    pub target: String,
    /// The tier's request id.
    pub request: String,
    /// The attempt.
    pub attempt: u64,
    /// Search or run.
    pub kind: WorkKind,
    /// How far it got.
    pub phase: WorkPhase,
}

/// What an attempt asks for.
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

/// How far an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPhase {
    /// It reached the target.
    Arrived,
    /// It was refused and did not run.
    Refused(TargetRefusal),
    /// It got a slot.
    Started,
    /// It ran to its end.
    Finished,
    /// It was ended early, by a cancellation or its deadline.
    Cancelled,
}

impl Default for History {
    fn default() -> Self {
        Self::new(true)
    }
}

impl History {
    /// A history that keeps nothing, for stand-ins that run for long.
    pub fn discarding() -> Self {
        Self::new(false)
    }

    fn new(keeps: bool) -> Self {
        let start = Instant::now();
        let sends = AtomicU64::default();
        let shared = SharedRecords { start, sends, keeps, records: Mutex::default() };
        Self { shared: Arc::new(shared) }
    }

    /// Adds `event`, stamped now.
    pub fn record(&self, event: HistoryEvent) {
        if !self.shared.keeps {
            return;
        }
        let mut records = self.lock();
        // Stamped under the lock, so that records stand in the order of their times.
        let at = self.shared.start.elapsed();
        records.push(HistoryRecord { at, event });
    }

    /// Time since the history began.
    pub fn now(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// A number for a send that no other send of this history has.
    pub fn next_send(&self) -> u64 {
        self.shared.sends.fetch_add(1, Ordering::Relaxed)
    }

    /// A copy of all records so far, in the order of their times.
    pub fn records(&self) -> Vec<HistoryRecord> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HistoryRecord>> {
        self.shared.records.lock().expect("nothing panics while it holds the records")
    }
}
