//! Selection of the hosts of a zone that gather queries for the others.

use hawthorn_route::gatherers;
use hawthorn_route::gatherers::ZoneHost;

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
