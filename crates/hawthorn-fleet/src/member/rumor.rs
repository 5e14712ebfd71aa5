//! Rumors still to be passed on, least sent first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::message::MemberId;

/// Hosts whose latest record is worth passing on. Holds ids alone: the record
/// is read when it is sent, so a rumor never carries old news.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    order: BTreeSet<(u32, MemberId)>,
    sent: BTreeMap<MemberId, u32>,
}

impl RumorQueue {
    /// Begins, or begins again, to pass the host's record on.
    pub(crate) fn push(&mut self, id: MemberId) {
        self.remove(id);
        self.sent.insert(id, 0);
        self.order.insert((0, id));
    }

    /// Stops passing it on.
    pub(crate) fn remove(&mut self, id: MemberId) {
        if let Some(count) = self.sent.remove(&id) {
            self.order.remove(&(count, id));
        }
    }

    /// The least sent hosts, at most `count` of them.
    pub(crate) fn first(&self, count: usize) -> Vec<MemberId> {
        self.order.iter().take(count).map(|&(_, id)| id).collect()
    }

    /// Counts one sending; drops the rumor after `limit`.
    pub(crate) fn mark_sent(&mut self, id: MemberId, limit: u32) {
        let Some(count) = self.sent.get(&id).copied() else { return };
        self.remove(id);
        if count + 1 < limit {
            self.sent.insert(id, count + 1);
            self.order.insert((count + 1, id));
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
}
