//! Datagrams between daemons, in the postcard format.
//!
//! A datagram is a [`FleetMessage`] followed by as many [`MemberUpdate`]s as fit. Any daemon may
//! send one to any other over UDP, which may lose, duplicate or reorder it. The postcard values are
//! concatenated, so that a sender can stop at the byte limit and a reader at the end.

use std::net::SocketAddr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use hawthorn_types::ConfigRevision;

/// Maximum size of a datagram in bytes. Below the 1,500 of an Ethernet frame minus headers, because
/// a fragmented datagram is lost when any fragment is.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// Maximum size of a [`Payload`](FleetBody::Payload) in bytes, which leaves room for the header and
/// zones in a datagram.
pub const PAYLOAD_LIMIT: usize = 1_150;

/// Maximum length of a host or zone name in bytes, so that one record always fits.
pub const NAME_LIMIT: usize = 64;

/// The version of datagrams and of calls between hosts. Other versions are rejected, so that hosts
/// with different formats never become peers.
pub const MESSAGE_FORMAT: u8 = 8;

/// Identifies a host across the fleet: a hash of the host's name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the host with this name.
    pub fn of(host: &str) -> Self {
        Self(xxh3_64(host.as_bytes()))
    }
}

/// Orders updates about one host: the greater stamp wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MemberStamp {
    /// When the process started, in Unix milliseconds. Greater after each restart.
    pub incarnation: u64,
    /// Incremented only by the host itself, with each announcement and to refute a suspicion.
    pub sequence: u32,
}

/// Lifecycle phase of a host, announced only by the host itself.
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
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberPhase {
    /// Running without a configuration; owns nothing.
    #[default]
    Joining,
    /// Accepts requests.
    Serving,
    /// Finishes its requests in flight and accepts no new ones.
    Leaving,
    /// Stopped as planned.
    Left,
}

/// Health of a host as determined by the members of its zone.
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
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberHealth {
    /// Answers pings.
    #[default]
    Alive,
    /// Did not answer, directly or through relays; may still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
}

/// Name and location of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPlace {
    /// The host's name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Its peer interface.
    pub peer: SocketAddr,
    /// Thousandths of a processor core that it may use; 0 if not stated.
    pub capacity: u32,
}

/// The known state of one host, as spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The host.
    pub id: MemberId,
    /// Orders updates about the host.
    pub stamp: MemberStamp,
    /// What the host announced with this stamp.
    pub phase: MemberPhase,
    /// Health as determined by its zone.
    pub health: MemberHealth,
    /// Name and location; omitted once the host is dead or has left.
    pub place: Option<MemberPlace>,
}

/// The state that a host reports in each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The configuration revision in force; 0 when there is none.
    pub revision: ConfigRevision,
    /// A hash of the edit id of that revision.
    pub edit: u64,
    /// Milliseconds since the store, directly or through peers, last confirmed this revision as the
    /// newest; `u32::MAX` if never.
    pub confirmed_ms: u32,
    /// Whether the host accepts requests.
    pub ready: bool,
    /// A hash of the index versions that its targets hold, or the revision of the store that it
    /// has read.
    pub versions: u64,
    /// Number of restores of the store, for hosts whose `versions` is a revision of the store.
    pub era: u64,
    /// A hash of its confirmed quarantine records; 0 if there are none.
    pub quarantine: u64,
}

/// Identity and state of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderHeader {
    /// The sender.
    pub id: MemberId,
    /// Its stamp.
    pub stamp: MemberStamp,
    /// Its phase.
    pub phase: MemberPhase,
    /// Its digest.
    pub digest: MemberDigest,
    /// A hash of its member list. Hosts whose hashes differ compare their lists.
    pub fingerprint: u64,
}

/// When the sender, or a member of its zone, last received anything from a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAge {
    /// A hash of the zone's name.
    pub zone: u32,
    /// Age in milliseconds.
    pub age_ms: u16,
}

/// Bucket numbers of the sender's zone.
pub type BucketList = SmallVec<[u16; 16]>;

/// Messages between the owners of one zone while groups change owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The sender now owns these buckets and asks the former owner to release them.
    Request(BucketList),
    /// The sender received a request and uses at most half of the slots of these buckets.
    Acknowledged(BucketList),
    /// The sender no longer uses any slot of these buckets.
    Released(BucketList),
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetBody {
    /// Asks for an [`Ack`](FleetBody::Ack) with the same number.
    Ping {
        /// Unique within the sender's recent pings.
        number: u32,
    },
    /// Answers a ping, or a ping request once its target has answered.
    Ack {
        /// Echo of the ping's number.
        number: u32,
        /// The sender does not know the pinger's place and asks for it.
        unknown: bool,
    },
    /// Asks the receiver to ping `target` and to relay the ack.
    PingRequest {
        /// The number for the ack.
        number: u32,
        /// The host to ping.
        target: MemberId,
        /// Its address.
        peer: SocketAddr,
    },
    /// Carries only the header and updates.
    Gossip,
    /// Requests the page of the member list after this id.
    SyncRequest {
        /// The last id that the requester has; 0 for the first page.
        after: u64,
    },
    /// The requested page, as updates.
    SyncPage {
        /// Where the next page begins; absent on the last page.
        next: Option<u64>,
    },
    /// A message between owners of one zone.
    Handover(HandoverMessage),
    /// An opaque message of another subsystem.
    Payload(Vec<u8>),
}

/// A datagram without its updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMessage {
    /// [`MESSAGE_FORMAT`].
    pub format: u8,
    /// A hash of the fleet's name, which keeps fleets separate.
    pub fleet: u32,
    /// Identity and state of the sender.
    pub sender: SenderHeader,
    /// The purpose.
    pub body: FleetBody,
    /// When anything was last received from some of the zones. Sent only within the sender's zone.
    pub zones: SmallVec<[ZoneAge; 4]>,
}

quick_error! {
    /// Why a datagram was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Longer than [`DATAGRAM_LIMIT`].
        TooLong(len: usize) {
            display("datagram of {} bytes is longer than {}", len, DATAGRAM_LIMIT)
        }
        /// Not a message, or a truncated one.
        Malformed(cause: postcard::Error) {
            display("datagram is not a fleet message: {}", cause)
            from()
        }
        /// A later or earlier format.
        OtherFormat(format: u8) {
            display("datagram has format {}, expected {}", format, MESSAGE_FORMAT)
        }
        /// From a daemon of another fleet.
        OtherFleet(fleet: u32) {
            display("datagram is of another fleet ({:08x})", fleet)
        }
        /// A host or zone name is longer than [`NAME_LIMIT`], or does not hash to its id.
        BadName {
            display("datagram contains an invalid host or zone name")
        }
    }
}

/// Decodes a datagram into the message and its updates.
///
/// # Errors
///
/// Every [`Error`] but [`Error::OtherFleet`], which the caller checks.
pub fn decode(bytes: &[u8]) -> Result<(FleetMessage, Vec<MemberUpdate>), Error> {
    if bytes.len() > DATAGRAM_LIMIT {
        return Err(Error::TooLong(bytes.len()));
    }
    let (message, mut remaining) = postcard::take_from_bytes::<FleetMessage>(bytes)?;
    if message.format != MESSAGE_FORMAT {
        return Err(Error::OtherFormat(message.format));
    }
    let mut updates = Vec::new();
    while !remaining.is_empty() {
        let (update, after) = postcard::take_from_bytes::<MemberUpdate>(remaining)?;
        check_names(&update)?;
        updates.push(update);
        remaining = after;
    }
    Ok((message, updates))
}

fn check_names(update: &MemberUpdate) -> Result<(), Error> {
    let Some(place) = &update.place else { return Ok(()) };
    let fits = place.host.len() <= NAME_LIMIT && place.zone.len() <= NAME_LIMIT;
    if fits && MemberId::of(&place.host) == update.id { Ok(()) } else { Err(Error::BadName) }
}

/// Writes a datagram incrementally, up to a size limit.
pub struct DatagramWriter {
    bytes: Vec<u8>,
}

impl DatagramWriter {
    /// A datagram that holds the message and no updates yet.
    pub fn new(message: &FleetMessage) -> Self {
        let bytes = postcard::to_stdvec(message).expect("plain data always encodes into memory");
        Self { bytes }
    }

    /// Adds the update if the datagram then stays within `limit` bytes.
    pub fn push(&mut self, update: &MemberUpdate, limit: usize) -> bool {
        let encoded = postcard::to_stdvec(update).expect("plain data always encodes into memory");
        let fits = self.bytes.len() + encoded.len() <= limit.min(DATAGRAM_LIMIT);
        if fits {
            self.bytes.extend_from_slice(&encoded);
        }
        fits
    }

    /// Size so far in bytes.
    #[expect(clippy::len_without_is_empty, reason = "a datagram always holds a message")]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The bytes to send.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}
