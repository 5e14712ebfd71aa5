//! Checks of daemons: configuration revisions never decrease, and planned stops abort no
//! requests.

use std::collections::HashMap;
use std::collections::HashSet;

use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigRevision;

use super::Violation;
use super::ViolationKind;
use super::ViolationSubject;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;

#[derive(Default)]
struct DaemonView<'a> {
    /// The greatest revision of each daemon so far.
    newest: HashMap<&'a str, ConfigRevision>,
    /// Daemons in a planned stop.
    stopping: HashSet<&'a str>,
    /// The daemon of each send, and its greatest revision when the request was sent.
    sends: HashMap<u64, (&'a str, ConfigRevision)>,
    violations: Vec<Violation>,
}

pub(super) fn check(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut view = DaemonView::default();
    for record in records {
        match &record.event {
            HistoryEvent::QuerySent(sent) => view.sent(sent.send, &sent.front),
            HistoryEvent::OnceSent(sent) => view.sent(sent.send, &sent.front),
            // A restarted process without configuration reports revision 0 in refusals,
            // which is valid. In the answer to a request that ran it is a violation.
            HistoryEvent::Answered { answer, .. } if is_unconfigured(answer) => {}
            HistoryEvent::Answered { send, answer } => {
                view.answered(record, *send, answer.configuration.revision);
            }
            HistoryEvent::ConnectionLost { send } => view.connection_lost(record, *send),
            HistoryEvent::ConfigSeen { daemon, revision } => {
                let previous = view.newest.get(daemon.as_str()).copied().unwrap_or_default();
                view.compare(record, daemon, previous, *revision);
            }
            HistoryEvent::StopStarted { daemon } => {
                view.stopping.insert(daemon);
            }
            HistoryEvent::Started { daemon } | HistoryEvent::Killed { daemon } => {
                view.stopping.remove(daemon.as_str());
            }
            _ => {}
        }
    }
    view.violations
}

fn is_unconfigured(answer: &CallerAnswer) -> bool {
    let refused = matches!(answer.outcome, CallerOutcome::NotRun(_));
    refused && answer.configuration.revision == ConfigRevision::default()
}

impl<'a> DaemonView<'a> {
    fn sent(&mut self, send: u64, front: &'a str) {
        let previous = self.newest.get(front).copied().unwrap_or_default();
        self.sends.insert(send, (front, previous));
    }

    /// Answers can overtake each other, so the revision of an answer is compared with the
    /// greatest one when its request was sent.
    fn answered(&mut self, record: &HistoryRecord, send: u64, revision: ConfigRevision) {
        if let Some(&(front, previous)) = self.sends.get(&send) {
            self.compare(record, front, previous, revision);
        }
    }

    fn compare(
        &mut self,
        record: &HistoryRecord,
        daemon: &'a str,
        previous: ConfigRevision,
        later: ConfigRevision,
    ) {
        if later < previous {
            let subject = ViolationSubject::Config { daemon: daemon.to_owned(), previous, later };
            let kind = ViolationKind::ConfigReverted;
            self.violations.push(Violation { at: record.at, kind, subject });
        }
        let newest = self.newest.entry(daemon).or_default();
        *newest = later.max(*newest);
    }

    fn connection_lost(&mut self, record: &HistoryRecord, send: u64) {
        let stopping = |front: &str| self.stopping.contains(front);
        if self.sends.get(&send).is_some_and(|&(front, _)| stopping(front)) {
            let subject = ViolationSubject::Send { send };
            let kind = ViolationKind::RequestAborted;
            self.violations.push(Violation { at: record.at, kind, subject });
        }
    }
}
