//! What planning costs: a query of 270 shards over three zones, with buffers
//! used again, and the same into fresh ones.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use hawthorn_plan::PlanInput;
use hawthorn_plan::QueryPlan;
use hawthorn_plan::ReplicaOption;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_plan::plan;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;

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
    let input = PlanInput::first(&table, KeyRange::WHOLE, ZoneKey(0), remaining);
    let mut group = criterion.benchmark_group("plan of 270 pieces");
    group.throughput(Throughput::Elements(u64::from(SHARDS)));
    let mut kept = QueryPlan::default();
    group.bench_function("buffers used again", |bencher| {
        bencher.iter(|| {
            plan::plan_into(black_box(&input), &mut kept, &options);
            black_box(kept.piece_count())
        });
    });
    group.bench_function("fresh buffers", |bencher| {
        bencher.iter(|| black_box(plan::plan(black_box(&input), &options)).piece_count());
    });
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = plan_query
}
criterion_main!(benches);
