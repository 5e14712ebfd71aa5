//! Actions that a track requests from the daemon, and the results that return.

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

/// Identifies a batch within its query; echoed by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u32);

/// Identifies a piece within its query; echoed by the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u32);

/// One attempt of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceSend {
    /// The piece.
    pub piece: PieceId,
    /// The shard, a key of the table passed to this step.
    pub shard: ShardKey,
    /// The zone whose replicas search it.
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

/// An action for the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a batch.
    Send(BatchSend),
    /// Cancel a batch at its owner.
    Cancel {
        /// The batch.
        batch: BatchId,
        /// Its owner.
        host: HostKey,
    },
    /// Send [`super::Event::Timer`] at this time; replaces the previous timer.
    Wake(Duration),
}

/// The outcome of a piece at its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum PieceOutcome {
    /// A target searched the piece.
    Answered {
        /// The version searched.
        version: IndexVersion,
        /// The keys searched, a subset of the requested ones.
        searched: RangeSet,
        /// Number of documents that matched in these keys.
        total: u64,
        /// The best matches.
        matches: Vec<DocumentMatch>,
    },
    /// No target searched the piece.
    Missing(MissingReason),
    /// The targets no longer hold the version.
    VersionRetired {
        /// The versions that they hold now.
        versions: Vec<IndexVersion>,
    },
}

/// An owner's answer for one piece.
#[derive(Clone, Debug, PartialEq)]
pub struct PieceAnswer {
    /// The piece id, as echoed by the owner.
    pub piece: PieceId,
    /// The outcome.
    pub outcome: PieceOutcome,
}

/// Attempts, retries and discarded answers of one query.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct TrackCounts {
    /// Pieces sent, including retries.
    pub pieces_sent: u32,
    /// How often the query was replanned.
    pub replans: u32,
    /// Answers for pieces that were already settled or given up.
    pub late: u32,
    /// Answers that match no batch or piece of the query.
    pub crossed: u32,
    /// Invalid answers: at another version, outside the requested range, or missing
    /// from the owner's answer.
    pub bad: u32,
    retries: [u32; RetryReason::COUNT],
}

impl TrackCounts {
    /// Extra pieces sent for `reason`.
    pub fn retried(&self, reason: RetryReason) -> u32 {
        self.retries[reason as usize]
    }

    pub(super) fn count_retry(&mut self, reason: RetryReason) {
        self.retries[reason as usize] += 1;
    }
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedQuery {
    /// The index version of all matches; `None` when nothing could be searched.
    pub version: Option<IndexVersion>,
    /// What the answer covers.
    pub coverage: AnswerCoverage,
    /// Number of documents that matched in the ranges covered.
    pub total: u64,
    /// The best matches, descending by score.
    pub matches: Vec<DocumentMatch>,
    /// Attempts, retries and discarded answers.
    pub counts: TrackCounts,
}
