//! The registered targets of a host after updates from the store.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_edge::connection::message::CatalogUpdate;
use hawthorn_edge::process::catalog;
use hawthorn_edge::process::catalog::UpdateOrigin;
use hawthorn_edge::process::catch_up::CatchUpGuard;
use hawthorn_edge::process::clock::host_now;
use hawthorn_edge::process::host::RouteHost;
use hawthorn_edge::process::store_sync;
use hawthorn_edge::settings::RouteSettings;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::packing::ItemValue;
use hawthorn_route::packing::PackedValue;
use hawthorn_route::revision::StoreRevision;
use hawthorn_route::target::TargetPhase;
use hawthorn_standin::route::operator;
use serde_json::json;

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
    let settings = RouteSettings::from_toml(SETTINGS).expect("the settings are valid");
    RouteHost::new(settings).expect("metrics can be set up")
}

fn entry(id: &str, revision: u64, value: &str) -> MirrorItem {
    let value = Some(value.as_bytes().to_vec());
    MirrorItem { key: operator::entry_key(id), revision, value }
}

fn valid_entry(id: &str, revision: u64) -> MirrorItem {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    entry(id, revision, &operator::entry("s", address, "east", "ready"))
}

fn full_read(items: Vec<MirrorItem>, as_of: u64) -> MirrorUpdate {
    MirrorUpdate { items, as_of: StoreRevision::new(0, as_of), complete: true, base: None }
}

fn ready_ids(host: &RouteHost) -> Vec<String> {
    let registry = host.routing.registry.borrow();
    let ready = registry.iter().filter(|(_, state)| state.phase == TargetPhase::Ready);
    let mut ids: Vec<String> = ready.map(|(_, state)| state.entry.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against lost updates after compaction: the store drops its history while a target
/// leaves, and the host reads a full snapshot that lacks the target. The task that follows the
/// store must remove the target and continue; if it ended, the host would never learn of new
/// targets.
#[test]
fn a_target_missing_from_a_second_snapshot_is_removed() {
    let host = host();
    catalog::apply(
        &host,
        full_read(vec![valid_entry("a", 1), valid_entry("b", 2)], 2),
        UpdateOrigin::Store,
    );
    assert_eq!(ready_ids(&host), ["a", "b"]);
    catalog::apply(
        &host,
        full_read(vec![valid_entry("b", 2), valid_entry("c", 5)], 5),
        UpdateOrigin::Store,
    );
    assert_eq!(ready_ids(&host), ["b", "c"]);
}

/// Guards against foreign writes under the targets' keys, by a script or another program:
/// unreadable entries are ignored and the other targets stay.
#[test]
fn unreadable_entries_are_ignored() {
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
            name: "concurrency as text",
            text: r#"{"service":"s","address":"127.0.0.1:9","zone":"z","concurrency":"2","state":"ready"}"#,
        },
        Case {
            name: "an invalid address",
            text: r#"{"service":"s","address":"here","zone":"z","concurrency":2,"state":"ready"}"#,
        },
        Case {
            name: "no service",
            text: r#"{"address":"127.0.0.1:9","zone":"z","concurrency":2,"state":"ready"}"#,
        },
    ];
    for case in cases {
        let host = host();
        let items = vec![valid_entry("a", 1), entry("b", 2, case.text), valid_entry("c", 3)];
        catalog::apply(&host, full_read(items, 3), UpdateOrigin::Store);
        assert_eq!(ready_ids(&host), ["a", "c"], "{}", case.name);
    }
}

/// The configuration of one route to one service.
fn configuration(version: u64, service: &str) -> MirrorItem {
    let document = json!({
        "configVersion": version,
        "routes": [operator::single("/safe/", service, "safe")],
        "services": [{ "name": service, "healthPath": "/health", "maxConnections": 26 }],
    });
    let value = Some(document.to_string().into_bytes());
    MirrorItem { key: "op/config".to_owned(), revision: version, value }
}

/// Guards against retry storms after an operator's mistake: a service that one version lacks, and
/// that is back a second later, would have its whole retry budget again.
#[test]
fn a_service_that_returns_has_spent_its_budget() {
    let host = host();
    // The host's part of the allowance has grown to the whole by then.
    let now = host_now() + Duration::from_secs(100);
    let configure = |version, service, now| {
        catalog::apply(
            &host,
            full_read(vec![configuration(version, service)], version),
            UpdateOrigin::Store,
        );
        host.routing.apply_pending(now);
        host.routing.sweep(now);
    };
    let spend_all = |now| (0..1000).take_while(|_| host.routing.spend("s", now)).count();
    configure(3, "s", now);
    let spent = spend_all(now);
    assert!(spent > 0, "the host has a part of the allowance");
    configure(4, "other", now);
    configure(5, "s", now + Duration::from_secs(1));
    assert_eq!(spend_all(now + Duration::from_secs(1)), 0, "a second later");
    configure(6, "other", now + Duration::from_secs(2));
    configure(7, "s", now + Duration::from_secs(20));
    assert_eq!(spend_all(now + Duration::from_secs(20)), spent, "after its window");
}

/// Guards against a task that ends, and an update that is not requested again, if a value cannot be
/// read.
#[test]
fn an_update_that_cannot_be_read_is_requested_as_a_snapshot() {
    let host = host();
    catalog::apply(&host, full_read(vec![valid_entry("a", 1)], 7), UpdateOrigin::Store);
    let packed = PackedValue { base: Some(6), length: 1, frame: Vec::new() };
    let update = CatalogUpdate {
        items: vec![(operator::entry_key("b"), 8, ItemValue::Packed(packed))],
        as_of: StoreRevision::new(0, 8),
        ..CatalogUpdate::default()
    };
    let peer = SocketAddr::from(([127, 0, 0, 1], 9));
    assert!(!store_sync::apply_from_peer(&host, peer, update, host_now()));
    let mirror = host.mirror.borrow();
    assert_eq!(mirror.as_of(), StoreRevision::new(0, 7));
    assert_eq!(mirror.wanted_after(), StoreRevision::NONE);
}

/// Guards against a host that never catches up again, because the task that did so has ended early.
#[test]
fn a_task_that_ends_early_does_not_prevent_the_next_one() {
    let host = Rc::new(host());
    let task = CatchUpGuard::acquire(&host).expect("no task is catching up");
    assert!(CatchUpGuard::acquire(&host).is_none());
    let ended = std::panic::catch_unwind(AssertUnwindSafe(move || {
        let _task = task;
        panic!("the task ends");
    }));
    assert!(ended.is_err());
    assert!(CatchUpGuard::acquire(&host).is_some());
}
