//! One value of claims: what it holds, and what of it is this keeper's own.
//!
//! Decisions only: what to write next and what an answer means. The exchange
//! with the store is in the committer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hawthorn_types::platform::StoreEntry;

/// Names one claim attempt: the host's seed and a count.
pub(super) type Nonce = String;

/// Claims by caller and request id.
pub(super) type ClaimTable = BTreeMap<String, BTreeMap<String, Nonce>>;

/// Who wants a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClaimName {
    pub(super) caller: String,
    pub(super) request_id: String,
}

/// What the table says of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Holder {
    Nobody,
    /// The nonce asked about.
    Own,
    /// Another send, here or on another host.
    Other,
}

/// What this keeper knows of one key.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimLedger {
    /// The revision and claims last seen; `None` before the first exchange.
    seen: Option<(u64, ClaimTable)>,
    /// The key may have changed since: read before the next write.
    stale: bool,
    /// Nonces that were given up and will never be dispatched. They may be in
    /// the store, or on their way to it.
    dead: BTreeSet<Nonce>,
}

impl ClaimLedger {
    /// The revision that the next write has to expect. A key never seen is
    /// taken for absent: a wrong guess costs a conflict and no harm.
    pub(super) fn expect(&self) -> u64 {
        self.seen.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// Whether claims given up may still be in the store.
    pub(super) fn has_dead(&self) -> bool {
        !self.dead.is_empty()
    }

    /// Whether the key has to be read before the next write.
    pub(super) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Another host wrote the key, or an own write may or may not have taken effect.
    pub(super) fn doubt(&mut self) {
        self.stale = true;
    }

    /// Gives up a nonce: it has not been dispatched and never will be.
    pub(super) fn bury(&mut self, nonce: Nonce) {
        self.dead.insert(nonce);
    }

    /// Who holds the claim, as last seen. A dead nonce holds nothing: only
    /// this keeper could have dispatched it, and it did not.
    pub(super) fn holder(&self, name: &ClaimName, own: &str) -> Holder {
        let table = self.seen.as_ref().map(|(_, table)| table);
        let held = table.and_then(|table| table.get(&name.caller)?.get(&name.request_id));
        match held {
            None => Holder::Nobody,
            Some(nonce) if nonce == own => Holder::Own,
            Some(nonce) if self.dead.contains(nonce) => Holder::Nobody,
            Some(_) => Holder::Other,
        }
    }

    /// The table to write: what was seen, less the dead, with `claims` added.
    pub(super) fn next<'a>(
        &self,
        claims: impl Iterator<Item = (&'a ClaimName, &'a Nonce)>,
    ) -> ClaimTable {
        let mut table = self.seen.as_ref().map(|(_, table)| table.clone()).unwrap_or_default();
        for held in table.values_mut() {
            held.retain(|_, nonce| !self.dead.contains(nonce));
        }
        for (name, nonce) in claims {
            let held = table.entry(name.caller.clone()).or_default();
            held.insert(name.request_id.clone(), nonce.clone());
        }
        table.retain(|_, held| !held.is_empty());
        table
    }

    /// `table` was written. Any earlier write still on its way expects an
    /// older revision and can no longer take effect, so the dead are gone.
    pub(super) fn written(&mut self, revision: u64, table: ClaimTable) {
        self.seen = Some((revision, table));
        self.stale = false;
        self.dead.clear();
    }

    /// Takes in what a read found.
    ///
    /// Failure: the store comes back from a copy made earlier, and claims
    /// written since are gone from it, which shows as a smaller revision.
    /// Those that this keeper saw are put back by its next write.
    pub(super) fn read(&mut self, entry: Option<StoreEntry>) -> Result<ReadFinding, NoTable> {
        let (revision, table) = match entry {
            None => (0, ClaimTable::new()),
            Some(entry) => {
                let table = serde_json::from_str(&entry.value).map_err(|_| NoTable)?;
                (entry.revision, table)
            }
        };
        self.stale = false;
        match self.seen.take() {
            Some((before, _)) if before == revision => {
                self.seen = Some((revision, table));
                Ok(ReadFinding::Same)
            }
            Some((before, known)) if before > revision => {
                self.seen = Some((revision, union(table, known)));
                Ok(ReadFinding::WentBack)
            }
            _ => {
                self.seen = Some((revision, table));
                Ok(ReadFinding::Newer)
            }
        }
    }
}

/// How a read compares with what was seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadFinding {
    /// Nobody wrote since.
    Same,
    Newer,
    /// The store went back to an older revision.
    WentBack,
}

/// The value read is no table of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NoTable;

/// Both tables; where they differ the one in the store holds the claim.
fn union(mut stored: ClaimTable, known: ClaimTable) -> ClaimTable {
    for (caller, held) in known {
        let place = stored.entry(caller).or_default();
        for (request_id, nonce) in held {
            place.entry(request_id).or_insert(nonce);
        }
    }
    stored
}

/// The table as the store keeps it.
pub(super) fn encode(table: &ClaimTable) -> String {
    serde_json::to_string(table).expect("the keys of the table are strings")
}
