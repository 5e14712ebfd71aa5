//! Customers' quotas: how many requests ran in any window.

use std::time::Duration;

use super::APPLY_TIME;
use super::HistoryView;
use super::Promise;
use super::STABILITY;
use super::Violation;
use crate::catalog::CUSTOMERS;
use crate::catalog::QuotaLimit;
use crate::host::QUOTA_OVERSHOOT;
use crate::host::QUOTA_SLACK;
use crate::host::QUOTA_WINDOW;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let due = due_times(view);
    (0..CUSTOMERS).filter_map(|customer| first_excess(view, customer, &due)).collect()
}

/// When each version binds: one window after all hosts have been in touch beyond the time in which
/// they apply a version.
fn due_times(view: &HistoryView<'_>) -> Vec<Duration> {
    let due = |at: Duration| {
        let mut due = at + APPLY_TIME;
        for disruption in &view.history.disruptions {
            let in_touch_again = disruption.until + STABILITY;
            if disruption.from <= due && in_touch_again >= at {
                due = due.max(in_touch_again + APPLY_TIME);
            }
        }
        due + QUOTA_WINDOW
    };
    view.history.versions.iter().map(|written| due(written.at)).collect()
}

/// The first window in which more requests of a customer were sent and ran than its quota permits.
fn first_excess(view: &HistoryView<'_>, customer: usize, due: &[Duration]) -> Option<Violation> {
    let prefix = format!("key-{customer}-");
    let requests = view.requests().filter(|(_, request)| {
        request.api_key.as_ref().is_some_and(|api_key| api_key.starts_with(&prefix))
    });
    let ran = requests.filter_map(|(key, request)| {
        let first_run = view.runs(key).map(|run| run.at).min()?;
        Some((request.sent, first_run))
    });
    let mut ran: Vec<(Duration, Duration)> = ran.collect();
    ran.sort_unstable();
    for (first, (from, _)) in ran.iter().enumerate() {
        let until = *from + QUOTA_WINDOW;
        let Some(limit) = limit(view, customer, due, *from, until) else { continue };
        let permitted = allowance(limit) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
        let in_window = ran[first..].iter().take_while(|(sent, _)| *sent <= until);
        let count = in_window.filter(|(_, at)| *at <= until).count();
        if count as f64 > permitted {
            return Some(Violation {
                promise: Promise::Quota,
                at: until,
                request: None,
                host: None,
                detail: format!("customer {customer}: {count} requests ran, {permitted:.0} may"),
            });
        }
    }
    None
}

/// The requests that a limit permits in a window.
fn allowance(limit: QuotaLimit) -> f64 {
    limit.rate * QUOTA_WINDOW.as_secs_f64() + limit.burst
}

/// The greatest limit that may be in force in a window; `None` if there may be none.
fn limit(
    view: &HistoryView<'_>,
    customer: usize,
    due: &[Duration],
    from: Duration,
    until: Duration,
) -> Option<QuotaLimit> {
    let versions = &view.history.versions;
    let bound = due.iter().rposition(|due| *due <= from).unwrap_or(0);
    let known = versions.partition_point(|written| written.at <= until);
    let mut greatest: Option<QuotaLimit> = None;
    for written in &versions[bound..known.max(bound + 1).min(versions.len())] {
        // Without the customer, none of its requests is allowed.
        let Some(holder) = written.version.customers.get(&customer) else { continue };
        let quota = holder.quota?;
        if greatest.is_none_or(|greatest| allowance(greatest) < allowance(quota)) {
            greatest = Some(quota);
        }
    }
    greatest
}
