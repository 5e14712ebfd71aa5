//! The terms of the expected completion time, and the selection of targets by it.

mod support;

use std::time::Duration;

use hawthorn_route::completion;
use hawthorn_route::completion::CompletionEstimate;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::placement;
use hawthorn_route::placement::Options;
use hawthorn_route::registry;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::target::ReportedLoad;
use hawthorn_route::target::TargetState;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVICE_TIME: Duration = Duration::from_millis(15);
const NOW: Duration = Duration::from_secs(10);

/// A time in the past.
fn ago(millis: u64) -> Duration {
    NOW - Duration::from_millis(millis)
}

/// Records requests that were answered after `latency`, one every 100 ms, the last at `end`.
fn answer(state: &mut TargetState, count: u32, latency: u64, end: Duration) {
    for index in (0..count).rev() {
        let at = end - Duration::from_millis(100) * index;
        let sent = at - Duration::from_millis(latency);
        state.record_end(sent, at, AttemptEnd::Answered, SERVICE_TIME);
    }
}

fn report(state: &mut TargetState, running: u32, waiting: u32, millis_ago: u64) {
    state.report_load(ReportedLoad { running, waiting, slots: 2, at: ago(millis_ago) });
}

/// A service with a target in each of `zones`.
fn service(zones: &[&str]) -> TargetRegistry {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    for (index, zone) in zones.iter().enumerate() {
        let entry = support::entry(&format!("t{index}"), "s", zone);
        registry.put(entry, support::revision(1), Duration::ZERO);
    }
    registry
}

fn change(registry: &mut TargetRegistry, target: usize, change: impl Fn(&mut TargetState)) {
    let key = registry.of_service("s")[target];
    change(registry.get_mut(key).expect("it was registered"));
}

fn estimate(registry: &TargetRegistry, options: &Options) -> CompletionEstimate {
    let view = support::view(registry, SERVICE_TIME, Duration::from_millis(120), NOW);
    let pause = completion::typical_pause(view, "s", options);
    let state = registry.get(registry.of_service("s")[0]).expect("it was registered");
    completion::estimate(view, state, pause, options)
}

/// Guards against estimates that ignore a queue, a pause or a slowdown, or mark a target for one
/// late answer.
#[test]
fn each_term_is_estimated() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut TargetState),
        /// Range of the expected completion time, ms.
        expected: [f64; 2],
    }
    let case = |name, prepare, expected| Case { name, prepare, expected };
    let cases = [
        case("idle", |_| {}, [16.8, 16.9]),
        case("both slots busy", |state| report(state, 2, 0, 10), [29.9, 30.1]),
        case("queue", |state| report(state, 2, 4, 10), [59.9, 60.1]),
        case("queue, older report", |state| report(state, 2, 4, 200), [44.9, 45.1]),
        case("queue, expired report", |state| report(state, 2, 4, 300), [16.8, 16.9]),
        case(
            "requests sent since the report",
            |state| {
                report(state, 2, 0, 10);
                (0..2).for_each(|_| state.record_sent(ago(5)));
            },
            [44.9, 45.1],
        ),
        case("own requests", |state| (0..4).for_each(|_| state.record_sent(ago(5))), [44.9, 45.1]),
        case("a third faster", |state| answer(state, 50, 10, ago(0)), [11.0, 12.5]),
        case("one late answer", |state| answer(state, 1, 150, ago(0)), [16.8, 16.9]),
        case("two late answers", |state| answer(state, 2, 150, ago(0)), [100.0, 170.0]),
        case("four late answers", |state| answer(state, 4, 150, ago(0)), [150.0, 170.0]),
        case(
            "answers delayed by one pause",
            |state| {
                for latency in [150, 140, 130, 120] {
                    let end = NOW - Duration::from_millis(latency / 10);
                    let sent = end - Duration::from_millis(latency);
                    state.record_end(sent, end, AttemptEnd::Answered, SERVICE_TIME);
                }
            },
            [16.8, 16.9],
        ),
        case(
            "ten times slower, then recovered",
            |state| {
                answer(state, 4, 150, ago(400));
                answer(state, 4, 15, ago(0));
            },
            [16.0, 50.0],
        ),
        case("ten times slower, 8 s ago", |state| answer(state, 4, 150, ago(8000)), [30.0, 50.0]),
        case("one abandoned request", |state| abandon(state, 1), [60.0, 110.0]),
        case("request in flight", |state| state.record_sent(ago(40)), [22.4, 22.6]),
        case("pause", |state| state.record_sent(ago(60)), [62.4, 62.6]),
        case("end of a pause", |state| state.record_sent(ago(95)), [27.4, 27.6]),
        case("longer than a pause", |state| state.record_sent(ago(160)), [182.4, 182.6]),
        case("one overdue request of many", |state| overdue(state, &[100]), [22.4, 22.6]),
        case("several overdue requests", |state| overdue(state, &[100, 90]), [100.0, 130.0]),
        case("cold", |state| state.cold_until = NOW + SERVICE_TIME, [25.2, 25.4]),
    ];
    for case in cases {
        let mut registry = service(&["east"]);
        change(&mut registry, 0, case.prepare);
        let millis = estimate(&registry, &Options::default()).expected().as_secs_f64() * 1000.0;
        let [min, max] = case.expected;
        assert!((min..=max).contains(&millis), "{}: {millis}", case.name);
    }
}

fn abandon(state: &mut TargetState, count: u64) {
    for index in 0..count {
        state.record_sent(ago(200 + index));
        state.record_abandoned(ago(200 + index), NOW, SERVICE_TIME);
    }
}

/// Records requests in flight of the ages in ms, at a target that answers others.
fn overdue(state: &mut TargetState, ages: &[u64]) {
    ages.iter().for_each(|age| state.record_sent(ago(*age)));
    state.record_end(ago(20), ago(5), AttemptEnd::Answered, SERVICE_TIME);
}

/// Guards against the configured pause length at services whose targets pause for longer or
/// shorter: requests would be sent to a target in the middle of its pause.
#[test]
fn pause_lengths_are_learnt_from_all_targets_of_the_service() {
    struct Case {
        name: &'static str,
        /// Latencies of answers at another target, ms.
        latencies: &'static [u64],
        /// Rest of a pause that began 60 ms ago.
        rest: [u64; 2],
    }
    let cases = [
        Case { name: "none observed", latencies: &[], rest: [40, 40] },
        Case { name: "ordinary answers", latencies: &[15, 20, 30], rest: [40, 40] },
        Case { name: "one pause", latencies: &[15, 200, 15], rest: [120, 130] },
        Case { name: "the rest of a pause", latencies: &[200, 15, 90, 15], rest: [110, 130] },
        Case { name: "slow, not paused", latencies: &[15, 200, 200, 200], rest: [40, 40] },
    ];
    for case in cases {
        let mut registry = service(&["east", "east"]);
        for (index, latency) in case.latencies.iter().enumerate() {
            let end = ago(2000 - 300 * index as u64);
            change(&mut registry, 1, |state| answer(state, 1, *latency, end));
        }
        change(&mut registry, 0, |state| state.record_sent(ago(60)));
        let rest = estimate(&registry, &Options::default()).pause.as_millis() as u64;
        assert!((case.rest[0]..=case.rest[1]).contains(&rest), "{}: {rest}", case.name);
    }
}

/// Guards against requests to a target that cannot answer in time while another can, and against
/// avoiding a slow target that can.
#[test]
fn targets_in_time_share_the_requests() {
    struct Case {
        name: &'static str,
        zones: &'static [&'static str],
        target_latency: u64,
        /// Changes the first target.
        prepare: fn(&mut TargetState),
        /// Range of the first target's share.
        share: [f64; 2],
    }
    let case = |name, zones, target_latency, prepare, share| Case {
        name,
        zones,
        target_latency,
        prepare,
        share,
    };
    const LOCAL: &[&str] = &["east", "east", "east"];
    const ZONED: &[&str] = &["east", "west", "south"];
    let cases = [
        case("equal", LOCAL, 120, |_| {}, [0.3, 0.37]),
        case("four times slower, tolerant", LOCAL, 200, |s| answer(s, 6, 60, NOW), [0.08, 0.15]),
        case("four times slower, urgent", LOCAL, 60, |s| answer(s, 6, 60, NOW), [0.0, 0.0]),
        case("ten times slower", LOCAL, 120, |s| answer(s, 4, 150, NOW), [0.0, 0.0]),
        case("paused", LOCAL, 80, |s| s.record_sent(ago(60)), [0.0, 0.0]),
        case("short target latency", LOCAL, 17, |_| {}, [0.3, 0.37]),
        case("own zone", ZONED, 120, |_| {}, [1.0, 1.0]),
        case("own zone, four times slower", ZONED, 120, |s| answer(s, 6, 60, NOW), [1.0, 1.0]),
        case("own zone, end of a pause", ZONED, 120, |s| s.record_sent(ago(60)), [1.0, 1.0]),
        case("own zone, too slow", ZONED, 120, |s| answer(s, 4, 150, NOW), [0.0, 0.0]),
        case("own zone, long queue", ZONED, 120, |s| report(s, 2, 14, 10), [0.0, 0.0]),
    ];
    let options = Options { by_completion: true, ..Options::default() };
    for case in cases {
        let mut registry = service(case.zones);
        change(&mut registry, 0, case.prepare);
        let target_latency = Duration::from_millis(case.target_latency);
        let view = support::view(&registry, SERVICE_TIME, target_latency, NOW);
        let mut rng = StdRng::seed_from_u64(1);
        let first = registry.of_service("s")[0];
        let selections = 3000;
        let selected = (0..selections)
            .filter(|_| placement::select_target(view, "s", &[], &mut rng, &options) == Some(first))
            .count();
        let share = selected as f64 / f64::from(selections);
        assert!((case.share[0]..=case.share[1]).contains(&share), "{}: {share}", case.name);
    }
}
