//! Keys, revisions and leases. Time is passed in, since the platform started.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_types::platform::LeaseAnswer;
use hawthorn_types::platform::StoreConflict;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use quick_error::quick_error;

/// The largest value kept, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

quick_error! {
    /// Why a write took no effect.
    #[derive(Debug, PartialEq, Eq)]
    pub enum WriteError {
        /// The key is not at the revision expected.
        Conflict(conflict: StoreConflict) {
            display("the key is at revision {}", conflict.found)
        }
        /// The value is larger than [`VALUE_LIMIT`].
        TooLarge {
            display("the value is larger than the limit")
        }
        /// The lease named is unknown or has lapsed.
        LeaseLapsed {
            display("the lease has lapsed")
        }
        /// The key to delete is absent.
        Absent {
            display("there is no such key")
        }
    }
}

/// The keys and leases in force.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
    last_lease: u64,
    leases: BTreeMap<u64, StoredLease>,
}

/// The keys at one moment, to be brought back by [`Store::restore`].
#[derive(Clone, Debug)]
pub struct StoreBackup {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
}

#[derive(Clone, Debug)]
struct StoredKey {
    revision: u64,
    value: String,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct StoredLease {
    ttl: Duration,
    ends: Duration,
}

impl Store {
    /// Drops leases that have lapsed at `now`, and the keys that depend on them.
    /// Returns whether any key went.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.leases.retain(|_, lease| lease.ends > now);
        let before = self.keys.len();
        let leases = &self.leases;
        self.keys.retain(|_, kept| kept.lease.is_none_or(|lease| leases.contains_key(&lease)));
        self.keys.len() != before
    }

    /// The next moment a lease lapses.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|lease| lease.ends).min()
    }

    /// The entry of `key`.
    pub fn get(&self, key: &str) -> Option<StoreEntry> {
        self.keys.get(key).map(|kept| entry(key, kept, true))
    }

    /// The entries whose key starts with `prefix`, without values.
    pub fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, kept)| entry(key, kept, false))
            .collect()
    }

    /// Writes `key` when it is at the revision expected; the entry has no value.
    pub fn put(&mut self, key: &str, put: StorePut) -> Result<StoreEntry, WriteError> {
        if put.value.len() > VALUE_LIMIT {
            return Err(WriteError::TooLarge);
        }
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteError::LeaseLapsed);
        }
        self.expect(key, put.expect)?;
        self.revision += 1;
        let kept = StoredKey { revision: self.revision, value: put.value, lease: put.lease };
        let written = entry(key, &kept, false);
        self.keys.insert(key.to_owned(), kept);
        Ok(written)
    }

    /// Deletes `key` when it is at revision `expect`.
    pub fn delete(&mut self, key: &str, expect: u64) -> Result<(), WriteError> {
        if !self.keys.contains_key(key) {
            return Err(WriteError::Absent);
        }
        self.expect(key, expect)?;
        self.revision += 1;
        self.keys.remove(key);
        Ok(())
    }

    /// Grants a lease of `ttl` from `now`.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> LeaseAnswer {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, StoredLease { ttl, ends: now + ttl });
        lease_answer(self.last_lease, ttl)
    }

    /// Renews `lease` from `now`; nothing when it has lapsed.
    pub fn renew(&mut self, lease: u64, now: Duration) -> Option<LeaseAnswer> {
        let kept = self.leases.get_mut(&lease)?;
        kept.ends = now + kept.ttl;
        Some(lease_answer(lease, kept.ttl))
    }

    /// The keys as they are now.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup { revision: self.revision, keys: self.keys.clone() }
    }

    /// Brings older keys back, with their older revisions. Leases stay.
    pub fn restore(&mut self, backup: StoreBackup) {
        self.revision = backup.revision;
        self.keys = backup.keys;
    }

    fn expect(&self, key: &str, expect: u64) -> Result<(), WriteError> {
        let found = self.keys.get(key).map_or(0, |kept| kept.revision);
        match found == expect {
            true => Ok(()),
            false => Err(WriteError::Conflict(StoreConflict { found })),
        }
    }
}

fn entry(key: &str, kept: &StoredKey, with_value: bool) -> StoreEntry {
    let value = if with_value { kept.value.clone() } else { String::new() };
    StoreEntry { key: key.to_owned(), revision: kept.revision, value }
}

fn lease_answer(lease: u64, ttl: Duration) -> LeaseAnswer {
    LeaseAnswer { lease, ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) }
}
