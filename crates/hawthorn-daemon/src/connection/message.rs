//! Messages between daemons: what a front asks of an owner, and the answers.
//!
//! They travel by tarpc with bincode, so they use no tagged or flattened
//! serde shapes.

use hawthorn_types::ConfigRevision;
use hawthorn_types::FailureReason;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RefusalReason;
use hawthorn_types::RequestId;
use hawthorn_types::ShardName;
use hawthorn_types::UnknownReason;
use hawthorn_types::UrgencyClass;
use hawthorn_types::target::DocumentMatch;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// How far a batch has come from the caller's front. An owner that got a piece
/// from another owner does not pass it on again, so pieces cannot circle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchHop {
    /// Sent by the front that holds the caller's request.
    Front,
    /// Sent by an owner whose own replica is late.
    Owner,
}

/// One shard's share of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchPiece {
    /// The front's number for the piece, echoed.
    pub number: u32,
    /// The shard.
    pub shard: ShardName,
    /// The version to search.
    pub version: IndexVersion,
    /// The keys to search.
    pub range: KeyRange,
}

/// All pieces of one query for one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchBatch {
    /// The request, echoed.
    pub request: RequestId,
    /// The caller's name.
    pub caller: String,
    /// Urgent or normal.
    pub urgency: UrgencyClass,
    /// Words to find.
    pub text: String,
    /// Matches wanted of each piece, at the most.
    pub limit: u32,
    /// Microseconds left until the caller's deadline. A span and not a time,
    /// as the clocks of hosts differ.
    pub left_us: u64,
    /// Where it comes from.
    pub hop: BatchHop,
    /// The generation of the owner's view that the front has.
    pub view: u64,
    /// The pieces.
    pub pieces: Vec<BatchPiece>,
}

/// What became of one piece.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PieceOutcome {
    /// A target searched it.
    Answered {
        /// The version searched.
        version: IndexVersion,
        /// The keys really searched.
        searched: RangeSet,
        /// Documents that matched.
        total: u64,
        /// The best of them.
        matches: Vec<DocumentMatch>,
    },
    /// It was not searched.
    Missing(MissingReason),
    /// No replica here holds the version; these are held.
    Retired(Vec<IndexVersion>),
    /// This host does not own the shard's targets.
    NotOwner,
}

/// The owner's answer to a batch: every piece once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// Echo of the request.
    pub request: RequestId,
    /// Piece number and what became of it.
    pub parts: Vec<(u32, PieceOutcome)>,
    /// The longest that one of them waited for a slot, in microseconds.
    pub queued_us: u64,
    /// The owner's view, when newer than the front's.
    pub view: Option<OwnerView>,
}

/// What an owner says of one shard it owns targets of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardName,
    /// Versions held by at least one usable replica.
    pub versions: SmallVec<[IndexVersion; 2]>,
    /// Keys that the replicas hold at the newest of them.
    pub held: RangeSet,
    /// How long an urgent piece would wait for a slot, in microseconds.
    pub wait_us: u64,
    /// How long the search then mostly takes, in microseconds.
    pub service_us: u64,
    /// Replicas that are wanted to serve and have been ready for some seconds:
    /// another zone may switch one of its own off for their sake.
    pub ready: u32,
}

/// What an owner says of all its shards.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct OwnerView {
    /// Grows with each change of versions; waits alone do not raise it.
    pub generation: u64,
    /// The shards, in the order of their names.
    pub shards: Vec<ShardView>,
}

impl OwnerView {
    /// What is said of one shard. Shards are listed in the order of their names.
    pub fn shard(&self, name: &ShardName) -> Option<&ShardView> {
        let index = self.shards.binary_search_by(|view| view.shard.cmp(name)).ok()?;
        Some(&self.shards[index])
    }
}

/// A non-idempotent request on its way to the owner of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceBatch {
    /// The request, echoed.
    pub request: RequestId,
    /// The caller's name.
    pub caller: String,
    /// The caller's own request id.
    pub caller_request: String,
    /// The shard that holds the key.
    pub shard: ShardName,
    /// The key.
    pub key: u32,
    /// What to do.
    pub body: String,
    /// Microseconds left until the caller's deadline.
    pub left_us: u64,
    /// Unix milliseconds from which on it must not be sent to a target: its
    /// caller has given up, or its claim may be gone from the store. A time and
    /// not a span, as a message can lie unread for seconds.
    pub not_after_ms: u64,
}

/// What became of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// It ran.
    Ran(String),
    /// It did not run and will not.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown(UnknownReason),
    /// It ran and failed.
    Failed(FailureReason),
}

/// A configuration document and its standing, passed on between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// The revision, repeated so that it need not be parsed to be compared.
    pub revision: ConfigRevision,
    /// The document as it stands in the store, JSON.
    pub document: String,
    /// Milliseconds since a daemon last read it from the store.
    pub age_ms: u64,
}
