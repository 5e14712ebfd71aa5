//! Cost of a query of 270 shards over three zones at the front: planning with
//! reused and with new buffers, and processing from start to finish.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use hawthorn_plan::PlanInput;
use hawthorn_plan::QueryPlan;
use hawthorn_plan::ReplicaOption;
use hawthorn_plan::RetryBudget;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_plan::plan;
use hawthorn_plan::track;
use hawthorn_plan::track::Action;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Event;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::PieceOutcome;
use hawthorn_plan::track::Step;
use hawthorn_plan::track::TrackContext;
use hawthorn_plan::track::TrackedQuery;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use hawthorn_types::target::DocumentMatch;

const SHARDS: u32 = 270;
const ZONES: u32 = 3;
const OWNERS_PER_ZONE: u32 = 3;

fn table() -> ShardTable {
    let shard = |number: u32| {
        let options = (0..ZONES).map(|zone| ReplicaOption {
            zone: ZoneKey(zone),
            owner: HostKey(zone * OWNERS_PER_ZONE + number % OWNERS_PER_ZONE),
            versions: [IndexVersion(7), IndexVersion(8)].into_iter().collect(),
            expected_wait: Duration::from_micros(u64::from(number % 7) * 900),
        });
        ShardRecord::new(ShardKey(number), KeyRange::part(number, SHARDS), options)
    };
    ShardTable::new((0..SHARDS).map(shard).collect())
}

fn plan_query(criterion: &mut Criterion) {
    let table = table();
    let options = plan::Options::default();
    let remaining = Duration::from_millis(50);
    let input = PlanInput::first(&table, KeyRange::FULL, ZoneKey(0), remaining);
    let mut group = criterion.benchmark_group("plan of 270 pieces");
    group.throughput(Throughput::Elements(u64::from(SHARDS)));
    let mut reused = QueryPlan::default();
    group.bench_function("buffers used again", |bencher| {
        bencher.iter(|| {
            plan::plan_into(black_box(&input), &mut reused, &options);
            black_box(reused.piece_count())
        });
    });
    group.bench_function("fresh buffers", |bencher| {
        bencher.iter(|| black_box(plan::plan(black_box(&input), &options)).piece_count());
    });
    group.finish();
}

/// Processes a query in the front: planned, sent to three owners, answered with
/// one match for each shard, merged.
fn track_query(criterion: &mut Criterion) {
    let table = table();
    let mut budget = RetryBudget::default();
    let query = TrackedQuery {
        range: KeyRange::FULL,
        limit: 100,
        deadline: Duration::from_millis(50),
        random: 1,
    };
    criterion.bench_function("life of a query of 270 pieces", |bencher| {
        bencher.iter(|| {
            let mut context = TrackContext {
                now: Duration::ZERO,
                table: &table,
                local_zone: ZoneKey(0),
                budget: &mut budget,
            };
            let mut step = track::start(query, &mut context, track::Options::default());
            let mut unanswered = Vec::new();
            loop {
                let (track, actions) = match step {
                    Step::Waiting(track, actions) => (track, actions),
                    Step::Finished(answer, _) => return black_box(answer.total),
                };
                unanswered.extend(actions.into_iter().filter_map(|action| match action {
                    Action::Send(send) => Some(send),
                    Action::Cancel { .. } | Action::Wake(_) => None,
                }));
                let send = unanswered.pop().expect("a waiting query has an open batch");
                step = track.step(answer(send), &mut context);
            }
        });
    });
}

fn answer(send: BatchSend) -> Event {
    let pieces = send.pieces.iter().map(|piece| PieceAnswer {
        piece: piece.piece,
        outcome: PieceOutcome::Answered {
            version: send.version,
            searched: piece.range.into(),
            total: 1,
            matches: vec![DocumentMatch {
                key: piece.range.start,
                id: piece.range.start.to_string(),
                score: 1.0,
                text: String::new(),
            }],
        },
    });
    Event::BatchAnswered { batch: send.batch, host: send.host, pieces: pieces.collect() }
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = plan_query, track_query
}
criterion_main!(benches);
