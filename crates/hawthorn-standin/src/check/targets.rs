//! A target that is leaving receives no new work after a few seconds.

use std::collections::HashMap;
use std::time::Duration;

use super::BrokenPromise;
use super::BrokenSubject;
use super::Violation;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;
use crate::history::WorkPhase;

pub(super) fn check(records: &[HistoryRecord], grace: Duration) -> Vec<Violation> {
    let mut leaving: HashMap<&str, Duration> = HashMap::new();
    let mut found = Vec::new();
    for record in records {
        match &record.event {
            HistoryEvent::TargetLeaving { target } => {
                leaving.entry(target).or_insert(record.at);
            }
            HistoryEvent::TargetServing { target } => {
                leaving.remove(target.as_str());
            }
            HistoryEvent::Work(work) if work.phase == WorkPhase::Arrived => {
                let since = leaving.get(work.target.as_str()).copied();
                if since.is_some_and(|since| record.at.saturating_sub(since) > grace) {
                    let target = work.target.clone();
                    let subject = BrokenSubject::Work { target, attempt: work.attempt };
                    let promise = BrokenPromise::WorkToLeaving;
                    found.push(Violation { at: record.at, promise, subject });
                }
            }
            _ => {}
        }
    }
    found
}
