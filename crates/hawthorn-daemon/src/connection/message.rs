//! Messages between daemons: requests from a front to an owner, and the answers.
//!
//! Sent by tarpc with bincode, which supports neither tagged enums nor flattened fields of serde.

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

/// Sender of a batch. An owner does not relay a piece that it received from another owner, so
/// pieces cannot loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchHop {
    /// The front that received the caller's request.
    Front,
    /// An owner that relays a piece because its own replica is slow.
    Owner,
}

/// The part of a query that belongs to one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchPiece {
    /// Number of the piece, chosen by the front and echoed.
    pub number: u32,
    /// The shard.
    pub shard: ShardName,
    /// Index version to search.
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
    /// Urgency class.
    pub urgency: UrgencyClass,
    /// Search text.
    pub text: String,
    /// Maximum number of matches to return for each piece.
    pub limit: u32,
    /// Time left until the caller's deadline, in microseconds. A duration and not a point in time,
    /// because the clocks of hosts differ.
    pub left_us: u64,
    /// Sender of the batch.
    pub hop: BatchHop,
    /// Generation of the owner's view that the front has.
    pub view: u64,
    /// The pieces.
    pub pieces: Vec<BatchPiece>,
}

/// Outcome of one piece.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PieceOutcome {
    /// A target searched it.
    Answered {
        /// Index version searched.
        version: IndexVersion,
        /// Keys actually searched.
        searched: RangeSet,
        /// Total number of matching documents.
        total: u64,
        /// The best matches.
        matches: Vec<DocumentMatch>,
    },
    /// The piece was not searched.
    Missing(MissingReason),
    /// No replica of this owner holds the version; the list holds the versions available.
    Retired(Vec<IndexVersion>),
    /// This host does not own the shard's targets.
    NotOwner,
}

/// Answer of an owner to a batch; contains every piece exactly once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// Id of the request, echoed.
    pub request: RequestId,
    /// Number and outcome of each piece.
    pub parts: Vec<(u32, PieceOutcome)>,
    /// Longest time that a piece waited for a slot, in microseconds.
    pub queued_us: u64,
    /// The owner's view, if it differs from the front's.
    pub view: Option<OwnerView>,
}

/// An owner's view of one shard whose targets it owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardName,
    /// Index versions held by at least one usable replica.
    pub versions: SmallVec<[IndexVersion; 2]>,
    /// Keys that the replicas hold at the newest of these versions.
    pub held: RangeSet,
    /// Expected wait of an urgent piece for a slot, in microseconds.
    pub wait_us: u64,
    /// Typical service time of a search once it has a slot, in microseconds.
    pub service_us: u64,
    /// Replicas that should serve and have been ready for several seconds. Another zone may switch
    /// off a replica of its own because of them.
    pub ready: u32,
}

/// An owner's view of all its shards.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct OwnerView {
    /// Increases with each change of the view. Waits and service times are rounded, so that small
    /// changes of them do not count.
    pub generation: u64,
    /// The shards, sorted by name.
    pub shards: Vec<ShardView>,
}

impl OwnerView {
    /// The view of one shard. Relies on the shards being sorted by name.
    pub fn shard(&self, name: &ShardName) -> Option<&ShardView> {
        let index = self.shards.binary_search_by(|view| view.shard.cmp(name)).ok()?;
        Some(&self.shards[index])
    }
}

/// A non-idempotent request, sent to the owner of its shard.
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
    /// Body of the request.
    pub body: String,
    /// Time left until the caller's deadline, in microseconds.
    pub left_us: u64,
    /// Unix time in milliseconds after which the request must not be sent to a target, because its
    /// caller has given up or its claim may have expired in the store. A point in time and not a
    /// duration, because a message can stay unread for seconds.
    pub not_after_ms: u64,
}

/// Outcome of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The request ran.
    Ran(String),
    /// The request did not run and will not.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
    /// The request ran and failed.
    Failed(FailureReason),
}

/// A configuration document, as exchanged between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Revision of the document, repeated so that revisions are compared without parsing.
    pub revision: ConfigRevision,
    /// The document as stored, JSON.
    pub document: String,
    /// Time since a daemon last read it from the store, in milliseconds.
    pub age_ms: u64,
}
