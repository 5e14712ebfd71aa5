//! The contract between the tier and a target, JSON over HTTP/1.1.
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

/// The state operators want a target to be in, worked out from the inventory
/// and the rules.
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
    /// Takes work.
    Serve,
    /// Switched on and warm, takes no work until it is needed.
    Standby,
    /// Finishes what it has and takes nothing new.
    Drain,
    /// Switched off. Not a failure.
    Off,
}

/// The phase a target reports of itself. It may lag or mislead.
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
    /// Loading: answers slowly or refuses.
    Cold,
    /// Takes work.
    Ready,
    /// Finishes what it has and refuses new work.
    Draining,
    /// Holds its index but was told to take no work.
    Standby,
}

/// What a target holds of one service at one version.
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
    /// The target's own name; a mismatch means the address was reused.
    pub target: String,
    /// The phase it reports.
    pub phase: TargetPhase,
    /// Requests it is working on now, as it reports them.
    pub busy: u32,
    /// Slots it has.
    pub slots: u32,
    /// Everything it holds.
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
    /// At most so many matches, best first.
    pub limit: u32,
    /// Milliseconds the caller still waits; later answers are of no use.
    pub deadline_ms: u64,
}

/// One document that matched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentMatch {
    /// The document's key in the key space.
    pub key: u32,
    /// The document's id, unique within its service.
    pub id: String,
    /// Higher is better.
    pub score: f32,
    /// The document's text, or the part worth showing.
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
    /// The keys really searched: within the range asked, smaller when the
    /// shard was repartitioned meanwhile.
    pub searched: RangeSet,
    /// How many documents matched before the limit was applied.
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
    /// What to do, opaque to the tier.
    pub body: String,
    /// Milliseconds the caller still waits.
    pub deadline_ms: u64,
}

/// Answer to `POST /run`, status 200 when it ran well, 500 when it ran and failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// Echo of [`TargetRun::request`].
    pub request: String,
    /// Echo of [`TargetRun::attempt`].
    pub attempt: u64,
    /// What the target says of it.
    pub result: String,
}

/// Body of `POST /cancel`: the attempt's answer is no longer wanted. The
/// target ends it soon and answers it with status 409, `cancelled`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAttempt {
    /// The request.
    pub request: String,
    /// The attempt.
    pub attempt: u64,
}

/// Body of `POST /intent`: the state operators want.
///
/// A target ignores an order of an older revision than one it has obeyed, and
/// still answers 200. Without that, a host that was paused, or cut off from the
/// newest configuration, could put a target back into a state that operators
/// no longer want.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIntent {
    /// The wanted state.
    pub wanted: DesiredState,
    /// The configuration revision that wants it; 0 when it is not given.
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
    /// Overloaded.
    Shedding,
    /// Leaving.
    Draining,
    /// Not loaded yet.
    Cold,
    /// The version is not held (409).
    VersionRetired,
    /// None of the range is held at that version (409).
    RangeMoved,
    /// The attempt was cancelled (409).
    Cancelled,
    /// Malformed.
    BadRequest,
}

/// Body of a refusal: the attempt was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedAttempt {
    /// Echo of the request.
    pub request: String,
    /// Echo of the attempt.
    pub attempt: u64,
    /// Why.
    pub refusal: TargetRefusal,
    /// Versions of the service that the target holds now.
    #[serde(default)]
    pub versions: Vec<IndexVersion>,
}
