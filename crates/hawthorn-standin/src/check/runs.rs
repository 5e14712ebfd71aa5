//! Checks of non-idempotent requests: they run at most once, and the answer "not run" is
//! correct.

use std::collections::HashMap;
use std::collections::HashSet;

use hawthorn_types::CallerOutcome;

use super::Violation;
use super::ViolationKind;
use super::ViolationSubject;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;
use crate::history::WorkKind;
use crate::history::WorkPhase;

/// Caller and request id, which identify a non-idempotent request.
type RunKey<'a> = (&'a str, &'a str);

pub(super) fn check(records: &[HistoryRecord]) -> Vec<Violation> {
    // A run may start after it was answered as "not run", so all started requests of the
    // tier are collected first.
    let started_requests: HashSet<&str> = records.iter().filter_map(started_request).collect();
    let mut runs: HashSet<RunKey<'_>> = HashSet::new();
    let mut sent: HashMap<u64, RunKey<'_>> = HashMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            HistoryEvent::OnceSent(once) => {
                let request = &once.request;
                sent.insert(once.send, (&request.caller, &request.request_id));
            }
            HistoryEvent::Work(work) if work.phase == WorkPhase::Started => {
                let WorkKind::Run { caller, caller_request } = &work.kind else { continue };
                if !runs.insert((caller, caller_request)) {
                    violations.push(violation(
                        record,
                        ViolationKind::DuplicateRun,
                        run_subject(caller, caller_request),
                    ));
                }
            }
            HistoryEvent::Answered { send, answer } => {
                let CallerOutcome::NotRun(_) = answer.outcome else { continue };
                // A later send of the same id may run, so the answer is wrong only if a run
                // started before it or belongs to the same request of the tier.
                let has_run = sent.get(send).is_some_and(|key| runs.contains(key));
                if has_run || started_requests.contains(answer.request.as_str()) {
                    let subject = ViolationSubject::Send { send: *send };
                    violations.push(violation(record, ViolationKind::FalseNotRun, subject));
                }
            }
            _ => {}
        }
    }
    violations
}

fn started_request(record: &HistoryRecord) -> Option<&str> {
    match &record.event {
        HistoryEvent::Work(work) if work.phase == WorkPhase::Started => Some(&work.request),
        _ => None,
    }
}

fn run_subject(caller: &str, caller_request: &str) -> ViolationSubject {
    ViolationSubject::Run { caller: caller.to_owned(), caller_request: caller_request.to_owned() }
}

fn violation(record: &HistoryRecord, kind: ViolationKind, subject: ViolationSubject) -> Violation {
    Violation { at: record.at, kind, subject }
}
