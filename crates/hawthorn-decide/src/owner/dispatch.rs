//! Dispatch from the shard queues to targets: first attempts, retries and hedges.

use rand::Rng;
use smallvec::SmallVec;

use super::LiveShard;
use super::OwnerState;
use super::target::LiveTarget;
use crate::arena::ArenaHandle;
use crate::message::OwnerAction;
use crate::piece::LiveAttempt;
use crate::piece::LivePiece;
use crate::place;
use crate::place::Candidate;
use crate::queue::DispatchDecision;
use crate::queue::QueueEnd;
use crate::shift::ReplicaCapacity;
use crate::time::TickTime;
use crate::timer::TimerEvent;
use hawthorn_types::RetryReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

type CandidateList = SmallVec<[Candidate; 4]>;

/// The inputs of replica selection for one shard.
struct DispatchView<'a> {
    now: TickTime,
    shard: &'a LiveShard,
    targets: &'a [LiveTarget],
    best_capacity: ReplicaCapacity,
    tie_break: u64,
}

impl DispatchView<'_> {
    fn candidates(&self, piece: &LivePiece) -> CandidateList {
        let median = self.shard.times.median();
        let mut list = CandidateList::new();
        for key in &self.shard.replicas {
            let target = &self.targets[key.index()];
            if !target.in_service() || piece.excluded_targets.contains(key) {
                continue;
            }
            list.push(Candidate {
                target: *key,
                latency: target.latency(self.now, median),
                in_use: target.count.in_use(),
                limit: target.limit(self.best_capacity),
                available_in: target.health.send_at(self.best_capacity).micros_since(self.now),
                lists_version: target.lists_version(piece.request.shard, piece.request.version),
                attempted: false,
            });
        }
        list
    }

    fn place(&self, piece: &LivePiece) -> place::Outcome {
        let candidates = self.candidates(piece);
        let options = place::Options {
            waited: self.now.micros_since(piece.queued_at),
            hedge: false,
            tie_break: self.tie_break,
        };
        place::choose(&candidates, options)
    }

    fn has_available_slot(&self) -> bool {
        self.shard.replicas.iter().any(|key| {
            let target = &self.targets[key.index()];
            let paused = target.health.send_at(self.best_capacity) > self.now;
            !paused && target.count.in_use() < target.limit(self.best_capacity)
        })
    }
}

impl OwnerState {
    /// Sends queued pieces of the shard while slots are free.
    pub(super) fn dispatch_queue(&mut self, now: TickTime, shard: ShardKey) {
        self.send_due_hedges(now, shard);
        while !self.shards[shard.index()].queue.is_empty() {
            let Some((index, target)) = self.pick(now, shard) else {
                self.arm_pause_timers(now, shard);
                return;
            };
            let handle = self.pieces.handle_at(index);
            let deadline = self.pieces.at(index).request.deadline;
            // Under overload the oldest pieces are close to their deadline. Sent now, each would
            // use a slot for an answer that comes too late.
            if self.shards[shard.index()].cannot_answer_within(deadline.micros_since(now)) {
                self.expire(now, handle);
                continue;
            }
            self.dequeue(handle);
            self.send(now, handle, target);
        }
    }

    /// The next piece in fair order that can be sent, and its target.
    fn pick(&mut self, now: TickTime, shard: ShardKey) -> Option<(u32, TargetKey)> {
        let live = &self.shards[shard.index()];
        let best_capacity = self.best_capacity(live);
        let tie_break = self.rng.next_u64();
        let view =
            DispatchView { now, shard: live, targets: &self.targets, best_capacity, tie_break };
        if !view.has_available_slot() {
            return None;
        }
        let slots = self.slots_of(live) as u32;
        let mut chosen = None;
        let mut wait_limit: Option<u64> = None;
        let index = live.queue.pick(&self.pieces, slots, |piece| match view.place(piece) {
            place::Outcome::Send(target) => {
                chosen = Some(target);
                DispatchDecision::Send
            }
            place::Outcome::WaitUpTo(span) => {
                wait_limit = Some(wait_limit.map_or(span, |shortest| shortest.min(span)));
                DispatchDecision::Wait
            }
            place::Outcome::Wait => DispatchDecision::Wait,
        });
        if let Some(span) = wait_limit
            && let Some(&target) = live.replicas.first()
        {
            self.arm_capacity_timer(now, target, now.plus(span.max(1)));
        }
        index.zip(chosen)
    }

    /// Arms timers for the ends of the pauses of the shard's replicas.
    fn arm_pause_timers(&mut self, now: TickTime, shard: ShardKey) {
        let live = &self.shards[shard.index()];
        let best_capacity = self.best_capacity(live);
        let replicas = live.replicas.clone();
        for key in replicas {
            let target = &self.targets[key.index()];
            let at = target.health.send_at(best_capacity);
            if target.in_service() && at > now {
                self.arm_capacity_timer(now, key, at);
            }
        }
    }

    pub(super) fn arm_capacity_timer(&mut self, now: TickTime, key: TargetKey, at: TickTime) {
        let target = &mut self.targets[key.index()];
        let armed = target.capacity_timer_at > now && target.capacity_timer_at <= at;
        if !armed {
            target.capacity_timer_at = at;
            self.timers.arm(at, TimerEvent::Capacity(key));
        }
    }

    fn send(&mut self, now: TickTime, handle: ArenaHandle, target: TargetKey) {
        let piece = self.pieces.at(handle.index);
        let lane = piece.lane();
        let cost = piece.cost;
        let shard = piece.request.shard;
        // A retry has already been paid for from the budget.
        if !piece.sent {
            self.budget.deposit();
        }
        self.shards[shard.index()].queue.charge_lane(lane, cost);
        self.attempt(now, handle, target);
        if !self.pieces.at(handle.index).request.at_most_once {
            let delay = self.piece_delay(self.pieces.at(handle.index));
            self.timers.arm(now.plus(delay), TimerEvent::HedgeDelay(handle));
        }
    }

    /// Acquires a slot and sends an attempt.
    fn attempt(&mut self, now: TickTime, handle: ArenaHandle, target: TargetKey) {
        let piece = self.pieces.at_mut(handle.index);
        let live = &mut self.targets[target.index()];
        let acquired = live.count.acquire(live.slots);
        assert!(acquired, "a target is chosen only while it has a free slot");
        live.health.on_sent(now);
        let caller = piece.request.caller.0;
        let shard = piece.request.shard;
        self.shards[shard.index()].queue.charge(caller, piece.cost);
        let attempt = self.attempts.insert(LiveAttempt {
            piece: handle,
            target,
            shard,
            caller,
            sent_at: now,
            charged: piece.cost,
            cancelled_at: None,
        });
        piece.attempts.push(attempt);
        piece.sent = true;
        self.counters.attempts += 1;
        self.counters.slots_in_use += 1;
        self.actions.push_back(OwnerAction::Send {
            attempt: LiveAttempt::id(attempt),
            piece: piece.request.piece,
            target,
            deadline: piece.request.deadline,
        });
    }

    /// Hedges a piece that has been in flight for the hedge delay, if the budget allows, as soon as
    /// a slot is available for hedging.
    pub(super) fn on_hedge_due(&mut self, now: TickTime, handle: ArenaHandle) {
        let Some(piece) = self.pieces.get(handle) else { return };
        if !self.may_hedge(piece) {
            return;
        }
        if piece.hedge_pending {
            self.restart_or_wait(now, handle);
            return;
        }
        let shard = piece.request.shard;
        let newest = piece.attempts.last().and_then(|attempt| self.attempts.get(*attempt));
        let sent_at = newest.map_or(now, |attempt| attempt.sent_at);
        let due = sent_at.plus(self.piece_delay(piece));
        if due > now {
            self.timers.arm(due, TimerEvent::HedgeDelay(handle));
            return;
        }
        if !self.has_hedge_headroom(shard) {
            self.postpone_hedge(now, handle);
            return;
        }
        self.pieces.at_mut(handle.index).hedge_pending = true;
        self.shards[shard.index()].pending_hedges.push_back(handle);
        self.send_due_hedges(now, shard);
        if self.pieces.get(handle).is_some_and(|piece| piece.hedge_pending) {
            self.restart_or_wait(now, handle);
        }
    }

    fn may_hedge(&self, piece: &LivePiece) -> bool {
        let in_flight = piece.attempts.len();
        !piece.waiting && in_flight > 0 && in_flight < self.options.hedge.max_attempts
    }

    /// Whether slots of the shard are available for hedges: the queueing delay is below the 90th
    /// percentile of the service time.
    ///
    /// Under saturation, each hedge would delay pieces that have not been sent at all. Below it,
    /// hedges take precedence over queued pieces: their piece has waited longest, and cancelling
    /// the losing attempt releases a slot that a straggler would have held for much longer.
    fn has_hedge_headroom(&self, shard: ShardKey) -> bool {
        let live = &self.shards[shard.index()];
        if live.queue.is_empty() {
            return true;
        }
        let wait = live.queue.backlog(live.times.median()) / self.slots_of(live).max(1);
        wait <= live.times.p90()
    }

    fn postpone_hedge(&mut self, now: TickTime, handle: ArenaHandle) {
        self.pieces.at_mut(handle.index).hedge_pending = false;
        self.counters.hedges_without_slot += 1;
        self.restart_or_wait(now, handle);
    }

    /// Restarts a piece for whose hedge no slot is available, or checks it again later.
    fn restart_or_wait(&mut self, now: TickTime, handle: ArenaHandle) {
        if self.should_restart(now, handle) && self.budget.spend_hedge() {
            self.restart(now, handle);
            return;
        }
        let delay = self.piece_delay(self.pieces.at(handle.index));
        self.timers.arm(now.plus(delay), TimerEvent::HedgeDelay(handle));
    }

    /// Whether the piece's attempts are to be cancelled and replaced by a new one.
    ///
    /// Stragglers can hold every slot of a shard, even as both attempts of one piece. No hedge is
    /// possible then, and the shard stalls for twenty service times. A piece whose latest attempt
    /// has exceeded the longest hedge delay is therefore restarted, which needs no more slots than
    /// it releases. Each piece is restarted only once, so that one that takes long by its nature,
    /// which its caller's average does not show, can finish.
    fn should_restart(&self, now: TickTime, handle: ArenaHandle) -> bool {
        let piece = self.pieces.at(handle.index);
        let newest = piece.attempts.last().and_then(|attempt| self.attempts.get(*attempt));
        let Some(attempt) = newest else { return false };
        let restart_delay = self.hedge_delay_at(attempt.shard, attempt.caller, 0.0);
        !piece.restarted && now.micros_since(attempt.sent_at) >= restart_delay
    }

    fn restart(&mut self, now: TickTime, handle: ArenaHandle) {
        let piece = self.pieces.at_mut(handle.index);
        piece.restarted = true;
        piece.hedge_pending = false;
        let attempts = std::mem::take(&mut piece.attempts);
        for attempt in attempts {
            self.cancel_attempt(now, attempt);
        }
        self.counters.restarts += 1;
        self.counters.count_retried(RetryReason::Hedge);
        self.enqueue(handle, QueueEnd::Front);
    }

    /// Sends the pending hedges of a shard while slots are available for hedging.
    fn send_due_hedges(&mut self, now: TickTime, shard: ShardKey) {
        if self.shards[shard.index()].pending_hedges.is_empty() {
            return;
        }
        let headroom = self.has_hedge_headroom(shard);
        while let Some(&handle) = self.shards[shard.index()].pending_hedges.front() {
            let piece = self.pieces.get(handle);
            let still_due = piece.is_some_and(|piece| piece.hedge_pending && self.may_hedge(piece));
            if still_due && headroom {
                let Some(target) = self.hedge_target(now, handle) else { return };
                self.send_hedge(now, handle, target);
            } else if still_due {
                self.postpone_hedge(now, handle);
            } else if let Some(piece) = self.pieces.get_mut(handle) {
                piece.hedge_pending = false;
            }
            self.shards[shard.index()].pending_hedges.pop_front();
        }
    }

    fn send_hedge(&mut self, now: TickTime, handle: ArenaHandle, target: TargetKey) {
        self.pieces.at_mut(handle.index).hedge_pending = false;
        if self.budget.spend_hedge() {
            self.counters.count_retried(RetryReason::Hedge);
            self.attempt(now, handle, target);
        } else {
            self.counters.hedges_without_budget += 1;
        }
        let delay = self.piece_delay(self.pieces.at(handle.index));
        self.timers.arm(now.plus(delay), TimerEvent::HedgeDelay(handle));
    }

    fn hedge_target(&mut self, now: TickTime, handle: ArenaHandle) -> Option<TargetKey> {
        let tie_break = self.rng.next_u64();
        let piece = self.pieces.at(handle.index);
        let live = &self.shards[piece.request.shard.index()];
        let best_capacity = self.best_capacity(live);
        let view =
            DispatchView { now, shard: live, targets: &self.targets, best_capacity, tie_break };
        let mut candidates = view.candidates(piece);
        candidates.retain(|each| self.has_target_headroom(each.target));
        for each in &mut candidates {
            let runs_here = |attempt: &ArenaHandle| {
                self.attempts.get(*attempt).is_some_and(|attempt| attempt.target == each.target)
            };
            each.attempted = piece.attempts.iter().any(runs_here);
        }
        if piece.request.relayable {
            candidates.retain(|each| !each.attempted);
        }
        let options = place::Options { waited: 0, hedge: true, tie_break };
        match place::choose(&candidates, options) {
            place::Outcome::Send(target) => Some(target),
            place::Outcome::Wait | place::Outcome::WaitUpTo(_) => None,
        }
    }

    /// Whether all shards of the target have slots available for hedges.
    fn has_target_headroom(&self, target: TargetKey) -> bool {
        self.targets[target.index()].shards.iter().all(|shard| self.has_hedge_headroom(*shard))
    }
}
