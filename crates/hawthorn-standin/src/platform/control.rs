//! Control handle of a running platform, for tests.

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
use super::rate_limit::RateLimiter;
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
    /// Whether the call counts towards the rate limit of writes.
    pub fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete | Self::Grant | Self::Renew)
    }
}

/// Numbers of calls of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct CallCounters {
    /// All calls.
    pub calls: u64,
    /// Calls answered with status 429.
    pub rate_limited: u64,
    /// Calls that arrived during an outage.
    pub in_outage: u64,
}

/// Controls and inspects a running platform. Clones refer to the same platform.
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
    /// Incremented with each change of a key, to wake watches.
    pub(super) changes: watch::Sender<u64>,
    pub(super) faults: watch::Sender<PlatformFaults>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) store: Store,
    pub(super) hosts: HostList,
    pub(super) writes: RateLimiter,
    pub(super) reads: RateLimiter,
    pub(super) counters: BTreeMap<CallKind, CallCounters>,
}

impl Shared {
    /// Time since the platform started.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Locks the state and removes expired leases.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.store.expire(self.now());
        state
    }

    pub(super) fn notify_watches(&self) {
        self.changes.send_modify(|change| *change += 1);
    }
}

impl PlatformControl {
    pub(super) fn new(options: &PlatformOptions) -> Self {
        let state = State {
            store: Store::default(),
            hosts: HostList::default(),
            writes: RateLimiter::new(options.writes_per_second),
            reads: RateLimiter::new(options.reads_per_second),
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

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: StoreOutage) {
        self.set_faults(|faults| faults.outage = outage);
    }

    /// The entry of `key`, regardless of active faults.
    pub fn get(&self, key: &str) -> Option<StoreEntry> {
        self.shared.lock().store.get(key)
    }

    /// The entries under `prefix`, without values, regardless of active faults.
    pub fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        self.shared.lock().store.list(prefix)
    }

    /// Writes `key` by compare-and-swap, regardless of active faults.
    pub fn put(&self, key: &str, put: StorePut) -> Result<StoreEntry, WriteError> {
        let written = self.shared.lock().store.put(key, put);
        self.shared.notify_watches();
        written
    }

    /// A copy of the current keys.
    pub fn backup(&self) -> StoreBackup {
        self.shared.lock().store.backup()
    }

    /// Replaces all keys with those of `backup`, including their older revisions.
    pub fn restore(&self, backup: StoreBackup) {
        self.shared.lock().store.restore(backup);
        self.shared.notify_watches();
    }

    /// Adds `entry` to the list of hosts after the lag.
    pub fn put_host(&self, entry: HostEntry) {
        let due = self.shared.now() + self.shared.host_lag;
        self.shared.lock().hosts.put(due, entry);
    }

    /// Removes `host` from the list of hosts after the lag.
    pub fn remove_host(&self, host: &str) {
        let due = self.shared.now() + self.shared.host_lag;
        self.shared.lock().hosts.remove(due, host);
    }

    /// Numbers of calls of `kind`.
    pub fn counters(&self, kind: CallKind) -> CallCounters {
        self.shared.lock().counters.get(&kind).copied().unwrap_or_default()
    }

    /// Numbers of calls of each kind.
    pub fn all_counters(&self) -> BTreeMap<CallKind, CallCounters> {
        self.shared.lock().counters.clone()
    }
}
