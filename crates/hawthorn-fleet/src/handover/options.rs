//! Times and sizes of the hand-over.

use std::time::Duration;

use crate::ownership;

/// Times and sizes of the hand-over.
#[derive(Clone, Debug)]
pub struct Options {
    /// Buckets of a zone.
    pub buckets: u16,
    /// How long a new owner stays at half after the former was held for dead.
    /// Longer than a cut-off host needs to notice (600 ms of silence) plus the
    /// longest request that it may still run.
    pub dead_window: Duration,
    /// How long a former owner goes on at half for fronts that have not heard.
    /// A rumor reaches a zone of 160 hosts within this time.
    pub yield_window: Duration,
    /// Between requests to let go.
    pub request_interval: Duration,
    /// Between first requests, while the new owner may use nothing yet.
    pub initial_request_interval: Duration,
    /// How long a new owner waits with no slot for a live former owner to say
    /// that it is at half. Longer than a dead one takes to be found out.
    pub acknowledgement_timeout: Duration,
    /// How long a new owner waits for a live former owner that never lets go.
    pub release_timeout: Duration,
    /// How long another host's claim keeps an owner at half.
    pub contest_window: Duration,
    /// How long dead hosts of the zone count when a daemon asks itself whether
    /// it is in the smaller part of a split zone.
    pub partition_window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            buckets: ownership::DEFAULT_BUCKETS,
            dead_window: Duration::from_secs(3),
            yield_window: Duration::from_secs(1),
            request_interval: Duration::from_millis(500),
            initial_request_interval: Duration::from_millis(50),
            acknowledgement_timeout: Duration::from_secs(3),
            release_timeout: Duration::from_secs(30),
            contest_window: Duration::from_secs(2),
            partition_window: Duration::from_secs(30),
        }
    }
}
