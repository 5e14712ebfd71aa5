//! Applies the rounds of the reconciler: sends orders to targets and keeps using the targets that
//! it holds.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_pool::UnverifiedAnswer;
use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::target::TargetIntent;
use hawthorn_types::target::TargetState;
use hyper::Method;
use hyper::StatusCode;
use tokio::time::Instant;

use super::snapshot::IntentRound;
use super::snapshot::OwnerSnapshot;
use super::snapshot::TargetOrder;
use super::snapshot::TargetSnapshot;
use super::usage::HoldDecision;
use super::usage::UsageInputs;
use super::usage::usage;
use super::worker::OwnedTarget;
use super::worker::OwnerWorker;
use super::worker::TaskCompletion;

/// Minimum interval between snapshots for the reconciler: several per round.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of an order; a later round repeats it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a target must have been in use before it is reported as ready to other zones.
///
/// Without this wait, another zone's reconciler could switch off its replica because of a report
/// from before this target's last order, and the shard would have no target left. Equal to the
/// settling time that a reconciler grants its own targets.
const READY_AFTER: Duration = Duration::from_secs(5);

/// Probe interval of a target that is switched off intentionally. Short enough to detect one that
/// was switched on by hand, and cheap for hundreds of targets that are off.
const OFF_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// State of a target according to its last probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetStatus {
    /// `None` if it did not answer.
    phase: Option<TargetPhase>,
    /// Whether it answers but holds nothing and has no requests in flight.
    is_empty: bool,
}

impl TargetStatus {
    /// The target did not answer.
    pub(super) const UNREACHABLE: Self = Self { phase: None, is_empty: false };

    /// Status from a target's answer.
    pub(super) fn of(state: &TargetState) -> Self {
        Self { phase: Some(state.phase), is_empty: state.held.is_empty() && state.busy == 0 }
    }
}

/// Desired state of a target, how it is used, and its last order and status.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetUsage {
    /// State that operators want.
    pub(super) wanted: DesiredState,
    wanted_since: Instant,
    /// Time that the target takes to warm up.
    cold_start: Duration,
    /// How it is used; `None` before the first decision.
    effective: Option<DesiredState>,
    effective_since: Instant,
    /// `None` before the first probe.
    status: Option<TargetStatus>,
    /// The last order that it acknowledged.
    acknowledged: Option<DesiredState>,
    probed_at: Option<Instant>,
}

impl TargetUsage {
    pub(super) fn new(wanted: DesiredState, cold_start: Duration) -> Self {
        let now = Instant::now();
        Self {
            wanted,
            wanted_since: now,
            cold_start,
            effective: None,
            effective_since: now,
            status: None,
            acknowledged: None,
            probed_at: None,
        }
    }

    /// Sets the state wanted by the revision in force.
    pub(super) fn set_wanted(&mut self, wanted: DesiredState, cold_start: Duration) {
        if self.wanted != wanted {
            self.wanted = wanted;
            self.wanted_since = Instant::now();
        }
        self.cold_start = cold_start;
    }

    /// Records the result of a probe.
    pub(super) fn record_status(&mut self, status: TargetStatus) {
        self.status = Some(status);
    }

    fn decide(&self, hold_decision: HoldDecision) -> DesiredState {
        usage(UsageInputs {
            wanted: self.wanted,
            previous: self.effective,
            phase: self.phase(),
            hold_decision,
            cold_start_elapsed: self.wanted_since.elapsed() >= self.cold_start,
        })
    }

    fn phase(&self) -> Option<TargetPhase> {
        self.status?.phase
    }

    /// Whether fronts may use it: it gets work and has not reported that it is draining.
    pub(super) fn is_usable(&self) -> bool {
        self.effective == Some(DesiredState::Serve) && self.phase() != Some(TargetPhase::Draining)
    }

    /// Whether another zone may switch off its replica because of this one.
    pub(super) fn is_ready(&self) -> bool {
        let is_serving =
            self.wanted == DesiredState::Serve && self.effective == Some(DesiredState::Serve);
        let is_warm = self.phase() == Some(TargetPhase::Ready);
        is_serving && is_warm && self.effective_since.elapsed() >= READY_AFTER
    }

    /// Whether it is switched off as ordered. If something still answers then, such as an agent
    /// beside the target, it reports that it is draining and holds nothing.
    fn is_off(&self) -> bool {
        let is_acknowledged =
            self.wanted == DesiredState::Off && self.acknowledged == Some(DesiredState::Off);
        is_acknowledged && self.phase() == Some(TargetPhase::Draining) && self.is_empty()
    }

    fn is_empty(&self) -> bool {
        self.status.is_some_and(|status| status.is_empty)
    }

    /// Whether a probe is due; records the time of the probe if so.
    fn try_begin_probe(&mut self) -> bool {
        let is_off = self.wanted == DesiredState::Off && (self.phase().is_none() || self.is_off());
        let is_recent = self.probed_at.is_some_and(|at| at.elapsed() < OFF_PROBE_INTERVAL);
        if is_off && is_recent {
            return false;
        }
        self.probed_at = Some(Instant::now());
        true
    }
}

/// Completion of one order.
pub(super) struct OrderCompletion {
    target: TargetKey,
    state: DesiredState,
    is_done: bool,
}

impl OwnerWorker {
    /// Whether to send a probe that the decision state machine requests. Probes of targets that are
    /// switched off are limited.
    pub(super) fn try_begin_probe(&mut self, key: TargetKey) -> bool {
        self.targets.get_mut(&key).is_some_and(|target| target.usage.try_begin_probe())
    }

    /// Decides and records how a target is used from now on.
    pub(super) fn update_usage(
        &mut self,
        key: TargetKey,
        revision: ConfigRevision,
    ) -> DesiredState {
        let hold_decision = self.hold_decision(key, revision);
        let target = self.targets.get_mut(&key).expect("inserted before its usage is updated");
        let effective = target.usage.decide(hold_decision);
        if target.usage.effective != Some(effective) {
            target.usage.effective = Some(effective);
            target.usage.effective_since = Instant::now();
        }
        effective
    }

    fn hold_decision(&self, key: TargetKey, revision: ConfigRevision) -> HoldDecision {
        if self.round.revision != revision {
            return HoldDecision::Pending;
        }
        match self.round.held.contains(self.target_names.name(key.0)) {
            true => HoldDecision::Held,
            false => HoldDecision::Released,
        }
    }

    /// Reapplies all targets if the last probe changes how this one is used.
    pub(super) fn review_usage(&mut self, key: TargetKey) {
        let Some(revision) = self.revision() else { return };
        let hold_decision = self.hold_decision(key, revision);
        let Some(target) = self.targets.get(&key) else { return };
        if target.usage.effective != Some(target.usage.decide(hold_decision)) {
            self.apply_targets();
        }
    }

    /// Applies a round. A released target first stops getting new work, and only then gets its
    /// order to leave.
    pub(super) fn apply_round(&mut self, round: IntentRound) {
        if Some(round.revision) < self.revision() {
            // The round is based on an older revision than the one in force here; the next round
            // follows.
            return;
        }
        let orders = round.orders.clone();
        let is_unchanged = self.round.revision == round.revision && self.round.held == round.held;
        self.round = round;
        if !is_unchanged {
            self.apply_targets();
        }
        for order in orders {
            self.give_order(&order);
        }
    }

    fn give_order(&self, order: &TargetOrder) {
        let Some(number) = self.target_names.number(&order.target) else { return };
        let key = TargetKey(number);
        let Some(target) = self.targets.get(&key) else { return };
        let intent = TargetIntent { wanted: order.state, revision: self.round.revision };
        let body = serde_json::to_vec(&intent).expect("an order has only string keys");
        let pool = Arc::clone(&target.pool);
        let completions = self.completions.clone();
        let state = order.state;
        tokio::spawn(async move {
            let answer = pool.exchange(Method::POST, "/intent", body, ORDER_TIMEOUT).await;
            let is_done = answer.ok().and_then(UnverifiedAnswer::accept_empty);
            let is_done = is_done == Some(StatusCode::OK);
            let completion = OrderCompletion { target: key, state, is_done };
            let _stopped = completions.send(TaskCompletion::Order(completion)).await;
        });
    }

    pub(super) fn handle_order(&mut self, completion: &OrderCompletion) {
        if let Some(target) = self.targets.get_mut(&completion.target)
            && completion.is_done
        {
            target.usage.acknowledged = Some(completion.state);
        }
    }

    /// Publishes a snapshot of all targets, at most every [`SNAPSHOT_INTERVAL`].
    pub(super) fn publish_snapshot(&mut self) {
        if self.snapshot_at.elapsed() < SNAPSHOT_INTERVAL {
            return;
        }
        self.snapshot_at = Instant::now();
        let observed = self.targets.iter().filter(|(_, target)| target.usage.status.is_some());
        let targets = observed.map(|(&key, target)| self.target_snapshot(key, target)).collect();
        self.snapshot.send_replace(Arc::new(OwnerSnapshot { targets }));
    }

    fn target_snapshot(&self, key: TargetKey, target: &OwnedTarget) -> TargetSnapshot {
        let phase = target.usage.phase().filter(|_| !target.usage.is_off());
        TargetSnapshot {
            target: self.target_names.name(key.0).clone(),
            phase,
            in_flight: u32::from(self.state.slots_in_use(key)),
        }
    }
}
