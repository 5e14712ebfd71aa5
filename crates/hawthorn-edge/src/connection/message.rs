//! Messages between hosts that route requests. They travel by tarpc with
//! bincode, so they use no tagged or flattened serde shapes.

use serde::Deserialize;
use serde::Serialize;

/// The format of these messages. Hosts of two formats run side by side while a
/// fleet is updated, and understand nothing of each other's orders.
pub const FORMAT: u32 = 0x6872_0004;

/// Times of an order by its reader's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTimes {
    /// Nobody waits any more.
    pub ends_us: u64,
    /// The parts lose worth.
    pub aim_us: u64,
}

/// Shards of one query that another host is asked to gather.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatherOrder {
    /// [`FORMAT`]; first, so that it is read where nothing else is.
    pub format: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub uri: String,
    /// Headers but those of the caller's connection: name and value.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The caller's body.
    pub body: Vec<u8>,
    /// The caller's id of this try.
    pub attempt_id: Option<String>,
    /// Version of the routes that the query began with.
    pub version: u64,
    /// Name of its route in that version.
    pub route: String,
    /// Which of the route's shards, by their place in its list.
    pub shards: Vec<u16>,
    /// Shards that the whole answer may do without.
    pub spare: u16,
    /// Of the order's shards, how many may be left out if they cannot come in time.
    pub skip: u16,
    /// Attempts that may have been made at each shard already, by a peer that
    /// fell silent.
    pub spent: u8,
    /// Microseconds until nobody waits any more, when the order was made.
    pub left_us: u64,
    /// Microseconds within which the parts are worth all they can be, by then.
    pub aim_left_us: u64,
    /// The same by the reader's clock, once the sender knows it.
    pub times: Option<OrderTimes>,
    /// A hash of the caller and the route, as in `RequestIdentity`.
    pub caller: u64,
    /// Whether a target has answered the query.
    pub answered: bool,
}

/// What a peer knows of the queues at the shards that it gathered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// How long work waits at each, in microseconds.
    pub waits_us: Vec<u64>,
    /// Parts that targets turned away for being full.
    pub turned_away: u16,
    /// Shards that were not asked for, as their parts could not come in time.
    pub skipped: u16,
}

/// What another host gathered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatherReply {
    /// Parts of some or all of the shards.
    Parts {
        /// The targets' signatures, one a part.
        receipts: Vec<Vec<u8>>,
        /// The greatest records of these parts, falling.
        records: Vec<u8>,
        /// Shards without a part.
        missing: u16,
        /// What the parts told of the targets' queues.
        load: PeerLoad,
        /// Parts that may still come, while the peer waits to be asked for them.
        remainder: Option<Remainder>,
    },
    /// Nothing was sent: that version is not known there.
    OtherVersion,
    /// Nothing was sent: the host is stopping.
    Stopping,
    /// Nothing was sent: the order is of another format, or its times cannot be.
    Unreadable,
}

/// Parts that were not in when a peer replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remainder {
    /// Names the query at the peer.
    pub token: u64,
    /// How many may still come.
    pub parts: u16,
}

/// A reply, and when the order was taken in and the reply given, by the clock of
/// the host that replies, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedReply {
    /// When the order was taken in.
    pub received_us: u64,
    /// When the reply was given.
    pub replied_us: u64,
    /// The reply.
    pub reply: GatherReply,
}

/// What a host knows of the store beyond what the asker does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogNews {
    /// Keys, revisions of their last changes, and values; none where deleted.
    pub items: Vec<(String, u64, Option<Vec<u8>>)>,
    /// The store's revision up to which this is all.
    pub as_of: u64,
    /// The items are all there are.
    pub whole: bool,
    /// Milliseconds since the store last confirmed it, perhaps through others.
    pub age_ms: u64,
}
