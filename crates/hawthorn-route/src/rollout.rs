//! When a version of the routes comes into force on a host.
//!
//! Load: hosts of a zone learn of a version over some hundred milliseconds, while they hand
//! their queries to the zone's gatherers. A gatherer that is asked for a version it does not
//! have yet gathers nothing, and the query is refused. So the hosts that gather apply a
//! version at once and keep the ones before it, and the others apply it a little later.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Limits of the rollout.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// How much later hosts that do not gather apply a version: the time in which a zone's
    /// hosts learn of it, and far less than that in which it has to be in force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { hold: Duration::from_millis(600) }
    }
}

/// How long a host waits before it applies a version. A host without any applies its first
/// one at once.
pub fn delay(gathers: bool, has_version: bool, options: &Options) -> Duration {
    if gathers || !has_version { Duration::ZERO } else { options.hold }
}

/// Versions that are known and not yet in force, the oldest first.
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

    /// Takes the versions that are due, the oldest first.
    pub fn take_due(&mut self, now: Duration) -> Vec<T> {
        let mut due = Vec::new();
        while self.versions.front().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.versions.pop_front().map(|(_, version)| version));
        }
        due
    }

    /// When the next version is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.versions.front().map(|(due, _)| *due)
    }
}
