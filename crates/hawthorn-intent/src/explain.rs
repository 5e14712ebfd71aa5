//! Explains which rules determine the desired state of a target.

use std::fmt;

use hawthorn_types::DesiredState;
use quick_error::quick_error;
use serde::Serialize;

use crate::desired_state::DecisionCause;
use crate::desired_state::StateDecision;
use crate::desired_state::decide;
use crate::inventory::Inventory;
use crate::inventory::TargetEntry;
use crate::rules::RuleSet;

quick_error! {
    /// Errors of [`explain`].
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No target and no asset has this name.
        UnknownTarget(name: String) {
            display("the inventory has no target and no asset named {name:?}")
        }
    }
}

/// A rule that matches the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MatchedRule {
    /// The name of the rule.
    pub name: String,
    /// The state that it sets.
    pub wanted: DesiredState,
    /// The priority.
    pub priority: i32,
    /// Number of serving targets that it keeps for each shard.
    pub replicas: Option<u32>,
    /// The reason given by operators.
    pub reason: String,
}

/// A shard of the target and the other targets that hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardPeers {
    /// The shard.
    pub shard: String,
    /// The other targets and their desired states.
    pub peers: Vec<(String, DesiredState)>,
}

/// What determined the desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DecisionBasis {
    /// The first matching rule.
    Rule,
    /// The first matching rule has `replicas`, and a shard needs this target.
    KeptReplica,
    /// No rule matches; spare targets are off.
    SpareDefault,
    /// No rule matches; targets that are not spare serve.
    ServeDefault,
}

/// Explanation of a target's desired state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The target.
    pub target: String,
    /// Asset number in the asset register.
    pub asset: String,
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Whether it is spare hardware.
    pub spare: bool,
    /// The desired state.
    pub wanted: DesiredState,
    /// What determined it.
    pub basis: DecisionBasis,
    /// All matching rules, the one that applies first.
    pub matched: Vec<MatchedRule>,
    /// The shards that it holds.
    pub shards: Vec<ShardPeers>,
}

/// Explains the desired state of the target with the given name or asset number.
///
/// # Errors
///
/// If the inventory has no such target.
pub fn explain(inventory: &Inventory, rules: &RuleSet, name: &str) -> Result<Explanation, Error> {
    let find_by = |key: fn(&TargetEntry) -> &String| {
        inventory.targets.iter().position(|target| key(target) == name)
    };
    let index = find_by(|target| &target.name)
        .or_else(|| find_by(|target| &target.asset))
        .ok_or_else(|| Error::UnknownTarget(name.to_owned()))?;
    let decisions = decide(inventory, rules);
    let target = &inventory.targets[index];
    let decision = &decisions[index];
    Ok(Explanation {
        target: target.name.clone(),
        asset: target.asset.clone(),
        service: target.service.clone(),
        zone: target.zone.clone(),
        spare: target.spare,
        wanted: decision.state,
        basis: basis(decision.cause),
        matched: decision.matched.iter().map(|&rule| matched_rule(rules, rule)).collect(),
        shards: shard_peers(inventory, &decisions, target),
    })
}

fn basis(cause: DecisionCause) -> DecisionBasis {
    match cause {
        DecisionCause::Rule(_) => DecisionBasis::Rule,
        DecisionCause::KeptReplica(_) => DecisionBasis::KeptReplica,
        DecisionCause::SpareDefault => DecisionBasis::SpareDefault,
        DecisionCause::ServeDefault => DecisionBasis::ServeDefault,
    }
}

fn matched_rule(rules: &RuleSet, index: usize) -> MatchedRule {
    let rule = &rules.rules[index];
    MatchedRule {
        name: rule.name.clone(),
        wanted: rule.wanted,
        priority: rule.priority,
        replicas: rule.replicas,
        reason: rule.reason.clone(),
    }
}

fn shard_peers(
    inventory: &Inventory,
    decisions: &[StateDecision],
    target: &TargetEntry,
) -> Vec<ShardPeers> {
    let peers_of = |shard| {
        let all = inventory.targets.iter().zip(decisions);
        let others = all.filter(|(other, _)| other.name != target.name);
        let holders = others.filter(|(other, _)| other.shards.contains(shard));
        holders.map(|(other, decision)| (other.name.clone(), decision.state)).collect()
    };
    let shards = target.shards.iter();
    shards.map(|shard| ShardPeers { shard: shard.0.clone(), peers: peers_of(shard) }).collect()
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spare = if self.spare { ", spare" } else { "" };
        let Self { target, asset, service, zone, wanted, .. } = self;
        writeln!(f, "{target} (asset {asset}, {service}, zone {zone}{spare}): {wanted}")?;
        self.write_basis(f)?;
        for rule in self.matched.iter().skip(1) {
            let MatchedRule { name, wanted, priority, reason, .. } = rule;
            writeln!(f, "  also matches: {name} ({wanted}, priority {priority}): {reason}")?;
        }
        for ShardPeers { shard, peers } in &self.shards {
            let peers: Vec<_> =
                peers.iter().map(|(peer, wanted)| format!("{peer} ({wanted})")).collect();
            let peers = if peers.is_empty() { "nowhere".to_owned() } else { peers.join(", ") };
            writeln!(f, "  {shard} is also at: {peers}")?;
        }
        Ok(())
    }
}

impl Explanation {
    fn write_basis(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(rule) = self.matched.first() else {
            let default = if self.spare { "a spare target is off" } else { "a target serves" };
            return writeln!(f, "  no rule matches: {default}");
        };
        let MatchedRule { name, wanted, priority, replicas, reason } = rule;
        writeln!(f, "  decided by: {name} ({wanted}, priority {priority}): {reason}")?;
        match (self.basis, replicas) {
            (DecisionBasis::KeptReplica, Some(replicas)) => {
                writeln!(f, "  kept serving: the rule keeps {replicas} serving for each shard")
            }
            (_, Some(replicas)) if self.wanted != DesiredState::Serve => {
                writeln!(f, "  not kept: others are the {replicas} that serve each of its shards")
            }
            _ => Ok(()),
        }
    }
}
