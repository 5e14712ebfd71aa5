//! When a version of the routes comes into force on a host.
//!
//! A version reaches the hosts of a zone over several hundred milliseconds, while they delegate
//! queries to the zone's gatherers. A gatherer rejects a query that was planned with a version
//! it does not have yet. Gatherers therefore apply a version at once and keep the previous
//! ones, and all other hosts apply it after a delay.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Settings of the rollout.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Delay after which hosts that do not gather apply a version. It covers the time in which
    /// a version reaches all hosts of a zone, and is far below the time within which a version
    /// must be in force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { hold: Duration::from_millis(600) }
    }
}

/// How long a host waits before it applies a version. A host without any version applies its
/// first one at once.
pub fn delay(gathers: bool, has_version: bool, options: &Options) -> Duration {
    if gathers || !has_version { Duration::ZERO } else { options.hold }
}

/// Versions that are known but not yet in force, oldest first.
#[derive(Debug)]
pub struct PendingVersions<T> {
    versions: VecDeque<(Duration, T)>,
}

impl<T> Default for PendingVersions<T> {
    fn default() -> Self {
        Self { versions: VecDeque::new() }
    }
}

impl<T> PendingVersions<T> {
    /// Adds a version that comes into force at `due`.
    pub fn push(&mut self, due: Duration, version: T) {
        self.versions.push_back((due, version));
    }

    /// Removes and returns the versions that are due, oldest first.
    pub fn take_due(&mut self, now: Duration) -> Vec<T> {
        let mut due = Vec::new();
        while self.versions.front().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.versions.pop_front().map(|(_, version)| version));
        }
        due
    }

    /// When the newest version is due.
    pub fn last_due(&self) -> Option<Duration> {
        self.versions.back().map(|(due, _)| *due)
    }

    /// When the next version is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.versions.front().map(|(due, _)| *due)
    }
}
