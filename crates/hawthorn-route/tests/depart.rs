//! When answers leave, for callers near and far and on hosts calm and busy.

use std::time::Duration;

use hawthorn_route::send_deadline;
use hawthorn_route::send_deadline::CallerRtt;
use hawthorn_route::send_deadline::LagMeter;
use hawthorn_route::send_deadline::Options;
use hawthorn_route::send_deadline::RequestArrival;
use hawthorn_route::send_deadline::RttMeter;

const AIM: Duration = Duration::from_millis(150);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whole answers come late by a hair: a caller's clock runs from before its
/// connection, so on a new one two round trips are gone when the answer is
/// there, and on a kept one a single one. An answer that leaves when it is due
/// has to be there within the aim, wherever the caller is.
#[test]
fn an_answer_that_is_due_is_in_time_at_any_distance() {
    struct Case {
        name: &'static str,
        /// One way, ms.
        way: u64,
        fresh: bool,
        /// How long the host takes to send what is due, ms.
        lag: u64,
        /// The least time that it has for gathering, ms.
        least: u64,
    }
    let cases = [
        Case { name: "near, kept", way: 1, fresh: false, lag: 1, least: 140 },
        Case { name: "near, new", way: 1, fresh: true, lag: 1, least: 140 },
        Case { name: "three ms, kept", way: 3, fresh: false, lag: 1, least: 135 },
        Case { name: "three ms, new", way: 3, fresh: true, lag: 1, least: 130 },
        Case { name: "nine ms, new", way: 9, fresh: true, lag: 1, least: 100 },
        // The lag counts twice, up to a fifth of the aim: 150 - 36 - 9 - 30.
        Case { name: "nine ms, new, a busy host", way: 9, fresh: true, lag: 20, least: 75 },
    ];
    for case in &cases {
        let way = millis(case.way);
        let path = CallerRtt { round_trip: way * 2, deviation: way / 2 };
        // The caller's clock begins at zero.
        let came = if case.fresh { way * 3 } else { way };
        let clock = RequestArrival { arrived: came, new_connection: case.fresh, rtt: Some(path) };
        let leaves =
            send_deadline::send_deadline(&clock, AIM, millis(case.lag), &Options::default());
        let there = leaves + millis(case.lag) + way;
        assert!(there <= AIM, "{}: there after {there:?}", case.name);
        assert!(leaves - came >= millis(case.least), "{}: {leaves:?}", case.name);
    }
}

/// A host of an eighth of a core finds a request 2 to 14 ms after it came, and takes
/// it for as young. What it sends as late again reaches its caller a hair too late,
/// though both are its habit.
#[test]
fn a_request_that_is_read_late_is_answered_in_time() {
    for lag in [0, 2, 8, 14].map(millis) {
        let way = millis(2);
        let path = CallerRtt { round_trip: way * 2, deviation: Duration::ZERO };
        let clock = RequestArrival { arrived: way + lag, new_connection: false, rtt: Some(path) };
        let there = send_deadline::send_deadline(&clock, AIM, lag, &Options::default()) + lag + way;
        assert!(there <= AIM, "lag {lag:?}: there after {there:?}");
    }
}

/// A caller is so far away that no answer can be in time. It is gathered for half
/// of the aim all the same: what leaves at once would be late and empty.
#[test]
fn what_cannot_be_in_time_is_gathered_all_the_same() {
    let path = CallerRtt { round_trip: millis(200), deviation: millis(50) };
    let clock = RequestArrival { arrived: millis(300), new_connection: true, rtt: Some(path) };
    let leaves = send_deadline::send_deadline(&clock, AIM, millis(900), &Options::default());
    assert_eq!(leaves, millis(300) + AIM / 2);
}

/// The kernel tells no round trip: the one of the settings stands for it.
#[test]
fn a_silent_kernel_leaves_the_round_trip_of_the_settings() {
    let clock = RequestArrival { arrived: millis(10), new_connection: false, rtt: None };
    let options = Options { round_trip: millis(12), margin_share: 0.0, ..Options::default() };
    assert_eq!(
        send_deadline::send_deadline(&clock, AIM, Duration::ZERO, &options),
        millis(10 + 150 - 12)
    );
}

/// A caller acknowledges late, 40 ms after its answer came, and the kernel's
/// round trip holds that. The one of the handshake stands, until so many
/// requests have told more that the caller has moved.
#[test]
fn delayed_acknowledgements_make_no_caller_distant() {
    let mut meter = RttMeter::default();
    assert_eq!(meter.rtt(), None);
    let near = CallerRtt { round_trip: millis(6), deviation: millis(3) };
    let delayed = CallerRtt { round_trip: millis(46), deviation: millis(10) };
    meter.learn(near);
    for _ in 0..7 {
        meter.learn(delayed);
        assert_eq!(meter.rtt(), Some(near));
    }
    meter.learn(delayed);
    assert_eq!(meter.rtt(), Some(delayed), "the caller has moved");
    meter.learn(near);
    assert_eq!(meter.rtt(), Some(near), "and come back");
}

/// Guards against answers that are late by a hair although nine in ten are not: one in ten is
/// far more than what the parts of the last milliseconds are worth.
#[test]
fn a_share_of_lags_is_reckoned_with_and_a_single_stop_is_not() {
    let mut meter = LagMeter::default();
    (0..29).for_each(|_| meter.learn(millis(1)));
    (0..2).for_each(|_| meter.learn(millis(6)));
    meter.learn(millis(700));
    assert_eq!(meter.lag(), millis(1));
    assert_eq!(meter.lag_within(0.1), millis(1), "one in ten may be longer");
    assert_eq!(meter.lag_within(0.03), millis(6), "but for the single stop");
    assert_eq!(meter.lag_within(0.0), millis(6));
}

/// A host whose turns are long sends late what is due, and reckons with it within
/// a few answers; one long stop of the process is none of its habits.
#[test]
fn the_lag_follows_a_busy_host_and_forgets_a_single_stop() {
    let mut meter = LagMeter::default();
    assert_eq!(meter.lag(), Duration::ZERO);
    (0..32).for_each(|_| meter.learn(millis(1)));
    meter.learn(millis(700));
    assert_eq!(meter.lag(), millis(1), "one stop");
    (0..4).for_each(|_| meter.learn(millis(12)));
    assert_eq!(meter.lag(), millis(12), "long turns");
    (0..32).for_each(|_| meter.learn(millis(1)));
    assert_eq!(meter.lag(), millis(1), "calm again");
}
