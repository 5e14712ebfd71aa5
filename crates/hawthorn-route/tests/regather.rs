//! Zones in which shards are gathered anew after a peer did not answer.

mod support;

use std::time::Duration;

use hawthorn_route::placement::PlacementView;
use hawthorn_route::regather;
use hawthorn_route::registry;
use hawthorn_route::registry::TargetRegistry;

const NOW: Duration = Duration::from_secs(10);

/// Guards against shards that are gathered anew in the zone that was cut off, in one that is known
/// to be unreachable, or in one with few of their targets.
#[test]
fn shards_are_gathered_anew_where_their_targets_are() {
    struct Case {
        name: &'static str,
        /// The zones of each shard's targets.
        shards: &'static [&'static [&'static str]],
        unreachable: &'static [&'static str],
        zones: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "only in the silent zone",
            shards: &[&["west"], &["west"]],
            unreachable: &[],
            zones: &[],
        },
        Case {
            name: "the own zone first among equals",
            shards: &[&["west", "south"], &["south", "east", "west"], &["west", "east"]],
            unreachable: &[],
            zones: &["east", "south"],
        },
        Case {
            name: "the most shards first",
            shards: &[&["west", "east"], &["north"], &["south", "north", "west"]],
            unreachable: &[],
            zones: &["north", "east", "south"],
        },
        Case {
            name: "not in another zone that is cut off",
            shards: &[&["south", "north"], &["south", "west"]],
            unreachable: &["south"],
            zones: &["north"],
        },
        Case {
            name: "two targets of a shard count once",
            shards: &[&["south", "south", "north"], &["north"]],
            unreachable: &[],
            zones: &["north", "south"],
        },
    ];
    for Case { name, shards, unreachable, zones } in cases {
        let mut registry =
            TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
        for (shard, in_zones) in shards.iter().enumerate() {
            for (index, zone) in in_zones.iter().enumerate() {
                let id = format!("t{shard}-{index}");
                let entry = support::entry(&id, &format!("s{shard}"), zone);
                registry.put(entry, support::revision(1), NOW);
            }
        }
        let unreachable: Vec<String> = unreachable.iter().map(|zone| (*zone).to_owned()).collect();
        let (service_time, target_latency) =
            (Duration::from_millis(15), Duration::from_millis(120));
        let view = PlacementView {
            unreachable_zones: &unreachable,
            ..support::view(&registry, service_time, target_latency, NOW)
        };
        let names: Vec<String> = (0..shards.len()).map(|shard| format!("s{shard}")).collect();
        let found = regather::zones(view, names.iter().map(String::as_str), "west");
        let found: Vec<&str> = found.iter().map(|zone| &**zone).collect();
        assert_eq!(found, zones, "{name}");
    }
}
