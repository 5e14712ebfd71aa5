//! What a host remembers between rounds.

use std::collections::HashMap;
use std::time::Duration;

use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

use crate::catalog::FleetCatalog;
use crate::reconcile::TargetObservation;

/// What is remembered of a target between rounds.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetMemory {
    pub(super) told: Option<(DesiredState, Duration)>,
    pub(super) wanted_since: Duration,
    wanted: DesiredState,
    drift_since: Option<Duration>,
    draining_since: Option<Duration>,
}

/// Remembers orders and drift by target name, as keys change with the revision.
/// Losing it, as when a host is replaced, repeats orders and holds targets that
/// are on their way out for [`super::Options::settle_time`] more.
#[derive(Clone, Debug, Default)]
pub struct ReconcileState {
    pub(super) targets: HashMap<String, TargetMemory>,
}

impl ReconcileState {
    /// Forgets targets that this host no longer owns, and notes what is wanted
    /// of the others.
    ///
    /// The time since which it is wanted is kept for each target and not for
    /// the revision: with an edit every few seconds no revision ever lasts.
    pub(super) fn enter(
        &mut self,
        catalog: &FleetCatalog,
        seen: &[TargetObservation],
        now: Duration,
    ) {
        let owned = seen.iter().filter(|seen| seen.owned);
        let records = owned.map(|seen| catalog.target(seen.target));
        let wanted: HashMap<&str, DesiredState> =
            records.map(|record| (&*record.name, record.desired_state())).collect();
        self.targets.retain(|name, _| wanted.contains_key(&**name));
        for (name, wanted) in wanted {
            let new = || TargetMemory::new(wanted, now);
            let memory = self.targets.entry(name.to_owned()).or_insert_with(new);
            memory.note_wanted(wanted, now);
        }
    }

    /// When a target was last told anything. Targets are visited in this order,
    /// never told ones first, so that orders repeated to targets that are down
    /// don't use up the round for the rest.
    pub(super) fn told_at(&self, name: &str) -> Option<Duration> {
        self.targets.get(name)?.told.map(|(_, at)| at)
    }
}

impl TargetMemory {
    fn new(wanted: DesiredState, now: Duration) -> Self {
        Self { told: None, wanted_since: now, wanted, drift_since: None, draining_since: None }
    }

    fn note_wanted(&mut self, wanted: DesiredState, now: Duration) {
        if self.wanted != wanted {
            self.wanted = wanted;
            self.wanted_since = now;
            self.drift_since = None;
        }
    }

    pub(super) fn was_told(&self, state: DesiredState) -> bool {
        self.told.is_some_and(|(told, _)| told == state)
    }

    /// Whether the target was wanted to serve, and told nothing else, all the
    /// time since `moment`.
    pub(super) fn has_served_since(&self, moment: Duration) -> bool {
        let told_before =
            self.told.is_none_or(|(told, at)| told == DesiredState::Serve && at <= moment);
        told_before && self.wanted_since <= moment
    }

    /// Whether the last order leads away from `wanted`: then what is seen is
    /// about to change, however well it fits now.
    pub(super) fn other_order(&self, wanted: DesiredState) -> bool {
        self.told.is_some_and(|(told, _)| {
            let on_the_way = told == DesiredState::Drain && wanted == DesiredState::Off;
            told != wanted && !on_the_way
        })
    }

    pub(super) fn told_within(&self, state: DesiredState, now: Duration, time: Duration) -> bool {
        self.told.is_some_and(|(told, at)| told == state && now.saturating_sub(at) < time)
    }

    pub(super) fn note_phase(&mut self, phase: Option<TargetPhase>, now: Duration) {
        let draining = phase == Some(TargetPhase::Draining);
        self.draining_since = draining.then(|| self.draining_since.unwrap_or(now));
    }

    pub(super) fn note_drift(&mut self, now: Duration) -> Duration {
        *self.drift_since.get_or_insert(now)
    }

    pub(super) fn note_settled(&mut self) {
        self.drift_since = None;
    }

    /// How long the target has shown that it drains.
    pub(super) fn drained_for(&self, now: Duration) -> Duration {
        self.draining_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}
