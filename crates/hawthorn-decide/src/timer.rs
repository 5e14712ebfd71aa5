//! Points in time at which the owner has something to decide.
//!
//! A timer is never taken out when its cause goes away: the handle it carries
//! no longer matches and it is dropped when it fires, or when the heap has
//! doubled. The heap is thus about twice the live timers at most.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::arena::ArenaHandle;
use crate::time::TickTime;
use hawthorn_types::TargetKey;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerAlarm {
    /// The piece's deadline.
    Deadline(ArenaHandle),
    /// The piece's attempt is slow enough for a hedge.
    Hedge(ArenaHandle),
    /// A cancelled attempt was not acknowledged.
    Grace(ArenaHandle),
    /// A target may take work again.
    Room(TargetKey),
    /// A target is due for a probe.
    Probe(TargetKey),
}

#[derive(Clone, Copy, Debug)]
struct TimerEntry {
    at: TickTime,
    alarm: TimerAlarm,
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

/// Below this many entries a heap with stale ones is left alone.
const COMPACT_FLOOR: usize = 1024;

#[derive(Debug)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<TimerEntry>>,
    /// The length at which stale entries are looked for.
    limit: usize,
}

impl TimerQueue {
    pub(crate) fn with_capacity(capacity: usize) -> Self {
        Self { heap: BinaryHeap::with_capacity(capacity), limit: COMPACT_FLOOR }
    }

    pub(crate) fn arm(&mut self, at: TickTime, alarm: TimerAlarm) {
        self.heap.push(Reverse(TimerEntry { at, alarm }));
    }

    pub(crate) fn next(&self) -> Option<TickTime> {
        self.heap.peek().map(|entry| entry.0.at)
    }

    pub(crate) fn fire(&mut self, now: TickTime) -> Option<TimerAlarm> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.alarm)
    }

    /// Drops stale timers once the heap has doubled since the last time, which
    /// spreads the cost over as many calls. Guards against long deadlines at a
    /// high rate: pieces that are done in milliseconds would each leave a timer
    /// for many seconds.
    pub(crate) fn compact(&mut self, is_live: impl Fn(&TimerAlarm) -> bool) {
        if self.heap.len() > self.limit {
            self.heap.retain(|entry| is_live(&entry.0.alarm));
            self.limit = COMPACT_FLOOR + 2 * self.heap.len();
        }
    }
}
