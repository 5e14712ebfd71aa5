//! Where each shard of a query is asked for.

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

/// Targets of shard `s0`, `s1`, ...: for each shard the zones of its targets.
fn registry(shards: &[&[&str]]) -> TargetRegistry {
    let mut registry = TargetRegistry::new(registry::Options::default(), "east");
    for (shard, zones) in shards.iter().enumerate() {
        for (place, zone) in zones.iter().enumerate() {
            let entry = support::entry(&format!("t{shard}-{place}"), &format!("s{shard}"), zone);
            registry.put(entry, 1, NOW);
        }
    }
    registry
}

fn rule(shards: usize, least_share: f64) -> GatherRule {
    let shards = (0..shards).map(|shard| format!("s{shard}")).collect();
    GatherRule { shards, top: 5, min_share: least_share }
}

fn spread_from_east(
    registry: &TargetRegistry,
    rule: &GatherRule,
    cut: &[String],
) -> scatter::ScatterPlan {
    let usual = Duration::from_millis(15);
    let aim = Duration::from_millis(120);
    let view = PlacementView { unreachable_zones: cut, ..support::view(registry, usual, aim, NOW) };
    let mut lots = StdRng::seed_from_u64(1);
    scatter::plan(view, rule, &mut lots, &placement::Options::default())
}

fn part(zone: &str, shards: &[u16]) -> ZoneShards {
    ZoneShards { zone: zone.into(), shards: shards.to_vec() }
}

/// Shards lie here, in other zones, in both, or nowhere. Those that are best had
/// elsewhere go to one host of the zone that has most of them, as long as there
/// is a host and enough of them; a zone that is cut off is as good as empty.
#[test]
fn shards_that_are_best_had_elsewhere_are_handed_over() {
    struct Case {
        name: &'static str,
        shards: &'static [&'static [&'static str]],
        cut: &'static [&'static str],
        hosts: &'static [&'static str],
        parts: Vec<ZoneShards>,
        nowhere: usize,
    }
    const EAST: &[&str] = &["east"];
    const WEST: &[&str] = &["west"];
    const SOUTH: &[&str] = &["south"];
    const BOTH: &[&str] = &["west", "south"];
    const HERE_TOO: &[&str] = &["west", "east"];
    const NONE: &[&str] = &[];
    let cases = [
        Case {
            name: "all here",
            shards: &[EAST, HERE_TOO, EAST],
            cut: &[],
            hosts: &["west"],
            parts: vec![],
            nowhere: 0,
        },
        Case {
            name: "three there",
            shards: &[WEST, EAST, WEST, WEST],
            cut: &[],
            hosts: &["west"],
            parts: vec![part("west", &[0, 2, 3])],
            nowhere: 0,
        },
        Case {
            name: "too few there",
            shards: &[WEST, EAST, WEST],
            cut: &[],
            hosts: &["west"],
            parts: vec![],
            nowhere: 0,
        },
        Case {
            name: "no host there",
            shards: &[WEST, WEST, WEST],
            cut: &[],
            hosts: &[],
            parts: vec![],
            nowhere: 0,
        },
        Case {
            name: "one zone has more of them",
            shards: &[WEST, BOTH, SOUTH, SOUTH, BOTH],
            cut: &[],
            hosts: &["west", "south"],
            parts: vec![part("south", &[1, 2, 3, 4])],
            nowhere: 0,
        },
        Case {
            name: "two zones have enough",
            shards: &[WEST, WEST, WEST, SOUTH, SOUTH, SOUTH, SOUTH],
            cut: &[],
            hosts: &["west", "south"],
            parts: vec![part("south", &[3, 4, 5, 6]), part("west", &[0, 1, 2])],
            nowhere: 0,
        },
        Case {
            name: "that zone is cut off",
            shards: &[WEST, WEST, WEST, BOTH, BOTH, BOTH],
            cut: &["west"],
            hosts: &["west", "south"],
            parts: vec![part("south", &[3, 4, 5])],
            nowhere: 3,
        },
        Case {
            name: "a shard without targets",
            shards: &[EAST, NONE],
            cut: &[],
            hosts: &[],
            parts: vec![],
            nowhere: 1,
        },
    ];
    for case in cases {
        let registry = registry(case.shards);
        let cut: Vec<String> = case.cut.iter().map(|zone| (*zone).to_owned()).collect();
        let rule = rule(case.shards.len(), 0.5);
        let spread = spread_from_east(&registry, &rule, &cut);
        let parts =
            spread.delegate(|zone| case.hosts.contains(&zone), &scatter::Options::default());
        assert_eq!(parts, case.parts, "{}", case.name);
        let nowhere = spread.sources.iter().filter(|way| **way == ShardSource::Unavailable).count();
        assert_eq!(nowhere, case.nowhere, "{}", case.name);
    }
}

/// Targets differ in speed, and a faster one in another zone answers sooner than
/// the caller needs. Where the aim is long its answers stay in the zone; where it
/// is short, or the near target is that much slower, they are fetched.
#[test]
fn an_answer_that_is_in_time_comes_from_the_zone() {
    struct Case {
        aim_ms: u64,
        /// How much longer than usual the near target takes, in percent.
        slower: u64,
        zone: &'static str,
    }
    let cases = [
        Case { aim_ms: 500, slower: 40, zone: "east" },
        Case { aim_ms: 500, slower: 150, zone: "east" },
        Case { aim_ms: 500, slower: 250, zone: "west" },
        Case { aim_ms: 60, slower: 20, zone: "east" },
        Case { aim_ms: 60, slower: 40, zone: "west" },
    ];
    let usual = Duration::from_millis(120);
    for case in cases {
        let mut registry = registry(&[&["east", "west"]]);
        let near = registry.of_service("s0")[0];
        // As often as it takes to be learnt.
        for _ in 0..60 {
            let state = registry.get_mut(near).expect("it has just been put");
            let took = usual + usual * case.slower as u32 / 100;
            state.send(NOW);
            state.end(NOW, NOW + took, AttemptEnd::Answered, usual);
        }
        let aim = Duration::from_millis(case.aim_ms);
        let view = support::view(&registry, usual, aim, NOW);
        let mut lots = StdRng::seed_from_u64(1);
        let key =
            placement::select_target(view, "s0", &[], &mut lots, &placement::Options::default());
        let state = key.and_then(|key| registry.get(key)).expect("both take work");
        assert_eq!(&*state.entry.zone, case.zone, "{} ms, {} %", case.aim_ms, case.slower);
    }
}

/// A host that does not gather had all shards gathered by one host of its zone, which
/// asked the targets of other zones itself: 36 KB between zones a query in place of 4.
#[test]
fn a_host_that_does_not_gather_hands_over_the_whole() {
    struct Case {
        name: &'static str,
        shards: &'static [&'static [&'static str]],
        hosts: &'static [&'static str],
        parts: Vec<ZoneShards>,
    }
    const EAST: &[&str] = &["east"];
    const WEST: &[&str] = &["west"];
    const SOUTH: &[&str] = &["south"];
    const NONE: &[&str] = &[];
    const FEW_AWAY: &[&[&str]] = &[EAST, WEST, EAST, EAST, NONE];
    const SPREAD: &[&[&str]] = &[EAST, WEST, EAST, WEST, EAST, WEST, SOUTH, NONE];
    let cases = [
        Case {
            name: "few are away",
            shards: FEW_AWAY,
            hosts: &["east", "west"],
            parts: vec![part("east", &[0, 1, 2, 3])],
        },
        Case {
            name: "few are away, no host here",
            shards: FEW_AWAY,
            hosts: &["west"],
            parts: vec![part("west", &[0, 1, 2, 3])],
        },
        Case { name: "no host anywhere", shards: FEW_AWAY, hosts: &[], parts: vec![] },
        Case {
            name: "enough are away",
            shards: SPREAD,
            hosts: &["east", "west", "south"],
            parts: vec![part("west", &[1, 3, 5]), part("east", &[0, 2, 4, 6])],
        },
        Case {
            name: "enough are away, no host here",
            shards: SPREAD,
            hosts: &["west"],
            parts: vec![part("west", &[0, 1, 2, 3, 4, 5, 6])],
        },
        Case {
            name: "all are away",
            shards: &[WEST, WEST, WEST],
            hosts: &["east", "west"],
            parts: vec![part("west", &[0, 1, 2])],
        },
    ];
    let zones: Vec<Rc<str>> = vec!["east".into(), "west".into(), "south".into()];
    for Case { name, shards, hosts, parts } in cases {
        let registry = registry(shards);
        let spread = spread_from_east(&registry, &rule(shards.len(), 0.5), &[]);
        let options = scatter::Options::default();
        let handed = spread.delegate_all(&zones, |zone| hosts.contains(&zone), &options);
        assert_eq!(handed, parts, "{name}");
    }
}

/// Lots that are counted.
struct CountedLots {
    lots: StdRng,
    drawn: usize,
}

impl TryRng for CountedLots {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        self.drawn += 1;
        self.lots.try_next_u32()
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        self.drawn += 1;
        self.lots.try_next_u64()
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        self.lots.try_fill_bytes(bytes)
    }
}

/// A host works out the same thing several times a query, and a query over
/// hundreds of shards costs it a millisecond of its processor. Each target is
/// judged once, for which one lot is drawn.
#[test]
fn each_target_is_judged_once_a_query() {
    let shards: Vec<&[&str]> = vec![&["east", "west", "south"]; 90];
    let registry = registry(&shards);
    let usual = Duration::from_millis(15);
    let aim = Duration::from_millis(120);
    let view = support::view(&registry, usual, aim, NOW);
    let mut lots = CountedLots { lots: StdRng::seed_from_u64(1), drawn: 0 };
    let rule = rule(90, 0.9);
    let spread = scatter::plan(view, &rule, &mut lots, &placement::Options::default());
    assert!(spread.can_answer(&rule));
    let parts = spread.delegate(|_| true, &scatter::Options::default());
    assert_eq!(parts, []);
    assert_eq!(lots.drawn, 270);
}

/// Targets of some shards are all gone. An answer is possible while enough of
/// the shards have one; below that nothing is sent to any.
#[test]
fn an_answer_needs_enough_shards() {
    struct Case {
        there: usize,
        shards: usize,
        least_share: f64,
        possible: bool,
    }
    let cases = [
        Case { there: 10, shards: 10, least_share: 1.0, possible: true },
        Case { there: 9, shards: 10, least_share: 1.0, possible: false },
        Case { there: 9, shards: 10, least_share: 0.9, possible: true },
        Case { there: 8, shards: 10, least_share: 0.89, possible: false },
        Case { there: 0, shards: 10, least_share: 0.0, possible: false },
    ];
    for case in cases {
        let held: Vec<&[&str]> = vec![&["east"]; case.there];
        let registry = registry(&held);
        let rule = rule(case.shards, case.least_share);
        let spread = spread_from_east(&registry, &rule, &[]);
        assert_eq!(spread.can_answer(&rule), case.possible, "{} of {}", case.there, case.shards);
    }
}

/// A shard has no target left. What the answer may do without is less by it, for
/// all that is decided of the others.
#[test]
fn a_shard_without_a_target_uses_up_what_may_be_missing() {
    let gone =
        |count: usize| scatter::ScatterPlan { sources: vec![ShardSource::Unavailable; count] };
    assert_eq!(gone(0).max_missing_left(2), 2);
    assert_eq!(gone(1).max_missing_left(2), 1);
    assert_eq!(gone(3).max_missing_left(2), 0);
}
