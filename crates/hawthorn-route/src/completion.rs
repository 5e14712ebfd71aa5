//! Estimates when a request that is sent to a target now completes, and what that costs.
//!
//! Handles targets of different and changing speed. With the lowest latency as the only
//! criterion, nearly all requests go to the fastest target of a service until it has a queue,
//! and a pause has the same cost shortly before its end as at its beginning. Here all targets
//! that can answer in time share the requests in proportion to their speed, and those that
//! cannot are used only if no other can.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::placement::Options;
use crate::placement::PlacementView;
use crate::speed;
use crate::target::TargetState;

/// Share of the target latency within which a request must be expected to complete. It is below
/// 1 because service times vary and queues grow until the next report, and for the network and the
/// merging of parts.
const IN_TIME_SHARE: f64 = 0.6;
/// With a target latency close to the service time, a request counts as in time up to this
/// multiple of the service time, but not beyond the target latency.
const IN_TIME_FACTOR: f64 = 2.0;
/// Maximum cost of a target that answers in time, as a share of the target latency: less than a
/// target in another zone or one that is late.
const IN_TIME_COST_SHARE: f64 = 0.1;
/// Among targets in time, one whose wait is longer by a tenth of its service time gets a fifth of
/// the requests. With a power of 2, a tenth more answers are late (model of `tests/uneven`).
const WAIT_POWER: f64 = 16.0;
/// Minimum time without answers after which a target may be paused.
const MIN_SILENCE: Duration = Duration::from_millis(15);

/// The expected completion time of a request that is sent now, by its parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletionEstimate {
    /// Execution on one slot.
    pub execution: Duration,
    /// Delay by the requests in the queue.
    pub queue: Duration,
    /// Rest of the pause.
    pub pause: Duration,
    /// Execution without other requests.
    pub service: Duration,
}

impl CompletionEstimate {
    /// The expected completion time.
    pub fn expected(&self) -> Duration {
        self.execution + self.queue + self.pause
    }
}

/// Cost of a request by its completion time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CompletionCost {
    /// The target answers in time.
    InTime {
        /// Service time of the target as a multiple of the typical one.
        ratio: f64,
        /// Completion time as a multiple of the target's own service time.
        waiting: f64,
    },
    /// The target does not answer in time.
    Late {
        /// Expected completion time.
        expected: Duration,
    },
}

impl CompletionCost {
    /// A random cost in seconds. Of several targets in time, each has the lowest cost with a
    /// probability in inverse proportion to its ratio, and to a high power of `waiting`.
    pub fn draw(self, target_latency: Duration, rng: &mut impl Rng) -> f64 {
        // The minimum of exponentially distributed values has this property.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        self.cost(target_latency, -uniform.ln())
    }

    /// The cost in seconds without randomness.
    pub fn mean(self, target_latency: Duration) -> f64 {
        self.cost(target_latency, 1.0)
    }

    fn cost(self, target_latency: Duration, draw: f64) -> f64 {
        match self {
            Self::InTime { ratio, waiting } => {
                let cost = waiting * (ratio * draw).powf(1.0 / WAIT_POWER);
                target_latency.as_secs_f64() * IN_TIME_COST_SHARE * cost / (1.0 + cost)
            }
            Self::Late { expected } => expected.as_secs_f64(),
        }
    }
}

/// The typical pause of a service's targets: the longest that was learnt of any, or the
/// configured one before any was observed.
pub fn typical_pause(view: PlacementView<'_>, service: &str, options: &Options) -> Duration {
    let keys = view.registry.of_service(service).iter();
    let pauses = keys.filter_map(|key| view.registry.get(*key)?.speed().pause_length());
    pauses.max().unwrap_or(options.suspect_cost)
}

/// Estimates the completion time of a request that is sent to a target now. `typical_pause` is
/// that of the service.
pub fn estimate(
    view: PlacementView<'_>,
    state: &TargetState,
    typical_pause: Duration,
    options: &Options,
) -> CompletionEstimate {
    let now = view.now;
    let speed = state.speed();
    let cold_factor = if now < state.cold_until { options.cold_factor } else { 1.0 };
    let known_ratio = speed.ratio(now);
    let pause = remaining_pause(view, state, known_ratio * cold_factor, typical_pause, options);
    let ratio = if pause.is_zero() {
        known_ratio.max(speed.pending_ratio(now, view.service_time))
    } else {
        // The pause explains the age of the requests in flight.
        known_ratio
    };
    let factor = ratio * cold_factor;
    let slots = f64::from(state.entry.slots.max(1));
    let load = state.outstanding(now);
    CompletionEstimate {
        execution: view.service_time.mul_f64(factor * speed::occupancy_factor(load, slots)),
        queue: view.queued_service_time.mul_f64(factor * speed::queue_factor(load, slots)),
        pause,
        service: view.service_time.mul_f64(factor),
    }
}

/// The rest of the pause of a target that has not answered for longer than its speed explains.
/// Beyond a typical pause, a new request waits at least as long again.
fn remaining_pause(
    view: PlacementView<'_>,
    state: &TargetState,
    ratio: f64,
    typical_pause: Duration,
    options: &Options,
) -> Duration {
    let Some(oldest) = state.speed().oldest_pending() else { return Duration::ZERO };
    let silence = state.speed().silence(view.now);
    let expected = view.service_time.mul_f64(ratio * oldest.load_factor);
    if silence <= expected.mul_f64(options.suspect_factor).max(MIN_SILENCE) {
        Duration::ZERO
    } else if silence < typical_pause {
        typical_pause - silence
    } else {
        silence
    }
}

/// The cost of sending a request to a target now.
pub fn cost(
    view: PlacementView<'_>,
    state: &TargetState,
    typical_pause: Duration,
    options: &Options,
) -> CompletionCost {
    let estimate = estimate(view, state, typical_pause, options);
    let typical = view.service_time.mul_f64(IN_TIME_FACTOR).min(view.target_latency);
    let limit = view.target_latency.mul_f64(IN_TIME_SHARE).max(typical);
    let expected = estimate.expected();
    if expected > limit {
        return CompletionCost::Late { expected };
    }
    let share =
        |time: Duration, of: Duration| time.as_secs_f64() / of.as_secs_f64().max(f64::EPSILON);
    CompletionCost::InTime {
        ratio: share(estimate.service, view.service_time),
        waiting: share(expected, estimate.service),
    }
}
