//! Which hosts of a zone gather for the others.

use hawthorn_route::gatherers;
use hawthorn_route::gatherers::ZoneHost;

/// A fleet of many small hosts and a few large ones: a small one takes longer
/// for a query of a hundred shards than its callers wait.
#[test]
fn as_many_gather_as_are_kept_busy_the_most_capable_first() {
    struct Case {
        name: &'static str,
        capacities: &'static [u32],
        queries: f64,
        ids: &'static [u64],
    }
    let cases = [
        Case { name: "a small site", capacities: &[250, 250], queries: 40.0, ids: &[0, 1] },
        Case { name: "few queries", capacities: &[250; 5], queries: 1.0, ids: &[0, 1, 2] },
        Case { name: "more queries", capacities: &[250; 5], queries: 35.0, ids: &[0, 1, 2, 3] },
        Case { name: "two large", capacities: &[120, 500, 120, 500], queries: 20.0, ids: &[1, 3] },
        Case { name: "busy", capacities: &[120, 500, 120, 500], queries: 42.0, ids: &[1, 3, 0] },
        Case { name: "all busy", capacities: &[120, 500], queries: 999.0, ids: &[1, 0] },
        Case { name: "not said", capacities: &[0; 4], queries: 15.0, ids: &[0, 1, 2] },
        Case { name: "nobody", capacities: &[], queries: 15.0, ids: &[] },
    ];
    for case in cases {
        let hosts = case.capacities.iter().enumerate();
        let hosts: Vec<ZoneHost> =
            hosts.map(|(id, capacity)| ZoneHost { id: id as u64, capacity: *capacity }).collect();
        assert_eq!(gatherers::choose(&hosts, case.queries), case.ids, "{}", case.name);
    }
}
