//! State of a running target, and the transitions of its attempts: waiting, running,
//! ended.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::target::HeldRanges;
use hawthorn_types::target::ShardAnswer;
use hawthorn_types::target::TargetPhase;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetState;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::faults::TargetFaults;
use super::options::ServiceTime;
use super::options::TargetOptions;

/// Request id and attempt number, which identify an attempt at one target.
pub(super) type AttemptKey = (String, u64);

/// Counters of a target since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetCounters {
    /// Attempts that arrived, including refused ones.
    pub arrived: u64,
    /// Searches that acquired a slot.
    pub searches: u64,
    /// Non-idempotent requests that acquired a slot.
    pub runs: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts that ended early.
    pub cancelled: u64,
    /// Attempts running now.
    pub busy: u32,
    /// Attempts waiting for a slot now.
    pub waiting: u32,
    /// Maximum of `busy`; never above the number of slots.
    pub peak_busy: u32,
    /// Maximum of `waiting`; never above the queue length.
    pub peak_waiting: u32,
    /// Connections open now.
    pub connections: u32,
    /// Maximum of `connections`; never above the limit.
    pub peak_connections: u32,
    /// Connections closed immediately because the limit was reached.
    pub connections_refused: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) desired: DesiredState,
    pub(super) draining: bool,
    /// The newest revision of which an intent was applied.
    pub(super) intent_revision: ConfigRevision,
    pub(super) ready_at: Instant,
    pub(super) held: Vec<HeldRanges>,
    pub(super) faults: TargetFaults,
    pub(super) service_time: ServiceTime,
    pub(super) counters: TargetCounters,
    pub(super) attempts: HashMap<AttemptKey, CancellationToken>,
    pub(super) last_answer: Option<ShardAnswer>,
    rng: ChaCha8Rng,
    warm_up: Duration,
    warm_up_factor: f64,
    slots: u32,
    queue: u32,
    state_lag: Duration,
    /// Past phases and busy slots with their start time, oldest first.
    phase_history: VecDeque<(Instant, TargetPhase, u32)>,
}

impl State {
    pub(super) fn new(options: &TargetOptions) -> Self {
        let now = Instant::now();
        let mut state = Self {
            desired: DesiredState::Serve,
            draining: false,
            intent_revision: ConfigRevision::default(),
            ready_at: now + options.cold_start,
            held: options.held.clone(),
            faults: TargetFaults::default(),
            service_time: options.service_time,
            counters: TargetCounters::default(),
            attempts: HashMap::new(),
            last_answer: None,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            warm_up: options.warm_up,
            warm_up_factor: options.warm_up_factor,
            slots: options.slots,
            queue: options.queue,
            state_lag: options.state_lag,
            phase_history: VecDeque::new(),
        };
        state.record_phase(now);
        state
    }

    /// The actual phase.
    pub(super) fn phase(&self, now: Instant) -> TargetPhase {
        match self.desired {
            _ if self.draining => TargetPhase::Draining,
            DesiredState::Drain | DesiredState::Off => TargetPhase::Draining,
            _ if now < self.ready_at => TargetPhase::Cold,
            DesiredState::Standby => TargetPhase::Standby,
            DesiredState::Serve => TargetPhase::Ready,
        }
    }

    /// The held ranges of `service` at `version`.
    pub(super) fn holds(&self, service: &str, version: IndexVersion) -> Option<&RangeSet> {
        self.held
            .iter()
            .find(|held| held.service == service && held.version == version)
            .map(|held| &held.ranges)
    }

    /// The held versions of `service`, ascending.
    pub(super) fn versions(&self, service: &str) -> Vec<IndexVersion> {
        let mut versions: Vec<IndexVersion> = self
            .held
            .iter()
            .filter(|held| held.service == service)
            .map(|held| held.version)
            .collect();
        versions.sort_unstable();
        versions
    }

    /// Whether a search is admitted.
    pub(super) fn admit_search(
        &self,
        service: &str,
        version: IndexVersion,
        range: KeyRange,
        now: Instant,
    ) -> Result<(), TargetRefusal> {
        self.admit(now)?;
        let held = self.holds(service, version).ok_or(TargetRefusal::VersionRetired)?;
        if held.clip(range).is_empty() {
            return Err(TargetRefusal::RangeMoved);
        }
        Ok(())
    }

    /// Whether an attempt is admitted, regardless of its kind.
    pub(super) fn admit(&self, now: Instant) -> Result<(), TargetRefusal> {
        match self.phase(now) {
            TargetPhase::Cold => return Err(TargetRefusal::Cold),
            TargetPhase::Draining | TargetPhase::Standby => return Err(TargetRefusal::Draining),
            TargetPhase::Ready => {}
        }
        let in_flight = self.counters.busy + self.counters.waiting;
        if self.faults.shedding || in_flight >= self.slots + self.queue {
            return Err(TargetRefusal::Shedding);
        }
        Ok(())
    }

    /// Adds an attempt to the queue.
    pub(super) fn enqueue(&mut self, key: AttemptKey, cancel: CancellationToken) {
        self.attempts.insert(key, cancel);
        self.counters.waiting += 1;
    }

    /// Moves a waiting attempt to a slot; returns its service time.
    pub(super) fn start(&mut self, now: Instant) -> Duration {
        self.counters.waiting -= 1;
        self.counters.busy += 1;
        self.counters.peak_busy = self.counters.peak_busy.max(self.counters.busy);
        self.record_phase(now);
        let factor = self.faults.slow_factor * self.warm_up_slowdown(now);
        self.service_time.draw(&mut self.rng).mul_f64(factor.max(0.0))
    }

    /// Updates the peak of waiting attempts when no slot is free.
    pub(super) fn record_queued(&mut self) {
        let waiting = self.counters.waiting;
        self.counters.peak_waiting = self.counters.peak_waiting.max(waiting);
    }

    /// Releases the slot of a running attempt.
    pub(super) fn end(&mut self, now: Instant) {
        self.counters.busy -= 1;
        self.record_phase(now);
    }

    /// Records the current phase and busy slots for a lagging `/state`.
    pub(super) fn record_phase(&mut self, now: Instant) {
        self.phase_history.push_back((now, self.phase(now), self.counters.busy));
        let reported = now.checked_sub(self.state_lag).unwrap_or(now);
        while self.phase_history.get(1).is_some_and(|&(start, _, _)| start <= reported) {
            self.phase_history.pop_front();
        }
    }

    /// The answer of `/state`: the override if set, otherwise the state `state_lag` ago.
    pub(super) fn reported_state(&mut self, name: &str, now: Instant) -> TargetState {
        self.record_phase(now);
        let (phase, busy) = match (self.faults.state_override, self.phase_history.front()) {
            (Some(state), _) => (state.phase, state.busy),
            (None, Some(&(_, phase, busy))) => (phase, busy),
            (None, None) => (self.phase(now), self.counters.busy),
        };
        let held = if self.is_off() { Vec::new() } else { self.held.clone() };
        TargetState { target: name.to_owned(), phase, busy, slots: self.slots, held }
    }

    /// Whether it refuses new work because it drains or is off.
    pub(super) fn is_draining(&self) -> bool {
        self.draining || matches!(self.desired, DesiredState::Drain | DesiredState::Off)
    }

    /// Whether it is off and all attempts have ended.
    fn is_off(&self) -> bool {
        self.desired == DesiredState::Off && self.counters.busy + self.counters.waiting == 0
    }

    /// The factor on service times during the warm-up, 1 after it.
    fn warm_up_slowdown(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.ready_at);
        if since >= self.warm_up {
            return 1.0;
        }
        let remaining = 1.0 - since.as_secs_f64() / self.warm_up.as_secs_f64();
        1.0 + (self.warm_up_factor - 1.0) * remaining
    }
}
