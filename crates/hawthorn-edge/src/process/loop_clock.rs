//! Time for which what the event loop reads may have waited unread.
//!
//! A host without processor time reads requests long after they arrived. If it took the time of
//! reading as their arrival, it would send targets deadlines later than the callers'. What is
//! read in one turn of the loop arrived at the earliest when the loop was last idle.
//!
//! A saturated loop is never idle, although it reads each request soon after its arrival. After a
//! few milliseconds without a break, a task therefore checks that the loop has read what had
//! arrived when the check began.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::yield_now;

use crate::process::clock::host_now;

/// A loop that parks for less than this was not idle: an event was already waiting.
const MIN_IDLE: Duration = Duration::from_micros(200);
/// Busy time after which the loop checks what it has read: a small part of any deadline.
const CHECK_AFTER: Duration = Duration::from_millis(5);
/// Turns of the event loop after which all that was in the sockets has been read: a new
/// connection is accepted in the first, registered in the second and read in the third.
pub(crate) const SOCKET_READ_YIELDS: usize = 3;

/// When the loop last parked, and up to when it has read all that arrived, in nanoseconds.
#[derive(Debug, Default)]
pub struct LoopClock {
    parked: AtomicU64,
    read_until: AtomicU64,
}

impl LoopClock {
    /// The clock of a loop that has not started.
    pub const fn new() -> Self {
        Self { parked: AtomicU64::new(0), read_until: AtomicU64::new(0) }
    }

    /// Records that the loop starts: nothing that it reads arrived earlier.
    pub fn start(&self, now: Duration) {
        self.read_until.store(now.as_nanos() as u64, Ordering::Relaxed);
    }

    /// Records that the loop parks.
    pub fn park(&self, now: Duration) {
        self.parked.store(now.as_nanos() as u64, Ordering::Relaxed);
    }

    /// Records that the loop resumes.
    pub fn unpark(&self, now: Duration) {
        let parked = Duration::from_nanos(self.parked.load(Ordering::Relaxed));
        if now.saturating_sub(parked) >= MIN_IDLE {
            self.read_until.store(now.as_nanos() as u64, Ordering::Relaxed);
        }
    }

    /// Records that the loop has read all that arrived before `until`.
    pub fn record_read(&self, until: Duration) {
        self.read_until.fetch_max(until.as_nanos() as u64, Ordering::Relaxed);
    }

    /// Maximum time for which something read at `now` has waited: since the loop started, was last
    /// idle, or had last read all that arrived.
    pub fn busy_for(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_nanos(self.read_until.load(Ordering::Relaxed)))
    }
}

static EVENT_LOOP: LoopClock = LoopClock::new();
static CHECK_DUE: Notify = Notify::const_new();

/// Records that the event loop of this process starts.
pub(crate) fn record_start() {
    EVENT_LOOP.start(host_now());
}

/// Records that the event loop of this process parks.
pub(crate) fn record_park() {
    let now = host_now();
    EVENT_LOOP.park(now);
    request_check(EVENT_LOOP.busy_for(now));
}

/// Records that the event loop of this process resumes.
pub(crate) fn record_unpark() {
    EVENT_LOOP.unpark(host_now());
}

/// Maximum time for which something that this process reads at `now` has waited.
pub(crate) fn busy_for(now: Duration) -> Duration {
    let busy = EVENT_LOOP.busy_for(now);
    // A loop whose task queues never drain does not park.
    request_check(busy);
    busy
}

fn request_check(busy: Duration) {
    if busy >= CHECK_AFTER {
        CHECK_DUE.notify_one();
    }
}

/// Checks what the loop has read whenever it was busy for [`CHECK_AFTER`]; runs until the process
/// exits.
///
/// Tasks run in the order in which they become ready. After this task has passed through the
/// queue behind those of all sockets that were readable, these have been read.
pub(crate) async fn check_reads() {
    loop {
        CHECK_DUE.notified().await;
        let began = host_now();
        for _ in 0..SOCKET_READ_YIELDS {
            yield_now().await;
        }
        EVENT_LOOP.record_read(began);
    }
}
