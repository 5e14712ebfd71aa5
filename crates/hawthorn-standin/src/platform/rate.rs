//! A token bucket over given times.

use std::time::Duration;

/// Calls a second, with bursts up to a tenth of a second's worth and of at
/// least one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRate {
    per_second: f64,
    burst: f64,
    tokens: f64,
    seen: Duration,
}

/// The part of a second whose calls may come at once.
const BURST_SECONDS: f64 = 0.1;

impl CallRate {
    /// A full bucket of `per_second` calls a second.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        let burst = (per_second * BURST_SECONDS).max(1.0);
        Self { per_second, burst, tokens: burst, seen: Duration::ZERO }
    }

    /// Takes one call at `now`, time since the platform started; false when over the rate.
    pub fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.seen).as_secs_f64();
        self.seen = self.seen.max(now);
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
