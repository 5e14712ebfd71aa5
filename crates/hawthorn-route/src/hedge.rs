//! Hedged requests: when an attempt counts as late and a second one is sent.
//!
//! Handles targets that pause or become slow. A query waits for its slowest shard, so that a
//! single straggler delays most queries. Hedges are limited by the service's retry budget, and
//! an attempt is late only if it takes longer than nearly all ordinary ones.

use std::time::Duration;

use hawthorn_decide::latency::ServiceTimes;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::target::TargetState;

/// Settings of hedged requests.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether hedges are sent.
    pub on: bool,
    /// Whether hedges are sent only to targets with spare capacity; see [`has_capacity`].
    pub needs_room: bool,
    /// Delay while the budget is unused, as a multiple of the 90th percentile of latency. With
    /// 1.2, one ordinary attempt in fifteen is hedged.
    pub eager_factor: f64,
    /// Delay while the budget is nearly spent, as a multiple of the 90th percentile.
    pub patient_factor: f64,
    /// Minimum delay: twice the latency between zones, plus a new connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "least_delay_ms")]
    pub least_delay: Duration,
    /// Maximum delay as a share of the route's target latency, so that the hedge can still be
    /// answered in time.
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

/// The delay after which an attempt is late. `fullness` is the remaining part of the service's
/// budget, 0 to 1.
pub fn delay(
    times: &ServiceTimes,
    target_latency: Duration,
    fullness: f64,
    options: &Options,
) -> Duration {
    let range = options.patient_factor - options.eager_factor;
    let factor = options.eager_factor + (1.0 - fullness) * range;
    let delay = Duration::from_micros((times.p90() as f64 * factor) as u64);
    let max = target_latency.mul_f64(options.aim_share).max(options.least_delay);
    delay.clamp(options.least_delay, max)
}

/// Maximum queue per slot at which a target has capacity for a hedge. The hedge then starts
/// within one and a half service times. With a target latency of eight service times, this is a
/// third of the time left when the first attempt is late.
const MAX_QUEUE_PER_SLOT: f64 = 1.5;

/// Interval at which capacity is checked again while no target has any: about one service time,
/// in which each slot takes one request from the queue.
pub const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Whether a target has capacity for a hedge.
///
/// If all targets of a shard have queues, every attempt is late, and hedging all of them would
/// double the queues. If the other target has capacity, the late one is paused, slow or
/// unreachable, and the hedge is useful however long the queues of other shards are.
pub fn has_capacity(state: &TargetState, now: Duration) -> bool {
    state.queue(now) < MAX_QUEUE_PER_SLOT
}
