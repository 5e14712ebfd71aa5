//! The API between the tier and a target, JSON over HTTP/1.1.
//!
//! Sent by an owner to a target: `GET /state`, `POST /search`, `POST /run`,
//! `POST /cancel`, `POST /intent`. A target answers a refusal with status 409
//! or 503 and a [`RefusedAttempt`]: such an attempt was not run.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::KeyRange;
use crate::RangeSet;
use crate::ShardName;
use crate::version::ConfigRevision;
use crate::version::IndexVersion;

/// The desired state of a target, derived from the inventory and the rules.
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
    Deserialize,
    JsonSchema,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DesiredState {
    /// Accepts requests.
    Serve,
    /// Running and warm, but receives no requests until it is needed.
    Standby,
    /// Finishes its requests and accepts no new ones.
    Drain,
    /// Switched off on purpose; not a failure.
    Off,
}

/// The phase that a target reports. It may be stale or wrong.
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
    Deserialize,
    JsonSchema,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetPhase {
    /// Loading: answers slowly or refuses requests.
    Cold,
    /// Accepts requests.
    Ready,
    /// Finishes its requests and refuses new ones.
    Draining,
    /// Holds its index but was instructed to accept no requests.
    Standby,
}

/// The ranges that a target holds of one service at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRanges {
    /// The service.
    pub service: String,
    /// The index version.
    pub version: IndexVersion,
    /// The ranges held at that version.
    pub ranges: RangeSet,
}

/// Answer to `GET /state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// The target's name; a mismatch means that the address was reused.
    pub target: String,
    /// The current phase.
    pub phase: TargetPhase,
    /// Number of requests in progress.
    pub busy: u32,
    /// Number of slots.
    pub slots: u32,
    /// The ranges held, for each service and version.
    pub held: Vec<HeldRanges>,
}

/// Body of `POST /search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSearch {
    /// The tier's request id, 32 hexadecimal digits; echoed.
    pub request: String,
    /// The attempt; echoed.
    pub attempt: u64,
    /// The shard; echoed.
    pub shard: ShardName,
    /// The index version to search.
    pub version: IndexVersion,
    /// The keys to search.
    pub range: KeyRange,
    /// Words that a document must all contain; empty matches every document.
    pub text: String,
    /// Maximum number of matches, best first.
    pub limit: u32,
    /// Milliseconds until the deadline; later answers are discarded.
    pub deadline_ms: u64,
}

/// One document that matched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentMatch {
    /// The document's key in the key space.
    pub key: u32,
    /// The document's id, unique within its service.
    pub id: String,
    /// The score; higher is better.
    pub score: f32,
    /// The document's text, or an excerpt.
    pub text: String,
}

/// Answer to `POST /search`, status 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardAnswer {
    /// Echo of [`ShardSearch::request`].
    pub request: String,
    /// Echo of [`ShardSearch::attempt`].
    pub attempt: u64,
    /// Echo of [`ShardSearch::shard`].
    pub shard: ShardName,
    /// The version searched.
    pub version: IndexVersion,
    /// The keys actually searched: a subset of the requested range, smaller when the
    /// shard was repartitioned in the meantime.
    pub searched: RangeSet,
    /// Number of documents that matched, before the limit was applied.
    pub total: u64,
    /// The matches, best first.
    pub matches: Vec<DocumentMatch>,
}

/// Body of `POST /run`, a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// The tier's request id; echoed.
    pub request: String,
    /// The attempt; echoed.
    pub attempt: u64,
    /// The caller.
    pub caller: String,
    /// The caller's own request id.
    pub caller_request: String,
    /// The key that chooses the shard.
    pub key: u32,
    /// The request body, opaque to the tier.
    pub body: String,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
}

/// Answer to `POST /run`: status 200 when the request succeeded, 500 when it ran and
/// failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// Echo of [`TargetRun::request`].
    pub request: String,
    /// Echo of [`TargetRun::attempt`].
    pub attempt: u64,
    /// The result.
    pub result: String,
}

/// Body of `POST /cancel`: cancels an attempt. The target stops it soon and answers
/// it with status 409, `cancelled`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAttempt {
    /// The request.
    pub request: String,
    /// The attempt.
    pub attempt: u64,
}

/// Body of `POST /intent`: the desired state.
///
/// A target ignores an intent of an older revision than one already applied, and
/// still answers 200. Otherwise a host that was paused, or partitioned from the
/// newest configuration, could revert a target to an outdated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIntent {
    /// The desired state.
    pub wanted: DesiredState,
    /// The configuration revision of the desired state; 0 when absent.
    #[serde(default)]
    pub revision: ConfigRevision,
}

/// Why a target did not run an attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetRefusal {
    /// The target is overloaded.
    Shedding,
    /// The target is draining.
    Draining,
    /// The target has not loaded its index yet.
    Cold,
    /// The version is not held (409).
    VersionRetired,
    /// None of the range is held at that version (409).
    RangeMoved,
    /// The attempt was cancelled (409).
    Cancelled,
    /// The request is malformed.
    BadRequest,
}

/// Body of a refusal: the attempt was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedAttempt {
    /// Echo of the request.
    pub request: String,
    /// Echo of the attempt.
    pub attempt: u64,
    /// The reason.
    pub refusal: TargetRefusal,
    /// Versions of the service that the target currently holds.
    #[serde(default)]
    pub versions: Vec<IndexVersion>,
}
