//! Limits the requests that cold targets receive.
//!
//! Handles targets of a zone that start, or return from an evacuation, and crash if they receive
//! more than a few requests a second before they are warm. The limit holds for the sum over all
//! hosts, including those that are partitioned from each other.
//!
//! - Warm targets are preferred; a query may omit a shard whose targets are all cold.
//! - Only hosts of a cold target's own zone send to it, and of these only the holders of
//!   the zone's [`SLOTS`] slots in the store. Each slot grants a fixed part of the
//!   limit, so that the sum holds however much hosts know of each other.
//! - A slot is valid for a short time after the write that confirmed its holder, and
//!   no other host claims it before that time is over; see [`claim`].

pub mod claim;
mod meter;

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;

use crate::document::ServiceRule;
use crate::share;
use crate::target::TargetState;

pub use crate::share::SlotRight;
pub use meter::SendMeter;

/// Slots of a zone. With several, several gatherers can each use a part of the limit, and a
/// killed one blocks only its own part.
pub const SLOTS: u32 = 4;

/// How long a host continues to claim a slot after it last needed one.
const WANT_TIME: Duration = Duration::from_secs(2);

/// How far the rate that a service states for its cold targets may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Requests per second in addition to that.
    pub slack: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

impl Options {
    /// Requests that a cold target may receive in any second, from all hosts together.
    pub fn limit(&self, rate: f64) -> u32 {
        (rate * self.overshoot + self.slack) as u32
    }
}

/// The part of a limit that the holder of a slot may use.
pub fn part(limit: u32, slot: u32) -> u32 {
    share::part(limit, slot, SLOTS)
}

/// The configured limit of a service's cold targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceLimit {
    Unlimited,
    PerSecond(u32),
}

/// Decides which requests may be sent to cold targets.
#[derive(Clone, Debug, Default)]
pub struct ColdAdmission {
    limits: Option<HashMap<String, ServiceLimit>>,
    right: Option<SlotRight>,
    wanted: Cell<Option<Duration>>,
}

impl ColdAdmission {
    /// Applies a version of the configuration. A rate of 0 is invalid and leaves the
    /// previous one in force. Returns the services with such a rate.
    pub fn configure(&mut self, services: &[ServiceRule], options: &Options) -> Vec<String> {
        let before = self.limits.take().unwrap_or_default();
        let mut limits = HashMap::new();
        let mut kept = Vec::new();
        for service in services {
            let limit = match service.cold_rate {
                Some(rate) if rate > 0.0 => ServiceLimit::PerSecond(options.limit(rate)),
                None => ServiceLimit::Unlimited,
                Some(_) => {
                    let limit = before.get(&service.name).copied();
                    if matches!(limit, Some(ServiceLimit::PerSecond(_))) {
                        kept.push(service.name.clone());
                    }
                    limit.unwrap_or(ServiceLimit::Unlimited)
                }
            };
            limits.insert(service.name.clone(), limit);
        }
        self.limits = Some(limits);
        kept
    }

    /// The limit of a target while it is cold; `None` if it is warm or has none. A service
    /// that the configuration does not name has a limit of 0.
    pub fn limit(&self, state: &TargetState, now: Duration) -> Option<u32> {
        if now < state.cold_until { self.service_limit(&state.entry.service) } else { None }
    }

    /// The limit of a service's targets while they are cold; see [`ColdAdmission::limit`].
    pub fn service_limit(&self, service: &str) -> Option<u32> {
        match self.limits.as_ref()?.get(service) {
            Some(ServiceLimit::Unlimited) => None,
            Some(ServiceLimit::PerSecond(limit)) => Some(*limit),
            None => Some(0),
        }
    }

    /// Whether a target may receive a request from this host now. All targets that this
    /// host may hold a slot for are in its zone.
    pub fn admits(&self, state: &TargetState, zone: &str, now: Duration) -> bool {
        let Some(limit) = self.limit(state, now) else { return true };
        if *state.entry.zone != *zone {
            return false;
        }
        let right = self.right.filter(|right| now < right.until);
        right.is_some_and(|right| state.cold_sends.count(now) < part(limit, right.slot))
    }

    /// Records that a request found only cold targets.
    pub fn want(&self, now: Duration) {
        self.wanted.set(Some(now));
    }

    /// Whether a request found only cold targets recently.
    pub fn is_wanted(&self, now: Duration) -> bool {
        self.wanted.get().is_some_and(|at| now < at + WANT_TIME)
    }

    /// Sets the slot that this host holds.
    pub fn set_right(&mut self, right: Option<SlotRight>) {
        self.right = right;
    }
}
