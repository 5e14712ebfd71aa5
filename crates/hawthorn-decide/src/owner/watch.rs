//! Configuration and observation of targets, and their ejection.

use std::collections::VecDeque;

use rand::RngExt;

use super::LiveShard;
use super::OwnerState;
use super::target::LiveTarget;
use crate::latency::ServiceTimes;
use crate::message::DrainSource;
use crate::message::Observation;
use crate::message::OwnerAction;
use crate::message::PieceResult;
use crate::message::TargetRecord;
use crate::queue::ShardQueue;
use crate::shift::EjectionDecision;
use crate::shift::Phase;
use crate::time::TickTime;
use crate::time::micros;
use crate::timer::TimerEvent;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;

impl OwnerState {
    /// Sets the targets that the owner holds from now on. Other targets get no new work; attempts
    /// in flight to them continue.
    pub fn set_targets(&mut self, now: TickTime, records: &[TargetRecord]) {
        for target in &mut self.targets {
            target.owned = false;
        }
        for record in records {
            self.set_target(now, record);
        }
        self.rebuild_replicas();
        for index in 0..self.shards.len() {
            self.reassess_shard(now, ShardKey::from(index));
        }
    }

    fn set_target(&mut self, now: TickTime, record: &TargetRecord) {
        let options = self.options.shift;
        while self.targets.len() <= record.key.index() {
            let key = TargetKey::from(self.targets.len());
            self.targets.push(LiveTarget::unowned(key));
        }
        let jitter: f64 = self.rng.random();
        let target = &mut self.targets[record.key.index()];
        target.owned = true;
        target.slots = record.slots;
        target.shards = record.shards.clone();
        target.health.set_wanted(record.wanted, now, &options);
        if !target.probe_armed {
            target.probe_armed = true;
            let max_delay = options.max_first_probe_delay.min(options.probe_interval);
            let first = micros(max_delay) as f64 * jitter;
            self.timers.arm(now.plus(first as u64), TimerEvent::Probe(record.key));
        }
    }

    fn rebuild_replicas(&mut self) {
        for shard in &mut self.shards {
            shard.replicas.clear();
        }
        let initial_estimate = micros(self.options.admit.initial_service_time);
        for target in self.targets.iter().filter(|target| target.owned) {
            for key in &target.shards {
                while self.shards.len() <= key.index() {
                    self.shards.push(LiveShard {
                        replicas: Default::default(),
                        queue: ShardQueue::new(self.options.queue),
                        times: ServiceTimes::new(initial_estimate),
                        pending_hedges: VecDeque::new(),
                    });
                }
                self.shards[key.index()].replicas.push(target.key);
            }
        }
    }

    /// Processes an observation of a target. Unknown targets are ignored: a probe can be answered
    /// after ownership has moved.
    pub fn observe(&mut self, now: TickTime, key: TargetKey, observation: Observation) {
        let options = self.options.shift;
        let Some(target) = self.targets.get_mut(key.index()) else { return };
        match observation {
            Observation::Reported { phase, held } => {
                target.held = Some(held);
                match phase {
                    TargetPhase::Ready => target.health.on_ready_report(now, &options),
                    TargetPhase::Draining => {
                        target.health.start_drain(DrainSource::Target, now);
                    }
                    TargetPhase::Cold | TargetPhase::Standby => {
                        target.health.on_cold_report(now, &options);
                    }
                }
            }
            Observation::Unreachable => {
                if let Phase::Ejected { until } = target.health.phase
                    && now >= until
                {
                    self.start_ejection(now, key);
                } else if target.health.on_unreachable(&options) == EjectionDecision::Eject {
                    self.eject(now, key);
                }
            }
            Observation::DrainStarted(source) => target.health.start_drain(source, now),
            Observation::DrainCleared(source) => target.health.clear_drain(source, now, &options),
        }
        self.reassess(now, key);
        self.compact_timers();
    }

    /// Ejects a target, unless too few replicas of one of its shards would remain.
    pub(super) fn eject(&mut self, now: TickTime, key: TargetKey) {
        if self.targets[key.index()].health.is_ejected() {
            return;
        }
        let shards = &self.targets[key.index()].shards;
        if !shards.iter().all(|shard| self.can_eject_from(&self.shards[shard.index()])) {
            self.counters.ejections_skipped += 1;
            self.targets[key.index()].health.reset_streaks();
            return;
        }
        self.counters.ejections += 1;
        self.start_ejection(now, key);
    }

    /// Whether one more replica of the shard may be ejected.
    ///
    /// A fault of the owner itself (its network, its processor) shows as failures of every target.
    /// The limit keeps some replicas of each shard in use, so that the shard stays served.
    fn can_eject_from(&self, shard: &LiveShard) -> bool {
        let in_service = shard.replicas.iter().filter(|key| self.targets[key.index()].in_service());
        let count = in_service.clone().count();
        let ejected =
            in_service.filter(|key| self.targets[key.index()].health.is_ejected()).count();
        (ejected + 1) as f64 <= count as f64 * self.options.shift.max_ejected_share
    }

    fn start_ejection(&mut self, now: TickTime, key: TargetKey) {
        let jitter = self.rng.random();
        let health = &mut self.targets[key.index()].health;
        let until = health.eject(now, jitter, &self.options.shift);
        self.arm_capacity_timer(now, key, until);
    }

    /// Dispatches or fails the queued pieces of a target's shards after its state changed.
    pub(super) fn reassess(&mut self, now: TickTime, key: TargetKey) {
        for index in 0..self.targets[key.index()].shards.len() {
            let shard = self.targets[key.index()].shards[index];
            self.reassess_shard(now, shard);
        }
    }

    fn reassess_shard(&mut self, now: TickTime, shard: ShardKey) {
        if self.is_served(&self.shards[shard.index()]) {
            self.dispatch_queue(now, shard);
        } else {
            self.fail_queued(now, shard);
        }
    }

    /// Fails all queued pieces of a shard without a replica in service, so that their fronts can
    /// try elsewhere before the deadline.
    fn fail_queued(&mut self, now: TickTime, shard: ShardKey) {
        let (missing, refusal) = if self.shards[shard.index()].is_owned() {
            (MissingReason::NoReplica, RefusalReason::NoTarget)
        } else {
            (MissingReason::OwnerUnreachable, RefusalReason::OwnerUnreachable)
        };
        while let Some(index) = self.shards[shard.index()].queue.first_queued() {
            let handle = self.pieces.handle_at(index);
            let at_most_once = self.pieces.at(index).request.at_most_once;
            let result = if at_most_once {
                PieceResult::NotRun(refusal)
            } else {
                PieceResult::Missing(missing)
            };
            self.finish(now, handle, result);
        }
    }

    /// Dispatches to free slots of a target, starting with its shards in turn.
    pub(super) fn dispatch_target_queues(&mut self, now: TickTime, key: TargetKey) {
        let target = &mut self.targets[key.index()];
        let count = target.shards.len();
        if count == 0 {
            return;
        }
        target.next_shard = (target.next_shard + 1) % count;
        let first = target.next_shard;
        for step in 0..count {
            let shard = self.targets[key.index()].shards[(first + step) % count];
            self.reassess_shard(now, shard);
        }
    }

    pub(super) fn on_capacity_timer(&mut self, now: TickTime, key: TargetKey) {
        let health = &self.targets[key.index()].health;
        match health.phase {
            Phase::Ejected { until } if now < until => self.arm_capacity_timer(now, key, until),
            Phase::Ejected { .. } => self.actions.push_back(OwnerAction::Probe { target: key }),
            Phase::Serving | Phase::Ramping { .. } => {}
        }
        self.dispatch_target_queues(now, key);
    }

    pub(super) fn on_probe_due(&mut self, now: TickTime, key: TargetKey) {
        let target = &mut self.targets[key.index()];
        target.probe_armed = target.owned;
        if !target.owned {
            return;
        }
        self.actions.push_back(OwnerAction::Probe { target: key });
        let next = now.after(self.options.shift.probe_interval);
        self.timers.arm(next, TimerEvent::Probe(key));
    }
}
