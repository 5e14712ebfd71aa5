//! What a track tells the daemon to do, and what comes back.

use std::time::Duration;

use hawthorn_types::AnswerCoverage;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RetryReason;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use hawthorn_types::target::DocumentMatch;
use strum::EnumCount;

/// A batch of one query; echoed by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u32);

/// A piece of one query; echoed by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u32);

/// One piece as sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceSend {
    /// The piece.
    pub piece: PieceId,
    /// The shard, in the table given to this step.
    pub shard: ShardKey,
    /// The zone whose replicas are to search it.
    pub zone: ZoneKey,
    /// The keys to search.
    pub range: KeyRange,
}

/// One message to one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchSend {
    /// The batch.
    pub batch: BatchId,
    /// The owner.
    pub host: HostKey,
    /// The version to search.
    pub version: IndexVersion,
    /// The pieces.
    pub pieces: Vec<PieceSend>,
}

/// What the daemon is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a batch.
    Send(BatchSend),
    /// Tell the owner that the batch is no longer wanted.
    Cancel {
        /// The batch.
        batch: BatchId,
        /// Its owner.
        host: HostKey,
    },
    /// Give [`super::Event::Timer`] at this moment; replaces the earlier moment.
    Wake(Duration),
}

/// What became of a piece at its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum PieceOutcome {
    /// A target searched.
    Answered {
        /// The version searched.
        version: IndexVersion,
        /// The keys searched, within those asked.
        searched: RangeSet,
        /// How many documents matched there.
        total: u64,
        /// The best of them.
        matches: Vec<DocumentMatch>,
    },
    /// No target searched.
    Missing(MissingReason),
    /// The targets no longer hold the version.
    VersionRetired {
        /// The versions they hold now.
        versions: Vec<IndexVersion>,
    },
}

/// A piece as answered.
#[derive(Clone, Debug, PartialEq)]
pub struct PieceAnswer {
    /// The piece, as echoed.
    pub piece: PieceId,
    /// What became of it.
    pub outcome: PieceOutcome,
}

/// What one query cost and what it threw away.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct TrackCounts {
    /// Pieces sent, all attempts.
    pub pieces_sent: u32,
    /// Times the whole query was planned anew.
    pub replans: u32,
    /// Answered pieces that came after they were settled or given up.
    pub late: u32,
    /// Answered pieces that belonged to no batch of the query.
    pub crossed: u32,
    /// Answered pieces that were at another version, outside the range asked
    /// or absent from the owner's answer.
    pub bad: u32,
    retries: [u32; RetryReason::COUNT],
}

impl TrackCounts {
    /// Extra pieces sent for `reason`.
    pub fn retried(&self, reason: RetryReason) -> u32 {
        self.retries[reason as usize]
    }

    pub(super) fn retry(&mut self, reason: RetryReason) {
        self.retries[reason as usize] += 1;
    }
}

/// The whole answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedQuery {
    /// The one version of every match; `None` when nothing could be searched.
    pub version: Option<IndexVersion>,
    /// What the answer covers.
    pub coverage: AnswerCoverage,
    /// How many documents matched in the ranges covered.
    pub total: u64,
    /// The best matches, descending by score.
    pub matches: Vec<DocumentMatch>,
    /// What it cost.
    pub counts: TrackCounts,
}
