//! Pieces and batches of one query.

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ShardKey;
use smallvec::SmallVec;

use super::action::PieceId;
use crate::plan::TriedOwner;

/// Owners to which one piece was sent.
pub(super) type TriedOwners = SmallVec<[TriedOwner; 4]>;

/// One piece, across all its attempts.
#[derive(Clone, Debug)]
pub(super) struct PieceRecord {
    pub(super) shard: ShardKey,
    pub(super) range: KeyRange,
    /// Owners to which it was sent, including the current one.
    pub(super) tried: TriedOwners,
    /// Attempts for these keys, including those of the pieces it was split from.
    pub(super) attempts: u32,
    /// Attempts without an answer yet.
    pub(super) open: u32,
    /// Answered, given up, or replaced by other pieces.
    pub(super) settled: bool,
}

/// One message to one owner.
#[derive(Clone, Debug)]
pub(super) struct BatchRecord {
    pub(super) host: HostKey,
    /// In ascending order.
    pub(super) pieces: Vec<PieceId>,
    pub(super) sent_at: Duration,
    /// Neither answered nor given up.
    pub(super) open: bool,
    /// Its pieces were hedged in another zone.
    pub(super) hedged: bool,
}
