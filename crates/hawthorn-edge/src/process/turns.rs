//! For how long the event loop has been at work without a rest.
//!
//! Failure: a host that is short of processor time reads requests long after
//! they came, and hands targets time that callers no longer have. What was read
//! in a turn came at the earliest when the loop last rested.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::process::clock::host_now;

/// A loop that parks and goes on at once has not rested: something was waiting.
const LEAST_REST: Duration = Duration::from_micros(200);

/// When the loop parked last, and when its rest last ended, in nanoseconds.
#[derive(Debug, Default)]
pub struct TurnClock {
    parked: AtomicU64,
    rested: AtomicU64,
}

impl TurnClock {
    /// A loop that has not begun.
    pub const fn new() -> Self {
        Self { parked: AtomicU64::new(0), rested: AtomicU64::new(0) }
    }

    /// The loop has nothing more to do.
    pub fn park(&self, now: Duration) {
        self.parked.store(now.as_nanos() as u64, Ordering::Relaxed);
    }

    /// Something came, or is due.
    pub fn unpark(&self, now: Duration) {
        let parked = Duration::from_nanos(self.parked.load(Ordering::Relaxed));
        if now.saturating_sub(parked) >= LEAST_REST {
            self.rested.store(now.as_nanos() as u64, Ordering::Relaxed);
        }
    }

    /// How long ago the last rest ended.
    pub fn busy_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_nanos(self.rested.load(Ordering::Relaxed)))
    }
}

static SERVING_LOOP: TurnClock = TurnClock::new();

/// The loop of this process parks.
pub(crate) fn note_park() {
    SERVING_LOOP.park(host_now());
}

/// The loop of this process goes on.
pub(crate) fn note_unpark() {
    SERVING_LOOP.unpark(host_now());
}

/// How long ago the loop of this process last rested.
pub(crate) fn busy_for(now: Duration) -> Duration {
    SERVING_LOOP.busy_for(now)
}
