//! The wanted state of each target: a pure function of inventory and rules.
//!
//! 1. Of the rules that match a target, the one with the greatest priority
//!    decides; among equals the first in the file.
//! 2. A rule with `replicas` decides last: it keeps as many of its targets
//!    serving as each shard still lacks, in zones that don't serve the shard
//!    yet first, spare ones last, and wants its own state of the rest.
//! 3. No rule: a spare target is off, any other serves.

use std::collections::HashMap;
use std::collections::HashSet;

use hawthorn_types::DesiredState;
use hawthorn_types::ShardName;
use smallvec::SmallVec;

use crate::inventory::Inventory;
use crate::inventory::TargetEntry;
use crate::rules::RuleEntry;
use crate::rules::RuleSet;

/// What is wanted of one target, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedDecision {
    /// The state.
    pub state: DesiredState,
    /// What decided it.
    pub cause: WantedCause,
    /// Every rule that matches, the deciding one first, as positions in
    /// [`RuleSet::rules`].
    pub matched: SmallVec<[usize; 4]>,
}

/// What decided a wanted state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WantedCause {
    /// The rule at this position, by its `wanted`.
    Rule(usize),
    /// The rule at this position keeps replicas, and a shard needs this one.
    KeptReplica(usize),
    /// No rule matches, and the target is a spare one.
    SpareDefault,
    /// No rule matches.
    ServeDefault,
}

/// The decision for each target, in the order of [`Inventory::targets`].
pub fn wanted(inventory: &Inventory, rules: &RuleSet) -> Vec<WantedDecision> {
    let order = rule_order(&rules.rules);
    let decide = |target: &TargetEntry| first_decision(target, rules, &order);
    let mut decisions: Vec<_> = inventory.targets.iter().map(decide).collect();
    let mut serving = ServingCount::default();
    for (target, decision) in inventory.targets.iter().zip(&decisions) {
        if decision.state == DesiredState::Serve {
            serving.add(target);
        }
    }
    for index in order {
        let rule = &rules.rules[index];
        if let Some(replicas) = rule.replicas {
            keep_replicas(inventory, index, replicas, &mut decisions, &mut serving);
        }
    }
    decisions
}

/// Positions of the rules, the one that decides first in front.
fn rule_order(rules: &[RuleEntry]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..rules.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(rules[index].priority));
    order
}

fn first_decision(target: &TargetEntry, rules: &RuleSet, order: &[usize]) -> WantedDecision {
    let matches = |&index: &usize| rules.rules[index].pattern.matches(target);
    let matched: SmallVec<[usize; 4]> = order.iter().copied().filter(matches).collect();
    let (state, cause) = match matched.first() {
        Some(&index) => (rules.rules[index].wanted, WantedCause::Rule(index)),
        None if target.spare => (DesiredState::Off, WantedCause::SpareDefault),
        None => (DesiredState::Serve, WantedCause::ServeDefault),
    };
    WantedDecision { state, cause, matched }
}

/// Which zones serve each shard, counted once for each serving target.
#[derive(Default)]
struct ServingCount<'i> {
    zones: HashMap<&'i ShardName, SmallVec<[&'i str; 4]>>,
}

impl<'i> ServingCount<'i> {
    fn add(&mut self, target: &'i TargetEntry) {
        let unique: HashSet<&ShardName> = target.shards.iter().collect();
        for shard in unique {
            self.zones.entry(shard).or_default().push(&target.zone);
        }
    }

    /// Whether a shard of `target` has fewer than `replicas`, and none in the
    /// target's zone when `new_zone` asks so.
    fn lacks(&self, target: &TargetEntry, replicas: u32, new_zone: bool) -> bool {
        target.shards.iter().any(|shard| {
            let zones = self.zones.get(shard).map_or(&[][..], |zones| zones.as_slice());
            let here = zones.contains(&target.zone.as_str());
            zones.len() < replicas as usize && !(new_zone && here)
        })
    }
}

/// Keeps the targets serving that the shards of rule `index` still lack.
///
/// Load: operators switch hardware off by one broad rule. Harm prevented: the
/// rule leaves a shard on one host, or on one zone that a partition cuts off.
/// So zones that don't serve the shard yet come first, then any; spare ones
/// come after the others, as they are the hardware that costs extra.
fn keep_replicas<'i>(
    inventory: &'i Inventory,
    index: usize,
    replicas: u32,
    decisions: &mut [WantedDecision],
    serving: &mut ServingCount<'i>,
) {
    let decided = |at: &usize| decisions[*at].cause == WantedCause::Rule(index);
    let not_serving = |at: &usize| decisions[*at].state != DesiredState::Serve;
    let mut candidates: Vec<usize> =
        (0..decisions.len()).filter(decided).filter(not_serving).collect();
    candidates.sort_by_key(|&at| inventory.targets[at].spare);
    for new_zone in [true, false] {
        for &at in &candidates {
            let target = &inventory.targets[at];
            let kept = decisions[at].state == DesiredState::Serve;
            if kept || !serving.lacks(target, replicas, new_zone) {
                continue;
            }
            decisions[at].state = DesiredState::Serve;
            decisions[at].cause = WantedCause::KeptReplica(index);
            serving.add(target);
        }
    }
}
