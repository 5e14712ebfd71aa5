//! Life cycle of an attempt at a target: waiting for a slot, running, ended. Each
//! phase is a type, so that an attempt cannot run without a slot or keep its slot
//! after its end.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::IndexVersion;
use hawthorn_types::target::RefusedAttempt;
use hawthorn_types::target::TargetRefusal;
use hyper::StatusCode;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::control::Shared;
use super::state::State;
use crate::history::HistoryEvent;
use crate::history::TargetWork;
use crate::history::WorkKind;
use crate::history::WorkPhase;
use crate::wire;
use crate::wire::Reply;

/// Identity of one attempt, in all phases.
#[derive(Clone)]
pub(super) struct AttemptContext {
    pub(super) shared: Arc<Shared>,
    pub(super) request: String,
    pub(super) attempt: u64,
    pub(super) kind: WorkKind,
}

impl AttemptContext {
    pub(super) fn record(&self, phase: WorkPhase) {
        self.shared.record(HistoryEvent::Work(TargetWork {
            target: self.shared.options.name.clone(),
            request: self.request.clone(),
            attempt: self.attempt,
            kind: self.kind.clone(),
            phase,
        }));
    }

    pub(super) fn record_arrival(&self) {
        self.shared.lock().counters.arrived += 1;
        self.record(WorkPhase::Arrived);
    }

    pub(super) fn refuse(&self, refusal: TargetRefusal, versions: Vec<IndexVersion>) -> Reply {
        if refusal == TargetRefusal::Cancelled {
            self.shared.lock().counters.cancelled += 1;
            self.record(WorkPhase::Cancelled);
        } else {
            self.shared.lock().counters.refused += 1;
            self.record(WorkPhase::Refused(refusal));
        }
        let status = match refusal {
            TargetRefusal::Shedding | TargetRefusal::Draining | TargetRefusal::Cold => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            TargetRefusal::BadRequest => StatusCode::BAD_REQUEST,
            TargetRefusal::VersionRetired
            | TargetRefusal::RangeMoved
            | TargetRefusal::Cancelled => StatusCode::CONFLICT,
        };
        let request = self.request.clone();
        wire::json(status, &RefusedAttempt { request, attempt: self.attempt, refusal, versions })
    }
}

/// An attempt that waits for a slot. Dropping it removes it from the queue.
pub(super) struct WaitingAttempt {
    context: AttemptContext,
    cancel: CancellationToken,
    started: bool,
}

/// An attempt that holds a slot. Dropping it releases the slot.
pub(super) struct RunningAttempt {
    pub(super) context: AttemptContext,
    pub(super) cancel: CancellationToken,
    pub(super) service_time: Duration,
    // Released after `drop` has decremented the counter of busy slots, so that the
    // counter never exceeds the number of slots.
    _permit: OwnedSemaphorePermit,
}

impl WaitingAttempt {
    /// Waits for a slot until `deadline`; the error is the refusal.
    pub(super) async fn run(mut self, deadline: Instant) -> Result<RunningAttempt, Reply> {
        let slots = Arc::clone(&self.context.shared.slots);
        let permit = match Arc::clone(&slots).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.context.shared.lock().record_queued();
                tokio::select! {
                    biased;
                    () = self.cancel.cancelled() => {
                        return Err(self.context.refuse(TargetRefusal::Cancelled, Vec::new()));
                    }
                    // No slot became free before the deadline, so the target is overloaded.
                    () = tokio::time::sleep_until(deadline) => {
                        return Err(self.context.refuse(TargetRefusal::Shedding, Vec::new()));
                    }
                    permit = slots.acquire_owned() => {
                        permit.expect("the semaphore is never closed")
                    }
                }
            }
        };
        self.started = true;
        let service_time = self.context.shared.lock().start(Instant::now());
        self.context.record(WorkPhase::Started);
        let context = self.context.clone();
        Ok(RunningAttempt { context, cancel: self.cancel.clone(), service_time, _permit: permit })
    }
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        if !self.started {
            let mut state = self.context.shared.lock();
            state.counters.waiting -= 1;
            state.attempts.remove(&(self.context.request.clone(), self.context.attempt));
        }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let mut state = self.context.shared.lock();
        state.end(Instant::now());
        state.attempts.remove(&(self.context.request.clone(), self.context.attempt));
    }
}

/// Admits an attempt and adds it to the queue, atomically under the lock.
pub(super) fn enqueue(
    context: AttemptContext,
    admit: impl FnOnce(&State) -> Result<(), TargetRefusal>,
) -> Result<WaitingAttempt, (AttemptContext, TargetRefusal)> {
    let cancel = CancellationToken::new();
    let shared = Arc::clone(&context.shared);
    let mut state = shared.lock();
    if let Err(refusal) = admit(&state) {
        drop(state);
        return Err((context, refusal));
    }
    state.enqueue((context.request.clone(), context.attempt), cancel.clone());
    drop(state);
    Ok(WaitingAttempt { context, cancel, started: false })
}
