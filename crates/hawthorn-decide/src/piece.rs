//! State of unfinished pieces and of attempts that hold a slot, kept in the owner's arenas.

use smallvec::SmallVec;

use crate::arena::ArenaHandle;
use crate::message::QueuedPiece;
use crate::time::TickTime;
use hawthorn_types::AttemptId;
use hawthorn_types::MissingReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

/// The end of an intrusive list of pieces.
pub(crate) const NO_LINK: u32 = u32::MAX;

/// An unfinished piece.
#[derive(Debug)]
pub(crate) struct LivePiece {
    pub(crate) request: QueuedPiece,
    pub(crate) queued_at: TickTime,
    /// Neighbours in the caller's list while the piece is queued.
    pub(crate) prev: u32,
    pub(crate) next: u32,
    pub(crate) waiting: bool,
    /// Slot time to charge for its next attempt, in microseconds.
    pub(crate) cost: u64,
    /// Attempts in flight, oldest first.
    pub(crate) attempts: SmallVec<[ArenaHandle; 3]>,
    /// Targets not tried again, as they failed on the piece or rejected it for a lasting reason.
    pub(crate) excluded_targets: SmallVec<[TargetKey; 3]>,
    /// Reason of the latest such failure; initially the reason for a restarted piece that expires.
    pub(crate) last_reason: MissingReason,
    /// Whether it waits for a slot to be hedged.
    pub(crate) hedge_pending: bool,
    /// Whether its attempts were cancelled once to be replaced by a new one.
    pub(crate) restarted: bool,
    /// Whether an attempt was sent, and so may have reached a target.
    pub(crate) sent: bool,
}

impl LivePiece {
    pub(crate) fn new(request: QueuedPiece, queued_at: TickTime) -> Self {
        Self {
            request,
            queued_at,
            prev: NO_LINK,
            next: NO_LINK,
            waiting: false,
            cost: 0,
            attempts: SmallVec::new(),
            excluded_targets: SmallVec::new(),
            last_reason: MissingReason::DeadlinePast,
            hedge_pending: false,
            restarted: false,
            sent: false,
        }
    }

    pub(crate) fn lane(&self) -> usize {
        self.request.urgency as usize
    }
}

/// An attempt that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LiveAttempt {
    /// The piece; the handle no longer resolves once the piece is finished.
    pub(crate) piece: ArenaHandle,
    pub(crate) target: TargetKey,
    pub(crate) shard: ShardKey,
    pub(crate) caller: u32,
    pub(crate) sent_at: TickTime,
    /// Slot time charged at sending, in microseconds.
    pub(crate) charged: u64,
    /// When it was cancelled, if it was.
    pub(crate) cancelled_at: Option<TickTime>,
}

impl LiveAttempt {
    pub(crate) fn id(handle: ArenaHandle) -> AttemptId {
        AttemptId(handle.pack())
    }
}
