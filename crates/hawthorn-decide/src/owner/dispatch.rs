//! From the queue to a target: first attempts and hedges.

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
use crate::queue::PieceVerdict;
use crate::queue::QueueEnd;
use crate::shift::ReplicaRelief;
use crate::time::TickTime;
use crate::timer::TimerAlarm;
use hawthorn_types::RetryReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

type CandidateList = SmallVec<[Candidate; 4]>;

/// What the last look at a shard's queue found.
struct PumpView<'a> {
    now: TickTime,
    shard: &'a LiveShard,
    targets: &'a [LiveTarget],
    relief: ReplicaRelief,
    tie: u64,
}

impl PumpView<'_> {
    fn candidates(&self, piece: &LivePiece) -> CandidateList {
        let median = self.shard.times.median();
        let mut list = CandidateList::new();
        for key in &self.shard.replicas {
            let target = &self.targets[key.index()];
            if !target.in_service() || piece.refused.contains(key) {
                continue;
            }
            list.push(Candidate {
                target: *key,
                latency: target.latency(self.now, median),
                taken: target.count.taken(),
                limit: target.limit(self.relief),
                pause: target.shift.send_at(self.relief).micros_since(self.now),
                seen_version: target.lists(piece.ask.shard, piece.ask.version),
                used: false,
            });
        }
        list
    }

    fn place(&self, piece: &LivePiece) -> place::Outcome {
        let candidates = self.candidates(piece);
        let options = place::Options {
            waited: self.now.micros_since(piece.queued_at),
            hedge: false,
            tie: self.tie,
        };
        place::choose(&candidates, options)
    }

    fn has_room(&self) -> bool {
        self.shard.replicas.iter().any(|key| {
            let target = &self.targets[key.index()];
            let paused = target.shift.send_at(self.relief) > self.now;
            !paused && target.count.taken() < target.limit(self.relief)
        })
    }
}

impl OwnerState {
    /// Sends what the shard's queue holds for as long as slots are free.
    pub(super) fn pump(&mut self, now: TickTime, shard: ShardKey) {
        self.hedge_due(now, shard);
        while !self.shards[shard.index()].queue.is_empty() {
            let Some((index, target)) = self.pick(now, shard) else {
                self.arm_rooms(now, shard);
                return;
            };
            let handle = self.pieces.handle_at(index);
            let deadline = self.pieces.at(index).ask.deadline;
            // Under load the oldest pieces are the next to expire: sent now,
            // each would take a slot for an answer that comes too late.
            if self.shards[shard.index()].is_hopeless(deadline.micros_since(now)) {
                self.expire(now, handle);
                continue;
            }
            self.leave_queue(handle);
            self.send(now, handle, target);
        }
    }

    /// The piece whose turn it is, and its target.
    fn pick(&mut self, now: TickTime, shard: ShardKey) -> Option<(u32, TargetKey)> {
        let live = &self.shards[shard.index()];
        let relief = self.relief(live);
        let tie = self.rng.next_u64();
        let view = PumpView { now, shard: live, targets: &self.targets, relief, tie };
        if !view.has_room() {
            return None;
        }
        let slots = self.slots_of(live) as u32;
        let mut chosen = None;
        let mut patience: Option<u64> = None;
        let index = live.queue.pick(&self.pieces, slots, |piece| match view.place(piece) {
            place::Outcome::Send(target) => {
                chosen = Some(target);
                PieceVerdict::Send
            }
            place::Outcome::WaitAtMost(span) => {
                patience = Some(patience.map_or(span, |least| least.min(span)));
                PieceVerdict::Wait
            }
            place::Outcome::Wait => PieceVerdict::Wait,
        });
        if let Some(span) = patience
            && let Some(&target) = live.replicas.first()
        {
            self.arm_room(now, target, now.plus(span.max(1)));
        }
        index.zip(chosen)
    }

    /// Wakes the shard when a paused replica may be sent to again.
    fn arm_rooms(&mut self, now: TickTime, shard: ShardKey) {
        let live = &self.shards[shard.index()];
        let relief = self.relief(live);
        let replicas = live.replicas.clone();
        for key in replicas {
            let target = &self.targets[key.index()];
            let at = target.shift.send_at(relief);
            if target.in_service() && at > now {
                self.arm_room(now, key, at);
            }
        }
    }

    pub(super) fn arm_room(&mut self, now: TickTime, key: TargetKey, at: TickTime) {
        let target = &mut self.targets[key.index()];
        let armed = target.room_at > now && target.room_at <= at;
        if !armed {
            target.room_at = at;
            self.timers.arm(at, TimerAlarm::Room(key));
        }
    }

    fn send(&mut self, now: TickTime, handle: ArenaHandle, target: TargetKey) {
        let piece = self.pieces.at(handle.index);
        let lane = piece.lane();
        let cost = piece.cost;
        let shard = piece.ask.shard;
        // A further attempt was paid for from the budget already.
        if !piece.sent {
            self.budget.earn();
        }
        self.shards[shard.index()].queue.charge_lane(lane, cost);
        self.attempt(now, handle, target);
        if !self.pieces.at(handle.index).ask.at_most_once {
            let delay = self.piece_delay(self.pieces.at(handle.index));
            self.timers.arm(now.plus(delay), TimerAlarm::Hedge(handle));
        }
    }

    /// Takes a slot and sends an attempt.
    fn attempt(&mut self, now: TickTime, handle: ArenaHandle, target: TargetKey) {
        let piece = self.pieces.at_mut(handle.index);
        let live = &mut self.targets[target.index()];
        let taken = live.count.take(live.slots);
        assert!(taken, "a target is chosen only while it has a free slot");
        live.shift.on_sent(now);
        let caller = piece.ask.caller.0;
        let shard = piece.ask.shard;
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
            piece: piece.ask.piece,
            target,
            deadline: piece.ask.deadline,
        });
    }

    /// The piece has been on its way for the hedge delay: another attempt is
    /// made if a slot is spare and the budget allows, and as soon as one is.
    pub(super) fn on_hedge_due(&mut self, now: TickTime, handle: ArenaHandle) {
        let Some(piece) = self.pieces.get(handle) else { return };
        if !self.may_hedge(piece) {
            return;
        }
        if piece.hedge_due {
            self.restart_or_wait(now, handle);
            return;
        }
        let shard = piece.ask.shard;
        let newest = piece.attempts.last().and_then(|attempt| self.attempts.get(*attempt));
        let sent_at = newest.map_or(now, |attempt| attempt.sent_at);
        let due = sent_at.plus(self.piece_delay(piece));
        if due > now {
            self.timers.arm(due, TimerAlarm::Hedge(handle));
            return;
        }
        if !self.is_calm(shard) {
            self.put_off_hedge(now, handle);
            return;
        }
        self.pieces.at_mut(handle.index).hedge_due = true;
        self.shards[shard.index()].due.push_back(handle);
        self.hedge_due(now, shard);
        if self.pieces.get(handle).is_some_and(|piece| piece.hedge_due) {
            self.restart_or_wait(now, handle);
        }
    }

    fn may_hedge(&self, piece: &LivePiece) -> bool {
        let on_way = piece.attempts.len();
        !piece.waiting && on_way > 0 && on_way < self.options.hedge.most_attempts
    }

    /// A slot is spare when what waits for it waits for less than an ordinary
    /// request takes. The load is saturation: were hedges made then, each would hold
    /// up pieces that have not been sent even once. While it is calm a hedge
    /// goes first: its piece has waited longest, and the loser's cancellation
    /// gives back a slot that a straggler would have held for much longer.
    fn is_calm(&self, shard: ShardKey) -> bool {
        let live = &self.shards[shard.index()];
        if live.queue.is_empty() {
            return true;
        }
        let wait = live.queue.backlog(live.times.median()) / self.slots_of(live).max(1);
        wait <= live.times.p90()
    }

    fn put_off_hedge(&mut self, now: TickTime, handle: ArenaHandle) {
        self.pieces.at_mut(handle.index).hedge_due = false;
        self.counters.hedges_without_slot += 1;
        self.restart_or_wait(now, handle);
    }

    /// No slot is spare for the piece's hedge.
    fn restart_or_wait(&mut self, now: TickTime, handle: ArenaHandle) {
        if self.should_restart(now, handle) && self.budget.spend_hedge() {
            self.restart(now, handle);
            return;
        }
        let delay = self.piece_delay(self.pieces.at(handle.index));
        self.timers.arm(now.plus(delay), TimerAlarm::Hedge(handle));
    }

    /// Stragglers can hold every slot of a shard, also as both attempts of one
    /// piece: no slot is spare then, no hedge is made, and the shard stands
    /// still for twenty service times. A piece whose newest attempt is late
    /// beyond doubt is therefore taken back and sent anew, which takes no slot
    /// beyond those it returns. Once only: what is long by its nature, and not
    /// by its caller's average, must come to its end.
    fn should_restart(&self, now: TickTime, handle: ArenaHandle) -> bool {
        let piece = self.pieces.at(handle.index);
        let newest = piece.attempts.last().and_then(|attempt| self.attempts.get(*attempt));
        let Some(attempt) = newest else { return false };
        let beyond_doubt = self.hedge_delay_at(attempt.shard, attempt.caller, 0.0);
        !piece.restarted && now.micros_since(attempt.sent_at) >= beyond_doubt
    }

    fn restart(&mut self, now: TickTime, handle: ArenaHandle) {
        let piece = self.pieces.at_mut(handle.index);
        piece.restarted = true;
        piece.hedge_due = false;
        let attempts = std::mem::take(&mut piece.attempts);
        for attempt in attempts {
            self.cancel_attempt(now, attempt);
        }
        self.counters.restarts += 1;
        self.counters.count_retried(RetryReason::Hedge);
        self.join_queue(handle, QueueEnd::Front);
    }

    /// Makes the hedges that are due for as long as slots are spare.
    fn hedge_due(&mut self, now: TickTime, shard: ShardKey) {
        if self.shards[shard.index()].due.is_empty() {
            return;
        }
        let calm = self.is_calm(shard);
        while let Some(&handle) = self.shards[shard.index()].due.front() {
            let piece = self.pieces.get(handle);
            let live = piece.is_some_and(|piece| piece.hedge_due && self.may_hedge(piece));
            if live && calm {
                let Some(target) = self.spare_target(now, handle) else { return };
                self.make_hedge(now, handle, target);
            } else if live {
                self.put_off_hedge(now, handle);
            } else if let Some(piece) = self.pieces.get_mut(handle) {
                piece.hedge_due = false;
            }
            self.shards[shard.index()].due.pop_front();
        }
    }

    fn make_hedge(&mut self, now: TickTime, handle: ArenaHandle, target: TargetKey) {
        self.pieces.at_mut(handle.index).hedge_due = false;
        if self.budget.spend_hedge() {
            self.counters.count_retried(RetryReason::Hedge);
            self.attempt(now, handle, target);
        } else {
            self.counters.hedges_without_budget += 1;
        }
        let delay = self.piece_delay(self.pieces.at(handle.index));
        self.timers.arm(now.plus(delay), TimerAlarm::Hedge(handle));
    }

    fn spare_target(&mut self, now: TickTime, handle: ArenaHandle) -> Option<TargetKey> {
        let tie = self.rng.next_u64();
        let piece = self.pieces.at(handle.index);
        let live = &self.shards[piece.ask.shard.index()];
        let relief = self.relief(live);
        let view = PumpView { now, shard: live, targets: &self.targets, relief, tie };
        let mut candidates = view.candidates(piece);
        candidates.retain(|each| self.is_spare(each.target));
        for each in &mut candidates {
            let busy = |attempt: &ArenaHandle| {
                self.attempts.get(*attempt).is_some_and(|attempt| attempt.target == each.target)
            };
            each.used = piece.attempts.iter().any(busy);
        }
        if piece.ask.relayable {
            candidates.retain(|each| !each.used);
        }
        let options = place::Options { waited: 0, hedge: true, tie };
        match place::choose(&candidates, options) {
            place::Outcome::Send(target) => Some(target),
            place::Outcome::Wait | place::Outcome::WaitAtMost(_) => None,
        }
    }

    /// Whether the target's slots are spare for all its shards.
    fn is_spare(&self, target: TargetKey) -> bool {
        self.targets[target.index()].shards.iter().all(|shard| self.is_calm(*shard))
    }
}
