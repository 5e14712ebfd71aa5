//! When refused callers are told to come back.

use std::time::Duration;

use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::retry_after::retry_after;
use rand::SeedableRng;
use rand::rngs::StdRng;
use strum::IntoEnumIterator;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A zone is cut off. Its hosts say at once that they take no callers, but the
/// balancer believes it two seconds later; callers who come back before that come
/// to the same zone, and have nothing left to try.
#[test]
fn callers_of_a_zone_that_is_cut_off_come_back_when_others_serve_them() {
    struct Case {
        name: &'static str,
        reason: RefusalReason,
        /// How long the host has been telling the balancer, ms.
        aside: Option<u64>,
        /// Bounds of what callers are told, ms.
        told: (u64, u64),
    }
    let cases = [
        Case {
            name: "just cut off",
            reason: RefusalReason::NoTarget,
            aside: Some(0),
            told: (2400, 2550),
        },
        Case {
            name: "a second ago",
            reason: RefusalReason::Unreachable,
            aside: Some(1000),
            told: (1400, 1550),
        },
        Case {
            name: "long ago",
            reason: RefusalReason::NoTarget,
            aside: Some(9000),
            told: (200, 350),
        },
        Case {
            name: "not cut off",
            reason: RefusalReason::NoTarget,
            aside: None,
            told: (200, 350),
        },
        Case {
            name: "full, as ever",
            reason: RefusalReason::HostFull,
            aside: Some(0),
            told: (50, 250),
        },
    ];
    let mut lots = StdRng::seed_from_u64(7);
    for case in cases {
        for _ in 0..100 {
            let told = retry_after(case.reason, case.aside.map(ms), &mut lots);
            let (least, most) = case.told;
            assert!((ms(least)..ms(most)).contains(&told), "{}: {told:?}", case.name);
        }
    }
}

/// Callers refused together return apart: what they are told differs by as much as
/// the work of several queries.
#[test]
fn callers_refused_together_return_apart() {
    let mut lots = StdRng::seed_from_u64(7);
    for reason in RefusalReason::iter() {
        let told: Vec<Duration> = (0..100).map(|_| retry_after(reason, None, &mut lots)).collect();
        let (least, most) = (told.iter().min(), told.iter().max());
        let apart = most.zip(least).map_or(Duration::ZERO, |(most, least)| *most - *least);
        assert!(apart >= ms(30), "{reason}: {apart:?}");
    }
}
