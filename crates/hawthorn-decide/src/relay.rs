//! When a piece is relayed to another zone's owner, as a hedge across zones.
//!
//! Replicas of a shard are placed in different zones so that the shard survives the loss of a zone.
//! An owner holds only targets of its own zone, often a single replica of a shard, and cannot hedge
//! against that target being slow. Another zone's owner can.
//!
//! Relays handle stragglers (one to five attempts in a hundred that take twenty times as long) and
//! a target that is slow throughout; without them, every query waits for that target. Each relay is
//! paid for from the shared budget for extra attempts, and the other owner accepts it only into a
//! slot that is free at that moment, so that relays never lengthen a queue.

use std::time::Duration;

/// Limits of relays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Relay delay as a multiple of the 90th percentile of the shard's service time, counted from
    /// the arrival of the piece. The same factor as for a hedge between replicas of one zone.
    pub delay_factor: f64,
    /// Lower bound of the delay, so that no round trip between zones is spent on pieces that are
    /// about to be answered.
    pub min_delay: Duration,
    /// Delay while the shard's service time is unknown.
    pub unknown_delay: Duration,
    /// Upper bound of the delay as a multiple of the service time in the other zone. If this zone's
    /// only replica is slow throughout, its own quantiles would delay every relay until its answer.
    pub other_zone_factor: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            delay_factor: 1.25,
            min_delay: Duration::from_millis(3),
            unknown_delay: Duration::from_millis(10),
            other_zone_factor: 3,
        }
    }
}

/// Time from the arrival of a piece to its relay, given the 90th percentile of its shard's service
/// time in this zone and the typical service time in the other zone (each zero if unknown).
pub fn delay(p90: Duration, other_zone: Duration, options: &Options) -> Duration {
    let own = match p90.is_zero() {
        true => options.unknown_delay,
        false => p90.mul_f64(options.delay_factor),
    };
    let max_delay = match other_zone.is_zero() {
        true => own,
        false => other_zone * options.other_zone_factor,
    };
    own.min(max_delay).max(options.min_delay)
}

/// Whether an owner accepts a piece that another zone's owner relays, given its expected wait.
///
/// Only a wait of zero is accepted: under saturation relays would move queues from zone to zone and
/// every piece would run twice.
pub fn may_accept(expected_wait: Duration) -> bool {
    expected_wait.is_zero()
}
