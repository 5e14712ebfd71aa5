//! Options of the handover.

use std::time::Duration;

use crate::ownership;

/// Windows, intervals and sizes of the handover.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of buckets of a zone.
    pub buckets: u16,
    /// How long a new owner stays at half after the former owner was declared dead. Longer than an
    /// isolated host needs to detect its isolation (600 ms of silence) plus the longest request
    /// that it may still run.
    pub dead_window: Duration,
    /// How long a former owner continues at half for fronts that don't know yet. Gossip reaches
    /// all hosts of a zone of 160 within this time.
    pub yield_window: Duration,
    /// Interval between requests to release.
    pub request_interval: Duration,
    /// Interval between the first requests, while the new owner may use nothing yet.
    pub initial_request_interval: Duration,
    /// How long a new owner waits without slots for a live former owner to acknowledge that it is
    /// at half. Longer than the detection of a dead one takes.
    pub acknowledgement_timeout: Duration,
    /// How long a new owner waits for a live former owner to release.
    pub release_timeout: Duration,
    /// How long another host's ownership request keeps an owner at half.
    pub contest_window: Duration,
    /// How long dead hosts of the zone count in the decision whether this daemon is in the minority
    /// of a partitioned zone.
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
