//! CPU cost of an owner's decisions for one shard request: submit, send and answer.
//!
//! Allocations are not counted, as a counting allocator needs unsafe code, which the workspace
//! forbids. The steady state uses arenas and ring buffers sized beforehand.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use smallvec::smallvec;

use hawthorn_decide::AttemptResult;
use hawthorn_decide::OwnerAction;
use hawthorn_decide::OwnerState;
use hawthorn_decide::PieceKey;
use hawthorn_decide::QueuedPiece;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::TickTime;
use hawthorn_decide::owner;
use hawthorn_types::AttemptId;
use hawthorn_types::CallerKey;
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::caller::UrgencyClass;

const SHARDS: u32 = 30;
const REPLICAS: u32 = 2;
const SLOTS: u16 = 2;
const SERVICE: u64 = 5_000;
const SECOND: u64 = 1_000_000;

/// An owner and its attempts in flight, oldest first.
struct OwnerDriver {
    owner: OwnerState,
    now: u64,
    next: u64,
    callers: u32,
    in_flight: std::collections::VecDeque<(u64, AttemptId)>,
}

impl OwnerDriver {
    fn new(callers: u32) -> Self {
        let mut owner = OwnerState::new(owner::Options::default(), 1);
        let record = |target| TargetRecord {
            key: TargetKey(target),
            slots: SLOTS,
            wanted: DesiredState::Serve,
            shards: smallvec![ShardKey(target % SHARDS)],
        };
        let records: Vec<_> = (0..SHARDS * REPLICAS).map(record).collect();
        owner.set_targets(TickTime(0), &records);
        Self { owner, now: 0, next: 0, callers, in_flight: Default::default() }
    }

    /// Advances time by `gap`, completes the attempts that are due and submits the next piece.
    fn step(&mut self, gap: u64) {
        self.now += gap;
        let now = TickTime(self.now);
        while let Some((due, attempt)) = self.in_flight.front().copied() {
            if due > self.now {
                break;
            }
            self.in_flight.pop_front();
            self.owner.complete(now, attempt, AttemptResult::Answered);
        }
        self.owner.tick(now);
        let shard = ShardKey((self.next % u64::from(SHARDS)) as u32);
        let caller = CallerKey((self.next / u64::from(SHARDS) % u64::from(self.callers)) as u32);
        let outcome = self.owner.submit(
            now,
            QueuedPiece {
                piece: PieceKey(self.next),
                caller,
                urgency: UrgencyClass::Urgent,
                shard,
                version: IndexVersion(1),
                deadline: TickTime(self.now + SECOND),
                expected_cost: None,
                at_most_once: false,
                relayable: false,
            },
        );
        black_box(outcome);
        self.next += 1;
        while let Some(action) = self.owner.poll_action() {
            if let OwnerAction::Send { attempt, .. } = action {
                self.in_flight.push_back((self.now + SERVICE, attempt));
            }
            black_box(&action);
        }
    }
}

/// Time between two pieces, in microseconds, at `load` times the capacity of the slots.
fn gap(load: f64) -> u64 {
    let slots = f64::from(SHARDS * REPLICAS) * f64::from(SLOTS);
    (SERVICE as f64 / slots / load).max(1.0) as u64
}

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("shard_request");
    group.throughput(Throughput::Elements(1));
    for (name, load) in [("half", 0.5), ("twice", 2.0)] {
        for callers in [2, 16, 128] {
            let mut driver = OwnerDriver::new(callers);
            for _ in 0..100_000 {
                driver.step(gap(load));
            }
            group.bench_function(BenchmarkId::new(name, callers), |bencher| {
                bencher.iter(|| driver.step(gap(load)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
