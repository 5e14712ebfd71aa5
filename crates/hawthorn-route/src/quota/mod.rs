//! Limits on customers' requests over all hosts.
//!
//! Handles customers that exceed their rate while hosts are partitioned, killed and restarted. A
//! request needs a token. Each zone has a slot in the store, whose holder grants tokens from a
//! share of the quota of the customers that use the slot; see [`share`](crate::share).
//!
//! - [`QuotaShare`] divides a customer's limit into equal shares, as many as it has room for:
//!   each share must be able to hold a token, and one more for a restart of its holder.
//! - [`slots`] claims slots and decides how full the buckets of a new holder are.
//! - [`holder`] grants tokens.
//! - [`asker`] keeps granted tokens for a short time and decides which holders are asked.

pub mod asker;
pub mod holder;
pub mod slots;

use std::time::Duration;

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::customer::CustomerQuota;

/// How long after the request for it a token may be used.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// Part of the window that is added to it for clocks that run at different rates.
const CLOCK_MARGIN: f64 = 0.01;
/// Maximum part by which shares are refilled faster than the rate. A zone's demand is not exactly
/// its share, and a bucket that is refilled just as fast as it is used is often empty.
const MAX_EXCESS: f64 = 0.02;
/// Requests beyond the quota for which a customer gets one share more: half of them for the
/// bucket, and a quarter for each of two new holders in a window, which is one token.
const SPARE_PER_SHARE: f64 = 4.0;

/// Whether quotas are enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Off: no request needs a token.
    pub on: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { on: true }
    }
}

/// How far quotas may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimits {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share of the quota by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl QuotaLimits {
    /// Requests of a customer that may run in any window. At least one, as otherwise no request
    /// of a customer with a very low rate could ever run.
    pub fn limit(&self, quota: CustomerQuota) -> f64 {
        let within = quota.rate * self.window.as_secs_f64() + quota.burst;
        (within * (1.0 + self.overshoot) + self.slack).max(1.0)
    }

    /// The time in which a holder's grants count: tokens granted before the window may be used
    /// in it.
    pub fn counted(&self) -> Duration {
        self.window.mul_f64(1.0 + CLOCK_MARGIN) + TOKEN_LIFETIME
    }
}

/// One of the equal shares of a customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// Number of shares.
    pub count: u32,
    /// Tokens per second.
    pub refill: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
    /// Tokens of a new holder.
    pub allowance: f64,
}

impl QuotaShare {
    /// The shares of a customer's quota over a number of slots.
    pub fn of(quota: CustomerQuota, limits: &QuotaLimits, slots: u32) -> Self {
        let counted = limits.counted().as_secs_f64();
        let limit = limits.limit(quota);
        let margin = counted / limits.window.as_secs_f64() - 1.0;
        let excess = ((limits.overshoot - margin) / 2.0).clamp(0.0, MAX_EXCESS);
        let rate = quota.rate * (1.0 + excess);
        let spare = limit - rate * counted - quota.burst;
        let count = ((spare / SPARE_PER_SHARE) as u32).clamp(1, slots.max(1));
        let parts = f64::from(count);
        let (limit, rate) = (limit / parts, rate / parts);
        let spare = (spare / parts).max(0.0);
        let allowance = (spare / 8.0).max(1.0).min(spare / 4.0);
        // Grants are whole, so a share grants at most the integer part of capacity and refill.
        let most = limit.floor() + 1.0 - CLOCK_MARGIN;
        let capacity = (quota.burst / parts + spare - allowance * 2.0).max(1.0);
        let capacity = capacity.min(limit.floor().max(1.0));
        let unused = (most - capacity - rate * counted).max(0.0);
        let allowance = allowance.min(unused / 2.0);
        let refill = rate.min((most - capacity - allowance * 2.0) / counted);
        Self { count, refill, capacity, allowance }
    }

    /// Whether a customer has a share at a slot. Customers with fewer shares than there are
    /// slots use different ones, which are spread evenly over the zones, so that either side of a
    /// partition has about its part.
    pub fn uses(&self, customer: &str, slot: u32, slots: u32) -> bool {
        let (slots, count) = (u64::from(slots.max(1)), u64::from(self.count));
        let position = (u64::from(slot) + xxh3_64(customer.as_bytes()) % slots) % slots;
        position * count % slots < count
    }
}
