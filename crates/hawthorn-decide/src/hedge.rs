//! When a hedged request is sent.
//!
//! One to five requests in a hundred take twenty times as long, and a query is as slow as its
//! slowest shard, so without hedges most queries wait for a straggler. Hedges are paid for from the
//! budget for extra attempts, and are sent only while the queueing delay is below the hedge delay,
//! so that there are none under saturation.

use std::time::Duration;

use crate::latency::ServiceTimes;
use crate::time::micros;

/// Limits of hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Hedge delay with a full budget, as a multiple of the 90th percentile of the service time.
    /// The 90th, as it is unaffected by stragglers of up to a tenth of the requests; a higher
    /// percentile can become the service time of stragglers, and hedges would come too late.
    /// 1.25: about one ordinary request in a hundred takes as long.
    pub full_budget_factor: f64,
    /// The multiple when the budget is nearly spent. 2: almost no ordinary request takes as long,
    /// so that the remaining tokens go to stragglers.
    pub low_budget_factor: f64,
    /// Lower bound of the delay. 1 ms: twice the latency between zones, so that network latency
    /// triggers no hedge.
    pub min_delay: Duration,
    /// Maximum attempts of one piece in flight. 3: in a query of 20 shards, two stragglers in a
    /// row occur once in 500 queries if 1 % of requests are stragglers, and once in 20 if 5 % are;
    /// three in a row then occur once in 400.
    pub max_attempts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            full_budget_factor: 1.25,
            low_budget_factor: 2.0,
            min_delay: Duration::from_millis(1),
            max_attempts: 3,
        }
    }
}

/// The delay after which an attempt is hedged, in microseconds.
///
/// `fullness` is the fraction of the hedge budget that is left, 0 to 1, and `cost` the average slot
/// time of the caller's work. Callers pass a fullness of 1 for the second hedge of a piece: few
/// pieces need one, and each of them is the slowest of its query.
pub(crate) fn delay(times: &ServiceTimes, cost: u64, fullness: f64, options: Options) -> u64 {
    let spread = options.low_budget_factor - options.full_budget_factor;
    let factor = options.full_budget_factor + (1.0 - fullness) * spread;
    let delay = times.p90() as f64 * factor * long_work_scale(times, cost);
    (delay as u64).max(micros(options.min_delay))
}

/// Factor on the delay for callers whose work takes much longer than the shard's median. The
/// shard's quantiles do not describe such work, and hedging by them would spend the budget on
/// requests that are not late.
fn long_work_scale(times: &ServiceTimes, cost: u64) -> f64 {
    let ratio = cost as f64 / times.median().max(1) as f64;
    if ratio > LONG_WORK_RATIO { ratio } else { 1.0 }
}

/// Averages up to this multiple of the shard's median can be due to stragglers: with 5 % of the
/// requests at 20 times the median, the average varies around twice the median.
const LONG_WORK_RATIO: f64 = 4.0;
