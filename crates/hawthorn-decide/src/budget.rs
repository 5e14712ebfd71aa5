//! One budget for all extra attempts, hedges and retries alike.
//!
//! The load it is for: targets that slow down or fail together. The harm it
//! prevents: a tier that answers slowness with more requests, and so keeps the
//! targets slow after the cause has gone.

/// Limits of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Extra attempts allowed for each first attempt. 0.05: targets are sized
    /// with more than a twentieth to spare, so the extra never tips them over.
    pub share: f64,
    /// Extra attempts that can be saved up. 64: about the work in flight at
    /// one zone's half of a service (32 targets of 2 slots), so that losing as
    /// much at once still loses no shard.
    pub burst: f64,
    /// Part of the burst that only retries may use. A hedge not made is a slow
    /// shard, a retry not made is a missing one. 16: a rack of 8 targets.
    pub retry_reserve: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { share: 0.05, burst: 64.0, retry_reserve: 16.0 }
    }
}

/// Tokens for extra attempts. Over any time, extra attempts are at most
/// `share` of the first attempts plus `burst`.
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

    /// A first attempt was sent.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.options.share).min(self.options.burst);
    }

    /// Takes a token for a retry; false when none is left.
    pub fn spend_retry(&mut self) -> bool {
        self.spend(0.0)
    }

    /// Takes a token for a hedge; false when only the retries' reserve is left.
    pub fn spend_hedge(&mut self) -> bool {
        self.spend(self.options.retry_reserve)
    }

    /// How much of what hedges may use is left, 0 to 1.
    pub fn fullness(&self) -> f64 {
        let left = self.tokens - self.options.retry_reserve;
        let whole = self.options.burst - self.options.retry_reserve;
        if whole > 0.0 { (left / whole).clamp(0.0, 1.0) } else { 0.0 }
    }

    fn spend(&mut self, keep: f64) -> bool {
        if self.tokens < keep + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
