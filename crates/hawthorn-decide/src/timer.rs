//! Timers of the owner.
//!
//! Timers are not removed when their cause goes away. Their handle no longer resolves, and they are
//! dropped when they fire or when the heap has doubled. The heap thus holds at most about twice as
//! many timers as are live.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::arena::ArenaHandle;
use crate::time::TickTime;
use hawthorn_types::TargetKey;

/// The event that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// The piece reaches its deadline.
    Deadline(ArenaHandle),
    /// The piece's attempt has run for the hedge delay.
    HedgeDelay(ArenaHandle),
    /// The grace period of a cancelled attempt ends.
    CancelGrace(ArenaHandle),
    /// A target may accept work again.
    Capacity(TargetKey),
    /// A target is due for a probe.
    Probe(TargetKey),
}

#[derive(Clone, Copy, Debug)]
struct TimerEntry {
    at: TickTime,
    event: TimerEvent,
}

impl PartialEq for TimerEntry {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for TimerEntry {}

impl PartialOrd for TimerEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimerEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

/// Heaps with fewer entries than this are not compacted.
const COMPACT_FLOOR: usize = 1024;

#[derive(Debug)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<TimerEntry>>,
    /// Length above which stale entries are removed.
    limit: usize,
}

impl TimerQueue {
    pub(crate) fn with_capacity(capacity: usize) -> Self {
        Self { heap: BinaryHeap::with_capacity(capacity), limit: COMPACT_FLOOR }
    }

    pub(crate) fn arm(&mut self, at: TickTime, event: TimerEvent) {
        self.heap.push(Reverse(TimerEntry { at, event }));
    }

    pub(crate) fn next(&self) -> Option<TickTime> {
        self.heap.peek().map(|entry| entry.0.at)
    }

    pub(crate) fn fire(&mut self, now: TickTime) -> Option<TimerEvent> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.event)
    }

    /// Drops stale timers once the heap has doubled since the last compaction, which amortises the
    /// cost. Without it, pieces with long deadlines that finish within milliseconds would each
    /// leave a timer behind for many seconds.
    pub(crate) fn compact(&mut self, is_live: impl Fn(&TimerEvent) -> bool) {
        if self.heap.len() > self.limit {
            self.heap.retain(|entry| is_live(&entry.0.event));
            self.limit = COMPACT_FLOOR + 2 * self.heap.len();
        }
    }
}
