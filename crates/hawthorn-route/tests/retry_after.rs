//! Delays after which refused callers should retry.

use std::time::Duration;

use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::retry_after::after_confirmation;
use hawthorn_route::retry_after::retry_after;
use rand::SeedableRng;
use rand::rngs::StdRng;
use strum::IntoEnumIterator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against retries in a partitioned zone: its hosts fail their readiness probes at once, but
/// the load balancer acts on it two seconds later. A caller that retries earlier reaches the same
/// zone, is refused again and has no attempt left.
#[test]
fn callers_of_a_partitioned_zone_retry_after_the_balancer_has_reacted() {
    struct Case {
        name: &'static str,
        reason: RefusalReason,
        /// How long the host has been failing its readiness probe, ms.
        not_ready_for: Option<u64>,
        /// Bounds of the delay, ms.
        bounds: (u64, u64),
    }
    let cases = [
        Case {
            name: "partitioned just now",
            reason: RefusalReason::NoTarget,
            not_ready_for: Some(0),
            bounds: (2400, 2550),
        },
        Case {
            name: "partitioned a second ago",
            reason: RefusalReason::Unreachable,
            not_ready_for: Some(1000),
            bounds: (1400, 1550),
        },
        Case {
            name: "partitioned long ago",
            reason: RefusalReason::NoTarget,
            not_ready_for: Some(9000),
            bounds: (200, 350),
        },
        Case {
            name: "not partitioned",
            reason: RefusalReason::NoTarget,
            not_ready_for: None,
            bounds: (200, 350),
        },
        Case {
            name: "stopped a second ago",
            reason: RefusalReason::Stopping,
            not_ready_for: Some(1000),
            bounds: (1210, 1300),
        },
        Case {
            name: "stopped long ago",
            reason: RefusalReason::Stopping,
            not_ready_for: Some(4300),
            bounds: (10, 100),
        },
        Case {
            name: "host full",
            reason: RefusalReason::HostFull,
            not_ready_for: Some(0),
            bounds: (50, 250),
        },
    ];
    let mut rng = StdRng::seed_from_u64(7);
    for case in cases {
        for _ in 0..100 {
            let delay = retry_after(case.reason, case.not_ready_for.map(ms), &mut rng);
            let (min, max) = case.bounds;
            assert!((ms(min)..ms(max)).contains(&delay), "{}: {delay:?}", case.name);
        }
    }
}

/// Guards against simultaneous retries of callers that were refused together: their delays differ
/// by several service times.
#[test]
fn callers_refused_together_retry_at_different_times() {
    let mut rng = StdRng::seed_from_u64(7);
    for reason in RefusalReason::iter() {
        let delays: Vec<Duration> = (0..100).map(|_| retry_after(reason, None, &mut rng)).collect();
        let (min, max) = (delays.iter().min(), delays.iter().max());
        let range = max.zip(min).map_or(Duration::ZERO, |(max, min)| *max - *min);
        assert!(range >= ms(30), "{reason}: {range:?}");
    }
}

/// Guards against callers of a host with a stale configuration that retry before its next attempt
/// to have it confirmed, and against a time that has passed.
#[test]
fn callers_refused_for_stale_keys_retry_after_the_next_confirmation() {
    struct Case {
        expected: Option<u64>,
        /// Bounds of the delay, ms.
        bounds: Option<(u64, u64)>,
    }
    let cases = [
        Case { expected: None, bounds: None },
        Case { expected: Some(4999), bounds: None },
        Case { expected: Some(5000), bounds: Some((20, 250)) },
        Case { expected: Some(6200), bounds: Some((1220, 1450)) },
    ];
    let mut rng = StdRng::seed_from_u64(7);
    for case in &cases {
        for _ in 0..100 {
            let delay = after_confirmation(case.expected.map(ms), ms(5000), &mut rng);
            let within = case.bounds.map(|(min, max)| ms(min)..ms(max));
            let is_within = delay.zip(within).map(|(delay, within)| within.contains(&delay));
            assert_eq!(is_within, case.bounds.map(|_| true), "{:?}: {delay:?}", case.expected);
        }
    }
}
