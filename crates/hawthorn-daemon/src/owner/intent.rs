//! Follows the rounds of the reconciler: gives its orders to targets and uses
//! those that it holds.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::target::TargetIntent;
use hawthorn_types::target::TargetState;
use hyper::Method;
use hyper::StatusCode;
use tokio::time::Instant;

use super::duty::OwnedTarget;
use super::duty::OwnerDuty;
use super::duty::TaskEnd;
use super::seen::IntentRound;
use super::seen::SeenRecord;
use super::seen::SeenReport;
use super::seen::TargetOrder;
use super::usage::HoldVerdict;
use super::usage::UsageInputs;
use super::usage::usage;

/// How often the reconciler gets a new picture: several times a round.
const SEEN_INTERVAL: Duration = Duration::from_millis(250);

/// An order that takes longer is given again by a later round.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// A target counts as ready towards other zones once it has been used for so
/// long. Load: the reconciler of another zone switches its replica off for this
/// one's sake. Harm: this one's report was from before its last order, and the
/// shard has no target. As long as that reconciler lets its own ones settle.
const READY_AFTER: Duration = Duration::from_secs(5);

/// A target that is off on purpose is asked so seldom: one that was switched on
/// by hand is seen soon enough, and hundreds that are off cost little.
const OFF_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// What a target last showed of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetSight {
    /// None when it did not answer.
    phase: Option<TargetPhase>,
    /// It answers, but holds nothing and works on nothing.
    is_bare: bool,
}

impl TargetSight {
    /// It did not answer.
    pub(super) const LOST: Self = Self { phase: None, is_bare: false };

    /// It answered.
    pub(super) fn of(state: &TargetState) -> Self {
        Self { phase: Some(state.phase), is_bare: state.held.is_empty() && state.busy == 0 }
    }
}

/// What is wanted of a target, how it is used, and what it was told and showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetUse {
    /// What operators want.
    pub(super) wanted: DesiredState,
    wanted_since: Instant,
    /// How long the target takes to warm.
    cold_start: Duration,
    /// How it is used; none before it was decided for the first time.
    used: Option<DesiredState>,
    used_since: Instant,
    /// None before it was asked for the first time.
    sight: Option<TargetSight>,
    /// The last order that it acknowledged.
    told: Option<DesiredState>,
    probed_at: Option<Instant>,
}

impl TargetUse {
    pub(super) fn new(wanted: DesiredState, cold_start: Duration) -> Self {
        let now = Instant::now();
        Self {
            wanted,
            wanted_since: now,
            cold_start,
            used: None,
            used_since: now,
            sight: None,
            told: None,
            probed_at: None,
        }
    }

    /// Notes what the revision in force wants.
    pub(super) fn want(&mut self, wanted: DesiredState, cold_start: Duration) {
        if self.wanted != wanted {
            self.wanted = wanted;
            self.wanted_since = Instant::now();
        }
        self.cold_start = cold_start;
    }

    /// Notes what a probe brought.
    pub(super) fn see(&mut self, sight: TargetSight) {
        self.sight = Some(sight);
    }

    fn decide(&self, verdict: HoldVerdict) -> DesiredState {
        usage(UsageInputs {
            wanted: self.wanted,
            before: self.used,
            phase: self.phase(),
            verdict,
            is_due: self.wanted_since.elapsed() >= self.cold_start,
        })
    }

    fn phase(&self) -> Option<TargetPhase> {
        self.sight?.phase
    }

    /// Whether fronts may count on it: it gets work and does not say it leaves.
    pub(super) fn is_usable(&self) -> bool {
        self.used == Some(DesiredState::Serve) && self.phase() != Some(TargetPhase::Draining)
    }

    /// Whether another zone may let its replica go for this one's sake.
    pub(super) fn is_ready(&self) -> bool {
        let is_used = self.wanted == DesiredState::Serve && self.used == Some(DesiredState::Serve);
        let is_warm = self.phase() == Some(TargetPhase::Ready);
        is_used && is_warm && self.used_since.elapsed() >= READY_AFTER
    }

    /// Whether it is switched off, as told. What still answers then, an agent
    /// beside the target, reports that it drains and holds nothing.
    fn is_off(&self) -> bool {
        let was_told = self.wanted == DesiredState::Off && self.told == Some(DesiredState::Off);
        was_told && self.phase() == Some(TargetPhase::Draining) && self.is_bare()
    }

    fn is_bare(&self) -> bool {
        self.sight.is_some_and(|sight| sight.is_bare)
    }

    /// Whether to ask it now, when the decisions want to.
    fn take_probe(&mut self) -> bool {
        let is_off = self.wanted == DesiredState::Off && (self.phase().is_none() || self.is_off());
        let is_recent = self.probed_at.is_some_and(|at| at.elapsed() < OFF_PROBE_INTERVAL);
        if is_off && is_recent {
            return false;
        }
        self.probed_at = Some(Instant::now());
        true
    }
}

/// The end of one order.
pub(super) struct OrderEnd {
    target: TargetKey,
    tell: DesiredState,
    is_done: bool,
}

impl OwnerDuty {
    /// Whether a probe that the decisions ask for is worth its cost.
    pub(super) fn take_probe_due(&mut self, key: TargetKey) -> bool {
        self.targets.get_mut(&key).is_some_and(|target| target.usage.take_probe())
    }

    /// How a target is used from now on.
    pub(super) fn use_target(&mut self, key: TargetKey, revision: ConfigRevision) -> DesiredState {
        let verdict = self.verdict(key, revision);
        let target = self.targets.get_mut(&key).expect("kept just before it is used");
        let used = target.usage.decide(verdict);
        if target.usage.used != Some(used) {
            target.usage.used = Some(used);
            target.usage.used_since = Instant::now();
        }
        used
    }

    fn verdict(&self, key: TargetKey, revision: ConfigRevision) -> HoldVerdict {
        if self.round.revision != revision {
            return HoldVerdict::NotJudged;
        }
        match self.round.held.contains(self.target_names.name(key.0)) {
            true => HoldVerdict::Held,
            false => HoldVerdict::Released,
        }
    }

    /// Uses a target otherwise if what it showed calls for it.
    pub(super) fn review_use(&mut self, key: TargetKey) {
        let Some(revision) = self.revision() else { return };
        let verdict = self.verdict(key, revision);
        let Some(target) = self.targets.get(&key) else { return };
        if target.usage.used != Some(target.usage.decide(verdict)) {
            self.apply_targets();
        }
    }

    /// Takes a round in: what is released gets no new work from here on, and
    /// only then hears that it is to leave.
    pub(super) fn take_round(&mut self, round: IntentRound) {
        if Some(round.revision) < self.revision() {
            // Worked out from a revision that is no longer in force here; the
            // next round is under way.
            return;
        }
        let orders = round.orders.clone();
        let is_same = self.round.revision == round.revision && self.round.held == round.held;
        self.round = round;
        if !is_same {
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
        let intent = TargetIntent { wanted: order.tell, revision: self.round.revision };
        let body = serde_json::to_vec(&intent).expect("an order has only string keys");
        let pool = Arc::clone(&target.pool);
        let ends = self.ends.clone();
        let tell = order.tell;
        tokio::spawn(async move {
            let answer = pool.exchange(Method::POST, "/intent", body, ORDER_TIMEOUT).await;
            let is_done = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
            let end = OrderEnd { target: key, tell, is_done };
            let _stopped = ends.send(TaskEnd::Order(end)).await;
        });
    }

    pub(super) fn take_order_end(&mut self, end: &OrderEnd) {
        if let Some(target) = self.targets.get_mut(&end.target)
            && end.is_done
        {
            target.usage.told = Some(end.tell);
        }
    }

    /// Shows the reconciler all targets, at most every [`SEEN_INTERVAL`].
    pub(super) fn show_targets(&mut self) {
        if self.seen_at.elapsed() < SEEN_INTERVAL {
            return;
        }
        self.seen_at = Instant::now();
        let asked = self.targets.iter().filter(|(_, target)| target.usage.sight.is_some());
        let targets = asked.map(|(&key, target)| self.seen_record(key, target)).collect();
        self.seen.send_replace(Arc::new(SeenReport { targets }));
    }

    fn seen_record(&self, key: TargetKey, target: &OwnedTarget) -> SeenRecord {
        let phase = target.usage.phase().filter(|_| !target.usage.is_off());
        SeenRecord {
            target: self.target_names.name(key.0).clone(),
            phase,
            in_flight: u32::from(self.state.slots_in_use(key)),
        }
    }
}
