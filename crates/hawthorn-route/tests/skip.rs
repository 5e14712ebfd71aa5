//! Which shards of a query are not asked for at all.

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
const USUAL: Duration = Duration::from_millis(15);
const TIME: Duration = Duration::from_millis(112);

/// Shards `s0`, `s1`, ...: for each the requests that wait at its targets.
fn registry(waiting: &[&[u32]], told: Duration) -> TargetRegistry {
    let mut registry = TargetRegistry::new(registry::Options::default(), "east");
    for (shard, targets) in waiting.iter().enumerate() {
        for (place, waiting) in targets.iter().enumerate() {
            let entry = support::entry(&format!("t{shard}-{place}"), &format!("s{shard}"), "east");
            registry.put(entry, 1, NOW);
            let key = registry.of_service(&format!("s{shard}"))[place];
            let load = ReportedLoad { running: 2, waiting: *waiting, slots: 2, at: told };
            registry.get_mut(key).expect("it has just been put").report_load(load);
        }
    }
    registry
}

fn skipped(registry: &TargetRegistry, shards: usize, most: usize) -> Vec<u16> {
    let names: Vec<String> = (0..shards).map(|shard| format!("s{shard}")).collect();
    let aim = Duration::from_millis(120);
    let view = support::view(registry, USUAL, aim, NOW);
    let places = (0_u16..).zip(names.iter().map(String::as_str));
    skip::skip(view, places, most, TIME, &skip::Options::default())
}

/// Some shards have one target left, and more is asked of them than it can do.
/// Those whose queue is longer than the time are left out, the longest first, and
/// no more than the answer may do without; a shard with another target that is
/// free is asked, and so is one that told of its queue a while ago.
#[test]
fn what_cannot_come_in_time_is_not_asked_for() {
    struct Case {
        name: &'static str,
        waiting: &'static [&'static [u32]],
        most: usize,
        told: Duration,
        skipped: &'static [u16],
    }
    let just_now = NOW - Duration::from_millis(50);
    let cases = [
        Case { name: "calm", waiting: &[&[0, 0], &[1, 0]], most: 2, told: just_now, skipped: &[] },
        Case {
            name: "a queue that is worked off in time",
            waiting: &[&[6], &[0]],
            most: 2,
            told: just_now,
            skipped: &[],
        },
        Case {
            name: "one that is not",
            waiting: &[&[0], &[12], &[0]],
            most: 2,
            told: just_now,
            skipped: &[1],
        },
        Case {
            name: "another target is free",
            waiting: &[&[12, 1], &[0]],
            most: 2,
            told: just_now,
            skipped: &[],
        },
        Case {
            name: "more of them than may be missing",
            waiting: &[&[11], &[20], &[12], &[0], &[16]],
            most: 2,
            told: just_now,
            skipped: &[1, 4],
        },
        Case {
            name: "none may be missing",
            waiting: &[&[30], &[0]],
            most: 0,
            told: just_now,
            skipped: &[],
        },
        Case {
            name: "told a while ago",
            waiting: &[&[30], &[0]],
            most: 2,
            told: NOW - Duration::from_millis(400),
            skipped: &[],
        },
    ];
    for case in cases {
        let registry = registry(case.waiting, case.told);
        let found = skipped(&registry, case.waiting.len(), case.most);
        assert_eq!(found, case.skipped, "{}", case.name);
    }
}

/// A target pauses for 200 ms in the middle of its work. It told of no queue
/// before, and tells nothing now: every query sends it a part, waits for it, and
/// is late where more of them pause than the answer may do without. What it was
/// sent before and has not answered says as much as a queue.
#[test]
fn a_target_that_does_not_answer_is_known_by_what_it_owes() {
    struct Case {
        name: &'static str,
        /// For each target of shard 1, how long ago its unanswered requests were sent, ms.
        owed: &'static [&'static [u64]],
        skipped: &'static [u16],
    }
    let cases = [
        Case { name: "at work", owed: &[&[20, 10]], skipped: &[] },
        Case { name: "paused", owed: &[&[80, 60, 40]], skipped: &[1] },
        Case { name: "paused, and another is not", owed: &[&[80, 60, 40], &[5]], skipped: &[] },
        Case { name: "both paused", owed: &[&[80, 60], &[90]], skipped: &[1] },
        Case { name: "sent more than it has told of", owed: &[&[9; 14]], skipped: &[1] },
    ];
    for case in cases {
        let idle: Vec<u32> = vec![0; case.owed.len()];
        let mut registry = registry(&[&[0], &idle, &[0]], NOW - Duration::from_millis(100));
        for (place, owed) in case.owed.iter().enumerate() {
            let key = registry.of_service("s1")[place];
            let state = registry.get_mut(key).expect("it has been put");
            owed.iter().for_each(|ago| state.send(NOW - Duration::from_millis(*ago)));
        }
        assert_eq!(skipped(&registry, 3, 2), case.skipped, "{}", case.name);
    }
}

#[test]
fn parts_share_what_may_be_missing_by_size() {
    struct Case {
        spare: usize,
        parts: &'static [usize],
        shares: &'static [usize],
    }
    let cases = [
        Case { spare: 2, parts: &[12, 8], shares: &[1, 1] },
        Case { spare: 2, parts: &[20], shares: &[2] },
        Case { spare: 5, parts: &[13, 4, 3], shares: &[3, 1, 1] },
        Case { spare: 1, parts: &[6, 7, 7], shares: &[0, 1, 0] },
        Case { spare: 0, parts: &[10, 10], shares: &[0, 0] },
        Case { spare: 2, parts: &[], shares: &[] },
        Case { spare: 2, parts: &[0, 0], shares: &[0, 0] },
    ];
    for case in cases {
        assert_eq!(skip::apportion(case.spare, case.parts), case.shares, "{:?}", case.parts);
    }
}

proptest! {
    /// Together the parts skip no more than the answer may do without, and none
    /// more than it has.
    #[test]
    fn shares_add_up(spare in 0_usize..40, parts in proptest::collection::vec(0_usize..30, 0..6)) {
        let shares = skip::apportion(spare, &parts);
        let all: usize = parts.iter().sum();
        prop_assert_eq!(shares.len(), parts.len());
        prop_assert_eq!(shares.iter().sum::<usize>(), spare.min(all));
        prop_assert!(shares.iter().zip(&parts).all(|(share, part)| share <= part));
    }
}
