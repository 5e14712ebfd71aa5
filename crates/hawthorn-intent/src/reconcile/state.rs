//! State that a host keeps between reconcile rounds.

use std::collections::HashMap;
use std::time::Duration;

use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

use crate::catalog::FleetCatalog;
use crate::reconcile::TargetObservation;

/// Last order and times of state changes of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetHistory {
    pub(super) last_order: Option<(DesiredState, Duration)>,
    pub(super) desired_since: Duration,
    desired: DesiredState,
    drift_since: Option<Duration>,
    draining_since: Option<Duration>,
}

/// Last orders and drift of the owned targets. Stored by name, since keys change with the revision.
///
/// If the state is lost, for example when a host is replaced, orders are repeated and targets that
/// are leaving service are held for another [`super::Options::settle_time`].
#[derive(Clone, Debug, Default)]
pub struct ReconcileState {
    pub(super) targets: HashMap<String, TargetHistory>,
}

impl ReconcileState {
    /// Removes targets that this host no longer owns, and records the desired state of the others.
    ///
    /// The time since which a state is desired is kept for each target and not for the revision,
    /// since with an edit every few seconds no revision would last long enough.
    pub(super) fn update(
        &mut self,
        catalog: &FleetCatalog,
        observations: &[TargetObservation],
        now: Duration,
    ) {
        let owned = observations.iter().filter(|observation| observation.owned);
        let records = owned.map(|observation| catalog.target(observation.target));
        let desired: HashMap<&str, DesiredState> =
            records.map(|record| (&*record.name, record.desired_state())).collect();
        self.targets.retain(|name, _| desired.contains_key(&**name));
        for (name, desired) in desired {
            let new = || TargetHistory::new(desired, now);
            let history = self.targets.entry(name.to_owned()).or_insert_with(new);
            history.set_desired(desired, now);
        }
    }

    /// Time of the last order to a target. Targets are processed in this order, those without an
    /// order first, so that repeated orders to unreachable targets do not exhaust the limit of a
    /// round.
    pub(super) fn last_order_at(&self, name: &str) -> Option<Duration> {
        self.targets.get(name)?.last_order.map(|(_, at)| at)
    }
}

impl TargetHistory {
    fn new(desired: DesiredState, now: Duration) -> Self {
        Self {
            last_order: None,
            desired_since: now,
            desired,
            drift_since: None,
            draining_since: None,
        }
    }

    fn set_desired(&mut self, desired: DesiredState, now: Duration) {
        if self.desired != desired {
            self.desired = desired;
            self.desired_since = now;
            self.drift_since = None;
        }
    }

    /// Whether the last order was for `state`.
    pub(super) fn was_ordered(&self, state: DesiredState) -> bool {
        self.last_order.is_some_and(|(ordered, _)| ordered == state)
    }

    /// Whether the desired state is unchanged since `moment`, and the last order, if any, was to
    /// serve and was sent no later than `moment`.
    pub(super) fn has_served_since(&self, moment: Duration) -> bool {
        let is_order_older = self
            .last_order
            .is_none_or(|(ordered, at)| ordered == DesiredState::Serve && at <= moment);
        is_order_older && self.desired_since <= moment
    }

    /// Whether the last order conflicts with `desired`. The observed phase is then about to change
    /// even if it currently matches.
    pub(super) fn has_conflicting_order(&self, desired: DesiredState) -> bool {
        self.last_order.is_some_and(|(ordered, _)| {
            let is_intermediate = ordered == DesiredState::Drain && desired == DesiredState::Off;
            ordered != desired && !is_intermediate
        })
    }

    /// Whether the last order was for `state` and is younger than `age`.
    pub(super) fn was_ordered_within(
        &self,
        state: DesiredState,
        now: Duration,
        age: Duration,
    ) -> bool {
        self.last_order
            .is_some_and(|(ordered, at)| ordered == state && now.saturating_sub(at) < age)
    }

    pub(super) fn record_phase(&mut self, phase: Option<TargetPhase>, now: Duration) {
        let is_draining = phase == Some(TargetPhase::Draining);
        self.draining_since = is_draining.then(|| self.draining_since.unwrap_or(now));
    }

    /// Records that the target drifts. Returns since when.
    pub(super) fn record_drift(&mut self, now: Duration) -> Duration {
        *self.drift_since.get_or_insert(now)
    }

    pub(super) fn clear_drift(&mut self) {
        self.drift_since = None;
    }

    /// For how long the target has reported that it is draining.
    pub(super) fn draining_time(&self, now: Duration) -> Duration {
        self.draining_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}
