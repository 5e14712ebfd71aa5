//! Faults found in the operators' files: what, where, found and expected.

use std::fmt;

use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// The file that a fault was found in.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
pub enum ConfigFile {
    /// The settings of one daemon.
    #[serde(rename = "daemon.toml")]
    #[strum(serialize = "daemon.toml")]
    Settings,
    /// Zones, services and targets.
    #[serde(rename = "inventory.toml")]
    #[strum(serialize = "inventory.toml")]
    Inventory,
    /// Callers and rules.
    #[serde(rename = "rules.toml")]
    #[strum(serialize = "rules.toml")]
    Rules,
}

/// What is wrong.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// The text is not TOML.
    Syntax,
    /// The file is larger than the platform's store takes.
    TooLarge,
    /// No such key.
    UnknownKey,
    /// A key that must be there is not.
    MissingKey,
    /// The value has another type, such as a number for a string.
    WrongType,
    /// A duration without a unit, or with one that is not known.
    WrongUnit,
    /// The value is outside its limits.
    OutOfRange,
    /// A word that is not one of those allowed.
    UnknownWord,
    /// A name is empty or has characters that names may not have.
    BadName,
    /// An address is not a usable `IP:PORT`.
    BadAddress,
    /// Two entries claim one name, asset or address.
    Duplicate,
    /// A name that nothing bears.
    DanglingName,
    /// A shard would be left without a target that serves it.
    NoServingReplica,
    /// A rule matches no target.
    NeverMatches,
    /// Other rules decide every target that a rule matches.
    NeverDecides,
    /// All targets that serve a shard are in one zone.
    OneZone,
    /// No caller is named, so every request would be refused.
    NoCallers,
    /// A caller would be ahead of another although all are to be equal.
    UnequalCallers,
}

/// Whether a fault stops the configuration from being accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultSeverity {
    /// Refused.
    Error,
    /// Accepted, and shown.
    Warning,
}

impl FaultKind {
    /// Whether a fault of this kind stops the configuration from being accepted.
    pub fn severity(self) -> FaultSeverity {
        match self {
            Self::NeverMatches | Self::NeverDecides | Self::OneZone | Self::NoCallers => {
                FaultSeverity::Warning
            }
            _ => FaultSeverity::Error,
        }
    }
}

/// One fault in one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigFault {
    /// The file.
    pub file: ConfigFile,
    /// The key, as `target[3].zone`, counted from 0; empty for the whole file.
    pub path: String,
    /// The line, counted from 1, when known.
    pub line: Option<u32>,
    /// What is wrong.
    pub kind: FaultKind,
    /// What the file says.
    pub found: String,
    /// What it should say.
    pub expected: String,
}

impl ConfigFault {
    /// Whether the configuration is refused for it.
    pub fn is_error(&self) -> bool {
        self.kind.severity() == FaultSeverity::Error
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        write!(f, ": {}: {}", self.kind.severity(), self.kind)?;
        if !self.path.is_empty() {
            write!(f, " at {}", self.path)?;
        }
        write!(f, ": found {}, expected {}", self.found, self.expected)
    }
}
