//! Checks of targets: a draining target receives no new attempts after a grace period.

use std::collections::HashMap;
use std::time::Duration;

use super::Violation;
use super::ViolationKind;
use super::ViolationSubject;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;
use crate::history::WorkPhase;

pub(super) fn check(records: &[HistoryRecord], grace: Duration) -> Vec<Violation> {
    let mut draining: HashMap<&str, Duration> = HashMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            HistoryEvent::TargetDraining { target } => {
                draining.entry(target).or_insert(record.at);
            }
            HistoryEvent::TargetServing { target } => {
                draining.remove(target.as_str());
            }
            HistoryEvent::Work(work) if work.phase == WorkPhase::Arrived => {
                let since = draining.get(work.target.as_str()).copied();
                if since.is_some_and(|since| record.at.saturating_sub(since) > grace) {
                    let target = work.target.clone();
                    let subject = ViolationSubject::Work { target, attempt: work.attempt };
                    let kind = ViolationKind::WorkToDraining;
                    violations.push(Violation { at: record.at, kind, subject });
                }
            }
            _ => {}
        }
    }
    violations
}
