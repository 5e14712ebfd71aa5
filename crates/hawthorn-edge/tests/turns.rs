//! How old a request may be when it is read.

use std::time::Duration;

use hawthorn_edge::process::turns::TurnClock;

/// A small host works for 700 ms without a rest, and a request that came at the
/// beginning is read at the end: its caller no longer waits. Once targets were
/// handed 262 ms for it. While the loop rests between turns, nothing is old.
#[test]
fn a_request_is_as_old_as_the_loop_has_been_at_work() {
    struct Case {
        name: &'static str,
        /// Parks and goes on, in microseconds.
        turns: &'static [(u64, u64)],
        now: u64,
        busy: u64,
    }
    let cases = [
        Case { name: "a rest just before", turns: &[(0, 5_000)], now: 5_100, busy: 100 },
        Case { name: "long at work", turns: &[(0, 5_000)], now: 705_000, busy: 700_000 },
        Case {
            name: "no rest between",
            turns: &[(0, 5_000), (300_000, 300_050)],
            now: 700_000,
            busy: 695_000,
        },
        Case {
            name: "a rest between",
            turns: &[(0, 5_000), (300_000, 301_000)],
            now: 301_500,
            busy: 500,
        },
    ];
    for case in cases {
        let clock = TurnClock::new();
        for (parked, went_on) in case.turns {
            clock.park(Duration::from_micros(*parked));
            clock.unpark(Duration::from_micros(*went_on));
        }
        let busy = clock.busy_for(Duration::from_micros(case.now));
        assert_eq!(busy, Duration::from_micros(case.busy), "{}", case.name);
    }
}
