//! Messages between hosts that route requests. They are sent by tarpc with bincode, which does
//! not support tagged or flattened serde representations.

use std::fmt;

use hawthorn_route::mirror::RestoreBase;
use hawthorn_route::packing::ItemValue;
use hawthorn_route::revision::StoreRevision;
use serde::Deserialize;
use serde::Serialize;

/// Version of the message format. Hosts with two formats run side by side during a rolling
/// update and cannot read each other's requests.
pub const FORMAT: u32 = 0x6872_0008;

/// Deadlines of a request by the receiver's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDeadlines {
    /// When the request's deadline passes.
    pub deadline_us: u64,
    /// When the soft deadline passes: later parts are worth less to the caller.
    pub soft_deadline_us: u64,
}

/// The customer of a peer's query. The caller's key is not sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCustomer {
    /// Name of the customer.
    pub name: String,
    /// Index of the caller's key among the customer's keys, in the version of the query.
    pub key_index: u16,
}

/// Request to another host to gather some shards of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatherRequest {
    /// [`FORMAT`]; the first field, so that it can be read from a message of another format.
    pub format: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub uri: String,
    /// Headers except connection-specific ones: name and value.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The caller's body.
    pub body: Vec<u8>,
    /// The caller's attempt id.
    pub attempt_id: Option<String>,
    /// Version of the routes with which the query started.
    pub version: u64,
    /// Name of its route in that version.
    pub route: String,
    /// Shards to gather, as indices into the route's list.
    pub shards: Vec<u16>,
    /// Number of shards that may be missing from the complete answer.
    pub max_missing: u16,
    /// Maximum number of the requested shards that may be skipped if their parts cannot arrive
    /// in time.
    pub max_skipped: u16,
    /// Attempts that may already have been made at each shard, by a peer that stopped
    /// responding.
    pub prior_attempts: u8,
    /// Names the query in the sender's commit. Until it arrives, the sender may have another host
    /// gather the same shards, and the receiver makes one attempt at each at most.
    pub commit_token: Option<u64>,
    /// Time until the deadline when the request was sent, in microseconds.
    pub time_left_us: u64,
    /// Time until the soft deadline when the request was sent, in microseconds.
    pub soft_time_left_us: u64,
    /// Both deadlines by the receiver's clock, if the sender knows its offset.
    pub deadlines: Option<RequestDeadlines>,
    /// A hash of the caller and the route, as in `RequestIdentity`.
    pub caller: u64,
    /// Whether any target has answered the query.
    pub answered: bool,
    /// The customer whose request it is, if callers need keys.
    pub customer: Option<PeerCustomer>,
}

/// Queue load at the shards that a peer gathered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Queueing delay at each shard, in microseconds.
    pub waits_us: Vec<u64>,
    /// Number of parts rejected by full targets.
    pub rejected: u16,
    /// Number of shards skipped because their parts could not arrive in time.
    pub skipped: u16,
}

/// Reply to a [`GatherRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatherReply {
    /// Parts of some or all of the shards.
    Parts {
        /// The targets' receipts, one for each part.
        receipts: Vec<Vec<u8>>,
        /// The top records of these parts, in descending order.
        records: Vec<u8>,
        /// Number of shards without a part.
        missing: u16,
        /// Queue load reported with the parts.
        load: PeerLoad,
        /// Parts that may still arrive, and that the peer returns on request.
        remainder: Option<Remainder>,
    },
    /// Nothing was sent: the peer does not have that version of the routes.
    OtherVersion,
    /// Nothing was sent: the peer is stopping.
    Stopping,
    /// Nothing was sent: the request has another format, or its deadlines are impossible.
    Unreadable,
    /// Nothing was sent: the peer's configuration was not confirmed recently, so that the caller's
    /// key may have been revoked.
    StaleKeys,
    /// Nothing was sent: more urgent requests use the capacity, and the parts would be late.
    Overloaded {
        /// Time until capacity is expected, in microseconds.
        after_us: u64,
    },
}

/// Parts that had not arrived when a peer replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remainder {
    /// Identifies the query at the peer.
    pub token: u64,
    /// Number of parts that may still arrive.
    pub parts: u16,
}

/// A reply, with the times at which the request was received and the reply was sent, by the
/// replying host's clock in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedReply {
    /// When the request was received.
    pub received_us: u64,
    /// When the reply was sent.
    pub replied_us: u64,
    /// The reply.
    pub reply: GatherReply,
}

/// Changes of the store's items since a revision.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogUpdate {
    /// Keys, revision numbers of their last changes, and values.
    pub items: Vec<(String, u64, ItemValue)>,
    /// The store's revision up to which the changes are complete.
    pub as_of: StoreRevision,
    /// Whether this is a full snapshot.
    pub complete: bool,
    /// The state of an earlier era from which the items differ, if they are changes across a
    /// restore of the store.
    pub base: Option<RestoreBase>,
    /// Microseconds between the store's last confirmation of this revision, possibly through other
    /// hosts, and the reply; `u64::MAX` if it was never confirmed.
    pub age_us: u64,
    /// Microseconds between the receipt of the request and the reply.
    pub held_us: u64,
}

impl CatalogUpdate {
    /// Total size of keys and values as sent, in bytes.
    pub fn bytes(&self) -> usize {
        self.items.iter().map(|(key, _, value)| key.len() + value.len()).sum()
    }
}

impl fmt::Debug for CatalogUpdate {
    /// Omits the items, which may contain callers' keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CatalogUpdate")
            .field("items", &self.items.len())
            .field("as_of", &self.as_of)
            .field("complete", &self.complete)
            .finish_non_exhaustive()
    }
}

/// The reply to a request for tokens of a customer's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReply {
    /// Whether the peer holds a share of the quota.
    pub holds: bool,
    /// Number of tokens.
    pub granted: u32,
    /// Microseconds until the next token, if none was granted.
    pub next_us: u64,
    /// Microseconds for which the receiver should not ask again, if none was granted.
    pub pause_us: u64,
}
