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

/// Maps a batch and its send time to the delay and the answers of its owner; `None`
/// when the owner never answers.
pub type Owner<'a> = dyn FnMut(&BatchSend, Duration) -> Option<(Duration, Vec<PieceAnswer>)> + 'a;

/// The result of a simulated query.
pub struct Run {
    pub query: FinishedQuery,
    /// When the answer was sent.
    pub at: Duration,
    /// Pieces sent, including retries.
    pub sent: usize,
}

/// Runs one query until it finishes. `table` returns the table known at a time.
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
    let shards = table(now);
    let mut step = track::start(query, &mut context(now, &shards, budget), options);
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
                let ((at, _), event) = due.pop_first().expect("the first entry was just read");
                now = at;
                event
            }
            _ => {
                now = wake;
                Event::Timer
            }
        };
        let shards = table(now);
        step = track.step(event, &mut context(now, &shards, budget));
    }
}
