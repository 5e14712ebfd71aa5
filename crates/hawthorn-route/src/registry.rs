//! The registry of all targets and their state.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use slotmap::SlotMap;
use slotmap::new_key_type;
use smallvec::SmallVec;

use crate::cold;
use crate::cold::ColdAdmission;
use crate::cold::SlotRight;
use crate::document::ServiceRule;
use crate::document::TargetEntry;
use crate::evacuation::EvacuationChange;
use crate::evacuation::ZoneEvacuations;
use crate::revision::StoreRevision;
use crate::target::TargetPhase;
use crate::target::TargetState;

new_key_type! {
    /// Identifies one incarnation of a target on this host.
    pub struct TargetKey;
}

/// Keys of one service's targets.
pub type TargetKeys = SmallVec<[TargetKey; 4]>;

/// Settings of the registry.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// How long a target that is draining, or whose entry was removed, may still receive
    /// requests while its service has no other. Must be below the time for which a draining
    /// target continues to serve, less the propagation delay of the change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "last_use_ms")]
    pub last_use: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { last_use: Duration::from_millis(1500) }
    }
}

/// Effect of an update of a target's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetChange {
    /// None, or the update was older than the known entry.
    None,
    /// A new target, or a new incarnation of a known one.
    Born,
    /// The target accepts requests again.
    Returned,
    /// The target is draining.
    Draining,
    /// The entry was removed.
    Removed,
}

/// Why a request may not be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendRejection {
    /// The target has left, or its id belongs to another incarnation.
    Gone,
    /// The zone is evacuated.
    Evacuated,
    /// The target is cold, and this host has used up its part of the limit.
    Cold,
}

/// Time between the decision to send a request and its arrival at the target.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// All targets, indexed by key, id and service.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    options: Options,
    /// How long a draining target continues to serve.
    drain_time: Duration,
    /// The time as of which the known entries were last confirmed.
    confirmed_at: Option<Duration>,
    targets: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<Rc<str>, TargetKey>,
    by_service: HashMap<Rc<str>, TargetKeys>,
    evacuations: ZoneEvacuations,
    cold: ColdAdmission,
    /// Zone of this host.
    zone: String,
}

impl TargetRegistry {
    /// Creates the empty registry of a host in `zone`; draining targets continue to serve for
    /// `drain_time`.
    pub fn new(options: Options, zone: &str, drain_time: Duration) -> Self {
        Self { options, zone: zone.to_owned(), drain_time, ..Self::default() }
    }

    /// Sets the time as of which the known entries were confirmed, before an update is applied:
    /// its changes were made later.
    pub fn set_confirmed_at(&mut self, confirmed_at: Option<Duration>) {
        self.confirmed_at = confirmed_at;
    }

    /// Until when a target may receive requests that is learnt at `now` to be draining.
    ///
    /// Handles late updates: the target may have been draining since the entries were last
    /// confirmed, or for any time if they never were.
    fn draining_until(&self, now: Duration) -> Duration {
        (now + self.options.last_use).min(self.served_until().unwrap_or(now))
    }

    /// Until when a target may receive requests whose entry is learnt at `now` to be removed.
    fn removed_until(&self, now: Duration) -> Duration {
        let until = now + self.options.last_use;
        match self.served_until() {
            Some(served_until) if served_until > now => until.min(served_until),
            // The store was out of reach for as long as entries take to expire: the target may be
            // healthy, and its entry return.
            _ => until,
        }
    }

    /// Until when a target serves that has been draining since the entries were last confirmed;
    /// `None` if they never were.
    fn served_until(&self) -> Option<Duration> {
        let served = self.drain_time.saturating_sub(SEND_MARGIN);
        Some(self.confirmed_at?.saturating_add(served))
    }

    /// The targets of a service, in any phase.
    pub fn of_service(&self, service: &str) -> &[TargetKey] {
        self.by_service.get(service).map_or(&[], |keys| keys.as_slice())
    }

    /// One target.
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// One target, mutable.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.get_mut(key)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// Inserts or updates an entry that was written at `revision`.
    ///
    /// An entry whose address, service or start time differs from the known entry under its id
    /// is a new incarnation: the state of the previous one is dropped, and requests in flight
    /// to that one are not attributed to the new one.
    pub fn put(
        &mut self,
        entry: TargetEntry,
        revision: StoreRevision,
        now: Duration,
    ) -> TargetChange {
        let draining_until = self.draining_until(now);
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            let state = &mut self.targets[key];
            if revision < state.revision {
                return TargetChange::None;
            }
            let same = state.entry.address == entry.address
                && state.entry.service == entry.service
                && (state.entry.born == entry.born || entry.born.is_none());
            if same {
                return Self::update(state, entry, revision, now, draining_until);
            }
            self.drop_target(key);
        }
        let draining = entry.draining;
        let id = Rc::clone(&entry.id);
        let service = Rc::clone(&entry.service);
        let mut state = TargetState::new(entry, revision, now);
        if draining {
            state.phase = TargetPhase::Leaving { until: draining_until };
        }
        let key = self.targets.insert(state);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        if draining { TargetChange::Draining } else { TargetChange::Born }
    }

    fn update(
        state: &mut TargetState,
        mut entry: TargetEntry,
        revision: StoreRevision,
        now: Duration,
        draining_until: Duration,
    ) -> TargetChange {
        // A restored store may hold the entry from before the target began to drain.
        entry.draining |= state.entry.draining && revision.era > state.revision.era;
        state.revision = revision;
        state.last_seen = now;
        if entry.cold > Duration::ZERO {
            state.cold_until = now + entry.cold;
        }
        let previous_phase = state.phase;
        let draining = entry.draining;
        state.entry = entry;
        match (previous_phase, draining) {
            (TargetPhase::Ready, false) => TargetChange::None,
            (TargetPhase::Ready, true) => {
                state.phase = TargetPhase::Leaving { until: draining_until };
                TargetChange::Draining
            }
            (_, true) => TargetChange::None,
            (_, false) => {
                state.phase = TargetPhase::Ready;
                TargetChange::Returned
            }
        }
    }

    /// Removes an entry, as of `revision`.
    pub fn remove(&mut self, id: &str, revision: StoreRevision, now: Duration) -> TargetChange {
        let removed_until = self.removed_until(now);
        let Some(key) = self.by_id.get(id).copied() else {
            return TargetChange::None;
        };
        let state = &mut self.targets[key];
        if revision < state.revision {
            return TargetChange::None;
        }
        state.revision = revision;
        match state.phase {
            TargetPhase::Ready => {
                state.phase = TargetPhase::Leaving { until: removed_until };
                TargetChange::Removed
            }
            // It receives no requests any more; `sweep` removes it later.
            TargetPhase::Gone => {
                state.phase = TargetPhase::Leaving { until: now };
                TargetChange::Removed
            }
            TargetPhase::Leaving { .. } => TargetChange::None,
        }
    }

    /// Applies the evacuation of a zone, or its end, as of `revision`.
    pub fn evacuate(
        &mut self,
        zone: &str,
        evacuated: bool,
        revision: StoreRevision,
    ) -> EvacuationChange {
        self.evacuations.apply(zone, evacuated, revision)
    }

    /// Treats the targets of a zone as cold, each for the time that `cold_start` returns for its
    /// service. Targets of services without a limit for cold targets do not change.
    ///
    /// The targets are cold when the zone's evacuation ends, and would receive requests without a
    /// limit until the entries that report them as cold arrive.
    pub fn presume_cold(
        &mut self,
        zone: &str,
        now: Duration,
        cold_start: impl Fn(&str) -> Duration,
    ) {
        let Self { targets, cold, .. } = self;
        let limited = |state: &TargetState| cold.service_limit(&state.entry.service).is_some();
        let in_zone = targets.values_mut().filter(|state| *state.entry.zone == *zone);
        for state in in_zone.filter(|state| limited(state)) {
            state.cold_until = state.cold_until.max(now + cold_start(&state.entry.service));
        }
    }

    /// Applies the limits of cold targets; see [`ColdAdmission::configure`].
    pub fn limit_cold(&mut self, services: &[ServiceRule], options: &cold::Options) -> Vec<String> {
        self.cold.configure(services, options)
    }

    /// Sets the slot for cold targets that this host holds, if any.
    pub fn set_cold_right(&mut self, right: Option<SlotRight>) {
        self.cold.set_right(right);
    }

    /// Limits on requests to cold targets.
    pub fn cold(&self) -> &ColdAdmission {
        &self.cold
    }

    /// Whether a target is in this host's zone.
    pub(crate) fn is_local(&self, state: &TargetState) -> bool {
        *state.entry.zone == *self.zone
    }

    /// Whether a target may receive requests, regardless of its phase: its zone is not
    /// evacuated, and it is warm or below its limit.
    pub(crate) fn accepts_requests(&self, state: &TargetState, now: Duration) -> bool {
        !self.evacuations.contains(&state.entry.zone) && self.cold.admits(state, &self.zone, now)
    }

    /// The evacuated zones.
    pub fn evacuations(&self) -> &ZoneEvacuations {
        &self.evacuations
    }

    /// Checks that a request may be sent to a target, and counts it if the target is cold.
    ///
    /// A request may wait for a connection while its target leaves or its zone is evacuated, and
    /// be sent seconds later. It is therefore checked again before it is sent.
    ///
    /// # Errors
    /// The reason why the request may not be sent.
    pub fn admit(&mut self, key: TargetKey, now: Duration) -> Result<(), SendRejection> {
        self.permit(key, now)?;
        if let Some(state) = self.targets.get_mut(key)
            && self.cold.limit(state, now).is_some()
        {
            state.cold_sends.record(now);
        }
        Ok(())
    }

    /// Checks that a request may be sent to a target now.
    ///
    /// # Errors
    /// The reason why the request may not be sent.
    pub fn permit(&self, key: TargetKey, now: Duration) -> Result<(), SendRejection> {
        let state = self.targets.get(key).ok_or(SendRejection::Gone)?;
        match state.phase {
            TargetPhase::Gone => return Err(SendRejection::Gone),
            TargetPhase::Leaving { until } if now >= until => return Err(SendRejection::Gone),
            TargetPhase::Leaving { .. } | TargetPhase::Ready => {}
        }
        if self.evacuations.contains(&state.entry.zone) {
            return Err(SendRejection::Evacuated);
        }
        if !self.cold.admits(state, &self.zone, now) {
            return Err(SendRejection::Cold);
        }
        Ok(())
    }

    /// The ids of all known targets.
    pub fn ids(&self) -> Vec<String> {
        self.by_id.keys().map(|id| id.to_string()).collect()
    }

    fn drop_target(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.remove(key) {
            self.by_id.remove(&state.entry.id);
            if let Some(keys) = self.by_service.get_mut(&state.entry.service) {
                keys.retain(|other| *other != key);
            }
        }
    }

    /// Removes targets that left longer than `keep` ago and returns their keys.
    pub fn sweep(&mut self, now: Duration, keep: Duration) -> Vec<TargetKey> {
        let is_expired = |state: &TargetState| match state.phase {
            TargetPhase::Leaving { until } => now > until + keep,
            TargetPhase::Ready | TargetPhase::Gone => false,
        };
        let keys: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, state)| is_expired(state))
            .map(|(key, _)| key)
            .collect();
        for key in &keys {
            self.drop_target(*key);
        }
        keys
    }
}
