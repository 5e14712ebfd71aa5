//! Requests that run at most once: they do, and an answer that promises "not run" is true.

use super::HistoryView;
use super::Promise;
use super::Violation;
use crate::history::EndKind;

/// The statuses that promise that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

pub(super) fn check(view: &HistoryView<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, request) in view.requests() {
        if request.route.is_idempotent() {
            continue;
        }
        let runs: Vec<_> = view.runs(key).collect();
        let targets = || {
            let targets = runs.iter().map(|run| run.target.id());
            targets.collect::<Vec<_>>().join(", ")
        };
        if let Some(second) = runs.get(1) {
            violations.push(Violation {
                promise: Promise::Twice,
                at: second.at,
                request: Some(key),
                host: Some(request.host),
                detail: format!("{} runs at {}", runs.len(), targets()),
            });
        }
        let Some(end) = &request.end else { continue };
        if let EndKind::Answered(answer) = &end.kind
            && NOT_RUN.contains(&answer.status)
            && !runs.is_empty()
        {
            violations.push(Violation {
                promise: Promise::FalseRefusal,
                at: end.at,
                request: Some(key),
                host: Some(request.host),
                detail: format!("answered {} and ran at {}", answer.status, targets()),
            });
        }
    }
    violations
}
