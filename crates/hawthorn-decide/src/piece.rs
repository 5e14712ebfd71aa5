//! A piece and an attempt while they live in the owner's arenas.

use smallvec::SmallVec;

use crate::arena::ArenaHandle;
use crate::message::QueuedPiece;
use crate::time::TickTime;
use hawthorn_types::AttemptId;
use hawthorn_types::MissingReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

/// No piece, in a list.
pub(crate) const NO_LINK: u32 = u32::MAX;

/// A piece that is not finished.
#[derive(Debug)]
pub(crate) struct LivePiece {
    pub(crate) ask: QueuedPiece,
    pub(crate) queued_at: TickTime,
    /// Neighbours in the caller's list while it waits.
    pub(crate) prev: u32,
    pub(crate) next: u32,
    pub(crate) waiting: bool,
    /// Slot time charged for its next attempt, in microseconds.
    pub(crate) cost: u64,
    /// Attempts on their way, oldest first.
    pub(crate) attempts: SmallVec<[ArenaHandle; 3]>,
    /// Targets that have turned it down or failed it.
    pub(crate) refused: SmallVec<[TargetKey; 3]>,
    /// Why the last of them did; until then, what a restarted piece waits with.
    pub(crate) last_reason: MissingReason,
    /// Whether it waits for a slot for a hedge.
    pub(crate) hedge_due: bool,
    /// Whether an attempt was given up for another in its place.
    pub(crate) restarted: bool,
    /// Whether an attempt may have reached a target.
    pub(crate) sent: bool,
}

impl LivePiece {
    pub(crate) fn new(ask: QueuedPiece, queued_at: TickTime) -> Self {
        Self {
            ask,
            queued_at,
            prev: NO_LINK,
            next: NO_LINK,
            waiting: false,
            cost: 0,
            attempts: SmallVec::new(),
            refused: SmallVec::new(),
            last_reason: MissingReason::DeadlinePast,
            hedge_due: false,
            restarted: false,
            sent: false,
        }
    }

    pub(crate) fn lane(&self) -> usize {
        self.ask.urgency as usize
    }
}

/// An attempt that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LiveAttempt {
    /// The piece; its handle no longer matches once the piece is finished.
    pub(crate) piece: ArenaHandle,
    pub(crate) target: TargetKey,
    pub(crate) shard: ShardKey,
    pub(crate) caller: u32,
    pub(crate) sent_at: TickTime,
    /// Slot time charged when it was sent.
    pub(crate) charged: u64,
    /// When it was cancelled.
    pub(crate) cancelled_at: Option<TickTime>,
}

impl LiveAttempt {
    pub(crate) fn id(handle: ArenaHandle) -> AttemptId {
        AttemptId(handle.pack())
    }
}
