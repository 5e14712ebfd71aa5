//! When a second attempt is worth making.
//!
//! The load it is for: one to five requests in a hundred take twenty times as
//! long, and a query is as slow as its slowest shard. The harm it prevents:
//! most queries waiting for a straggler. The limit: extra attempts come out of
//! one budget, and only ever take slots that nothing waits for.

use std::time::Duration;

use crate::latency::ServiceTimes;

/// Limits of hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The delay is so many times the 90th percentile of the service time.
    /// The 90th, because stragglers up to a tenth of requests do not move it;
    /// a higher one becomes the stragglers' own time and the hedge comes too
    /// late. 1.5 times, because ordinary requests rarely take so long.
    pub delay_factor: f64,
    /// Never sooner than this. 1 ms: twice the way between zones, so that a
    /// hedge is not spent on the network.
    pub least_delay: Duration,
    /// Attempts of one piece that may be on their way at once. 3: a second
    /// straggler in a row happens in a query of 20 shards once in 500 when 1 %
    /// straggle and once in 20 when 5 % do, a third once in 400.
    pub most_attempts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { delay_factor: 1.5, least_delay: Duration::from_millis(1), most_attempts: 3 }
    }
}

/// The delay after which an attempt counts as slow, in microseconds.
pub(crate) fn delay(times: &ServiceTimes, options: Options) -> u64 {
    let delay = times.ninetieth() as f64 * options.delay_factor;
    (delay as u64).max(crate::time::micros(options.least_delay))
}
