//! How attempts and pieces end.

use super::OwnerState;
use crate::arena::ArenaHandle;
use crate::message::AttemptResult;
use crate::message::LeavingSource;
use crate::message::OwnerAction;
use crate::message::PieceResult;
use crate::piece::LiveAttempt;
use crate::queue::QueueEnd;
use crate::shift::TargetJudgement;
use crate::time::TickTime;
use crate::timer::TimerAlarm;
use hawthorn_types::AttemptId;
use hawthorn_types::FailureReason;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RetryReason;
use hawthorn_types::TargetKey;
use hawthorn_types::UnknownReason;
use hawthorn_types::target::TargetRefusal;

impl OwnerState {
    /// An attempt ended. Ends of attempts that are not known, or whose piece is
    /// finished, give their slot back and nothing else: an answer is delivered
    /// only for the attempt that carries it.
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
        self.learn(now, &attempt, result);
        // A restarted piece is live while its first attempt ends: its answer
        // still counts, its cancellation says nothing.
        let counts = attempt.cancelled_at.is_none() || result == AttemptResult::Answered;
        if counts && self.pieces.get(attempt.piece).is_some() {
            self.conclude(now, handle, &attempt, result);
        } else if result == AttemptResult::Answered {
            self.counters.late_answers += 1;
        }
        self.pump_target(now, attempt.target);
        self.tidy();
    }

    /// Gives the slot back and settles the caller's account.
    fn release(&mut self, now: TickTime, attempt: &LiveAttempt) {
        self.targets[attempt.target.index()].count.give_back();
        self.counters.slots_in_use -= 1;
        let taken = now.micros_since(attempt.sent_at);
        let queue = &mut self.shards[attempt.shard.index()].queue;
        queue.settle(attempt.caller, attempt.charged, taken);
    }

    /// Learns from the end of an attempt about its target and shard.
    fn learn(&mut self, now: TickTime, attempt: &LiveAttempt, result: AttemptResult) {
        let options = self.options.shift;
        let key = attempt.target;
        let live = &mut self.targets[key.index()];
        let slots = live.slots;
        let shift = &mut live.shift;
        match result {
            AttemptResult::Answered => self.learn_time(now, attempt),
            AttemptResult::ConnectionFailed { .. }
            | AttemptResult::TimedOut
            | AttemptResult::Crossed => {
                let judgement = shift.on_failure(&options);
                self.follow(now, key, judgement);
            }
            AttemptResult::Refused(TargetRefusal::Shedding) => {
                let at = shift.on_shed(now, slots, &options);
                self.arm_room(now, key, at);
            }
            AttemptResult::Refused(TargetRefusal::Draining) => {
                shift.on_leaving(LeavingSource::Target, now);
                self.reassess(now, key);
            }
            AttemptResult::Refused(TargetRefusal::Cold) => shift.on_cold(now, &options),
            AttemptResult::Refused(TargetRefusal::VersionRetired | TargetRefusal::RangeMoved) => {
                self.forget_version(attempt);
            }
            AttemptResult::Refused(TargetRefusal::Cancelled | TargetRefusal::BadRequest)
            | AttemptResult::TooLarge
            | AttemptResult::Cancelled => {}
        }
    }

    fn learn_time(&mut self, now: TickTime, attempt: &LiveAttempt) {
        let options = self.options.shift;
        let elapsed = now.micros_since(attempt.sent_at);
        let times = &mut self.shards[attempt.shard.index()].times;
        let median = times.median();
        let target = &mut self.targets[attempt.target.index()];
        // The time of a cancelled attempt was taken in when it was cancelled.
        if attempt.cancelled_at.is_none() {
            times.record(elapsed);
            target.record(now, elapsed, median);
        }
        if elapsed <= median.saturating_mul(options.slow_factor) {
            target.shift.on_good(now, &options);
            return;
        }
        let judgement = target.shift.on_slow(&options);
        self.follow(now, attempt.target, judgement);
    }

    fn forget_version(&mut self, attempt: &LiveAttempt) {
        if let Some(piece) = self.pieces.get(attempt.piece) {
            let version = piece.ask.version;
            self.targets[attempt.target.index()].forget(attempt.shard, version);
        }
    }

    /// Decides what the end of an attempt means for its piece.
    fn conclude(
        &mut self,
        now: TickTime,
        handle: ArenaHandle,
        attempt: &LiveAttempt,
        result: AttemptResult,
    ) {
        let piece = self.pieces.at_mut(attempt.piece.index);
        piece.attempts.retain(|each| *each != handle);
        let once = piece.ask.at_most_once;
        let target = attempt.target;
        match result {
            AttemptResult::Answered => {
                let attempt_id = LiveAttempt::id(handle);
                let answer = PieceResult::Answered { attempt: attempt_id, target };
                self.finish(now, attempt.piece, answer);
            }
            _ if once => self.finish(now, attempt.piece, once_result(result)),
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

    /// Puts an idempotent piece back in front of its caller's queue, or gives
    /// it its final answer at once.
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
        // One that sheds has a pause and may be asked again after it; the
        // others would only say the same again.
        if reason != RetryReason::Shedding && !piece.refused.contains(&target) {
            piece.refused.push(target);
        }
        if !piece.attempts.is_empty() {
            return;
        }
        let late = piece.ask.deadline <= now;
        let result = if late {
            MissingReason::DeadlinePast
        } else if !self.has_untried(handle) {
            missing
        } else if !self.budget.spend_retry() {
            MissingReason::BudgetSpent
        } else {
            self.counters.count_retried(reason);
            self.join_queue(handle, QueueEnd::Front);
            return;
        };
        self.finish(now, handle, PieceResult::Missing(result));
    }

    /// Whether a replica in service has not turned the piece down.
    fn has_untried(&self, handle: ArenaHandle) -> bool {
        let piece = self.pieces.at(handle.index);
        let replicas = &self.shards[piece.ask.shard.index()].replicas;
        replicas
            .iter()
            .any(|key| self.targets[key.index()].in_service() && !piece.refused.contains(key))
    }

    /// Ends a piece: once, whatever comes later.
    pub(super) fn finish(&mut self, now: TickTime, handle: ArenaHandle, result: PieceResult) {
        self.leave_queue(handle);
        let piece = self.pieces.remove(handle).expect("only a live piece is finished");
        self.by_key.remove(&piece.ask.piece);
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
        self.actions.push_back(OwnerAction::Finish { piece: piece.ask.piece, result });
    }

    /// Cancels an attempt that nobody waits for. Its slot stays taken until
    /// the target acknowledges or the grace is over.
    pub(super) fn cancel_attempt(&mut self, now: TickTime, handle: ArenaHandle) {
        let Some(attempt) = self.attempts.get_mut(handle) else { return };
        attempt.cancelled_at = Some(now);
        let attempt = *attempt;
        let grace = now.after(self.options.slots.cancel_grace);
        self.timers.arm(grace, TimerAlarm::Grace(handle));
        self.actions.push_back(OwnerAction::Cancel {
            attempt: LiveAttempt::id(handle),
            target: attempt.target,
        });
        self.learn_slow(now, &attempt);
    }

    /// A cancelled attempt that had run for longer than the hedge delay says
    /// that its target is slow, as much as an answer would.
    fn learn_slow(&mut self, now: TickTime, attempt: &LiveAttempt) {
        let elapsed = now.micros_since(attempt.sent_at);
        if elapsed < self.hedge_delay(attempt.shard, attempt.caller) {
            return;
        }
        let times = &mut self.shards[attempt.shard.index()].times;
        let median = times.median();
        times.record(elapsed);
        let target = &mut self.targets[attempt.target.index()];
        target.record(now, elapsed, median);
        let judgement = target.shift.on_slow(&self.options.shift);
        self.follow(now, attempt.target, judgement);
    }

    pub(super) fn on_deadline(&mut self, now: TickTime, handle: ArenaHandle) {
        if self.pieces.get(handle).is_some() {
            self.expire(now, handle);
        }
    }

    /// The piece's time is up, wherever it is.
    pub(super) fn expire(&mut self, now: TickTime, handle: ArenaHandle) {
        let piece = self.pieces.at(handle.index);
        let result = match (piece.ask.at_most_once, piece.sent, piece.waiting) {
            (true, true, _) => PieceResult::Unknown(UnknownReason::DeadlinePast),
            (true, false, _) => PieceResult::NotRun(RefusalReason::ExpiredInQueue),
            (false, false, _) => PieceResult::Missing(MissingReason::QueuedPastDeadline),
            (false, true, true) => PieceResult::Missing(piece.last_reason),
            (false, true, false) => PieceResult::Missing(MissingReason::DeadlinePast),
        };
        self.finish(now, handle, result);
    }

    /// A cancellation was not acknowledged in time: the target hangs, or the
    /// acknowledgement was lost. The connection is closed, which ends the
    /// attempt at the target, and the slot is free again.
    pub(super) fn on_grace_over(&mut self, now: TickTime, handle: ArenaHandle) {
        let Some(attempt) = self.attempts.remove(handle) else { return };
        self.counters.unacknowledged += 1;
        self.release(now, &attempt);
        self.actions.push_back(OwnerAction::Close {
            attempt: LiveAttempt::id(handle),
            target: attempt.target,
        });
        let judgement = self.targets[attempt.target.index()].shift.on_failure(&self.options.shift);
        self.follow(now, attempt.target, judgement);
        self.pump_target(now, attempt.target);
    }

    fn follow(&mut self, now: TickTime, target: TargetKey, judgement: TargetJudgement) {
        if judgement == TargetJudgement::Eject {
            self.eject(now, target);
        }
    }
}

/// What the end of its only attempt means for a non-idempotent piece. Not run
/// only when the target says so or no byte was sent.
fn once_result(result: AttemptResult) -> PieceResult {
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
