//! When a second attempt is worth making.
//!
//! The load it is for: one to five requests in a hundred take twenty times as
//! long, and a query is as slow as its slowest shard. The harm it prevents:
//! most queries waiting for a straggler. The limit: extra attempts come out of
//! one budget, and are made only while waiting pieces wait for less than the
//! hedge delay: under saturation there are none.

use std::time::Duration;

use crate::latency::ServiceTimes;
use crate::time::micros;

/// Limits of hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// While the budget is full, the delay is so many times the 90th
    /// percentile of the service time. The 90th, because stragglers up to a
    /// tenth of requests do not move it; a higher one becomes the stragglers'
    /// own time and the hedge comes too late. 1.25 times, because about one
    /// ordinary request in a hundred takes so long.
    pub eager_factor: f64,
    /// And so many times when it is nearly spent. 2: hardly an ordinary request
    /// takes so long, so that what is left goes to stragglers.
    pub patient_factor: f64,
    /// Never sooner than this. 1 ms: twice the way between zones, so that a
    /// hedge is not spent on the network.
    pub min_delay: Duration,
    /// Attempts of one piece that may be on their way at once. 3: a second
    /// straggler in a row happens in a query of 20 shards once in 500 when 1 %
    /// straggle and once in 20 when 5 % do, a third once in 400.
    pub most_attempts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            eager_factor: 1.25,
            patient_factor: 2.0,
            min_delay: Duration::from_millis(1),
            most_attempts: 3,
        }
    }
}

/// The delay after which an attempt counts as slow, in microseconds. `fullness`
/// is how much of the budget for hedges is left, 0 to 1; `cost` is the average
/// slot time of the caller's work. The second hedge of a piece is always eager:
/// few pieces come to it, and each is the slowest of its query.
pub(crate) fn delay(times: &ServiceTimes, cost: u64, fullness: f64, options: Options) -> u64 {
    let spread = options.patient_factor - options.eager_factor;
    let factor = options.eager_factor + (1.0 - fullness) * spread;
    let delay = times.p90() as f64 * factor * stretch(times, cost);
    (delay as u64).max(micros(options.min_delay))
}

/// How much longer than usual a caller's work takes, when it is long work: the
/// shard's quantiles say nothing of it, and hedging it would spend the budget
/// on requests that are not late.
fn stretch(times: &ServiceTimes, cost: u64) -> f64 {
    let ratio = cost as f64 / times.median().max(1) as f64;
    if ratio > LONG_WORK { ratio } else { 1.0 }
}

/// Averages up to this many times the shard's median come from stragglers: at
/// 5 % of 20 times the median the average is twice the median, and wanders.
const LONG_WORK: f64 = 4.0;
