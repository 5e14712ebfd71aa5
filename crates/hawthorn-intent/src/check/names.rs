//! Checks that names, assets and addresses are unique and that references resolve.

use std::borrow::Cow;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::check::CheckedFiles;
use crate::fault::ConfigFault;
use crate::fault::FaultKind;
use crate::inventory::ServiceEntry;
use crate::inventory::TargetEntry;
use crate::inventory::shard_name;
use crate::inventory::shard_number;
use crate::settings::NO_ADDRESS;

pub(super) fn check(files: &CheckedFiles<'_, '_>, faults: &mut Vec<ConfigFault>) {
    faults.extend(duplicates(files));
    let zones: HashSet<&str> = files.inventory.zones.iter().map(|zone| &*zone.name).collect();
    let services: HashMap<&str, &ServiceEntry> =
        files.inventory.services.iter().map(|service| (&*service.name, service)).collect();
    for (index, target) in files.inventory.targets.iter().enumerate() {
        if !target.zone.is_empty() && !zones.contains(&*target.zone) {
            let expected = one_of("zone", files.inventory.zones.iter().map(|zone| &*zone.name));
            let path = format!("target[{index}].zone");
            faults.push(dangling(files, path, &target.zone, expected));
        }
        match services.get(&*target.service) {
            Some(service) => check_shards(files, index, target, service, faults),
            None if target.service.is_empty() => {}
            None => {
                let names = files.inventory.services.iter().map(|service| &*service.name);
                let path = format!("target[{index}].service");
                faults.push(dangling(files, path, &target.service, one_of("service", names)));
            }
        }
    }
}

fn check_shards(
    files: &CheckedFiles<'_, '_>,
    index: usize,
    target: &TargetEntry,
    service: &ServiceEntry,
    faults: &mut Vec<ConfigFault>,
) {
    let mut held = HashSet::new();
    for (position, shard) in target.shards.iter().enumerate() {
        let path = format!("target[{index}].shards[{position}]");
        if shard_number(service, shard).is_none() {
            let first = shard_name(&service.name, 0, service.shards);
            let last = shard_name(&service.name, service.shards.saturating_sub(1), service.shards);
            faults.push(dangling(files, path, &shard.0, format!("{first} to {last}")));
        } else if !held.insert(shard) {
            let expected = "each shard once".to_owned();
            let found = format!("{:?} again", shard.0);
            faults.push(files.in_inventory(path, FaultKind::Duplicate, found, expected));
        }
    }
}

fn dangling(
    files: &CheckedFiles<'_, '_>,
    path: String,
    name: &str,
    expected: String,
) -> ConfigFault {
    files.in_inventory(path, FaultKind::DanglingName, format!("{name:?}"), expected)
}

/// Maximum number of names listed in a message.
const MAX_LISTED_NAMES: usize = 8;

/// Describes the valid names of a `kind` for the `expected` part of a fault.
pub(super) fn one_of<'n>(kind: &str, names: impl ExactSizeIterator<Item = &'n str>) -> String {
    if names.len() > MAX_LISTED_NAMES {
        return format!("one of the {} {kind}s of the inventory", names.len());
    }
    let names: Vec<&str> = names.collect();
    format!("a {kind} of the inventory: {}", names.join(", "))
}

/// A value that must be unique among the entries of its list.
struct UniqueValue<'c> {
    list: &'static str,
    index: usize,
    key: &'static str,
    value: Cow<'c, str>,
}

impl<'c> UniqueValue<'c> {
    fn new(list: &'static str, index: usize, key: &'static str, value: &'c str) -> Self {
        Self { list, index, key, value: Cow::Borrowed(value) }
    }

    fn path(&self) -> String {
        format!("{}[{}].{}", self.list, self.index, self.key)
    }
}

fn duplicates(files: &CheckedFiles<'_, '_>) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    let values: Vec<UniqueValue<'_>> =
        inventory_values(files).into_iter().chain(rule_values(files)).collect();
    let mut firsts: HashMap<(&str, &str, &str), &UniqueValue<'_>> = HashMap::new();
    for entry in values.iter().filter(|entry| !entry.value.is_empty()) {
        let first = *firsts.entry((entry.list, entry.key, &entry.value)).or_insert(entry);
        if first.index == entry.index {
            continue;
        }
        let found = format!("{:?}, as at {}", entry.value, first.path());
        let expected = format!("another {} for each {}", entry.key, entry.list);
        let in_rules = matches!(entry.list, "caller" | "rule");
        let source = if in_rules { files.rules_source } else { files.inventory_source };
        faults.push(source.fault(entry.path(), FaultKind::Duplicate, found, expected));
    }
    faults
}

fn inventory_values<'c>(files: &CheckedFiles<'c, '_>) -> Vec<UniqueValue<'c>> {
    let mut values = Vec::new();
    for (index, zone) in files.inventory.zones.iter().enumerate() {
        values.push(UniqueValue::new("zone", index, "name", &zone.name));
    }
    for (index, service) in files.inventory.services.iter().enumerate() {
        values.push(UniqueValue::new("service", index, "name", &service.name));
    }
    for (index, target) in files.inventory.targets.iter().enumerate() {
        values.push(UniqueValue::new("target", index, "name", &target.name));
        values.push(UniqueValue::new("target", index, "asset", &target.asset));
        // If two targets shared an address, the slots of one server would be counted twice, and
        // `GET /state` would return the name of the other target.
        if target.address != NO_ADDRESS {
            let value = Cow::Owned(target.address.to_string());
            values.push(UniqueValue { list: "target", index, key: "address", value });
        }
    }
    values
}

fn rule_values<'c>(files: &CheckedFiles<'c, '_>) -> Vec<UniqueValue<'c>> {
    let mut values = Vec::new();
    for (index, caller) in files.rules.callers.iter().enumerate() {
        values.push(UniqueValue::new("caller", index, "name", &caller.name));
    }
    for (index, rule) in files.rules.rules.iter().enumerate() {
        values.push(UniqueValue::new("rule", index, "name", &rule.name));
    }
    values
}
