//! Outcomes of attempts, and reasons for refusing requests.

use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// The outcome of an attempt at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The target executed the request and answered with success.
    Answered,
    /// The target executed the request and answered with an error.
    Failed,
    /// No connection to the target could be established, so that nothing was sent.
    NotSent,
    /// The request's time ran out before it was sent.
    Expired,
    /// The caller's key was revoked, or may have been, before the request was sent.
    KeyRefused,
    /// The target rejected the request without executing it.
    NotRun,
    /// Another target listens on the address; it did not execute the request.
    Misdirected,
    /// The answer belongs to another request; this one may have been executed.
    Mismatched,
    /// The connection broke or the answer was malformed; the request may have been executed.
    Broken,
    /// No answer arrived in time; the request may have been executed.
    Silent,
}

impl AttemptEnd {
    /// Whether the target may have executed the request.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotSent | Self::Expired | Self::KeyRefused | Self::NotRun | Self::Misdirected
        )
    }
}

/// Why a request is refused. A refused request has not been executed and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// This host has no configuration yet.
    NoConfiguration,
    /// No target of the service is known.
    NoTarget,
    /// All targets rejected the request without executing it.
    TargetsFull,
    /// No connection to any target could be established.
    Unreachable,
    /// The time left is too short for an answer.
    TooLate,
    /// The host is stopping, and the answer would not arrive before it exits.
    Stopping,
    /// The retry budget is exhausted.
    BudgetSpent,
    /// The host has reached its limit of concurrent requests.
    HostFull,
    /// The configuration was not confirmed recently, so that the caller's key may have been revoked.
    StaleKeys,
    /// The caller's key was revoked after the request was admitted.
    KeyRevoked,
    /// The customer's quota is exhausted.
    OverQuota,
    /// No host that holds a part of the customer's quota is reachable.
    NoQuota,
    /// More urgent requests use the capacity, and the request could not be answered in time.
    Overloaded,
    /// The request is quarantined because it, or others of its caller, crashed targets.
    Quarantined,
    /// The request does not fit the configuration, which was not confirmed recently: a newer version
    /// may allow it.
    StaleConfiguration,
    /// A version that is not in force yet allows the request.
    NotInForce,
}
