//! Admission at the owner: what cannot be done in time is refused at once.
//!
//! The load it is for: more work than slots, for seconds or minutes. The harm
//! it prevents: queues that fill up with work nobody waits for any more, so
//! that every answer comes too late although every slot is busy.

use std::time::Duration;

use crate::queue::NORMAL;
use crate::queue::ShardQueue;
use crate::queue::URGENT;
use hawthorn_types::RefusalReason;

/// Limits of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The expected wait is taken this much longer than worked out. 1.25: the
    /// estimate is an average, and a piece that is admitted and then expires
    /// has wasted its place.
    pub wait_margin: f64,
    /// A refused caller is told to come back no sooner than this. 5 ms: one
    /// service time; sooner, nothing can have changed.
    pub least_retry: Duration,
    /// And no later than this. 2 s: within it a target can have been switched
    /// on or come back.
    pub most_retry: Duration,
    /// Service time assumed of a shard before its first answers. 5 ms: what
    /// targets of today take.
    pub first_guess: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            wait_margin: 1.25,
            least_retry: Duration::from_millis(5),
            most_retry: Duration::from_secs(2),
            first_guess: Duration::from_millis(5),
        }
    }
}

/// Whether a piece was let into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It waits or is on its way; a `Finish` follows.
    Queued,
    /// It was not run and will not be; no `Finish` follows.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it is worth asking again.
        retry_after: Duration,
    },
}

/// The wait, in microseconds, of a new piece of `caller` before it gets one of
/// `slots`. The fluid limit of fair queueing: of every other caller no more is
/// served first than the new piece's own caller has waiting, so that a flood
/// lengthens the wait of the caller that sent it, and not of the others.
pub(crate) fn expected_wait(
    queue: &ShardQueue,
    caller: u32,
    lane: usize,
    slots: u64,
    guess: u64,
    normal_share: f64,
) -> u64 {
    let own = queue.backlog_of(caller, lane, guess);
    let fair = own + queue.cost_of(caller, guess);
    let shares = queue.backlogs(lane, guess).map(|backlog| backlog.min(fair));
    // The caller's own share is in the sum, and never more than its backlog.
    let ahead: u64 = shares.sum();
    let slots = slots.max(1) as f64;
    let alone = ahead as f64 / slots;
    let wait = match lane {
        // While normal work waits, urgent work has the rest of the slot time.
        URGENT if queue.waiting(NORMAL) > 0 => alone / (1.0 - normal_share),
        URGENT => alone,
        // Normal work waits for the urgent, but no longer than its own share takes.
        _ => {
            let urgent: u64 = queue.backlogs(URGENT, guess).sum();
            (alone + urgent as f64 / slots).min(alone / normal_share)
        }
    };
    wait as u64
}
