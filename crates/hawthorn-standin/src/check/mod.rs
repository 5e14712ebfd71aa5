//! Checks the history of a run for violations of the tier's guarantees.
//!
//! The checker has the generated documents. It compares each answer with a complete
//! search of the ranges that the answer claims to cover.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::ConfigRevision;
use strum::Display;
use strum::EnumIter;

use crate::corpus::Corpus;
use crate::history::HistoryRecord;

mod answers;
mod daemons;
mod runs;
mod targets;

/// Options of a check.
#[derive(Clone, Debug)]
pub struct Options {
    /// The documents of each service. Answers of other services are not compared with
    /// documents.
    pub corpora: Vec<Arc<Corpus>>,
    /// Time after the start of a drain during which attempts may still arrive.
    pub drain_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { corpora: Vec::new(), drain_grace: Duration::from_secs(5) }
    }
}

/// Kinds of violated guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ViolationKind {
    /// An answer contains documents of another index version than it states.
    MixedVersions,
    /// The coverage of an answer contradicts its matches or ranges.
    OverstatedCoverage,
    /// A non-idempotent request ran twice.
    #[strum(serialize = "doubled-run")]
    DuplicateRun,
    /// A request was answered as not run although it ran.
    FalseNotRun,
    /// A daemon reverted to an older configuration.
    #[strum(serialize = "config-went-back")]
    ConfigReverted,
    /// An attempt arrived at a target that had been draining for longer than the grace
    /// period.
    #[strum(serialize = "work-to-leaving")]
    WorkToDraining,
    /// A planned stop aborted a request.
    #[strum(serialize = "request-cut-off")]
    RequestAborted,
    /// A caller received the answer to another request.
    #[strum(serialize = "crossed-answer")]
    MismatchedAnswer,
}

/// Subject of a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViolationSubject {
    /// A caller's send.
    Send {
        /// Its number.
        send: u64,
    },
    /// A non-idempotent request.
    Run {
        /// The caller.
        caller: String,
        /// The caller's own request id.
        caller_request: String,
    },
    /// A daemon's configuration.
    Config {
        /// The daemon.
        daemon: String,
        /// The earlier revision.
        previous: ConfigRevision,
        /// The smaller revision that followed.
        later: ConfigRevision,
    },
    /// An attempt at a target.
    Work {
        /// The target.
        target: String,
        /// The attempt.
        attempt: u64,
    },
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was observed, relative to the start of the history.
    pub at: Duration,
    /// The kind of violation.
    pub kind: ViolationKind,
    /// The subject of the violation.
    pub subject: ViolationSubject,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: ", self.at, self.kind)?;
        match &self.subject {
            ViolationSubject::Send { send } => write!(f, "send {send}"),
            ViolationSubject::Run { caller, caller_request } => {
                write!(f, "request {caller_request} of {caller}")
            }
            ViolationSubject::Config { daemon, previous, later } => {
                write!(f, "{daemon} had revision {} and later {}", previous.0, later.0)
            }
            ViolationSubject::Work { target, attempt } => {
                write!(f, "attempt {attempt} at {target}")
            }
        }
    }
}

/// Returns all violations in `records`, which must be ordered by time.
pub fn check(records: &[HistoryRecord], options: &Options) -> Vec<Violation> {
    let mut violations = answers::check(records, &options.corpora);
    violations.extend(runs::check(records));
    violations.extend(daemons::check(records));
    violations.extend(targets::check(records, options.drain_grace));
    violations.sort_by_key(|violation| violation.at);
    violations
}
