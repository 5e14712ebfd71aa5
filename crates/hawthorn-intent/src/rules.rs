//! The rules, `rules.toml`: callers, and what is wanted of which targets.

use serde::Serialize;
use serde_with::skip_serializing_none;

use hawthorn_types::DesiredState;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::glob;
use crate::inventory::TargetEntry;
use crate::inventory::check_name;
use crate::source::ConfigSource;
use crate::source::TableReader;

/// Largest weight of a caller.
pub const MAX_WEIGHT: u32 = 100;
/// Most replicas that a rule may keep.
pub const MAX_REPLICAS: u32 = 100;

/// Callers and rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleSet {
    /// No caller may be ahead of another: every weight must be 1.
    pub equal_callers: bool,
    /// The callers; any other is refused.
    #[serde(rename = "caller")]
    pub callers: Vec<CallerEntry>,
    /// The rules, in the order of the file.
    #[serde(rename = "rule")]
    pub rules: Vec<RuleEntry>,
}

/// One caller: a member firm or a desk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerEntry {
    /// Its name.
    pub name: String,
    /// Its share when callers compete, next to the others' weights.
    pub weight: u32,
}

/// One rule.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleEntry {
    /// Its name.
    pub name: String,
    /// The targets it is for.
    #[serde(rename = "match")]
    pub pattern: RulePattern,
    /// What is wanted of them.
    pub wanted: DesiredState,
    /// Why, for whoever asks later.
    pub reason: String,
    /// Of the rules that match a target the one with the greatest priority
    /// decides, the first in the file among equals.
    pub priority: i32,
    /// Keeps so many targets serving for each shard, and wants `wanted` only of
    /// the others.
    pub replicas: Option<u32>,
}

/// Which targets a rule is for: those that fit every pattern given. `*` and
/// `?` stand for characters.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RulePattern {
    /// Pattern of the service's name.
    pub service: Option<String>,
    /// Pattern of the zone's name.
    pub zone: Option<String>,
    /// Pattern of the target's name.
    pub target: Option<String>,
    /// Pattern of the asset's number.
    pub asset: Option<String>,
    /// Spare targets only, or others only.
    pub spare: Option<bool>,
}

impl RulePattern {
    /// Whether the rule is for `target`.
    pub fn matches(&self, target: &TargetEntry) -> bool {
        let fits = |pattern: &Option<String>, text: &str| {
            pattern.as_ref().is_none_or(|pattern| glob::matches(pattern, text))
        };
        fits(&self.service, &target.service)
            && fits(&self.zone, &target.zone)
            && fits(&self.target, &target.name)
            && fits(&self.asset, &target.asset)
            && self.spare.is_none_or(|spare| spare == target.spare)
    }
}

/// What reading the rules gave.
pub struct Outcome<'i> {
    /// The rules, with placeholders where `faults` has an error.
    pub rules: RuleSet,
    /// Every fault that can be seen in one entry alone.
    pub faults: Vec<ConfigFault>,
    /// The parsed text, for the lines of further faults.
    pub source: ConfigSource<'i>,
}

/// Reads `text` to its end, whatever faults it has.
pub fn read(text: &str) -> Outcome<'_> {
    let mut faults = Vec::new();
    let source = ConfigSource::parse(ConfigFile::Rules, text, &mut faults);
    let mut reader = source.reader(&mut faults);
    let rules = RuleSet {
        equal_callers: reader.or_default("equal_callers", false),
        callers: reader.tables("caller", caller),
        rules: reader.tables("rule", rule),
    };
    reader.finish();
    Outcome { rules, faults, source }
}

fn caller(reader: &mut TableReader<'_, '_>) -> CallerEntry {
    CallerEntry { name: name(reader), weight: reader.within("weight", 1, 1..=MAX_WEIGHT) }
}

fn rule(reader: &mut TableReader<'_, '_>) -> RuleEntry {
    RuleEntry {
        name: name(reader),
        pattern: reader.table("match", pattern),
        wanted: reader.required("wanted", DesiredState::Serve),
        reason: reason(reader),
        priority: reader.or_default("priority", 0),
        replicas: reader.optional_within("replicas", 1..=MAX_REPLICAS),
    }
}

fn pattern(reader: &mut TableReader<'_, '_>) -> RulePattern {
    RulePattern {
        service: reader.optional("service"),
        zone: reader.optional("zone"),
        target: reader.optional("target"),
        asset: reader.optional("asset"),
        spare: reader.optional("spare"),
    }
}

fn name(reader: &mut TableReader<'_, '_>) -> String {
    let name: String = reader.required("name", String::new());
    check_name(reader, "name", &name);
    name
}

fn reason(reader: &mut TableReader<'_, '_>) -> String {
    let reason: String = reader.required("reason", String::new());
    if reason.trim().is_empty() && reader.has_text("reason") {
        let expected = "why the rule is there".to_owned();
        reader.reject("reason", FaultKind::MissingKey, "an empty reason".to_owned(), expected);
    }
    reason
}
