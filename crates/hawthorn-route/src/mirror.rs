//! What this host knows of the store's contents, and passes on to others.
//!
//! Hosts of one zone that all watched the store would cost it a call each for
//! every change. One of them watches and the others ask it; every host holds
//! the items as they lay in the store, with their revisions, so that any of
//! them can answer, and news may come by any way, twice, and in any order.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

use crate::gatherers;
use crate::gatherers::ZoneHost;

/// One item of the store: a key, the revision of its last change, and what
/// lies there; no value where it was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MirrorItem {
    /// Its key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// What lies there.
    pub value: Option<Vec<u8>>,
}

/// Items and how far they reach.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MirrorUpdate {
    /// Changed items.
    pub items: Vec<MirrorItem>,
    /// All changes up to this revision are in, or were before.
    pub as_of: u64,
    /// The items are all there are: others are gone.
    pub complete: bool,
}

impl MirrorUpdate {
    /// Bytes of its keys and values.
    pub fn bytes(&self) -> usize {
        let value = |item: &MirrorItem| item.value.as_ref().map_or(0, Vec::len);
        self.items.iter().map(|item| item.key.len() + value(item)).sum()
    }
}

#[derive(Clone, Debug)]
struct HeldItem {
    revision: u64,
    value: Option<Vec<u8>>,
}

/// All items, by key and by revision.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, HeldItem>,
    by_revision: BTreeSet<(u64, String)>,
    as_of: u64,
    /// Deletions up to this revision are forgotten.
    forgotten: u64,
}

/// Deletions are remembered for so many revisions: at two changes for each of
/// 73,000 targets a day, two hours' worth.
const KEPT_DELETIONS: u64 = 12_000;

impl StoreMirror {
    /// All changes up to this revision are in; 0 while nothing is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Takes in news and returns what was new in it.
    ///
    /// Failure: a page read early and a watch's event, or two peers' answers,
    /// overtake each other, and an older entry replaces a newer one. Every item
    /// bears the revision of its change, and only a greater one counts.
    pub fn apply(&mut self, news: MirrorUpdate) -> Vec<MirrorItem> {
        let mut changed = Vec::new();
        if news.complete {
            let present: HashSet<&str> = news.items.iter().map(|item| item.key.as_str()).collect();
            let gone = self.items.iter().filter(|(key, held)| {
                held.value.is_some()
                    && held.revision <= news.as_of
                    && !present.contains(key.as_str())
            });
            let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
            for key in gone {
                let item = MirrorItem { key, revision: news.as_of, value: None };
                self.put(&item);
                changed.push(item);
            }
            // Deletions before the reading are not in it: one who knows less is
            // told everything, or would keep what was deleted in between.
            self.forgotten = self.forgotten.max(news.as_of);
        }
        for item in news.items {
            if self.items.get(&item.key).is_none_or(|held| held.revision < item.revision) {
                self.put(&item);
                changed.push(item);
            }
        }
        self.as_of = self.as_of.max(news.as_of);
        self.forget();
        changed
    }

    fn put(&mut self, item: &MirrorItem) {
        let held = HeldItem { revision: item.revision, value: item.value.clone() };
        if let Some(before) = self.items.insert(item.key.clone(), held) {
            self.by_revision.remove(&(before.revision, item.key.clone()));
        }
        self.by_revision.insert((item.revision, item.key.clone()));
    }

    fn forget(&mut self) {
        let until = self.as_of.saturating_sub(KEPT_DELETIONS);
        if until <= self.forgotten {
            return;
        }
        self.forgotten = until;
        let old: Vec<(u64, String)> = self
            .by_revision
            .range(..(until + 1, String::new()))
            .filter(|(_, key)| self.items.get(key).is_some_and(|held| held.value.is_none()))
            .cloned()
            .collect();
        for entry in old {
            self.items.remove(&entry.1);
            self.by_revision.remove(&entry);
        }
    }

    /// What is new to one who knows everything up to `after`.
    pub fn since(&self, after: u64) -> MirrorUpdate {
        let whole = after == 0 || after < self.forgotten;
        let from = if whole { 0 } else { after + 1 };
        let item = |(revision, key): &(u64, String)| {
            let value = self.items.get(key).and_then(|held| held.value.clone());
            MirrorItem { key: key.clone(), revision: *revision, value }
        };
        let items = self.by_revision.range((from, String::new())..).map(item);
        let items = items.filter(|item| !whole || item.value.is_some()).collect();
        MirrorUpdate { items, as_of: self.as_of, complete: whole }
    }
}

/// The live hosts of a zone in the order in which they watch the store for it, and are
/// asked for what they know: those that always gather last, as telling all others takes
/// a gatherer's processor time from its queries, and of the rest the most capable first.
pub fn rank(hosts: &[ZoneHost]) -> Vec<u64> {
    let gathering = gatherers::choose(hosts, 0.0);
    let mut ranked = hosts.to_vec();
    ranked.sort_unstable_by_key(|host| {
        (gathering.contains(&host.id), Reverse(host.capacity), host.id)
    });
    ranked.into_iter().map(|host| host.id).collect()
}

/// Whether a host watches the store, given the [`rank`] of its zone's hosts. A fleet of
/// one zone has two watchers, so that one that is cut off from the store unnoticed is
/// not the only source of news.
pub fn is_watcher(ranked: &[u64], me: u64, zones: usize) -> bool {
    let watchers = if zones > 1 { 1 } else { 2 };
    ranked.iter().position(|id| *id == me).is_some_and(|place| place < watchers)
}
