//! Versions of the index and revisions of the configuration.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A published version of a service's index. A newer one is greater.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct IndexVersion(pub u64);

/// A revision of the operators' configuration. A newer one is greater; daemons
/// never revert to a smaller one.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct ConfigRevision(pub u64);
