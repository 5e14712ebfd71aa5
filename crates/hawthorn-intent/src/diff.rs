//! Computes the difference between two configurations: changed entries and their effects on targets
//! and shards.

use std::collections::BTreeMap;
use std::fmt;

use hawthorn_types::DesiredState;
use hawthorn_types::ShardName;
use serde::Serialize;
use strum::Display;

use crate::desired_state::decide;
use crate::inventory::Inventory;
use crate::rules::RuleSet;

/// Inventory and rules of one configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigView<'c> {
    /// The inventory.
    pub inventory: &'c Inventory,
    /// The rules.
    pub rules: &'c RuleSet,
}

/// The kind of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EntryKind {
    /// A `[[zone]]`.
    Zone,
    /// A `[[service]]`.
    Service,
    /// A `[[target]]`.
    Target,
    /// A `[[caller]]`.
    Caller,
    /// A `[[rule]]`.
    Rule,
}

/// Change of one key of an entry. An absent value is shown as `-`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The key.
    pub key: String,
    /// The old value.
    pub old: String,
    /// The new value.
    pub new: String,
}

/// A change between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ConfigChange {
    /// An entry was added.
    Added {
        /// The kind of the entry.
        kind: EntryKind,
        /// The name of the entry.
        name: String,
    },
    /// An entry was removed.
    Removed {
        /// The kind of the entry.
        kind: EntryKind,
        /// The name of the entry.
        name: String,
    },
    /// An entry with the same name has different values.
    Changed {
        /// The kind of the entry.
        kind: EntryKind,
        /// The name of the entry.
        name: String,
        /// The changed keys.
        fields: Vec<FieldChange>,
    },
    /// The order of the remaining rules changed, which determines precedence between equal
    /// priorities.
    RulesReordered,
    /// `equal_callers` changed.
    EqualCallers {
        /// The new value.
        now: bool,
    },
    /// The desired state of a target changed; `None` if the target does not exist.
    #[serde(rename = "wanted")]
    DesiredState {
        /// The target.
        target: String,
        /// The old state.
        old: Option<DesiredState>,
        /// The new state.
        new: Option<DesiredState>,
    },
    /// The number of targets that should serve a shard changed.
    Replicas {
        /// The shard.
        shard: ShardName,
        /// The old number.
        old: usize,
        /// The new number.
        new: usize,
    },
}

/// All changes: entries first, then their effects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The changes.
    pub changes: Vec<ConfigChange>,
}

/// Computes all changes from `old` to `new`.
pub fn diff(old: ConfigView<'_>, new: ConfigView<'_>) -> Outcome {
    let mut changes = Vec::new();
    let (before, after) = (entries(old), entries(new));
    for ((kind, name), fields) in &before {
        match after.get(&(*kind, *name)) {
            None => changes.push(ConfigChange::Removed { kind: *kind, name: (*name).to_owned() }),
            Some(now) => changes.extend(changed_fields(*kind, name, fields, now)),
        }
    }
    for (kind, name) in after.keys().filter(|key| !before.contains_key(*key)) {
        changes.push(ConfigChange::Added { kind: *kind, name: (*name).to_owned() });
    }
    if is_reordered(old.rules, new.rules) {
        changes.push(ConfigChange::RulesReordered);
    }
    if old.rules.equal_callers != new.rules.equal_callers {
        changes.push(ConfigChange::EqualCallers { now: new.rules.equal_callers });
    }
    changes.extend(desired_state_changes(old, new));
    changes.extend(replica_changes(old, new));
    Outcome { changes }
}

/// Values of an entry as TOML, by key.
type EntryFields = BTreeMap<String, String>;

fn entries(view: ConfigView<'_>) -> BTreeMap<(EntryKind, &str), EntryFields> {
    let mut all = BTreeMap::new();
    for zone in &view.inventory.zones {
        all.insert((EntryKind::Zone, &*zone.name), fields_of(zone));
    }
    for service in &view.inventory.services {
        all.insert((EntryKind::Service, &*service.name), fields_of(service));
    }
    for target in &view.inventory.targets {
        all.insert((EntryKind::Target, &*target.name), fields_of(target));
    }
    for caller in &view.rules.callers {
        all.insert((EntryKind::Caller, &*caller.name), fields_of(caller));
    }
    for rule in &view.rules.rules {
        all.insert((EntryKind::Rule, &*rule.name), fields_of(rule));
    }
    all
}

fn fields_of(entry: &impl Serialize) -> EntryFields {
    let table = toml::Table::try_from(entry).expect("entries are tables of plain TOML values");
    table.into_iter().map(|(key, value)| (key, value.to_string())).collect()
}

/// Shown for an absent value.
const ABSENT: &str = "-";

fn changed_fields(
    kind: EntryKind,
    name: &str,
    old: &EntryFields,
    new: &EntryFields,
) -> Option<ConfigChange> {
    let mut fields = Vec::new();
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let value =
            |side: &EntryFields| side.get(key).cloned().unwrap_or_else(|| ABSENT.to_owned());
        let (old, new) = (value(old), value(new));
        if old != new {
            fields.push(FieldChange { key: key.clone(), old, new });
        }
    }
    let name = name.to_owned();
    (!fields.is_empty()).then_some(ConfigChange::Changed { kind, name, fields })
}

fn is_reordered(old: &RuleSet, new: &RuleSet) -> bool {
    let names_in = |one: &RuleSet, other: &RuleSet| -> Vec<String> {
        let is_kept = |name: &String| other.rules.iter().any(|rule| rule.name == *name);
        one.rules.iter().map(|rule| rule.name.clone()).filter(is_kept).collect()
    };
    names_in(old, new) != names_in(new, old)
}

fn desired_states(view: ConfigView<'_>) -> BTreeMap<&str, DesiredState> {
    let decisions = decide(view.inventory, view.rules);
    let targets = view.inventory.targets.iter();
    targets.zip(decisions).map(|(target, decision)| (&*target.name, decision.state)).collect()
}

fn desired_state_changes(old: ConfigView<'_>, new: ConfigView<'_>) -> Vec<ConfigChange> {
    let (before, after) = (desired_states(old), desired_states(new));
    let added = after.keys().filter(|target| !before.contains_key(*target));
    let mut changes = Vec::new();
    for &target in before.keys().chain(added) {
        let (old, new) = (before.get(target).copied(), after.get(target).copied());
        if old != new {
            changes.push(ConfigChange::DesiredState { target: target.to_owned(), old, new });
        }
    }
    changes
}

fn serving_counts(view: ConfigView<'_>) -> BTreeMap<&ShardName, usize> {
    let mut counts = BTreeMap::new();
    let decisions = decide(view.inventory, view.rules);
    for (target, decision) in view.inventory.targets.iter().zip(decisions) {
        for shard in &target.shards {
            *counts.entry(shard).or_default() += usize::from(decision.state == DesiredState::Serve);
        }
    }
    counts
}

fn replica_changes(old: ConfigView<'_>, new: ConfigView<'_>) -> Vec<ConfigChange> {
    let (before, after) = (serving_counts(old), serving_counts(new));
    let added = after.keys().filter(|shard| !before.contains_key(*shard));
    let mut changes = Vec::new();
    for &shard in before.keys().chain(added) {
        let count = |side: &BTreeMap<&ShardName, usize>| side.get(shard).copied().unwrap_or(0);
        let (old, new) = (count(&before), count(&after));
        if old != new {
            changes.push(ConfigChange::Replicas { shard: shard.clone(), old, new });
        }
    }
    changes
}

fn format_state(state: Option<DesiredState>) -> &'static str {
    state.map_or(ABSENT, <&str>::from)
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { kind, name } => write!(f, "+ {kind} {name}"),
            Self::Removed { kind, name } => write!(f, "- {kind} {name}"),
            Self::Changed { kind, name, fields } => {
                write!(f, "~ {kind} {name}")?;
                for FieldChange { key, old, new } in fields {
                    write!(f, "\n    {key}: {old} -> {new}")?;
                }
                Ok(())
            }
            Self::RulesReordered => write!(f, "~ rules have another order"),
            Self::EqualCallers { now } => write!(f, "~ equal_callers: {now}"),
            Self::DesiredState { target, old, new } => {
                write!(f, "> {target}: {} -> {}", format_state(*old), format_state(*new))
            }
            Self::Replicas { shard, old, new } => {
                write!(f, "> {shard}: {old} -> {new} serving")
            }
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes.iter().try_for_each(|change| writeln!(f, "{change}"))
    }
}
