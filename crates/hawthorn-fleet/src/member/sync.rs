//! Reading and comparing member lists, part by part.

use std::net::SocketAddr;
use std::time::Duration;

use super::MemberRecord;
use super::MemberTable;
use crate::action::FleetAction;
use crate::message::DATAGRAM_LIMIT;
use crate::message::DatagramWriter;
use crate::message::FleetBody;
use crate::message::MemberHealth;
use crate::message::MemberUpdate;

/// A part of a member list that was asked for and did not come is asked for
/// again, of another peer, after this time.
const SYNC_RETRY: Duration = Duration::from_millis(500);

/// Addresses tried at once while no other member is known.
const HINTS_AT_START: usize = 3;

/// Between rounds of tries while no other member is known.
const START_RETRY: Duration = Duration::from_millis(500);

/// And for the first while after the start, in which all hosts of a fleet may start.
const FIRST_RETRY: Duration = Duration::from_millis(100);
const FIRST_WHILE: Duration = Duration::from_secs(2);

/// A part of a peer's list with so much news is worth the next part at once.
const REPAIR_NEWS: usize = 1;

/// A sync of the whole list from one peer.
#[derive(Debug)]
pub(super) struct SyncProgress {
    pub(super) peer: SocketAddr,
    pub(super) after: u64,
    pub(super) asked: Duration,
}

impl MemberTable {
    fn start_retry(&self, now: Duration) -> Duration {
        let running = now.saturating_sub(self.started);
        if running < FIRST_WHILE { FIRST_RETRY } else { START_RETRY }
    }

    /// Asks hinted addresses without a live member behind them for their list.
    pub(super) fn try_hints(&mut self, now: Duration) {
        let alone = !self.arena.iter().any(|record| record.key != self.me && record.is_live());
        let (count, wait) = if alone {
            (HINTS_AT_START, self.start_retry(now))
        } else {
            (1, self.options.rejoin_interval)
        };
        self.due.hint = now + wait;
        let here = self.record_of_self().place.peer;
        let open: Vec<SocketAddr> = self
            .settings_hints
            .union(&self.platform_hints)
            .copied()
            .filter(|&peer| peer != here)
            .filter(|&peer| !self.arena.by_peer(peer).is_some_and(MemberRecord::is_live))
            .collect();
        let own = self.own_rumor();
        for _ in 0..count.min(open.len()) {
            self.hint_next = (self.hint_next + 1) % open.len();
            let peer = open[self.hint_next];
            self.send(now, peer, FleetBody::SyncRequest { after: 0 }, std::slice::from_ref(&own));
        }
    }

    /// Asks a peer whose list differs for one part of it, each time the next.
    /// Failure: a rumor was lost to this daemon by every way it travelled.
    pub(super) fn ask_repair(&mut self, now: Duration) {
        if self.sync.is_some() {
            return;
        }
        let Some(peer) = self.repair_peer.take() else { return };
        let after = self.repair_after;
        self.send(now, peer, FleetBody::SyncRequest { after }, &[]);
    }

    /// The first other member was met: read the whole list from one.
    pub(super) fn start_sync_if_first(&mut self) {
        if self.synced || self.sync.is_some() {
            return;
        }
        if let Some(now) = self.last_call {
            self.start_sync(now);
        }
    }

    pub(super) fn start_sync(&mut self, now: Duration) {
        self.ask_sync(now, 0);
    }

    pub(super) fn retry_sync(&mut self, now: Duration) {
        let Some(sync) = &self.sync else { return };
        if now.saturating_sub(sync.asked) >= SYNC_RETRY {
            self.ask_sync(now, sync.after);
        }
    }

    /// Asks a live member, of the own zone if there is one, for its list.
    fn ask_sync(&mut self, now: Duration, after: u64) {
        let zone = self.my_zone;
        let mut picked = self.pick(1, |record| record.zone == zone);
        if picked.is_empty() {
            picked = self.pick(1, |_| true);
        }
        let Some(record) = picked.first().and_then(|&key| self.arena.get(key)) else {
            self.sync = None;
            return;
        };
        let peer = record.place.peer;
        let own = self.own_rumor();
        self.send(now, peer, FleetBody::SyncRequest { after }, &[own]);
        self.sync = Some(SyncProgress { peer, after, asked: now });
    }

    fn syncs_from(&self, from: SocketAddr) -> bool {
        self.sync.as_ref().is_some_and(|sync| sync.peer == from)
    }

    /// Takes in a part of a peer's list; how much of it was news. What a
    /// joining daemon learns so is not passed on: the others know it, and
    /// thousands of records would crowd out real news for minutes.
    pub(super) fn apply_page(
        &mut self,
        now: Duration,
        from: SocketAddr,
        rumors: Vec<MemberUpdate>,
    ) -> usize {
        let joining = self.syncs_from(from);
        let mut news = 0;
        for rumor in rumors {
            let id = rumor.id;
            self.contradict(&rumor);
            let waiting = self.rumors.contains(id);
            if !self.apply(now, rumor) {
                continue;
            }
            news += 1;
            if joining && !waiting && id != self.my_id {
                self.rumors.remove(id);
            }
        }
        news
    }

    /// The peer lists a member live that is known to be dead here. Failure:
    /// after a partition within a zone the two sides hold each other for dead
    /// and tell nobody any more. Passing it on again lets the member refute.
    fn contradict(&mut self, rumor: &MemberUpdate) {
        let dead = self.arena.by_id(rumor.id).is_some_and(|record| {
            record.health == MemberHealth::Dead && !record.private && record.stamp >= rumor.stamp
        });
        if dead {
            self.rumors.push(rumor.id);
        }
    }

    pub(super) fn take_page(
        &mut self,
        now: Duration,
        from: SocketAddr,
        next: Option<u64>,
        news: usize,
    ) {
        if !self.syncs_from(from) {
            self.repair_after = next.unwrap_or(0);
            if news >= REPAIR_NEWS
                && let Some(after) = next
            {
                self.send(now, from, FleetBody::SyncRequest { after }, &[]);
            }
            return;
        }
        let Some(after) = next else {
            self.sync = None;
            if !self.synced {
                self.synced = true;
                self.actions.push_back(FleetAction::Synced);
            }
            return;
        };
        // A doubled page would ask again from where the list already went on.
        if self.sync.as_ref().is_some_and(|sync| sync.after >= after) {
            return;
        }
        self.sync = Some(SyncProgress { peer: from, after, asked: now });
        self.send(now, from, FleetBody::SyncRequest { after }, &[]);
    }

    /// Sends the part of the list after `after`, in order of id.
    pub(super) fn send_page(&mut self, now: Duration, to: SocketAddr, after: u64) {
        // The place of the next part is known only when this one is full, and
        // comes before it; so the part is chosen first.
        let longest = FleetBody::SyncPage { next: Some(u64::MAX) };
        let mut trial = DatagramWriter::new(&self.message(now, to, longest));
        let mut page = Vec::new();
        let mut next = None;
        for record in self.arena.after(after).filter(|record| record.is_live() && !record.private) {
            let rumor = record.rumor();
            if !trial.push(&rumor, DATAGRAM_LIMIT) {
                next = page.last().map(|rumor: &MemberUpdate| rumor.id.0);
                break;
            }
            page.push(rumor);
        }
        let mut writer = DatagramWriter::new(&self.message(now, to, FleetBody::SyncPage { next }));
        for rumor in &page {
            writer.push(rumor, DATAGRAM_LIMIT);
        }
        self.send_bytes(to, writer.finish());
    }
}
