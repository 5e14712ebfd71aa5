//! Reads the history of a run and reports every broken promise.
//!
//! The checker knows the generated documents, so it compares what an answer
//! claims to cover with what a complete search of just those ranges finds.

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

/// What to check against.
#[derive(Clone, Debug)]
pub struct Options {
    /// The documents of each service. Answers of other services are checked
    /// without them.
    pub corpora: Vec<Arc<Corpus>>,
    /// How long work may still reach a target that is leaving.
    pub drain_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { corpora: Vec::new(), drain_grace: Duration::from_secs(5) }
    }
}

/// A promise that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum BrokenPromise {
    /// An answer holds documents of another index version than it states.
    MixedVersions,
    /// An answer states a coverage that its matches or ranges do not bear out.
    OverstatedCoverage,
    /// A non-idempotent request ran twice.
    DoubledRun,
    /// A request was said not to have run although it had.
    FalseNotRun,
    /// A daemon went back to an older configuration.
    ConfigWentBack,
    /// Work reached a target that had been leaving for too long.
    WorkToLeaving,
    /// A planned stop cut a request off.
    RequestCutOff,
    /// A caller got an answer that was not to its request.
    CrossedAnswer,
}

/// What a broken promise is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokenSubject {
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
        /// The revision it had.
        had: ConfigRevision,
        /// The smaller one it had later.
        later: ConfigRevision,
    },
    /// Work at a target.
    Work {
        /// The target.
        target: String,
        /// The attempt.
        attempt: u64,
    },
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it showed, since the history began.
    pub at: Duration,
    /// The promise.
    pub promise: BrokenPromise,
    /// What it is about.
    pub subject: BrokenSubject,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: ", self.at, self.promise)?;
        match &self.subject {
            BrokenSubject::Send { send } => write!(f, "send {send}"),
            BrokenSubject::Run { caller, caller_request } => {
                write!(f, "request {caller_request} of {caller}")
            }
            BrokenSubject::Config { daemon, had, later } => {
                write!(f, "{daemon} had revision {} and later {}", had.0, later.0)
            }
            BrokenSubject::Work { target, attempt } => write!(f, "attempt {attempt} at {target}"),
        }
    }
}

/// Every broken promise in `records`, which stand in the order of their times.
pub fn check(records: &[HistoryRecord], options: &Options) -> Vec<Violation> {
    let mut found = answers::check(records, &options.corpora);
    found.extend(runs::check(records));
    found.extend(daemons::check(records));
    found.extend(targets::check(records, options.drain_grace));
    found.sort_by_key(|violation| violation.at);
    found
}
