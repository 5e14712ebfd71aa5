//! Queue of updates to gossip, least sent first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::MemberId;

/// Hosts whose latest record is still to be gossiped. Holds only ids: the record is read when it is
/// sent, so an update is never stale.
///
/// Among updates sent equally often, each daemon has its own order. With one order for all,
/// hundreds of daemons that start at once would send each other the same few records, and the last
/// ones in the order would wait for minutes.
#[derive(Debug)]
pub(crate) struct GossipQueue {
    salt: u64,
    order: BTreeSet<(u32, u64, MemberId)>,
    sent: BTreeMap<MemberId, u32>,
}

impl GossipQueue {
    /// An empty queue; `salt` differs between daemons.
    pub(crate) fn new(salt: u64) -> Self {
        Self { salt, order: BTreeSet::new(), sent: BTreeMap::new() }
    }

    /// Starts, or restarts, gossiping the host's record.
    pub(crate) fn push(&mut self, id: MemberId) {
        self.remove(id);
        self.insert(id, 0);
    }

    /// Stops gossiping the host's record.
    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(count) = self.sent.remove(&id) {
            let position = self.position(id);
            self.order.remove(&(count, position, id));
        }
    }

    /// Up to `count` hosts, least sent first.
    pub(crate) fn least_sent(&self, count: usize) -> Vec<MemberId> {
        self.order.iter().take(count).map(|&(_, _, id)| id).collect()
    }

    /// Counts a transmission; removes the update after `limit`.
    pub(crate) fn mark_sent(&mut self, id: MemberId, limit: u32) {
        let Some(count) = self.sent.get(&id).copied() else { return };
        self.remove(id);
        if count + 1 < limit {
            self.insert(id, count + 1);
        }
    }

    /// Whether the host's record is queued.
    pub(crate) fn contains(&self, id: MemberId) -> bool {
        self.sent.contains_key(&id)
    }

    /// Number of queued updates.
    pub(crate) fn len(&self) -> usize {
        self.sent.len()
    }

    fn insert(&mut self, id: MemberId, count: u32) {
        self.sent.insert(id, count);
        self.order.insert((count, self.position(id), id));
    }

    /// Position of the host in this daemon's order.
    fn position(&self, id: MemberId) -> u64 {
        xxh3_64_with_seed(&id.0.to_le_bytes(), self.salt)
    }
}
