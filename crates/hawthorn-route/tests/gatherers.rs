//! Selection of the hosts of a zone that gather queries for the others.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use hawthorn_route::gatherers;
use hawthorn_route::gatherers::GathererOrder;
use hawthorn_route::gatherers::ZoneHost;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Guards against gathering on small hosts while large ones have capacity: a small host takes
/// longer for a query over a hundred shards than its callers wait.
#[test]
fn hosts_gather_as_needed_in_order_of_capacity() {
    struct Case {
        name: &'static str,
        capacities: &'static [u32],
        queries: f64,
        ids: &'static [u64],
    }
    let cases = [
        Case { name: "small zone", capacities: &[250, 250], queries: 40.0, ids: &[0, 1] },
        Case { name: "few queries", capacities: &[250; 5], queries: 1.0, ids: &[0, 1, 2] },
        Case { name: "more queries", capacities: &[250; 5], queries: 35.0, ids: &[0, 1, 2, 3] },
        Case {
            name: "two large hosts",
            capacities: &[120, 500, 120, 500],
            queries: 20.0,
            ids: &[1, 3],
        },
        Case {
            name: "large hosts busy",
            capacities: &[120, 500, 120, 500],
            queries: 42.0,
            ids: &[1, 3, 0],
        },
        Case { name: "all busy", capacities: &[120, 500], queries: 999.0, ids: &[1, 0] },
        Case { name: "capacities unknown", capacities: &[0; 4], queries: 15.0, ids: &[0, 1, 2] },
        Case { name: "no hosts", capacities: &[], queries: 15.0, ids: &[] },
    ];
    for case in cases {
        let hosts = case.capacities.iter().enumerate();
        let hosts: Vec<ZoneHost> =
            hosts.map(|(id, capacity)| ZoneHost { id: id as u64, capacity: *capacity }).collect();
        assert_eq!(gatherers::choose(&hosts, case.queries), case.ids, "{}", case.name);
    }
}

/// Asks as many of the usable gatherers in sequence as there are `queries`.
fn ask(
    order: &mut GathererOrder,
    usable: &[SocketAddr],
    queries: usize,
    rng: &mut StdRng,
) -> Vec<SocketAddr> {
    let asked = (0..queries).map(|_| {
        let selected = order.select(usable, rng).expect("a gatherer is usable");
        order.record(selected);
        selected
    });
    asked.collect()
}

/// Guards against passing over a stalled gatherer: with independent random choices, four queries
/// in sequence miss one of two gatherers in one case of sixteen.
#[test]
fn no_gatherer_is_passed_over() {
    struct Case {
        name: &'static str,
        gatherers: u16,
        /// Gatherers that are suspected for a while, and asked first when they no longer are.
        suspected: &'static [u16],
    }
    let cases = [
        Case { name: "one", gatherers: 1, suspected: &[] },
        Case { name: "two", gatherers: 2, suspected: &[] },
        Case { name: "seven", gatherers: 7, suspected: &[] },
        Case { name: "one of two suspected", gatherers: 2, suspected: &[1] },
        Case { name: "two of four suspected", gatherers: 4, suspected: &[0, 2] },
    ];
    for case in cases {
        let address = |id| SocketAddr::from((Ipv4Addr::LOCALHOST, id));
        let all: Vec<SocketAddr> = (0..case.gatherers).map(address).collect();
        let suspected: BTreeSet<SocketAddr> = case.suspected.iter().copied().map(address).collect();
        for seed in 0..50 {
            let name = format!("{}, seed {seed}", case.name);
            let rng = &mut StdRng::seed_from_u64(seed);
            let mut order = GathererOrder::default();
            let sequence = ask(&mut order, &all, 4 * all.len(), rng);
            for window in sequence.windows(2 * all.len() - 1) {
                assert!(all.iter().all(|gatherer| window.contains(gatherer)), "{name}: {window:?}");
            }
            let usable: Vec<SocketAddr> =
                all.iter().filter(|gatherer| !suspected.contains(gatherer)).copied().collect();
            ask(&mut order, &usable, usable.len(), rng);
            let returned = ask(&mut order, &all, suspected.len(), rng);
            assert_eq!(BTreeSet::from_iter(returned), suspected, "{name}");
        }
    }
    let none = GathererOrder::default().select(&[], &mut StdRng::seed_from_u64(0));
    assert_eq!(none, None);
}
