//! Non-idempotent requests run at most once, and "not run" is true.

use std::collections::HashMap;
use std::collections::HashSet;

use hawthorn_types::CallerOutcome;

use super::BrokenPromise;
use super::BrokenSubject;
use super::Violation;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;
use crate::history::WorkKind;
use crate::history::WorkPhase;

type RunName<'a> = (&'a str, &'a str);

pub(super) fn check(records: &[HistoryRecord]) -> Vec<Violation> {
    // A run may start after its "not run" was heard, so the tier's requests that
    // ever started are collected first.
    let started_requests: HashSet<&str> = records.iter().filter_map(started_request).collect();
    let mut runs: HashSet<RunName<'_>> = HashSet::new();
    let mut sent: HashMap<u64, RunName<'_>> = HashMap::new();
    let mut found = Vec::new();
    for record in records {
        match &record.event {
            HistoryEvent::OnceSent(once) => {
                let request = &once.request;
                sent.insert(once.send, (&request.caller, &request.request_id));
            }
            HistoryEvent::Work(work) if work.phase == WorkPhase::Started => {
                let WorkKind::Run { caller, caller_request } = &work.kind else { continue };
                if !runs.insert((caller, caller_request)) {
                    found.push(violation(
                        record,
                        BrokenPromise::DoubledRun,
                        run(caller, caller_request),
                    ));
                }
            }
            HistoryEvent::Answered { send, answer } => {
                let CallerOutcome::NotRun(_) = answer.outcome else { continue };
                // A later send of the same id may rightly run, so only a run that
                // began before this answer, or for it, makes it false.
                let ran = sent.get(send).is_some_and(|name| runs.contains(name));
                if ran || started_requests.contains(answer.request.as_str()) {
                    let subject = BrokenSubject::Send { send: *send };
                    found.push(violation(record, BrokenPromise::FalseNotRun, subject));
                }
            }
            _ => {}
        }
    }
    found
}

fn started_request(record: &HistoryRecord) -> Option<&str> {
    match &record.event {
        HistoryEvent::Work(work) if work.phase == WorkPhase::Started => Some(&work.request),
        _ => None,
    }
}

fn run(caller: &str, caller_request: &str) -> BrokenSubject {
    BrokenSubject::Run { caller: caller.to_owned(), caller_request: caller_request.to_owned() }
}

fn violation(record: &HistoryRecord, promise: BrokenPromise, subject: BrokenSubject) -> Violation {
    Violation { at: record.at, promise, subject }
}
