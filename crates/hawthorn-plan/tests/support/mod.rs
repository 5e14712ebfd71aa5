//! Shard tables, owners' answers, and a front in virtual time.
#![allow(dead_code)]

pub mod virtual_front;

use std::time::Duration;

use hawthorn_plan::ReplicaOption;
use hawthorn_plan::RetryBudget;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_plan::budget;
use hawthorn_plan::track;
use hawthorn_plan::track::Action;
use hawthorn_plan::track::BatchId;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Event;
use hawthorn_plan::track::FinishedQuery;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::PieceOutcome;
use hawthorn_plan::track::PieceSend;
use hawthorn_plan::track::QueryTrack;
use hawthorn_plan::track::Step;
use hawthorn_plan::track::TrackContext;
use hawthorn_plan::track::TrackedQuery;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use hawthorn_types::target::DocumentMatch;

pub const OWN: ZoneKey = ZoneKey(0);
pub const OLD: IndexVersion = IndexVersion(7);
pub const NEW: IndexVersion = IndexVersion(8);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn replica(zone: u32, versions: &[IndexVersion], wait: Duration) -> ReplicaOption {
    ReplicaOption {
        zone: ZoneKey(zone),
        owner: HostKey(zone),
        versions: versions.iter().copied().collect(),
        expected_wait: wait,
    }
}

/// `count` equal shards, each with one owner in each of `zones` zones.
pub fn even_shards(count: u32, zones: u32, versions: &[IndexVersion]) -> Vec<ShardRecord> {
    let shard = |number| {
        let options = (0..zones).map(|zone| replica(zone, versions, Duration::ZERO));
        ShardRecord::new(ShardKey(number), KeyRange::part(number, count), options)
    };
    (0..count).map(shard).collect()
}

pub fn even_table(count: u32, zones: u32, versions: &[IndexVersion]) -> ShardTable {
    ShardTable::new(even_shards(count, zones, versions))
}

pub fn query(deadline: Duration) -> TrackedQuery {
    TrackedQuery { range: KeyRange::FULL, limit: 100, deadline, random: 1 }
}

pub fn budget_of(burst: u32) -> RetryBudget {
    RetryBudget::new(budget::Options { burst, percent: 0 })
}

pub fn context<'a>(
    now: Duration,
    table: &'a ShardTable,
    budget: &'a mut RetryBudget,
) -> TrackContext<'a> {
    TrackContext { now, table, local_zone: OWN, budget }
}

/// A document without text.
pub fn document(key: u32, id: &str, score: f32) -> DocumentMatch {
    DocumentMatch { key, id: id.to_owned(), score, text: String::new() }
}

/// The answer of a target that searched `searched` and found one document in each range.
pub fn found(version: IndexVersion, searched: RangeSet) -> PieceOutcome {
    let matches: Vec<_> = searched
        .ranges()
        .iter()
        .map(|range| document(range.start, &format!("{version:?}-{}", range.start), 1.0))
        .collect();
    PieceOutcome::Answered { version, searched, total: matches.len() as u64, matches }
}

pub fn answer_each(
    send: &BatchSend,
    mut outcome: impl FnMut(&PieceSend) -> PieceOutcome,
) -> Vec<PieceAnswer> {
    let answer = |piece: &PieceSend| PieceAnswer { piece: piece.piece, outcome: outcome(piece) };
    send.pieces.iter().map(answer).collect()
}

/// A front with one query, driven event by event.
pub struct Front {
    pub table: ShardTable,
    pub budget: RetryBudget,
    /// Every batch sent so far.
    pub sent: Vec<BatchSend>,
    pub cancelled: Vec<BatchId>,
    pub wake: Duration,
    track: Option<Box<QueryTrack>>,
    answer: Option<FinishedQuery>,
}

impl Front {
    /// Starts a query over all keys with a deadline of 50 ms.
    pub fn start(table: ShardTable, budget: u32) -> Self {
        Self::start_for(KeyRange::FULL, table, budget)
    }

    pub fn start_for(range: KeyRange, table: ShardTable, budget: u32) -> Self {
        let mut front = Self {
            table,
            budget: budget_of(budget),
            sent: Vec::new(),
            cancelled: Vec::new(),
            wake: Duration::ZERO,
            track: None,
            answer: None,
        };
        let query = TrackedQuery { range, ..query(ms(50)) };
        let mut context = context(ms(0), &front.table, &mut front.budget);
        let step = track::start(query, &mut context, track::Options::default());
        front.apply(step);
        front
    }

    /// Handles an event at `at` milliseconds; `Err` when the query is finished.
    pub fn event(&mut self, at: u64, event: Event) -> Result<(), String> {
        let track = self.track.take().ok_or("the query is finished")?;
        let step = track.step(event, &mut context(ms(at), &self.table, &mut self.budget));
        self.apply(step);
        Ok(())
    }

    /// Answers the batch with index `batch` in the order of sending.
    pub fn answer(
        &mut self,
        at: u64,
        batch: usize,
        outcome: impl FnMut(&PieceSend) -> PieceOutcome,
    ) -> Result<(), String> {
        let send = &self.sent[batch];
        let (batch, host) = (send.batch, send.host);
        let pieces = answer_each(send, outcome);
        self.event(at, Event::BatchAnswered { batch, host, pieces })
    }

    /// Answers a batch with all requested keys searched.
    pub fn answer_all(&mut self, at: u64, batch: usize) -> Result<(), String> {
        let version = self.sent[batch].version;
        self.answer(at, batch, |piece| found(version, piece.range.into()))
    }

    /// The answer to the query; `Err` while it is not finished.
    pub fn finished(&self) -> Result<&FinishedQuery, String> {
        self.answer.as_ref().ok_or_else(|| format!("still waiting: {:?}", self.track))
    }

    fn apply(&mut self, step: Step) {
        let actions = match step {
            Step::Waiting(track, actions) => {
                self.track = Some(track);
                actions
            }
            Step::Finished(query, actions) => {
                self.answer = Some(*query);
                actions
            }
        };
        for action in actions {
            match action {
                Action::Send(send) => self.sent.push(send),
                Action::Cancel { batch, .. } => self.cancelled.push(batch),
                Action::Wake(at) => self.wake = at,
            }
        }
    }
}
