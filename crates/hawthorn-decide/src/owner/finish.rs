//! The end of attempts and pieces.

use super::OwnerState;
use crate::arena::ArenaHandle;
use crate::message::AttemptResult;
use crate::message::DrainSource;
use crate::message::OwnerAction;
use crate::message::PieceResult;
use crate::piece::LiveAttempt;
use crate::queue::QueueEnd;
use crate::shift::EjectionDecision;
use crate::time::TickTime;
use crate::timer::TimerEvent;
use hawthorn_types::AttemptId;
use hawthorn_types::FailureReason;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RetryReason;
use hawthorn_types::TargetKey;
use hawthorn_types::UnknownReason;
use hawthorn_types::target::TargetRefusal;

impl OwnerState {
    /// Processes the end of an attempt. Unknown attempts are ignored, and an attempt whose piece is
    /// finished does not affect the piece: an answer is delivered only for its own attempt.
    pub fn complete(&mut self, now: TickTime, attempt: AttemptId, result: AttemptResult) {
        let handle = ArenaHandle::unpack(attempt.0);
        let Some(attempt) = self.attempts.remove(handle) else {
            self.counters.unknown_attempts += 1;
            return;
        };
        if result == AttemptResult::Crossed {
            self.counters.crossed_answers += 1;
        }
        self.release(now, &attempt);
        self.record_outcome(now, &attempt, result);
        // A restarted piece is unfinished while its cancelled attempts end. An answer to one of
        // them is still used; any other end is ignored.
        let affects_piece = attempt.cancelled_at.is_none() || result == AttemptResult::Answered;
        if affects_piece && self.pieces.get(attempt.piece).is_some() {
            self.resolve_piece(now, handle, &attempt, result);
        } else if result == AttemptResult::Answered {
            self.counters.late_answers += 1;
        }
        self.dispatch_target_queues(now, attempt.target);
        self.compact_timers();
    }

    /// Releases the slot and corrects the slot time charged to the caller.
    fn release(&mut self, now: TickTime, attempt: &LiveAttempt) {
        self.targets[attempt.target.index()].count.release();
        self.counters.slots_in_use -= 1;
        let elapsed = now.micros_since(attempt.sent_at);
        let queue = &mut self.shards[attempt.shard.index()].queue;
        queue.settle(attempt.caller, attempt.charged, elapsed);
    }

    /// Updates the state of the target and the shard from the end of an attempt.
    fn record_outcome(&mut self, now: TickTime, attempt: &LiveAttempt, result: AttemptResult) {
        let options = self.options.shift;
        let key = attempt.target;
        let live = &mut self.targets[key.index()];
        let slots = live.slots;
        let health = &mut live.health;
        match result {
            AttemptResult::Answered => self.record_answer_time(now, attempt),
            AttemptResult::ConnectionFailed { .. }
            | AttemptResult::TimedOut
            | AttemptResult::Crossed => {
                let decision = health.on_failure(&options);
                self.apply_ejection(now, key, decision);
            }
            AttemptResult::Refused(TargetRefusal::Shedding) => {
                let at = health.on_shed(now, slots, &options);
                self.arm_capacity_timer(now, key, at);
            }
            AttemptResult::Refused(TargetRefusal::Draining) => {
                health.start_drain(DrainSource::Target, now);
                self.reassess(now, key);
            }
            AttemptResult::Refused(TargetRefusal::Cold) => health.on_cold(now, &options),
            AttemptResult::Refused(TargetRefusal::VersionRetired | TargetRefusal::RangeMoved) => {
                self.remove_version(attempt);
            }
            AttemptResult::Refused(TargetRefusal::Cancelled | TargetRefusal::BadRequest)
            | AttemptResult::TooLarge
            | AttemptResult::Cancelled => {}
        }
    }

    fn record_answer_time(&mut self, now: TickTime, attempt: &LiveAttempt) {
        let options = self.options.shift;
        let elapsed = now.micros_since(attempt.sent_at);
        let times = &mut self.shards[attempt.shard.index()].times;
        let median = times.median();
        let target = &mut self.targets[attempt.target.index()];
        // The time of a cancelled attempt was recorded at its cancellation.
        if attempt.cancelled_at.is_none() {
            times.record(elapsed);
            target.record(now, elapsed, median);
        }
        if elapsed <= median.saturating_mul(options.slow_factor) {
            target.health.on_success(now, &options);
            return;
        }
        let decision = target.health.on_slow(&options);
        self.apply_ejection(now, attempt.target, decision);
    }

    fn remove_version(&mut self, attempt: &LiveAttempt) {
        if let Some(piece) = self.pieces.get(attempt.piece) {
            let version = piece.request.version;
            self.targets[attempt.target.index()].remove_version(attempt.shard, version);
        }
    }

    /// Finishes or retries the piece after the end of one of its attempts.
    fn resolve_piece(
        &mut self,
        now: TickTime,
        handle: ArenaHandle,
        attempt: &LiveAttempt,
        result: AttemptResult,
    ) {
        let piece = self.pieces.at_mut(attempt.piece.index);
        piece.attempts.retain(|each| *each != handle);
        let at_most_once = piece.request.at_most_once;
        let target = attempt.target;
        match result {
            AttemptResult::Answered => {
                let attempt_id = LiveAttempt::id(handle);
                let answer = PieceResult::Answered { attempt: attempt_id, target };
                self.finish(now, attempt.piece, answer);
            }
            _ if at_most_once => self.finish(now, attempt.piece, at_most_once_result(result)),
            AttemptResult::TooLarge => {
                let result = PieceResult::Missing(MissingReason::AnswerTooLarge);
                self.finish(now, attempt.piece, result);
            }
            AttemptResult::TimedOut => {
                let result = PieceResult::Missing(MissingReason::DeadlinePast);
                self.finish_unless_raced(now, attempt.piece, result);
            }
            AttemptResult::Refused(TargetRefusal::BadRequest) => {
                let result = PieceResult::Missing(MissingReason::BadAnswer);
                self.finish_unless_raced(now, attempt.piece, result);
            }
            AttemptResult::Refused(refusal) => {
                let (missing, retry) = refusal_reasons(refusal);
                self.retry(now, attempt.piece, target, missing, retry);
            }
            AttemptResult::Crossed => {
                let missing = MissingReason::BadAnswer;
                self.retry(now, attempt.piece, target, missing, RetryReason::CrossedAnswer);
            }
            AttemptResult::ConnectionFailed { .. } | AttemptResult::Cancelled => {
                let missing = MissingReason::Unreachable;
                self.retry(now, attempt.piece, target, missing, RetryReason::ConnectionFailed);
            }
        }
    }

    fn finish_unless_raced(&mut self, now: TickTime, handle: ArenaHandle, result: PieceResult) {
        if self.pieces.at(handle.index).attempts.is_empty() {
            self.finish(now, handle, result);
        }
    }

    /// Puts an idempotent piece back at the front of its caller's queue, or finishes it.
    fn retry(
        &mut self,
        now: TickTime,
        handle: ArenaHandle,
        target: TargetKey,
        missing: MissingReason,
        reason: RetryReason,
    ) {
        let piece = self.pieces.at_mut(handle.index);
        piece.last_reason = missing;
        // A target that sheds load is paused and may be tried again afterwards; any other reason
        // would recur.
        if reason != RetryReason::Shedding && !piece.excluded_targets.contains(&target) {
            piece.excluded_targets.push(target);
        }
        if !piece.attempts.is_empty() {
            return;
        }
        let expired = piece.request.deadline <= now;
        let result = if expired {
            MissingReason::DeadlinePast
        } else if !self.has_untried_replica(handle) {
            missing
        } else if !self.budget.spend_retry() {
            MissingReason::BudgetSpent
        } else {
            self.counters.count_retried(reason);
            self.enqueue(handle, QueueEnd::Front);
            return;
        };
        self.finish(now, handle, PieceResult::Missing(result));
    }

    /// Whether the piece has not yet failed at some replica in service.
    fn has_untried_replica(&self, handle: ArenaHandle) -> bool {
        let piece = self.pieces.at(handle.index);
        let replicas = &self.shards[piece.request.shard.index()].replicas;
        replicas.iter().any(|key| {
            self.targets[key.index()].in_service() && !piece.excluded_targets.contains(key)
        })
    }

    /// Finishes a piece, which happens exactly once.
    pub(super) fn finish(&mut self, now: TickTime, handle: ArenaHandle, result: PieceResult) {
        self.dequeue(handle);
        let piece = self.pieces.remove(handle).expect("only a live piece is finished");
        self.by_key.remove(&piece.request.piece);
        for attempt in piece.attempts {
            self.cancel_attempt(now, attempt);
        }
        match result {
            PieceResult::Answered { .. } => self.counters.answered += 1,
            PieceResult::Missing(reason) => self.counters.count_missing(reason),
            PieceResult::NotRun(reason) => self.counters.count_refused(reason),
            PieceResult::Unknown(reason) => self.counters.count_unknown(reason),
            PieceResult::Failed(_) => self.counters.failed += 1,
            PieceResult::Cancelled { .. } => {}
        }
        self.actions.push_back(OwnerAction::Finish { piece: piece.request.piece, result });
    }

    /// Cancels an attempt whose answer is no longer needed. Its slot stays in use until the target
    /// acknowledges or the grace period ends.
    pub(super) fn cancel_attempt(&mut self, now: TickTime, handle: ArenaHandle) {
        let Some(attempt) = self.attempts.get_mut(handle) else { return };
        attempt.cancelled_at = Some(now);
        let attempt = *attempt;
        let grace = now.after(self.options.slots.cancel_grace);
        self.timers.arm(grace, TimerEvent::CancelGrace(handle));
        self.actions.push_back(OwnerAction::Cancel {
            attempt: LiveAttempt::id(handle),
            target: attempt.target,
        });
        self.record_slow_cancellation(now, &attempt);
    }

    /// Counts a cancelled attempt that ran for longer than the hedge delay as a slow answer of its
    /// target.
    fn record_slow_cancellation(&mut self, now: TickTime, attempt: &LiveAttempt) {
        let elapsed = now.micros_since(attempt.sent_at);
        if elapsed < self.hedge_delay(attempt.shard, attempt.caller) {
            return;
        }
        let times = &mut self.shards[attempt.shard.index()].times;
        let median = times.median();
        times.record(elapsed);
        let target = &mut self.targets[attempt.target.index()];
        target.record(now, elapsed, median);
        let decision = target.health.on_slow(&self.options.shift);
        self.apply_ejection(now, attempt.target, decision);
    }

    pub(super) fn on_deadline(&mut self, now: TickTime, handle: ArenaHandle) {
        if self.pieces.get(handle).is_some() {
            self.expire(now, handle);
        }
    }

    /// Finishes a piece that cannot be answered before its deadline, queued or in flight.
    pub(super) fn expire(&mut self, now: TickTime, handle: ArenaHandle) {
        let piece = self.pieces.at(handle.index);
        let result = match (piece.request.at_most_once, piece.sent, piece.waiting) {
            (true, true, _) => PieceResult::Unknown(UnknownReason::DeadlinePast),
            (true, false, _) => PieceResult::NotRun(RefusalReason::ExpiredInQueue),
            (false, false, _) => PieceResult::Missing(MissingReason::QueuedPastDeadline),
            (false, true, true) => PieceResult::Missing(piece.last_reason),
            (false, true, false) => PieceResult::Missing(MissingReason::DeadlinePast),
        };
        self.finish(now, handle, result);
    }

    /// Handles a cancellation that was not acknowledged in time, as the target hangs or the
    /// acknowledgement was lost. The connection is closed, which ends the attempt at the target,
    /// and the slot is released.
    pub(super) fn on_cancel_grace_end(&mut self, now: TickTime, handle: ArenaHandle) {
        let Some(attempt) = self.attempts.remove(handle) else { return };
        self.counters.unacknowledged += 1;
        self.release(now, &attempt);
        self.actions.push_back(OwnerAction::Close {
            attempt: LiveAttempt::id(handle),
            target: attempt.target,
        });
        let decision = self.targets[attempt.target.index()].health.on_failure(&self.options.shift);
        self.apply_ejection(now, attempt.target, decision);
        self.dispatch_target_queues(now, attempt.target);
    }

    fn apply_ejection(&mut self, now: TickTime, target: TargetKey, decision: EjectionDecision) {
        if decision == EjectionDecision::Eject {
            self.eject(now, target);
        }
    }
}

/// The result of a non-idempotent piece after its only attempt. It is `NotRun` only if the target
/// reported so or no byte was sent.
fn at_most_once_result(result: AttemptResult) -> PieceResult {
    match result {
        AttemptResult::Refused(TargetRefusal::Cancelled) | AttemptResult::Cancelled => {
            PieceResult::Unknown(UnknownReason::ConnectionLost)
        }
        AttemptResult::Refused(_) => PieceResult::NotRun(RefusalReason::TargetRefused),
        AttemptResult::ConnectionFailed { sent: false } => {
            PieceResult::NotRun(RefusalReason::NoTarget)
        }
        AttemptResult::ConnectionFailed { sent: true } | AttemptResult::Crossed => {
            PieceResult::Unknown(UnknownReason::ConnectionLost)
        }
        AttemptResult::TimedOut => PieceResult::Unknown(UnknownReason::DeadlinePast),
        AttemptResult::Answered | AttemptResult::TooLarge => {
            PieceResult::Failed(FailureReason::BadAnswer)
        }
    }
}

fn refusal_reasons(refusal: TargetRefusal) -> (MissingReason, RetryReason) {
    match refusal {
        TargetRefusal::Shedding => (MissingReason::Shedding, RetryReason::Shedding),
        TargetRefusal::Draining => (MissingReason::Unreachable, RetryReason::Draining),
        TargetRefusal::Cold => (MissingReason::Unreachable, RetryReason::Cold),
        TargetRefusal::VersionRetired => {
            (MissingReason::VersionMissing, RetryReason::VersionRetired)
        }
        TargetRefusal::RangeMoved => (MissingReason::Repartitioned, RetryReason::Repartitioned),
        TargetRefusal::Cancelled | TargetRefusal::BadRequest => {
            (MissingReason::BadAnswer, RetryReason::ConnectionFailed)
        }
    }
}
