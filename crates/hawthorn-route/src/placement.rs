//! Selects the target of an attempt.
//!
//! Handles a service with few targets, of which one at a time pauses, slows down or fails.
//! Without load balancing by expected latency, requests queue at the slow target while the
//! others are idle. No probes are needed: each response reports the target's load, and the
//! time that a request has been in flight shows how slow the target is.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::completion;
use crate::home::HomeZones;
use crate::registry::TargetKey;
use crate::registry::TargetRegistry;
use crate::target::TargetPhase;
use crate::target::TargetState;

/// Cost of a cold target with a request limit, in seconds: above the expected latency of any
/// warm target.
const COLD_COST: f64 = 40.0;
/// Cost of a target that is draining or whose entry was removed, in seconds: above that of any
/// ready target, and below that of one that does not answer.
const DRAINING_COST: f64 = 50.0;
/// Cost of a target that is backed off after failures, in seconds.
const BACKOFF_COST: f64 = 100.0;

/// A target whose oldest request exceeds this multiple of the service time is paused, or has a
/// queue that it did not report. One ordinary answer in a hundred takes as long.
const SUSPECT_FACTOR: u32 = 3;

/// Range of the random value added to each score, in seconds. Targets whose scores differ by
/// less are equivalent, and the jitter keeps all hosts from selecting the same one.
const SCORE_JITTER: f64 = 0.001;

/// Estimates of the wait for a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotWait {
    /// The expected wait; zero at a target that has a free slot.
    pub expected: Duration,
    /// The wait if a target whose oldest request is long does not release its slots. Where long
    /// and short work is mixed, many targets execute such a request without being paused.
    pub cautious: Duration,
}

/// The state that a selection is based on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// All targets and their state.
    pub registry: &'a TargetRegistry,
    /// Zone of this host.
    pub zone: &'a str,
    /// Zones that are unreachable from this host.
    pub unreachable_zones: &'a [String],
    /// Zones in which the route's requests may be executed.
    pub homes: HomeZones<'a>,
    /// Typical service time of the route's requests.
    pub service_time: Duration,
    /// Typical service time of queued requests, over all routes.
    pub queued_service_time: Duration,
    /// Latency within which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Time of the selection.
    pub now: Duration,
}

impl<'a> PlacementView<'a> {
    /// Whether requests may be sent to a target: its zone belongs to a home region and is not
    /// known to be unreachable, and the registry permits it.
    fn is_eligible(&self, state: &TargetState) -> bool {
        let zone = &state.entry.zone;
        self.homes.allows(zone)
            && !self.unreachable_zones.iter().any(|unreachable| **unreachable == **zone)
            && self.registry.accepts_requests(state, self.now)
    }

    /// The targets of a service that are available and eligible.
    pub fn available_targets(self, service: &str) -> impl Iterator<Item = &'a TargetState> {
        let targets = self.registry.of_service(service).iter();
        let states = targets.filter_map(move |key| self.registry.get(*key));
        states.filter(move |state| self.is_eligible(state) && state.is_available(self.now))
    }

    /// Whether a target is the last healthy one of a service that has several.
    pub fn is_last_target(self, service: &str, key: TargetKey, tried: &[TargetKey]) -> bool {
        let others = || {
            let keys = self.registry.of_service(service).iter().filter(|other| **other != key);
            keys.filter_map(|other| Some((other, self.registry.get(*other)?)))
        };
        let is_healthy = |other: TargetKey, state: &TargetState| {
            !tried.contains(&other) && self.is_eligible(state) && state.is_healthy(self.now)
        };
        others().next().is_some() && !others().any(|(other, state)| is_healthy(*other, state))
    }

    /// The shortest queueing delay of a request sent now, over the targets of a service;
    /// `None` if none is available.
    pub fn queue_wait(self, service: &str) -> Option<Duration> {
        self.available_targets(service).map(|state| self.target_queue_wait(state)).min()
    }

    /// The waits for a slot of a request sent now, over the targets of a service; `None` if none
    /// is available. Unlike [`PlacementView::queue_wait`], they are not zero if all slots are busy
    /// and no request is queued yet.
    pub fn slot_wait(self, service: &str) -> Option<SlotWait> {
        let target_wait = |state: &TargetState| {
            let queued = self.target_queue_wait(state);
            if state.has_free_slot(self.now) {
                return SlotWait { expected: Duration::ZERO, cautious: queued };
            }
            let next_slot = self.queued_service_time / state.entry.slots.max(1);
            let wait = queued.max(next_slot);
            SlotWait { expected: wait, cautious: wait }
        };
        let waits = self.available_targets(service).map(target_wait);
        waits.reduce(|a, b| SlotWait {
            expected: a.expected.min(b.expected),
            cautious: a.cautious.min(b.cautious),
        })
    }

    /// The waits for slots at the slowest service that an answer needs, if `max_missing` services
    /// may be missing from it. Zero if too few services are available: the request is then
    /// refused for that reason, and waiting for a slot does not help.
    pub fn decisive_slot_wait<'s>(
        self,
        services: impl Iterator<Item = &'s str>,
        max_missing: usize,
    ) -> SlotWait {
        let (mut expected, mut cautious, mut unavailable) = (Vec::new(), Vec::new(), 0);
        for service in services {
            match self.slot_wait(service) {
                Some(wait) => {
                    expected.push(wait.expected);
                    cautious.push(wait.cautious);
                }
                None => unavailable += 1,
            }
        }
        let Some(tolerated) = max_missing.checked_sub(unavailable) else {
            return SlotWait::default();
        };
        let decisive = |mut waits: Vec<Duration>| {
            waits.sort_unstable_by(|a, b| b.cmp(a));
            waits.get(tolerated).copied().unwrap_or_default()
        };
        SlotWait { expected: decisive(expected), cautious: decisive(cautious) }
    }

    /// The queueing delay at one target.
    ///
    /// A paused target reports nothing, and its last report shows an empty queue. Or the load
    /// exceeds the target's connections, and requests queue at the hosts, where the target does
    /// not count them. Both show in the age of the oldest request: a new request waits at least
    /// as long again, in addition to the queue. The typical service time is used instead of the
    /// target's own, because the latter includes queueing delays, which would then count twice.
    fn target_queue_wait(self, state: &TargetState) -> Duration {
        let slots = f64::from(state.entry.slots.max(1));
        let own = (state.in_flight.len() as f64 - slots).max(0.0) / slots;
        let queue = self.queued_service_time.mul_f64(own.max(state.queue(self.now)));
        let oldest = state.oldest_wait(self.now);
        if oldest > self.queued_service_time * SUSPECT_FACTOR { queue + oldest } else { queue }
    }
}

/// Selects the target of a service with the lowest expected latency, among the eligible ones
/// that have not been tried.
pub fn select_target(
    view: PlacementView<'_>,
    service: &str,
    tried: &[TargetKey],
    rng: &mut impl Rng,
    options: &Options,
) -> Option<TargetKey> {
    let registry = view.registry;
    let mut best: Option<(f64, TargetKey)> = None;
    let mut cold = false;
    let pause = typical_pause(view, service, options);
    for key in registry.of_service(service) {
        let Some(state) = registry.get(*key).filter(|_| !tried.contains(key)) else { continue };
        if !view.is_eligible(state) {
            cold |= registry.is_local(state) && registry.cold().limit(state, view.now).is_some();
            continue;
        }
        let Some(fixed) = fixed_costs(view, state, options) else { continue };
        let latency = match pause {
            Some(pause) => {
                completion::cost(view, state, pause, options).draw(view.target_latency, rng)
            }
            None => latency(view, state, options) + rng.random_range(0.0..SCORE_JITTER),
        };
        let jittered = fixed + latency;
        if best.is_none_or(|(lowest, _)| jittered < lowest) {
            best = Some((jittered, *key));
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

/// Settings of the target selection.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether the expected completion time decides; see [`completion`]. Otherwise the moving
    /// average of the latency and fixed costs do.
    pub by_completion: bool,
    /// Minimum cost of a target in another zone, in addition to the latency between zones:
    /// the cost of a small answer's cross-zone traffic, expressed as time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "zone_cost_ms")]
    pub zone_cost: Duration,
    /// Cost of a target in another zone as a share of the target latency, if that is more.
    /// Answers before the soft deadline are all worth the same, and routes with a high target
    /// latency have large answers.
    pub zone_aim_share: f64,
    /// A target is suspected when its oldest request exceeds this multiple of its service time.
    pub suspect_factor: f64,
    /// Cost of a suspected target: a typical pause.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspect_cost_ms")]
    pub suspect_cost: Duration,
    /// Cost of a target that fails all requests; scaled by the failure rate.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "failing_cost_ms")]
    pub failing_cost: Duration,
    /// Factor on the service time of a cold target.
    pub cold_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            by_completion: false,
            zone_cost: Duration::from_millis(30),
            zone_aim_share: 0.5,
            suspect_factor: 3.0,
            suspect_cost: Duration::from_millis(100),
            failing_cost: Duration::from_millis(400),
            cold_factor: 1.5,
        }
    }
}

/// The typical pause of a service's targets if the expected completion time decides.
fn typical_pause(view: PlacementView<'_>, service: &str, options: &Options) -> Option<Duration> {
    options.by_completion.then(|| completion::typical_pause(view, service, options))
}

/// Expected latency of a request sent to a target now, plus costs, in seconds; `None` if the
/// target accepts no requests. [`select_target`] adds a random value.
pub fn score(view: PlacementView<'_>, state: &TargetState, options: &Options) -> Option<f64> {
    let fixed = fixed_costs(view, state, options)?;
    let latency = match typical_pause(view, &state.entry.service, options) {
        Some(pause) => completion::cost(view, state, pause, options).mean(view.target_latency),
        None => latency(view, state, options),
    };
    Some(fixed + latency)
}

/// Expected latency in seconds, from the moving average, the load and the cost of a suspected
/// pause.
fn latency(view: PlacementView<'_>, state: &TargetState, options: &Options) -> f64 {
    let PlacementView { service_time, now, .. } = view;
    let mut work = service_time.as_secs_f64() * state.slowdown().max(0.25);
    if now < state.cold_until {
        work *= options.cold_factor;
    }
    let slots = f64::from(state.entry.slots.max(1));
    let load = f64::from(state.load(now));
    let queued = (load + 1.0 - slots).max(0.0);
    // Among targets with free slots, prefers the one with the lowest load per slot.
    let time = work * (1.0 + queued / slots + 0.1 * load / slots);
    if state.oldest_wait(now).as_secs_f64() > options.suspect_factor * work.max(0.005) {
        time + options.suspect_cost.as_secs_f64()
    } else {
        time
    }
}

/// Costs that do not depend on the target's latency, in seconds; `None` if the target accepts no
/// requests.
fn fixed_costs(view: PlacementView<'_>, state: &TargetState, options: &Options) -> Option<f64> {
    let PlacementView { zone, target_latency, now, .. } = view;
    let mut cost = match state.phase {
        TargetPhase::Ready => 0.0,
        // Used only while no ready target is available.
        TargetPhase::Leaving { until } if now < until => DRAINING_COST,
        TargetPhase::Leaving { .. } | TargetPhase::Gone => return None,
    };
    if *state.entry.zone != *zone {
        cost += options.zone_cost.max(target_latency.mul_f64(options.zone_aim_share)).as_secs_f64();
    }
    if view.registry.cold().limit(state, now).is_some() {
        cost += COLD_COST;
    }
    cost += state.failure_rate() * options.failing_cost.as_secs_f64();
    if now < state.backoff_until() {
        // Used only while all other targets are backed off too, earliest retry first.
        cost += BACKOFF_COST + (state.backoff_until() - now).as_secs_f64();
    }
    Some(cost)
}
