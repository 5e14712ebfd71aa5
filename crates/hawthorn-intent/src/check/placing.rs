//! Checks that each shard has a target that serves it, preferably in two or more zones.

use std::collections::BTreeMap;
use std::collections::HashMap;

use hawthorn_types::DesiredState;
use hawthorn_types::ShardName;
use smallvec::SmallVec;

use crate::check::CheckedFiles;
use crate::desired_state::DecisionCause;
use crate::fault::ConfigFault;
use crate::fault::FaultKind;
use crate::inventory::ServiceEntry;
use crate::inventory::shard_name;

/// Indices of the targets that hold each shard.
type ShardHolders<'c> = HashMap<&'c ShardName, SmallVec<[usize; 4]>>;

/// Handles rules that switch off hardware to save costs: a rule that leaves a shard without a
/// serving target would make every answer incomplete, and a conflict check without that shard can
/// miss an overlapping claim. Such a configuration is rejected before it takes effect.
pub(super) fn check(files: &CheckedFiles<'_, '_>, faults: &mut Vec<ConfigFault>) {
    let mut holders: ShardHolders<'_> = HashMap::new();
    for (index, target) in files.inventory.targets.iter().enumerate() {
        for shard in &target.shards {
            holders.entry(shard).or_default().push(index);
        }
    }
    for (index, service) in files.inventory.services.iter().enumerate() {
        check_service(files, index, service, &holders, faults);
    }
}

fn check_service(
    files: &CheckedFiles<'_, '_>,
    index: usize,
    service: &ServiceEntry,
    holders: &ShardHolders<'_>,
    faults: &mut Vec<ConfigFault>,
) {
    let mut unassigned = Vec::new();
    let mut one_zone = Vec::new();
    let mut switched_off: BTreeMap<String, Vec<ShardName>> = BTreeMap::new();
    for number in 0..service.shards {
        let shard = shard_name(&service.name, number, service.shards);
        let Some(replicas) = holders.get(&shard) else {
            unassigned.push(shard);
            continue;
        };
        let mut zones: SmallVec<[&str; 4]> = serving_zones(files, replicas);
        zones.sort_unstable();
        zones.dedup();
        match zones.len() {
            0 => switched_off.entry(cause_path(files, replicas[0])).or_default().push(shard),
            1 => one_zone.push(shard),
            _ => {}
        }
    }
    let path = format!("service[{index}].shards");
    if !unassigned.is_empty() {
        let found = format!("no target for {}", format_shards(&unassigned));
        let expected = "each shard in the shards of a target".to_owned();
        let kind = FaultKind::NoServingReplica;
        faults.push(files.in_inventory(path.clone(), kind, found, expected));
    }
    if !one_zone.is_empty() && files.inventory.zones.len() > 1 {
        let found = format!("targets in one zone only for {}", format_shards(&one_zone));
        let expected = "targets that serve in two zones or more".to_owned();
        faults.push(files.in_inventory(path, FaultKind::OneZone, found, expected));
    }
    for (path, shards) in switched_off {
        let found = format!("no target that serves for {}", format_shards(&shards));
        let expected = "at least one target that serves for each shard".to_owned();
        let in_rules = path.starts_with("rule");
        let source = if in_rules { files.rules_source } else { files.inventory_source };
        faults.push(source.fault(path, FaultKind::NoServingReplica, found, expected));
    }
}

fn serving_zones<'c>(files: &CheckedFiles<'c, '_>, replicas: &[usize]) -> SmallVec<[&'c str; 4]> {
    let is_serving = |index: &&usize| files.decisions[**index].state == DesiredState::Serve;
    replicas.iter().filter(is_serving).map(|&index| &*files.inventory.targets[index].zone).collect()
}

/// Path of the key because of which the target does not serve.
fn cause_path(files: &CheckedFiles<'_, '_>, target: usize) -> String {
    match files.decisions[target].cause {
        DecisionCause::Rule(rule) | DecisionCause::KeptReplica(rule) => {
            format!("rule[{rule}].wanted")
        }
        DecisionCause::SpareDefault | DecisionCause::ServeDefault => {
            format!("target[{target}].spare")
        }
    }
}

/// Maximum number of shards listed in a message.
const MAX_LISTED_SHARDS: usize = 4;

fn format_shards(shards: &[ShardName]) -> String {
    let names: Vec<&str> = shards.iter().take(MAX_LISTED_SHARDS).map(|shard| &*shard.0).collect();
    let names = names.join(", ");
    match shards.len().checked_sub(MAX_LISTED_SHARDS) {
        Some(more) if more > 0 => format!("{names} and {more} more"),
        _ => names,
    }
}
