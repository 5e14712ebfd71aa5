//! Reasons, one value for each cause that is counted and reported to callers.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

macro_rules! reason_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident,)+ }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
            Display, EnumCount, EnumIter, EnumString, IntoStaticStr,
        )]
        #[serde(rename_all = "kebab-case")]
        #[strum(serialize_all = "kebab-case")]
        pub enum $name { $($(#[$vdoc])* $variant,)+ }
    };
}

reason_enum! {
    /// Why a request was not run. Used only when no attempt can have reached a
    /// target, so that the request can be retried safely.
    RefusalReason {
        /// The request's body is larger than the limit.
        BodyTooLarge,
        /// The request is malformed.
        BadRequest,
        /// The caller is not named in the rules.
        UnknownCaller,
        /// The service is not named in the inventory.
        UnknownService,
        /// The deadline is zero.
        DeadlinePast,
        /// The caller's request id is longer than allowed or malformed.
        BadRequestId,
        /// The client sent its request too slowly.
        SlowClient,
        /// The expected wait is longer than the time left until the deadline.
        WaitBeyondDeadline,
        /// A bounded queue is full.
        QueueFull,
        /// The caller uses its full share, and other callers need theirs.
        CallerOverShare,
        /// No target that holds the key is reachable.
        NoTarget,
        /// The deadline passed before the request was sent to a target.
        ExpiredInQueue,
        /// The host is stopping and accepts no new requests.
        Stopping,
        /// The host has no configuration yet.
        NoConfiguration,
        /// The claim that prevents a second run of the request could not be recorded.
        ClaimUnavailable,
        /// The caller's request id is older than the window in which claims are kept.
        RequestIdTooOld,
        /// The caller's request id has a timestamp ahead of the host's clock.
        RequestIdInFuture,
        /// The target refused before it ran the request.
        TargetRefused,
        /// No host that owns the target could be reached.
        OwnerUnreachable,
        /// The configuration lacks what the request names, and may be an old one.
        StaleConfiguration,
        /// The caller's request id is ahead of the host's clock by no more than clocks may differ.
        ClockUncertain,
    }
}

reason_enum! {
    /// Why it is unknown whether a non-idempotent request ran.
    UnknownReason {
        /// The connection broke after the request was sent.
        ConnectionLost,
        /// The deadline passed after the request was sent.
        DeadlinePast,
        /// An earlier send of the same request id holds the claim, and its outcome is unknown.
        ClaimedEarlier,
        /// The claim may or may not have been recorded.
        ClaimUncertain,
        /// The host that was running the request could not be reached again.
        OwnerLost,
    }
}

reason_enum! {
    /// Why a request that ran did not succeed.
    FailureReason {
        /// The target ran the request and reported an error.
        TargetError,
        /// The target's answer did not echo the request, or could not be parsed.
        BadAnswer,
    }
}

reason_enum! {
    /// Why a range is missing from an answer.
    MissingReason {
        /// No target that is switched on holds the range.
        NoReplica,
        /// Targets hold the range, but none can be reached.
        Unreachable,
        /// No reachable target holds the range at the answer's version.
        VersionMissing,
        /// The targets that hold the range are shedding load.
        Shedding,
        /// No slot became free before the deadline.
        QueuedPastDeadline,
        /// The target did not answer before the deadline.
        DeadlinePast,
        /// The target's answer does not belong to this request or is invalid.
        BadAnswer,
        /// The target's answer was larger than the limit.
        AnswerTooLarge,
        /// The owner of the targets could not be reached.
        OwnerUnreachable,
        /// The shard was repartitioned, and the moved keys were not found in time.
        Repartitioned,
        /// The retry budget was spent.
        BudgetSpent,
    }
}

reason_enum! {
    /// Why a further attempt was made.
    RetryReason {
        /// The first attempt is slower than the hedge delay.
        Hedge,
        /// The connection failed.
        ConnectionFailed,
        /// The target refused: it is shedding load.
        Shedding,
        /// The target refused: it is draining.
        Draining,
        /// The target refused: it is cold.
        Cold,
        /// The target no longer holds the version.
        VersionRetired,
        /// The target searched only part of the requested range.
        Repartitioned,
        /// The target's answer did not belong to the request.
        CrossedAnswer,
        /// The owner did not answer, and another owner holds replicas.
        OwnerLost,
    }
}
