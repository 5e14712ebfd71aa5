//! Time for which the event loop has been busy without a break.
//!
//! A host without processor time reads requests long after they arrived. If it took the time of
//! reading as their arrival, it would send targets deadlines later than the callers'. What is
//! read in one turn of the loop arrived at the earliest when the loop was last idle.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::process::clock::host_now;

/// A loop that parks for less than this was not idle: an event was already waiting.
const MIN_IDLE: Duration = Duration::from_micros(200);

/// When the loop last parked, and when it was last idle or started, in nanoseconds.
#[derive(Debug, Default)]
pub struct LoopClock {
    parked: AtomicU64,
    idle_ended: AtomicU64,
}

impl LoopClock {
    /// The clock of a loop that has not started.
    pub const fn new() -> Self {
        Self { parked: AtomicU64::new(0), idle_ended: AtomicU64::new(0) }
    }

    /// Records that the loop starts: nothing that it reads arrived earlier.
    pub fn start(&self, now: Duration) {
        self.idle_ended.store(now.as_nanos() as u64, Ordering::Relaxed);
    }

    /// Records that the loop parks.
    pub fn park(&self, now: Duration) {
        self.parked.store(now.as_nanos() as u64, Ordering::Relaxed);
    }

    /// Records that the loop resumes.
    pub fn unpark(&self, now: Duration) {
        let parked = Duration::from_nanos(self.parked.load(Ordering::Relaxed));
        if now.saturating_sub(parked) >= MIN_IDLE {
            self.idle_ended.store(now.as_nanos() as u64, Ordering::Relaxed);
        }
    }

    /// Time since the loop was last idle, or started.
    pub fn busy_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_nanos(self.idle_ended.load(Ordering::Relaxed)))
    }
}

static EVENT_LOOP: LoopClock = LoopClock::new();

/// Records that the event loop of this process starts.
pub(crate) fn record_start() {
    EVENT_LOOP.start(host_now());
}

/// Records that the event loop of this process parks.
pub(crate) fn record_park() {
    EVENT_LOOP.park(host_now());
}

/// Records that the event loop of this process resumes.
pub(crate) fn record_unpark() {
    EVENT_LOOP.unpark(host_now());
}

/// Time since the event loop of this process was last idle.
pub(crate) fn busy_for(now: Duration) -> Duration {
    EVENT_LOOP.busy_for(now)
}
