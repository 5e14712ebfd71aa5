//! Validates settings, inventory and rules, and reports all faults at once.
//!
//! Each file is parsed completely, then references between the files are checked. The same check
//! runs on the operator's machine and, before an edit is written, in the daemon that receives it.

mod names;
mod placing;
mod rules;
mod settings;

use crate::desired_state::StateDecision;
use crate::desired_state::decide;
use crate::document::MAX_VALUE_BYTES;
use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::inventory;
use crate::inventory::Inventory;
use crate::rules::RuleSet;
use crate::settings::DaemonSettings;
use crate::source::ConfigSource;

/// Contents of the files to check.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'i> {
    /// Contents of `daemon.toml`, if it is to be checked.
    pub settings: Option<&'i str>,
    /// Contents of `inventory.toml`.
    pub inventory: &'i str,
    /// Contents of `rules.toml`.
    pub rules: &'i str,
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// All faults, sorted by file and line.
    pub faults: Vec<ConfigFault>,
    /// The settings, if they were given; faulty values are replaced by placeholders.
    pub settings: Option<DaemonSettings>,
    /// The inventory; faulty values are replaced by placeholders.
    pub inventory: Inventory,
    /// The rules; faulty values are replaced by placeholders.
    pub rules: RuleSet,
}

impl Outcome {
    /// Whether the configuration is accepted, which is the case if no fault is an error.
    pub fn is_accepted(&self) -> bool {
        !self.faults.iter().any(ConfigFault::is_error)
    }
}

/// Inventory and rules with their sources, which map keys to lines.
struct CheckedFiles<'c, 'i> {
    inventory: &'c Inventory,
    inventory_source: &'c ConfigSource<'i>,
    rules: &'c RuleSet,
    rules_source: &'c ConfigSource<'i>,
    decisions: &'c [StateDecision],
}

impl CheckedFiles<'_, '_> {
    fn in_inventory(
        &self,
        path: String,
        kind: FaultKind,
        found: String,
        expected: String,
    ) -> ConfigFault {
        self.inventory_source.fault(path, kind, found, expected)
    }

    fn in_rules(
        &self,
        path: String,
        kind: FaultKind,
        found: String,
        expected: String,
    ) -> ConfigFault {
        self.rules_source.fault(path, kind, found, expected)
    }
}

/// Checks all files and returns all faults.
pub fn check(inputs: Inputs<'_>) -> Outcome {
    let inventory::Outcome { inventory, mut faults, source: inventory_source } =
        inventory::read(inputs.inventory);
    let read_rules = crate::rules::read(inputs.rules);
    let rules = read_rules.rules;
    faults.extend(read_rules.faults);
    let decisions = decide(&inventory, &rules);
    let files = CheckedFiles {
        inventory: &inventory,
        inventory_source: &inventory_source,
        rules: &rules,
        rules_source: &read_rules.source,
        decisions: &decisions,
    };
    names::check(&files, &mut faults);
    rules::check(&files, &mut faults);
    placing::check(&files, &mut faults);
    faults.extend(size_fault(inputs));
    let settings = inputs.settings.map(|text| settings::check(text, &inventory, &mut faults));
    faults.sort_by(|one, other| {
        let key = |fault: &ConfigFault| (fault.file, fault.line, fault.kind);
        key(one).cmp(&key(other)).then_with(|| one.path.cmp(&other.path))
    });
    Outcome { faults, settings, inventory, rules }
}

/// Bytes reserved in a stored document for everything except the two files.
const DOCUMENT_OVERHEAD: usize = 4_096;

/// Length as a JSON string, in which characters such as line breaks and quotes take two bytes.
fn escaped_len(text: &str) -> usize {
    let escaped = text.bytes().filter(|byte| matches!(byte, b'\n' | b'"' | b'\\' | b'\t' | b'\r'));
    text.len() + escaped.count()
}

fn size_fault(inputs: Inputs<'_>) -> Option<ConfigFault> {
    let bytes = escaped_len(inputs.inventory) + escaped_len(inputs.rules) + DOCUMENT_OVERHEAD;
    (bytes > MAX_VALUE_BYTES).then(|| ConfigFault {
        file: ConfigFile::Inventory,
        path: String::new(),
        line: None,
        kind: FaultKind::TooLarge,
        found: format!("{bytes} bytes with the rules"),
        expected: format!("at most {MAX_VALUE_BYTES}, which is what the store takes"),
    })
}
