//! The owner's duty: one thread that alone holds the slots and connections of
//! the targets this host owns, and drives the decisions of `hawthorn-decide`.
//!
//! Commands come in over a bounded ring; a full ring refuses at once, so that
//! an overloaded owner shows as a refusal and not as a growing queue.

mod attempt;
mod batch;
mod duty;
mod finish;
mod intent;
mod look;
mod names;
mod probe;
mod relay;
mod reload;
pub mod seen;
mod take;
mod tell;
pub mod usage;
mod view;

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

pub use self::duty::Options;
pub use self::duty::OwnerInputs;
pub use self::duty::start;
pub use self::relay::RelayLinks;
use self::seen::IntentRound;
use self::seen::SeenReport;
pub use self::view::OwnerGauges;
use crate::connection::message::BatchAnswer;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::OwnerView;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;

/// Names a batch within the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BatchKey(pub u64);

/// What the duty is asked.
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
    /// Nobody waits for the batch any more.
    Withdraw(BatchKey),
    /// A round of the reconciler.
    Intend(IntentRound),
}

/// The way into the owner's duty, for fronts of this host and, through the
/// peer interface, of others.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    commands: mpsc::Sender<OwnerCommand>,
    view: watch::Receiver<Arc<OwnerView>>,
    gauges: watch::Receiver<OwnerGauges>,
    seen: watch::Receiver<Arc<SeenReport>>,
    next_batch: Arc<std::sync::atomic::AtomicU64>,
}

/// Withdraws a batch whose asker went away: the caller hung up, its deadline
/// passed, or another owner was quicker. Without it the pieces would go on
/// holding slots for an answer nobody reads.
struct WithdrawGuard<'a> {
    commands: &'a mpsc::Sender<OwnerCommand>,
    key: BatchKey,
    done: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            // With the ring full the withdrawal is lost; the pieces then end
            // at their deadline, which bounds the harm.
            let _sent = self.commands.try_send(OwnerCommand::Withdraw(self.key));
        }
    }
}

impl OwnerHandle {
    fn next_key(&self) -> BatchKey {
        BatchKey(self.next_batch.fetch_add(1, std::sync::atomic::Ordering::Relaxed))
    }

    /// Searches the pieces of a batch. Dropping the future withdraws them.
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
        let mut guard = WithdrawGuard { commands: &self.commands, key, done: false };
        let answer = answer.await.unwrap_or(refused);
        guard.done = true;
        answer
    }

    /// Runs a non-idempotent request, claimed by its front.
    pub async fn run(&self, batch: OnceBatch) -> OnceOutcome {
        let key = self.next_key();
        let (reply, answer) = oneshot::channel();
        if self.commands.try_send(OwnerCommand::Run { key, batch, reply }).is_err() {
            return OnceOutcome::NotRun(RefusalReason::QueueFull);
        }
        let lost = OnceOutcome::Unknown(hawthorn_types::UnknownReason::OwnerLost);
        answer.await.unwrap_or(lost)
    }

    /// The view that fronts plan from.
    pub fn view(&self) -> Arc<OwnerView> {
        self.view.borrow().clone()
    }

    /// What the duty holds now.
    pub fn gauges(&self) -> OwnerGauges {
        *self.gauges.borrow()
    }

    /// What the duty sees of its targets.
    pub fn seen(&self) -> Arc<SeenReport> {
        self.seen.borrow().clone()
    }

    /// Hands a round of the reconciler to the duty. With the ring full it is
    /// lost: what is held stays so, and orders are given again by later rounds.
    pub fn intend(&self, round: IntentRound) {
        let _lost = self.commands.try_send(OwnerCommand::Intend(round));
    }

    /// Resolves once the duty holds no batch, or after `grace`; tells whether
    /// it was idle in time.
    pub async fn idle(&mut self, grace: Duration) -> bool {
        let idle = self.gauges.wait_for(|gauges| gauges.batches == 0);
        matches!(tokio::time::timeout(grace, idle).await, Ok(Ok(_)))
    }
}
