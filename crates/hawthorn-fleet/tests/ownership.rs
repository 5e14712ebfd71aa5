//! Rendezvous ownership: which host owns a group, and which groups move.

use std::collections::BTreeMap;
use std::error::Error;

use hawthorn_fleet::GroupId;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::ownership;
use hawthorn_fleet::ownership::OwnerCandidate;
use hawthorn_types::HostKey;

type TestResult = Result<(), Box<dyn Error>>;

const GROUPS: u16 = 1_000;

fn hosts(count: usize) -> Vec<OwnerCandidate> {
    (0..count)
        .map(|index| OwnerCandidate {
            key: HostKey::from(index),
            id: MemberId::of(&format!("host-{index}")),
        })
        .collect()
}

fn owners(hosts: &[OwnerCandidate]) -> Vec<Option<HostKey>> {
    (0..GROUPS)
        .map(|bucket| ownership::owner(GroupId::new("hall-kato", bucket), hosts.iter().copied()))
        .collect()
}

fn moved(before: &[Option<HostKey>], after: &[Option<HostKey>]) -> usize {
    before.iter().zip(after).filter(|(before, after)| before != after).count()
}

/// Guards against a hash that moves more groups than necessary when a host joins: every moved
/// connection is reopened at 6 ms each. Each host of the zone leaves in turn, which is equivalent
/// to its join in reverse.
#[test]
fn movement_stays_near_the_minimum() -> TestResult {
    for count in [3, 8, 32] {
        let all = hosts(count);
        let before = owners(&all);
        let mut total = 0;
        for leaving in 0..count {
            let mut rest = all.clone();
            let removed = rest.remove(leaving).key;
            let after = owners(&rest);
            let owned = before.iter().filter(|owner| **owner == Some(removed)).count();
            assert_eq!(moved(&before, &after), owned, "only the groups of host {leaving} move");
            total += owned;
        }
        let mean = total as f64 / count as f64;
        let minimum = f64::from(GROUPS) / count as f64;
        assert!(mean <= 1.1 * minimum, "{count} hosts: {mean} moved, the minimum is {minimum}");
    }
    Ok(())
}

#[test]
fn no_host_owns_twice_the_mean() -> TestResult {
    for count in [2, 3, 8, 32] {
        let mut counts: BTreeMap<HostKey, usize> = BTreeMap::new();
        for owner in owners(&hosts(count)).into_iter().flatten() {
            *counts.entry(owner).or_default() += 1;
        }
        let max_owned = counts.values().max().copied().unwrap_or_default();
        assert_eq!(counts.len(), count, "every host owns something");
        assert!(
            max_owned * count < 2 * usize::from(GROUPS),
            "{count} hosts: {max_owned} is the maximum"
        );
    }
    Ok(())
}

#[test]
fn the_runner_up_owns_when_the_owner_goes() -> TestResult {
    let all = hosts(9);
    for bucket in 0..GROUPS {
        let group = GroupId::new("mbagala", bucket);
        let (first, second) = ownership::ranked(group, all.iter().copied());
        let rest = all.iter().copied().filter(|host| Some(*host) != first);
        assert_eq!(ownership::owner(group, rest), second.map(|host| host.key));
        let reversed = all.iter().rev().copied();
        assert_eq!(ownership::ranked(group, reversed), (first, second), "the order is irrelevant");
    }
    assert_eq!(ownership::ranked(GroupId(1), []), (None, None));
    Ok(())
}

/// The hash is part of the protocol: daemons of two releases must agree.
#[test]
fn scores_do_not_change_between_releases() -> TestResult {
    let group = GroupId::new("kurasini", 7);
    let score = ownership::score(group, MemberId::of("host-a"));
    insta::assert_snapshot!(format!("{:016x} {:016x}", group.0, score), @"1d2c956c80815760 f3f8262109aa7db9");
    let buckets: Vec<u16> =
        (0..8).map(|part| ownership::bucket(&format!("agent-desk/{part:02}"), 64)).collect();
    insta::assert_snapshot!(format!("{buckets:?}"), @"[28, 27, 27, 5, 50, 56, 60, 17]");
    Ok(())
}
