//! Whether enough ran for a verdict.

use std::time::Duration;

use strum::IntoEnumIterator;

use super::HistoryView;
use super::Promise;
use super::Violation;
use crate::catalog::RouteKind;
use crate::history::EndKind;

/// Least number of requests of each route in a minute.
const MIN_REQUESTS: f64 = 60.0;
/// Least share of the requests of a route that are answered with success.
const MIN_SERVED: f64 = 0.05;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let minutes = view.plan.length.as_secs_f64() / 60.0;
    let mut violations = Vec::new();
    let mut add = |detail: String| {
        violations.push(Violation {
            promise: Promise::Volume,
            at: Duration::ZERO,
            request: None,
            host: None,
            detail,
        });
    };
    for route in RouteKind::iter() {
        let requests = view.history.requests.iter().filter(|request| request.route == route);
        let (mut sent, mut served) = (0, 0);
        for request in requests {
            sent += 1;
            let is_served = request.end.as_ref().is_some_and(
                |end| matches!(&end.kind, EndKind::Answered(answer) if answer.status == 200),
            );
            served += usize::from(is_served);
        }
        if (sent as f64) < MIN_REQUESTS * minutes || (served as f64) < sent as f64 * MIN_SERVED {
            add(format!("{sent} requests of {route}, {served} served"));
        }
    }
    let mut planned: Vec<_> = view.plan.faults.iter().map(|fault| fault.kind).collect();
    planned.sort_unstable();
    planned.dedup();
    for kind in planned {
        if !view.history.faults.contains_key(&kind) {
            add(format!("no fault {kind} was applied"));
        }
    }
    violations
}
