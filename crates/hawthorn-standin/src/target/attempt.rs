//! The life of an attempt at a target: it waits for a slot, runs, and ends. Each
//! step is a type of its own, so that an attempt can't run without a slot nor
//! keep its slot after its end.

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

/// Echo fields and record of one attempt, whatever its phase.
#[derive(Clone)]
pub(super) struct AttemptEcho {
    pub(super) shared: Arc<Shared>,
    pub(super) request: String,
    pub(super) attempt: u64,
    pub(super) kind: WorkKind,
}

impl AttemptEcho {
    pub(super) fn record(&self, phase: WorkPhase) {
        self.shared.record(HistoryEvent::Work(TargetWork {
            target: self.shared.options.name.clone(),
            request: self.request.clone(),
            attempt: self.attempt,
            kind: self.kind.clone(),
            phase,
        }));
    }

    pub(super) fn arrive(&self) {
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

/// An attempt that waits for a slot; leaves the queue when dropped.
pub(super) struct WaitingAttempt {
    echo: AttemptEcho,
    cancel: CancellationToken,
    left: bool,
}

/// An attempt that holds a slot; gives it back when dropped.
pub(super) struct RunningAttempt {
    pub(super) echo: AttemptEcho,
    pub(super) cancel: CancellationToken,
    pub(super) takes: Duration,
    // Dropped after `drop` has counted the attempt out, so that the count never
    // exceeds the slots.
    _permit: OwnedSemaphorePermit,
}

impl WaitingAttempt {
    /// Waits for a slot until `deadline`, or gives the reason it got none.
    pub(super) async fn run(mut self, deadline: Instant) -> Result<RunningAttempt, Reply> {
        let slots = Arc::clone(&self.echo.shared.slots);
        let permit = match Arc::clone(&slots).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.echo.shared.lock().queued();
                tokio::select! {
                    biased;
                    () = self.cancel.cancelled() => {
                        return Err(self.echo.refuse(TargetRefusal::Cancelled, Vec::new()));
                    }
                    // It never got a slot in its time: to the caller that is load.
                    () = tokio::time::sleep_until(deadline) => {
                        return Err(self.echo.refuse(TargetRefusal::Shedding, Vec::new()));
                    }
                    permit = slots.acquire_owned() => {
                        permit.expect("the slots are never closed")
                    }
                }
            }
        };
        self.left = true;
        let takes = self.echo.shared.lock().run(Instant::now());
        self.echo.record(WorkPhase::Started);
        let echo = self.echo.clone();
        Ok(RunningAttempt { echo, cancel: self.cancel.clone(), takes, _permit: permit })
    }
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        if !self.left {
            let mut state = self.echo.shared.lock();
            state.counters.waiting -= 1;
            state.attempts.remove(&(self.echo.request.clone(), self.echo.attempt));
        }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let mut state = self.echo.shared.lock();
        state.end(Instant::now());
        state.attempts.remove(&(self.echo.request.clone(), self.echo.attempt));
    }
}

/// Admits an attempt and lets it wait, in one step under the lock.
pub(super) fn wait(
    echo: AttemptEcho,
    admitted: impl FnOnce(&State) -> Result<(), TargetRefusal>,
) -> Result<WaitingAttempt, (AttemptEcho, TargetRefusal)> {
    let cancel = CancellationToken::new();
    let shared = Arc::clone(&echo.shared);
    let mut state = shared.lock();
    if let Err(refusal) = admitted(&state) {
        drop(state);
        return Err((echo, refusal));
    }
    state.wait((echo.request.clone(), echo.attempt), cancel.clone());
    drop(state);
    Ok(WaitingAttempt { echo, cancel, left: false })
}
