//! Hosts that are told to stop: each request that such a host has read is answered or refused.

use std::time::Duration;

use super::HistoryView;
use super::Promise;
use super::STABILITY;
use super::Violation;
use crate::history::EndKind;
use crate::history::HostEventKind;
use crate::history::HostKey;
use crate::history::SentRequest;
use crate::host::GRACE;

/// Time after which a request that was sent whole has been read.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after the signal during which callers still come by new connections.
const LATE_CALLERS: Duration = Duration::from_secs(3);
/// Number of requests on kept connections that a host in touch may lose outside of a stop.
const MAX_LOST: usize = 3;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut lost_outside: Vec<Violation> = Vec::new();
    for (key, request) in view.requests() {
        let Some(end) = &request.end else { continue };
        let Some(sent_whole) = request.sent_whole else { continue };
        if end.kind != EndKind::Closed {
            continue;
        }
        let time_left = request.time_left.min(request.route.timeout());
        let arrivals = view.arrivals(key);
        let was_sound = arrivals
            .iter()
            .all(|arrival| view.history.is_sound(arrival.target, request.sent, end.at));
        if end.at >= request.sent + time_left || !was_sound {
            continue;
        }
        let violation = |detail: String| Violation {
            promise: Promise::Lost,
            at: end.at,
            request: Some(key),
            host: Some(request.host),
            detail,
        };
        let Some(stopped) = stop_before(view, request.host, end.at) else {
            // Outside of planned work, only what a host passed on from a kept connection counts.
            let in_touch = view.in_touch(request.host, request.route, request.sent, end.at);
            if in_touch && request.kept && !arrivals.is_empty() {
                lost_outside.push(violation("passed on, and its connection closed".to_owned()));
            }
            continue;
        };
        if is_unplanned(view, request, end.at) {
            continue;
        }
        let at_work = arrivals.iter().any(|arrival| arrival.outcome.ran_at().is_some());
        let late_work = end.at >= stopped + GRACE.mul_f64(5.0 / 6.0)
            && request.sent <= stopped + LATE_CALLERS
            && at_work;
        let was_read = !arrivals.is_empty() || end.at > sent_whole + LOSS_SLACK;
        if was_read && !late_work {
            let after = end.at.saturating_sub(stopped).as_millis();
            let passed_on = arrivals.len();
            violations.push(violation(format!("{after} ms after the stop, {passed_on} arrivals")));
        }
    }
    if lost_outside.len() > MAX_LOST {
        violations.extend(lost_outside);
    }
    violations
}

/// When the host was told to stop, if a request that ended at `at` ended in that stop.
fn stop_before(view: &HistoryView<'_>, host: HostKey, at: Duration) -> Option<Duration> {
    let stops = view.history.host_events.iter().filter(|event| {
        event.host == host && event.kind == HostEventKind::StopSent && event.at <= at
    });
    let stopped = stops.map(|event| event.at).next_back()?;
    (at <= stopped + GRACE + Duration::from_secs(1)).then_some(stopped)
}

/// Whether something unplanned disturbed the host from before the request until its end.
fn is_unplanned(view: &HistoryView<'_>, request: &SentRequest, until: Duration) -> bool {
    let from = request.sent.saturating_sub(STABILITY);
    view.history.disruptions.iter().any(|disruption| {
        let concerns = disruption.host.is_none_or(|host| host == request.host);
        concerns && !disruption.planned && disruption.from <= until && disruption.until >= from
    })
}
