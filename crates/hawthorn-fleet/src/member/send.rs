//! Sends datagrams, each with the header and the updates that fit.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use hawthorn_types::HostKey;
use hawthorn_types::ZoneKey;

use super::MemberRecord;
use super::MemberTable;
use crate::action::FleetAction;
use crate::message::DATAGRAM_LIMIT;
use crate::message::DatagramWriter;
use crate::message::FleetBody;
use crate::message::FleetMessage;
use crate::message::MESSAGE_FORMAT;
use crate::message::MemberId;
use crate::message::MemberPhase;
use crate::message::MemberUpdate;

/// Updates considered for one datagram; more never fit into its share of bytes.
const MAX_UPDATES_TRIED: usize = 24;

impl MemberTable {
    /// Sends `body` with the updates in `priority_updates` first, then queued ones that fit.
    pub(super) fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        body: FleetBody,
        priority_updates: &[MemberUpdate],
    ) {
        let mut writer = DatagramWriter::new(&self.message(now, to, body));
        for update in priority_updates {
            writer.push(update, DATAGRAM_LIMIT);
        }
        self.add_updates(&mut writer, priority_updates);
        self.send_bytes(to, writer.finish());
    }

    /// Moves this host to a phase and notifies a few members immediately.
    pub(super) fn announce(&mut self, now: Duration, phase: MemberPhase) {
        self.arena.update(self.me, |record| {
            record.phase = phase;
            record.stamp.sequence += 1;
            record.changed_at = now;
        });
        self.gossip.push(self.my_id);
        self.view_changed = true;
        self.push_update(now);
        self.push_to_other_zones(now);
    }

    /// Pushes this host's record to one member of each other zone: gossip crosses zones at most
    /// once a second, and a phase change must be known sooner.
    fn push_to_other_zones(&mut self, now: Duration) {
        let own = self.own_update();
        for zone in self.other_zones() {
            let picked = self.pick(1, |record| record.zone == zone);
            let peer = picked.first().and_then(|&key| self.arena.get(key));
            let Some(peer) = peer.map(|record| record.place.peer) else { continue };
            self.send(now, peer, FleetBody::Gossip, std::slice::from_ref(&own));
        }
    }

    /// Pushes this host's record to a few members of this daemon's zone and one of another.
    pub(super) fn push_update(&mut self, now: Duration) {
        let own = self.own_update();
        let zone = self.my_zone;
        let mut peers = self.pick(self.options.push_fanout, |record| record.zone == zone);
        peers.extend(self.pick(1, |record| record.zone != zone));
        for key in peers {
            let Some(peer) = self.arena.get(key).map(|record| record.place.peer) else { continue };
            self.send(now, peer, FleetBody::Gossip, std::slice::from_ref(&own));
        }
    }

    pub(super) fn other_zones(&self) -> impl Iterator<Item = ZoneKey> + use<> {
        let own = self.my_zone;
        self.zones.keys().filter(move |&zone| zone != own)
    }

    /// This host's record with its place.
    pub(super) fn own_update(&self) -> MemberUpdate {
        let record = self.record_of_self();
        MemberUpdate { place: Some(record.place.clone()), ..record.to_update() }
    }

    /// Up to `count` random live members that satisfy `accepts`.
    pub(super) fn pick(
        &mut self,
        count: usize,
        accepts: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<HostKey> {
        let mut keys: Vec<HostKey> = self
            .arena
            .iter()
            .filter(|record| record.key != self.me && record.is_live())
            .filter(|record| accepts(record))
            .map(|record| record.key)
            .collect();
        let mut picked = Vec::with_capacity(count);
        while picked.len() < count && !keys.is_empty() {
            let index = self.rng.random_range(0..keys.len());
            picked.push(keys.swap_remove(index));
        }
        picked
    }

    pub(super) fn message(&self, now: Duration, to: SocketAddr, body: FleetBody) -> FleetMessage {
        let same_zone = self.arena.by_peer(to).is_some_and(|record| record.zone == self.my_zone);
        FleetMessage {
            format: MESSAGE_FORMAT,
            fleet: self.options.fleet,
            sender: self.header(now),
            body,
            zones: if same_zone {
                self.zones.ages(now, self.counters.sent)
            } else {
                Default::default()
            },
        }
    }

    fn add_updates(&mut self, writer: &mut DatagramWriter, priority_updates: &[MemberUpdate]) {
        let limit = writer.len() + self.options.gossip_bytes;
        let members = u32::try_from(self.arena.len()).unwrap_or(u32::MAX);
        let transmissions = members.max(1).ilog2() + 1 + self.options.extra_transmissions;
        for id in self.gossip.least_sent(MAX_UPDATES_TRIED) {
            if priority_updates.iter().any(|update| update.id == id) {
                continue;
            }
            let Some(update) = self.update_for(id) else {
                self.gossip.remove(id);
                continue;
            };
            if !writer.push(&update, limit) {
                break;
            }
            self.gossip.mark_sent(id, transmissions);
        }
    }

    fn update_for(&self, id: MemberId) -> Option<MemberUpdate> {
        self.arena.by_id(id).filter(|record| !record.local_only).map(MemberRecord::to_update)
    }

    pub(super) fn send_bytes(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push_back(FleetAction::Send { to, bytes });
    }
}
