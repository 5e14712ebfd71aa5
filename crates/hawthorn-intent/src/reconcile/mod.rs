//! Plans the orders that bring targets to their desired state.
//!
//! A round compares the desired with the observed state of every target that this host owns, and
//! emits orders (`POST /intent`). A target that is to leave service keeps serving until another one
//! is ready for each of its shards, then drains, and is switched off when no request runs on it.
//!
//! Orders are idempotent: a lost order is repeated, and two hosts that both believe that they own a
//! target send the same orders if they have the same revision.

mod state;

use std::collections::HashMap;
use std::time::Duration;

use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use serde::Serialize;
use strum::Display;

use crate::catalog::FleetCatalog;
use crate::catalog::TargetRecord;

pub use state::ReconcileState;
use state::TargetHistory;

/// What is known about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetObservation {
    /// The target.
    pub target: TargetKey,
    /// The phase that it last reported; `None` if it is unreachable.
    pub phase: Option<TargetPhase>,
    /// Number of requests that this host has in flight to the target. Exact, unlike the number that
    /// the target reports.
    pub in_flight: u32,
    /// Whether this host owns the target. Targets of other hosts only count towards coverage and
    /// receive no orders.
    pub owned: bool,
}

/// Options of the reconciler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of orders in one round.
    ///
    /// Handles edits that change the desired state of an entire zone, whose targets would otherwise
    /// all connect, load or drain at the same time. With one round per second and 16 orders, the
    /// 40 targets of a service are reached in three rounds.
    pub orders_per_round: usize,
    /// Time after which an order without visible effect is repeated. Targets report with a delay,
    /// so a shorter time would repeat orders that were received.
    pub retry_after: Duration,
    /// Minimum time that a target drains before it is switched off. Hosts that owned it until
    /// recently stop using it within this time.
    pub drain_time: Duration,
    /// Time for which a state must have been desired before a target leaves service. Also the time
    /// for which a target must have been desired to serve, without other orders, before it counts
    /// as ready.
    ///
    /// Failures, each of which leaves a shard without a target: two hosts at neighbouring revisions
    /// each drain the target that should serve in the other's revision; or an edit arrives while a
    /// target that was ordered to drain still reports that it is ready. Must be longer than the
    /// propagation of a revision and than the time until an order shows in reports.
    pub settle_time: Duration,
    /// Maximum time, in cold starts of its service, that a leaving target is held until all targets
    /// that should serve its shards are ready. One cold start is needed to warm them up, the second
    /// allows for a lost order.
    pub max_hold_cold_starts: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            orders_per_round: 16,
            retry_after: Duration::from_secs(5),
            drain_time: Duration::from_secs(3),
            settle_time: Duration::from_secs(5),
            max_hold_cold_starts: 2,
        }
    }
}

/// An order to send: `POST /intent` to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntentOrder {
    /// The target.
    pub target: TargetKey,
    /// The ordered state. It can be an intermediate one: a target drains before it is switched off.
    pub state: DesiredState,
}

/// Why a target is not in its desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DriftCause {
    /// The order is sent in this round.
    #[serde(rename = "told")]
    #[strum(serialize = "told")]
    OrderSent,
    /// The order was sent and has had no effect yet.
    Waiting,
    /// Loading, before it serves or is on standby.
    Warming,
    /// Keeps serving until others are ready for one of its shards.
    HeldForShard,
    /// Keeps serving until another state has been desired for [`Options::settle_time`].
    Settling,
    /// Cannot be switched off yet: requests are in flight or [`Options::drain_time`] has not
    /// elapsed.
    Draining,
    /// The round has reached [`Options::orders_per_round`].
    RateLimited,
    /// Unreachable, so orders have no observable effect.
    Unreachable,
}

/// A target that is not in its desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriftRecord {
    /// The target.
    pub target: TargetKey,
    /// The desired state.
    pub desired: DesiredState,
    /// The observed phase; `None` if it is unreachable.
    pub observed: Option<TargetPhase>,
    /// When the drift was first observed, on the clock of the rounds.
    pub since: Duration,
    /// The cause of the drift.
    pub cause: DriftCause,
    /// The shard for which it is held.
    pub held_for: Option<ShardKey>,
}

/// Result of a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Orders to send: targets without an earlier order first, and of those the ones that should
    /// serve first.
    pub orders: Vec<IntentOrder>,
    /// All owned targets that are not in their desired state. Unreachable targets that should drain
    /// or be off count as being in it.
    pub drift: Vec<DriftRecord>,
}

impl Outcome {
    /// Targets that still accept requests although another state is desired: they are ready and
    /// have not been ordered to leave service yet.
    pub fn held(&self) -> impl Iterator<Item = TargetKey> {
        let held = self.drift.iter().filter(|drift| drift.is_held());
        held.map(|drift| drift.target)
    }
}

impl DriftRecord {
    fn is_held(&self) -> bool {
        let is_order_pending = matches!(
            self.cause,
            DriftCause::HeldForShard | DriftCause::Settling | DriftCause::RateLimited
        );
        self.desired != DesiredState::Serve
            && is_order_pending
            && self.observed == Some(TargetPhase::Ready)
    }
}

/// Runs one round at `now`, the time since an arbitrary fixed point.
///
/// Targets without an observation count as not ready.
pub fn reconcile(
    catalog: &FleetCatalog,
    observations: &[TargetObservation],
    state: &mut ReconcileState,
    now: Duration,
    options: &Options,
) -> Outcome {
    state.update(catalog, observations, now);
    let ready = ready_counts(catalog, observations, state, now.checked_sub(options.settle_time));
    let mut round = Round { catalog, now, options, ready, outcome: Outcome::default() };
    let mut owned: Vec<&TargetObservation> =
        observations.iter().filter(|observation| observation.owned).collect();
    owned.sort_by_cached_key(|observation| {
        let record = catalog.target(observation.target);
        (state.last_order_at(&record.name), record.desired_state(), observation.target)
    });
    for observation in owned {
        let name = &catalog.target(observation.target).name;
        let history = state.targets.get_mut(name);
        round.process(observation, history.expect("updated for each owned target"));
    }
    round.outcome
}

/// Number of targets of each shard that are ready and should serve.
///
/// Ready targets that should leave service do not count: two targets that leave at the same time,
/// possibly on orders of two hosts, would each be released because of the other. Neither do targets
/// that received an order after `before`, since their report may be older than the order.
fn ready_counts(
    catalog: &FleetCatalog,
    observations: &[TargetObservation],
    state: &ReconcileState,
    before: Option<Duration>,
) -> HashMap<ShardKey, usize> {
    let is_settled = |observation: &&TargetObservation| {
        let history = state.targets.get(&catalog.target(observation.target).name);
        let served = history.zip(before).is_some_and(|(history, at)| history.has_served_since(at));
        !observation.owned || served
    };
    let ready =
        observations.iter().filter(|observation| observation.phase == Some(TargetPhase::Ready));
    let ready = ready.filter(is_settled);
    let records = ready.map(|observation| catalog.target(observation.target));
    let serving = records.filter(|record| record.desired_state() == DesiredState::Serve);
    let mut counts = HashMap::new();
    for &shard in serving.flat_map(|record| &record.shards) {
        *counts.entry(shard).or_default() += 1;
    }
    counts
}

/// A round in progress.
struct Round<'c> {
    catalog: &'c FleetCatalog,
    now: Duration,
    options: &'c Options,
    ready: HashMap<ShardKey, usize>,
    outcome: Outcome,
}

/// Next step for a target.
enum TargetStep {
    /// It is in its desired state.
    Converged,
    /// Order a state.
    Order(DesiredState),
    /// No order can or should be sent now.
    Wait(DriftCause),
    /// It keeps serving because of a shard.
    Hold(ShardKey),
}

impl Round<'_> {
    fn process(&mut self, observation: &TargetObservation, history: &mut TargetHistory) {
        let record = self.catalog.target(observation.target);
        history.record_phase(observation.phase, self.now);
        let step = self.next_step(record, observation, history);
        let (cause, held_for) = match step {
            TargetStep::Converged => {
                history.clear_drift();
                return;
            }
            TargetStep::Order(ordered) => (self.order(observation, ordered, history), None),
            TargetStep::Wait(cause) => (cause, None),
            TargetStep::Hold(shard) => (DriftCause::HeldForShard, Some(shard)),
        };
        let desired = record.desired_state();
        let since = history.record_drift(self.now);
        let (target, observed) = (observation.target, observation.phase);
        self.outcome.drift.push(DriftRecord { target, desired, observed, since, cause, held_for });
    }

    fn next_step(
        &self,
        record: &TargetRecord,
        observation: &TargetObservation,
        history: &TargetHistory,
    ) -> TargetStep {
        use TargetPhase::Cold;
        use TargetPhase::Draining;
        use TargetPhase::Ready;
        use TargetPhase::Standby;
        match (record.desired_state(), observation.phase) {
            (DesiredState::Serve, Some(Ready))
            | (DesiredState::Standby, Some(Standby))
            | (DesiredState::Drain, Some(Draining) | None)
            | (DesiredState::Off, None) => {
                match history.has_conflicting_order(record.desired_state()) {
                    true => TargetStep::Order(record.desired_state()),
                    false => TargetStep::Converged,
                }
            }
            (DesiredState::Serve, Some(Cold)) if history.was_ordered(DesiredState::Serve) => {
                TargetStep::Wait(DriftCause::Warming)
            }
            (DesiredState::Standby, Some(Cold)) if history.was_ordered(DesiredState::Standby) => {
                TargetStep::Wait(DriftCause::Warming)
            }
            (DesiredState::Standby | DesiredState::Drain, Some(Ready)) => {
                self.leave_service(record, history, record.desired_state())
            }
            (DesiredState::Serve | DesiredState::Standby, _) => {
                TargetStep::Order(record.desired_state())
            }
            (DesiredState::Drain, Some(Cold | Standby)) => TargetStep::Order(DesiredState::Drain),
            (DesiredState::Off, Some(Ready)) => {
                self.leave_service(record, history, DesiredState::Drain)
            }
            (DesiredState::Off, Some(Draining)) => self.switch_off(observation, history),
            (DesiredState::Off, Some(Cold | Standby)) if observation.in_flight > 0 => {
                TargetStep::Order(DesiredState::Drain)
            }
            (DesiredState::Off, Some(Cold | Standby)) => TargetStep::Order(DesiredState::Off),
        }
    }

    /// Takes a ready target out of service when others are ready for each of its shards.
    ///
    /// Handles edits that switch old targets off and new ones on, which first load for their cold
    /// start. Meanwhile a shard could have no target, so that every answer is incomplete, or one
    /// instead of two, so that urgent requests queue for its 2 slots. The last ready target is held
    /// without a time limit, since an incomplete conflict check is worse than a target that stays
    /// on. The hold until all are ready ends after [`Options::max_hold_cold_starts`], so that a
    /// target that is down for days does not keep another one on. Both appear with the shard in the
    /// drift record.
    fn leave_service(
        &self,
        record: &TargetRecord,
        history: &TargetHistory,
        ordered: DesiredState,
    ) -> TargetStep {
        let settled_for = self.now.saturating_sub(history.desired_since);
        let cold_start = self.catalog.service(record.service).cold_start;
        let is_hold_expired = settled_for >= cold_start * self.options.max_hold_cold_starts;
        let lacks_replicas = |shard: &&ShardKey| {
            let ready = self.ready.get(*shard).copied().unwrap_or(0);
            ready == 0
                || !is_hold_expired && ready < self.catalog.serving_targets_of(**shard).count()
        };
        match record.shards.iter().find(lacks_replicas) {
            Some(&shard) => TargetStep::Hold(shard),
            None if settled_for < self.options.settle_time => {
                TargetStep::Wait(DriftCause::Settling)
            }
            None => TargetStep::Order(ordered),
        }
    }

    /// Switches a draining target off when no request runs on it.
    ///
    /// Switching it off during a request would close the connection and leave the outcome of a
    /// non-idempotent request unknown. The target's report is delayed, so this host's own count
    /// of requests in flight is used; the drain time covers hosts that owned the target until
    /// recently.
    fn switch_off(&self, observation: &TargetObservation, history: &TargetHistory) -> TargetStep {
        if observation.in_flight > 0 || history.draining_time(self.now) < self.options.drain_time {
            return TargetStep::Wait(DriftCause::Draining);
        }
        TargetStep::Order(DesiredState::Off)
    }

    fn order(
        &mut self,
        observation: &TargetObservation,
        ordered: DesiredState,
        history: &mut TargetHistory,
    ) -> DriftCause {
        let is_unreachable = observation.phase.is_none();
        let waiting = if is_unreachable { DriftCause::Unreachable } else { DriftCause::Waiting };
        if history.was_ordered_within(ordered, self.now, self.options.retry_after) {
            return waiting;
        }
        if self.outcome.orders.len() >= self.options.orders_per_round {
            return if history.was_ordered(ordered) { waiting } else { DriftCause::RateLimited };
        }
        history.last_order = Some((ordered, self.now));
        self.outcome.orders.push(IntentOrder { target: observation.target, state: ordered });
        DriftCause::OrderSent
    }
}
