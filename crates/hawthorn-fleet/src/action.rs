//! Actions and events for the daemon, polled from [`MemberTable`](crate::MemberTable).

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_types::HostKey;

use crate::message::HandoverMessage;
use crate::message::MemberDigest;
use crate::message::MemberId;

/// An action to execute, or an event, in the order of occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Send these bytes as one datagram, without a delivery guarantee.
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
    /// A member finishes its requests in flight and accepts no new ones.
    MemberLeaving(HostKey),
    /// The record was removed; its key is no longer valid and may be reused for another host.
    MemberRemoved(HostKey),
    /// Nothing was received from any member of the zone within the zone timeout.
    ZoneLost(String),
    /// The zone is new, or reachable again.
    ZoneFound(String),
    /// A peer's heartbeat carried this digest. Pass it to
    /// [`PropagationState::receive_digest`](crate::PropagationState::receive_digest).
    DigestReceived {
        /// The peer.
        peer: HostKey,
        /// Its digest, with `confirmed_ms` as of now.
        digest: MemberDigest,
    },
    /// Pass it to [`Handover::receive`](crate::handover::Handover::receive).
    HandoverReceived {
        /// The peer.
        peer: MemberId,
        /// The message.
        message: HandoverMessage,
    },
    /// A member sent a [`Payload`](crate::message::FleetBody::Payload).
    PayloadReceived {
        /// The member's address.
        from: SocketAddr,
        /// The payload.
        payload: Vec<u8>,
    },
    /// This process was paused for this long: leases may have expired and other hosts may have
    /// taken over. Call [`Handover::reacquire`](crate::handover::Handover::reacquire).
    ProcessPaused(Duration),
    /// A peer considered this host dead, and others may have taken over. The host has refuted it.
    /// Call [`Handover::reacquire`](crate::handover::Handover::reacquire).
    DeathRefuted,
    /// Another live process with this host's name and a later incarnation runs at this address:
    /// stop this one.
    Superseded(SocketAddr),
    /// The full member list has been read from a peer once since the start.
    Synced,
    /// Members, phases or reachable zones changed, so ownership must be recomputed. Emitted once
    /// for each poll that found changes.
    ViewChanged(u64),
}
