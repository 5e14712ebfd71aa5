//! Keys, revisions and leases. Times are passed in, relative to the platform's start.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_types::platform::LeaseAnswer;
use hawthorn_types::platform::StoreConflict;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use quick_error::quick_error;

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

quick_error! {
    /// Reasons why a write had no effect.
    #[derive(Debug, PartialEq, Eq)]
    pub enum WriteError {
        /// The key is not at the expected revision.
        Conflict(conflict: StoreConflict) {
            display("the key is at revision {}", conflict.found)
        }
        /// The value is larger than [`MAX_VALUE_BYTES`].
        TooLarge {
            display("the value exceeds the maximum size")
        }
        /// The lease is unknown or has expired.
        LeaseExpired {
            display("the lease has expired")
        }
        /// The key to delete does not exist.
        Absent {
            display("the key does not exist")
        }
    }
}

/// The current keys and leases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
    last_lease: u64,
    leases: BTreeMap<u64, StoredLease>,
}

/// A copy of the keys at one moment, for [`Store::restore`].
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
    expires: Duration,
}

impl Store {
    /// Removes leases that have expired at `now`, and the keys attached to them.
    /// Returns whether any key was removed.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.leases.retain(|_, lease| lease.expires > now);
        let before = self.keys.len();
        let leases = &self.leases;
        self.keys.retain(|_, stored| stored.lease.is_none_or(|lease| leases.contains_key(&lease)));
        self.keys.len() != before
    }

    /// The earliest expiry of a lease.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|lease| lease.expires).min()
    }

    /// The entry of `key`.
    pub fn get(&self, key: &str) -> Option<StoreEntry> {
        self.keys.get(key).map(|stored| entry(key, stored, true))
    }

    /// The entries whose key starts with `prefix`, without values.
    pub fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| entry(key, stored, false))
            .collect()
    }

    /// Writes `key` if it is at the expected revision. The returned entry has no value.
    pub fn put(&mut self, key: &str, put: StorePut) -> Result<StoreEntry, WriteError> {
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(WriteError::TooLarge);
        }
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteError::LeaseExpired);
        }
        self.expect(key, put.expect)?;
        self.revision += 1;
        let stored = StoredKey { revision: self.revision, value: put.value, lease: put.lease };
        let written = entry(key, &stored, false);
        self.keys.insert(key.to_owned(), stored);
        Ok(written)
    }

    /// Deletes `key` if it is at revision `expect`.
    pub fn delete(&mut self, key: &str, expect: u64) -> Result<(), WriteError> {
        if !self.keys.contains_key(key) {
            return Err(WriteError::Absent);
        }
        self.expect(key, expect)?;
        self.revision += 1;
        self.keys.remove(key);
        Ok(())
    }

    /// Grants a lease that expires `ttl` after `now`.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> LeaseAnswer {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, StoredLease { ttl, expires: now + ttl });
        lease_answer(self.last_lease, ttl)
    }

    /// Renews `lease` at `now`; `None` when it has expired.
    pub fn renew(&mut self, lease: u64, now: Duration) -> Option<LeaseAnswer> {
        let stored = self.leases.get_mut(&lease)?;
        stored.expires = now + stored.ttl;
        Some(lease_answer(lease, stored.ttl))
    }

    /// A copy of the current keys.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup { revision: self.revision, keys: self.keys.clone() }
    }

    /// Replaces all keys with those of `backup`, including their revisions. Leases are
    /// unchanged.
    pub fn restore(&mut self, backup: StoreBackup) {
        self.revision = backup.revision;
        self.keys = backup.keys;
    }

    fn expect(&self, key: &str, expect: u64) -> Result<(), WriteError> {
        let found = self.keys.get(key).map_or(0, |stored| stored.revision);
        match found == expect {
            true => Ok(()),
            false => Err(WriteError::Conflict(StoreConflict { found })),
        }
    }
}

fn entry(key: &str, stored: &StoredKey, with_value: bool) -> StoreEntry {
    let value = if with_value { stored.value.clone() } else { String::new() };
    StoreEntry { key: key.to_owned(), revision: stored.revision, value }
}

fn lease_answer(lease: u64, ttl: Duration) -> LeaseAnswer {
    LeaseAnswer { lease, ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) }
}
