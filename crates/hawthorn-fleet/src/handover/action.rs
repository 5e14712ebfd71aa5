//! Actions and counters of the handover.

use super::SlotShare;
use crate::message::HandoverMessage;
use crate::message::MemberId;

/// An action for the daemon to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverAction {
    /// Pass to [`MemberTable::send_handover`](crate::MemberTable::send_handover).
    Send {
        /// The other owner.
        to: MemberId,
        /// The message.
        message: HandoverMessage,
    },
    /// This host's share of a bucket changed.
    ShareChanged {
        /// The bucket.
        bucket: u16,
        /// The new share.
        share: SlotShare,
    },
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverCounters {
    /// Buckets acquired.
    pub acquired: u64,
    /// Buckets yielded to another owner.
    pub yielded: u64,
    /// Ownership requests by others for buckets owned here.
    pub contested: u64,
    /// Buckets taken over in full although the former owner, while live, never released them.
    pub forced: u64,
}
