//! Handles received datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use hawthorn_types::HostKey;

use super::MemberTable;
use super::probe::Relay;
use crate::action::FleetAction;
use crate::message;
use crate::message::Error;
use crate::message::FleetBody;
use crate::message::FleetMessage;
use crate::message::MemberHealth;
use crate::message::MemberId;
use crate::message::MemberUpdate;
use crate::message::SenderHeader;

/// Maximum number of pending relayed pings. Beyond it, a ping would be relayed too late.
const MAX_RELAYS: usize = 256;

impl MemberTable {
    /// Handles a datagram. On an error, only the counters change.
    ///
    /// # Errors
    ///
    /// The datagram is malformed or of another format, has an invalid name, or is of another fleet.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> Result<(), Error> {
        self.detect_pause(now);
        let (message, updates) = match self.decode(bytes) {
            Ok(decoded) => decoded,
            Err(error) => {
                self.counters.rejected += 1;
                return Err(error);
            }
        };
        self.counters.received += 1;
        if message.sender.id == self.my_id {
            self.handle_duplicate_host(now, from, &message.sender);
            return Ok(());
        }
        self.record_receipt(now);
        let changes = if matches!(message.body, FleetBody::SyncPage { .. }) {
            self.apply_page(now, from, updates)
        } else {
            updates
                .into_iter()
                .map(|update| self.apply(now, update))
                .filter(|&changed| changed)
                .count()
        };
        let sender = self.apply_header(now, &message.sender);
        if let Some(key) = sender {
            self.record_sender(now, from, key, &message);
        }
        self.respond(now, from, sender, message, changes);
        Ok(())
    }

    fn decode(&self, bytes: &[u8]) -> Result<(FleetMessage, Vec<MemberUpdate>), Error> {
        let (message, updates) = message::decode(bytes)?;
        if message.fleet != self.options.fleet {
            return Err(Error::OtherFleet(message.fleet));
        }
        Ok((message, updates))
    }

    /// Handles a datagram from another process with this host's name.
    fn handle_duplicate_host(&mut self, now: Duration, from: SocketAddr, sender: &SenderHeader) {
        let mut place = self.record_of_self().place.clone();
        place.peer = from;
        let update = MemberUpdate {
            id: sender.id,
            stamp: sender.stamp,
            phase: sender.phase,
            health: MemberHealth::Alive,
            place: Some(place),
        };
        self.apply(now, update);
    }

    /// Records that something was received. At the end of an isolation, suspects get their full
    /// timeout again, because the fault was on this side, and members considered dead are checked
    /// once more before the verdict is gossiped.
    fn record_receipt(&mut self, now: Duration) {
        if self.is_isolated(now) {
            self.restart_suspicions(now);
            self.recheck_local_only(now);
        }
        self.last_received = now;
    }

    fn record_sender(
        &mut self,
        now: Duration,
        from: SocketAddr,
        key: HostKey,
        message: &FleetMessage,
    ) {
        let Some(record) = self.arena.get(key) else { return };
        let zone = record.zone;
        self.zones.record_contact(now, zone);
        if zone == self.my_zone {
            self.zones.merge_ages(now, &message.zones);
        }
        if message.sender.fingerprint != self.arena.fingerprint() {
            self.repair_peer = Some(from);
        }
        self.actions
            .push_back(FleetAction::DigestReceived { peer: key, digest: message.sender.digest });
    }

    fn respond(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sender: Option<HostKey>,
        message: FleetMessage,
        changes: usize,
    ) {
        let priority_updates = self.refutable_update(&message.sender);
        match message.body {
            FleetBody::Ping { number } => {
                let unknown = sender.is_none();
                self.send(now, from, FleetBody::Ack { number, unknown }, &priority_updates);
            }
            FleetBody::Ack { number, unknown } => {
                self.handle_ack(now, from, message.sender.id, number);
                if unknown {
                    let own = self.own_update();
                    self.send(now, from, FleetBody::Gossip, &[own]);
                }
            }
            FleetBody::PingRequest { number, target, peer } => {
                self.relay_ping(now, from, number, target, peer);
            }
            FleetBody::Gossip if !priority_updates.is_empty() => {
                self.send(now, from, FleetBody::Gossip, &priority_updates);
            }
            FleetBody::Gossip => {}
            FleetBody::SyncRequest { after } => self.send_page(now, from, after),
            FleetBody::SyncPage { next } => self.handle_page(now, from, next, changes),
            FleetBody::Payload(payload) => {
                // Payloads from hosts that are not members are ignored.
                if sender.is_some() {
                    self.actions.push_back(FleetAction::PayloadReceived { from, payload });
                }
            }
            FleetBody::Handover(message) => {
                let Some(peer) = sender.and_then(|key| self.arena.get(key)) else { return };
                let peer = peer.id;
                self.actions.push_back(FleetAction::HandoverReceived { peer, message });
            }
        }
    }

    /// The update that the sender must refute or catch up with, if any.
    fn refutable_update(&self, sender: &SenderHeader) -> SmallVec<[MemberUpdate; 1]> {
        let record = self.arena.by_id(sender.id).filter(|record| {
            !record.local_only
                && record.stamp >= sender.stamp
                && (record.stamp > sender.stamp || record.health != MemberHealth::Alive)
        });
        record
            .map(|record| MemberUpdate { place: Some(record.place.clone()), ..record.to_update() })
            .into_iter()
            .collect()
    }

    /// Handles the answer to a ping, from its target or from a relay.
    ///
    /// An answer from the target's address counts only if the sender is the expected member: if a
    /// host goes away and another one gets its address and answers its pings, the first would
    /// otherwise stay live forever.
    fn handle_ack(&mut self, now: Duration, from: SocketAddr, sender: MemberId, number: u32) {
        if let Some(index) = self.probes.iter().position(|probe| probe.number == number) {
            let probe = &self.probes[index];
            let expected = self.arena.get(probe.key).map(|record| record.id);
            if from != probe.peer || expected.is_none_or(|id| id == sender) {
                self.probes.remove(index);
            }
        }
        if let Some(index) = self.relays.iter().position(|relay| relay.number == number)
            && self.relays[index].target == sender
        {
            let relay = self.relays.swap_remove(index);
            let ack = FleetBody::Ack { number: relay.origin_number, unknown: false };
            self.send(now, relay.origin, ack, &[]);
        }
    }

    /// Pings on behalf of another member. If the target is known to be gone, the requester is
    /// informed immediately: this is how other zones learn of a death that they missed.
    fn relay_ping(
        &mut self,
        now: Duration,
        origin: SocketAddr,
        origin_number: u32,
        target: MemberId,
        peer: SocketAddr,
    ) {
        let known_gone = self
            .arena
            .by_id(target)
            .filter(|record| !record.is_live() && !record.local_only)
            .filter(|record| record.zone == self.my_zone);
        if let Some(record) = known_gone {
            let update = record.to_update();
            return self.send(now, origin, FleetBody::Gossip, &[update]);
        }
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        // Shows the requester that it still receives: see `MemberTable::is_isolated`.
        self.send(now, origin, FleetBody::Gossip, &[]);
        let number = self.allocate_number();
        let expires = now + self.options.probe_timeout;
        self.relays.push(Relay { number, target, origin, origin_number, expires });
        let priority_updates: SmallVec<[MemberUpdate; 1]> = self
            .arena
            .by_id(target)
            .filter(|record| record.health != MemberHealth::Alive && !record.local_only)
            .map(super::MemberRecord::to_update)
            .into_iter()
            .collect();
        self.send(now, peer, FleetBody::Ping { number }, &priority_updates);
    }
}
