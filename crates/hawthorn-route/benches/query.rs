//! Processor time of the decisions on one scatter-gather query.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use hawthorn_route::admission;
use hawthorn_route::admission::QueryAdmission;
use hawthorn_route::admission::QueryLoad;
use hawthorn_route::document::GatherRule;
use hawthorn_route::gatherers;
use hawthorn_route::gatherers::ZoneHost;
use hawthorn_route::merge::TopRecords;
use hawthorn_route::placement;
use hawthorn_route::registry;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::scatter;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["east", "west", "south"];

/// Shards with one target in each of three zones.
fn shards(count: usize) -> (TargetRegistry, GatherRule) {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    for shard in 0..count {
        for zone in ZONES {
            let entry = support::entry(&format!("t{shard}-{zone}"), &format!("s{shard}"), zone);
            registry.put(entry, support::revision(1), NOW);
        }
    }
    let shards = (0..count).map(|shard| format!("s{shard}")).collect();
    (registry, GatherRule { shards, top: 10, min_share: 0.9 })
}

fn queries(criterion: &mut Criterion) {
    for count in [20, 90, 270] {
        let (registry, rule) = shards(count);
        let service_time = Duration::from_millis(15);
        let target_latency = Duration::from_millis(120);
        let view = support::view(&registry, service_time, target_latency, NOW);
        let mut rng = StdRng::seed_from_u64(1);
        let options = placement::Options::default();
        criterion.bench_function(&format!("plan over {count} shards"), |bench| {
            bench.iter(|| black_box(scatter::plan(view, &rule, &mut rng, &options)));
        });
        let plan = scatter::plan(view, &rule, &mut rng, &options);
        criterion.bench_function(&format!("delegation of {count} shards"), |bench| {
            bench.iter(|| black_box(plan.delegate(|_| true, &scatter::Options::default())));
        });
        let body: Vec<u8> = (0..160_u32).map(|byte| (byte * 37) as u8).collect();
        criterion.bench_function(&format!("merge of {count} parts"), |bench| {
            bench.iter(|| {
                let mut records = TopRecords::new(rule.top);
                (0..count).for_each(|_| records.add(&body));
                black_box(records.into_body())
            });
        });
        let waits = vec![Duration::from_millis(3); count];
        criterion.bench_function(&format!("admission of a query over {count} shards"), |bench| {
            let mut query_admission = QueryAdmission::default();
            let waits = waits.clone();
            let load = QueryLoad { waits, shards: count, max_missing: 2, ..QueryLoad::default() };
            bench.iter(|| {
                if query_admission.admit(NOW, true, &admission::Options::default()) {
                    query_admission.finish(
                        NOW,
                        service_time,
                        target_latency,
                        Some(&load),
                        &admission::Options::default(),
                    );
                }
            });
        });
    }
    let hosts: Vec<ZoneHost> = (0..160).map(|id| ZoneHost { id, capacity: 250 }).collect();
    criterion.bench_function("gatherers of 160 hosts", |bench| {
        bench.iter(|| black_box(gatherers::choose(&hosts, 100.0)));
    });
}

criterion_group!(benches, queries);
criterion_main!(benches);
