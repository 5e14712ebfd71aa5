//! Which target an attempt goes to.
//!
//! The load it is for: a service whose few targets pause, slow down or fail one
//! at a time while the others keep up. The harm it prevents: work piling up
//! where it is not done. Nothing is asked of the targets for it: every answer
//! tells load and speed, and a request that gets no answer tells as much.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::home::HomeZones;
use crate::registry::TargetKey;
use crate::registry::TargetRegistry;
use crate::target::TargetPhase;
use crate::target::TargetState;

/// Expected time added to a cold target whose requests are limited, in seconds: more than any
/// warm one takes.
const COLD_COST: f64 = 40.0;
/// Expected time added to a target that leaves, in seconds: dearer than any
/// ready one, cheaper than one that does not answer.
const LEAVING_COST: f64 = 50.0;
/// Expected time added to a target that is passed over after failures.
const PAUSED_COST: f64 = 100.0;

/// A target that has not answered for so many usual times pauses, or has a queue
/// that it did not tell of: one ordinary answer in a hundred takes as long.
const SUSPECT_FACTOR: u32 = 3;

/// Two targets this close in expected time are as good as each other, in
/// seconds: drawing lots keeps hosts from all choosing the same one.
const DRAW_SPREAD: f64 = 0.001;

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// All targets and what is believed of them.
    pub registry: &'a TargetRegistry,
    /// Zone of this host.
    pub zone: &'a str,
    /// Zones that cannot be reached.
    pub unreachable_zones: &'a [String],
    /// Zones in which the route's requests may be run.
    pub homes: HomeZones<'a>,
    /// The usual time of such a request.
    pub service_time: Duration,
    /// The usual time of one of those that wait in queues, of whichever route.
    pub queued_service_time: Duration,
    /// Time within which its answer is worth all it can be to the caller.
    pub target_latency: Duration,
    /// When the choice is made.
    pub now: Duration,
}

impl<'a> PlacementView<'a> {
    /// The target's zone is a home and not cut off, as far as is known, and it may be sent
    /// requests.
    fn reaches(&self, state: &TargetState) -> bool {
        let zone = &state.entry.zone;
        self.homes.allows(zone)
            && !self.unreachable_zones.iter().any(|cut| **cut == **zone)
            && self.registry.is_open(state, self.now)
    }

    /// The targets of a service that take work and can be reached.
    pub fn available_targets(self, service: &str) -> impl Iterator<Item = &'a TargetState> {
        let targets = self.registry.of_service(service).iter();
        let states = targets.filter_map(move |key| self.registry.get(*key));
        states.filter(move |state| self.reaches(state) && state.is_available(self.now))
    }

    /// Whether a target is the only one of a service with several that would be left.
    pub fn is_last_target(self, service: &str, key: TargetKey, tried: &[TargetKey]) -> bool {
        let others = || {
            let keys = self.registry.of_service(service).iter().filter(|other| **other != key);
            keys.filter_map(|other| Some((other, self.registry.get(*other)?)))
        };
        let stands = |other: TargetKey, state: &TargetState| {
            !tried.contains(&other) && self.reaches(state) && state.is_healthy(self.now)
        };
        others().next().is_some() && !others().any(|(other, state)| stands(*other, state))
    }

    /// How long a request sent now waits at a service before it is worked on, at the
    /// least busy of its targets; `None` where none takes work.
    pub fn queue_wait(self, service: &str) -> Option<Duration> {
        self.available_targets(service).map(|state| self.target_wait(state)).min()
    }

    /// How long it waits at one target.
    ///
    /// Failure: a target pauses, tells nothing, and what it told before says that it
    /// has no queue. Or more is asked of it than its connections carry, and the
    /// queue stands at the hosts, where it does not count what it does not see. But
    /// it has not answered for long what was meant for it before; a new request
    /// waits as long once more, and behind those. The usual time stands for each
    /// request of the queue, and not the target's own learnt one: that holds the
    /// waits of earlier ones, which would count twice.
    fn target_wait(self, state: &TargetState) -> Duration {
        let slots = f64::from(state.entry.slots.max(1));
        let own = (state.in_flight.len() as f64 - slots).max(0.0) / slots;
        let queue = self.queued_service_time.mul_f64(own.max(state.queue(self.now)));
        let oldest = state.oldest_wait(self.now);
        if oldest > self.queued_service_time * SUSPECT_FACTOR { queue + oldest } else { queue }
    }
}

/// The target of a service that is expected to answer first, apart from those
/// tried already and those that cannot be reached.
pub fn select_target(
    view: PlacementView<'_>,
    service: &str,
    tried: &[TargetKey],
    lots: &mut impl Rng,
    options: &Options,
) -> Option<TargetKey> {
    let registry = view.registry;
    let mut best: Option<(f64, TargetKey)> = None;
    let mut cold = false;
    for key in registry.of_service(service) {
        let Some(state) = registry.get(*key).filter(|_| !tried.contains(key)) else { continue };
        if !view.reaches(state) {
            cold |= registry.is_near(state) && registry.cold().limit(state, view.now).is_some();
            continue;
        }
        let Some(score) = score(view, state, options) else { continue };
        let drawn = score + lots.random_range(0.0..DRAW_SPREAD);
        if best.is_none_or(|(least, _)| drawn < least) {
            best = Some((drawn, *key));
        }
    }
    let best = best.map(|(_, key)| key);
    let limited = |key| {
        let state = registry.get(key);
        state.is_some_and(|state| registry.cold().limit(state, view.now).is_some())
    };
    if best.map_or(cold, limited) {
        registry.cold().want(view.now);
    }
    best
}

/// Weights of the choice.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Added to the expected time of a target in another zone, on top of the
    /// way there, at least: what a small answer's bytes between zones cost, as time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "zone_cost_ms")]
    pub zone_cost: Duration,
    /// And so much of the route's aim: an answer that comes sooner within its aim
    /// is worth no more to the caller, and large answers are those of long aims.
    pub zone_aim_share: f64,
    /// A target whose oldest request waits longer than so many usual times is suspected.
    pub suspect_factor: f64,
    /// Expected time added to a suspected target: a usual pause.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspect_cost_ms")]
    pub suspect_cost: Duration,
    /// Expected time added for a target that fails all it is sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "failing_cost_ms")]
    pub failing_cost: Duration,
    /// A cold target counts as so many times slower.
    pub cold_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zone_cost: Duration::from_millis(30),
            zone_aim_share: 0.5,
            suspect_factor: 3.0,
            suspect_cost: Duration::from_millis(100),
            failing_cost: Duration::from_millis(400),
            cold_factor: 1.5,
        }
    }
}

/// Expected time until the target's answer, in seconds; `None` when it takes nothing.
pub fn score(view: PlacementView<'_>, state: &TargetState, options: &Options) -> Option<f64> {
    let PlacementView { zone, service_time: usual, target_latency: aim, now, .. } = view;
    let phase_cost = match state.phase {
        TargetPhase::Ready => 0.0,
        // Only while nobody else takes work: dearer than any ready target.
        TargetPhase::Leaving { until } if now < until => LEAVING_COST,
        TargetPhase::Leaving { .. } | TargetPhase::Gone => return None,
    };
    let mut work = usual.as_secs_f64() * state.slowdown().max(0.25);
    if now < state.cold_until {
        work *= options.cold_factor;
    }
    let slots = f64::from(state.entry.slots.max(1));
    let load = f64::from(state.load(now));
    let queued = (load + 1.0 - slots).max(0.0);
    // A slot that is free now is worth a little more than one of the last.
    let mut time = work * (1.0 + queued / slots + 0.1 * load / slots);
    if *state.entry.zone != *zone {
        time += options.zone_cost.max(aim.mul_f64(options.zone_aim_share)).as_secs_f64();
    }
    if state.oldest_wait(now).as_secs_f64() > options.suspect_factor * work.max(0.005) {
        time += options.suspect_cost.as_secs_f64();
    }
    if view.registry.cold().limit(state, now).is_some() {
        time += COLD_COST;
    }
    time += state.failure_rate() * options.failing_cost.as_secs_f64();
    if now < state.paused_until() {
        // Tried only when the others are paused too, the first to end first.
        time += PAUSED_COST + (state.paused_until() - now).as_secs_f64();
    }
    Some(time + phase_cost)
}
