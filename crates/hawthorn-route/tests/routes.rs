//! Selection of the route of a request, and of a service of a weighted route.

use std::time::Duration;

use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteDocument;
use hawthorn_route::document::RouteRule;
use hawthorn_route::document::WeightedService;
use hawthorn_route::table::RouteTable;
use hawthorn_route::weight::WeightedRoundRobin;

fn rule(host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        homes: None,
        max_attempts: 2,
        exempt: false,
        destination: RouteDestination::Single("s".to_owned()),
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_selected() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let routes = vec![rule("a.example", "/x/"), rule("a.example", "/x/y/"), rule("b.example", "/")];
    let table = RouteTable::new(RouteDocument { routes, ..RouteDocument::default() });
    let cases = [
        Case { host: "a.example", path: "/x/1", route: Some("a.example/x/") },
        Case { host: "a.example", path: "/x/y/1", route: Some("a.example/x/y/") },
        Case { host: "A.Example:8080", path: "/x/y/", route: Some("a.example/x/y/") },
        Case { host: "a.example", path: "/x", route: None },
        Case { host: "a.example", path: "/z/", route: None },
        Case { host: "b.example", path: "/x/", route: Some("b.example/") },
        Case { host: "c.example", path: "/x/", route: None },
        Case { host: "", path: "/x/", route: None },
    ];
    for case in cases {
        let found = table.find(case.host, case.path).map(|route| route.name.as_str());
        assert_eq!(found, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn services_are_selected_in_proportion_to_their_weights() {
    struct Case {
        weights: &'static [f64],
        shares: &'static [usize],
    }
    let cases = [
        Case { weights: &[1.0], shares: &[100] },
        Case { weights: &[3.0, 1.0], shares: &[75, 25] },
        Case { weights: &[0.9, 0.1, 0.0], shares: &[90, 10, 0] },
    ];
    for case in cases {
        let service = |weight: &f64| WeightedService { service: "s".to_owned(), weight: *weight };
        let services: Vec<WeightedService> = case.weights.iter().map(service).collect();
        let mut selector = WeightedRoundRobin::default();
        let mut counts = vec![0; services.len()];
        for _ in 0..100 {
            counts[selector.select(&services).expect("a weight is positive")] += 1;
        }
        assert_eq!(counts, case.shares);
    }
    let zero = [WeightedService { service: "s".to_owned(), weight: 0.0 }];
    assert_eq!(WeightedRoundRobin::default().select(&zero), None);
}
