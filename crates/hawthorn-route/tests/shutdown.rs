//! The schedule of a planned stop.

use std::time::Duration;

use hawthorn_route::shutdown::ShutdownSchedule;

const STARTED: Duration = Duration::from_secs(100);

/// Guards against a host that exits before its last answers are sent, or closes idle connections
/// while the balancer still sends it callers.
#[test]
fn a_stop_proceeds_in_order() {
    for grace in [4, 6, 30].map(Duration::from_secs) {
        let schedule = ShutdownSchedule::new(STARTED, grace);
        let moments = [
            schedule.started(),
            schedule.drained_at(),
            schedule.idle_close_at(),
            schedule.final_answer_at(),
            schedule.exit_at(),
            STARTED + grace,
        ];
        assert!(moments.is_sorted(), "{grace:?}: {moments:?}");
    }
}

/// Guards against work that is begun although its answer would arrive after the exit.
#[test]
fn work_is_begun_only_if_it_ends_in_time() {
    struct Case {
        expected_ms: u64,
        /// Time after the signal until which it is begun; `None` if it never is.
        begun_until_ms: Option<u64>,
    }
    let cases = [
        Case { expected_ms: 0, begun_until_ms: Some(5580) },
        Case { expected_ms: 1000, begun_until_ms: Some(4580) },
        Case { expected_ms: 5580, begun_until_ms: Some(0) },
        Case { expected_ms: 7000, begun_until_ms: None },
    ];
    let schedule = ShutdownSchedule::new(STARTED, Duration::from_secs(6));
    for Case { expected_ms, begun_until_ms } in cases {
        let last = schedule.last_start(Duration::from_millis(expected_ms));
        let begun_until = last.checked_sub(STARTED).map(|after| after.as_millis() as u64);
        assert_eq!(begun_until, begun_until_ms, "{expected_ms} ms");
    }
}
