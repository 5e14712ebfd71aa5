//! A host's mirror of the store, and the updates that it sends to others.
//!
//! If all hosts of a zone watched the store, each change would cost it one call per host. One
//! host watches the store and the others read from it. Every host keeps the items with their
//! revisions as stored, so that any of them can serve reads, and updates may arrive from any
//! source, repeatedly and in any order.
//!
//! A store that is restored from a copy loses changes and gives out their revisions again. Only a
//! snapshot leads a mirror into the store's new era, and nothing of an earlier era is applied
//! afterwards.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::mem;

use crate::gatherers;
use crate::gatherers::ZoneHost;
use crate::revision::StoreRevision;

/// One item of the store, or its deletion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MirrorItem {
    /// Key of the item.
    pub key: String,
    /// Number of the revision of its last change, in the era of the update.
    pub revision: u64,
    /// Its value; `None` if it was deleted.
    pub value: Option<Vec<u8>>,
}

/// Changed items up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MirrorUpdate {
    /// Changed items.
    pub items: Vec<MirrorItem>,
    /// Revision up to which all changes are included, here or in earlier updates.
    pub as_of: StoreRevision,
    /// Whether the items are a complete snapshot, so that all other items are deleted.
    pub complete: bool,
}

impl MirrorUpdate {
    /// Total size of keys and values, in bytes.
    pub fn bytes(&self) -> usize {
        let value = |item: &MirrorItem| item.value.as_ref().map_or(0, Vec::len);
        self.items.iter().map(|item| item.key.len() + value(item)).sum()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredItem {
    revision: u64,
    value: Option<Vec<u8>>,
}

/// All items, indexed by key and by revision.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, StoredItem>,
    by_revision: BTreeSet<(u64, String)>,
    as_of: StoreRevision,
    /// Deletions up to this revision have been compacted.
    compacted: u64,
    /// Items of earlier eras that the restored store does not have. Whoever wrote them may write
    /// them again.
    unconfirmed: BTreeMap<String, StoredItem>,
}

/// Number of revisions for which deletions are kept: about two hours at two changes a day for
/// each of 73,000 targets.
const KEPT_DELETIONS: u64 = 12_000;

impl StoreMirror {
    /// Revision up to which all changes are included; [`StoreRevision::NONE`] before the first
    /// update.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// Whether the store has an item, as far as this host knows.
    pub fn contains(&self, key: &str) -> bool {
        self.items.get(key).is_some_and(|stored| stored.value.is_some())
    }

    /// The items whose keys begin with `prefix`.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = MirrorItem> {
        let items = self.items.range(prefix.to_owned()..);
        let items = items.take_while(move |(key, _)| key.starts_with(prefix));
        items.map(|(key, stored)| {
            let value = stored.value.clone();
            MirrorItem { key: key.clone(), revision: stored.revision, value }
        })
    }

    /// Number of items that the restored store does not have, and that were not written again.
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Applies an update and returns the items that it changed.
    ///
    /// Only a greater revision replaces an item: a page that was read earlier and a watch event,
    /// or the answers of two peers, may arrive out of order, and an older item must not replace a
    /// newer one. A snapshot of a later era replaces all items, whatever their revisions.
    pub fn apply(&mut self, update: MirrorUpdate) -> Vec<MirrorItem> {
        match update.as_of.era.cmp(&self.as_of.era) {
            Ordering::Less => return Vec::new(),
            Ordering::Equal => {}
            Ordering::Greater if update.complete => return self.enter_era(update),
            Ordering::Greater => return Vec::new(),
        }
        let mut changed = Vec::new();
        if update.complete {
            let present: HashSet<&str> =
                update.items.iter().map(|item| item.key.as_str()).collect();
            let deleted = self.items.iter().filter(|(key, stored)| {
                stored.value.is_some()
                    && stored.revision <= update.as_of.number
                    && !present.contains(key.as_str())
            });
            let deleted: Vec<String> = deleted.map(|(key, _)| key.clone()).collect();
            for key in deleted {
                let item = MirrorItem { key, revision: update.as_of.number, value: None };
                self.put(&item);
                changed.push(item);
            }
            // A snapshot does not include earlier deletions: readers with an older revision
            // receive a snapshot too, as they would otherwise keep deleted items.
            self.compacted = self.compacted.max(update.as_of.number);
        }
        for item in update.items {
            if self.items.get(&item.key).is_none_or(|stored| stored.revision < item.revision) {
                self.put(&item);
                changed.push(item);
            }
        }
        self.as_of = self.as_of.max(update.as_of);
        self.compact();
        changed
    }

    /// Replaces all items with a snapshot of a later era, and returns those that differ.
    ///
    /// Items that the snapshot lacks are not reported as deleted: operators and targets write
    /// theirs again within seconds, and until then each would seem to be gone.
    fn enter_era(&mut self, snapshot: MirrorUpdate) -> Vec<MirrorItem> {
        let mut earlier = mem::take(&mut self.unconfirmed);
        earlier.append(&mut self.items);
        self.by_revision.clear();
        self.as_of = snapshot.as_of;
        self.compacted = snapshot.as_of.number;
        let mut changed = Vec::new();
        for item in snapshot.items {
            let stored = StoredItem { revision: item.revision, value: item.value.clone() };
            let known = earlier.remove(&item.key);
            self.put(&item);
            if known.as_ref() != Some(&stored) {
                changed.push(item);
            }
        }
        earlier.retain(|_, stored| stored.value.is_some());
        self.unconfirmed = earlier;
        changed
    }

    /// Returns the deletion of each item that was not written again since the restore.
    pub fn expire_unconfirmed(&mut self) -> Vec<MirrorItem> {
        let revision = self.as_of.number;
        let deletion = |key| MirrorItem { key, revision, value: None };
        mem::take(&mut self.unconfirmed).into_keys().map(deletion).collect()
    }

    fn put(&mut self, item: &MirrorItem) {
        let stored = StoredItem { revision: item.revision, value: item.value.clone() };
        self.unconfirmed.remove(&item.key);
        if let Some(before) = self.items.insert(item.key.clone(), stored) {
            self.by_revision.remove(&(before.revision, item.key.clone()));
        }
        self.by_revision.insert((item.revision, item.key.clone()));
    }

    fn compact(&mut self) {
        let until = self.as_of.number.saturating_sub(KEPT_DELETIONS);
        if until <= self.compacted {
            return;
        }
        self.compacted = until;
        let old: Vec<(u64, String)> = self
            .by_revision
            .range(..(until + 1, String::new()))
            .filter(|(_, key)| self.items.get(key).is_some_and(|stored| stored.value.is_none()))
            .cloned()
            .collect();
        for entry in old {
            self.items.remove(&entry.1);
            self.by_revision.remove(&entry);
        }
    }

    /// The update for a reader that has all changes up to `after`; empty if that is a later era.
    pub fn since(&self, after: StoreRevision) -> MirrorUpdate {
        if after.era > self.as_of.era {
            return MirrorUpdate { items: Vec::new(), as_of: self.as_of, complete: false };
        }
        let same_era = after.era == self.as_of.era;
        let complete = !same_era || after.number == 0 || after.number < self.compacted;
        let from = if complete { 0 } else { after.number + 1 };
        let item = |(revision, key): &(u64, String)| {
            let value = self.items.get(key).and_then(|stored| stored.value.clone());
            MirrorItem { key: key.clone(), revision: *revision, value }
        };
        let items = self.by_revision.range((from, String::new())..).map(item);
        let items = items.filter(|item| !complete || item.value.is_some()).collect();
        MirrorUpdate { items, as_of: self.as_of, complete }
    }
}

/// Orders the live hosts of a zone by their preference as watchers of the store and as sources
/// for the others. Hosts that always gather come last, as sending updates to all others takes
/// processor time from their queries; the others are ordered by capacity, greatest first.
pub fn rank(hosts: &[ZoneHost]) -> Vec<u64> {
    let always_gathering = gatherers::choose(hosts, 0.0);
    let mut ranked = hosts.to_vec();
    ranked.sort_unstable_by_key(|host| {
        (always_gathering.contains(&host.id), Reverse(host.capacity), host.id)
    });
    ranked.into_iter().map(|host| host.id).collect()
}

/// Whether a host watches the store, given the [`rank`] of its zone's hosts. A fleet with a
/// single zone has two watchers, so that one with an undetected partition from the store is not
/// the only source of updates.
pub fn is_watcher(ranked: &[u64], me: u64, zones: usize) -> bool {
    let watchers = if zones > 1 { 1 } else { 2 };
    ranked.iter().position(|id| *id == me).is_some_and(|rank| rank < watchers)
}
