//! Shifting load on to and away from one target: cold ones ramp up, failing
//! ones are ejected and come back by probe, leaving ones get nothing new.
//!
//! Judged by the owner's own attempts. What a target or the platform says of
//! it can only take work away (it says it leaves, it says it is cold); it
//! never alone brings work back.

use std::time::Duration;

use crate::message::LeavingSource;
use crate::time::TickTime;
use crate::time::micros;
use hawthorn_types::WantedState;

/// Limits of shifting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// A ramping target gets one request at a time, at first so far apart,
    /// then twice as often after each good answer. 100 ms: seven good answers
    /// bring it to full work in a fifth of a second, while a target that is
    /// still loading slows one request in a hundred milliseconds and no more.
    pub ramp_gap: Duration,
    /// The ramp is over when the gap is shorter: less than a service time.
    pub ramp_end: Duration,
    /// Failures in a row after which a target is ejected. 3: one broken
    /// connection is ordinary, three in a row are not chance.
    pub failure_limit: u32,
    /// Slow answers in a row after which it is ejected. 8: with 5 % stragglers
    /// eight in a row are chance four times in 10^11. At 5 (three in 10^7) a
    /// zone's targets are ejected by chance every few minutes, and the replica
    /// that is left then carries twice its load.
    pub slow_limit: u32,
    /// An answer is slow when it takes so many times the shard's median.
    pub slow_factor: u64,
    /// Of a shard's replicas in service at most this part is ejected; the
    /// rest would drown in the work of those taken out.
    pub most_ejected: f64,
    /// How long an ejected target is left alone at first; doubled each time it
    /// fails again on its return.
    pub first_backoff: Duration,
    /// The longest it is left alone. 30 s: a repaired target is back in work
    /// within half a minute.
    pub most_backoff: Duration,
    /// How long a target that sheds load is left alone at first; doubled with
    /// each further refusal. 5 ms: one service time, in which a slot can free.
    pub shed_pause: Duration,
    /// How long a slot stays unused after its target shed load. 1 s: ownership
    /// moves within a few seconds, and one refusal a second costs nothing.
    pub cut_hold: Duration,
    /// The longest pause of a target that sheds.
    pub most_pause: Duration,
    /// How long a target's own leaving sign holds although its state page says
    /// ready, unless it was seen to stop meanwhile. The page lags or misleads,
    /// and trusted it would bring a draining target work again. 30 s: a target
    /// that gave up leaving is missed for so long at most.
    pub leaving_hold: Duration,
    /// Good answers this fresh outweigh a state page that says cold.
    pub answer_trust: Duration,
    /// How often each target is probed. 1 s: a leaving target is seen within
    /// 2 s, at one small request a second.
    pub probe_interval: Duration,
    /// Within which a target that just came to this owner is probed first. Its
    /// shards lack a replica until then, so it must not wait for a whole
    /// interval; spread a little, so that an owner that takes over hundreds of
    /// targets does not ask them all in one moment.
    pub first_probe_within: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ramp_gap: Duration::from_millis(100),
            ramp_end: Duration::from_millis(2),
            failure_limit: 3,
            slow_limit: 8,
            slow_factor: 5,
            most_ejected: 0.5,
            first_backoff: Duration::from_secs(1),
            most_backoff: Duration::from_secs(30),
            shed_pause: Duration::from_millis(5),
            cut_hold: Duration::from_secs(1),
            most_pause: Duration::from_millis(320),
            leaving_hold: Duration::from_secs(30),
            answer_trust: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            first_probe_within: Duration::from_millis(100),
        }
    }
}

/// How the owner uses a target that operators want to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes work on all its slots.
    Serving,
    /// Takes one request at a time, `gap` microseconds apart.
    Ramping {
        /// The least time between two sends.
        gap: u64,
    },
    /// Takes no work until it answers a probe after `until`.
    Ejected {
        /// When it is probed.
        until: TickTime,
    },
}

/// What the best replica of a shard can take. Ramps and ejections protect a
/// shard's work by moving it to better replicas; where there is none they would
/// only deny service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplicaRelief {
    /// None but ejected ones are in service.
    None,
    /// Work one at a time.
    Ramping,
    /// Full work.
    Full,
}

/// What a failure or a slow answer calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetJudgement {
    /// Nothing.
    Keep,
    /// Ejection, if enough replicas remain.
    Eject,
}

/// The life of one target as the owner sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetShift {
    pub(crate) wanted: WantedState,
    pub(crate) phase: Phase,
    leaving: u8,
    leaving_at: TickTime,
    /// Seen to be down or loading since it said that it leaves.
    stopped: bool,
    failures: u32,
    slow: u32,
    backoff: u64,
    pause: u64,
    paused_until: TickTime,
    /// Slots left unused since it shed load.
    cut: u16,
    cut_at: TickTime,
    next_send: TickTime,
    good_at: Option<TickTime>,
}

impl TargetShift {
    pub(crate) fn new(wanted: WantedState) -> Self {
        Self {
            wanted,
            phase: Phase::Serving,
            leaving: 0,
            leaving_at: TickTime::default(),
            stopped: false,
            failures: 0,
            slow: 0,
            backoff: 0,
            pause: 0,
            paused_until: TickTime::default(),
            cut: 0,
            cut_at: TickTime::default(),
            next_send: TickTime::default(),
            good_at: None,
        }
    }

    /// Whether it may get work at all, now or after a wait.
    pub(crate) fn in_service(&self) -> bool {
        self.wanted == WantedState::Serve && self.leaving == 0
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    pub(crate) fn relief(&self) -> ReplicaRelief {
        match self.phase {
            _ if !self.in_service() => ReplicaRelief::None,
            Phase::Serving => ReplicaRelief::Full,
            Phase::Ramping { .. } => ReplicaRelief::Ramping,
            Phase::Ejected { .. } => ReplicaRelief::None,
        }
    }

    /// Slots that may be taken, given the best of the shard's replicas.
    pub(crate) fn limit(&self, slots: u16, relief: ReplicaRelief) -> u16 {
        match self.phase {
            _ if !self.in_service() => 0,
            Phase::Serving => slots.saturating_sub(self.cut).max(slots.min(1)),
            Phase::Ramping { .. } => slots.min(1),
            Phase::Ejected { .. } if relief == ReplicaRelief::None => slots.min(1),
            Phase::Ejected { .. } => 0,
        }
    }

    /// The earliest time of the next send.
    pub(crate) fn send_at(&self, relief: ReplicaRelief) -> TickTime {
        match self.phase {
            Phase::Ramping { .. } if relief == ReplicaRelief::Full => {
                self.paused_until.max(self.next_send)
            }
            _ => self.paused_until,
        }
    }

    pub(crate) fn on_sent(&mut self, now: TickTime) {
        if let Phase::Ramping { gap } = self.phase {
            self.next_send = now.plus(gap);
        }
    }

    pub(crate) fn on_good(&mut self, now: TickTime, options: &Options) {
        self.failures = 0;
        self.slow = 0;
        self.pause = 0;
        self.good_at = Some(now);
        if self.cut > 0 && now.since(self.cut_at) >= options.cut_hold {
            self.cut -= 1;
            self.cut_at = now;
        }
        match self.phase {
            Phase::Serving => {}
            Phase::Ramping { gap } if gap / 2 < micros(options.ramp_end) => {
                self.phase = Phase::Serving;
                self.backoff = 0;
            }
            Phase::Ramping { gap } => {
                self.phase = Phase::Ramping { gap: gap / 2 };
                self.next_send = self.next_send.min(now.plus(gap / 2));
            }
            // An answer from before the ejection, or to work sent for want of
            // any other replica: the probe decides.
            Phase::Ejected { .. } => {}
        }
    }

    /// A slow answer. A target that is loading is slow too, and is left alone
    /// for a while like any other.
    pub(crate) fn on_slow(&mut self, options: &Options) -> TargetJudgement {
        if self.is_ejected() {
            return TargetJudgement::Keep;
        }
        self.slow += 1;
        if self.slow >= options.slow_limit { TargetJudgement::Eject } else { TargetJudgement::Keep }
    }

    /// A failure; one is enough on the way back from an ejection.
    pub(crate) fn on_failure(&mut self, options: &Options) -> TargetJudgement {
        self.failures += 1;
        let returning = matches!(self.phase, Phase::Ramping { .. }) && self.backoff > 0;
        match self.phase {
            Phase::Ejected { .. } => TargetJudgement::Keep,
            _ if returning || self.failures >= options.failure_limit => TargetJudgement::Eject,
            _ => TargetJudgement::Keep,
        }
    }

    /// Ejects it; `jitter` within 0 to 1 spreads the probes of targets that
    /// failed together. Returns when to probe.
    pub(crate) fn eject(&mut self, now: TickTime, jitter: f64, options: &Options) -> TickTime {
        let first = micros(options.first_backoff);
        self.backoff = (self.backoff * 2).clamp(first, micros(options.most_backoff));
        self.failures = 0;
        self.slow = 0;
        let wait = self.backoff + (self.backoff as f64 * jitter / 2.0) as u64;
        let until = now.plus(wait);
        self.phase = Phase::Ejected { until };
        until
    }

    /// Its state page was not answered.
    pub(crate) fn on_unreachable(&mut self, options: &Options) -> TargetJudgement {
        self.stopped = true;
        self.on_failure(options)
    }

    /// It stays in service although it was to be ejected: judged anew.
    pub(crate) fn pardon(&mut self) {
        self.failures = 0;
        self.slow = 0;
    }

    /// It sheds load. Returns when it may be asked again.
    ///
    /// It has fewer slots for this owner than configured: while ownership
    /// moves, two owners send to it, and both would be refused again and again
    /// until their budgets are spent. Each leaves a slot unused instead.
    pub(crate) fn on_shed(&mut self, now: TickTime, slots: u16, options: &Options) -> TickTime {
        self.cut = (self.cut + 1).min(slots.saturating_sub(1));
        self.cut_at = now;
        let first = micros(options.shed_pause);
        self.pause = (self.pause * 2).clamp(first, micros(options.most_pause));
        self.paused_until = now.plus(self.pause);
        self.paused_until
    }

    /// It is cold: it ramps from the start.
    pub(crate) fn on_cold(&mut self, now: TickTime, options: &Options) {
        if self.is_ejected() {
            return;
        }
        let gap = micros(options.ramp_gap);
        self.phase = Phase::Ramping { gap };
        self.next_send = now.plus(gap);
    }

    /// Its state page says cold or standby.
    pub(crate) fn on_cold_page(&mut self, now: TickTime, options: &Options) {
        self.stopped = true;
        let trusted = self.good_at.is_some_and(|at| now.since(at) < options.answer_trust);
        if !trusted && self.phase == Phase::Serving {
            self.on_cold(now, options);
        }
    }

    /// Its state page says ready, which is no more than a permission to try.
    pub(crate) fn on_ready_page(&mut self, now: TickTime, options: &Options) {
        let over = now.since(self.leaving_at) >= options.leaving_hold;
        if over || self.stopped {
            self.clear_leaving(LeavingSource::Target, now, options);
        }
        if let Phase::Ejected { until } = self.phase
            && now >= until
        {
            self.phase = Phase::Ramping { gap: micros(options.ramp_gap) };
            self.next_send = now;
        }
    }

    /// A leaving sign, from wherever: nothing new from this call on.
    pub(crate) fn on_leaving(&mut self, source: LeavingSource, now: TickTime) {
        self.leaving |= bit_of(source);
        self.leaving_at = now;
        self.stopped = false;
    }

    /// A source takes its leaving sign back; the target starts anew.
    pub(crate) fn clear_leaving(
        &mut self,
        source: LeavingSource,
        now: TickTime,
        options: &Options,
    ) {
        if self.leaving & bit_of(source) == 0 {
            return;
        }
        self.leaving &= !bit_of(source);
        if self.leaving == 0 {
            self.on_cold(now, options);
        }
    }

    /// Operators want something else of it.
    pub(crate) fn want(&mut self, wanted: WantedState, now: TickTime, options: &Options) {
        let starts = wanted == WantedState::Serve && self.wanted != WantedState::Serve;
        self.wanted = wanted;
        if starts {
            self.on_cold(now, options);
            // Unlike one that has just refused as cold, it may be tried at once.
            self.next_send = now;
        }
    }
}

fn bit_of(source: LeavingSource) -> u8 {
    1 << source as u8
}
