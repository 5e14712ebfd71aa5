//! Send deadlines: answers reach callers in time at any distance, on idle and busy hosts.

use std::time::Duration;

use hawthorn_route::send_deadline;
use hawthorn_route::send_deadline::CallerRtt;
use hawthorn_route::send_deadline::LagMeter;
use hawthorn_route::send_deadline::Options;
use hawthorn_route::send_deadline::RequestArrival;
use hawthorn_route::send_deadline::RttMeter;

const TARGET_LATENCY: Duration = Duration::from_millis(150);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against complete answers that are late by very little: a caller measures from before
/// it connects, so that two round trips pass on a new connection and one on a kept connection.
/// An answer sent at its deadline must arrive within the target latency at any distance.
#[test]
fn answers_sent_at_the_deadline_are_in_time_at_any_distance() {
    struct Case {
        name: &'static str,
        /// One-way latency, ms.
        one_way: u64,
        new_connection: bool,
        /// Scheduling delay of the host, ms.
        lag: u64,
        /// Minimum time for gathering, ms.
        min: u64,
    }
    let cases = [
        Case { name: "1 ms, kept", one_way: 1, new_connection: false, lag: 1, min: 140 },
        Case { name: "1 ms, new", one_way: 1, new_connection: true, lag: 1, min: 140 },
        Case { name: "3 ms, kept", one_way: 3, new_connection: false, lag: 1, min: 135 },
        Case { name: "3 ms, new", one_way: 3, new_connection: true, lag: 1, min: 130 },
        Case { name: "9 ms, new", one_way: 9, new_connection: true, lag: 1, min: 100 },
        // The scheduling delay is subtracted twice, up to a fifth of the target latency:
        // 150 - 36 - 9 - 30.
        Case { name: "9 ms, new, busy host", one_way: 9, new_connection: true, lag: 20, min: 75 },
    ];
    for case in &cases {
        let one_way = millis(case.one_way);
        let rtt = CallerRtt { round_trip: one_way * 2, deviation: one_way / 2 };
        // The caller starts to measure at zero.
        let arrived = if case.new_connection { one_way * 3 } else { one_way };
        let arrival =
            RequestArrival { arrived, new_connection: case.new_connection, rtt: Some(rtt) };
        let deadline = send_deadline::send_deadline(
            &arrival,
            TARGET_LATENCY,
            millis(case.lag),
            &Options::default(),
        );
        let received = deadline + millis(case.lag) + one_way;
        assert!(received <= TARGET_LATENCY, "{}: received after {received:?}", case.name);
        assert!(deadline - arrived >= millis(case.min), "{}: {deadline:?}", case.name);
    }
}

/// Guards against counting the scheduling delay only once: a host with an eighth of a core reads
/// a request 2 to 14 ms after it arrived, records that time as its arrival, and sends the answer
/// late by the same delay.
#[test]
fn requests_that_are_read_late_are_answered_in_time() {
    for lag in [0, 2, 8, 14].map(millis) {
        let one_way = millis(2);
        let rtt = CallerRtt { round_trip: one_way * 2, deviation: Duration::ZERO };
        let arrival =
            RequestArrival { arrived: one_way + lag, new_connection: false, rtt: Some(rtt) };
        let received =
            send_deadline::send_deadline(&arrival, TARGET_LATENCY, lag, &Options::default())
                + lag
                + one_way;
        assert!(received <= TARGET_LATENCY, "lag {lag:?}: received after {received:?}");
    }
}

/// No answer can reach a very distant caller in time. It is gathered for half of the target
/// latency nevertheless, because an answer that is sent at once would be late and empty.
#[test]
fn answers_that_cannot_be_in_time_are_gathered_nevertheless() {
    let rtt = CallerRtt { round_trip: millis(200), deviation: millis(50) };
    let arrival = RequestArrival { arrived: millis(300), new_connection: true, rtt: Some(rtt) };
    let deadline =
        send_deadline::send_deadline(&arrival, TARGET_LATENCY, millis(900), &Options::default());
    assert_eq!(deadline, millis(300) + TARGET_LATENCY / 2);
}

/// The kernel reports no round trip: the configured one is used.
#[test]
fn the_configured_round_trip_is_used_if_the_kernel_reports_none() {
    let arrival = RequestArrival { arrived: millis(10), new_connection: false, rtt: None };
    let options = Options { round_trip: millis(12), margin_share: 0.0, ..Options::default() };
    assert_eq!(
        send_deadline::send_deadline(&arrival, TARGET_LATENCY, Duration::ZERO, &options),
        millis(10 + 150 - 12)
    );
}

/// Guards against overestimating the distance of a caller that delays acknowledgements by 40 ms,
/// which the kernel's round trip includes. The handshake's round trip is used until eight
/// requests in a row have had a greater one, which means that the latency has increased.
#[test]
fn delayed_acknowledgements_do_not_raise_the_round_trip() {
    let mut meter = RttMeter::default();
    assert_eq!(meter.rtt(), None);
    let near = CallerRtt { round_trip: millis(6), deviation: millis(3) };
    let delayed = CallerRtt { round_trip: millis(46), deviation: millis(10) };
    meter.record(near);
    for _ in 0..7 {
        meter.record(delayed);
        assert_eq!(meter.rtt(), Some(near));
    }
    meter.record(delayed);
    assert_eq!(meter.rtt(), Some(delayed), "the latency has increased");
    meter.record(near);
    assert_eq!(meter.rtt(), Some(near), "and decreased again");
}

/// Guards against answers that are late by very little although nine in ten are in time: one
/// late answer in ten costs far more than the parts that arrive in the last milliseconds add.
#[test]
fn a_share_of_scheduling_delays_is_covered_and_a_single_pause_is_ignored() {
    let mut meter = LagMeter::default();
    (0..29).for_each(|_| meter.record(millis(1)));
    (0..2).for_each(|_| meter.record(millis(6)));
    meter.record(millis(700));
    assert_eq!(meter.lag(), millis(1));
    assert_eq!(meter.lag_within(0.1), millis(1), "one in ten may exceed it");
    assert_eq!(meter.lag_within(0.03), millis(6), "except for the single pause");
    assert_eq!(meter.lag_within(0.0), millis(6));
}

/// A host whose event loop iterations are long sends answers late and accounts for that within
/// a few answers. A single long pause of the process is ignored.
#[test]
fn the_scheduling_delay_follows_a_busy_host_and_ignores_a_single_pause() {
    let mut meter = LagMeter::default();
    assert_eq!(meter.lag(), Duration::ZERO);
    (0..32).for_each(|_| meter.record(millis(1)));
    meter.record(millis(700));
    assert_eq!(meter.lag(), millis(1), "single pause");
    (0..4).for_each(|_| meter.record(millis(12)));
    assert_eq!(meter.lag(), millis(12), "long iterations");
    (0..32).for_each(|_| meter.record(millis(1)));
    assert_eq!(meter.lag(), millis(1), "idle again");
}
