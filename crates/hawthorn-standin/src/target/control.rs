//! The test's handle on a running target.

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

/// Changes and reads a running target. Clones share the target.
#[derive(Clone, Debug)]
pub struct TargetControl {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: TargetOptions,
    pub(super) slots: Arc<Semaphore>,
    state: Mutex<State>,
    held_back: watch::Sender<bool>,
    down: watch::Sender<bool>,
}

impl Shared {
    /// Passes the service time of an attempt, and longer while work is held back.
    pub(super) async fn serve(&self, takes: Duration) {
        timer::sleep(takes).await;
        let mut held_back = self.held_back.subscribe();
        // It fails only when the target is gone, and then nobody waits.
        drop(held_back.wait_for(|held_back| !held_back).await);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nothing panics while it holds a target's state")
    }

    pub(super) fn corpus(&self, service: &str) -> Option<&Arc<Corpus>> {
        self.options.corpora.iter().find(|corpus| corpus.service() == service)
    }

    pub(super) fn record(&self, event: HistoryEvent) {
        self.options.history.record(event);
    }
}

/// A connection counted against the limit; given back when dropped.
pub(super) struct HeldConnection {
    shared: Arc<Shared>,
}

impl Drop for HeldConnection {
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
                held_back: watch::Sender::new(false),
                down: watch::Sender::new(false),
            }),
        }
    }

    pub(super) fn open_connection(&self) -> Option<HeldConnection> {
        let mut state = self.shared.lock();
        let counters = &mut state.counters;
        if counters.connections >= self.shared.options.connections {
            counters.connections_refused += 1;
            return None;
        }
        counters.connections += 1;
        counters.peak_connections = counters.peak_connections.max(counters.connections);
        Some(HeldConnection { shared: Arc::clone(&self.shared) })
    }

    pub(super) fn connect_cost(&self) -> Duration {
        self.shared.options.connect_cost
    }

    /// The target's name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// What it has done so far.
    pub fn counters(&self) -> TargetCounters {
        self.shared.lock().counters
    }

    /// Its true phase, whatever `/state` says.
    pub fn phase(&self) -> TargetPhase {
        self.shared.lock().phase(Instant::now())
    }

    /// The state it was last told to be in.
    pub fn desired_state(&self) -> DesiredState {
        self.shared.lock().wanted
    }

    /// What `/state` answers now.
    pub fn shown(&self) -> TargetState {
        self.shared.lock().shown(self.name(), Instant::now())
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut TargetFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// The faults in force.
    pub fn faults(&self) -> TargetFaults {
        self.shared.lock().faults.clone()
    }

    /// Holds back every attempt that has a slot until told otherwise, so that a
    /// test can act while attempts run, however slow the machine is.
    pub fn set_paused(&self, held_back: bool) {
        self.shared.held_back.send_replace(held_back);
    }

    /// Loses the target or brings it back at the same address: while it is down
    /// every connection, open or new, is closed. Attempts that run go on unheard.
    pub fn set_down(&self, down: bool) {
        self.shared.down.send_replace(down);
    }

    /// Ends once the target is down.
    pub(super) async fn goes_down(&self) {
        let mut down = self.shared.down.subscribe();
        // It fails only when the target is gone, and then it is down for good.
        drop(down.wait_for(|down| *down).await);
    }

    /// Changes the service times of attempts that start from now on.
    pub fn set_service_time(&self, service_time: ServiceTime) {
        self.shared.lock().service_time = service_time;
    }

    /// Makes it as slow as a load scenario asks, counted from its options.
    pub fn set_slowness(&self, slowness: TargetSlowness) {
        let usual = self.shared.options.service_time;
        let mut state = self.shared.lock();
        state.faults.slow_factor = slowness.slow_factor;
        state.service_time = ServiceTime {
            straggler_share: slowness.straggler_share.unwrap_or(usual.straggler_share),
            straggler_factor: slowness.straggler_factor.unwrap_or(usual.straggler_factor),
            ..usual
        };
    }

    /// Puts it in `wanted`, as `POST /intent` does.
    pub fn set_wanted(&self, wanted: DesiredState) {
        self.change_leaving(|state, now| {
            let was = std::mem::replace(&mut state.wanted, wanted);
            // A target that was off starts again from cold.
            if was == DesiredState::Off && wanted != DesiredState::Off {
                state.ready_at = now + self.shared.options.cold_start;
            }
        });
    }

    /// Lets it drain by itself, whatever intent says, as before a planned stop
    /// by the platform; or lets it go on.
    pub fn set_draining(&self, leaving: bool) {
        self.change_leaving(|state, _now| state.leaving = leaving);
    }

    /// Makes a change and records whether the target began or ceased to leave.
    fn change_leaving(&self, change: impl FnOnce(&mut State, Instant)) {
        let mut state = self.shared.lock();
        let now = Instant::now();
        let left = state.leaves();
        change(&mut state, now);
        state.note(now);
        let leaves = state.leaves();
        drop(state);
        let target = self.name().to_owned();
        match (left, leaves) {
            (false, true) => self.shared.record(HistoryEvent::TargetLeaving { target }),
            (true, false) => self.shared.record(HistoryEvent::TargetServing { target }),
            _ => {}
        }
    }

    /// Follows an order, unless a newer revision's was followed before.
    pub(super) fn obey(&self, intent: &TargetIntent) {
        let mut state = self.shared.lock();
        if intent.revision < state.obeyed {
            return;
        }
        state.obeyed = intent.revision;
        drop(state);
        self.set_wanted(intent.wanted);
    }

    /// Restarts it from cold, with nothing cut off.
    pub fn restart_cold(&self) {
        let mut state = self.shared.lock();
        let now = Instant::now();
        state.ready_at = now + self.shared.options.cold_start;
        state.note(now);
    }

    /// Makes it ready at once.
    pub fn skip_cold_start(&self) {
        let mut state = self.shared.lock();
        let now = Instant::now();
        state.ready_at = now;
        state.note(now);
    }

    /// Adds `ranges` of `service` at `version` to what it holds.
    pub fn publish(&self, service: &str, version: IndexVersion, ranges: &RangeSet) {
        let mut state = self.shared.lock();
        let known =
            state.held.iter_mut().find(|held| held.service == service && held.version == version);
        match known {
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

    /// Takes `version` of `service` away.
    pub fn retire(&self, service: &str, version: IndexVersion) {
        let mut state = self.shared.lock();
        state.held.retain(|held| held.service != service || held.version != version);
    }

    /// Moves `range` of `service`, at every version held, to another target.
    /// Searches that are running answer without it.
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

    /// What it holds.
    pub fn held(&self) -> Vec<HeldRanges> {
        self.shared.lock().held.clone()
    }
}
