//! Rollout of route versions over a zone while its hosts answer queries.

use std::time::Duration;

use hawthorn_route::rollout;
use hawthorn_route::rollout::Options;
use hawthorn_route::rollout::PendingVersions;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A host of the zone, with its versions in force, newest last, and its pending versions.
#[derive(Default)]
struct ZoneHost {
    gathers: bool,
    in_force: Vec<u64>,
    pending: PendingVersions<u64>,
    /// When each version arrives.
    arrivals: Vec<(Duration, u64)>,
}

impl ZoneHost {
    fn run(&mut self, now: Duration, options: &Options) {
        while let Some((_, version)) = self.arrivals.pop_if(|(at, _)| *at <= now) {
            let delay = rollout::delay(self.gathers, !self.in_force.is_empty(), options);
            self.pending.push(now + delay, version);
        }
        for version in self.pending.take_due(now) {
            assert!(
                self.in_force.last().is_none_or(|last| *last < version),
                "versions are applied in order"
            );
            self.in_force.push(version);
        }
    }
}

/// Returns the number of queries that were refused because the gatherer lacked their version, and
/// the number of all queries.
fn simulate(hold: Duration, versions: u64, gap: Duration, kept: usize) -> (usize, usize) {
    let options = Options { hold };
    let mut rng = StdRng::seed_from_u64(4);
    let mut hosts: Vec<ZoneHost> = (0..24)
        .map(|number| ZoneHost { gathers: number < 3, in_force: vec![0], ..ZoneHost::default() })
        .collect();
    for host in &mut hosts {
        let mut at = Duration::ZERO;
        for version in 1..=versions {
            // Versions reach a host in order.
            at = at.max(gap * version as u32 + ms(rng.random_range(10..400)));
            host.arrivals.push((at, version));
        }
        host.arrivals.reverse();
    }
    let (mut total, mut refused) = (0, 0);
    for step in 0..400 {
        let now = ms(step * 10);
        hosts.iter_mut().for_each(|host| host.run(now, &options));
        for _ in 0..2 {
            let host = &hosts[rng.random_range(3..hosts.len())];
            let gatherer = &hosts[rng.random_range(0..3)];
            let version = host.in_force.last().expect("each host has a version");
            total += 1;
            let known = gatherer.in_force.iter().rev().take(kept);
            refused += usize::from(!known.into_iter().any(|known| known == version));
        }
    }
    (refused, total)
}

/// Guards against refusing queries at each change of the routes because gatherers receive the new
/// version later than the hosts that delegate to them.
#[test]
fn no_query_is_refused_during_a_rollout() {
    struct Case {
        name: &'static str,
        versions: u64,
        gap: Duration,
    }
    let cases = [
        Case { name: "one change", versions: 1, gap: ms(500) },
        Case { name: "a change a second", versions: 3, gap: ms(1000) },
        Case { name: "changes in quick succession", versions: 25, gap: ms(60) },
    ];
    let hold = Options::default().hold;
    for Case { name, versions, gap } in cases {
        let (without_hold, total) = simulate(Duration::ZERO, versions, gap, 16);
        let (with_hold, _) = simulate(hold, versions, gap, 16);
        assert!(without_hold > 0, "{name}: no query refused without the hold");
        assert_eq!(
            with_hold, 0,
            "{name}: {with_hold} of {total} refused, {without_hold} without the hold"
        );
    }
}

/// Guards against delaying the first version of a starting host, which cannot serve callers
/// without one, and against gatherers that lag behind their zone.
#[test]
fn first_versions_and_gatherers_are_not_delayed() {
    struct Case {
        gathers: bool,
        has_version: bool,
        waits: bool,
    }
    let cases = [
        Case { gathers: false, has_version: false, waits: false },
        Case { gathers: true, has_version: true, waits: false },
        Case { gathers: false, has_version: true, waits: true },
    ];
    for Case { gathers, has_version, waits } in cases {
        let delay = rollout::delay(gathers, has_version, &Options::default());
        assert_eq!(!delay.is_zero(), waits, "gathers {gathers}, has a version {has_version}");
    }
}
