//! Updates of the mirror, from any source and in any order.

use std::collections::BTreeMap;

use hawthorn_route::gatherers::ZoneHost;
use hawthorn_route::mirror;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::mirror::StoreMirror;
use hawthorn_route::revision::StoreRevision;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;

fn item(key: &str, revision: u64, value: Option<&str>) -> MirrorItem {
    let value = value.map(|text| text.as_bytes().to_vec());
    MirrorItem { key: key.to_owned(), revision, value }
}

fn update(items: Vec<MirrorItem>, as_of: u64) -> MirrorUpdate {
    MirrorUpdate { items, as_of: StoreRevision::new(0, as_of), ..MirrorUpdate::default() }
}

fn snapshot(items: Vec<MirrorItem>, era: u64, as_of: u64) -> MirrorUpdate {
    let as_of = StoreRevision::new(era, as_of);
    MirrorUpdate { items, as_of, complete: true, base: None }
}

/// Guards against replacing an item with an older revision, when a slow peer's answer arrives
/// after newer items from the store's watch.
#[test]
fn an_older_item_changes_nothing() {
    let mut mirror = StoreMirror::default();
    assert_eq!(mirror.apply(update(vec![item("a", 5, Some("new"))], 5)).len(), 1);
    assert_eq!(mirror.apply(update(vec![item("a", 4, Some("old"))], 4)), []);
    assert_eq!(mirror.as_of(), StoreRevision::new(0, 5));
    assert_eq!(mirror.since(StoreRevision::NONE).items, [item("a", 5, Some("new"))]);
}

/// Guards against keeping an item that was deleted while the store compacted its history: the
/// item is missing from a snapshot, and must be missing from later updates to peers.
#[test]
fn items_missing_from_a_snapshot_are_deleted() {
    let mut mirror = StoreMirror::default();
    mirror.apply(update(vec![item("a", 1, Some("x")), item("b", 2, Some("y"))], 2));
    let snapshot = snapshot(vec![item("b", 2, Some("y"))], 0, 7);
    assert_eq!(mirror.apply(snapshot), [item("a", 7, None)]);
    let mut peer = StoreMirror::default();
    peer.apply(update(vec![item("a", 1, Some("x")), item("b", 2, Some("y"))], 2));
    peer.apply(mirror.since(peer.as_of()));
    for mirror in [&mirror, &peer] {
        assert_eq!(mirror.since(StoreRevision::NONE).items, [item("b", 2, Some("y"))]);
    }
}

/// Guards against ignoring a restored store, whose revisions are not above those that were lost,
/// and against bringing back what a peer or a late answer has of an earlier era.
#[test]
fn a_snapshot_of_a_later_era_replaces_all_items() {
    let mut mirror = StoreMirror::default();
    let before = [item("a", 3, Some("kept")), item("b", 8, Some("lost")), item("c", 9, None)];
    mirror.apply(snapshot(before.to_vec(), 0, 9));
    let events = MirrorUpdate { as_of: StoreRevision::new(1, 6), ..update(Vec::new(), 0) };
    assert_eq!(mirror.apply(events), [], "events do not lead into an era");
    let copy = vec![item("a", 3, Some("kept")), item("b", 2, Some("old")), item("c", 4, Some("x"))];
    let changed = mirror.apply(snapshot(copy, 1, 5));
    assert_eq!(changed, [item("b", 2, Some("old")), item("c", 4, Some("x"))]);
    assert_eq!(mirror.as_of(), StoreRevision::new(1, 5));
    let late = update(vec![item("b", 10, Some("lost"))], 10);
    assert_eq!(mirror.apply(late), [], "an earlier era changes nothing");
    let peer = mirror.since(StoreRevision::new(0, 8));
    assert!(peer.complete && peer.items.len() == 3, "a peer with another state needs all items");
    let newer = mirror.since(StoreRevision::new(2, 1));
    assert!(!newer.complete && newer.items.is_empty(), "a peer of a later era needs none");
    assert_eq!(newer.as_of, mirror.as_of());
}

/// Guards against sending all items to every host of a zone after a restore, and against a host that
/// follows it from another state than the sender's.
#[test]
fn hosts_follow_a_restore_by_its_changes() {
    let before = || {
        let keys = ["a", "b", "c"].into_iter().zip([1, 6, 8]);
        snapshot(keys.map(|(key, number)| item(key, number, Some("x"))).collect(), 0, 9)
    };
    let (mut sender, mut same, mut diverged) =
        (StoreMirror::default(), StoreMirror::default(), StoreMirror::default());
    for mirror in [&mut sender, &mut same, &mut diverged] {
        mirror.apply(before());
    }
    diverged.apply(update(vec![item("a", 9, Some("z"))], 9));
    let copy = vec![item("a", 1, Some("x")), item("b", 5, Some("old"))];
    sender.apply(snapshot(copy, 1, 5));
    let mut later = update(vec![item("d", 6, Some("new"))], 6);
    later.as_of.era = 1;
    sender.apply(later);
    let changes = sender.since(same.wanted_after());
    assert_eq!(
        changes.items,
        [item("b", 5, Some("old")), item("c", 6, None), item("d", 6, Some("new"))]
    );
    same.apply(changes.clone());
    assert_eq!(same.apply(changes.clone()), [], "a second reply changes nothing");
    assert_eq!((same.as_of(), same.unconfirmed()), (sender.as_of(), 1));
    assert_eq!(diverged.apply(changes), []);
    diverged.apply(sender.since(diverged.wanted_after()));
    for mirror in [&same, &diverged] {
        assert_eq!(mirror.since(StoreRevision::NONE), sender.since(StoreRevision::NONE));
    }
}

/// Guards against deleting what its writer is about to write again after a restore.
#[test]
fn items_that_a_restored_store_lacks_are_deleted_only_when_they_expire() {
    let mut mirror = StoreMirror::default();
    let before = [item("a", 6, Some("x")), item("b", 7, Some("y")), item("c", 8, Some("z"))];
    mirror.apply(snapshot(before.to_vec(), 0, 9));
    assert_eq!(mirror.apply(snapshot(Vec::new(), 1, 5)), []);
    assert_eq!((mirror.unconfirmed(), mirror.contains("a")), (3, false));
    let mut rewritten = update(vec![item("a", 6, Some("x"))], 6);
    rewritten.as_of.era = 1;
    mirror.apply(rewritten);
    // The store is restored once more, from a copy without that change.
    assert_eq!(mirror.apply(snapshot(vec![item("b", 5, Some("y"))], 2, 5)).len(), 1);
    assert_eq!(mirror.expire_unconfirmed(), [item("a", 5, None), item("c", 5, None)]);
    assert_eq!(mirror.unconfirmed(), 0);
    assert_eq!(mirror.since(StoreRevision::NONE).items, [item("b", 5, Some("y"))]);
}

#[test]
fn live_hosts_that_do_not_gather_watch_the_store() {
    struct Case {
        hosts: &'static [(u64, u32)],
        zones: usize,
        watchers: &'static [u64],
    }
    let cases = [
        Case { hosts: &[(1, 250), (2, 250), (3, 250)], zones: 3, watchers: &[1] },
        Case { hosts: &[(1, 250), (2, 250), (3, 250)], zones: 1, watchers: &[1, 2] },
        Case { hosts: &[(7, 250)], zones: 1, watchers: &[7] },
        Case { hosts: &[(1, 500), (2, 500), (3, 120)], zones: 3, watchers: &[3] },
        Case {
            hosts: &[(1, 500), (2, 500), (3, 500), (4, 120), (5, 250)],
            zones: 1,
            watchers: &[4, 5],
        },
        Case { hosts: &[(1, 500), (2, 500), (3, 500), (4, 250)], zones: 3, watchers: &[4] },
    ];
    for Case { hosts, zones, watchers } in cases {
        let zone_hosts: Vec<ZoneHost> =
            hosts.iter().map(|(id, capacity)| ZoneHost { id: *id, capacity: *capacity }).collect();
        let ranked = mirror::rank(&zone_hosts);
        let ids = hosts.iter().map(|(id, _)| *id);
        let found = ids.filter(|id| mirror::is_watcher(&ranked, *id, zones));
        assert_eq!(found.collect::<Vec<u64>>(), watchers);
        assert!(!mirror::is_watcher(&ranked, 99, zones), "a host that is leaving does not watch");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Hosts read updates from the store and from each other in any order. Once each has read
    /// from one that has all changes, all mirrors are equal.
    #[test]
    fn all_mirrors_converge(
        changes in proptest::collection::vec((0_u8..6, proptest::bool::ANY), 1..60),
        asks in proptest::collection::vec((0_usize..4, 0_usize..4, 0_usize..60), 0..80),
    ) {
        let history: Vec<MirrorItem> = changes
            .iter()
            .enumerate()
            .map(|(step, (key, present))| {
                let text = format!("{step}");
                item(&format!("k{key}"), step as u64 + 1, present.then_some(text.as_str()))
            })
            .collect();
        let mut hosts = vec![StoreMirror::default(); 4];
        for (from, to, count) in asks {
            if from == to {
                // From the store: the next changes after those that the host has.
                let known = hosts[to].as_of().number as usize;
                let end = (known + count).min(history.len());
                let changes = history[known.min(end)..end].to_vec();
                hosts[to].apply(update(changes, end as u64));
            } else {
                let update = hosts[from].since(hosts[to].as_of());
                hosts[to].apply(update);
            }
        }
        let mut full = StoreMirror::default();
        full.apply(update(history.clone(), history.len() as u64));
        for host in &mut hosts {
            host.apply(full.since(host.as_of()));
            prop_assert_eq!(host.since(StoreRevision::NONE), full.since(StoreRevision::NONE));
        }
    }

    /// The same while the store is restored from copies: hosts that missed a return learn of it
    /// from peers, from a watch that the store cannot continue, or from the era of an answer.
    #[test]
    fn all_mirrors_converge_after_restores(
        steps in proptest::collection::vec((0_u8..12, 0_usize..4, 0_usize..4, 0_usize..40), 1..120),
    ) {
        let mut store = RestoredStore::default();
        let mut hosts = vec![StoreMirror::default(); 4];
        for (step, (kind, from, to, count)) in steps.into_iter().enumerate() {
            match kind {
                0..=4 => store.write(&format!("k{count}"), step, kind > 0),
                5 => store.restore(count),
                6..=8 => store.read_into(&mut hosts[to]),
                _ if from != to => {
                    let update = hosts[from].since(hosts[to].wanted_after());
                    hosts[to].apply(update);
                }
                _ => {}
            }
        }
        for host in &mut hosts {
            store.read_into(host);
            host.expire_unconfirmed();
            let held = host.since(StoreRevision::NONE);
            prop_assert_eq!(&held.items, &store.snapshot().items);
            prop_assert_eq!(held.as_of, store.revision);
        }
    }
}

/// The history of a store that is restored from copies.
#[derive(Default)]
struct RestoredStore {
    revision: StoreRevision,
    history: Vec<MirrorItem>,
}

impl RestoredStore {
    fn write(&mut self, key: &str, step: usize, present: bool) {
        self.revision.number += 1;
        let text = format!("{step}");
        self.history.push(item(key, self.revision.number, present.then_some(text.as_str())));
    }

    /// Loses the last changes.
    fn restore(&mut self, lost: usize) {
        self.history.truncate(self.history.len().saturating_sub(lost));
        let number = self.history.last().map_or(0, |item| item.revision);
        self.revision = StoreRevision::new(self.revision.era + 1, number);
    }

    fn snapshot(&self) -> MirrorUpdate {
        let items: BTreeMap<&str, &MirrorItem> =
            self.history.iter().map(|item| (item.key.as_str(), item)).collect();
        let mut items: Vec<MirrorItem> =
            items.into_values().filter(|item| item.value.is_some()).cloned().collect();
        items.sort_by_key(|item| item.revision);
        MirrorUpdate { items, as_of: self.revision, complete: true, base: None }
    }

    /// Reads as a host does: a watch in the same era, all items otherwise.
    fn read_into(&self, host: &mut StoreMirror) {
        let after = host.as_of();
        if after == StoreRevision::NONE || after.era != self.revision.era {
            host.apply(self.snapshot());
            return;
        }
        let items = self.history.iter().filter(|item| item.revision > after.number);
        let items = items.cloned().collect();
        host.apply(MirrorUpdate { items, as_of: self.revision, ..MirrorUpdate::default() });
    }
}
