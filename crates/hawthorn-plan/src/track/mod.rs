//! The life of one query in the front: events in, actions out.
//!
//! [`start`] gives the first [`Step`], and [`QueryTrack::step`] takes the track
//! by value and gives the next. [`Step::Finished`] holds no track, so that a
//! query finishes exactly once by its type. The table may be a newer one at
//! each step: pieces are matched by their id, never by the shard's key.

mod answer;
mod piece;
mod recover;
mod state;
mod wire;

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ZoneKey;

pub use self::state::QueryTrack;
pub use self::wire::Action;
pub use self::wire::BatchId;
pub use self::wire::BatchSend;
pub use self::wire::FinishedQuery;
pub use self::wire::PieceAnswer;
pub use self::wire::PieceId;
pub use self::wire::PieceOutcome;
pub use self::wire::PieceSend;
pub use self::wire::TrackCounts;
use crate::budget::RetryBudget;
use crate::plan;
use crate::table::ShardTable;

/// What to do when a target searched less than it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum RepartitionPolicy {
    /// Keep what was searched, and search only what is left.
    #[default]
    SearchRest,
    /// Drop what was searched, and plan the whole piece anew.
    WholePiece,
}

/// Limits of one query.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How zones are chosen.
    pub plan: plan::Options,
    /// Attempts for one key, the first included. Two zones besides the own one
    /// and one second search after a repartition is the most that helps.
    pub max_attempts: u32,
    /// Times the whole query may be planned anew at a newer version. A second
    /// publication within one deadline is an index that is being churned.
    pub max_replans: u32,
    /// Time that must be left for planning the whole query anew.
    pub min_replan_time: Duration,
    /// How long before the deadline the answer leaves, so that it arrives in
    /// time: merging and the way to the caller.
    pub answer_reserve: Duration,
    /// Part of the time left, as a divisor, after which a silent owner's
    /// pieces are asked of another zone as well.
    pub silence_divisor: u32,
    /// What is done after a repartition.
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
            silence_divisor: 2,
            repartition: RepartitionPolicy::default(),
        }
    }
}

/// The query that is tracked.
#[derive(Clone, Copy, Debug)]
pub struct TrackedQuery {
    /// The keys asked for.
    pub range: KeyRange,
    /// At most so many matches.
    pub limit: usize,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// Any random number, fixed for the query.
    pub random: u64,
}

/// What the front knows at the moment of a step.
#[derive(Debug)]
pub struct TrackContext<'a> {
    /// Now.
    pub now: Duration,
    /// The shards of the service as known now.
    pub table: &'a ShardTable,
    /// The zone of this front.
    pub local_zone: ZoneKey,
    /// Extra pieces that may be sent, shared with the other queries.
    pub budget: &'a mut RetryBudget,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An owner answered a batch.
    BatchAnswered {
        /// The batch, as echoed.
        batch: BatchId,
        /// Who answered.
        host: HostKey,
        /// The outcome of every piece.
        pieces: Vec<PieceAnswer>,
    },
    /// An owner cannot be reached: its connection broke or its heartbeats ended.
    OwnerLost(HostKey),
    /// The moment of the last [`Action::Wake`] has come.
    Timer,
    /// The caller went away or the host must stop now; answer with what there is.
    Stop,
}

/// What follows.
#[derive(Debug)]
pub enum Step {
    /// The query goes on.
    Waiting(Box<QueryTrack>, Vec<Action>),
    /// The query is over; the batches still open are to be cancelled.
    Finished(Box<FinishedQuery>, Vec<Action>),
}

/// Plans the query and gives the first step.
///
/// When nothing can be searched the query is over at once, with its coverage.
pub fn start(query: TrackedQuery, context: &mut TrackContext<'_>, options: Options) -> Step {
    QueryTrack::new(query, options).begin(context)
}
