//! What the daemon must do or know, polled from [`MemberTable`](crate::MemberTable).

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_types::HostKey;

use crate::message::HandoverMessage;
use crate::message::MemberDigest;
use crate::message::MemberId;

/// One thing to do, or one change worth knowing, in the order it came about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Send these bytes as one datagram. It may be lost.
    Send {
        /// The peer's UDP address.
        to: SocketAddr,
        /// The datagram, at most [`DATAGRAM_LIMIT`](crate::message::DATAGRAM_LIMIT) bytes.
        bytes: Vec<u8>,
    },
    /// A member is new, came back, or restarted with a higher incarnation.
    MemberUp(HostKey),
    /// A member is dead or has left.
    MemberDown(HostKey),
    /// A member finishes what it has and takes nothing new.
    MemberLeaving(HostKey),
    /// The key is no longer valid and may be given to another host later.
    MemberRemoved(HostKey),
    /// Nothing has been heard from any member of the zone for the zone timeout.
    ZoneLost(String),
    /// A lost zone, or a new one, was heard from.
    ZoneFound(String),
    /// A peer's heartbeat carried this digest. Hand it to [`PropagationState::receive_digest`](crate::PropagationState::receive_digest).
    DigestReceived {
        /// The peer.
        peer: HostKey,
        /// Its digest, with `confirmed_ms` as of now.
        digest: MemberDigest,
    },
    /// Hand it to [`Handover::receive`](crate::handover::Handover::receive).
    HandoverReceived {
        /// The peer.
        peer: MemberId,
        /// What it says.
        message: HandoverMessage,
    },
    /// A member sent a [`Payload`](crate::message::FleetBody::Payload).
    PayloadReceived {
        /// The member's address.
        from: SocketAddr,
        /// What it sent.
        payload: Vec<u8>,
    },
    /// This process itself stood still for so long: leases may have lapsed and
    /// others may have taken over. Hand it to [`Handover::reacquire`](crate::handover::Handover::reacquire).
    ProcessPaused(Duration),
    /// A peer held this host for dead, and others may have taken over; it has
    /// been refuted. Hand it to [`Handover::reacquire`](crate::handover::Handover::reacquire) too.
    DeathRefuted,
    /// Another live process with this host's name and a later incarnation runs
    /// at this address: stop this one.
    Superseded(SocketAddr),
    /// The whole member list has been read from a peer once since the start.
    Synced,
    /// Members, phases or reachable zones changed; ownership is worth
    /// computing again. Comes once for each poll that saw changes.
    ViewChanged(u64),
}
