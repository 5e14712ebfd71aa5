//! Messages between hosts that route requests. They travel by tarpc with
//! bincode, so they use no tagged or flattened serde shapes.

use serde::Deserialize;
use serde::Serialize;

/// Shards of one query that another host is asked to gather.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatherOrder {
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
    /// Microseconds until nobody waits any more. A span, as clocks differ.
    pub left_us: u64,
    /// Microseconds within which the parts are worth all they can be.
    pub aim_left_us: u64,
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
    },
    /// Nothing was sent: that version is not known there.
    OtherVersion,
    /// Nothing was sent: the host is stopping.
    Stopping,
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
