//! A non-idempotent request at the host that owns its target: claimed, then run.
//!
//! Claim and run are in one process, so that the grant never travels: it is
//! spent in the same step that sends the request, and given back when the
//! request never leaves the queue.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_store::ClaimKeeper;
use hawthorn_store::claim::ClaimAsk;
use hawthorn_store::claim::Outcome;
use hawthorn_types::CallerOutcome;
use hawthorn_types::RefusalReason;
use tokio::time::Instant;

use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::owner::OwnerHandle;

/// Claims and runs requests at targets this host owns.
#[derive(Clone, Debug)]
pub struct OnceRunner {
    keeper: ClaimKeeper,
    owner: OwnerHandle,
}

impl OnceRunner {
    /// A runner that claims by `keeper` and runs by `owner`.
    pub fn new(keeper: ClaimKeeper, owner: OwnerHandle) -> Self {
        Self { keeper, owner }
    }

    /// Runs the request at most once, whatever is sent how often from where.
    pub async fn run(&self, batch: OnceBatch) -> OnceOutcome {
        // Before the claim: what is refused here leaves no trace in the store.
        if !self.owner.view().shards.iter().any(|view| view.shard == batch.shard) {
            return OnceOutcome::NotRun(RefusalReason::NoTarget);
        }
        let ask = ClaimAsk {
            caller: batch.caller.clone(),
            request_id: batch.caller_request.clone(),
            deadline: Instant::now() + Duration::from_micros(batch.left_us),
            unix_now: unix_now(),
        };
        let asked = Instant::now();
        let outcome = self.keeper.claim(ask).await;
        if let Some(refusal) = outcome.refusal() {
            return refused(refusal);
        }
        let Outcome::Granted(grant) = outcome else {
            return OnceOutcome::NotRun(RefusalReason::ClaimUnavailable);
        };
        let took = u64::try_from(asked.elapsed().as_micros()).unwrap_or(u64::MAX);
        let left_us = batch.left_us.saturating_sub(took);
        self.owner.run(OnceBatch { left_us, ..batch }, grant).await
    }
}

fn refused(outcome: CallerOutcome) -> OnceOutcome {
    match outcome {
        CallerOutcome::NotRun(reason) => OnceOutcome::NotRun(reason),
        CallerOutcome::Unknown(reason) => OnceOutcome::Unknown(reason),
        CallerOutcome::Failed(reason) => OnceOutcome::Failed(reason),
        CallerOutcome::Answer => OnceOutcome::Ran(String::new()),
    }
}

/// Unix time by this host's clock.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
