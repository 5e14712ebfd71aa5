//! What an attempt and a request came to, as values.

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// What is known after an attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The target ran the request and answered it with success.
    Answered,
    /// The target ran the request and answered it with a failure of its own.
    Failed,
    /// Nothing reached the target: no connection could be had.
    NotSent,
    /// The target says that it did not run the request.
    NotRun,
    /// Another target has the address; it did not run the request.
    Misdirected,
    /// The connection broke or the answer was no answer to this request: it may have run.
    Broken,
    /// No answer came in time: it may have run.
    Silent,
}

impl AttemptEnd {
    /// The target may have worked on the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun | Self::Misdirected)
    }
}

/// Why a request is refused: it has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// This host knows no configuration yet.
    NoConfiguration,
    /// No target of the service is known.
    NoTarget,
    /// All targets said that they did not run it.
    TargetsFull,
    /// No connection to any target could be had.
    Unreachable,
    /// Too little time is left to be answered.
    TooLate,
    /// Extra attempts are used up.
    BudgetSpent,
    /// The host holds as many requests as it may.
    HostFull,
    /// The request is quarantined because it, or others of its caller, crashed targets.
    Quarantined,
}
