//! Control handle of a running target, for tests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::TargetPhase;
use hawthorn_types::target::HeldRanges;
use hawthorn_types::target::TargetIntent;
use hawthorn_types::target::TargetState;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::TargetFaults;
use super::options::ServiceTime;
use super::options::TargetOptions;
use super::state::State;
use super::state::TargetCounters;
use crate::corpus::Corpus;
use crate::history::HistoryEvent;
use crate::load::environment::TargetSlowness;
use crate::timer;

/// Controls and inspects a running target. Clones refer to the same target.
#[derive(Clone, Debug)]
pub struct TargetControl {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: TargetOptions,
    pub(super) slots: Arc<Semaphore>,
    state: Mutex<State>,
    paused: watch::Sender<bool>,
    down: watch::Sender<bool>,
}

impl Shared {
    /// Sleeps for the service time of an attempt, and longer while the target is paused.
    pub(super) async fn sleep_service_time(&self, service_time: Duration) {
        timer::sleep(service_time).await;
        let mut paused = self.paused.subscribe();
        // Fails only when the target has been dropped.
        drop(paused.wait_for(|paused| !paused).await);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    pub(super) fn corpus(&self, service: &str) -> Option<&Arc<Corpus>> {
        self.options.corpora.iter().find(|corpus| corpus.service() == service)
    }

    pub(super) fn record(&self, event: HistoryEvent) {
        self.options.history.record(event);
    }
}

/// A connection that counts towards the limit until it is dropped.
pub(super) struct ConnectionGuard {
    shared: Arc<Shared>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.lock().counters.connections -= 1;
    }
}

impl TargetControl {
    pub(super) fn new(options: TargetOptions) -> Self {
        let slots = Arc::new(Semaphore::new(options.slots as usize));
        let state = Mutex::new(State::new(&options));
        Self {
            shared: Arc::new(Shared {
                options,
                slots,
                state,
                paused: watch::Sender::new(false),
                down: watch::Sender::new(false),
            }),
        }
    }

    pub(super) fn open_connection(&self) -> Option<ConnectionGuard> {
        let mut state = self.shared.lock();
        let counters = &mut state.counters;
        if counters.connections >= self.shared.options.connections {
            counters.connections_refused += 1;
            return None;
        }
        counters.connections += 1;
        counters.peak_connections = counters.peak_connections.max(counters.connections);
        Some(ConnectionGuard { shared: Arc::clone(&self.shared) })
    }

    pub(super) fn connect_cost(&self) -> Duration {
        self.shared.options.connect_cost
    }

    /// The target's name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// The counters since the start.
    pub fn counters(&self) -> TargetCounters {
        self.shared.lock().counters
    }

    /// The actual phase, independent of the lag and override of `/state`.
    pub fn phase(&self) -> TargetPhase {
        self.shared.lock().phase(Instant::now())
    }

    /// The desired state that was set last.
    pub fn desired_state(&self) -> DesiredState {
        self.shared.lock().desired
    }

    /// The current answer of `/state`.
    pub fn reported_state(&self) -> TargetState {
        self.shared.lock().reported_state(self.name(), Instant::now())
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut TargetFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// The active faults.
    pub fn faults(&self) -> TargetFaults {
        self.shared.lock().faults.clone()
    }

    /// Pauses or resumes all running attempts. A test can act while attempts run,
    /// independent of the speed of the machine.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Takes the target down or brings it back at the same address. While it is down,
    /// all open and new connections are closed; running attempts continue.
    pub fn set_down(&self, down: bool) {
        self.shared.down.send_replace(down);
    }

    /// Waits until the target is down.
    pub(super) async fn wait_until_down(&self) {
        let mut down = self.shared.down.subscribe();
        // Fails only when the target has been dropped; it then counts as down.
        drop(down.wait_for(|down| *down).await);
    }

    /// Changes the service times of attempts that start later.
    pub fn set_service_time(&self, service_time: ServiceTime) {
        self.shared.lock().service_time = service_time;
    }

    /// Applies the slowness of a load scenario, relative to the target's options.
    pub fn set_slowness(&self, slowness: TargetSlowness) {
        let base = self.shared.options.service_time;
        let mut state = self.shared.lock();
        state.faults.slow_factor = slowness.slow_factor;
        state.service_time = ServiceTime {
            straggler_share: slowness.straggler_share.unwrap_or(base.straggler_share),
            straggler_factor: slowness.straggler_factor.unwrap_or(base.straggler_factor),
            ..base
        };
    }

    /// Sets the desired state, as `POST /intent` does.
    pub fn set_desired_state(&self, desired: DesiredState) {
        self.update_draining(|state, now| {
            let previous = std::mem::replace(&mut state.desired, desired);
            // A target that was off goes through a cold start.
            if previous == DesiredState::Off && desired != DesiredState::Off {
                state.ready_at = now + self.shared.options.cold_start;
            }
        });
    }

    /// Starts or ends a drain by the target itself, independent of its intent, as
    /// before a planned stop by the platform.
    pub fn set_draining(&self, draining: bool) {
        self.update_draining(|state, _now| state.draining = draining);
    }

    /// Applies a change and records whether a drain started or ended.
    fn update_draining(&self, change: impl FnOnce(&mut State, Instant)) {
        let mut state = self.shared.lock();
        let now = Instant::now();
        let was_draining = state.is_draining();
        change(&mut state, now);
        state.record_phase(now);
        let is_draining = state.is_draining();
        drop(state);
        let target = self.name().to_owned();
        match (was_draining, is_draining) {
            (false, true) => self.shared.record(HistoryEvent::TargetDraining { target }),
            (true, false) => self.shared.record(HistoryEvent::TargetServing { target }),
            _ => {}
        }
    }

    /// Applies an intent, unless one of a newer revision was applied before.
    pub(super) fn apply_intent(&self, intent: &TargetIntent) {
        let mut state = self.shared.lock();
        if intent.revision < state.intent_revision {
            return;
        }
        state.intent_revision = intent.revision;
        drop(state);
        self.set_desired_state(intent.wanted);
    }

    /// Starts a cold start without ending running attempts.
    pub fn restart_cold(&self) {
        let mut state = self.shared.lock();
        let now = Instant::now();
        state.ready_at = now + self.shared.options.cold_start;
        state.record_phase(now);
    }

    /// Ends the cold start immediately.
    pub fn skip_cold_start(&self) {
        let mut state = self.shared.lock();
        let now = Instant::now();
        state.ready_at = now;
        state.record_phase(now);
    }

    /// Adds `ranges` of `service` at `version` to the held ranges.
    pub fn publish(&self, service: &str, version: IndexVersion, ranges: &RangeSet) {
        let mut state = self.shared.lock();
        let existing =
            state.held.iter_mut().find(|held| held.service == service && held.version == version);
        match existing {
            Some(held) => held.ranges.extend(ranges),
            None => state.held.push(HeldRanges {
                service: service.to_owned(),
                version,
                ranges: ranges.clone(),
            }),
        }
    }

    /// Publishes `version` with the ranges held at the newest version.
    pub fn publish_next(&self, service: &str, version: IndexVersion) {
        let newest = self
            .held()
            .into_iter()
            .filter(|held| held.service == service)
            .max_by_key(|held| held.version);
        if let Some(held) = newest {
            self.publish(service, version, &held.ranges);
        }
    }

    /// Removes `version` of `service`.
    pub fn retire(&self, service: &str, version: IndexVersion) {
        let mut state = self.shared.lock();
        state.held.retain(|held| held.service != service || held.version != version);
    }

    /// Moves `range` of `service`, at every held version, to another target.
    /// Running searches answer without it.
    pub fn repartition(&self, service: &str, range: KeyRange, to: &TargetControl) {
        let mut moved = Vec::new();
        for held in self.shared.lock().held.iter_mut().filter(|held| held.service == service) {
            moved.push((held.version, held.ranges.clip(range)));
            held.ranges.remove(range);
        }
        for (version, ranges) in moved {
            if !ranges.is_empty() {
                to.publish(service, version, &ranges);
            }
        }
    }

    /// The held ranges of all services and versions.
    pub fn held(&self) -> Vec<HeldRanges> {
        self.shared.lock().held.clone()
    }
}
