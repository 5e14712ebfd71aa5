//! The owner worker: one thread that exclusively holds the slots and connections of the targets
//! that this host owns, and drives the decision state machine of `hawthorn-decide`.
//!
//! Commands arrive through a bounded channel. If it is full, new commands are rejected at once, so
//! that overload leads to rejections and not to an unbounded queue.

mod attempt;
mod batch;
mod finish;
mod intent;
mod names;
mod observe;
mod probe;
mod publish;
mod relay;
mod reload;
pub mod snapshot;
mod submit;
pub mod usage;
mod view;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

pub use self::relay::RelayLinks;
use self::snapshot::IntentRound;
use self::snapshot::OwnerSnapshot;
pub use self::view::OwnerGauges;
pub use self::worker::Options;
pub use self::worker::OwnerInputs;
pub use self::worker::start;
use crate::connection::message::BatchAnswer;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::OwnerView;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;

/// Identifies a batch within the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BatchKey(pub u64);

/// Commands to the worker.
pub(crate) enum OwnerCommand {
    Search {
        key: BatchKey,
        batch: SearchBatch,
        reply: oneshot::Sender<BatchAnswer>,
    },
    Run {
        key: BatchKey,
        batch: OnceBatch,
        reply: oneshot::Sender<OnceOutcome>,
    },
    /// The batch is no longer needed.
    Cancel(BatchKey),
    /// A round of the reconciler.
    ApplyRound(IntentRound),
}

/// Handle to the owner worker, used by the front of this host and, through the peer interface, by
/// fronts of other hosts.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    commands: mpsc::Sender<OwnerCommand>,
    view: watch::Receiver<Arc<OwnerView>>,
    gauges: watch::Receiver<OwnerGauges>,
    snapshot: watch::Receiver<Arc<OwnerSnapshot>>,
    next_batch: Arc<std::sync::atomic::AtomicU64>,
}

/// Cancels a batch on drop, unless it is done: the caller disconnected, its deadline passed, or
/// another owner answered first. Otherwise its pieces would hold slots for an answer that is
/// discarded.
struct CancelGuard<'a> {
    commands: &'a mpsc::Sender<OwnerCommand>,
    key: BatchKey,
    done: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            // If the channel is full, the cancellation is lost and the pieces end at their
            // deadline.
            let _sent = self.commands.try_send(OwnerCommand::Cancel(self.key));
        }
    }
}

impl OwnerHandle {
    fn next_key(&self) -> BatchKey {
        BatchKey(self.next_batch.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }

    /// Searches the pieces of a batch. Dropping the future cancels them.
    pub async fn search(&self, batch: SearchBatch) -> BatchAnswer {
        let key = self.next_key();
        let (reply, answer) = oneshot::channel();
        let refused = BatchAnswer {
            request: batch.request,
            parts: batch
                .pieces
                .iter()
                .map(|piece| (piece.number, PieceOutcome::Missing(MissingReason::Shedding)))
                .collect(),
            queued_us: 0,
            view: None,
        };
        if self.commands.try_send(OwnerCommand::Search { key, batch, reply }).is_err() {
            return refused;
        }
        let mut guard = CancelGuard { commands: &self.commands, key, done: false };
        let answer = answer.await.unwrap_or(refused);
        guard.done = true;
        answer
    }

    /// Runs a non-idempotent request that its front has claimed.
    pub async fn run(&self, batch: OnceBatch) -> OnceOutcome {
        let key = self.next_key();
        let (reply, answer) = oneshot::channel();
        if self.commands.try_send(OwnerCommand::Run { key, batch, reply }).is_err() {
            return OnceOutcome::NotRun(RefusalReason::QueueFull);
        }
        let lost = OnceOutcome::Unknown(hawthorn_types::UnknownReason::OwnerLost);
        answer.await.unwrap_or(lost)
    }

    /// Returns the view that fronts plan from.
    pub fn view(&self) -> Arc<OwnerView> {
        self.view.borrow().clone()
    }

    /// Returns the current gauges.
    pub fn gauges(&self) -> OwnerGauges {
        *self.gauges.borrow()
    }

    /// Returns the last snapshot of the owned targets.
    pub fn snapshot(&self) -> Arc<OwnerSnapshot> {
        self.snapshot.borrow().clone()
    }

    /// Sends a round of the reconciler to the worker. If the channel is full, the round is lost:
    /// held targets stay held, and later rounds repeat the orders.
    pub fn apply_round(&self, round: IntentRound) {
        let _lost = self.commands.try_send(OwnerCommand::ApplyRound(round));
    }

    /// Resolves once the worker has no open batch, or after `grace`. Returns whether it became idle
    /// in time.
    pub async fn idle(&mut self, grace: Duration) -> bool {
        let idle = self.gauges.wait_for(|gauges| gauges.batches == 0);
        matches!(tokio::time::timeout(grace, idle).await, Ok(Ok(_)))
    }
}
