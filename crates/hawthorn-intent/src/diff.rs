//! What changes from one configuration to another, entry by entry and in effect.

use std::collections::BTreeMap;
use std::fmt;

use hawthorn_types::DesiredState;
use hawthorn_types::ShardName;
use serde::Serialize;
use strum::Display;

use crate::inventory::Inventory;
use crate::rules::RuleSet;
use crate::wanted::wanted;

/// Inventory and rules of one configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigView<'c> {
    /// The inventory.
    pub inventory: &'c Inventory,
    /// The rules.
    pub rules: &'c RuleSet,
}

/// What an entry is.
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

/// One key of an entry that changes; `-` where it is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The key.
    pub key: String,
    /// What it said.
    pub old: String,
    /// What it says.
    pub new: String,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ConfigChange {
    /// An entry is new.
    Added {
        /// What it is.
        kind: EntryKind,
        /// Its name.
        name: String,
    },
    /// An entry is gone.
    Removed {
        /// What it was.
        kind: EntryKind,
        /// Its name.
        name: String,
    },
    /// An entry of that name says something else.
    Changed {
        /// What it is.
        kind: EntryKind,
        /// Its name.
        name: String,
        /// The keys that change.
        fields: Vec<FieldChange>,
    },
    /// Rules that stay have another order, which decides among equal priorities.
    RulesReordered,
    /// Whether callers must be equal.
    EqualCallers {
        /// The new value.
        now: bool,
    },
    /// The state wanted of a target; `None` where there is no such target.
    Wanted {
        /// The target.
        target: String,
        /// What was wanted.
        old: Option<DesiredState>,
        /// What is wanted.
        new: Option<DesiredState>,
    },
    /// How many targets are wanted to serve a shard.
    Replicas {
        /// The shard.
        shard: ShardName,
        /// How many were.
        old: usize,
        /// How many are.
        new: usize,
    },
}

/// All changes: entries first, then what they bring about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The changes.
    pub changes: Vec<ConfigChange>,
}

/// Everything that changes from `old` to `new`.
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
    changes.extend(wanted_changes(old, new));
    changes.extend(replica_changes(old, new));
    Outcome { changes }
}

/// Each key of an entry, as TOML.
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

/// Stands for a key that an entry doesn't have.
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
        let of = |side: &EntryFields| side.get(key).cloned().unwrap_or_else(|| ABSENT.to_owned());
        let (old, new) = (of(old), of(new));
        if old != new {
            fields.push(FieldChange { key: key.clone(), old, new });
        }
    }
    let name = name.to_owned();
    (!fields.is_empty()).then_some(ConfigChange::Changed { kind, name, fields })
}

fn is_reordered(old: &RuleSet, new: &RuleSet) -> bool {
    let names_in = |one: &RuleSet, other: &RuleSet| -> Vec<String> {
        let stays = |name: &String| other.rules.iter().any(|rule| rule.name == *name);
        one.rules.iter().map(|rule| rule.name.clone()).filter(stays).collect()
    };
    names_in(old, new) != names_in(new, old)
}

fn wanted_states(view: ConfigView<'_>) -> BTreeMap<&str, DesiredState> {
    let decisions = wanted(view.inventory, view.rules);
    let targets = view.inventory.targets.iter();
    targets.zip(decisions).map(|(target, decision)| (&*target.name, decision.state)).collect()
}

fn wanted_changes(old: ConfigView<'_>, new: ConfigView<'_>) -> Vec<ConfigChange> {
    let (before, after) = (wanted_states(old), wanted_states(new));
    let added = after.keys().filter(|target| !before.contains_key(*target));
    let mut changes = Vec::new();
    for &target in before.keys().chain(added) {
        let (old, new) = (before.get(target).copied(), after.get(target).copied());
        if old != new {
            changes.push(ConfigChange::Wanted { target: target.to_owned(), old, new });
        }
    }
    changes
}

fn serving_counts(view: ConfigView<'_>) -> BTreeMap<&ShardName, usize> {
    let mut counts = BTreeMap::new();
    let decisions = wanted(view.inventory, view.rules);
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
        let of = |side: &BTreeMap<&ShardName, usize>| side.get(shard).copied().unwrap_or(0);
        let (old, new) = (of(&before), of(&after));
        if old != new {
            changes.push(ConfigChange::Replicas { shard: shard.clone(), old, new });
        }
    }
    changes
}

fn show_state(state: Option<DesiredState>) -> &'static str {
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
            Self::Wanted { target, old, new } => {
                write!(f, "> {target}: {} -> {}", show_state(*old), show_state(*new))
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
