//! What a host believes after news from the store.

use std::net::SocketAddr;

use hawthorn_edge::process::catalog;
use hawthorn_edge::process::host::RouteHost;
use hawthorn_edge::settings::RouteSettings;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::target::TargetPhase;
use hawthorn_standin::route::operator;

const SETTINGS: &str = r#"
[host]
name = "a"
zone = "east"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[targets]
beat_ms = 1200
leave_ms = 3000
[stop]
grace_ms = 6000
[budget]
share = 0.2
window_s = 10
allowance = 56
"#;

fn host() -> RouteHost {
    let settings = RouteSettings::from_toml(SETTINGS).expect("the settings are whole");
    RouteHost::new(settings).expect("metrics can be set up")
}

fn entry(id: &str, revision: u64, value: &str) -> MirrorItem {
    let value = Some(value.as_bytes().to_vec());
    MirrorItem { key: operator::entry_key(id), revision, value }
}

fn good(id: &str, revision: u64) -> MirrorItem {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    entry(id, revision, &operator::entry("s", address, "east", "ready"))
}

fn reading(items: Vec<MirrorItem>, as_of: u64) -> MirrorUpdate {
    MirrorUpdate { items, as_of, complete: true }
}

fn ready_ids(host: &RouteHost) -> Vec<String> {
    let registry = host.beliefs.registry.borrow();
    let ready = registry.iter().filter(|(_, state)| state.phase == TargetPhase::Ready);
    let mut ids: Vec<String> = ready.map(|(_, state)| state.entry.id.to_string()).collect();
    ids.sort();
    ids
}

/// The store forgets its history while a target leaves, and the host reads
/// everything anew. The target is missing from that reading, and the duty that
/// follows the store must take it for gone and live on: it once ended there,
/// and a shard's new targets were never heard of.
#[test]
fn a_target_missing_from_a_second_reading_is_gone() {
    let host = host();
    catalog::take(&host, reading(vec![good("a", 1), good("b", 2)], 2));
    assert_eq!(ready_ids(&host), ["a", "b"]);
    catalog::take(&host, reading(vec![good("b", 2), good("c", 5)], 5));
    assert_eq!(ready_ids(&host), ["b", "c"]);
}

/// An operator's script, or another program, writes under the targets' keys.
/// What cannot be read names no target, and the others hold.
#[test]
fn an_entry_that_cannot_be_read_names_no_target() {
    struct Case {
        name: &'static str,
        text: &'static str,
    }
    let cases = [
        Case { name: "not JSON", text: "\u{1}\u{2}" },
        Case { name: "a list", text: "[1, 2]" },
        Case {
            name: "an unknown state",
            text: r#"{"service":"s","address":"127.0.0.1:9","zone":"z","concurrency":2,"state":"lost"}"#,
        },
        Case {
            name: "slots as text",
            text: r#"{"service":"s","address":"127.0.0.1:9","zone":"z","concurrency":"2","state":"ready"}"#,
        },
        Case {
            name: "an address that is none",
            text: r#"{"service":"s","address":"here","zone":"z","concurrency":2,"state":"ready"}"#,
        },
        Case {
            name: "no service",
            text: r#"{"address":"127.0.0.1:9","zone":"z","concurrency":2,"state":"ready"}"#,
        },
    ];
    for case in cases {
        let host = host();
        let items = vec![good("a", 1), entry("b", 2, case.text), good("c", 3)];
        catalog::take(&host, reading(items, 3));
        assert_eq!(ready_ids(&host), ["a", "c"], "{}", case.name);
    }
}
