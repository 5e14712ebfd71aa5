//! Datagrams between daemons, in the postcard format.
//!
//! A datagram is a [`FleetMessage`] followed by as many [`MemberUpdate`]s as
//! fit. Sent by any daemon to any other over UDP; may be lost, doubled or
//! reordered. One postcard value after the other, so that a sender can stop at
//! the byte limit and a reader at the end.

use std::net::SocketAddr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use hawthorn_types::ConfigRevision;

/// The most bytes in one datagram: below the 1,500 of an Ethernet frame less
/// headers, as a fragmented datagram is lost when any fragment is.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// The maximum size of a [`Payload`](FleetBody::Payload) in bytes, which leaves room for the
/// header and zones in a datagram.
pub const PAYLOAD_LIMIT: usize = 1_150;

/// The longest host or zone name, in bytes, so that one record always fits.
pub const NAME_LIMIT: usize = 64;

/// The version of datagrams and of calls between hosts; others are refused, so
/// that hosts of two formats are no peers of each other.
pub const MESSAGE_FORMAT: u8 = 4;

/// Names a host everywhere: a hash of the host's name.
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

/// Orders what is said of one host: the later stamp wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MemberStamp {
    /// When the process started, Unix milliseconds. A restart is greater.
    pub incarnation: u64,
    /// Raised by the host itself, and by nobody else, with each announcement
    /// and to refute a suspicion.
    pub sequence: u32,
}

/// How far the host is in its life, announced by itself alone.
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
    /// Runs, but has no configuration yet: owns nothing.
    #[default]
    Joining,
    /// Takes work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Has stopped by plan.
    Left,
}

/// What its zone's members hold of the host.
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
    /// Answers.
    #[default]
    Alive,
    /// Did not answer, directly or through others; may still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
}

/// Where a host is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPlace {
    /// The host's name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Its peer interface.
    pub peer: SocketAddr,
    /// Thousandths of a processor core that it may use; 0 where it does not say.
    pub capacity: u32,
}

/// What is said of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The host.
    pub id: MemberId,
    /// Orders rumors of the host.
    pub stamp: MemberStamp,
    /// What the host announced with this stamp.
    pub phase: MemberPhase,
    /// What its zone holds of it.
    pub health: MemberHealth,
    /// Where it is; left out when it is dead or has left.
    pub place: Option<MemberPlace>,
}

/// What a host says of itself in each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The configuration revision in force; 0 when there is none.
    pub revision: ConfigRevision,
    /// A hash of the edit id of that revision.
    pub edit: u64,
    /// Milliseconds since the store, perhaps through peers, last confirmed
    /// this revision as the newest; `u32::MAX` when it never did.
    pub confirmed_ms: u32,
    /// Whether the host takes work.
    pub ready: bool,
    /// A hash of the index versions that its targets hold.
    pub versions: u64,
    /// A hash of its confirmed quarantine records; 0 if there are none.
    pub quarantine: u64,
}

/// Says who sends.
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
    /// A hash of its member list; lists that differ are compared.
    pub fingerprint: u64,
}

/// When the sender, or one it heard from, last heard from a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAge {
    /// A hash of the zone's name.
    pub zone: u32,
    /// Milliseconds ago.
    pub age_ms: u16,
}

/// Numbers of buckets of the sender's zone.
pub type BucketList = SmallVec<[u16; 16]>;

/// What owners of one zone tell each other while groups change hands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The sender now owns these buckets and asks the former owner to let go.
    Request(BucketList),
    /// The sender was asked, and uses at most half of the slots of these buckets.
    Acknowledged(BucketList),
    /// The sender no longer uses any slot of these buckets.
    Released(BucketList),
}

/// What the datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetBody {
    /// Asks for an [`Ack`](FleetBody::Ack) with the same number.
    Ping {
        /// Unique within the sender's recent pings.
        number: u32,
    },
    /// Answers a ping, or a ping request once its target answered.
    Ack {
        /// Echo of the ping's number.
        number: u32,
        /// The answerer lacks the pinger's place and asks for it.
        unknown: bool,
    },
    /// Asks the receiver to ping `target` and to pass the ack on.
    PingRequest {
        /// The number for the ack.
        number: u32,
        /// Whom to ping.
        target: MemberId,
        /// Its address.
        peer: SocketAddr,
    },
    /// Carries the header and rumors alone.
    Gossip,
    /// Asks for the part of the member list after this id.
    SyncRequest {
        /// The last id that the asker has; 0 to begin.
        after: u64,
    },
    /// The part asked for, as rumors.
    SyncPage {
        /// Where the next part begins; absent at the end.
        next: Option<u64>,
    },
    /// Between owners of one zone.
    Handover(HandoverMessage),
    /// An opaque message of another subsystem.
    Payload(Vec<u8>),
}

/// A datagram without its rumors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMessage {
    /// [`MESSAGE_FORMAT`].
    pub format: u8,
    /// A hash of the fleet's name: two fleets never mix.
    pub fleet: u32,
    /// Who sends.
    pub sender: SenderHeader,
    /// What for.
    pub body: FleetBody,
    /// Zones that the sender heard from; sent only within its own zone.
    pub zones: SmallVec<[ZoneAge; 4]>,
}

quick_error! {
    /// Why a datagram was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Longer than [`DATAGRAM_LIMIT`].
        TooLong(len: usize) {
            display("datagram of {} bytes is longer than {}", len, DATAGRAM_LIMIT)
        }
        /// Not a message, or one cut short.
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
            display("datagram names a host or zone wrongly")
        }
    }
}

/// Reads a datagram: the message and its rumors.
pub fn decode(bytes: &[u8]) -> Result<(FleetMessage, Vec<MemberUpdate>), Error> {
    if bytes.len() > DATAGRAM_LIMIT {
        return Err(Error::TooLong(bytes.len()));
    }
    let (message, mut rest) = postcard::take_from_bytes::<FleetMessage>(bytes)?;
    if message.format != MESSAGE_FORMAT {
        return Err(Error::OtherFormat(message.format));
    }
    let mut rumors = Vec::new();
    while !rest.is_empty() {
        let (rumor, left) = postcard::take_from_bytes::<MemberUpdate>(rest)?;
        check_names(&rumor)?;
        rumors.push(rumor);
        rest = left;
    }
    Ok((message, rumors))
}

fn check_names(rumor: &MemberUpdate) -> Result<(), Error> {
    let Some(place) = &rumor.place else { return Ok(()) };
    let fits = place.host.len() <= NAME_LIMIT && place.zone.len() <= NAME_LIMIT;
    if fits && MemberId::of(&place.host) == rumor.id { Ok(()) } else { Err(Error::BadName) }
}

/// Writes a datagram piece by piece, up to a limit.
pub struct DatagramWriter {
    bytes: Vec<u8>,
}

impl DatagramWriter {
    /// A datagram that holds the message and no rumors yet.
    pub fn new(message: &FleetMessage) -> Self {
        let bytes = postcard::to_stdvec(message).expect("plain data always encodes into memory");
        Self { bytes }
    }

    /// Adds the rumor if the datagram then stays within `limit` bytes.
    pub fn push(&mut self, rumor: &MemberUpdate, limit: usize) -> bool {
        let encoded = postcard::to_stdvec(rumor).expect("plain data always encodes into memory");
        let fits = self.bytes.len() + encoded.len() <= limit.min(DATAGRAM_LIMIT);
        if fits {
            self.bytes.extend_from_slice(&encoded);
        }
        fits
    }

    /// Bytes so far.
    #[expect(clippy::len_without_is_empty, reason = "a datagram always holds a message")]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The bytes to send.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}
