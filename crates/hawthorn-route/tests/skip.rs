//! Shards of a query whose parts are not requested.

mod support;

use std::time::Duration;

use hawthorn_route::registry;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::skip;
use hawthorn_route::target::ReportedLoad;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

const NOW: Duration = Duration::from_secs(10);
const SERVICE_TIME: Duration = Duration::from_millis(15);
const TIME_LEFT: Duration = Duration::from_millis(112);

/// Targets of shards `s0`, `s1`, ..., given the queue lengths that each shard's targets reported at
/// `reported`.
fn registry(waiting: &[&[u32]], reported: Duration) -> TargetRegistry {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    for (shard, targets) in waiting.iter().enumerate() {
        for (index, waiting) in targets.iter().enumerate() {
            let entry = support::entry(&format!("t{shard}-{index}"), &format!("s{shard}"), "east");
            registry.put(entry, support::revision(1), NOW);
            let key = registry.of_service(&format!("s{shard}"))[index];
            let load = ReportedLoad { running: 2, waiting: *waiting, slots: 2, at: reported };
            registry.get_mut(key).expect("it was registered").report_load(load);
        }
    }
    registry
}

fn skipped(registry: &TargetRegistry, shards: usize, max: usize) -> Vec<u16> {
    let names: Vec<String> = (0..shards).map(|shard| format!("s{shard}")).collect();
    let target_latency = Duration::from_millis(120);
    let view = support::view(registry, SERVICE_TIME, target_latency, NOW);
    let numbered = (0_u16..).zip(names.iter().map(String::as_str));
    skip::skip(view, numbered, max, TIME_LEFT, &skip::Options::default())
}

/// Some shards have a single target left, and load exceeds its capacity. Shards whose queues are
/// longer than the time left are skipped, longest first, and no more than may be missing from the
/// answer. A shard with another, idle target is not skipped, nor is one whose report is outdated.
#[test]
fn parts_that_cannot_arrive_in_time_are_not_requested() {
    struct Case {
        name: &'static str,
        waiting: &'static [&'static [u32]],
        max: usize,
        reported: Duration,
        skipped: &'static [u16],
    }
    let recently = NOW - Duration::from_millis(50);
    let cases = [
        Case {
            name: "no queues",
            waiting: &[&[0, 0], &[1, 0]],
            max: 2,
            reported: recently,
            skipped: &[],
        },
        Case {
            name: "queue that drains in time",
            waiting: &[&[6], &[0]],
            max: 2,
            reported: recently,
            skipped: &[],
        },
        Case {
            name: "queue that does not drain in time",
            waiting: &[&[0], &[12], &[0]],
            max: 2,
            reported: recently,
            skipped: &[1],
        },
        Case {
            name: "another target idle",
            waiting: &[&[12, 1], &[0]],
            max: 2,
            reported: recently,
            skipped: &[],
        },
        Case {
            name: "more long queues than may be missing",
            waiting: &[&[11], &[20], &[12], &[0], &[16]],
            max: 2,
            reported: recently,
            skipped: &[1, 4],
        },
        Case {
            name: "none may be missing",
            waiting: &[&[30], &[0]],
            max: 0,
            reported: recently,
            skipped: &[],
        },
        Case {
            name: "outdated report",
            waiting: &[&[30], &[0]],
            max: 2,
            reported: NOW - Duration::from_millis(400),
            skipped: &[],
        },
    ];
    for case in cases {
        let registry = registry(case.waiting, case.reported);
        let found = skipped(&registry, case.waiting.len(), case.max);
        assert_eq!(found, case.skipped, "{}", case.name);
    }
}

/// Guards against waiting for paused targets: a target that pauses for 200 ms reported no queue
/// before and reports nothing now. Every query sends it a request, and is late if more shards
/// are paused than may be missing from its answer. Unanswered requests count like a queue.
#[test]
fn a_paused_target_is_detected_by_its_unanswered_requests() {
    struct Case {
        name: &'static str,
        /// For each target of shard 1, the ages of its unanswered requests, ms.
        unanswered: &'static [&'static [u64]],
        skipped: &'static [u16],
    }
    let cases = [
        Case { name: "executing", unanswered: &[&[20, 10]], skipped: &[] },
        Case { name: "paused", unanswered: &[&[80, 60, 40]], skipped: &[1] },
        Case { name: "one of two paused", unanswered: &[&[80, 60, 40], &[5]], skipped: &[] },
        Case { name: "both paused", unanswered: &[&[80, 60], &[90]], skipped: &[1] },
        Case { name: "more requests sent than reported", unanswered: &[&[9; 14]], skipped: &[1] },
    ];
    for case in cases {
        let idle: Vec<u32> = vec![0; case.unanswered.len()];
        let mut registry = registry(&[&[0], &idle, &[0]], NOW - Duration::from_millis(100));
        for (index, ages) in case.unanswered.iter().enumerate() {
            let key = registry.of_service("s1")[index];
            let state = registry.get_mut(key).expect("it was registered");
            ages.iter().for_each(|age| state.record_sent(NOW - Duration::from_millis(*age)));
        }
        assert_eq!(skipped(&registry, 3, 2), case.skipped, "{}", case.name);
    }
}

#[test]
fn missing_shards_are_apportioned_by_group_size() {
    struct Case {
        max_missing: usize,
        groups: &'static [usize],
        shares: &'static [usize],
    }
    let cases = [
        Case { max_missing: 2, groups: &[12, 8], shares: &[1, 1] },
        Case { max_missing: 2, groups: &[20], shares: &[2] },
        Case { max_missing: 5, groups: &[13, 4, 3], shares: &[3, 1, 1] },
        Case { max_missing: 1, groups: &[6, 7, 7], shares: &[0, 1, 0] },
        Case { max_missing: 0, groups: &[10, 10], shares: &[0, 0] },
        Case { max_missing: 2, groups: &[], shares: &[] },
        Case { max_missing: 2, groups: &[0, 0], shares: &[0, 0] },
    ];
    for case in cases {
        assert_eq!(
            skip::apportion(case.max_missing, case.groups),
            case.shares,
            "{:?}",
            case.groups
        );
    }
}

proptest! {
    /// The shares of all groups add up to the number of shards that may be missing, and none
    /// exceeds the size of its group.
    #[test]
    fn shares_add_up(
        max_missing in 0_usize..40,
        groups in proptest::collection::vec(0_usize..30, 0..6),
    ) {
        let shares = skip::apportion(max_missing, &groups);
        let total: usize = groups.iter().sum();
        prop_assert_eq!(shares.len(), groups.len());
        prop_assert_eq!(shares.iter().sum::<usize>(), max_missing.min(total));
        prop_assert!(shares.iter().zip(&groups).all(|(share, group)| share <= group));
    }
}
