//! Updates of the mirror, from any source and in any order.

use hawthorn_route::gatherers::ZoneHost;
use hawthorn_route::mirror;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::mirror::StoreMirror;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;

fn item(key: &str, revision: u64, value: Option<&str>) -> MirrorItem {
    let value = value.map(|text| text.as_bytes().to_vec());
    MirrorItem { key: key.to_owned(), revision, value }
}

fn update(items: Vec<MirrorItem>, as_of: u64) -> MirrorUpdate {
    MirrorUpdate { items, as_of, complete: false }
}

/// Guards against replacing an item with an older revision, when a slow peer's answer arrives
/// after newer items from the store's watch.
#[test]
fn an_older_item_changes_nothing() {
    let mut mirror = StoreMirror::default();
    assert_eq!(mirror.apply(update(vec![item("a", 5, Some("new"))], 5)).len(), 1);
    assert_eq!(mirror.apply(update(vec![item("a", 4, Some("old"))], 4)), []);
    assert_eq!(mirror.as_of(), 5);
    assert_eq!(mirror.since(0).items, [item("a", 5, Some("new"))]);
}

/// Guards against keeping an item that was deleted while the store compacted its history: the
/// item is missing from a snapshot, and must be missing from later updates to peers.
#[test]
fn items_missing_from_a_snapshot_are_deleted() {
    let mut mirror = StoreMirror::default();
    mirror.apply(update(vec![item("a", 1, Some("x")), item("b", 2, Some("y"))], 2));
    let snapshot = MirrorUpdate { items: vec![item("b", 2, Some("y"))], as_of: 7, complete: true };
    assert_eq!(mirror.apply(snapshot), [item("a", 7, None)]);
    let mut peer = StoreMirror::default();
    peer.apply(update(vec![item("a", 1, Some("x")), item("b", 2, Some("y"))], 2));
    peer.apply(mirror.since(peer.as_of()));
    for mirror in [&mirror, &peer] {
        assert_eq!(mirror.since(0).items, [item("b", 2, Some("y"))]);
    }
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
                let known = hosts[to].as_of() as usize;
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
            prop_assert_eq!(host.since(0), full.since(0));
        }
    }
}
