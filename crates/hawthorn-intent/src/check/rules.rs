//! Callers' weights, and rules that are for nothing.

use crate::check::CheckedFiles;
use crate::check::names::one_of;
use crate::fault::ConfigFault;
use crate::fault::FaultKind;
use crate::rules::RuleEntry;

pub(super) fn check(files: &CheckedFiles<'_, '_>, faults: &mut Vec<ConfigFault>) {
    check_weights(files, faults);
    for (index, rule) in files.rules.rules.iter().enumerate() {
        let dangling = dangling_names(files, index, rule);
        let matched = files.decisions.iter().any(|decision| decision.matched.contains(&index));
        let decides =
            files.decisions.iter().any(|decision| decision.matched.first() == Some(&index));
        if dangling.is_empty() && !matched {
            let found = format!("rule {:?} matches no target", rule.name);
            let expected = "a pattern that fits at least one target".to_owned();
            let path = format!("rule[{index}].match");
            faults.push(files.in_rules(path, FaultKind::NeverMatches, found, expected));
        } else if matched && !decides {
            let found = format!("rule {:?} decides nothing: others go first", rule.name);
            let expected = "a greater priority, or no such rule".to_owned();
            let path = format!("rule[{index}]");
            faults.push(files.in_rules(path, FaultKind::NeverDecides, found, expected));
        }
        faults.extend(dangling);
    }
}

/// Load: members that compete send at once. Harm prevented: one edit of a
/// weight puts a member's filings ahead of another's. With `equal_callers` no
/// weight other than 1 comes into force.
fn check_weights(files: &CheckedFiles<'_, '_>, faults: &mut Vec<ConfigFault>) {
    if !files.rules.equal_callers {
        return;
    }
    for (index, caller) in files.rules.callers.iter().enumerate() {
        if caller.weight != 1 {
            let found = format!("weight {} for {:?}", caller.weight, caller.name);
            let expected = "1, because equal_callers is true".to_owned();
            let path = format!("caller[{index}].weight");
            faults.push(files.in_rules(path, FaultKind::UnequalCallers, found, expected));
        }
    }
}

fn is_literal(pattern: &str) -> bool {
    !pattern.contains(['*', '?'])
}

/// Names without `*` or `?` that nothing in the inventory bears.
fn dangling_names(
    files: &CheckedFiles<'_, '_>,
    index: usize,
    rule: &RuleEntry,
) -> Vec<ConfigFault> {
    let inventory = files.inventory;
    let services: Vec<&str> = inventory.services.iter().map(|entry| &*entry.name).collect();
    let zones: Vec<&str> = inventory.zones.iter().map(|entry| &*entry.name).collect();
    let targets: Vec<&str> = inventory.targets.iter().map(|entry| &*entry.name).collect();
    let assets: Vec<&str> = inventory.targets.iter().map(|entry| &*entry.asset).collect();
    let pattern = &rule.pattern;
    let patterns = [
        ("service", &pattern.service, services),
        ("zone", &pattern.zone, zones),
        ("target", &pattern.target, targets),
        ("asset", &pattern.asset, assets),
    ];
    let mut faults = Vec::new();
    for (kind, pattern, names) in patterns {
        let Some(pattern) = pattern.as_deref().filter(|pattern| is_literal(pattern)) else {
            continue;
        };
        if !names.contains(&pattern) {
            let found = format!("{pattern:?}");
            let expected = one_of(kind, names.into_iter());
            let path = format!("rule[{index}].match.{kind}");
            faults.push(files.in_rules(path, FaultKind::DanglingName, found, expected));
        }
    }
    faults
}
