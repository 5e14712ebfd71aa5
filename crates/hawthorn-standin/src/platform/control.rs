//! The test's handle on a running platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hawthorn_types::platform::HostEntry;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use strum::Display;
use strum::EnumIter;
use tokio::sync::watch;
use tokio::time::Instant;

use super::faults::PlatformFaults;
use super::faults::StoreOutage;
use super::hosts::HostList;
use super::options::PlatformOptions;
use super::rate::CallRate;
use super::store::Store;
use super::store::StoreBackup;
use super::store::WriteError;

/// A kind of call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// `GET /kv/KEY`.
    Get,
    /// `PUT /kv/KEY`.
    Put,
    /// `DELETE /kv/KEY`.
    Delete,
    /// `GET /list/PREFIX`.
    List,
    /// `GET /watch/KEY`.
    Watch,
    /// `POST /leases`.
    Grant,
    /// `POST /leases/ID/renew`.
    Renew,
    /// `GET /hosts`.
    Hosts,
}

impl CallKind {
    /// Whether it counts against the rate of writes.
    pub fn writes(self) -> bool {
        matches!(self, Self::Put | Self::Delete | Self::Grant | Self::Renew)
    }
}

/// How often a kind of call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct CallCounters {
    /// All calls.
    pub calls: u64,
    /// Those answered 429.
    pub over_rate: u64,
    /// Those that met an outage.
    pub in_outage: u64,
}

/// Changes and reads a running platform. Clones share the platform.
#[derive(Clone, Debug)]
pub struct PlatformControl {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) delay: Duration,
    pub(super) watch_limit: Duration,
    host_lag: Duration,
    start: Instant,
    state: Mutex<State>,
    /// Moves on with each change of a key, to wake the watches.
    pub(super) changes: watch::Sender<u64>,
    pub(super) faults: watch::Sender<PlatformFaults>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) store: Store,
    pub(super) hosts: HostList,
    pub(super) writes: CallRate,
    pub(super) reads: CallRate,
    pub(super) counters: BTreeMap<CallKind, CallCounters>,
}

impl Shared {
    /// Time since the platform started.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The state with lapsed leases gone.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("nothing panics while it holds the store");
        state.store.expire(self.now());
        state
    }

    pub(super) fn changed(&self) {
        self.changes.send_modify(|change| *change += 1);
    }
}

impl PlatformControl {
    pub(super) fn new(options: &PlatformOptions) -> Self {
        let state = State {
            store: Store::default(),
            hosts: HostList::default(),
            writes: CallRate::new(options.writes_per_second),
            reads: CallRate::new(options.reads_per_second),
            counters: BTreeMap::new(),
        };
        let shared = Shared {
            delay: options.delay,
            watch_limit: options.watch_limit,
            host_lag: options.host_lag,
            start: Instant::now(),
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            faults: watch::Sender::new(PlatformFaults::default()),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: StoreOutage) {
        self.set_faults(|faults| faults.outage = outage);
    }

    /// The entry of `key`, whatever faults are in force.
    pub fn get(&self, key: &str) -> Option<StoreEntry> {
        self.shared.lock().store.get(key)
    }

    /// The entries under `prefix`, without values, whatever faults are in force.
    pub fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        self.shared.lock().store.list(prefix)
    }

    /// Writes `key` by compare-and-swap, whatever faults are in force.
    pub fn put(&self, key: &str, put: StorePut) -> Result<StoreEntry, WriteError> {
        let written = self.shared.lock().store.put(key, put);
        self.shared.changed();
        written
    }

    /// The keys as they are now.
    pub fn backup(&self) -> StoreBackup {
        self.shared.lock().store.backup()
    }

    /// Brings older keys back, as a store restored from a backup does.
    pub fn restore(&self, backup: StoreBackup) {
        self.shared.lock().store.restore(backup);
        self.shared.changed();
    }

    /// Shows `entry` in the list of hosts once the lag has passed.
    pub fn put_host(&self, entry: HostEntry) {
        let due = self.shared.now() + self.shared.host_lag;
        self.shared.lock().hosts.put(due, entry);
    }

    /// Takes `host` off the list once the lag has passed.
    pub fn remove_host(&self, host: &str) {
        let due = self.shared.now() + self.shared.host_lag;
        self.shared.lock().hosts.remove(due, host);
    }

    /// How often `kind` was called.
    pub fn counters(&self, kind: CallKind) -> CallCounters {
        self.shared.lock().counters.get(&kind).copied().unwrap_or_default()
    }

    /// How often each kind was called.
    pub fn all_counters(&self) -> BTreeMap<CallKind, CallCounters> {
        self.shared.lock().counters.clone()
    }
}
