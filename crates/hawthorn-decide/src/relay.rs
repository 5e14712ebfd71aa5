//! When a piece gets a second chance at another zone's owner.
//!
//! Replicas of a shard stand in different zones so that a zone can be lost. An
//! owner holds its own zone's targets alone, often one replica of a shard, and
//! cannot hedge against that one target being slow. Another zone's owner can.
//!
//! The load it is for: one to five attempts in a hundred take twenty times as
//! long, or one target is slow altogether. The harm prevented: every query
//! waiting for that target. The limits: each relay is paid for from the one
//! budget for extra attempts, and the other owner takes it only into a slot
//! that is free at that moment, so that relays never add to a queue.

use std::time::Duration;

/// Limits of relays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// A piece is relayed so many times the 90th percentile of its shard's
    /// service time after it came in. 1.5, as for a hedge between replicas of
    /// one zone.
    pub delay_factor: f64,
    /// Never sooner than this: the way to the other zone and back would
    /// otherwise be spent on pieces about to be answered.
    pub min_delay: Duration,
    /// The delay while the shard's service time is not known yet.
    pub unknown_delay: Duration,
    /// Never later than so many times what a search takes in the other zone:
    /// where this zone's only replica is slow altogether, its own quantiles
    /// would make every relay as late as its answers.
    pub other_factor: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            delay_factor: 1.25,
            min_delay: Duration::from_millis(3),
            unknown_delay: Duration::from_millis(10),
            other_factor: 3,
        }
    }
}

/// How long after it came in a piece is relayed, given the 90th percentile of
/// its shard's service time here and what a search mostly takes in the other
/// zone (each zero when unknown).
pub fn delay(p90: Duration, other: Duration, options: &Options) -> Duration {
    let own = match p90.is_zero() {
        true => options.unknown_delay,
        false => p90.mul_f64(options.delay_factor),
    };
    let most = match other.is_zero() {
        true => own,
        false => other * options.other_factor,
    };
    own.min(most).max(options.min_delay)
}

/// Whether an owner takes a piece that another owner relays.
///
/// Harm prevented: in saturation relays would move queues from zone to zone and
/// every piece would be worked on twice. Only a wait of nothing will do.
pub fn may_accept(expected_wait: Duration) -> bool {
    expected_wait.is_zero()
}
