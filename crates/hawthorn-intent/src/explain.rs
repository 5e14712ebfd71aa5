//! Says why a target is in the state that is wanted of it.

use std::fmt;

use hawthorn_types::DesiredState;
use quick_error::quick_error;
use serde::Serialize;

use crate::inventory::Inventory;
use crate::inventory::TargetEntry;
use crate::rules::RuleSet;
use crate::wanted::WantedCause;
use crate::wanted::WantedDecision;
use crate::wanted::wanted;

quick_error! {
    /// Why there is nothing to explain.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Neither a target nor an asset of that name.
        UnknownTarget(name: String) {
            display("the inventory has no target and no asset named {name:?}")
        }
    }
}

/// One rule that matches the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MatchedRule {
    /// Its name.
    pub name: String,
    /// What it wants.
    pub wanted: DesiredState,
    /// Its priority.
    pub priority: i32,
    /// How many replicas it keeps, if any.
    pub replicas: Option<u32>,
    /// Why it is there.
    pub reason: String,
}

/// One shard of the target, and the other targets that hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardPeers {
    /// The shard.
    pub shard: String,
    /// The others, each with the state wanted of it.
    pub peers: Vec<(String, DesiredState)>,
}

/// What decided in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DecisionBasis {
    /// The first of the matched rules.
    Rule,
    /// The first of the matched rules, which keeps this one for a shard's replicas.
    KeptReplica,
    /// No rule: spare targets are off.
    SpareDefault,
    /// No rule: other targets serve.
    ServeDefault,
}

/// Why a target is in its wanted state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The target.
    pub target: String,
    /// Its number in the asset register.
    pub asset: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spare one.
    pub spare: bool,
    /// The state wanted of it.
    pub wanted: DesiredState,
    /// What decided.
    pub basis: DecisionBasis,
    /// Every rule that matches, the one that decided first.
    pub matched: Vec<MatchedRule>,
    /// Its shards.
    pub shards: Vec<ShardPeers>,
}

/// Explains the target of that name, or the one with that asset number.
pub fn explain(inventory: &Inventory, rules: &RuleSet, name: &str) -> Result<Explanation, Error> {
    let position = |key: fn(&TargetEntry) -> &String| {
        inventory.targets.iter().position(|target| key(target) == name)
    };
    let index = position(|target| &target.name)
        .or_else(|| position(|target| &target.asset))
        .ok_or_else(|| Error::UnknownTarget(name.to_owned()))?;
    let decisions = wanted(inventory, rules);
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

fn basis(cause: WantedCause) -> DecisionBasis {
    match cause {
        WantedCause::Rule(_) => DecisionBasis::Rule,
        WantedCause::KeptReplica(_) => DecisionBasis::KeptReplica,
        WantedCause::SpareDefault => DecisionBasis::SpareDefault,
        WantedCause::ServeDefault => DecisionBasis::ServeDefault,
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
    decisions: &[WantedDecision],
    target: &TargetEntry,
) -> Vec<ShardPeers> {
    let peers_of = |shard| {
        let all = inventory.targets.iter().zip(decisions);
        let others = all.filter(|(other, _)| other.name != target.name);
        let holding = others.filter(|(other, _)| other.shards.contains(shard));
        holding.map(|(other, decision)| (other.name.clone(), decision.state)).collect()
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
