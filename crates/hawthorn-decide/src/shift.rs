//! Shifting traffic to and away from one target: cold targets ramp up (slow start), failing ones
//! are ejected (outlier ejection) and return after a successful probe, draining ones get no new
//! work.
//!
//! Decisions are based on the owner's own attempts. Reports of the target or the platform can only
//! take work away (the target drains or is cold); they never restore traffic by themselves.

use std::time::Duration;

use crate::message::DrainSource;
use crate::time::TickTime;
use crate::time::micros;
use hawthorn_types::DesiredState;

/// Limits of traffic shifting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Initial interval between requests to a ramping target, which gets one at a time; halved
    /// after each good answer. 100 ms: seven good answers bring the target to full traffic in a
    /// fifth of a second, and a target that is still loading slows at most one request in 100 ms.
    pub initial_ramp_interval: Duration,
    /// The ramp ends when the interval falls below this, which is less than a service time.
    pub min_ramp_interval: Duration,
    /// Consecutive failures after which a target is ejected. 3: a single broken connection is
    /// normal, three in a row are no coincidence.
    pub failure_limit: u32,
    /// Consecutive slow answers after which a target is ejected. 8: with 5 % stragglers, eight in
    /// a row occur by chance four times in 10^11. At 5 (three in 10^7), some target of a zone is
    /// ejected by chance every few minutes, and the remaining replica then gets twice its load.
    pub slow_limit: u32,
    /// An answer is slow if it takes more than this many times the shard's median.
    pub slow_factor: u64,
    /// Maximum fraction of a shard's replicas in service that is ejected. With more, the remaining
    /// replicas would be overloaded by the traffic of the ejected ones.
    pub max_ejected_share: f64,
    /// Duration of a first ejection; doubled each time the target fails again on its return.
    pub initial_backoff: Duration,
    /// Maximum duration of an ejection. 30 s: a repaired target gets traffic again within half a
    /// minute.
    pub max_backoff: Duration,
    /// Initial pause of a target that sheds load; doubled with each further rejection. 5 ms: one
    /// service time, in which a slot can become free.
    pub initial_shed_pause: Duration,
    /// How long a slot is withheld after its target shed load. 1 s: ownership moves within a few
    /// seconds, and the cost of one rejection a second is negligible.
    pub withheld_slot_hold: Duration,
    /// Maximum pause of a target that sheds load.
    pub max_shed_pause: Duration,
    /// How long a target's own drain signal holds although the target reports ready, unless it
    /// was seen down or loading in between. The report can be stale or wrong, and a draining target
    /// would get work again. 30 s: the longest time that a target which cancels its drain is idle.
    pub drain_hold: Duration,
    /// A state report of cold is ignored if the latest good answer is more recent than this.
    pub success_freshness: Duration,
    /// Interval between probes of a target. 1 s: a draining target is noticed within 2 s, at one
    /// small request a second.
    pub probe_interval: Duration,
    /// Maximum delay of the first probe after a target came to this owner. Its shards lack a
    /// replica until then, so the probe must not wait for a whole interval. The delay is random, so
    /// that an owner that takes over hundreds of targets does not probe them all at once.
    pub max_first_probe_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            initial_ramp_interval: Duration::from_millis(100),
            min_ramp_interval: Duration::from_millis(2),
            failure_limit: 3,
            slow_limit: 8,
            slow_factor: 5,
            max_ejected_share: 0.5,
            initial_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(30),
            initial_shed_pause: Duration::from_millis(5),
            withheld_slot_hold: Duration::from_secs(1),
            max_shed_pause: Duration::from_millis(320),
            drain_hold: Duration::from_secs(30),
            success_freshness: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            max_first_probe_delay: Duration::from_millis(100),
        }
    }
}

/// How the owner uses a target that is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Gets work on all its slots.
    Serving,
    /// Gets one request at a time, `interval` microseconds apart.
    Ramping {
        /// Minimum time between two attempts.
        interval: u64,
    },
    /// Gets no work until it answers a probe after `until`.
    Ejected {
        /// When it is next probed.
        until: TickTime,
    },
}

/// The traffic that a replica can take; for a shard, the maximum over its replicas. Ramps and
/// ejections move work to better replicas; if a shard has none, they would only deny service and
/// are relaxed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplicaCapacity {
    /// No traffic: ejected or not in service.
    None,
    /// One request at a time.
    Ramping,
    /// Full traffic.
    Full,
}

/// The consequence of a failure or a slow answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionDecision {
    /// None.
    Keep,
    /// Ejection, if enough replicas of its shards remain.
    Eject,
}

/// Traffic state of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    pub(crate) wanted: DesiredState,
    pub(crate) phase: Phase,
    drain_sources: u8,
    drain_started_at: TickTime,
    /// Whether it was seen down or loading since the drain signal.
    seen_stopped: bool,
    consecutive_failures: u32,
    consecutive_slow: u32,
    backoff: u64,
    pause: u64,
    paused_until: TickTime,
    /// Slots withheld because it shed load.
    withheld_slots: u16,
    withheld_at: TickTime,
    next_send_at: TickTime,
    last_success_at: Option<TickTime>,
}

impl TargetHealth {
    pub(crate) fn new(wanted: DesiredState) -> Self {
        Self {
            wanted,
            phase: Phase::Serving,
            drain_sources: 0,
            drain_started_at: TickTime::default(),
            seen_stopped: false,
            consecutive_failures: 0,
            consecutive_slow: 0,
            backoff: 0,
            pause: 0,
            paused_until: TickTime::default(),
            withheld_slots: 0,
            withheld_at: TickTime::default(),
            next_send_at: TickTime::default(),
            last_success_at: None,
        }
    }

    /// Whether it may get work, now or later.
    pub(crate) fn in_service(&self) -> bool {
        self.wanted == DesiredState::Serve && self.drain_sources == 0
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    pub(crate) fn capacity(&self) -> ReplicaCapacity {
        match self.phase {
            _ if !self.in_service() => ReplicaCapacity::None,
            Phase::Serving => ReplicaCapacity::Full,
            Phase::Ramping { .. } => ReplicaCapacity::Ramping,
            Phase::Ejected { .. } => ReplicaCapacity::None,
        }
    }

    /// Slots that may be in use, given the best capacity among the shard's replicas.
    pub(crate) fn limit(&self, slots: u16, best: ReplicaCapacity) -> u16 {
        match self.phase {
            _ if !self.in_service() => 0,
            Phase::Serving => slots.saturating_sub(self.withheld_slots).max(slots.min(1)),
            Phase::Ramping { .. } => slots.min(1),
            Phase::Ejected { .. } if best == ReplicaCapacity::None => slots.min(1),
            Phase::Ejected { .. } => 0,
        }
    }

    /// The earliest time of the next attempt.
    pub(crate) fn send_at(&self, best: ReplicaCapacity) -> TickTime {
        match self.phase {
            Phase::Ramping { .. } if best == ReplicaCapacity::Full => {
                self.paused_until.max(self.next_send_at)
            }
            _ => self.paused_until,
        }
    }

    pub(crate) fn on_sent(&mut self, now: TickTime) {
        if let Phase::Ramping { interval } = self.phase {
            self.next_send_at = now.plus(interval);
        }
    }

    pub(crate) fn on_success(&mut self, now: TickTime, options: &Options) {
        self.consecutive_failures = 0;
        self.consecutive_slow = 0;
        self.pause = 0;
        self.last_success_at = Some(now);
        if self.withheld_slots > 0 && now.since(self.withheld_at) >= options.withheld_slot_hold {
            self.withheld_slots -= 1;
            self.withheld_at = now;
        }
        match self.phase {
            Phase::Serving => {}
            Phase::Ramping { interval } if interval / 2 < micros(options.min_ramp_interval) => {
                self.phase = Phase::Serving;
                self.backoff = 0;
            }
            Phase::Ramping { interval } => {
                self.phase = Phase::Ramping { interval: interval / 2 };
                self.next_send_at = self.next_send_at.min(now.plus(interval / 2));
            }
            // The attempt was sent before the ejection, or because there was no other replica.
            // Only a probe ends an ejection.
            Phase::Ejected { .. } => {}
        }
    }

    /// Records a slow answer. Targets that are slow because they are loading are ejected as well.
    pub(crate) fn on_slow(&mut self, options: &Options) -> EjectionDecision {
        if self.is_ejected() {
            return EjectionDecision::Keep;
        }
        self.consecutive_slow += 1;
        if self.consecutive_slow >= options.slow_limit {
            EjectionDecision::Eject
        } else {
            EjectionDecision::Keep
        }
    }

    /// Records a failure. During the ramp after an ejection, one failure ejects again.
    pub(crate) fn on_failure(&mut self, options: &Options) -> EjectionDecision {
        self.consecutive_failures += 1;
        let after_ejection = matches!(self.phase, Phase::Ramping { .. }) && self.backoff > 0;
        match self.phase {
            Phase::Ejected { .. } => EjectionDecision::Keep,
            _ if after_ejection || self.consecutive_failures >= options.failure_limit => {
                EjectionDecision::Eject
            }
            _ => EjectionDecision::Keep,
        }
    }

    /// Ejects the target and returns when to probe it. `jitter`, 0 to 1, spreads the probes of
    /// targets that failed together.
    pub(crate) fn eject(&mut self, now: TickTime, jitter: f64, options: &Options) -> TickTime {
        let initial = micros(options.initial_backoff);
        self.backoff = (self.backoff * 2).clamp(initial, micros(options.max_backoff));
        self.consecutive_failures = 0;
        self.consecutive_slow = 0;
        let wait = self.backoff + (self.backoff as f64 * jitter / 2.0) as u64;
        let until = now.plus(wait);
        self.phase = Phase::Ejected { until };
        until
    }

    /// Records a probe without an answer.
    pub(crate) fn on_unreachable(&mut self, options: &Options) -> EjectionDecision {
        self.seen_stopped = true;
        self.on_failure(options)
    }

    /// Resets the failure counts of a target that stays in service because its ejection was
    /// skipped.
    pub(crate) fn reset_streaks(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_slow = 0;
    }

    /// Records that the target shed load; returns when it may get work again.
    ///
    /// The target has fewer slots for this owner than configured: while ownership moves, two owners
    /// send to it. Both would be rejected repeatedly until their budgets are spent, so each
    /// withholds a slot.
    pub(crate) fn on_shed(&mut self, now: TickTime, slots: u16, options: &Options) -> TickTime {
        self.withheld_slots = (self.withheld_slots + 1).min(slots.saturating_sub(1));
        self.withheld_at = now;
        let initial = micros(options.initial_shed_pause);
        self.pause = (self.pause * 2).clamp(initial, micros(options.max_shed_pause));
        self.paused_until = now.plus(self.pause);
        self.paused_until
    }

    /// Starts the ramp of a cold target.
    pub(crate) fn on_cold(&mut self, now: TickTime, options: &Options) {
        if self.is_ejected() {
            return;
        }
        let interval = micros(options.initial_ramp_interval);
        self.phase = Phase::Ramping { interval };
        self.next_send_at = now.plus(interval);
    }

    /// Records a state report of cold or standby.
    pub(crate) fn on_cold_report(&mut self, now: TickTime, options: &Options) {
        self.seen_stopped = true;
        let recently_succeeded =
            self.last_success_at.is_some_and(|at| now.since(at) < options.success_freshness);
        if !recently_succeeded && self.phase == Phase::Serving {
            self.on_cold(now, options);
        }
    }

    /// Records a state report of ready, which only permits the ramp to start.
    pub(crate) fn on_ready_report(&mut self, now: TickTime, options: &Options) {
        let hold_expired = now.since(self.drain_started_at) >= options.drain_hold;
        if hold_expired || self.seen_stopped {
            self.clear_drain(DrainSource::Target, now, options);
        }
        if let Phase::Ejected { until } = self.phase
            && now >= until
        {
            self.phase = Phase::Ramping { interval: micros(options.initial_ramp_interval) };
            self.next_send_at = now;
        }
    }

    /// Records a drain signal; the target gets no new work from now on.
    pub(crate) fn start_drain(&mut self, source: DrainSource, now: TickTime) {
        self.drain_sources |= bit_of(source);
        self.drain_started_at = now;
        self.seen_stopped = false;
    }

    /// Clears the drain signal of one source; after the last one the target ramps up.
    pub(crate) fn clear_drain(&mut self, source: DrainSource, now: TickTime, options: &Options) {
        if self.drain_sources & bit_of(source) == 0 {
            return;
        }
        self.drain_sources &= !bit_of(source);
        if self.drain_sources == 0 {
            self.on_cold(now, options);
        }
    }

    /// Sets the state that operators want.
    pub(crate) fn set_wanted(&mut self, wanted: DesiredState, now: TickTime, options: &Options) {
        let newly_wanted = wanted == DesiredState::Serve && self.wanted != DesiredState::Serve;
        self.wanted = wanted;
        if newly_wanted {
            self.on_cold(now, options);
            // Unlike a target that has just rejected a request as cold, it may be tried at once.
            self.next_send_at = now;
        }
    }
}

fn bit_of(source: DrainSource) -> u8 {
    1 << source as u8
}
