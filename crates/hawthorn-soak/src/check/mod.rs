//! The promises that a history must keep.
//!
//! Only what callers, targets and the store saw counts. The bounds are those that the hosts'
//! settings and the platform state.

mod answers;
mod budget;
mod configuration;
mod hosts;
mod once;
mod quota;
mod stops;
mod volume;

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::EnumIter;

use crate::catalog::RouteKind;
use crate::history::HostKey;
use crate::history::RequestKey;
use crate::history::SentRequest;
use crate::history::SoakHistory;
use crate::history::TargetArrival;
use crate::plan::SoakPlan;

/// Time without disruption after which a host is in touch.
pub const STABILITY: Duration = Duration::from_secs(4);
/// Time in which a host in touch applies a version.
pub const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time in which a host in touch applies an evacuation.
pub const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// What a history may violate.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    EnumIter,
    strum::Display,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A request that runs at most once ran twice.
    Twice,
    /// A request that was answered as not run has run.
    FalseRefusal,
    /// An answer is not that of the request's own target, or not whole.
    Mixed,
    /// A merged answer states parts or records that it does not have.
    Coverage,
    /// A target got a request that no caller sent, or not as it was sent.
    Unasked,
    /// A stopping host ended a connection without an answer.
    Lost,
    /// A request ran at a service to which no version allows it, or for a key that none holds.
    Misrouted,
    /// A request was handled as only an older version allows.
    StaleVersion,
    /// A host handled a request by a version older than one that it had in force.
    VersionReverted,
    /// A request ran for a key that had been revoked in time.
    RevokedKey,
    /// A target got a request after it had drained.
    Drained,
    /// A target of an evacuated zone got a request.
    Evacuated,
    /// A customer's requests ran beyond its quota.
    Quota,
    /// Extra attempts exceeded the budget.
    Budget,
    /// Requests ran on more targets than their route allows.
    Attempts,
    /// Targets were given more time than the callers have.
    Deadline,
    /// A host's process ended by itself.
    Exit,
    /// A task of a host panicked.
    Panic,
    /// A host did not answer its readiness probe.
    Unresponsive,
    /// A host's memory or descriptors did not come back after the faults.
    Leak,
    /// Too little ran for a verdict.
    Volume,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it was broken.
    pub at: Duration,
    /// The request that shows it, if it is one.
    pub request: Option<RequestKey>,
    /// The host that shows it, if it is one.
    pub host: Option<HostKey>,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s, {}", self.at.as_secs_f64(), self.promise)?;
        if let Some(request) = self.request {
            write!(f, ", request {}", request.attempt_id())?;
        }
        if let Some(host) = self.host {
            write!(f, ", host {}", host.0)?;
        }
        write!(f, ": {}", self.detail)
    }
}

/// All violations of a history, in the order of their times.
pub fn check(history: &SoakHistory, plan: &SoakPlan) -> Vec<Violation> {
    let view = HistoryView::new(history, plan);
    let checks: [fn(&HistoryView<'_>) -> Vec<Violation>; 8] = [
        once::check,
        answers::check,
        stops::check,
        configuration::check,
        quota::check,
        budget::check,
        hosts::check,
        volume::check,
    ];
    let mut violations: Vec<Violation> = checks.iter().flat_map(|check| check(&view)).collect();
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// A history with the arrivals of each request.
struct HistoryView<'a> {
    history: &'a SoakHistory,
    plan: &'a SoakPlan,
    arrivals: HashMap<RequestKey, Vec<&'a TargetArrival>>,
}

impl<'a> HistoryView<'a> {
    fn new(history: &'a SoakHistory, plan: &'a SoakPlan) -> Self {
        let mut arrivals: HashMap<RequestKey, Vec<&TargetArrival>> = HashMap::new();
        for arrival in &history.arrivals {
            if let Some(request) = arrival.request {
                arrivals.entry(request).or_default().push(arrival);
            }
        }
        Self { history, plan, arrivals }
    }

    /// The arrivals of a request, in the order of their times.
    fn arrivals(&self, request: RequestKey) -> &[&'a TargetArrival] {
        self.arrivals.get(&request).map_or(&[], Vec::as_slice)
    }

    /// The arrivals of a request that ran.
    fn runs(&self, request: RequestKey) -> impl Iterator<Item = &'a TargetArrival> {
        self.arrivals(request).iter().copied().filter(|arrival| arrival.outcome.ran_at().is_some())
    }

    /// All requests with their keys.
    fn requests(&self) -> impl Iterator<Item = (RequestKey, &'a SentRequest)> {
        let requests = self.history.requests.iter().enumerate();
        requests.map(|(number, request)| (RequestKey(number as u32), request))
    }

    /// Whether the hosts that handle a request were in touch from its sending to a time. Any host
    /// may gather a part of a query.
    fn in_touch(&self, host: HostKey, route: RouteKind, sent: Duration, until: Duration) -> bool {
        let from = sent.saturating_sub(STABILITY);
        let host = (route != RouteKind::Gathered).then_some(host);
        !self.history.is_disrupted(host, from, until)
    }
}
