//! What to tell targets so that the fleet comes to match the intent.
//!
//! One round looks at every target that this host owns, compares what is
//! wanted with what is seen, and gives out orders (`POST /intent`). A target
//! on its way out goes on serving until another one is ready for each of its
//! shards, then drains, and is switched off once nothing runs on it.
//!
//! Orders are idempotent: a lost one is given again, two hosts that both
//! believe they own a target give the same one under one revision.

mod memory;

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

pub use memory::ReconcileState;
use memory::TargetMemory;

/// What is known of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetObservation {
    /// The target.
    pub target: TargetKey,
    /// The phase it last reported; `None` when it can't be reached.
    pub phase: Option<TargetPhase>,
    /// Requests that this host has at the target. Known exactly, unlike what
    /// the target reports.
    pub in_flight: u32,
    /// Whether this host owns the target. Another host's target is looked at
    /// for coverage only, never told anything.
    pub owned: bool,
}

/// Limits of one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Most orders given in one round.
    ///
    /// Load: one edit changes the intent of a whole zone. Harm prevented: all
    /// its targets connect, load and drain in one moment. At a round a second
    /// 16 orders reach the 40 targets of a service of today in three rounds.
    pub orders_per_round: usize,
    /// The same order is given again after so long without effect: targets
    /// report late, so a shorter time only repeats what was heard.
    pub retry_after: Duration,
    /// How long a target drains before it may be switched off, at least: other
    /// hosts that owned it a moment ago stop within this time.
    pub drain_time: Duration,
    /// No target leaves service until that has been wanted here for so long,
    /// and none counts as ready until it has been wanted to serve, and told
    /// nothing else, for so long.
    ///
    /// Failures guarded against, each of which leaves a shard with no target:
    /// two hosts at neighbouring revisions each drain the target that the other
    /// one wants; or the next edit comes while a target that was told to drain
    /// still reports that it is ready. Must be longer than a revision takes to
    /// spread, and than an order takes to show.
    pub settle_time: Duration,
    /// A target waits for so many cold starts of its service until as many
    /// others are ready for its shards as are wanted to serve them. One cold
    /// start is what they take, the second is for an order that was lost.
    pub cold_starts_held: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            orders_per_round: 16,
            retry_after: Duration::from_secs(5),
            drain_time: Duration::from_secs(3),
            settle_time: Duration::from_secs(5),
            cold_starts_held: 2,
        }
    }
}

/// One order to give: `POST /intent` to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntentOrder {
    /// The target.
    pub target: TargetKey,
    /// What to tell it, which is not always what is wanted in the end: a
    /// target drains before it is switched off.
    pub state: DesiredState,
}

/// Why a target that differs from the intent is not simply told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DriftCause {
    /// The order goes out in this round.
    #[serde(rename = "told")]
    #[strum(serialize = "told")]
    OrderSent,
    /// The order was given and has had no effect yet.
    Waiting,
    /// Loading, on its way to serving or standing by.
    Warming,
    /// Goes on serving until others are ready for one of its shards.
    HeldForShard,
    /// Goes on serving until another state has been wanted for a moment.
    Settling,
    /// Still has requests, or drains for too short a time, to be switched off.
    Draining,
    /// The round has given all the orders it may.
    RateLimited,
    /// Can't be reached, so it can't be told or seen to change.
    Unreachable,
}

/// One target that is not in the state wanted of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriftRecord {
    /// The target.
    pub target: TargetKey,
    /// What is wanted.
    pub desired: DesiredState,
    /// What is seen; `None` when it can't be reached.
    pub observed: Option<TargetPhase>,
    /// When the difference was first seen, on the clock given to the rounds.
    pub since: Duration,
    /// Why it lasts.
    pub cause: DriftCause,
    /// The shard that it is held for.
    pub held_for: Option<ShardKey>,
}

/// What one round gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Orders to give, the ones that add to coverage first.
    pub orders: Vec<IntentOrder>,
    /// Every owned target that is not as wanted. A target that is wanted off
    /// and can't be reached is as wanted.
    pub drift: Vec<DriftRecord>,
}

impl Outcome {
    /// Targets that still take new work although another state is wanted: they
    /// are ready and were not told to leave yet.
    pub fn held(&self) -> impl Iterator<Item = TargetKey> {
        let held = self.drift.iter().filter(|drift| drift.is_held());
        held.map(|drift| drift.target)
    }
}

impl DriftRecord {
    fn is_held(&self) -> bool {
        let untold = matches!(
            self.cause,
            DriftCause::HeldForShard | DriftCause::Settling | DriftCause::RateLimited
        );
        self.desired != DesiredState::Serve && untold && self.observed == Some(TargetPhase::Ready)
    }
}

/// Runs one round at `now`, which is time since any fixed moment.
///
/// A target that `seen` doesn't mention counts as not ready.
pub fn reconcile(
    catalog: &FleetCatalog,
    seen: &[TargetObservation],
    memory: &mut ReconcileState,
    now: Duration,
    options: &Options,
) -> Outcome {
    memory.enter(catalog, seen, now);
    let ready = ready_counts(catalog, seen, memory, now.checked_sub(options.settle_time));
    let mut round = Round { catalog, now, options, ready, outcome: Outcome::default() };
    let mut owned: Vec<&TargetObservation> = seen.iter().filter(|seen| seen.owned).collect();
    owned.sort_by_cached_key(|seen| {
        let record = catalog.target(seen.target);
        (memory.told_at(&record.name), record.desired_state(), seen.target)
    });
    for seen in owned {
        let name = &catalog.target(seen.target).name;
        let target_memory = memory.targets.get_mut(name);
        round.visit(seen, target_memory.expect("entered for each owned target"));
    }
    round.outcome
}

/// How many targets of each shard are ready and wanted to serve.
///
/// One that is ready but on its way out doesn't count: two targets that leave
/// together, perhaps told by two hosts, would each be let go for the other's
/// sake. Nor does one that was told something after `before`: what it reports
/// may be from before the order.
fn ready_counts(
    catalog: &FleetCatalog,
    seen: &[TargetObservation],
    memory: &ReconcileState,
    before: Option<Duration>,
) -> HashMap<ShardKey, usize> {
    let is_trusted = |seen: &&TargetObservation| {
        let memory = memory.targets.get(&catalog.target(seen.target).name);
        let served = memory.zip(before).is_some_and(|(memory, at)| memory.has_served_since(at));
        !seen.owned || served
    };
    let ready = seen.iter().filter(|seen| seen.phase == Some(TargetPhase::Ready));
    let ready = ready.filter(is_trusted);
    let records = ready.map(|seen| catalog.target(seen.target));
    let serving = records.filter(|record| record.desired_state() == DesiredState::Serve);
    let mut counts = HashMap::new();
    for &shard in serving.flat_map(|record| &record.shards) {
        *counts.entry(shard).or_default() += 1;
    }
    counts
}

/// One round in work.
struct Round<'c> {
    catalog: &'c FleetCatalog,
    now: Duration,
    options: &'c Options,
    ready: HashMap<ShardKey, usize>,
    outcome: Outcome,
}

/// What is to be done about one target.
enum TargetStep {
    /// It is as wanted.
    Settled,
    /// Tell it.
    Tell(DesiredState),
    /// Nothing can or need be told now.
    Wait(DriftCause),
    /// It goes on serving for a shard.
    Hold(ShardKey),
}

impl Round<'_> {
    fn visit(&mut self, seen: &TargetObservation, memory: &mut TargetMemory) {
        let record = self.catalog.target(seen.target);
        memory.note_phase(seen.phase, self.now);
        let step = self.step(record, seen, memory);
        let (cause, held_for) = match step {
            TargetStep::Settled => {
                memory.note_settled();
                return;
            }
            TargetStep::Tell(state) => (self.tell(seen, state, memory), None),
            TargetStep::Wait(cause) => (cause, None),
            TargetStep::Hold(shard) => (DriftCause::HeldForShard, Some(shard)),
        };
        let desired = record.desired_state();
        let since = memory.note_drift(self.now);
        let (target, observed) = (seen.target, seen.phase);
        self.outcome.drift.push(DriftRecord { target, desired, observed, since, cause, held_for });
    }

    fn step(
        &self,
        record: &TargetRecord,
        seen: &TargetObservation,
        memory: &TargetMemory,
    ) -> TargetStep {
        use TargetPhase::Cold;
        use TargetPhase::Draining;
        use TargetPhase::Ready;
        use TargetPhase::Standby;
        match (record.desired_state(), seen.phase) {
            (DesiredState::Serve, Some(Ready))
            | (DesiredState::Standby, Some(Standby))
            | (DesiredState::Drain, Some(Draining) | None)
            | (DesiredState::Off, None) => match memory.other_order(record.desired_state()) {
                true => TargetStep::Tell(record.desired_state()),
                false => TargetStep::Settled,
            },
            (DesiredState::Serve, Some(Cold)) if memory.was_told(DesiredState::Serve) => {
                TargetStep::Wait(DriftCause::Warming)
            }
            (DesiredState::Standby, Some(Cold)) if memory.was_told(DesiredState::Standby) => {
                TargetStep::Wait(DriftCause::Warming)
            }
            (DesiredState::Standby | DesiredState::Drain, Some(Ready)) => {
                self.leave(record, memory, record.desired_state())
            }
            (DesiredState::Serve | DesiredState::Standby, _) => {
                TargetStep::Tell(record.desired_state())
            }
            (DesiredState::Drain, Some(Cold | Standby)) => TargetStep::Tell(DesiredState::Drain),
            (DesiredState::Off, Some(Ready)) => self.leave(record, memory, DesiredState::Drain),
            (DesiredState::Off, Some(Draining)) => self.switch_off(seen, memory),
            (DesiredState::Off, Some(Cold | Standby)) if seen.in_flight > 0 => {
                TargetStep::Tell(DesiredState::Drain)
            }
            (DesiredState::Off, Some(Cold | Standby)) => TargetStep::Tell(DesiredState::Off),
        }
    }

    /// Takes a ready target out of service once others are ready for each shard.
    ///
    /// Load: one edit turns new targets on and the old ones off, and the new
    /// ones load for their cold start. Harm prevented: in between the shard has
    /// no target, and every answer has a hole; or it has one where two are
    /// wanted, and with 2 slots urgent requests queue. The hold for the last
    /// one has no end in time, as a hole in a conflict check is worse than a
    /// target that stays on; the hold for the full number ends after
    /// [`Options::cold_starts_held`], as a target that is down for days must not
    /// keep another on. The drift record shows both with the shard.
    fn leave(
        &self,
        record: &TargetRecord,
        memory: &TargetMemory,
        state: DesiredState,
    ) -> TargetStep {
        let settled_for = self.now.saturating_sub(memory.wanted_since);
        let cold_start = self.catalog.service(record.service).cold_start;
        let is_hurried = settled_for >= cold_start * self.options.cold_starts_held;
        let is_short = |shard: &&ShardKey| {
            let ready = self.ready.get(*shard).copied().unwrap_or(0);
            ready == 0 || !is_hurried && ready < self.catalog.serving_targets_of(**shard).count()
        };
        match record.shards.iter().find(is_short) {
            Some(&shard) => TargetStep::Hold(shard),
            None if settled_for < self.options.settle_time => {
                TargetStep::Wait(DriftCause::Settling)
            }
            None => TargetStep::Tell(state),
        }
    }

    /// Switches a draining target off when nothing runs on it any more.
    ///
    /// Failure guarded against: a target switched off with a request on it,
    /// which shows as a cut connection and, for a non-idempotent request, as an
    /// unknown outcome. What the target reports lags, so this host's own count
    /// decides, and the drain time covers hosts that owned it a moment ago.
    fn switch_off(&self, seen: &TargetObservation, memory: &TargetMemory) -> TargetStep {
        if seen.in_flight > 0 || memory.drained_for(self.now) < self.options.drain_time {
            return TargetStep::Wait(DriftCause::Draining);
        }
        TargetStep::Tell(DesiredState::Off)
    }

    fn tell(
        &mut self,
        seen: &TargetObservation,
        state: DesiredState,
        memory: &mut TargetMemory,
    ) -> DriftCause {
        let is_unreachable = seen.phase.is_none();
        let waiting = if is_unreachable { DriftCause::Unreachable } else { DriftCause::Waiting };
        if memory.told_within(state, self.now, self.options.retry_after) {
            return waiting;
        }
        if self.outcome.orders.len() >= self.options.orders_per_round {
            return if memory.was_told(state) { waiting } else { DriftCause::RateLimited };
        }
        memory.told = Some((state, self.now));
        self.outcome.orders.push(IntentOrder { target: seen.target, state });
        DriftCause::OrderSent
    }
}
