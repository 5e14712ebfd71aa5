//! Sleeps with an error of less than a millisecond.
//!
//! Tokio's timer has a resolution of one millisecond and rounds up: a service time of
//! 2 ms becomes 3 ms, and a latency of 0.5 ms triples, which would dominate
//! measurements over stand-ins. One thread per process waits for the next due time
//! with the kernel's precision instead.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

/// The last part of a sleep, handled by the precise thread. Tokio handles the rest, so
/// that the entry of a sleep that is dropped early does not stay in the heap for long.
const PRECISE_PART: Duration = Duration::from_millis(3);

static TIMER: LazyLock<&'static PreciseTimer> = LazyLock::new(PreciseTimer::spawn);

/// Sleeps for `duration`.
pub(crate) async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}

/// Sleeps until `due`; never wakes before it.
pub(crate) async fn sleep_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return;
    }
    if remaining > PRECISE_PART {
        tokio::time::sleep(remaining - PRECISE_PART).await;
    }
    // An error means that the timer thread has ended, and with it all sleeps.
    drop(TIMER.wake_at(due).await);
}

struct PreciseTimer {
    sleepers: Mutex<SleeperHeap>,
    earlier: Condvar,
}

#[derive(Default)]
struct SleeperHeap {
    next: u64,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    wakers: HashMap<u64, oneshot::Sender<()>>,
}

impl PreciseTimer {
    fn spawn() -> &'static Self {
        let timer: &'static Self =
            Box::leak(Box::new(Self { sleepers: Mutex::default(), earlier: Condvar::new() }));
        std::thread::Builder::new()
            .name("standin-timer".to_owned())
            .spawn(|| timer.run())
            .expect("the process can start another thread");
        timer
    }

    fn wake_at(&self, due: Instant) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut sleepers = self.lock();
        let number = sleepers.next;
        sleepers.next += 1;
        let first = sleepers.due.peek().is_none_or(|Reverse((earliest, _))| due < *earliest);
        sleepers.due.push(Reverse((due, number)));
        sleepers.wakers.insert(number, sender);
        drop(sleepers);
        if first {
            self.earlier.notify_one();
        }
        receiver
    }

    fn run(&self) {
        let mut sleepers = self.lock();
        loop {
            let now = Instant::now();
            while let Some(waker) = sleepers.pop_due(now) {
                // The receiver is closed if the sleep was dropped.
                let _closed = waker.send(());
            }
            sleepers = self.wait(sleepers, now);
        }
    }

    /// Waits until the next sleeper is due or an earlier one is added.
    fn wait<'a>(
        &self,
        sleepers: MutexGuard<'a, SleeperHeap>,
        now: Instant,
    ) -> MutexGuard<'a, SleeperHeap> {
        let next = sleepers.due.peek().map(|Reverse((due, _))| *due);
        let woken = match next {
            Some(due) => {
                let wait = due.saturating_duration_since(now);
                self.earlier.wait_timeout(sleepers, wait).map(|(sleepers, _)| sleepers).ok()
            }
            None => self.earlier.wait(sleepers).ok(),
        };
        woken.expect("no holder of the lock panics")
    }

    fn lock(&self) -> MutexGuard<'_, SleeperHeap> {
        self.sleepers.lock().expect("no holder of the lock panics")
    }
}

impl SleeperHeap {
    fn pop_due(&mut self, now: Instant) -> Option<oneshot::Sender<()>> {
        let &Reverse((due, number)) = self.due.peek()?;
        if due > now {
            return None;
        }
        self.due.pop();
        self.wakers.remove(&number)
    }
}
