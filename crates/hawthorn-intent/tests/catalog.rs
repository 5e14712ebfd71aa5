//! Catalogs: sizes, look-ups, groups and loading of documents.

mod support;

use std::collections::HashMap;

use hawthorn_intent::ConfigDocument;
use hawthorn_intent::FleetCatalog;
use hawthorn_intent::catalog;
use hawthorn_intent::catalog::LoadError;
use hawthorn_intent::check::Inputs;
use hawthorn_intent::check::check;
use hawthorn_intent::inventory;
use hawthorn_intent::rules::RuleSet;
use hawthorn_types::ConfigRevision;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::ShardName;
use support::DAR_PORT;
use support::ExampleFiles;
use support::POLAND;
use support::TestResult;
use support::check_example;
use support::rule;
use support::small;
use support::small_inventory;

fn example_catalog(example: ExampleFiles) -> Result<FleetCatalog, catalog::Error> {
    let outcome = check_example(example);
    catalog::build(&outcome.inventory, &outcome.rules, ConfigRevision(3), Default::default())
}

struct SizeCase {
    example: ExampleFiles,
    service: &'static str,
    shards: usize,
    targets: usize,
    slots: u32,
    connections: u32,
}

const fn size(
    example: ExampleFiles,
    service: &'static str,
    shards: usize,
    targets: usize,
    slots: u32,
    connections: u32,
) -> SizeCase {
    SizeCase { example, service, shards, targets, slots, connections }
}

#[test]
fn example_catalogs_have_the_expected_sizes() -> TestResult {
    let cases = [
        size(DAR_PORT, "agent-desk", 20, 40, 2, 25),
        size(DAR_PORT, "supplier-portal", 30, 60, 2, 25),
        size(DAR_PORT, "billing", 5, 10, 2, 110),
        size(DAR_PORT, "port-feed", 5, 5, 2, 110),
        size(POLAND, "claim-desk", 20, 40, 2, 25),
        size(POLAND, "royalty-ledger", 30, 60, 2, 25),
        size(POLAND, "archive-reader", 3, 3, 6, 50),
        size(POLAND, "notice-gateway", 3, 3, 6, 50),
    ];
    for case in cases {
        let catalog = example_catalog(case.example)?;
        let service = catalog.service_named(case.service).ok_or(case.service)?;
        let targets = catalog.targets().filter(|(_, target)| target.service == service);
        let in_use: Vec<_> = targets.filter(|(_, target)| !target.spare).collect();
        assert_eq!(in_use.len(), case.targets, "{}", case.service);
        for (_, target) in in_use {
            assert_eq!((target.slots, target.connections), (case.slots, case.connections));
        }
        let shards = &catalog.service(service).shards;
        assert_eq!(shards.len(), case.shards, "{}", case.service);
        for &shard in shards {
            let mut zones: Vec<_> =
                catalog.serving_targets_of(shard).map(|key| catalog.target(key).zone).collect();
            zones.dedup();
            assert_eq!(zones.len(), 2, "{} serves in two zones", catalog.shard(shard).name);
        }
    }
    Ok(())
}

#[test]
fn names_and_keys_map_to_each_other() -> TestResult {
    let catalog = example_catalog(POLAND)?;
    assert_eq!(catalog.revision(), ConfigRevision(3));
    for (key, zone) in catalog.zones() {
        assert_eq!(catalog.zone_named(&zone.name), Some(key));
    }
    for (key, target) in catalog.targets() {
        assert_eq!(catalog.target_named(&target.name), Some(key));
        assert!(catalog.group(target.group).targets.contains(&key));
    }
    for (key, caller) in catalog.callers() {
        assert_eq!((catalog.caller_named(&caller.name), caller.weight), (Some(key), 1));
    }
    for (key, shard) in catalog.shards() {
        assert_eq!(catalog.shard_named(&shard.name), Some(key));
        assert_eq!(catalog.shard_at(shard.service, shard.range.start), Some(key));
        assert_eq!(catalog.shard_at(shard.service, shard.range.end - 1), Some(key));
        assert_eq!(catalog.shard_at(shard.service, KEY_SPACE), None);
    }
    assert_eq!(catalog.shard_named(&ShardName("claim-desk/20".to_owned())), None);
    Ok(())
}

/// Guards against group ids that depend on the order of entries in the inventory. Hosts that
/// disagree on ids disagree on the owner of a target, so that two hosts own it permanently and
/// exceed its slots.
#[test]
fn group_ids_do_not_depend_on_entry_order() -> TestResult {
    let outcome = check_example(DAR_PORT);
    let mut reversed = outcome.inventory.clone();
    reversed.targets.reverse();
    reversed.zones.reverse();
    reversed.services.reverse();
    let ids = |inventory| -> Result<HashMap<String, u64>, catalog::Error> {
        let rules = RuleSet::default();
        let catalog = catalog::build(inventory, &rules, ConfigRevision(1), Default::default())?;
        let id = |key| catalog.group(key).id;
        Ok(catalog.targets().map(|(_, target)| (target.name.clone(), id(target.group))).collect())
    };
    assert_eq!(ids(&outcome.inventory)?, ids(&reversed)?);
    Ok(())
}

#[test]
fn replicas_of_a_shard_in_one_zone_share_a_group() -> TestResult {
    let fleet = [
        small("x", "east", &["desk/00"]),
        small("y", "east", &["desk/01"]),
        small("both", "east", &["desk/00", "desk/01"]),
        small("far", "west", &["desk/01"]),
    ];
    let text = small_inventory(2, &fleet);
    let inventory = inventory::read(&text).inventory;
    let built =
        catalog::build(&inventory, &RuleSet::default(), ConfigRevision(1), Default::default())?;
    for catalog in [built, example_catalog(DAR_PORT)?, example_catalog(POLAND)?] {
        for (shard, record) in catalog.shards() {
            for &target in &record.targets {
                let target = catalog.target(target);
                assert_eq!(catalog.group_of(shard, target.zone), Some(target.group));
                assert_eq!(catalog.group(target.group).zone, target.zone);
            }
        }
    }
    Ok(())
}

fn document(rules: String) -> ConfigDocument {
    ConfigDocument {
        revision: ConfigRevision(4),
        edit_id: "e4".to_owned(),
        author: "jan".to_owned(),
        changed_at: 0,
        parent: None,
        inventory: POLAND.inventory.to_owned(),
        rules,
    }
}

/// During a rolling upgrade, a newer daemon accepts a document with a key that older ones do not
/// know. If those rejected it, they would stay at the previous revision, and answers would depend
/// on which host receives the request.
#[test]
fn a_document_with_an_unknown_key_is_loaded() -> TestResult {
    let rules = format!("{}[future]\nkey = 1\n", POLAND.rules);
    let inputs = Inputs { settings: None, inventory: POLAND.inventory, rules: &rules };
    assert!(!check(inputs).is_accepted(), "an edit with the key is rejected");
    let catalog = catalog::load(&document(rules), Default::default())?;
    assert_eq!(catalog.revision(), ConfigRevision(4));
    Ok(())
}

#[test]
fn a_document_that_leaves_a_shard_unserved_is_not_loaded() -> TestResult {
    let rules = POLAND.rules.to_owned() + &rule("all-off", "", "off", "priority = 1");
    let loaded = catalog::load(&document(rules), Default::default());
    assert!(matches!(loaded, Err(LoadError::Faulty(_))));
    Ok(())
}
