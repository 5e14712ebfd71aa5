//! One front, its owners and the targets behind them, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_plan::RetryBudget;
use hawthorn_plan::ShardTable;
use hawthorn_plan::track;
use hawthorn_plan::track::Action;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Event;
use hawthorn_plan::track::FinishedQuery;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::Step;
use hawthorn_plan::track::TrackedQuery;

use super::context;

/// What an owner does with a batch: after how long it answers, and what.
/// `None` when it never does.
pub type Owner<'a> = dyn FnMut(&BatchSend, Duration) -> Option<(Duration, Vec<PieceAnswer>)> + 'a;

/// How a query went.
pub struct Run {
    pub query: FinishedQuery,
    /// When the answer left.
    pub at: Duration,
    /// Every piece sent, all attempts.
    pub sent: usize,
}

/// Runs one query to its end. `table` gives the table known at a moment.
pub fn run(
    query: TrackedQuery,
    options: track::Options,
    budget: &mut RetryBudget,
    table: impl Fn(Duration) -> ShardTable,
    owner: &mut Owner<'_>,
) -> Run {
    let mut now = Duration::ZERO;
    let mut sent = 0;
    let mut due: BTreeMap<(Duration, u32), Event> = BTreeMap::new();
    let mut wake = Duration::MAX;
    let known = table(now);
    let mut step = track::start(query, &mut context(now, &known, budget), options);
    loop {
        let (track, actions) = match step {
            Step::Waiting(track, actions) => (track, actions),
            Step::Finished(query, _) => return Run { query: *query, at: now, sent },
        };
        for action in actions {
            match action {
                Action::Send(send) => {
                    sent += send.pieces.len();
                    if let Some((after, pieces)) = owner(&send, now) {
                        let (batch, host) = (send.batch, send.host);
                        let event = Event::BatchAnswered { batch, host, pieces };
                        due.insert((now + after, batch.0), event);
                    }
                }
                Action::Wake(at) => wake = at,
                Action::Cancel { .. } => {}
            }
        }
        let event = match due.first_key_value() {
            Some((&(at, _), _)) if at <= wake => {
                let ((at, _), event) = due.pop_first().expect("the first was just seen");
                now = at;
                event
            }
            _ => {
                now = wake;
                Event::Timer
            }
        };
        let known = table(now);
        step = track.step(event, &mut context(now, &known, budget));
    }
}
