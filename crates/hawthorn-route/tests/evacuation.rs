//! Evacuated zones: how changes are applied, and which targets receive requests.

mod support;

use std::time::Duration;

use hawthorn_route::document::GatherRule;
use hawthorn_route::evacuation::EvacuationChange;
use hawthorn_route::evacuation::ZoneEvacuations;
use hawthorn_route::placement;
use hawthorn_route::registry;
use hawthorn_route::registry::SendRejection;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::scatter;
use hawthorn_route::scatter::ShardSource;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["east", "west", "south"];

fn registry(shards: usize) -> TargetRegistry {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    for shard in 0..shards {
        for zone in ZONES {
            let id = format!("t{shard}-{zone}");
            registry.put(
                support::entry(&id, &format!("s{shard}"), zone),
                support::revision(1),
                NOW,
            );
        }
    }
    registry
}

fn zone_of(registry: &TargetRegistry, key: TargetKey) -> String {
    registry.get(key).expect("the target is known").entry.zone.to_string()
}

/// Guards against a change that arrives late and undoes a later one.
#[test]
fn changes_are_applied_by_revision() {
    use EvacuationChange::Begun;
    use EvacuationChange::Ended;
    use EvacuationChange::None as Unchanged;
    struct Case {
        name: &'static str,
        /// Zone, whether it is evacuated, revision, and the resulting change.
        changes: &'static [(&'static str, bool, u64, EvacuationChange)],
        evacuated: &'static [&'static str],
    }
    let cases = [
        Case { name: "started", changes: &[("east", true, 5, Begun)], evacuated: &["east"] },
        Case {
            name: "started and ended",
            changes: &[("east", true, 5, Begun), ("east", false, 6, Ended)],
            evacuated: &[],
        },
        Case {
            name: "ended, then the earlier start",
            changes: &[("east", false, 6, Unchanged), ("east", true, 5, Unchanged)],
            evacuated: &[],
        },
        Case {
            name: "two zones",
            changes: &[("east", true, 5, Begun), ("west", true, 6, Begun)],
            evacuated: &["east", "west"],
        },
        Case {
            name: "started twice",
            changes: &[("east", true, 5, Begun), ("east", true, 7, Unchanged)],
            evacuated: &["east"],
        },
        Case {
            name: "a zone without targets",
            changes: &[("north", true, 5, Begun)],
            evacuated: &["north"],
        },
    ];
    for case in cases {
        let mut evacuations = ZoneEvacuations::default();
        for (zone, evacuated, revision, change) in case.changes {
            let applied = evacuations.apply(zone, *evacuated, support::revision(*revision));
            assert_eq!(applied, *change, "{}: {zone} at {revision}", case.name);
        }
        assert_eq!(evacuations.iter().collect::<Vec<_>>(), case.evacuated, "{}", case.name);
    }
}

/// Guards against a first or extra attempt at a target of an evacuated zone.
#[test]
fn no_attempt_goes_to_an_evacuated_zone() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        /// Number of targets available to successive attempts of one request.
        attempts: usize,
    }
    let cases = [
        Case { name: "none", evacuated: &[], attempts: 3 },
        Case { name: "the own zone", evacuated: &["east"], attempts: 2 },
        Case { name: "another zone", evacuated: &["west"], attempts: 2 },
        Case { name: "all but one", evacuated: &["east", "west"], attempts: 1 },
        Case { name: "all", evacuated: &["east", "west", "south"], attempts: 0 },
        Case { name: "an unknown zone", evacuated: &["north"], attempts: 3 },
    ];
    for case in cases {
        let mut registry = registry(1);
        for zone in case.evacuated {
            registry.evacuate(zone, true, support::revision(9));
        }
        let view =
            support::view(&registry, Duration::from_millis(15), Duration::from_millis(120), NOW);
        let mut rng = StdRng::seed_from_u64(1);
        let mut tried = Vec::new();
        while let Some(key) =
            placement::select_target(view, "s0", &tried, &mut rng, &placement::Options::default())
        {
            let zone = zone_of(&registry, key);
            assert!(!case.evacuated.contains(&zone.as_str()), "{}: {zone}", case.name);
            tried.push(key);
        }
        assert_eq!(tried.len(), case.attempts, "{}", case.name);
        assert_eq!(view.available_targets("s0").count(), case.attempts, "{}", case.name);
    }
}

/// Guards against sending a request that waited for a connection to a target that meanwhile
/// stopped accepting requests.
#[test]
fn a_delayed_request_is_not_sent_to_an_unavailable_target() {
    struct Case {
        name: &'static str,
        change: fn(&mut TargetRegistry),
        permit: Result<(), SendRejection>,
    }
    let cases = [
        Case { name: "unchanged", change: |_| {}, permit: Ok(()) },
        Case {
            name: "zone evacuated",
            change: |registry| {
                registry.evacuate("east", true, support::revision(9));
            },
            permit: Err(SendRejection::Evacuated),
        },
        Case {
            name: "other zone evacuated",
            change: |registry| {
                registry.evacuate("west", true, support::revision(9));
            },
            permit: Ok(()),
        },
        Case {
            name: "the target left",
            change: |registry| {
                registry.remove("t0-east", support::revision(9), NOW - Duration::from_secs(5));
            },
            permit: Err(SendRejection::Gone),
        },
        Case {
            name: "the target is leaving",
            change: |registry| {
                registry.remove("t0-east", support::revision(9), NOW);
            },
            permit: Ok(()),
        },
        Case {
            name: "id reused by another incarnation",
            change: |registry| {
                registry.put(support::entry("t0-east", "other", "east"), support::revision(9), NOW);
            },
            permit: Err(SendRejection::Gone),
        },
    ];
    for case in cases {
        let mut registry = registry(1);
        let find = |(_, state): &(TargetKey, &hawthorn_route::target::TargetState)| {
            *state.entry.id == *"t0-east"
        };
        let (key, _) = registry.iter().find(find).expect("the target is known");
        (case.change)(&mut registry);
        assert_eq!(registry.permit(key, NOW), case.permit, "{}", case.name);
    }
}

/// Guards against sending the load of an evacuated zone to one zone while another zone has as
/// many targets.
#[test]
fn queries_of_an_evacuated_zone_are_divided_among_the_others() {
    let mut registry = registry(90);
    registry.evacuate("east", true, support::revision(9));
    let shards = (0..90).map(|shard| format!("s{shard}")).collect();
    let rule = GatherRule { shards, top: 5, min_share: 0.95 };
    let view = support::view(&registry, Duration::from_millis(15), Duration::from_millis(120), NOW);
    let mut rng = StdRng::seed_from_u64(7);
    let mut queries = [0; 2];
    for _ in 0..200 {
        let plan = scatter::plan(view, &rule, &mut rng, &placement::Options::default());
        assert!(plan.can_answer(&rule));
        assert!(plan.sources.iter().all(|source| matches!(source, ShardSource::Remote(..))));
        let groups = plan.delegate(|_| true, &scatter::Options::default());
        for group in groups {
            let index = ["west", "south"].iter().position(|zone| **zone == *group.zone);
            queries[index.expect("no shard is delegated to the evacuated zone")] += 1;
        }
    }
    assert!(queries.iter().all(|count| *count >= 60), "{queries:?} queries by zone");
}

/// Guards against requests to targets for queries that cannot be answered, and against callers
/// that wait for them, while every zone is evacuated.
#[test]
fn a_query_cannot_be_answered_while_all_zones_are_evacuated() {
    let mut registry = registry(20);
    ZONES.iter().for_each(|zone| {
        registry.evacuate(zone, true, support::revision(9));
    });
    let shards = (0..20).map(|shard| format!("s{shard}")).collect();
    let rule = GatherRule { shards, top: 5, min_share: 0.5 };
    let view = support::view(&registry, Duration::from_millis(15), Duration::from_millis(120), NOW);
    let mut rng = StdRng::seed_from_u64(7);
    let plan = scatter::plan(view, &rule, &mut rng, &placement::Options::default());
    assert!(!plan.can_answer(&rule));
}
