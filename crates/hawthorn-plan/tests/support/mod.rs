//! Tables of shards, answers of owners, and a front in virtual time.
#![allow(dead_code)]

pub mod virtual_front;

use std::time::Duration;

use hawthorn_plan::ReplicaOption;
use hawthorn_plan::RetryBudget;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_plan::budget;
use hawthorn_plan::track::Action;
use hawthorn_plan::track::BatchSend;
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
use hawthorn_types::MissingReason;
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
    TrackedQuery { range: KeyRange::WHOLE, limit: 100, deadline, draw: 1 }
}

pub fn budget_of(burst: u32) -> RetryBudget {
    RetryBudget::new(budget::Options { burst, percent: 0 })
}

pub fn context<'a>(
    now: Duration,
    table: &'a ShardTable,
    budget: &'a mut RetryBudget,
) -> TrackContext<'a> {
    TrackContext { now, table, own_zone: OWN, budget }
}

/// One document at the first key searched.
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

pub fn all_found(send: &BatchSend) -> Vec<PieceAnswer> {
    answer_each(send, |piece| found(send.version, piece.range.into()))
}

pub fn all_missing(send: &BatchSend, reason: MissingReason) -> Vec<PieceAnswer> {
    answer_each(send, |_| PieceOutcome::Missing(reason))
}

pub fn answer_each(
    send: &BatchSend,
    mut outcome: impl FnMut(&PieceSend) -> PieceOutcome,
) -> Vec<PieceAnswer> {
    let answer = |piece: &PieceSend| PieceAnswer { piece: piece.piece, outcome: outcome(piece) };
    send.pieces.iter().map(answer).collect()
}

pub fn sends(actions: &[Action]) -> Vec<BatchSend> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send(send) => Some(send.clone()),
        Action::Cancel { .. } | Action::Wake(_) => None,
    });
    sends.collect()
}

pub fn waiting(step: Step) -> Result<(Box<QueryTrack>, Vec<Action>), String> {
    match step {
        Step::Waiting(track, actions) => Ok((track, actions)),
        Step::Finished(query, _) => Err(format!("finished too early: {query:?}")),
    }
}

pub fn finished(step: Step) -> Result<(FinishedQuery, Vec<Action>), String> {
    match step {
        Step::Finished(query, actions) => Ok((*query, actions)),
        Step::Waiting(track, _) => Err(format!("still waiting: {track:?}")),
    }
}
