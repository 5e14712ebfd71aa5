//! Reads and compares member lists, page by page.

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

/// Time after which an unanswered request for a page is repeated, to another peer.
const SYNC_RETRY: Duration = Duration::from_millis(500);

/// Number of addresses contacted at the same time while no other member is known.
const SEEDS_WHEN_ALONE: usize = 3;

/// Interval between attempts while no other member is known.
const ALONE_RETRY: Duration = Duration::from_millis(500);

/// Shorter interval during startup, when all hosts of a fleet may be starting.
const STARTUP_RETRY: Duration = Duration::from_millis(100);
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Number of changes in a page from which the next one is requested immediately.
const MIN_REPAIR_CHANGES: usize = 1;

/// A transfer of the full list from one peer.
#[derive(Debug)]
pub(super) struct SyncProgress {
    pub(super) peer: SocketAddr,
    pub(super) after: u64,
    pub(super) requested_at: Duration,
}

impl MemberTable {
    fn seed_retry(&self, now: Duration) -> Duration {
        let uptime = now.saturating_sub(self.seeded_at);
        if uptime < STARTUP_PERIOD { STARTUP_RETRY } else { ALONE_RETRY }
    }

    /// Asks seed addresses without a live member for their list.
    pub(super) fn contact_seeds(&mut self, now: Duration) {
        let alone = !self.arena.iter().any(|record| record.key != self.me && record.is_live());
        let (count, interval) = if alone {
            (SEEDS_WHEN_ALONE, self.seed_retry(now))
        } else {
            (1, self.options.rejoin_interval)
        };
        self.due.seeds = now + interval;
        let own_peer = self.record_of_self().place.peer;
        let candidates: Vec<SocketAddr> = self
            .configured_seeds
            .union(&self.platform_seeds)
            .copied()
            .filter(|&peer| peer != own_peer)
            .filter(|&peer| !self.arena.by_peer(peer).is_some_and(MemberRecord::is_live))
            .collect();
        let own = self.own_update();
        for _ in 0..count.min(candidates.len()) {
            self.next_seed = (self.next_seed + 1) % candidates.len();
            let peer = candidates[self.next_seed];
            self.send(now, peer, FleetBody::SyncRequest { after: 0 }, std::slice::from_ref(&own));
        }
    }

    /// Asks a peer whose list differs for its next page, because this daemon may have lost every
    /// copy of a gossiped update.
    pub(super) fn request_repair(&mut self, now: Duration) {
        if self.sync.is_some() {
            return;
        }
        let Some(peer) = self.repair_peer.take() else { return };
        let after = self.repair_after;
        self.send(now, peer, FleetBody::SyncRequest { after }, &[]);
    }

    /// Reads the full list from a peer when the first other member becomes known.
    pub(super) fn start_sync_if_first(&mut self) {
        if self.synced || self.sync.is_some() {
            return;
        }
        if let Some(now) = self.last_activity {
            self.start_sync(now);
        }
    }

    pub(super) fn start_sync(&mut self, now: Duration) {
        self.request_sync(now, 0);
    }

    pub(super) fn retry_sync(&mut self, now: Duration) {
        let Some(sync) = &self.sync else { return };
        if now.saturating_sub(sync.requested_at) >= SYNC_RETRY {
            self.request_sync(now, sync.after);
        }
    }

    /// Asks a live member, preferably of this daemon's zone, for its list.
    fn request_sync(&mut self, now: Duration, after: u64) {
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
        let own = self.own_update();
        self.send(now, peer, FleetBody::SyncRequest { after }, &[own]);
        self.sync = Some(SyncProgress { peer, after, requested_at: now });
    }

    fn is_syncing_from(&self, from: SocketAddr) -> bool {
        self.sync.as_ref().is_some_and(|sync| sync.peer == from)
    }

    /// Applies a page of a peer's list and returns the number of changes. What a joining daemon
    /// learns this way is not gossiped: the others know it, and thousands of records would delay
    /// new updates for minutes.
    pub(super) fn apply_page(
        &mut self,
        now: Duration,
        from: SocketAddr,
        updates: Vec<MemberUpdate>,
    ) -> usize {
        let joining = self.is_syncing_from(from);
        let mut changes = 0;
        for update in updates {
            let id = update.id;
            self.regossip_death(&update);
            let queued = self.gossip.contains(id);
            if !self.apply(now, update) {
                continue;
            }
            changes += 1;
            if joining && !queued && id != self.my_id {
                self.gossip.remove(id);
            }
        }
        changes
    }

    /// Gossips a death again if the peer lists the member as live. After a partition within a zone
    /// the two sides consider each other dead and no longer gossip it. Gossiping it again lets the
    /// member refute.
    fn regossip_death(&mut self, update: &MemberUpdate) {
        let dead = self.arena.by_id(update.id).is_some_and(|record| {
            record.health == MemberHealth::Dead
                && !record.local_only
                && record.stamp >= update.stamp
        });
        if dead {
            self.gossip.push(update.id);
        }
    }

    pub(super) fn handle_page(
        &mut self,
        now: Duration,
        from: SocketAddr,
        next: Option<u64>,
        changes: usize,
    ) {
        if !self.is_syncing_from(from) {
            self.repair_after = next.unwrap_or(0);
            if changes >= MIN_REPAIR_CHANGES
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
        // A duplicate of an earlier page must not restart the transfer from there.
        if self.sync.as_ref().is_some_and(|sync| sync.after >= after) {
            return;
        }
        self.sync = Some(SyncProgress { peer: from, after, requested_at: now });
        self.send(now, from, FleetBody::SyncRequest { after }, &[]);
    }

    /// Sends the page of the list after `after`, in order of id.
    pub(super) fn send_page(&mut self, now: Duration, to: SocketAddr, after: u64) {
        // The header contains the start of the next page, which is known only when this page is
        // full, so the records are selected first.
        let longest = FleetBody::SyncPage { next: Some(u64::MAX) };
        let mut draft = DatagramWriter::new(&self.message(now, to, longest));
        let mut page = Vec::new();
        let mut next = None;
        for record in
            self.arena.after(after).filter(|record| record.is_live() && !record.local_only)
        {
            let update = record.to_update();
            if !draft.push(&update, DATAGRAM_LIMIT) {
                next = page.last().map(|update: &MemberUpdate| update.id.0);
                break;
            }
            page.push(update);
        }
        let mut writer = DatagramWriter::new(&self.message(now, to, FleetBody::SyncPage { next }));
        for update in &page {
            writer.push(update, DATAGRAM_LIMIT);
        }
        self.send_bytes(to, writer.finish());
    }
}
