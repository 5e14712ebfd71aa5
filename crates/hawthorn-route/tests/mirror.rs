//! News of the store's items, by any way and in any order.

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

fn news(items: Vec<MirrorItem>, as_of: u64) -> MirrorUpdate {
    MirrorUpdate { items, as_of, complete: false }
}

/// A slow peer's answer arrives after the store's own watch has brought newer
/// entries. Nothing may go back.
#[test]
fn an_older_item_changes_nothing() {
    let mut mirror = StoreMirror::default();
    assert_eq!(mirror.apply(news(vec![item("a", 5, Some("new"))], 5)).len(), 1);
    assert_eq!(mirror.apply(news(vec![item("a", 4, Some("old"))], 4)), []);
    assert_eq!(mirror.as_of(), 5);
    assert_eq!(mirror.since(0).items, [item("a", 5, Some("new"))]);
}

/// The store forgot its history, and an item was deleted meanwhile: it is
/// missing from the whole reading and from everything told to peers after it.
#[test]
fn what_a_whole_reading_lacks_is_gone() {
    let mut mirror = StoreMirror::default();
    mirror.apply(news(vec![item("a", 1, Some("x")), item("b", 2, Some("y"))], 2));
    let whole = MirrorUpdate { items: vec![item("b", 2, Some("y"))], as_of: 7, complete: true };
    assert_eq!(mirror.apply(whole), [item("a", 7, None)]);
    let mut peer = StoreMirror::default();
    peer.apply(news(vec![item("a", 1, Some("x")), item("b", 2, Some("y"))], 2));
    peer.apply(mirror.since(peer.as_of()));
    for held in [&mirror, &peer] {
        assert_eq!(held.since(0).items, [item("b", 2, Some("y"))]);
    }
}

#[test]
fn live_hosts_of_a_zone_that_do_not_gather_watch_the_store() {
    struct Case {
        hosts: &'static [(u64, u32)],
        zones: usize,
        watch: &'static [u64],
    }
    let cases = [
        Case { hosts: &[(1, 250), (2, 250), (3, 250)], zones: 3, watch: &[1] },
        Case { hosts: &[(1, 250), (2, 250), (3, 250)], zones: 1, watch: &[1, 2] },
        Case { hosts: &[(7, 250)], zones: 1, watch: &[7] },
        Case { hosts: &[(1, 500), (2, 500), (3, 120)], zones: 3, watch: &[3] },
        Case {
            hosts: &[(1, 500), (2, 500), (3, 500), (4, 120), (5, 250)],
            zones: 1,
            watch: &[4, 5],
        },
        Case { hosts: &[(1, 500), (2, 500), (3, 500), (4, 250)], zones: 3, watch: &[4] },
    ];
    for Case { hosts, zones, watch } in cases {
        let all: Vec<ZoneHost> =
            hosts.iter().map(|(id, capacity)| ZoneHost { id: *id, capacity: *capacity }).collect();
        let ranked = mirror::rank(&all);
        let watching = hosts.iter().map(|(id, _)| *id);
        let watching = watching.filter(|id| mirror::is_watcher(&ranked, *id, zones));
        assert_eq!(watching.collect::<Vec<u64>>(), watch);
        assert!(!mirror::is_watcher(&ranked, 99, zones), "a host that leaves watches nothing");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Hosts learn from the store and from each other in any order; once each
    /// has asked one that knows everything, all hold the same.
    #[test]
    fn all_hosts_come_to_hold_the_same(
        changes in proptest::collection::vec((0_u8..6, proptest::bool::ANY), 1..60),
        asks in proptest::collection::vec((0_usize..4, 0_usize..4, 0_usize..60), 0..80),
    ) {
        let history: Vec<MirrorItem> = changes
            .iter()
            .enumerate()
            .map(|(step, (key, there))| {
                let text = format!("{step}");
                item(&format!("k{key}"), step as u64 + 1, there.then_some(text.as_str()))
            })
            .collect();
        let mut hosts = vec![StoreMirror::default(); 4];
        for (from, to, reach) in asks {
            if from == to {
                // From the store: the next few changes after what is known.
                let known = hosts[to].as_of() as usize;
                let end = (known + reach).min(history.len());
                let part = history[known.min(end)..end].to_vec();
                hosts[to].apply(news(part, end as u64));
            } else {
                let told = hosts[from].since(hosts[to].as_of());
                hosts[to].apply(told);
            }
        }
        let mut full = StoreMirror::default();
        full.apply(news(history.clone(), history.len() as u64));
        for host in &mut hosts {
            host.apply(full.since(host.as_of()));
            prop_assert_eq!(host.since(0), full.since(0));
        }
    }
}
