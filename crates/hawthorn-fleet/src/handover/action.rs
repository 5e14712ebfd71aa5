//! What the hand-over asks of the daemon, and counts.

use super::SlotShare;
use crate::message::HandoverMessage;
use crate::message::MemberId;

/// What the daemon must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverAction {
    /// Pass to [`MemberTable::send_handover`](crate::MemberTable::send_handover).
    Send {
        /// The other owner.
        to: MemberId,
        /// What to tell it.
        message: HandoverMessage,
    },
    /// This host's share of a bucket changed.
    ShareChanged {
        /// The bucket.
        bucket: u16,
        /// The share from now on.
        share: SlotShare,
    },
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverCounters {
    /// Buckets taken over.
    pub acquired: u64,
    /// Buckets handed over.
    pub yielded: u64,
    /// Claims by others on buckets owned here.
    pub contested: u64,
    /// Buckets taken whole though a live former owner never let go.
    pub forced: u64,
}
