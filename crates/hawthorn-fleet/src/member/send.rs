//! Sending: every datagram carries the header and the rumors that fit.

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

/// Rumors looked at for one datagram; more never fit in its part for rumors.
const RUMORS_TRIED: usize = 24;

impl MemberTable {
    /// Sends `body`, first the rumors in `front`, then others that fit.
    pub(super) fn send(
        &mut self,
        now: Duration,
        to: SocketAddr,
        body: FleetBody,
        front: &[MemberUpdate],
    ) {
        let mut writer = DatagramWriter::new(&self.message(now, to, body));
        for rumor in front {
            writer.push(rumor, DATAGRAM_LIMIT);
        }
        self.add_rumors(&mut writer, front);
        self.send_bytes(to, writer.finish());
    }

    /// Moves this host to a phase and tells a few members at once.
    pub(super) fn announce(&mut self, now: Duration, phase: MemberPhase) {
        self.arena.update(self.me, |record| {
            record.phase = phase;
            record.stamp.sequence += 1;
            record.changed_at = now;
        });
        self.rumors.push(self.my_id);
        self.view_changed = true;
        self.push_notice(now);
        self.notice_zones(now);
    }

    /// Sends a notice to one member of each other zone: rumors cross between
    /// zones once a second at most, and a phase is worth knowing sooner.
    fn notice_zones(&mut self, now: Duration) {
        let own = self.own_rumor();
        for zone in self.other_zones() {
            let picked = self.pick(1, |record| record.zone == zone);
            let peer = picked.first().and_then(|&key| self.arena.get(key));
            let Some(peer) = peer.map(|record| record.place.peer) else { continue };
            self.send(now, peer, FleetBody::Gossip, std::slice::from_ref(&own));
        }
    }

    /// Sends a notice to a few members of the own zone and one of another.
    pub(super) fn push_notice(&mut self, now: Duration) {
        let own = self.own_rumor();
        let zone = self.my_zone;
        let mut peers = self.pick(self.options.push_fanout, |record| record.zone == zone);
        peers.extend(self.pick(1, |record| record.zone != zone));
        for key in peers {
            let Some(peer) = self.arena.get(key).map(|record| record.place.peer) else { continue };
            self.send(now, peer, FleetBody::Gossip, std::slice::from_ref(&own));
        }
    }

    /// All zones but the own one.
    pub(super) fn other_zones(&self) -> impl Iterator<Item = ZoneKey> + use<> {
        let own = self.my_zone;
        self.zones.keys().filter(move |&zone| zone != own)
    }

    /// This host's whole record.
    pub(super) fn own_rumor(&self) -> MemberUpdate {
        let record = self.record_of_self();
        MemberUpdate { place: Some(record.place.clone()), ..record.rumor() }
    }

    /// Up to `count` live members, at random, among those that `fits` allows.
    pub(super) fn pick(
        &mut self,
        count: usize,
        fits: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<HostKey> {
        let mut keys: Vec<HostKey> = self
            .arena
            .iter()
            .filter(|record| record.key != self.me && record.is_live())
            .filter(|record| fits(record))
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
        let near = self.arena.by_peer(to).is_some_and(|record| record.zone == self.my_zone);
        FleetMessage {
            format: MESSAGE_FORMAT,
            fleet: self.options.fleet,
            sender: self.header(now),
            body,
            zones: if near { self.zones.ages(now, self.counters.sent) } else { Default::default() },
        }
    }

    fn add_rumors(&mut self, writer: &mut DatagramWriter, front: &[MemberUpdate]) {
        let limit = writer.len() + self.options.gossip_bytes;
        let members = u32::try_from(self.arena.len()).unwrap_or(u32::MAX);
        let times = members.max(1).ilog2() + 1 + self.options.extra_transmissions;
        for id in self.rumors.first(RUMORS_TRIED) {
            if front.iter().any(|rumor| rumor.id == id) {
                continue;
            }
            let Some(rumor) = self.rumor_of(id) else {
                self.rumors.remove(id);
                continue;
            };
            if !writer.push(&rumor, limit) {
                break;
            }
            self.rumors.mark_sent(id, times);
        }
    }

    fn rumor_of(&self, id: MemberId) -> Option<MemberUpdate> {
        self.arena.by_id(id).filter(|record| !record.private).map(MemberRecord::rumor)
    }

    pub(super) fn send_bytes(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push_back(FleetAction::Send { to, bytes });
    }
}
