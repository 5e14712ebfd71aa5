//! Probes targets and processes their answers.

use std::sync::Arc;

use hawthorn_decide::message::HeldShard;
use hawthorn_decide::message::Observation;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::target::TargetState;

use super::intent::TargetStatus;
use super::probe;
use super::probe::ProbeCompletion;
use super::worker::OwnerWorker;
use super::worker::TaskCompletion;
use crate::process::events::LogEvent;

/// Number of consecutive failed probes after which fronts no longer see a target. The first failure
/// is followed by another probe at once.
///
/// A single late answer of a busy target or host must not remove the target from the view until the
/// next probe a second later: if it is the only replica switched on, every answer would be
/// incomplete meanwhile.
const MAX_MISSED_PROBES: u32 = 2;

impl OwnerWorker {
    pub(super) fn handle_probe(&mut self, completion: ProbeCompletion) {
        let now = self.now();
        let Some(state) = completion.state else {
            if self.record_miss(completion.target) < MAX_MISSED_PROBES {
                return self.probe_now(completion.target);
            }
            self.set_reachable(completion.target, false);
            self.record_status(completion.target, TargetStatus::UNREACHABLE);
            self.state.observe(now, completion.target, Observation::Unreachable);
            return self.review_usage(completion.target);
        };
        self.reset_misses(completion.target);
        let Some(held) = self.record_state(completion.target, &state) else { return };
        self.set_reachable(completion.target, true);
        self.record_status(completion.target, TargetStatus::of(&state));
        self.state.observe(
            now,
            completion.target,
            Observation::Reported { phase: state.phase, held },
        );
        self.review_usage(completion.target);
    }

    fn record_miss(&mut self, key: TargetKey) -> u32 {
        let Some(target) = self.targets.get_mut(&key) else { return MAX_MISSED_PROBES };
        // A target that never answered has no state that a second probe could preserve.
        let misses = if target.reachable { 1 } else { MAX_MISSED_PROBES };
        target.missed = target.missed.saturating_add(misses);
        target.missed
    }

    fn reset_misses(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.missed = 0;
        }
    }

    fn record_status(&mut self, key: TargetKey, status: TargetStatus) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.usage.record_status(status);
        }
    }

    fn set_reachable(&mut self, key: TargetKey, reachable: bool) {
        let name = self.target_names.name(key.0).clone();
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.reachable == reachable {
            return;
        }
        target.reachable = reachable;
        if target.usage.wanted == DesiredState::Off {
            // Whether a target that is switched off is reachable does not matter and is not logged.
            return;
        }
        if reachable {
            crate::log_event!(log::Level::Info, LogEvent::TargetBack, "target {name}");
        } else {
            crate::log_event!(log::Level::Warn, LogEvent::TargetLost, "target {name}");
        }
    }

    fn record_state(
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
        if self.try_begin_probe(target) {
            self.probe_now(target);
        }
    }

    /// Sends a state probe to a target.
    pub(super) fn probe_now(&mut self, target: TargetKey) {
        let Some(owned) = self.targets.get(&target) else { return };
        let pool = Arc::clone(&owned.pool);
        let name = self.target_names.name(target.0).clone();
        let timeout = self.options.probe_timeout;
        let completions = self.completions.clone();
        tokio::spawn(async move {
            let completion = probe::probe(target, name, pool, timeout).await;
            let _stopped = completions.send(TaskCompletion::Probe(completion)).await;
        });
    }
}
