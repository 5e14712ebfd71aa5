//! What the owner learns of its targets other than from attempts.

use std::collections::VecDeque;

use rand::RngExt;

use super::LiveShard;
use super::OwnerState;
use super::target::LiveTarget;
use crate::latency::ServiceTimes;
use crate::message::LeavingSource;
use crate::message::Observation;
use crate::message::OwnerAction;
use crate::message::PieceResult;
use crate::message::TargetRecord;
use crate::queue::ShardQueue;
use crate::shift::Phase;
use crate::shift::TargetJudgement;
use crate::time::TickTime;
use crate::time::micros;
use crate::timer::TimerAlarm;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;

impl OwnerState {
    /// The targets owned from now on. Attempts on their way to others run on
    /// and end as usual; others get no new work.
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
        target.shift.want(record.wanted, now, &options);
        if !target.probe_armed {
            target.probe_armed = true;
            let spread = options.first_probe_within.min(options.probe_interval);
            let first = micros(spread) as f64 * jitter;
            self.timers.arm(now.plus(first as u64), TimerAlarm::Probe(record.key));
        }
    }

    fn rebuild_replicas(&mut self) {
        for shard in &mut self.shards {
            shard.replicas.clear();
        }
        let guess = micros(self.options.admit.first_guess);
        for target in self.targets.iter().filter(|target| target.owned) {
            for key in &target.shards {
                while self.shards.len() <= key.index() {
                    self.shards.push(LiveShard {
                        replicas: Default::default(),
                        queue: ShardQueue::new(self.options.queue),
                        times: ServiceTimes::new(guess),
                        due: VecDeque::new(),
                    });
                }
                self.shards[key.index()].replicas.push(target.key);
            }
        }
    }

    /// Something was learnt of a target. Targets not owned are ignored: the
    /// answer to a probe from before ownership moved.
    pub fn observe(&mut self, now: TickTime, key: TargetKey, observation: Observation) {
        let options = self.options.shift;
        let Some(target) = self.targets.get_mut(key.index()) else { return };
        match observation {
            Observation::Reported { phase, held } => {
                target.held = Some(held);
                match phase {
                    TargetPhase::Ready => target.shift.on_ready_page(now, &options),
                    TargetPhase::Draining => {
                        target.shift.on_leaving(LeavingSource::Target, now);
                    }
                    TargetPhase::Cold | TargetPhase::Standby => {
                        target.shift.on_cold_page(now, &options);
                    }
                }
            }
            Observation::Unreachable => {
                if let Phase::Ejected { until } = target.shift.phase
                    && now >= until
                {
                    self.eject_again(now, key);
                } else if target.shift.on_unreachable(&options) == TargetJudgement::Eject {
                    self.eject(now, key);
                }
            }
            Observation::Leaving(source) => target.shift.on_leaving(source, now),
            Observation::Staying(source) => target.shift.clear_leaving(source, now, &options),
        }
        self.reassess(now, key);
        self.tidy();
    }

    /// Takes a target out of service, unless too few of its shards' replicas
    /// would remain.
    pub(super) fn eject(&mut self, now: TickTime, key: TargetKey) {
        if self.targets[key.index()].shift.is_ejected() {
            return;
        }
        let shards = &self.targets[key.index()].shards;
        if !shards.iter().all(|shard| self.can_lose(&self.shards[shard.index()])) {
            self.counters.ejections_spared += 1;
            self.targets[key.index()].shift.pardon();
            return;
        }
        self.counters.ejections += 1;
        self.eject_again(now, key);
    }

    /// Guards against a fault of the owner's own (its network, its processor)
    /// that makes every target look bad: it shows as failures everywhere, and
    /// the part of each shard's replicas that stays keeps it served.
    fn can_lose(&self, shard: &LiveShard) -> bool {
        let in_service = shard.replicas.iter().filter(|key| self.targets[key.index()].in_service());
        let count = in_service.clone().count();
        let ejected = in_service.filter(|key| self.targets[key.index()].shift.is_ejected()).count();
        (ejected + 1) as f64 <= count as f64 * self.options.shift.most_ejected
    }

    fn eject_again(&mut self, now: TickTime, key: TargetKey) {
        let jitter = self.rng.random();
        let shift = &mut self.targets[key.index()].shift;
        let until = shift.eject(now, jitter, &self.options.shift);
        self.arm_room(now, key, until);
    }

    /// A target's state changed: its shards' queues are looked at again.
    pub(super) fn reassess(&mut self, now: TickTime, key: TargetKey) {
        for index in 0..self.targets[key.index()].shards.len() {
            let shard = self.targets[key.index()].shards[index];
            self.reassess_shard(now, shard);
        }
    }

    fn reassess_shard(&mut self, now: TickTime, shard: ShardKey) {
        if self.is_served(&self.shards[shard.index()]) {
            self.pump(now, shard);
        } else {
            self.give_up(now, shard);
        }
    }

    /// No replica is left, or none is owned any more: every waiting piece hears
    /// so at once, for its front to go elsewhere while there is time.
    fn give_up(&mut self, now: TickTime, shard: ShardKey) {
        let (missing, refusal) = if self.shards[shard.index()].is_owned() {
            (MissingReason::NoReplica, RefusalReason::NoTarget)
        } else {
            (MissingReason::OwnerUnreachable, RefusalReason::OwnerUnreachable)
        };
        while let Some(index) = self.shards[shard.index()].queue.any() {
            let handle = self.pieces.handle_at(index);
            let once = self.pieces.at(index).ask.at_most_once;
            let result =
                if once { PieceResult::NotRun(refusal) } else { PieceResult::Missing(missing) };
            self.finish(now, handle, result);
        }
    }

    /// Slots became free at a target: its shards take turns.
    pub(super) fn pump_target(&mut self, now: TickTime, key: TargetKey) {
        let target = &mut self.targets[key.index()];
        let count = target.shards.len();
        if count == 0 {
            return;
        }
        target.turn = (target.turn + 1) % count;
        let first = target.turn;
        for step in 0..count {
            let shard = self.targets[key.index()].shards[(first + step) % count];
            self.reassess_shard(now, shard);
        }
    }

    pub(super) fn on_room(&mut self, now: TickTime, key: TargetKey) {
        let shift = &self.targets[key.index()].shift;
        match shift.phase {
            Phase::Ejected { until } if now < until => self.arm_room(now, key, until),
            Phase::Ejected { .. } => self.actions.push_back(OwnerAction::Probe { target: key }),
            Phase::Serving | Phase::Ramping { .. } => {}
        }
        self.pump_target(now, key);
    }

    pub(super) fn on_probe_due(&mut self, now: TickTime, key: TargetKey) {
        let target = &mut self.targets[key.index()];
        target.probe_armed = target.owned;
        if !target.owned {
            return;
        }
        self.actions.push_back(OwnerAction::Probe { target: key });
        let next = now.after(self.options.shift.probe_interval);
        self.timers.arm(next, TimerAlarm::Probe(key));
    }
}
