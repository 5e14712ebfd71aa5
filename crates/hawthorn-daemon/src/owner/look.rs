//! Asks targets for their state and takes in what they say.

use std::sync::Arc;

use hawthorn_decide::message::HeldShard;
use hawthorn_decide::message::Observation;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::target::TargetState;

use super::duty::OwnerDuty;
use super::duty::TaskEnd;
use super::intent::TargetSight;
use super::probe;
use super::probe::ProbeEnd;
use crate::process::events::LogEvent;

/// A target is out of fronts' sight once it did not tell its state so often in
/// a row, asked again at once.
///
/// Failure: one answer that is late, on a busy target or host, takes the target
/// out of sight until the next question a second later; where it is the only
/// replica switched on, that is a hole in every answer meanwhile.
const MISSES: u32 = 2;

impl OwnerDuty {
    pub(super) fn take_probe(&mut self, end: ProbeEnd) {
        let now = self.now();
        let Some(state) = end.state else {
            if self.count_miss(end.target) < MISSES {
                return self.probe_now(end.target);
            }
            self.note_reachable(end.target, false);
            self.note_sight(end.target, TargetSight::LOST);
            self.state.observe(now, end.target, Observation::Unreachable);
            return self.review_use(end.target);
        };
        self.forgive_misses(end.target);
        let Some(held) = self.note_state(end.target, &state) else { return };
        self.note_reachable(end.target, true);
        self.note_sight(end.target, TargetSight::of(&state));
        self.state.observe(now, end.target, Observation::Reported { phase: state.phase, held });
        self.review_use(end.target);
    }

    fn count_miss(&mut self, key: TargetKey) -> u32 {
        let Some(target) = self.targets.get_mut(&key) else { return MISSES };
        // A target never heard has nothing that a second question could save.
        let misses = if target.reachable { 1 } else { MISSES };
        target.missed = target.missed.saturating_add(misses);
        target.missed
    }

    fn forgive_misses(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.missed = 0;
        }
    }

    fn note_sight(&mut self, key: TargetKey, sight: TargetSight) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.usage.see(sight);
        }
    }

    fn note_reachable(&mut self, key: TargetKey, reachable: bool) {
        let name = self.target_names.name(key.0).clone();
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.reachable == reachable {
            return;
        }
        target.reachable = reachable;
        if target.usage.wanted == DesiredState::Off {
            // Gone or back as operators want it: no loss and no news.
            return;
        }
        if reachable {
            crate::log_event!(log::Level::Info, LogEvent::TargetBack, "target {name}");
        } else {
            crate::log_event!(log::Level::Warn, LogEvent::TargetLost, "target {name}");
        }
    }

    fn note_state(
        &mut self,
        key: TargetKey,
        state: &TargetState,
    ) -> Option<smallvec::SmallVec<[HeldShard; 4]>> {
        let target = self.targets.get_mut(&key)?;
        target.held.clone_from(&state.held);
        let mut held = smallvec::SmallVec::new();
        for shard in &target.shards {
            let number = self.shard_names.number(shard).map(ShardKey)?;
            let of_shard = state.held.iter().filter(|held| held.service == shard.service());
            held.extend(of_shard.map(|held| HeldShard { shard: number, version: held.version }));
        }
        Some(held)
    }

    pub(super) fn probe(&mut self, target: TargetKey) {
        if self.take_probe_due(target) {
            self.probe_now(target);
        }
    }

    /// Asks a target for its state.
    pub(super) fn probe_now(&mut self, target: TargetKey) {
        let Some(owned) = self.targets.get(&target) else { return };
        let pool = Arc::clone(&owned.pool);
        let name = self.target_names.name(target.0).clone();
        let timeout = self.options.probe_timeout;
        let ends = self.ends.clone();
        tokio::spawn(async move {
            let end = probe::probe(target, name, pool, timeout).await;
            let _stopped = ends.send(TaskEnd::Probe(end)).await;
        });
    }
}
