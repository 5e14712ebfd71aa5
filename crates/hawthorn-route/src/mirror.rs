//! A host's mirror of the store, and the updates that it sends to others.
//!
//! If all hosts of a zone watched the store, each change would cost it one call per host. One
//! host watches the store and the others read from it. Every host keeps the items with their
//! revisions as stored, so that any of them can serve reads, and updates may arrive from any
//! source, repeatedly and in any order.
//!
//! A store that is restored from a copy loses changes and gives out their revisions again. Only a
//! snapshot leads a mirror into the store's new era, or its difference from the state that the
//! mirror had before. Nothing of an earlier era is applied afterwards.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::mem;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::gatherers;
use crate::gatherers::ZoneHost;
use crate::packing::MIN_PACKED_BYTES;
use crate::revision::StoreRevision;

/// One item of the store, or its deletion.
#[derive(Clone, PartialEq, Eq)]
pub struct MirrorItem {
    /// Key of the item.
    pub key: String,
    /// Number of the revision of its last change, in the era of the update.
    pub revision: u64,
    /// Its value; `None` if it was deleted.
    pub value: Option<Vec<u8>>,
}

impl fmt::Debug for MirrorItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("MirrorItem")
            .field("key", &self.key)
            .field("revision", &self.revision)
            .field("value", &ValueSize::of(self.value.as_deref()))
            .finish()
    }
}

/// Size of a value, in place of the value in `Debug` output: the configuration contains callers'
/// keys.
#[derive(Clone, Copy)]
struct ValueSize(Option<usize>);

impl ValueSize {
    fn of(value: Option<&[u8]>) -> Self {
        Self(value.map(<[u8]>::len))
    }
}

impl fmt::Debug for ValueSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(bytes) => write!(formatter, "{bytes} bytes"),
            None => formatter.write_str("deleted"),
        }
    }
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
    /// The state of an earlier era from which the items differ, if they are changes across a
    /// restore of the store.
    pub base: Option<RestoreBase>,
}

/// The state before a restore of the store, to which the changes across it are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestoreBase {
    /// Revision of the state, in an earlier era.
    pub revision: StoreRevision,
    /// Checksum of all items after the changes.
    pub checksum: u64,
}

impl MirrorUpdate {
    /// Total size of keys and values, in bytes.
    pub fn bytes(&self) -> usize {
        let value = |item: &MirrorItem| item.value.as_ref().map_or(0, Vec::len);
        self.items.iter().map(|item| item.key.len() + value(item)).sum()
    }
}

#[derive(Clone, PartialEq, Eq)]
struct StoredItem {
    revision: u64,
    value: Option<Vec<u8>>,
}

impl StoredItem {
    fn is_large(&self) -> bool {
        self.value.as_ref().is_some_and(|value| value.len() >= MIN_PACKED_BYTES)
    }
}

impl fmt::Debug for StoredItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoredItem")
            .field("revision", &self.revision)
            .field("value", &ValueSize::of(self.value.as_deref()))
            .finish()
    }
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
    /// The last restore of the store, as far as this host saw the state before it.
    restore: Option<SeenRestore>,
    /// Whether the changes across a restore did not lead to the sender's state.
    is_diverged: bool,
    /// Whether an update could not be read, as it differs from a state that this mirror lacks.
    needs_snapshot: bool,
    /// Keys of the items with large values.
    large: BTreeSet<String>,
    /// Large values that were replaced lately, oldest first.
    earlier: VecDeque<EarlierValue>,
}

/// A large value that was replaced, for differences from it.
#[derive(Clone, Debug)]
struct EarlierValue {
    key: String,
    stored: StoredItem,
}

/// A value that a mirror holds, from which others may send differences.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldValue {
    /// Key of the item.
    pub key: String,
    /// Revision of the value.
    pub revision: StoreRevision,
}

/// The difference that a restore of the store made to a mirror.
#[derive(Clone, Debug)]
struct SeenRestore {
    /// Revision of the mirror before.
    base: StoreRevision,
    /// Number of the mirror's first revision after it.
    first: u64,
    /// Keys of the items that differ.
    changed: BTreeSet<String>,
}

/// Maximum number of replaced values that a mirror keeps, and their maximum total size in bytes.
const MAX_EARLIER: usize = 4;
const MAX_EARLIER_BYTES: usize = 4 << 20;
/// Maximum number of held values that a request for an update states.
const MAX_STATED: usize = 16;

/// Number of revisions for which deletions are kept: about two hours at two changes a day for
/// each of 73,000 targets.
const KEPT_DELETIONS: u64 = 12_000;

impl StoreMirror {
    /// Revision up to which all changes are included; [`StoreRevision::NONE`] before the first
    /// update.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// The revision after which this host needs updates from a peer. [`StoreRevision::NONE`]
    /// requests a snapshot.
    pub fn wanted_after(&self) -> StoreRevision {
        if self.is_diverged || self.needs_snapshot { StoreRevision::NONE } else { self.as_of }
    }

    /// Requests a snapshot, as an update could not be read.
    pub fn request_snapshot(&mut self) {
        self.needs_snapshot = true;
    }

    /// The revision of an item, also if it was deleted.
    pub fn revision_of(&self, key: &str) -> Option<u64> {
        self.items.get(key).map(|stored| stored.revision)
    }

    /// The value of an item at a revision of the present era, if it is still held.
    pub fn value_at(&self, key: &str, revision: u64) -> Option<&[u8]> {
        let earlier = self.earlier.iter().filter(|earlier| earlier.key == key);
        let all = earlier.map(|earlier| &earlier.stored).chain(self.items.get(key));
        all.filter(|stored| stored.revision == revision).find_map(|stored| stored.value.as_deref())
    }

    /// The large values that this host holds, for its next request for an update; none if it needs a
    /// snapshot.
    ///
    /// The revision up to which a host has all changes does not tell them: it may have received
    /// several changes of an item as one.
    pub fn held_values(&self) -> Vec<HeldValue> {
        if self.wanted_after() == StoreRevision::NONE {
            return Vec::new();
        }
        let held = self.large.iter().filter_map(|key| {
            let revision = StoreRevision::new(self.as_of.era, self.items.get(key)?.revision);
            Some(HeldValue { key: key.clone(), revision })
        });
        held.take(MAX_STATED).collect()
    }

    /// A value that another host has stated to hold, if this host holds it too.
    pub fn shared_value(&self, held: &HeldValue) -> Option<&[u8]> {
        let same_era = held.revision.era == self.as_of.era;
        same_era.then(|| self.value_at(&held.key, held.revision.number)).flatten()
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
            // Changes across a restore that this mirror has followed since it asked for them.
            Ordering::Equal if update.base.is_some() => return Vec::new(),
            Ordering::Equal => {}
            Ordering::Greater if update.complete => return self.enter_era(update),
            Ordering::Greater => return self.follow_restore(update),
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
            self.needs_snapshot = false;
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
        let base = self.as_of;
        let mut differing = BTreeSet::new();
        let mut earlier = mem::take(&mut self.unconfirmed);
        earlier.append(&mut self.items);
        self.by_revision.clear();
        self.large.clear();
        // The restored store gives out their revisions again.
        self.earlier.clear();
        self.is_diverged = false;
        self.needs_snapshot = false;
        self.as_of = snapshot.as_of;
        self.compacted = snapshot.as_of.number;
        let mut changed = Vec::new();
        for item in snapshot.items {
            let stored = StoredItem { revision: item.revision, value: item.value.clone() };
            let known = earlier.remove(&item.key);
            self.put(&item);
            if known.as_ref() != Some(&stored) {
                differing.insert(item.key.clone());
                changed.push(item);
            }
        }
        earlier.retain(|_, stored| stored.value.is_some());
        differing.extend(earlier.keys().cloned());
        self.restore = (base != StoreRevision::NONE).then_some(SeenRestore {
            base,
            first: self.as_of.number,
            changed: differing,
        });
        self.unconfirmed = earlier;
        changed
    }

    /// Applies the changes across a restore, unless they belong to another state than this one.
    fn follow_restore(&mut self, update: MirrorUpdate) -> Vec<MirrorItem> {
        let MirrorUpdate { items: changes, as_of, base, .. } = update;
        let Some(base) = base.filter(|base| base.revision == self.as_of) else {
            return Vec::new();
        };
        let mut after = self.items.clone();
        for MirrorItem { key, revision, value } in changes {
            after.insert(key, StoredItem { revision, value });
        }
        after.retain(|_, stored| stored.value.is_some());
        self.is_diverged = checksum(&after) != base.checksum;
        if self.is_diverged {
            return Vec::new();
        }
        let items = after.into_iter().map(|(key, stored)| MirrorItem {
            key,
            revision: stored.revision,
            value: stored.value,
        });
        self.enter_era(MirrorUpdate { items: items.collect(), as_of, complete: true, base: None })
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
        if stored.is_large() {
            self.large.insert(item.key.clone());
        } else {
            self.large.remove(&item.key);
        }
        if let Some(before) = self.items.insert(item.key.clone(), stored) {
            self.by_revision.remove(&(before.revision, item.key.clone()));
            self.keep_earlier(&item.key, before);
        }
        self.by_revision.insert((item.revision, item.key.clone()));
    }

    fn keep_earlier(&mut self, key: &str, stored: StoredItem) {
        if !stored.is_large() {
            return;
        }
        self.earlier.push_back(EarlierValue { key: key.to_owned(), stored });
        let size = |earlier: &EarlierValue| earlier.stored.value.as_ref().map_or(0, Vec::len);
        while self.earlier.len() > MAX_EARLIER
            || self.earlier.iter().map(size).sum::<usize>() > MAX_EARLIER_BYTES
        {
            self.earlier.pop_front();
        }
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
            return MirrorUpdate { as_of: self.as_of, ..MirrorUpdate::default() };
        }
        // A compaction after the restore may have dropped deletions since then, which the changes
        // across the restore would lack.
        let restore = self.restore.as_ref().filter(|restore| restore.base == after);
        if let Some(restore) = restore.filter(|restore| self.compacted <= restore.first) {
            return self.since_restore(restore);
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
        MirrorUpdate { items, as_of: self.as_of, complete, base: None }
    }

    /// The changes across a restore and since then.
    fn since_restore(&self, restore: &SeenRestore) -> MirrorUpdate {
        let later = self.by_revision.range((restore.first + 1, String::new())..);
        let keys: BTreeSet<&String> =
            restore.changed.iter().chain(later.map(|(_, key)| key)).collect();
        let item = |key: &String| {
            let stored = self.items.get(key);
            let revision = stored.map_or(self.as_of.number, |stored| stored.revision);
            let value = stored.and_then(|stored| stored.value.clone());
            MirrorItem { key: key.clone(), revision, value }
        };
        let items = keys.into_iter().map(item).collect();
        let checksum = checksum(&self.items);
        let base = Some(RestoreBase { revision: restore.base, checksum });
        MirrorUpdate { items, as_of: self.as_of, complete: false, base }
    }
}

/// Checksum of the items that are not deleted.
fn checksum(items: &BTreeMap<String, StoredItem>) -> u64 {
    let mut hasher = Xxh3::new();
    for (key, stored) in items {
        let Some(value) = &stored.value else { continue };
        for part in [key.as_bytes(), &stored.revision.to_le_bytes(), value] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
    }
    hasher.digest()
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
