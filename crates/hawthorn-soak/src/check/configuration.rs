//! The configuration, evacuations and drains that are in force where a request is handled.

use std::collections::HashMap;
use std::time::Duration;

use super::APPLY_TIME;
use super::EVACUATION_TIME;
use super::HistoryView;
use super::Promise;
use super::STABILITY;
use super::Violation;
use crate::catalog::RouteKind;
use crate::catalog::SoakVersion;
use crate::catalog::customer_name;
use crate::history::ArrivalOutcome;
use crate::history::EndKind;
use crate::history::HostEventKind;
use crate::history::HostKey;
use crate::history::RequestKey;
use crate::history::SentRequest;
use crate::history::TargetArrival;
use crate::history::WrittenVersion;
use crate::host::DRAIN_TIME;
use crate::host::REVOKE_TIME;

/// Time after which a host no longer handles requests by an older version than one whose effect a
/// target has seen.
const REVERT_SLACK: Duration = Duration::from_millis(250);
/// That time on a host that is disturbed, in multiples.
const DISTURBED_SLACK: u32 = 8;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, request) in view.requests() {
        for arrival in view.arrivals(key) {
            let run = RequestRun { view, key, request, arrival };
            let faults = [run.leaving_fault(), run.version_fault(), run.key_fault()];
            violations.extend(faults.into_iter().flatten());
        }
        violations.extend(refusal_fault(view, key, request));
    }
    violations.extend(reverts(view));
    violations
}

/// An arrival of a request at a target.
struct RequestRun<'a> {
    view: &'a HistoryView<'a>,
    key: RequestKey,
    request: &'a SentRequest,
    arrival: &'a TargetArrival,
}

impl RequestRun<'_> {
    fn violation(&self, promise: Promise, detail: String) -> Violation {
        Violation {
            promise,
            at: self.arrival.at,
            request: Some(self.key),
            host: Some(self.request.host),
            detail,
        }
    }

    fn in_touch_since(&self, from: Duration) -> bool {
        self.view.in_touch(self.request.host, self.request.route, from, self.arrival.at)
    }

    /// The target had drained, or its zone was evacuated.
    fn leaving_fault(&self) -> Option<Violation> {
        let at = self.arrival.at;
        if self.arrival.outcome == ArrivalOutcome::Misdirected {
            return None;
        }
        let target = self.view.history.targets.get(usize::from(self.arrival.target.0))?;
        if let Some(leaving) = target.leaving.filter(|leaving| at > *leaving + DRAIN_TIME)
            && self.in_touch_since(leaving)
        {
            let after = at.saturating_sub(leaving).as_millis();
            let detail = format!("{} left {after} ms before", self.arrival.target.id());
            return Some(self.violation(Promise::Drained, detail));
        }
        let evacuation = self.view.history.evacuations.iter().find(|evacuation| {
            evacuation.zone == target.zone
                && at > evacuation.from + EVACUATION_TIME
                && evacuation.until.is_none_or(|until| at < until)
        })?;
        let after = at.saturating_sub(evacuation.from).as_millis();
        let detail = format!("{} was evacuated {after} ms before", target.zone);
        self.in_touch_since(evacuation.from).then(|| self.violation(Promise::Evacuated, detail))
    }

    /// The service is not one to which a version in force allows the request.
    fn version_fault(&self) -> Option<Violation> {
        self.arrival.outcome.ran_at()?;
        let service = self.view.history.service(self.arrival.target);
        let allows = |version: &SoakVersion| version.allows(self.request.route, service);
        let known = versions_until(self.view, self.arrival.at);
        if !known.iter().any(|written| allows(&written.version)) {
            let detail = format!("{} ran at {service}", self.request.route);
            return Some(self.violation(Promise::Misrouted, detail));
        }
        let in_force = in_force(self.view, self.request, self.arrival.at);
        let detail = format!("{} ran at {service}", self.request.route);
        let is_stale = !in_force.iter().any(|written| allows(&written.version));
        is_stale.then(|| self.violation(Promise::StaleVersion, detail))
    }

    /// The caller's key is none that a version in force holds, or the target was not told of it as
    /// it should be.
    fn key_fault(&self) -> Option<Violation> {
        self.arrival.outcome.ran_at()?;
        if self.arrival.has_key {
            let detail = "the key was passed on".to_owned();
            return Some(self.violation(Promise::Unasked, detail));
        }
        let Some(api_key) = &self.request.api_key else {
            let detail = format!("customer {:?} without a key", self.arrival.customer);
            let is_named = self.arrival.customer.is_some();
            return is_named.then(|| self.violation(Promise::Unasked, detail));
        };
        let at = self.arrival.at;
        let holder = |written: &WrittenVersion| written.version.holder(api_key);
        let Some(customer) = versions_until(self.view, at).iter().find_map(holder) else {
            return Some(self.violation(Promise::Misrouted, format!("no version holds {api_key}")));
        };
        if self.arrival.customer != Some(customer_name(customer)) {
            let detail = format!("customer {:?} for {api_key}", self.arrival.customer);
            return Some(self.violation(Promise::Unasked, detail));
        }
        let detail = format!("ran for {api_key}");
        if self.view.plan.strict_keys {
            let versions = versions_between(self.view, self.request.sent, REVOKE_TIME, at);
            let is_revoked = !versions.iter().any(|written| holder(written).is_some());
            return is_revoked.then(|| self.violation(Promise::RevokedKey, detail));
        }
        let in_force = in_force(self.view, self.request, at);
        let is_stale = !in_force.iter().any(|written| holder(written).is_some());
        is_stale.then(|| self.violation(Promise::StaleVersion, detail))
    }
}

/// The versions that were written until a time.
fn versions_until<'a>(view: &HistoryView<'a>, until: Duration) -> &'a [WrittenVersion] {
    let versions = &view.history.versions;
    &versions[..versions.partition_point(|written| written.at <= until)]
}

/// The versions that may be in force for a request that was sent at `sent` and handled until `until`,
/// if a version is in force everywhere `apply_time` after it was written.
fn versions_between<'a>(
    view: &HistoryView<'a>,
    sent: Duration,
    apply_time: Duration,
    until: Duration,
) -> &'a [WrittenVersion] {
    let known = versions_until(view, until);
    let applied = known.partition_point(|written| written.at + apply_time < sent);
    &known[applied.saturating_sub(1)..]
}

/// The versions that may be in force where a request is handled.
fn in_force<'a>(
    view: &HistoryView<'a>,
    request: &SentRequest,
    until: Duration,
) -> &'a [WrittenVersion] {
    if view.in_touch(request.host, request.route, request.sent, until) {
        versions_between(view, request.sent, APPLY_TIME, until)
    } else {
        versions_until(view, until)
    }
}

/// A request that was refused for a route or key that all versions in force have.
fn refusal_fault(
    view: &HistoryView<'_>,
    key: RequestKey,
    request: &SentRequest,
) -> Option<Violation> {
    let end = request.end.as_ref()?;
    let EndKind::Answered(answer) = &end.kind else { return None };
    let versions = in_force(view, request, end.at);
    let is_allowed = |written: &WrittenVersion| match answer.status {
        404 => written.version.services(request.route).is_empty(),
        401 => request
            .api_key
            .as_ref()
            .is_some_and(|api_key| written.version.holder(api_key).is_none()),
        _ => true,
    };
    (!versions.iter().any(is_allowed)).then(|| Violation {
        promise: Promise::StaleVersion,
        at: end.at,
        request: Some(key),
        host: Some(request.host),
        detail: format!("{} answered with {}", request.route, answer.status),
    })
}

/// The newest version whose effect a host has shown, and when.
#[derive(Clone, Copy, Debug)]
struct ShownVersion {
    index: usize,
    at: Duration,
    /// When the host's process was started.
    started: Duration,
}

/// Requests that a host handled by an older version than one that it had shown in the same process.
fn reverts(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut shown: HashMap<HostKey, ShownVersion> = HashMap::new();
    let mut violations = Vec::new();
    let runs = view.history.arrivals.iter().filter(|arrival| arrival.outcome.ran_at().is_some());
    for run in runs {
        let Some((key, request)) =
            run.request.and_then(|key| Some((key, view.history.request(key)?)))
        else {
            continue;
        };
        if request.route == RouteKind::Gathered {
            continue;
        }
        let service = view.history.service(run.target);
        let known = versions_until(view, run.at);
        let allows = |written: &WrittenVersion| written.version.allows(request.route, service);
        let Some(oldest) = known.iter().position(allows) else { continue };
        let newest = known.iter().rposition(allows).unwrap_or(oldest);
        let started = started_before(view, request.host, request.sent);
        let at = run.at;
        match shown.get(&request.host).filter(|version| version.started == started) {
            Some(version) if newest < version.index => {
                let from = version.at.saturating_sub(STABILITY);
                let disturbed = view.history.is_disrupted(Some(request.host), from, at);
                let slack = REVERT_SLACK * if disturbed { DISTURBED_SLACK } else { 1 };
                if request.sent > version.at + slack {
                    violations.push(Violation {
                        promise: Promise::VersionReverted,
                        at,
                        request: Some(key),
                        host: Some(request.host),
                        detail: format!(
                            "{} ran at {service}, after version {} at {:.3} s",
                            request.route,
                            view.history.versions[version.index].version.number,
                            version.at.as_secs_f64()
                        ),
                    });
                }
            }
            Some(version) if oldest <= version.index => {}
            _ => {
                shown.insert(request.host, ShownVersion { index: oldest, at, started });
            }
        }
    }
    violations
}

/// When the process of a host was started that took a request at `at`.
fn started_before(view: &HistoryView<'_>, host: HostKey, at: Duration) -> Duration {
    let starts = view.history.host_events.iter().filter(|event| {
        event.host == host && event.kind == HostEventKind::Started && event.at <= at
    });
    starts.map(|event| event.at).next_back().unwrap_or_default()
}
