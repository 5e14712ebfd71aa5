//! Records of the pieces and batches of one query.

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ShardKey;
use smallvec::SmallVec;

use super::wire::PieceId;
use crate::plan::TriedOwner;

/// Owners that were tried with one piece.
pub(super) type TriedOwners = SmallVec<[TriedOwner; 4]>;

/// One piece, over all its attempts.
#[derive(Clone, Debug)]
pub(super) struct PieceRecord {
    pub(super) shard: ShardKey,
    pub(super) range: KeyRange,
    /// Owners that were asked, the present one included.
    pub(super) tried: TriedOwners,
    /// Attempts made for these keys, those of the pieces it came from included.
    pub(super) attempts: u32,
    /// Attempts not yet answered.
    pub(super) open: u32,
    /// Answered, given up, or replaced by other pieces.
    pub(super) settled: bool,
}

/// One message to one owner.
#[derive(Clone, Debug)]
pub(super) struct BatchRecord {
    pub(super) host: HostKey,
    /// Ascending.
    pub(super) pieces: Vec<PieceId>,
    pub(super) sent_at: Duration,
    /// Neither answered nor given up.
    pub(super) open: bool,
    /// Its pieces were asked of another zone as well.
    pub(super) hedged: bool,
}
