//! What the daemon tells the owner, and what the owner tells the daemon to do.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::TickTime;
use hawthorn_types::AttemptId;
use hawthorn_types::CallerKey;
use hawthorn_types::FailureReason;
use hawthorn_types::IndexVersion;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::UnknownReason;
use hawthorn_types::WantedState;
use hawthorn_types::caller::UrgencyClass;
use hawthorn_types::target::TargetRefusal;

/// Names one piece, one shard's part of one request. The daemon chooses it;
/// unique among the pieces that are not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PieceKey(pub u64);

/// A target that this owner owns, as configured.
///
/// Keys stay the same for the life of an owner: a target that goes and comes
/// back has the key it had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The target.
    pub key: TargetKey,
    /// Requests it works on at a time, as this owner may use them.
    pub slots: u16,
    /// What operators want of it.
    pub wanted: WantedState,
    /// The shards it holds a replica of.
    pub shards: SmallVec<[ShardKey; 2]>,
}

/// Where a leaving sign came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's list of hosts.
    Platform,
    /// The target itself.
    Target,
    /// The operators.
    Operators,
}

/// A shard that a target holds at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldShard {
    /// The shard.
    pub shard: ShardKey,
    /// The version.
    pub version: IndexVersion,
}

/// What the daemon learnt of a target other than from an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The target answered `GET /state`. It may lag or mislead.
    Reported {
        /// The phase it says it is in.
        phase: TargetPhase,
        /// Everything it says it holds.
        held: SmallVec<[HeldShard; 4]>,
    },
    /// `GET /state` was not answered.
    Unreachable,
    /// It is leaving; nothing new goes to it from now on.
    Leaving(LeavingSource),
    /// The source no longer says that it is leaving.
    Staying(LeavingSource),
}

/// One shard at one version for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedPiece {
    /// The piece.
    pub piece: PieceKey,
    /// Whose request it is; charged for the slot time.
    pub caller: CallerKey,
    /// How much a late answer hurts.
    pub urgency: UrgencyClass,
    /// The shard.
    pub shard: ShardKey,
    /// The index version; only a target holding it can answer.
    pub version: IndexVersion,
    /// When the answer is of no more use.
    pub deadline: TickTime,
    /// The slot time it is expected to take, when the front knows better than
    /// the caller's average.
    pub expected_cost: Option<Duration>,
    /// A non-idempotent request: sent at most once, never hedged or retried.
    pub at_most_once: bool,
    /// Another zone's owner can be asked in its stead: a second attempt at a
    /// target that already has one would spend the budget on the worse chance.
    pub relayable: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered this attempt.
    Answered,
    /// The target refused and did not run it.
    Refused(TargetRefusal),
    /// The connection could not be made or broke.
    ConnectionFailed {
        /// Whether any byte of the request may have reached the target.
        sent: bool,
    },
    /// No answer in time; the connection is closed.
    TimedOut,
    /// The answer echoed something else; the connection is closed.
    Crossed,
    /// The answer was larger than the limit; the connection is closed.
    TooLarge,
    /// The target acknowledged the cancellation.
    Cancelled,
}

/// What became of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceResult {
    /// Deliver the answer to this attempt, and no other.
    Answered {
        /// The attempt that won.
        attempt: AttemptId,
        /// Its target.
        target: TargetKey,
    },
    /// An idempotent piece has no answer.
    Missing(MissingReason),
    /// A non-idempotent piece cannot have reached a target.
    NotRun(RefusalReason),
    /// A non-idempotent piece may have run.
    Unknown(UnknownReason),
    /// A non-idempotent piece ran and its answer cannot be used.
    Failed(FailureReason),
    /// It was cancelled by the front.
    Cancelled {
        /// Whether an attempt may have reached a target.
        sent: bool,
    },
}

/// Something for the daemon to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Send an attempt. Report its end with `complete`, whatever ends it.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The piece it belongs to.
        piece: PieceKey,
        /// Where to.
        target: TargetKey,
        /// When its answer is of no more use.
        deadline: TickTime,
    },
    /// Send `POST /cancel`; report the end of the attempt with `complete`.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Its target.
        target: TargetKey,
    },
    /// Close the connection that carries the attempt: its cancellation was not
    /// acknowledged. Nothing more needs to be reported of it.
    Close {
        /// The attempt.
        attempt: AttemptId,
        /// Its target.
        target: TargetKey,
    },
    /// Tell the front; the last word on this piece.
    Finish {
        /// The piece.
        piece: PieceKey,
        /// What became of it.
        result: PieceResult,
    },
    /// Send `GET /state` and report with `observe`, also when unanswered.
    Probe {
        /// Where to.
        target: TargetKey,
    },
}
