//! Finds every fault of settings, inventory and rules in one run.
//!
//! Each file is read to its end first, then the files are held against each
//! other. The same check runs on the operator's machine and, before a write,
//! in the daemon that takes an edit.

mod names;
mod placing;
mod rules;
mod settings;

use crate::document::MAX_VALUE_BYTES;
use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::inventory;
use crate::inventory::Inventory;
use crate::rules::RuleSet;
use crate::settings::DaemonSettings;
use crate::source::ConfigSource;
use crate::wanted::WantedDecision;
use crate::wanted::wanted;

/// The texts to check.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'i> {
    /// The text of `daemon.toml`, when there is one.
    pub settings: Option<&'i str>,
    /// The text of `inventory.toml`.
    pub inventory: &'i str,
    /// The text of `rules.toml`.
    pub rules: &'i str,
}

/// What the check found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Every fault, by file and line.
    pub faults: Vec<ConfigFault>,
    /// The settings, when there were any; with placeholders where faulty.
    pub settings: Option<DaemonSettings>,
    /// The inventory, with placeholders where faulty.
    pub inventory: Inventory,
    /// The rules, with placeholders where faulty.
    pub rules: RuleSet,
}

impl Outcome {
    /// Whether the configuration may come into force: no fault is an error.
    pub fn is_accepted(&self) -> bool {
        !self.faults.iter().any(ConfigFault::is_error)
    }
}

/// Both files of the configuration, and where their keys stand.
struct CheckedFiles<'c, 'i> {
    inventory: &'c Inventory,
    inventory_source: &'c ConfigSource<'i>,
    rules: &'c RuleSet,
    rules_source: &'c ConfigSource<'i>,
    decisions: &'c [WantedDecision],
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

/// Checks `inputs` to their end.
pub fn check(inputs: Inputs<'_>) -> Outcome {
    let inventory::Outcome { inventory, mut faults, source: inventory_source } =
        inventory::read(inputs.inventory);
    let read_rules = crate::rules::read(inputs.rules);
    let rules = read_rules.rules;
    faults.extend(read_rules.faults);
    let decisions = wanted(&inventory, &rules);
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

/// Room in the store's value for what a document has besides the two texts.
const DOCUMENT_OVERHEAD: usize = 4_096;

/// Line breaks and quotes take two bytes in the document.
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
