//! State machine of one query in the front: events in, actions out.
//!
//! [`start`] returns the first [`Step`]; [`QueryTrack::step`] consumes the track
//! and returns the next. [`Step::Finished`] contains no track, so the type system
//! ensures that a query finishes exactly once. The table may be replaced between
//! steps: pieces are matched by their id, never by the shard's key.

mod action;
mod answer;
mod piece;
mod recover;
mod state;

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ZoneKey;

pub use self::action::Action;
pub use self::action::BatchId;
pub use self::action::BatchSend;
pub use self::action::FinishedQuery;
pub use self::action::PieceAnswer;
pub use self::action::PieceId;
pub use self::action::PieceOutcome;
pub use self::action::PieceSend;
pub use self::action::TrackCounts;
pub use self::state::QueryTrack;
use crate::budget::RetryBudget;
use crate::plan;
use crate::table::ShardTable;

/// What to do when a target searched only part of the requested range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum RepartitionPolicy {
    /// Keep the part searched, and search only the remainder.
    #[default]
    SearchRemainder,
    /// Discard the part searched, and plan the piece again.
    RetryPiece,
}

/// Limits of one query.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Parameters of zone selection.
    pub plan: plan::Options,
    /// Maximum attempts for one key, including the first. Allows for two other
    /// zones and one more search after a repartition; further ones do not help.
    pub max_attempts: u32,
    /// How often a query may be replanned at a newer version. A second publication
    /// within one deadline means that index versions are published too often.
    pub max_replans: u32,
    /// Minimum time left for replanning the query.
    pub min_replan_time: Duration,
    /// How long before the deadline the answer is sent; covers merging and the
    /// transfer to the caller.
    pub answer_reserve: Duration,
    /// Fraction of the time left, as a divisor, after which the pieces of an owner
    /// that has not answered are hedged in another zone.
    pub hedge_divisor: u32,
    /// How to recover from a repartition.
    pub repartition: RepartitionPolicy,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            plan: plan::Options::default(),
            max_attempts: 4,
            max_replans: 1,
            min_replan_time: Duration::from_millis(8),
            answer_reserve: Duration::from_millis(2),
            hedge_divisor: 2,
            repartition: RepartitionPolicy::default(),
        }
    }
}

/// A query to track.
#[derive(Clone, Copy, Debug)]
pub struct TrackedQuery {
    /// The keys to search.
    pub range: KeyRange,
    /// Maximum number of matches.
    pub limit: usize,
    /// When the caller stops waiting for the answer.
    pub deadline: Duration,
    /// A random number, fixed for the query; see [`plan::PlanInput::random`].
    pub random: u64,
}

/// State of the front at a step.
#[derive(Debug)]
pub struct TrackContext<'a> {
    /// The current time.
    pub now: Duration,
    /// The current shards of the service.
    pub table: &'a ShardTable,
    /// The zone of this front.
    pub local_zone: ZoneKey,
    /// Budget of extra pieces, shared by all queries of the front.
    pub budget: &'a mut RetryBudget,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An owner answered a batch.
    BatchAnswered {
        /// The batch id, as echoed by the owner.
        batch: BatchId,
        /// The owner that answered.
        host: HostKey,
        /// The outcome of every piece.
        pieces: Vec<PieceAnswer>,
    },
    /// An owner cannot be reached: its connection broke or its heartbeats ended.
    OwnerLost(HostKey),
    /// The time of the last [`Action::Wake`] was reached.
    Timer,
    /// The caller disconnected or the host shuts down: finish with what was searched so far.
    Stop,
}

/// Result of a step.
#[derive(Debug)]
pub enum Step {
    /// The query continues.
    Waiting(Box<QueryTrack>, Vec<Action>),
    /// The query is finished; the actions cancel batches that are still open.
    Finished(Box<FinishedQuery>, Vec<Action>),
}

/// Plans a query and returns its first step.
///
/// The query finishes immediately when nothing can be searched.
pub fn start(query: TrackedQuery, context: &mut TrackContext<'_>, options: Options) -> Step {
    QueryTrack::new(query, options).begin(context)
}
