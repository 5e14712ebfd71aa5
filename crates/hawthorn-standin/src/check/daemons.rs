//! Daemons: a configuration never goes back, and a planned stop cuts nothing off.

use std::collections::HashMap;
use std::collections::HashSet;

use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigRevision;

use super::BrokenPromise;
use super::BrokenSubject;
use super::Violation;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;

#[derive(Default)]
struct DaemonView<'a> {
    /// The greatest revision seen so far at each daemon.
    newest: HashMap<&'a str, ConfigRevision>,
    /// Daemons in a planned stop.
    stopping: HashSet<&'a str>,
    /// Where each send went, and the greatest revision seen there before.
    sends: HashMap<u64, (&'a str, ConfigRevision)>,
    found: Vec<Violation>,
}

pub(super) fn check(records: &[HistoryRecord]) -> Vec<Violation> {
    let mut view = DaemonView::default();
    for record in records {
        match &record.event {
            HistoryEvent::QuerySent(sent) => view.sent(sent.send, &sent.front),
            HistoryEvent::OnceSent(sent) => view.sent(sent.send, &sent.front),
            // A restarted process that has no configuration yet says revision 0
            // with its refusals: none is in force there. With anything that ran
            // it would be a broken promise.
            HistoryEvent::Answered { answer, .. } if is_unconfigured(answer) => {}
            HistoryEvent::Answered { send, answer } => {
                view.answered(record, *send, answer.configuration.revision);
            }
            HistoryEvent::ConnectionLost { send } => view.cut(record, *send),
            HistoryEvent::ConfigSeen { daemon, revision } => {
                let had = view.newest.get(daemon.as_str()).copied().unwrap_or_default();
                view.compare(record, daemon, had, *revision);
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
    view.found
}

fn is_unconfigured(answer: &CallerAnswer) -> bool {
    let refused = matches!(answer.outcome, CallerOutcome::NotRun(_));
    refused && answer.configuration.revision == ConfigRevision::default()
}

impl<'a> DaemonView<'a> {
    fn sent(&mut self, send: u64, front: &'a str) {
        let had = self.newest.get(front).copied().unwrap_or_default();
        self.sends.insert(send, (front, had));
    }

    /// Answers overtake each other, so an answer is held against what was known
    /// when its request was sent.
    fn answered(&mut self, record: &HistoryRecord, send: u64, revision: ConfigRevision) {
        if let Some(&(front, had)) = self.sends.get(&send) {
            self.compare(record, front, had, revision);
        }
    }

    fn compare(
        &mut self,
        record: &HistoryRecord,
        daemon: &'a str,
        had: ConfigRevision,
        later: ConfigRevision,
    ) {
        if later < had {
            let subject = BrokenSubject::Config { daemon: daemon.to_owned(), had, later };
            let promise = BrokenPromise::ConfigWentBack;
            self.found.push(Violation { at: record.at, promise, subject });
        }
        let newest = self.newest.entry(daemon).or_default();
        *newest = later.max(*newest);
    }

    fn cut(&mut self, record: &HistoryRecord, send: u64) {
        let stopping = |front: &str| self.stopping.contains(front);
        if self.sends.get(&send).is_some_and(|&(front, _)| stopping(front)) {
            let subject = BrokenSubject::Send { send };
            let promise = BrokenPromise::RequestCutOff;
            self.found.push(Violation { at: record.at, promise, subject });
        }
    }
}
