//! Rumors still to be passed on, least sent first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::MemberId;

/// Hosts whose latest record is worth passing on. Holds ids alone: the record
/// is read when it is sent, so a rumor never carries old news.
///
/// Among rumors sent equally often, each daemon has its own order. Failure:
/// with one order for all, hundreds of daemons that start at once tell each
/// other the same few names, and the last ones in the order wait for minutes.
#[derive(Debug)]
pub(crate) struct RumorQueue {
    salt: u64,
    order: BTreeSet<(u32, u64, MemberId)>,
    sent: BTreeMap<MemberId, u32>,
}

impl RumorQueue {
    /// Empty; `salt` differs between daemons.
    pub(crate) fn new(salt: u64) -> Self {
        Self { salt, order: BTreeSet::new(), sent: BTreeMap::new() }
    }

    /// Begins, or begins again, to pass the host's record on.
    pub(crate) fn push(&mut self, id: MemberId) {
        self.remove(id);
        self.insert(id, 0);
    }

    /// Stops passing it on.
    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(count) = self.sent.remove(&id) {
            let place = self.place(id);
            self.order.remove(&(count, place, id));
        }
    }

    /// The least sent hosts, at most `count` of them.
    pub(crate) fn first(&self, count: usize) -> Vec<MemberId> {
        self.order.iter().take(count).map(|&(_, _, id)| id).collect()
    }

    /// Counts one sending; drops the rumor after `limit`.
    pub(crate) fn mark_sent(&mut self, id: MemberId, limit: u32) {
        let Some(count) = self.sent.get(&id).copied() else { return };
        self.remove(id);
        if count + 1 < limit {
            self.insert(id, count + 1);
        }
    }

    /// Whether the host's record waits to be passed on.
    pub(crate) fn contains(&self, id: MemberId) -> bool {
        self.sent.contains_key(&id)
    }

    /// How many rumors wait.
    pub(crate) fn len(&self) -> usize {
        self.sent.len()
    }

    fn insert(&mut self, id: MemberId, count: u32) {
        self.sent.insert(id, count);
        self.order.insert((count, self.place(id), id));
    }

    /// Where the host stands in this daemon's order.
    fn place(&self, id: MemberId) -> u64 {
        xxh3_64_with_seed(&id.0.to_le_bytes(), self.salt)
    }
}
