//! Events that the daemon passes to the owner, and actions that the owner returns.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::TickTime;
use hawthorn_types::AttemptId;
use hawthorn_types::CallerKey;
use hawthorn_types::DesiredState;
use hawthorn_types::FailureReason;
use hawthorn_types::IndexVersion;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::UnknownReason;
use hawthorn_types::caller::UrgencyClass;
use hawthorn_types::target::TargetRefusal;

/// Identifies one piece: the part of a request that concerns one shard. Assigned by the daemon,
/// unique among unfinished pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PieceKey(pub u64);

/// Configuration of a target that this owner holds.
///
/// Keys are stable for the lifetime of an owner: a target that is removed and added again keeps
/// its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target.
    pub key: TargetKey,
    /// Concurrent requests that this owner may send to it.
    pub slots: u16,
    /// The state that operators want it to be in.
    pub wanted: DesiredState,
    /// Shards of which it holds a replica.
    pub shards: SmallVec<[ShardKey; 2]>,
}

/// The origin of a drain signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// The platform's list of hosts.
    Platform,
    /// The target itself.
    Target,
    /// Operators.
    Operators,
}

/// A shard at an index version, as held by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldShard {
    /// The shard.
    pub shard: ShardKey,
    /// The index version.
    pub version: IndexVersion,
}

/// Information about a target from any source but an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The target answered `GET /state`. The report can be stale or wrong.
    Reported {
        /// The phase that it reports.
        phase: TargetPhase,
        /// All shards and versions that it reports to hold.
        held: SmallVec<[HeldShard; 4]>,
    },
    /// `GET /state` was not answered.
    Unreachable,
    /// The source wants the target drained: it gets no new work from now on.
    DrainStarted(DrainSource),
    /// The source withdrew its drain signal.
    DrainCleared(DrainSource),
}

/// A piece as submitted to an owner: one shard at one version for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedPiece {
    /// The piece.
    pub piece: PieceKey,
    /// The caller, which is charged for the slot time.
    pub caller: CallerKey,
    /// Priority class of the request.
    pub urgency: UrgencyClass,
    /// The shard.
    pub shard: ShardKey,
    /// The index version; only targets that hold it can answer.
    pub version: IndexVersion,
    /// Time after which the answer is useless.
    pub deadline: TickTime,
    /// Expected slot time, where the front has a better estimate than the caller's average.
    pub expected_cost: Option<Duration>,
    /// The request is not idempotent: it is sent at most once, never hedged or retried.
    pub at_most_once: bool,
    /// The piece can be relayed to another zone's owner. A second attempt at a target that already
    /// has one is then not made, as the relay is the better use of the budget.
    pub relayable: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered this attempt.
    Answered,
    /// The target rejected the request without running it.
    Refused(TargetRefusal),
    /// The connection could not be established, or broke.
    ConnectionFailed {
        /// Whether any byte of the request may have reached the target.
        sent: bool,
    },
    /// No answer before the deadline; the connection is closed.
    TimedOut,
    /// The answer does not match this attempt; the connection is closed.
    Crossed,
    /// The answer exceeded the size limit; the connection is closed.
    TooLarge,
    /// The target acknowledged the cancellation.
    Cancelled,
}

/// The final result of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceResult {
    /// Answered; only the answer to this attempt may be delivered.
    Answered {
        /// The attempt whose answer is delivered.
        attempt: AttemptId,
        /// Its target.
        target: TargetKey,
    },
    /// An idempotent piece that has no answer.
    Missing(MissingReason),
    /// A non-idempotent piece that cannot have run.
    NotRun(RefusalReason),
    /// A non-idempotent piece that may have run.
    Unknown(UnknownReason),
    /// A non-idempotent piece that ran, without a usable answer.
    Failed(FailureReason),
    /// Cancelled by the front.
    Cancelled {
        /// Whether an attempt may have reached a target.
        sent: bool,
    },
}

/// An action for the daemon to execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send an attempt. Its end, of whichever kind, is to be reported with `complete`.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The piece it belongs to.
        piece: PieceKey,
        /// The target to send it to.
        target: TargetKey,
        /// Time after which the answer is useless.
        deadline: TickTime,
    },
    /// Send `POST /cancel`. The end of the attempt is to be reported with `complete`.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Its target.
        target: TargetKey,
    },
    /// Close the connection that carries the attempt, as its cancellation was not acknowledged.
    /// The end of the attempt need not be reported.
    Close {
        /// The attempt.
        attempt: AttemptId,
        /// Its target.
        target: TargetKey,
    },
    /// Report the final result of a piece to the front.
    Finish {
        /// The piece.
        piece: PieceKey,
        /// Its result.
        result: PieceResult,
    },
    /// Send `GET /state` and report the outcome with `observe`, also when there is no answer.
    Probe {
        /// The target to probe.
        target: TargetKey,
    },
}
