//! Estimates of how long a request has waited before it is read.

use std::time::Duration;

use hawthorn_edge::process::loop_clock::LoopClock;

/// Guards against taking a host that has just started for busy since the machine was switched on.
#[test]
fn nothing_arrived_before_the_loop_started() {
    let clock = LoopClock::new();
    clock.start(Duration::from_secs(90));
    assert_eq!(clock.busy_for(Duration::from_millis(90_020)), Duration::from_millis(20));
}

/// Guards against stale deadlines: a host is busy for 700 ms, and a request that arrived at the
/// beginning is read at the end, when its caller no longer waits. Without the busy time,
/// targets would still get part of the deadline. While the loop is idle between turns, no
/// request is old.
#[test]
fn request_age_is_at_most_the_busy_time_of_the_loop() {
    struct Case {
        name: &'static str,
        /// Times of park and unpark, in microseconds.
        parks: &'static [(u64, u64)],
        now: u64,
        busy: u64,
    }
    let cases = [
        Case { name: "idle just before", parks: &[(0, 5_000)], now: 5_100, busy: 100 },
        Case { name: "busy for a long time", parks: &[(0, 5_000)], now: 705_000, busy: 700_000 },
        Case {
            name: "parked too briefly to be idle",
            parks: &[(0, 5_000), (300_000, 300_050)],
            now: 700_000,
            busy: 695_000,
        },
        Case {
            name: "idle in between",
            parks: &[(0, 5_000), (300_000, 301_000)],
            now: 301_500,
            busy: 500,
        },
    ];
    for case in cases {
        let clock = LoopClock::new();
        for (parked, unparked) in case.parks {
            clock.park(Duration::from_micros(*parked));
            clock.unpark(Duration::from_micros(*unparked));
        }
        let busy = clock.busy_for(Duration::from_micros(case.now));
        assert_eq!(busy, Duration::from_micros(case.busy), "{}", case.name);
    }
}

/// Guards against refusing every request as too old: the loop of a saturated host is never idle,
/// but reads each request soon after its arrival.
#[test]
fn what_the_loop_has_read_does_not_count_as_waiting() {
    struct Case {
        name: &'static str,
        /// Start times of the completed checks, in milliseconds.
        checks: &'static [u64],
        busy: u64,
    }
    let cases = [
        Case { name: "no check", checks: &[], busy: 3_000 },
        Case { name: "one check", checks: &[2_400], busy: 600 },
        Case { name: "several checks", checks: &[2_400, 2_800, 2_990], busy: 10 },
        Case { name: "a check from before the last idle time", checks: &[2_990, 500], busy: 10 },
    ];
    for case in cases {
        let clock = LoopClock::new();
        clock.park(Duration::ZERO);
        clock.unpark(Duration::from_millis(1));
        let now = Duration::from_millis(3_001);
        for check in case.checks {
            clock.record_read(Duration::from_millis(*check + 1));
        }
        assert_eq!(clock.busy_for(now), Duration::from_millis(case.busy), "{}", case.name);
    }
}
