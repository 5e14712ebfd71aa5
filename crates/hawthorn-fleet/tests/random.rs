//! Random sequences of faults: the invariants hold after each of them.

mod support;

use std::error::Error;

use hawthorn_fleet::MemberId;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_types::ConfigRevision;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use support::Simulation;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

const DAEMONS: usize = 6;
const ZONES: usize = 2;
/// Time from the end of faults until everything has recovered: the 30 s for which the last side of
/// a partitioned zone stays at half, and the time to detect a death.
const RECOVERY: u64 = 40_000;
/// Time until running daemons consider each other live again.
const REJOIN: u64 = 15_000;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Block(usize, usize),
    PartitionZone(usize),
    Heal,
    Loss(u8),
    Duplication(u8),
    Delay(u64),
    Edit,
    Outage(bool),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        daemon.clone().prop_map(Fault::Kill),
        daemon.clone().prop_map(Fault::Restart),
        (daemon.clone(), 100..15_000_u64).prop_map(|(index, time)| Fault::Pause(index, time)),
        (daemon.clone(), daemon).prop_map(|(from, to)| Fault::Block(from, to)),
        (0..ZONES).prop_map(Fault::PartitionZone),
        Just(Fault::Heal),
        (0..40_u8).prop_map(Fault::Loss),
        (0..40_u8).prop_map(Fault::Duplication),
        (1_000..300_000_u64).prop_map(Fault::Delay),
        Just(Fault::Edit),
        any::<bool>().prop_map(Fault::Outage),
        (10..6_000_u64).prop_map(Fault::Wait),
    ]
}

/// State known to each daemon, which may only grow.
struct Watermarks {
    revisions: Vec<u64>,
    stamps: Vec<Vec<u64>>,
    edits: u64,
}

impl Watermarks {
    fn new() -> Self {
        let stamps = vec![vec![0; DAEMONS]; DAEMONS];
        Self { revisions: vec![0; DAEMONS], stamps, edits: 1 }
    }

    /// Resets the state of a restarted process.
    fn reset(&mut self, index: usize) {
        self.revisions[index] = 0;
        self.stamps[index] = vec![0; DAEMONS];
    }

    fn check(&mut self, sim: &Simulation) -> Result<(), TestCaseError> {
        for (index, daemon) in sim.daemons.iter().enumerate() {
            let revision = daemon.propagation.in_force().unwrap_or_default().revision.0;
            prop_assert!(revision >= self.revisions[index], "revision of {index} went back");
            self.revisions[index] = revision;
            for (other, known) in self.stamps[index].iter_mut().enumerate() {
                let id = MemberId::of(&sim.daemons[other].name);
                let record = daemon.table.record_by_id(id);
                let incarnation = record.map_or(*known, |record| record.stamp.incarnation);
                prop_assert!(incarnation >= *known, "{index}: incarnation of {other} went back");
                *known = incarnation;
            }
        }
        Ok(())
    }
}

fn apply(sim: &mut Simulation, watermarks: &mut Watermarks, fault: &Fault) {
    let now = sim.now.as_millis() as u64;
    match *fault {
        Fault::Kill(index) => sim.kill(index),
        Fault::Restart(index) => {
            sim.restart(index, now);
            watermarks.reset(index);
        }
        Fault::Pause(index, time) => {
            sim.pause(index);
            sim.run_for(ms(time));
            sim.resume(index);
        }
        Fault::Block(from, to) => {
            sim.blocked.insert((from, to));
        }
        Fault::PartitionZone(zone) => {
            let inside = sim.members_of(&format!("zone-{zone}"));
            let outside: Vec<usize> = (0..DAEMONS).filter(|it| !inside.contains(it)).collect();
            sim.partition(&inside, &outside);
        }
        Fault::Heal => sim.blocked.clear(),
        Fault::Loss(percent) => sim.loss = f64::from(percent) / 100.0,
        Fault::Duplication(percent) => sim.duplication = f64::from(percent) / 100.0,
        Fault::Delay(micros) => sim.delay = (500, micros),
        Fault::Edit => {
            watermarks.edits += 1;
            let revision = ConfigRevision(watermarks.edits);
            sim.write_store(ConfigEdition { revision, edit: watermarks.edits });
        }
        Fault::Outage(up) => sim.store.up = up,
        Fault::Wait(time) => sim.run_for(ms(time)),
    }
}

/// After any sequence of faults no state has regressed, and once faults end, all running daemons
/// see each other, have the newest revision, and each bucket has exactly one owner that uses all of
/// its slots.
#[test]
fn state_never_regresses_and_all_daemons_converge() -> TestResult {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let faults = proptest::collection::vec(fault(), 1..24);
    runner.run(&(any::<u64>(), faults), |(seed, faults)| {
        let mut sim = Simulation::with(seed, DAEMONS, ZONES);
        sim.write_store(ConfigEdition { revision: ConfigRevision(1), edit: 1 });
        sim.run_for(ms(5_000));
        let mut watermarks = Watermarks::new();
        for fault in &faults {
            apply(&mut sim, &mut watermarks, fault);
            sim.run_for(ms(50));
            watermarks.check(&sim)?;
        }
        sim.blocked.clear();
        sim.store.up = true;
        (sim.loss, sim.duplication, sim.delay) = (0.0, 0.0, (500, 1_500));
        sim.run_for(ms(REJOIN));
        let up = |it: usize| sim.daemons[it].up;
        for (a, b) in (0..DAEMONS).flat_map(|a| (0..DAEMONS).map(move |b| (a, b))) {
            prop_assert!(!up(a) || !up(b) || sim.sees(a, b), "{a} sees {b} in time");
        }
        sim.run_for(ms(RECOVERY - REJOIN));
        watermarks.check(&sim)?;
        check_settled(&sim, watermarks.edits)
    })?;
    Ok(())
}

fn check_settled(sim: &Simulation, edits: u64) -> Result<(), TestCaseError> {
    let running: Vec<usize> = (0..DAEMONS).filter(|&it| sim.daemons[it].up).collect();
    for &index in &running {
        for other in 0..DAEMONS {
            // When all hosts of a zone are gone, no member can declare them dead: the zone is lost.
            let zone = &sim.daemons[other].zone;
            let owns = sim.daemons[index]
                .table
                .owners(zone)
                .any(|owner| owner.id == MemberId::of(&sim.daemons[other].name));
            prop_assert_eq!(owns, sim.daemons[other].up, "{} as seen by {}", other, index);
        }
        let revision = sim.daemons[index].propagation.in_force().unwrap_or_default().revision;
        prop_assert_eq!(revision, ConfigRevision(edits), "revision of {}", index);
    }
    for zone in (0..ZONES).map(|zone| format!("zone-{zone}")) {
        let served = running.iter().any(|&index| sim.daemons[index].zone == zone);
        for bucket in 0..hawthorn_fleet::ownership::DEFAULT_BUCKETS {
            let halves = sim.halves(&zone, bucket);
            prop_assert_eq!(halves, if served { 2 } else { 0 }, "{} bucket {}", zone, bucket);
        }
    }
    Ok(())
}
