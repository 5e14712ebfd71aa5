//! Faults found in the operators' files.

use std::fmt;

use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// A file that can have faults.
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
    /// Settings of one daemon.
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

/// The kind of a fault.
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
    /// The configuration exceeds the maximum size of a value in the platform's store.
    TooLarge,
    /// The key does not exist.
    UnknownKey,
    /// A required key is absent.
    MissingKey,
    /// The value has the wrong type, such as a number instead of a string.
    WrongType,
    /// A duration without a unit or with an unknown one.
    WrongUnit,
    /// The value is not within its limits.
    OutOfRange,
    /// The value is not one of the allowed words.
    UnknownWord,
    /// A name is empty, too long or has invalid characters.
    BadName,
    /// An address is not a valid `IP:PORT`.
    BadAddress,
    /// Two entries have the same name, asset or address.
    Duplicate,
    /// A reference to a name that does not exist.
    DanglingName,
    /// No target would serve a shard.
    NoServingReplica,
    /// A rule matches no target.
    NeverMatches,
    /// Other rules take precedence for all targets that a rule matches.
    NeverDecides,
    /// All targets that serve a shard are in the same zone.
    OneZone,
    /// No caller is listed, so every request would be rejected.
    NoCallers,
    /// Callers have different weights although `equal_callers` is set.
    UnequalCallers,
}

/// The severity of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultSeverity {
    /// The configuration is rejected.
    Error,
    /// Reported, but the configuration is accepted.
    Warning,
}

impl FaultKind {
    /// The severity of faults of this kind.
    pub fn severity(self) -> FaultSeverity {
        match self {
            Self::NeverMatches | Self::NeverDecides | Self::OneZone | Self::NoCallers => {
                FaultSeverity::Warning
            }
            _ => FaultSeverity::Error,
        }
    }
}

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigFault {
    /// The file.
    pub file: ConfigFile,
    /// Path of the key, such as `target[3].zone` with indices from 0; empty for the entire file.
    pub path: String,
    /// The line, counted from 1, if known.
    pub line: Option<u32>,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl ConfigFault {
    /// Whether the configuration is rejected because of this fault.
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
