//! Answers: each is that of its own request and whole, and a merged one states its true coverage.

use std::collections::HashSet;

use super::HistoryView;
use super::Promise;
use super::Violation;
use crate::catalog::MIN_SHARD_SHARE;
use crate::catalog::RouteKind;
use crate::catalog::TOP_RECORDS;
use crate::history::ArrivalOutcome;
use crate::history::EndKind;
use crate::history::ReceivedAnswer;
use crate::history::RequestKey;
use crate::history::SentRequest;
use crate::history::TargetKey;
use crate::target;

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut violations: Vec<Violation> = unasked(view).collect();
    violations.extend(view.history.stray_bytes.iter().map(|stray| Violation {
        promise: Promise::Mixed,
        at: stray.at,
        request: None,
        host: Some(stray.host),
        detail: format!("bytes without a request: {:?}", stray.text),
    }));
    for (key, request) in view.requests() {
        let Some(end) = &request.end else { continue };
        let fault = match &end.kind {
            EndKind::Answered(answer) => fault_of(view, key, request, answer),
            EndKind::Malformed(what) => Some((Promise::Mixed, format!("not an answer: {what:?}"))),
            EndKind::Closed | EndKind::Left | EndKind::TimedOut => None,
        };
        violations.extend(fault.map(|(promise, detail)| Violation {
            promise,
            at: end.at,
            request: Some(key),
            host: Some(request.host),
            detail,
        }));
    }
    violations
}

/// Requests at targets that no caller sent, or that differ from what was sent.
fn unasked<'a>(view: &HistoryView<'a>) -> impl Iterator<Item = Violation> {
    let wrong = view.history.arrivals.iter().filter(|arrival| {
        let is_sent = arrival.request.is_some_and(|key| view.history.request(key).is_some());
        !is_sent || arrival.altered
    });
    wrong.map(|arrival| Violation {
        promise: Promise::Unasked,
        at: arrival.at,
        request: arrival.request,
        host: None,
        detail: format!("at {}, altered: {}", arrival.target.id(), arrival.altered),
    })
}

fn fault_of(
    view: &HistoryView<'_>,
    key: RequestKey,
    request: &SentRequest,
    answer: &ReceivedAnswer,
) -> Option<(Promise, String)> {
    let own = key.attempt_id();
    if answer.attempt_id.as_ref().is_some_and(|id| *id != own) {
        return Some((Promise::Mixed, format!("the answer is of {:?}", answer.attempt_id)));
    }
    match (request.route, answer.status) {
        (RouteKind::Gathered, 200..=299) => merged_fault(view, key, answer),
        (_, 200..=299) => single_fault(view, key, answer),
        _ => failure_fault(view, key, answer),
    }
}

fn single_fault(
    view: &HistoryView<'_>,
    key: RequestKey,
    answer: &ReceivedAnswer,
) -> Option<(Promise, String)> {
    let receipt = answer.receipt.as_deref().unwrap_or_default();
    let status = run_status(view, key, receipt);
    if status != Some(200) {
        let detail = format!("status {} by the receipt {receipt:?}", answer.status);
        return Some((Promise::Mixed, detail));
    }
    let detail = format!("the body is not that of {receipt}");
    (!answer.body_intact).then_some((Promise::Mixed, detail))
}

/// A failure with a receipt has the status that the target gave.
fn failure_fault(
    view: &HistoryView<'_>,
    key: RequestKey,
    answer: &ReceivedAnswer,
) -> Option<(Promise, String)> {
    let receipt = answer.receipt.as_deref()?;
    let status = run_status(view, key, receipt);
    let detail = format!("status {} by the receipt {receipt}, of {status:?}", answer.status);
    (status != Some(answer.status)).then_some((Promise::Mixed, detail))
}

/// The status that a target gave to a request, if the receipt is its own.
fn run_status(view: &HistoryView<'_>, key: RequestKey, receipt: &str) -> Option<u16> {
    let (target, attempt_id) = target::parse_receipt(receipt)?;
    if attempt_id != key.attempt_id() {
        return None;
    }
    let outcomes = view.runs(key).filter(|run| run.target == target).map(|run| run.outcome);
    outcomes.filter_map(status_of).last()
}

fn status_of(outcome: ArrivalOutcome) -> Option<u16> {
    match outcome {
        ArrivalOutcome::Ran { status, .. } => status,
        _ => None,
    }
}

fn merged_fault(
    view: &HistoryView<'_>,
    key: RequestKey,
    answer: &ReceivedAnswer,
) -> Option<(Promise, String)> {
    let mut parts: Vec<TargetKey> = Vec::new();
    let mut services: HashSet<&str> = HashSet::new();
    for receipt in &answer.part_receipts {
        if run_status(view, key, receipt) != Some(200) {
            return Some((Promise::Mixed, format!("{receipt} names no part of this query")));
        }
        let (target, _) = target::parse_receipt(receipt)?;
        if !services.insert(view.history.service(target)) {
            return Some((Promise::Coverage, format!("two parts of the shard of {receipt}")));
        }
        parts.push(target);
    }
    let missing = answer.missing.unwrap_or(0);
    let stated = parts.len() + missing;
    let is_a_set = view.history.versions.iter().any(|written| {
        let shards = written.version.services(RouteKind::Gathered);
        shards.len() == stated && services.iter().all(|name| shards.iter().any(|s| s == name))
    });
    if parts.is_empty() || !is_a_set {
        let detail = format!("{} parts and {missing} missing are no set of shards", parts.len());
        return Some((Promise::Coverage, detail));
    }
    if (parts.len() as f64) < MIN_SHARD_SHARE * stated as f64 {
        let detail = format!("{} of {stated} parts are too few", parts.len());
        return Some((Promise::Coverage, detail));
    }
    let attempt_id = key.attempt_id();
    let mut records: Vec<String> =
        parts.iter().flat_map(|part| target::records(*part, &attempt_id)).collect();
    records.sort_unstable_by(|left, right| right.cmp(left));
    records.truncate(TOP_RECORDS);
    let detail = "the body is not the top of the parts".to_owned();
    (records.concat().into_bytes() != answer.merged_body).then_some((Promise::Coverage, detail))
}
