//! Checks the weights of callers and finds rules without effect.

use std::collections::HashSet;

use crate::check::CheckedFiles;
use crate::check::names::one_of;
use crate::fault::ConfigFault;
use crate::fault::FaultKind;
use crate::rules::RuleEntry;

pub(super) fn check(files: &CheckedFiles<'_, '_>, faults: &mut Vec<ConfigFault>) {
    check_weights(files, faults);
    if files.rules.callers.is_empty() {
        let found = "no [[caller]]: every request is refused".to_owned();
        let expected = "the callers by name".to_owned();
        faults.push(files.in_rules("caller".to_owned(), FaultKind::NoCallers, found, expected));
    }
    let names = KnownNames::new(files);
    for (index, rule) in files.rules.rules.iter().enumerate() {
        let dangling = dangling_names(files, &names, index, rule);
        let matched = names.matching_rules.contains(&index);
        let decides = names.deciding_rules.contains(&index);
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

/// Handles contention between competing members that send at the same time: changing a single
/// weight would give one member's filings precedence over another's. With `equal_callers`, every
/// weight other than 1 is rejected.
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

/// Names that rules can refer to, and the indices of rules that match or decide a target.
struct KnownNames<'c> {
    services: HashSet<&'c str>,
    zones: HashSet<&'c str>,
    targets: HashSet<&'c str>,
    assets: HashSet<&'c str>,
    matching_rules: HashSet<usize>,
    deciding_rules: HashSet<usize>,
}

impl<'c> KnownNames<'c> {
    fn new(files: &CheckedFiles<'c, '_>) -> Self {
        let inventory = files.inventory;
        let matched = files.decisions.iter().map(|decision| &decision.matched);
        Self {
            services: inventory.services.iter().map(|entry| &*entry.name).collect(),
            zones: inventory.zones.iter().map(|entry| &*entry.name).collect(),
            targets: inventory.targets.iter().map(|entry| &*entry.name).collect(),
            assets: inventory.targets.iter().map(|entry| &*entry.asset).collect(),
            matching_rules: matched.clone().flatten().copied().collect(),
            deciding_rules: matched.filter_map(|rules| rules.first().copied()).collect(),
        }
    }
}

fn in_file_order<'c>(files: &CheckedFiles<'c, '_>, kind: &str) -> Vec<&'c str> {
    let inventory = files.inventory;
    match kind {
        "service" => inventory.services.iter().map(|entry| &*entry.name).collect(),
        "zone" => inventory.zones.iter().map(|entry| &*entry.name).collect(),
        _ => inventory.targets.iter().map(|entry| &*entry.name).collect(),
    }
}

/// Finds patterns without wildcards that match no name in the inventory.
fn dangling_names(
    files: &CheckedFiles<'_, '_>,
    names: &KnownNames<'_>,
    index: usize,
    rule: &RuleEntry,
) -> Vec<ConfigFault> {
    let pattern = &rule.pattern;
    let patterns = [
        ("service", &pattern.service, &names.services),
        ("zone", &pattern.zone, &names.zones),
        ("target", &pattern.target, &names.targets),
        ("asset", &pattern.asset, &names.assets),
    ];
    let mut faults = Vec::new();
    for (kind, pattern, names) in patterns {
        let Some(pattern) = pattern.as_deref().filter(|pattern| is_literal(pattern)) else {
            continue;
        };
        if !names.contains(pattern) {
            let found = format!("{pattern:?}");
            let expected = one_of(kind, in_file_order(files, kind).into_iter());
            let path = format!("rule[{index}].match.{kind}");
            faults.push(files.in_rules(path, FaultKind::DanglingName, found, expected));
        }
    }
    faults
}
