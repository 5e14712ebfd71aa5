//! Derives the desired state of each target from inventory and rules.
//!
//! 1. The matching rule with the highest priority applies; of equal priorities, the first in the
//!    file.
//! 2. Rules with `replicas` are evaluated last: each keeps as many of its targets serving as their
//!    shards still need, preferring zones that do not serve the shard yet and targets that are not
//!    spare. The other targets of the rule get the rule's state.
//! 3. If no rule matches, spare targets are off and all others serve.

use std::collections::HashMap;
use std::collections::HashSet;

use hawthorn_types::DesiredState;
use hawthorn_types::ShardName;
use smallvec::SmallVec;

use crate::inventory::Inventory;
use crate::inventory::TargetEntry;
use crate::rules::RuleEntry;
use crate::rules::RuleSet;

/// The desired state of a target and its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDecision {
    /// The desired state.
    pub state: DesiredState,
    /// What determined it.
    pub cause: DecisionCause,
    /// Indices in [`RuleSet::rules`] of all matching rules, the one that applies first.
    pub matched: SmallVec<[usize; 4]>,
}

/// What determined a desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionCause {
    /// The state set by the rule at this index.
    Rule(usize),
    /// The rule at this index has `replicas`, and a shard needs this target.
    KeptReplica(usize),
    /// No rule matches, and the target is spare.
    SpareDefault,
    /// No rule matches, and the target is not spare.
    ServeDefault,
}

/// Returns the decision for each target, in the order of [`Inventory::targets`].
pub fn decide(inventory: &Inventory, rules: &RuleSet) -> Vec<StateDecision> {
    let order = rule_order(&rules.rules);
    let rule_decision = |target: &TargetEntry| rule_decision(target, rules, &order);
    let mut decisions: Vec<_> = inventory.targets.iter().map(rule_decision).collect();
    let mut serving = ServingZones::default();
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

/// Indices of the rules, highest priority first.
fn rule_order(rules: &[RuleEntry]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..rules.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(rules[index].priority));
    order
}

fn rule_decision(target: &TargetEntry, rules: &RuleSet, order: &[usize]) -> StateDecision {
    let matches = |&index: &usize| rules.rules[index].pattern.matches(target);
    let matched: SmallVec<[usize; 4]> = order.iter().copied().filter(matches).collect();
    let (state, cause) = match matched.first() {
        Some(&index) => (rules.rules[index].wanted, DecisionCause::Rule(index)),
        None if target.spare => (DesiredState::Off, DecisionCause::SpareDefault),
        None => (DesiredState::Serve, DecisionCause::ServeDefault),
    };
    StateDecision { state, cause, matched }
}

/// Zones that serve each shard; a zone is listed once for each serving target.
#[derive(Default)]
struct ServingZones<'i> {
    zones: HashMap<&'i ShardName, SmallVec<[&'i str; 4]>>,
}

impl<'i> ServingZones<'i> {
    fn add(&mut self, target: &'i TargetEntry) {
        let unique: HashSet<&ShardName> = target.shards.iter().collect();
        for shard in unique {
            self.zones.entry(shard).or_default().push(&target.zone);
        }
    }

    /// Whether a shard of `target` has fewer than `replicas` serving targets and, if `new_zone`,
    /// none in the target's zone.
    fn needs_replica(&self, target: &TargetEntry, replicas: u32, new_zone: bool) -> bool {
        target.shards.iter().any(|shard| {
            let zones = self.zones.get(shard).map_or(&[][..], |zones| zones.as_slice());
            let in_zone = zones.contains(&target.zone.as_str());
            zones.len() < replicas as usize && !(new_zone && in_zone)
        })
    }
}

/// Keeps targets of rule `index` serving until each of their shards has `replicas`.
///
/// Handles rules that switch off many targets at once: without this, a shard could be left on a
/// single host, or in a single zone that a network partition makes unreachable. Zones that do not
/// serve the shard yet are therefore preferred. Spare targets are used last, since spare hardware
/// costs extra.
fn keep_replicas<'i>(
    inventory: &'i Inventory,
    index: usize,
    replicas: u32,
    decisions: &mut [StateDecision],
    serving: &mut ServingZones<'i>,
) {
    let is_decided_here = |at: &usize| decisions[*at].cause == DecisionCause::Rule(index);
    let is_not_serving = |at: &usize| decisions[*at].state != DesiredState::Serve;
    let mut candidates: Vec<usize> =
        (0..decisions.len()).filter(is_decided_here).filter(is_not_serving).collect();
    candidates.sort_by_key(|&at| inventory.targets[at].spare);
    for new_zone in [true, false] {
        for &at in &candidates {
            let target = &inventory.targets[at];
            let is_kept = decisions[at].state == DesiredState::Serve;
            if is_kept || !serving.needs_replica(target, replicas, new_zone) {
                continue;
            }
            decisions[at].state = DesiredState::Serve;
            decisions[at].cause = DecisionCause::KeptReplica(index);
            serving.add(target);
        }
    }
}
