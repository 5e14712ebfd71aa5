//! Sleeps of less than a millisecond's error.
//!
//! Tokio's timer steps in milliseconds and rounds up, which makes an attempt of
//! two milliseconds take three and a latency of half a millisecond three times
//! as long: what is measured over stand-ins would be the timer. One thread of the
//! process waits for the next moment that is due, to the kernel's precision.

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

/// The part of a sleep that is left to the precise thread. The rest is slept by
/// tokio, so that a sleep which is dropped early leaves nothing behind for long.
const PRECISE_PART: Duration = Duration::from_millis(3);

static TIMER: LazyLock<&'static PreciseTimer> = LazyLock::new(PreciseTimer::spawn);

/// Sleeps for `duration`.
pub(crate) async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}

/// Sleeps until `due`; never wakes before it.
pub(crate) async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return;
    }
    if left > PRECISE_PART {
        tokio::time::sleep(left - PRECISE_PART).await;
    }
    // An error means that the thread is gone, which ends the process's sleeps.
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
            .expect("a development machine can start one more thread");
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
                // A sleeper that was dropped has nobody to wake.
                let _gone = waker.send(());
            }
            sleepers = self.wait(sleepers, now);
        }
    }

    /// Waits for the next sleeper that is due, or for an earlier one to come.
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
        woken.expect("nothing panics while it holds the sleepers")
    }

    fn lock(&self) -> MutexGuard<'_, SleeperHeap> {
        self.sleepers.lock().expect("nothing panics while it holds the sleepers")
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
