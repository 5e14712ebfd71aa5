//! Scatter plans: where the part of each shard of a query is requested.

mod support;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::document::GatherRule;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::placement;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::registry;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::scatter;
use hawthorn_route::scatter::ShardSource;
use hawthorn_route::scatter::ZoneShards;
use rand::SeedableRng;
use rand::TryRng;
use rand::rngs::StdRng;

const NOW: Duration = Duration::from_secs(10);

/// Targets of shards `s0`, `s1`, ..., given the zones of each shard's targets.
fn registry(shards: &[&[&str]]) -> TargetRegistry {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    for (shard, zones) in shards.iter().enumerate() {
        for (index, zone) in zones.iter().enumerate() {
            let entry = support::entry(&format!("t{shard}-{index}"), &format!("s{shard}"), zone);
            registry.put(entry, support::revision(1), NOW);
        }
    }
    registry
}

fn rule(shards: usize, min_share: f64) -> GatherRule {
    let shards = (0..shards).map(|shard| format!("s{shard}")).collect();
    GatherRule { shards, top: 5, min_share }
}

fn plan_from_east(
    registry: &TargetRegistry,
    rule: &GatherRule,
    unreachable_zones: &[String],
) -> scatter::ScatterPlan {
    let service_time = Duration::from_millis(15);
    let target_latency = Duration::from_millis(120);
    let view = PlacementView {
        unreachable_zones,
        ..support::view(registry, service_time, target_latency, NOW)
    };
    let mut rng = StdRng::seed_from_u64(1);
    scatter::plan(view, rule, &mut rng, &placement::Options::default())
}

fn group(zone: &str, shards: &[u16]) -> ZoneShards {
    ZoneShards { zone: zone.into(), shards: shards.to_vec() }
}

/// Shards whose best targets are in other zones are delegated to one host of the zone with most of
/// them, if it has a host and enough shards. Unreachable zones are not used.
#[test]
fn shards_with_remote_targets_are_delegated() {
    struct Case {
        name: &'static str,
        shards: &'static [&'static [&'static str]],
        unreachable: &'static [&'static str],
        hosts: &'static [&'static str],
        groups: Vec<ZoneShards>,
        unavailable: usize,
    }
    const EAST: &[&str] = &["east"];
    const WEST: &[&str] = &["west"];
    const SOUTH: &[&str] = &["south"];
    const BOTH: &[&str] = &["west", "south"];
    const WITH_LOCAL: &[&str] = &["west", "east"];
    const NONE: &[&str] = &[];
    let cases = [
        Case {
            name: "all local",
            shards: &[EAST, WITH_LOCAL, EAST],
            unreachable: &[],
            hosts: &["west"],
            groups: vec![],
            unavailable: 0,
        },
        Case {
            name: "three remote",
            shards: &[WEST, EAST, WEST, WEST],
            unreachable: &[],
            hosts: &["west"],
            groups: vec![group("west", &[0, 2, 3])],
            unavailable: 0,
        },
        Case {
            name: "too few remote",
            shards: &[WEST, EAST, WEST],
            unreachable: &[],
            hosts: &["west"],
            groups: vec![],
            unavailable: 0,
        },
        Case {
            name: "no host in the remote zone",
            shards: &[WEST, WEST, WEST],
            unreachable: &[],
            hosts: &[],
            groups: vec![],
            unavailable: 0,
        },
        Case {
            name: "one zone with more of them",
            shards: &[WEST, BOTH, SOUTH, SOUTH, BOTH],
            unreachable: &[],
            hosts: &["west", "south"],
            groups: vec![group("south", &[1, 2, 3, 4])],
            unavailable: 0,
        },
        Case {
            name: "two zones with enough of them",
            shards: &[WEST, WEST, WEST, SOUTH, SOUTH, SOUTH, SOUTH],
            unreachable: &[],
            hosts: &["west", "south"],
            groups: vec![group("south", &[3, 4, 5, 6]), group("west", &[0, 1, 2])],
            unavailable: 0,
        },
        Case {
            name: "zone unreachable",
            shards: &[WEST, WEST, WEST, BOTH, BOTH, BOTH],
            unreachable: &["west"],
            hosts: &["west", "south"],
            groups: vec![group("south", &[3, 4, 5])],
            unavailable: 3,
        },
        Case {
            name: "shard without targets",
            shards: &[EAST, NONE],
            unreachable: &[],
            hosts: &[],
            groups: vec![],
            unavailable: 1,
        },
    ];
    for case in cases {
        let registry = registry(case.shards);
        let unreachable_zones: Vec<String> =
            case.unreachable.iter().map(|zone| (*zone).to_owned()).collect();
        let rule = rule(case.shards.len(), 0.5);
        let plan = plan_from_east(&registry, &rule, &unreachable_zones);
        let groups = plan.delegate(|zone| case.hosts.contains(&zone), &scatter::Options::default());
        assert_eq!(groups, case.groups, "{}", case.name);
        let unavailable =
            plan.sources.iter().filter(|source| **source == ShardSource::Unavailable).count();
        assert_eq!(unavailable, case.unavailable, "{}", case.name);
    }
}

/// Guards against cross-zone traffic for answers that are faster than callers need. With a high
/// target latency the local target is used although a remote one is faster; with a low one, or if
/// the local target is far slower, the remote one is used.
#[test]
fn local_targets_are_preferred_while_in_time() {
    struct Case {
        target_latency_ms: u64,
        /// Slowdown of the local target, in percent.
        slowdown: u64,
        zone: &'static str,
    }
    let cases = [
        Case { target_latency_ms: 500, slowdown: 40, zone: "east" },
        Case { target_latency_ms: 500, slowdown: 150, zone: "east" },
        Case { target_latency_ms: 500, slowdown: 250, zone: "west" },
        Case { target_latency_ms: 60, slowdown: 20, zone: "east" },
        Case { target_latency_ms: 60, slowdown: 40, zone: "west" },
    ];
    let service_time = Duration::from_millis(120);
    for case in cases {
        let mut registry = registry(&[&["east", "west"]]);
        let local = registry.of_service("s0")[0];
        // Enough samples for the moving average to converge.
        for _ in 0..60 {
            let state = registry.get_mut(local).expect("it was registered");
            let elapsed = service_time + service_time * case.slowdown as u32 / 100;
            state.record_sent(NOW);
            state.record_end(NOW, NOW + elapsed, AttemptEnd::Answered, service_time);
        }
        let target_latency = Duration::from_millis(case.target_latency_ms);
        let view = support::view(&registry, service_time, target_latency, NOW);
        let mut rng = StdRng::seed_from_u64(1);
        let key =
            placement::select_target(view, "s0", &[], &mut rng, &placement::Options::default());
        let state = key.and_then(|key| registry.get(key)).expect("both accept requests");
        assert_eq!(
            &*state.entry.zone, case.zone,
            "{} ms, {} %",
            case.target_latency_ms, case.slowdown
        );
    }
}

/// Guards against cross-zone traffic of a host that does not gather: if it delegates all shards to
/// one host of its zone, which requests remote parts directly, a query transfers 36 KB between
/// zones instead of 4 KB.
#[test]
fn a_host_that_does_not_gather_delegates_all_shards() {
    struct Case {
        name: &'static str,
        shards: &'static [&'static [&'static str]],
        hosts: &'static [&'static str],
        groups: Vec<ZoneShards>,
    }
    const EAST: &[&str] = &["east"];
    const WEST: &[&str] = &["west"];
    const SOUTH: &[&str] = &["south"];
    const NONE: &[&str] = &[];
    const FEW_REMOTE: &[&[&str]] = &[EAST, WEST, EAST, EAST, NONE];
    const MANY_REMOTE: &[&[&str]] = &[EAST, WEST, EAST, WEST, EAST, WEST, SOUTH, NONE];
    let cases = [
        Case {
            name: "few remote",
            shards: FEW_REMOTE,
            hosts: &["east", "west"],
            groups: vec![group("east", &[0, 1, 2, 3])],
        },
        Case {
            name: "few remote, no local host",
            shards: FEW_REMOTE,
            hosts: &["west"],
            groups: vec![group("west", &[0, 1, 2, 3])],
        },
        Case { name: "no hosts", shards: FEW_REMOTE, hosts: &[], groups: vec![] },
        Case {
            name: "enough remote",
            shards: MANY_REMOTE,
            hosts: &["east", "west", "south"],
            groups: vec![group("west", &[1, 3, 5]), group("east", &[0, 2, 4, 6])],
        },
        Case {
            name: "enough remote, no local host",
            shards: MANY_REMOTE,
            hosts: &["west"],
            groups: vec![group("west", &[0, 1, 2, 3, 4, 5, 6])],
        },
        Case {
            name: "all remote",
            shards: &[WEST, WEST, WEST],
            hosts: &["east", "west"],
            groups: vec![group("west", &[0, 1, 2])],
        },
    ];
    let zones: Vec<Rc<str>> = vec!["east".into(), "west".into(), "south".into()];
    for Case { name, shards, hosts, groups } in cases {
        let registry = registry(shards);
        let plan = plan_from_east(&registry, &rule(shards.len(), 0.5), &[]);
        let options = scatter::Options::default();
        let delegated = plan.delegate_all(&zones, |zone| hosts.contains(&zone), &options);
        assert_eq!(delegated, groups, "{name}");
    }
}

/// A random number generator that counts the numbers drawn.
struct CountingRng {
    rng: StdRng,
    drawn: usize,
}

impl TryRng for CountingRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        self.drawn += 1;
        self.rng.try_next_u32()
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        self.drawn += 1;
        self.rng.try_next_u64()
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        self.rng.try_fill_bytes(bytes)
    }
}

/// Guards against scoring targets repeatedly: a query over hundreds of shards would then take a
/// millisecond of processor time. Each target is scored once per query, with one random number.
#[test]
fn each_target_is_scored_once_per_query() {
    let shards: Vec<&[&str]> = vec![&["east", "west", "south"]; 90];
    let registry = registry(&shards);
    let service_time = Duration::from_millis(15);
    let target_latency = Duration::from_millis(120);
    let view = support::view(&registry, service_time, target_latency, NOW);
    let mut rng = CountingRng { rng: StdRng::seed_from_u64(1), drawn: 0 };
    let rule = rule(90, 0.9);
    let plan = scatter::plan(view, &rule, &mut rng, &placement::Options::default());
    assert!(plan.can_answer(&rule));
    let groups = plan.delegate(|_| true, &scatter::Options::default());
    assert_eq!(groups, []);
    assert_eq!(rng.drawn, 270);
}

/// An answer is possible while enough shards have a target. Otherwise no requests are sent.
#[test]
fn an_answer_needs_enough_shards() {
    struct Case {
        available: usize,
        shards: usize,
        min_share: f64,
        possible: bool,
    }
    let cases = [
        Case { available: 10, shards: 10, min_share: 1.0, possible: true },
        Case { available: 9, shards: 10, min_share: 1.0, possible: false },
        Case { available: 9, shards: 10, min_share: 0.9, possible: true },
        Case { available: 8, shards: 10, min_share: 0.89, possible: false },
        Case { available: 0, shards: 10, min_share: 0.0, possible: false },
    ];
    for case in cases {
        let available: Vec<&[&str]> = vec![&["east"]; case.available];
        let registry = registry(&available);
        let rule = rule(case.shards, case.min_share);
        let plan = plan_from_east(&registry, &rule, &[]);
        assert_eq!(plan.can_answer(&rule), case.possible, "{} of {}", case.available, case.shards);
    }
}

/// A shard without a target counts as missing, so that fewer of the other shards may be.
#[test]
fn shards_without_a_target_count_as_missing() {
    let unavailable =
        |count: usize| scatter::ScatterPlan { sources: vec![ShardSource::Unavailable; count] };
    assert_eq!(unavailable(0).max_missing_left(2), 2);
    assert_eq!(unavailable(1).max_missing_left(2), 1);
    assert_eq!(unavailable(3).max_missing_left(2), 0);
}
