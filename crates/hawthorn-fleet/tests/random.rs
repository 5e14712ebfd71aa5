//! Random orders of events: what must hold holds after each of them.

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
use support::Switch;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

const DAEMONS: usize = 6;
const ZONES: usize = 2;
/// After faults end, all is well again within this time: the 30 s for which the
/// last part of a zone keeps to half, and the time to find a death out.
const HEALED: u64 = 40_000;
/// Until then, running daemons hold each other for live again.
const MET: u64 = 15_000;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    CutZone(usize),
    Heal,
    Loss(u8),
    Doubled(u8),
    Late(u64),
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
        (daemon.clone(), daemon).prop_map(|(from, to)| Fault::Cut(from, to)),
        (0..ZONES).prop_map(Fault::CutZone),
        Just(Fault::Heal),
        (0..40_u8).prop_map(Fault::Loss),
        (0..40_u8).prop_map(Fault::Doubled),
        (1_000..300_000_u64).prop_map(Fault::Late),
        Just(Fault::Edit),
        any::<bool>().prop_map(Fault::Outage),
        (10..6_000_u64).prop_map(Fault::Wait),
    ]
}

/// What each daemon knew before: it may only grow.
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

    /// A new process knows nothing.
    fn forget(&mut self, index: usize) {
        self.revisions[index] = 0;
        self.stamps[index] = vec![0; DAEMONS];
    }

    fn check(&mut self, switch: &Switch) -> Result<(), TestCaseError> {
        for (index, daemon) in switch.daemons.iter().enumerate() {
            let revision = daemon.propagation.in_force().unwrap_or_default().revision.0;
            prop_assert!(revision >= self.revisions[index], "revision of {index} went back");
            self.revisions[index] = revision;
            for (other, known) in self.stamps[index].iter_mut().enumerate() {
                let id = MemberId::of(&switch.daemons[other].name);
                let record = daemon.table.record_by_id(id);
                let incarnation = record.map_or(*known, |record| record.stamp.incarnation);
                prop_assert!(incarnation >= *known, "{index}: incarnation of {other} went back");
                *known = incarnation;
            }
        }
        Ok(())
    }
}

fn apply(switch: &mut Switch, marks: &mut Watermarks, fault: &Fault) {
    let now = switch.now.as_millis() as u64;
    match *fault {
        Fault::Kill(index) => switch.kill(index),
        Fault::Restart(index) => {
            switch.restart(index, now);
            marks.forget(index);
        }
        Fault::Pause(index, time) => {
            switch.pause(index);
            switch.run_for(ms(time));
            switch.resume(index);
        }
        Fault::Cut(from, to) => {
            switch.cuts.insert((from, to));
        }
        Fault::CutZone(zone) => {
            let inside = switch.members_of(&format!("zone-{zone}"));
            let outside: Vec<usize> = (0..DAEMONS).filter(|it| !inside.contains(it)).collect();
            switch.cut(&inside, &outside);
        }
        Fault::Heal => switch.cuts.clear(),
        Fault::Loss(percent) => switch.loss = f64::from(percent) / 100.0,
        Fault::Doubled(percent) => switch.doubled = f64::from(percent) / 100.0,
        Fault::Late(micros) => switch.delay = (500, micros),
        Fault::Edit => {
            marks.edits += 1;
            let revision = ConfigRevision(marks.edits);
            switch.write_store(ConfigEdition { revision, edit: marks.edits });
        }
        Fault::Outage(up) => switch.store.up = up,
        Fault::Wait(time) => switch.run_for(ms(time)),
    }
}

/// Whatever happened, in whatever order: nothing goes back, and once faults
/// end, all running daemons see each other, share the newest revision, and
/// each bucket has exactly one owner at all of its slots.
#[test]
fn nothing_goes_back_and_all_meet_in_the_end() -> TestResult {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let faults = proptest::collection::vec(fault(), 1..24);
    runner.run(&(any::<u64>(), faults), |(seed, faults)| {
        let mut switch = Switch::with(seed, DAEMONS, ZONES);
        switch.write_store(ConfigEdition { revision: ConfigRevision(1), edit: 1 });
        switch.run_for(ms(5_000));
        let mut marks = Watermarks::new();
        for fault in &faults {
            apply(&mut switch, &mut marks, fault);
            switch.run_for(ms(50));
            marks.check(&switch)?;
        }
        switch.cuts.clear();
        switch.store.up = true;
        (switch.loss, switch.doubled, switch.delay) = (0.0, 0.0, (500, 1_500));
        switch.run_for(ms(MET));
        let up = |it: usize| switch.daemons[it].up;
        for (a, b) in (0..DAEMONS).flat_map(|a| (0..DAEMONS).map(move |b| (a, b))) {
            prop_assert!(!up(a) || !up(b) || switch.sees(a, b), "{a} sees {b} in time");
        }
        switch.run_for(ms(HEALED - MET));
        marks.check(&switch)?;
        check_settled(&switch, marks.edits)
    })?;
    Ok(())
}

fn check_settled(switch: &Switch, edits: u64) -> Result<(), TestCaseError> {
    let running: Vec<usize> = (0..DAEMONS).filter(|&it| switch.daemons[it].up).collect();
    for &index in &running {
        for other in 0..DAEMONS {
            // Nobody is left to judge a whole zone that is gone: it counts as lost.
            let zone = &switch.daemons[other].zone;
            let owns = switch.daemons[index]
                .table
                .owners(zone)
                .any(|owner| owner.id == MemberId::of(&switch.daemons[other].name));
            prop_assert_eq!(owns, switch.daemons[other].up, "{} as seen by {}", other, index);
        }
        let revision = switch.daemons[index].propagation.in_force().unwrap_or_default().revision;
        prop_assert_eq!(revision, ConfigRevision(edits), "revision of {}", index);
    }
    for zone in (0..ZONES).map(|zone| format!("zone-{zone}")) {
        let served = running.iter().any(|&index| switch.daemons[index].zone == zone);
        for bucket in 0..hawthorn_fleet::ownership::DEFAULT_BUCKETS {
            let halves = switch.halves(&zone, bucket);
            prop_assert_eq!(halves, if served { 2 } else { 0 }, "{} bucket {}", zone, bucket);
        }
    }
    Ok(())
}
