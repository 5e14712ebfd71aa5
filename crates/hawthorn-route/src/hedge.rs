//! When an attempt counts as late, so that a second one is worth making.
//!
//! The load it is for: targets that pause or run slow while a query waits for
//! the slowest of its shards. The harm it prevents: most queries waiting for
//! one straggler. The limit: extra attempts come out of the service's budget,
//! and an attempt counts as late only beyond nearly all ordinary ones.

use std::time::Duration;

use hawthorn_decide::latency::ServiceTimes;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::target::TargetState;

/// Limits of hedging.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Second attempts are made at all.
    pub on: bool,
    /// Only where a target has room for one; see [`has_capacity`].
    pub needs_room: bool,
    /// While the budget is full, an attempt is late after so many times the
    /// ninetieth percentile. 1.2: one ordinary attempt in fifteen takes as long.
    pub eager_factor: f64,
    /// And so many times when the budget is nearly spent.
    pub patient_factor: f64,
    /// Never sooner than this: twice the way between zones and a new connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "least_delay_ms")]
    pub least_delay: Duration,
    /// Never later than this share of the route's aim, so that the second
    /// attempt can still be in time.
    pub aim_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            on: true,
            needs_room: true,
            eager_factor: 1.2,
            patient_factor: 2.5,
            least_delay: Duration::from_millis(8),
            aim_share: 0.45,
        }
    }
}

/// After which time an attempt is late. `fullness` is what is left of the
/// service's budget, 0 to 1.
pub fn delay(times: &ServiceTimes, aim: Duration, fullness: f64, options: &Options) -> Duration {
    let spread = options.patient_factor - options.eager_factor;
    let factor = options.eager_factor + (1.0 - fullness) * spread;
    let learnt = Duration::from_micros((times.p90() as f64 * factor) as u64);
    let most = aim.mul_f64(options.aim_share).max(options.least_delay);
    learnt.clamp(options.least_delay, most)
}

/// A target has room for a second attempt while fewer requests wait there for each
/// of its slots: it is then worked on within one and a half usual times, a third of
/// what an aim of eight usual times leaves after the first attempt was late.
const ROOM_QUEUE: f64 = 1.5;

/// Where no target has room, it is looked for again after so long: about a
/// request's work, in which a queue is shorter by one for each slot.
pub const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The target has room for a second attempt.
///
/// Load: queues stand at all targets of a shard, and every attempt is late. A
/// second one of each would lengthen them by as much. Where the other target is
/// free, it is the one that is late which is paused, slow or dark, however long
/// the queues are elsewhere.
pub fn has_capacity(state: &TargetState, now: Duration) -> bool {
    state.queue(now) < ROOM_QUEUE
}
