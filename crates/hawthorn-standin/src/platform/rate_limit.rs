//! Token bucket with times passed in.

use std::time::Duration;

/// Limits calls per second. Bursts are limited to the calls of a tenth of a second,
/// but at least one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiter {
    per_second: f64,
    burst: f64,
    tokens: f64,
    updated: Duration,
}

/// Maximum burst, as the number of seconds whose calls may arrive at once.
const BURST_SECONDS: f64 = 0.1;

impl RateLimiter {
    /// A full bucket that allows `per_second` calls per second.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        let burst = (per_second * BURST_SECONDS).max(1.0);
        Self { per_second, burst, tokens: burst, updated: Duration::ZERO }
    }

    /// Takes a token for a call at `now`, the time since the platform started. Returns
    /// false when no token is left.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
