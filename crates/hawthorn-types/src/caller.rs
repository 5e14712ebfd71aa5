//! The API between callers and the tier, JSON over HTTP/1.1.
//!
//! `POST /v1/query` takes a [`SearchQuery`], `POST /v1/request` takes a
//! [`OnceRequest`]; both answer a [`CallerAnswer`].

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::ConfigRevision;
use crate::FailureReason;
use crate::IndexVersion;
use crate::KeyRange;
use crate::MissingReason;
use crate::RefusalReason;
use crate::UnknownReason;
use crate::target::DocumentMatch;

/// Urgency of a query.
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
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum UrgencyClass {
    /// Latency-sensitive: stem checks, barge slots, conflict checks.
    #[default]
    Urgent,
    /// Tolerates delay but must not be lost: invoice look-ups.
    Normal,
}

/// An idempotent search over all shards of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SearchQuery {
    /// The caller, as named in the rules.
    pub caller: String,
    /// The service to search.
    pub service: String,
    /// Words that a document must all contain; empty matches every document.
    #[serde(default)]
    pub text: String,
    /// The keys to search; the whole key space when absent.
    #[serde(default)]
    pub range: Option<KeyRange>,
    /// Maximum number of matches, best first.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Milliseconds that the caller waits for the answer.
    pub deadline_ms: u64,
    /// Urgency of the query.
    #[serde(default)]
    pub urgency: UrgencyClass,
    /// The caller's own id for this request, echoed.
    #[serde(default)]
    pub request_id: Option<String>,
}

/// Default of [`SearchQuery::limit`].
pub const DEFAULT_LIMIT: u32 = 100;

fn default_limit() -> u32 {
    DEFAULT_LIMIT
}

/// A non-idempotent request for the one shard that holds `key`. Runs at most
/// once for each caller and request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OnceRequest {
    /// The caller, as named in the rules.
    pub caller: String,
    /// The service.
    pub service: String,
    /// The key that chooses the shard.
    pub key: u32,
    /// The request body, opaque to the tier.
    pub body: String,
    /// Milliseconds that the caller waits for the answer.
    pub deadline_ms: u64,
    /// The caller's own id, `SECONDS-REST`: the Unix time at which the caller
    /// made the request, a hyphen, and anything unique. Sent unchanged when
    /// the same request is sent again.
    pub request_id: String,
}

/// The outcome of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case", tag = "outcome", content = "reason")]
#[strum(serialize_all = "kebab-case")]
pub enum CallerOutcome {
    /// The request ran; for a query, see the coverage.
    Answer,
    /// The request did not run and will not run.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The request ran and failed.
    Failed(FailureReason),
}

/// A range that the answer does not cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MissingRange {
    /// The keys that were not searched.
    pub range: KeyRange,
    /// The reason.
    pub reason: MissingReason,
}

/// The part of the requested keys that the answer covers, at its index version.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
pub struct AnswerCoverage {
    /// Ratio of covered to requested keys, 0 to 1. Exactly 1 only when none is missing.
    pub fraction: f64,
    /// The keys covered, ascending.
    pub covered: Vec<KeyRange>,
    /// The keys missing, ascending, each with its reason.
    pub missing: Vec<MissingRange>,
}

/// The configuration under which an answer was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
pub struct ConfigStamp {
    /// The revision in force at the host that answered.
    pub revision: ConfigRevision,
    /// Milliseconds since that host last received confirmation, from the store or
    /// through a peer, that this revision is the newest.
    pub age_ms: u64,
}

/// The tier's answer to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct CallerAnswer {
    /// The tier's id for the request, 32 hexadecimal digits.
    pub request: String,
    /// The caller's own request id, echoed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// The outcome.
    #[serde(flatten)]
    pub outcome: CallerOutcome,
    /// Milliseconds to wait before retrying a refused request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The index version of all matches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index_version: Option<IndexVersion>,
    /// What the answer covers; absent for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<AnswerCoverage>,
    /// The configuration under which the answer was made.
    pub configuration: ConfigStamp,
    /// Number of documents that matched in the ranges covered.
    #[serde(default)]
    pub total: u64,
    /// The matches, best first; fewer than `total` when limited.
    #[serde(default)]
    pub matches: Vec<DocumentMatch>,
    /// The target's result, for a non-idempotent request that ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Milliseconds spent in the tier.
    pub elapsed_ms: u64,
}
