//! Taking in a datagram.

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

/// The most pings for others kept waiting; more are not worth passing on late.
const RELAY_LIMIT: usize = 256;

impl MemberTable {
    /// Takes in a datagram. An error changes nothing but the counters.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> Result<(), Error> {
        self.note_time(now);
        let (message, rumors) = match self.read(bytes) {
            Ok(read) => read,
            Err(error) => {
                self.counters.rejected += 1;
                return Err(error);
            }
        };
        self.counters.received += 1;
        if message.sender.id == self.my_id {
            self.meet_twin(now, from, &message.sender);
            return Ok(());
        }
        self.note_heard(now);
        let news = if matches!(message.body, FleetBody::SyncPage { .. }) {
            self.apply_page(now, from, rumors)
        } else {
            rumors.into_iter().map(|rumor| self.apply(now, rumor)).filter(|&news| news).count()
        };
        let sender = self.apply_header(now, &message.sender);
        if let Some(key) = sender {
            self.note_sender(now, from, key, &message);
        }
        self.answer(now, from, sender, message, news);
        Ok(())
    }

    fn read(&self, bytes: &[u8]) -> Result<(FleetMessage, Vec<MemberUpdate>), Error> {
        let (message, rumors) = message::decode(bytes)?;
        if message.fleet != self.options.fleet {
            return Err(Error::OtherFleet(message.fleet));
        }
        Ok((message, rumors))
    }

    /// Another process says it is this host.
    fn meet_twin(&mut self, now: Duration, from: SocketAddr, sender: &SenderHeader) {
        let mut place = self.record_of_self().place.clone();
        place.peer = from;
        let rumor = MemberUpdate {
            id: sender.id,
            stamp: sender.stamp,
            phase: sender.phase,
            health: MemberHealth::Alive,
            place: Some(place),
        };
        self.apply(now, rumor);
    }

    /// Hearing anyone after hearing nobody: what was suspected meanwhile gets
    /// its full time again, as the fault was on this side, and what was held
    /// for dead is looked at once more before anybody is told.
    fn note_heard(&mut self, now: Duration) {
        if self.is_isolated(now) {
            self.restart_suspicions(now);
            self.review_private(now);
        }
        self.last_heard = now;
    }

    fn note_sender(
        &mut self,
        now: Duration,
        from: SocketAddr,
        key: HostKey,
        message: &FleetMessage,
    ) {
        let Some(record) = self.arena.get(key) else { return };
        let zone = record.zone;
        self.zones.hear(now, zone);
        if zone == self.my_zone {
            self.zones.hear_ages(now, &message.zones);
        }
        if message.sender.fingerprint != self.arena.fingerprint() {
            self.repair_peer = Some(from);
        }
        self.actions
            .push_back(FleetAction::DigestReceived { peer: key, digest: message.sender.digest });
    }

    fn answer(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sender: Option<HostKey>,
        message: FleetMessage,
        news: usize,
    ) {
        let front = self.doubts_of(&message.sender);
        match message.body {
            FleetBody::Ping { number } => {
                let unknown = sender.is_none();
                self.send(now, from, FleetBody::Ack { number, unknown }, &front);
            }
            FleetBody::Ack { number, unknown } => {
                self.take_ack(now, from, message.sender.id, number);
                if unknown {
                    let own = self.own_rumor();
                    self.send(now, from, FleetBody::Gossip, &[own]);
                }
            }
            FleetBody::PingRequest { number, target, peer } => {
                self.pass_ping(now, from, number, target, peer);
            }
            FleetBody::Gossip if !front.is_empty() => {
                self.send(now, from, FleetBody::Gossip, &front);
            }
            FleetBody::Gossip => {}
            FleetBody::SyncRequest { after } => self.send_page(now, from, after),
            FleetBody::SyncPage { next } => self.take_page(now, from, next, news),
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

    /// What the sender should know is said of it, so that it can refute.
    fn doubts_of(&self, sender: &SenderHeader) -> SmallVec<[MemberUpdate; 1]> {
        let record = self.arena.by_id(sender.id).filter(|record| {
            !record.private
                && record.stamp >= sender.stamp
                && (record.stamp > sender.stamp || record.health != MemberHealth::Alive)
        });
        record
            .map(|record| MemberUpdate { place: Some(record.place.clone()), ..record.rumor() })
            .into_iter()
            .collect()
    }

    /// A ping was answered, by the host it was meant for or by one that passed it on.
    ///
    /// Failure: a host goes, another has its address and answers the pings meant
    /// for the first, which stays live for ever.
    fn take_ack(&mut self, now: Duration, from: SocketAddr, sender: MemberId, number: u32) {
        if let Some(index) = self.probes.iter().position(|probe| probe.number == number) {
            let probe = &self.probes[index];
            let meant = self.arena.get(probe.key).map(|record| record.id);
            if from != probe.peer || meant.is_none_or(|id| id == sender) {
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

    /// Pings for another. If the target is known to be gone, the asker is told
    /// so at once: this is how other zones learn of a death they missed.
    fn pass_ping(
        &mut self,
        now: Duration,
        origin: SocketAddr,
        origin_number: u32,
        target: MemberId,
        peer: SocketAddr,
    ) {
        let gone = self
            .arena
            .by_id(target)
            .filter(|record| !record.is_live() && !record.private)
            .filter(|record| record.zone == self.my_zone);
        if let Some(record) = gone {
            let rumor = record.rumor();
            return self.send(now, origin, FleetBody::Gossip, &[rumor]);
        }
        if self.relays.len() >= RELAY_LIMIT {
            return;
        }
        // Tells the asker that it can still hear: see `MemberTable::is_isolated`.
        self.send(now, origin, FleetBody::Gossip, &[]);
        let number = self.take_number();
        let expires = now + self.options.probe_timeout;
        self.relays.push(Relay { number, target, origin, origin_number, expires });
        let front: SmallVec<[MemberUpdate; 1]> = self
            .arena
            .by_id(target)
            .filter(|record| record.health != MemberHealth::Alive && !record.private)
            .map(super::MemberRecord::rumor)
            .into_iter()
            .collect();
        self.send(now, peer, FleetBody::Ping { number }, &front);
    }
}
