//! The state of a running target and the steps of an attempt's life:
//! waiting, running, ended.

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

/// Names an attempt at one target.
pub(super) type AttemptName = (String, u64);

/// What a target has done so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetCounters {
    /// Attempts that reached it, refused ones included.
    pub arrived: u64,
    /// Searches that got a slot.
    pub searches: u64,
    /// Non-idempotent requests that got a slot.
    pub runs: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts ended early.
    pub cancelled: u64,
    /// Attempts working now.
    pub busy: u32,
    /// Attempts waiting inside it now.
    pub waiting: u32,
    /// The most that worked at once; never above the slots.
    pub peak_busy: u32,
    /// The most that waited at once; never above the queue.
    pub peak_waiting: u32,
    /// Connections open now.
    pub connections: u32,
    /// The most connections open at once; never above the limit.
    pub peak_connections: u32,
    /// Connections closed at once because the limit was reached.
    pub connections_refused: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) wanted: DesiredState,
    pub(super) leaving: bool,
    /// The newest revision that an order was followed of.
    pub(super) obeyed: ConfigRevision,
    pub(super) ready_at: Instant,
    pub(super) held: Vec<HeldRanges>,
    pub(super) faults: TargetFaults,
    pub(super) service_time: ServiceTime,
    pub(super) counters: TargetCounters,
    pub(super) attempts: HashMap<AttemptName, CancellationToken>,
    pub(super) last_answer: Option<ShardAnswer>,
    rng: ChaCha8Rng,
    warm_up: Duration,
    warm_up_factor: f64,
    slots: u32,
    queue: u32,
    state_lag: Duration,
    /// Past pairs of phase and busy slots with the moment they began, oldest first.
    past: VecDeque<(Instant, TargetPhase, u32)>,
}

impl State {
    pub(super) fn new(options: &TargetOptions) -> Self {
        let now = Instant::now();
        let mut state = Self {
            wanted: DesiredState::Serve,
            leaving: false,
            obeyed: ConfigRevision::default(),
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
            past: VecDeque::new(),
        };
        state.note(now);
        state
    }

    /// The true phase.
    pub(super) fn phase(&self, now: Instant) -> TargetPhase {
        match self.wanted {
            _ if self.leaving => TargetPhase::Draining,
            DesiredState::Drain | DesiredState::Off => TargetPhase::Draining,
            _ if now < self.ready_at => TargetPhase::Cold,
            DesiredState::Standby => TargetPhase::Standby,
            DesiredState::Serve => TargetPhase::Ready,
        }
    }

    /// What is held of `service` at `version`.
    pub(super) fn holds(&self, service: &str, version: IndexVersion) -> Option<&RangeSet> {
        self.held
            .iter()
            .find(|held| held.service == service && held.version == version)
            .map(|held| &held.ranges)
    }

    /// The versions of `service` that are held, ascending.
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

    /// Whether a search can be begun.
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

    /// Whether any attempt can be begun.
    pub(super) fn admit(&self, now: Instant) -> Result<(), TargetRefusal> {
        match self.phase(now) {
            TargetPhase::Cold => return Err(TargetRefusal::Cold),
            TargetPhase::Draining | TargetPhase::Standby => return Err(TargetRefusal::Draining),
            TargetPhase::Ready => {}
        }
        let inside = self.counters.busy + self.counters.waiting;
        if self.faults.shedding || inside >= self.slots + self.queue {
            return Err(TargetRefusal::Shedding);
        }
        Ok(())
    }

    /// An attempt begins to wait for a slot.
    pub(super) fn wait(&mut self, name: AttemptName, cancel: CancellationToken) {
        self.attempts.insert(name, cancel);
        self.counters.waiting += 1;
    }

    /// A waiting attempt got its slot; how long it will hold it.
    pub(super) fn run(&mut self, now: Instant) -> Duration {
        self.counters.waiting -= 1;
        self.counters.busy += 1;
        self.counters.peak_busy = self.counters.peak_busy.max(self.counters.busy);
        self.note(now);
        let factor = self.faults.slow_factor * self.warmth(now);
        self.service_time.draw(&mut self.rng).mul_f64(factor.max(0.0))
    }

    /// A waiting attempt found no slot free at once.
    pub(super) fn queued(&mut self) {
        let waiting = self.counters.waiting;
        self.counters.peak_waiting = self.counters.peak_waiting.max(waiting);
    }

    /// A running attempt gave its slot back.
    pub(super) fn end(&mut self, now: Instant) {
        self.counters.busy -= 1;
        self.note(now);
    }

    /// Keeps the present pair of phase and busy slots for a lagging `/state`.
    pub(super) fn note(&mut self, now: Instant) {
        self.past.push_back((now, self.phase(now), self.counters.busy));
        let shown = now.checked_sub(self.state_lag).unwrap_or(now);
        while self.past.get(1).is_some_and(|&(began, _, _)| began <= shown) {
            self.past.pop_front();
        }
    }

    /// The answer to `/state`: `state_lag` old, or a lie.
    pub(super) fn shown(&mut self, name: &str, now: Instant) -> TargetState {
        self.note(now);
        let (phase, busy) = match (self.faults.state_lie, self.past.front()) {
            (Some(lie), _) => (lie.phase, lie.busy),
            (None, Some(&(_, phase, busy))) => (phase, busy),
            (None, None) => (self.phase(now), self.counters.busy),
        };
        let held = if self.is_off() { Vec::new() } else { self.held.clone() };
        TargetState { target: name.to_owned(), phase, busy, slots: self.slots, held }
    }

    /// Whether it takes no new work because it is on its way out.
    pub(super) fn leaves(&self) -> bool {
        self.leaving || matches!(self.wanted, DesiredState::Drain | DesiredState::Off)
    }

    /// Off, and everything that was running has ended.
    fn is_off(&self) -> bool {
        self.wanted == DesiredState::Off && self.counters.busy + self.counters.waiting == 0
    }

    /// How many times slower than usual the target still is after its start.
    fn warmth(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.ready_at);
        if since >= self.warm_up {
            return 1.0;
        }
        let left = 1.0 - since.as_secs_f64() / self.warm_up.as_secs_f64();
        1.0 + (self.warm_up_factor - 1.0) * left
    }
}
