//! The rules, `rules.toml`: callers and the desired states of targets.

use hawthorn_types::DesiredState;
use serde::Serialize;
use serde_with::skip_serializing_none;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::glob;
use crate::inventory::TargetEntry;
use crate::inventory::check_name;
use crate::source::ConfigSource;
use crate::source::TableReader;

/// Maximum weight of a caller.
pub const MAX_WEIGHT: u32 = 100;
/// Maximum of [`RuleEntry::replicas`].
pub const MAX_REPLICAS: u32 = 100;

/// Callers and rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleSet {
    /// Whether all callers must have weight 1, so that none takes precedence.
    pub equal_callers: bool,
    /// The callers. Requests from any other caller are rejected.
    #[serde(rename = "caller")]
    pub callers: Vec<CallerEntry>,
    /// The rules, in the order of the file.
    #[serde(rename = "rule")]
    pub rules: Vec<RuleEntry>,
}

/// A caller: a member firm or a desk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerEntry {
    /// The name.
    pub name: String,
    /// Weight in fair sharing between callers.
    pub weight: u32,
}

/// A rule.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleEntry {
    /// The name.
    pub name: String,
    /// The targets that it applies to.
    #[serde(rename = "match")]
    pub pattern: RulePattern,
    /// The desired state of these targets.
    pub wanted: DesiredState,
    /// Why the rule exists; shown in explanations.
    pub reason: String,
    /// The matching rule with the highest priority applies; of equal priorities, the first in the
    /// file.
    pub priority: i32,
    /// Number of targets to keep serving for each shard; `wanted` applies only to the others.
    pub replicas: Option<u32>,
}

/// Selects the targets that match all given patterns. Patterns may contain the wildcards `*` and
/// `?`.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RulePattern {
    /// Pattern for the name of the service.
    pub service: Option<String>,
    /// Pattern for the name of the zone.
    pub zone: Option<String>,
    /// Pattern for the name of the target.
    pub target: Option<String>,
    /// Pattern for the asset number.
    pub asset: Option<String>,
    /// `true` selects only spare targets, `false` only others.
    pub spare: Option<bool>,
}

impl RulePattern {
    /// Whether `target` matches.
    pub fn matches(&self, target: &TargetEntry) -> bool {
        let is_match = |pattern: &Option<String>, text: &str| {
            pattern.as_ref().is_none_or(|pattern| glob::matches(pattern, text))
        };
        is_match(&self.service, &target.service)
            && is_match(&self.zone, &target.zone)
            && is_match(&self.target, &target.name)
            && is_match(&self.asset, &target.asset)
            && self.spare.is_none_or(|spare| spare == target.spare)
    }
}

/// Result of [`read`].
pub struct Outcome<'i> {
    /// The rules; faulty values are replaced by placeholders.
    pub rules: RuleSet,
    /// All faults that do not involve other entries.
    pub faults: Vec<ConfigFault>,
    /// The parsed file, which provides the lines of faults found later.
    pub source: ConfigSource<'i>,
}

/// Parses rules and reports all their faults.
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
    if reason.trim().is_empty() && reader.is_string("reason") {
        let expected = "why the rule is there".to_owned();
        reader.reject("reason", FaultKind::MissingKey, "an empty reason".to_owned(), expected);
    }
    reason
}
