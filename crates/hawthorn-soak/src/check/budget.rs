//! Extra attempts, the number of targets that run a request, and the time that they are given.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::HistoryView;
use super::Promise;
use super::Violation;
use crate::catalog::MAX_ATTEMPTS;
use crate::catalog::RouteKind;
use crate::history::ArrivalOutcome;
use crate::history::RequestKey;
use crate::history::TargetKey;
use crate::host::BUDGET_ALLOWANCE;
use crate::host::BUDGET_SHARE;
use crate::host::BUDGET_WINDOW;

/// Number of requests that may run on more targets than their route allows.
const MAX_OVERRUN: usize = 3;
/// Time by which a target may be given more than the caller waits.
const DEADLINE_SLACK_MS: u64 = 500;
/// Number of requests that may be given more, whatever their share.
const MAX_LATE: usize = 20;
/// Share of the requests that may be given more.
const MAX_LATE_SHARE: f64 = 0.2;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut violations = extra_attempts(view);
    violations.extend(overruns(view));
    violations.extend(late_deadlines(view));
    violations
}

fn violation(promise: Promise, at: Duration, detail: String) -> Violation {
    Violation { promise, at, request: None, host: None, detail }
}

/// For each service, the first window with more extra arrivals than the budget permits.
fn extra_attempts(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut extra: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut seen: BTreeSet<(RequestKey, &str)> = BTreeSet::new();
    for arrival in &view.history.arrivals {
        let Some(request) = arrival.request else { continue };
        let service = view.history.service(arrival.target);
        if arrival.outcome != ArrivalOutcome::Misdirected && !seen.insert((request, service)) {
            extra.entry(service).or_default().push(arrival.at);
        }
    }
    extra.iter().filter_map(|(service, times)| first_excess(view, service, times)).collect()
}

fn first_excess(view: &HistoryView<'_>, service: &str, extra: &[Duration]) -> Option<Violation> {
    let is_for = |route: RouteKind| {
        view.history.versions.iter().any(|written| written.version.allows(route, service))
    };
    let requests = view.history.requests.iter().filter(|request| is_for(request.route));
    let mut requests: Vec<Duration> = requests.map(|request| request.sent).collect();
    requests.sort_unstable();
    let count = |times: &[Duration], from: Duration, until: Duration| {
        times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
    };
    for last in extra {
        let (from, until) = (last.saturating_sub(BUDGET_WINDOW), *last + Duration::from_micros(1));
        let attempts = count(extra, from, until);
        // The window, the one before it, and the one half a window before it.
        let shifts = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW];
        let requests = shifts.iter().map(|shift| {
            count(&requests, from.saturating_sub(*shift), until.saturating_sub(*shift))
        });
        let requests = requests.max().unwrap_or(0);
        let permitted = requests as f64 * BUDGET_SHARE + f64::from(BUDGET_ALLOWANCE);
        if attempts as f64 > permitted {
            let detail = format!("{service}: {attempts} extra arrivals for {requests} requests");
            return Some(violation(Promise::Budget, *last, detail));
        }
    }
    None
}

/// Requests that ran on more targets of a service than their route allows.
fn overruns(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut overruns = Vec::new();
    for (key, request) in view.requests() {
        let mut targets: BTreeMap<&str, BTreeSet<TargetKey>> = BTreeMap::new();
        let until = request.end.as_ref().map_or(Duration::MAX, |end| end.at);
        for run in view.runs(key) {
            // Targets that ended or were cut off meanwhile don't count.
            if view.history.is_sound(run.target, request.sent, until) {
                // All services of a route without shards count together.
                let service = match request.route {
                    RouteKind::Gathered => view.history.service(run.target),
                    _ => "",
                };
                targets.entry(service).or_default().insert(run.target);
            }
        }
        if let Some(most) = targets.values().map(BTreeSet::len).max()
            && most > MAX_ATTEMPTS
        {
            let detail = format!("ran on {most} targets of one service");
            let overrun = violation(Promise::Attempts, request.sent, detail);
            overruns.push(Violation { request: Some(key), host: Some(request.host), ..overrun });
        }
    }
    if overruns.len() > MAX_OVERRUN { overruns } else { Vec::new() }
}

/// Arrivals with no time or with more than their callers wait, if there are many.
fn late_deadlines(view: &HistoryView<'_>) -> Option<Violation> {
    let mut late = Vec::new();
    for arrival in &view.history.arrivals {
        let Some(request) = arrival.request.and_then(|key| view.history.request(key)) else {
            continue;
        };
        let permitted = request.time_left.as_millis() as u64 + DEADLINE_SLACK_MS;
        if arrival.time_left_ms.is_none_or(|given| given > permitted) {
            late.push(arrival.at);
        }
    }
    let share = late.len() as f64 / view.history.arrivals.len().max(1) as f64;
    if late.len() <= MAX_LATE || share <= MAX_LATE_SHARE {
        return None;
    }
    let detail = format!("{} arrivals with more time than their callers wait", late.len());
    Some(violation(Promise::Deadline, late[0], detail))
}
