//! Cached claims of one store key, and which of them this process has abandoned.
//!
//! Pure decisions: what to write next and what an answer means. The committer performs
//! the exchange with the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hawthorn_types::platform::StoreEntry;

/// Identifies one claim attempt: the seed of the process and a counter.
pub(super) type Nonce = String;

/// Nonces by caller and request id.
pub(super) type ClaimTable = BTreeMap<String, BTreeMap<String, Nonce>>;

/// Identifies the request that is claimed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClaimName {
    pub(super) caller: String,
    pub(super) request_id: String,
}

/// Holder of a claim according to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Holder {
    Unclaimed,
    /// The given nonce.
    Own,
    /// Another send of the same request id, on this host or another.
    Other,
}

/// Last known content of one store key.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimCache {
    /// Revision and claims as last read or written; `None` before the first exchange.
    seen: Option<(u64, ClaimTable)>,
    /// The key may have changed since; it is read before the next write.
    stale: bool,
    /// Nonces that will never be dispatched but may be in the store, or in a write that is
    /// still in flight.
    abandoned: BTreeSet<Nonce>,
}

impl ClaimCache {
    /// The revision that the next write expects. A key that was never read is assumed to be
    /// absent: a wrong guess costs only a conflict.
    pub(super) fn expected_revision(&self) -> u64 {
        self.seen.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// Whether abandoned claims may still be in the store.
    pub(super) fn has_abandoned(&self) -> bool {
        !self.abandoned.is_empty()
    }

    /// Whether the key has to be read before the next write.
    pub(super) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Another host wrote the key, or the outcome of a write is unknown.
    pub(super) fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Abandons a nonce that has not been dispatched and never will be.
    pub(super) fn abandon(&mut self, nonce: Nonce) {
        self.abandoned.insert(nonce);
    }

    /// Holder of the claim as last seen. An abandoned nonce holds nothing: only this process
    /// could have dispatched it, and it did not.
    pub(super) fn holder(&self, name: &ClaimName, own: &str) -> Holder {
        let table = self.seen.as_ref().map(|(_, table)| table);
        let held = table.and_then(|table| table.get(&name.caller)?.get(&name.request_id));
        match held {
            None => Holder::Unclaimed,
            Some(nonce) if nonce == own => Holder::Own,
            Some(nonce) if self.abandoned.contains(nonce) => Holder::Unclaimed,
            Some(_) => Holder::Other,
        }
    }

    /// The table to write: the cached one without abandoned nonces, with `claims` added.
    pub(super) fn next_table<'a>(
        &self,
        claims: impl Iterator<Item = (&'a ClaimName, &'a Nonce)>,
    ) -> ClaimTable {
        let mut table = self.seen.as_ref().map(|(_, table)| table.clone()).unwrap_or_default();
        for held in table.values_mut() {
            held.retain(|_, nonce| !self.abandoned.contains(nonce));
        }
        for (name, nonce) in claims {
            let held = table.entry(name.caller.clone()).or_default();
            held.insert(name.request_id.clone(), nonce.clone());
        }
        table.retain(|_, held| !held.is_empty());
        table
    }

    /// Records that `table` was written. Earlier writes still in flight expect an older
    /// revision and can no longer take effect, so the abandoned nonces are gone.
    pub(super) fn record_write(&mut self, revision: u64, table: ClaimTable) {
        self.seen = Some((revision, table));
        self.stale = false;
        self.abandoned.clear();
    }

    /// Records the result of a read.
    ///
    /// A smaller revision shows that the store was restored from a backup and lacks the claims
    /// written since. The next write restores those that are cached.
    pub(super) fn record_read(
        &mut self,
        entry: Option<StoreEntry>,
    ) -> Result<ReadChange, MalformedTable> {
        let (revision, table) = match entry {
            None => (0, ClaimTable::new()),
            Some(entry) => {
                let table = serde_json::from_str(&entry.value).map_err(|_| MalformedTable)?;
                (entry.revision, table)
            }
        };
        self.stale = false;
        match self.seen.take() {
            Some((before, _)) if before == revision => {
                self.seen = Some((revision, table));
                Ok(ReadChange::Unchanged)
            }
            Some((before, cached)) if before > revision => {
                self.seen = Some((revision, merge(table, cached)));
                Ok(ReadChange::Reverted)
            }
            _ => {
                self.seen = Some((revision, table));
                Ok(ReadChange::Newer)
            }
        }
    }
}

/// How the key changed since it was last read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadChange {
    Unchanged,
    Newer,
    /// The store was restored to an older revision.
    Reverted,
}

/// The stored value is not a table of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MalformedTable;

/// Merges both tables. The store takes precedence where they differ.
fn merge(mut stored: ClaimTable, cached: ClaimTable) -> ClaimTable {
    for (caller, held) in cached {
        let requests = stored.entry(caller).or_default();
        for (request_id, nonce) in held {
            requests.entry(request_id).or_insert(nonce);
        }
    }
    stored
}

/// Encodes the table as a store value.
pub(super) fn encode(table: &ClaimTable) -> String {
    serde_json::to_string(table).expect("the keys of the table are strings")
}
