//! The budget for extra attempts, shared by hedges and retries.
//!
//! When many targets slow down or fail together, unbounded extra attempts add load that keeps them
//! slow after the cause has gone (a retry storm). The budget bounds that load.

/// Limits of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Extra attempts allowed per first attempt. 0.05: targets have more than a twentieth of their
    /// capacity to spare, so extra attempts do not overload them.
    pub share: f64,
    /// Extra attempts that can accumulate. 64: about the work in flight at one zone's half of a
    /// service (32 targets of 2 slots), all of which can be retried if it is lost at once.
    pub burst: f64,
    /// Part of the burst reserved for retries: without a hedge a shard is slow, without a retry it
    /// is missing. 16: the slots of a rack of 8 targets.
    pub retry_reserve: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { share: 0.05, burst: 64.0, retry_reserve: 16.0 }
    }
}

/// A token bucket for extra attempts. Over any period, extra attempts number at most `share` of
/// the first attempts plus `burst`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: Options,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(options: Options) -> Self {
        Self { options, tokens: options.burst }
    }

    /// Adds the `share` of a token that a first attempt earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.options.share).min(self.options.burst);
    }

    /// Takes a token for a retry; returns false if none is left.
    pub fn spend_retry(&mut self) -> bool {
        self.spend(0.0)
    }

    /// Takes a token for a hedge; returns false if only the reserve for retries is left.
    pub fn spend_hedge(&mut self) -> bool {
        self.spend(self.options.retry_reserve)
    }

    /// The fraction, 0 to 1, that is left of the tokens available to hedges.
    pub fn fullness(&self) -> f64 {
        let left = self.tokens - self.options.retry_reserve;
        let capacity = self.options.burst - self.options.retry_reserve;
        if capacity > 0.0 { (left / capacity).clamp(0.0, 1.0) } else { 0.0 }
    }

    fn spend(&mut self, reserve: f64) -> bool {
        if self.tokens < reserve + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
