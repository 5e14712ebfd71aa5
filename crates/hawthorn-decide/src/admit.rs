//! Admission control at the owner: work that cannot finish before its deadline is rejected at once.
//!
//! Under overload that lasts for seconds or minutes, unbounded queues fill with expired work:
//! every slot is busy, yet every answer misses its deadline.

use std::time::Duration;

use crate::queue::NORMAL;
use crate::queue::ShardQueue;
use crate::queue::URGENT;
use hawthorn_types::RefusalReason;

/// Limits of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Factor on the estimated wait. 1.25: the estimate is an average, and a piece that is
    /// admitted and then expires has wasted its place in the queue.
    pub wait_margin: f64,
    /// Lower bound of the retry-after time of a rejection. 5 ms: one service time, before which no
    /// slot can have become free.
    pub min_retry_after: Duration,
    /// Upper bound of the retry-after time. 2 s: a target can start or recover within it.
    pub max_retry_after: Duration,
    /// Service time assumed for a shard before its first answers. 5 ms: the service time of
    /// typical targets.
    pub initial_service_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            wait_margin: 1.25,
            min_retry_after: Duration::from_millis(5),
            max_retry_after: Duration::from_secs(2),
            initial_service_time: Duration::from_millis(5),
        }
    }
}

/// The outcome of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Admitted: queued or in flight. A `Finish` action follows.
    Queued,
    /// Rejected: it will not run, and no `Finish` action follows.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}

/// Expected wait, in microseconds, of a new piece of `caller` before it gets one of `slots`.
///
/// Computed as the fluid limit of fair queueing: of each other caller, at most as much slot time is
/// served first as the caller itself has waiting. A flood thus lengthens only the wait of the
/// caller that sends it.
pub(crate) fn expected_wait(
    queue: &ShardQueue,
    caller: u32,
    lane: usize,
    slots: u64,
    default_cost: u64,
    normal_share: f64,
) -> u64 {
    let own_backlog = queue.backlog_of(caller, lane, default_cost);
    let fair_share = own_backlog + queue.cost_of(caller, default_cost);
    let served_first = queue.backlogs(lane, default_cost).map(|backlog| backlog.min(fair_share));
    // The sum includes the caller's own backlog, which is below `fair_share`.
    let ahead: u64 = served_first.sum();
    let slots = slots.max(1) as f64;
    let lane_wait = ahead as f64 / slots;
    let wait = match lane {
        // While normal work waits, urgent work gets the slot time that is not reserved for it.
        URGENT if queue.waiting(NORMAL) > 0 => lane_wait / (1.0 - normal_share),
        URGENT => lane_wait,
        // Normal work waits for urgent work, but no longer than at its reserved share.
        _ => {
            let urgent_backlog: u64 = queue.backlogs(URGENT, default_cost).sum();
            (lane_wait + urgent_backlog as f64 / slots).min(lane_wait / normal_share)
        }
    };
    wait as u64
}
