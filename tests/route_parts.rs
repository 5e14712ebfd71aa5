//! Queries whose parts are gathered by several hosts.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use support::TestResult;
use support::route;
use support::route::RouteHost;

/// Hosts that gather in two zones each lack no more parts than the answer may omit, but together
/// they lack more. Without a wait for these parts, the query would end with 502 at its target
/// latency.
#[tokio::test(flavor = "multi_thread")]
async fn parts_missing_at_several_peers_are_awaited() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut targets = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        let zone = if index < 4 { "west" } else { "south" };
        operator::register(&store, &format!("t-{name}"), &target, zone);
        targets.push(target);
    }
    operator::configure(&store, 3, &[operator::scatter_gather("/all/", &names, 0.75)], &names);
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    let south = RouteHost::start("h-3", "south", store.address(), &[&east])?;
    for host in [&east, &west, &south] {
        host.wait_until_ready().await?;
    }
    let gathered = async || {
        let answer = east.send("GET", "/all/", "id-0", "").await;
        let by = |zone: &str| east.logged(&format!("zone={zone} shards=4 decision=delegated"));
        answer.is_ok() && by("west") > 0 && by("south") > 0
    };
    route::wait_for("peers of both zones to gather", gathered).await?;
    // The target latency is 400 ms, the timeout 1.5 s, and two of eight parts may be missing.
    for index in [0, 1, 4, 5] {
        targets[index].fail_always(Some(TargetFault::Slow(Duration::from_millis(700))));
    }
    let answer = east.send("GET", "/all/", "id-1", "").await?;
    assert_eq!(answer.status, 200);
    let missing: usize = answer.headers[headers::MISSING_PARTS].parse()?;
    assert!(missing <= 2, "{missing} parts are missing");
    let receipts = answer.headers[headers::PART_RECEIPTS].split(", ").count();
    assert_eq!(receipts + missing, names.len());
    for target in &targets {
        assert_eq!(target.runs("id-1"), 1);
    }
    Ok(())
}

/// Guards against a shard that is given up after the rejections of other shards, while a peer's
/// parts are on their way: they show that targets run the query, and permit further attempts.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_part_is_retried_once_a_peer_has_replied() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let mut rejecting = Vec::new();
    let mut others = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let zone = if index < 3 { "east" } else { "west" };
        for copy in 1..=2 {
            let id = format!("t-{name}{copy}");
            let target = RouteTarget::start(&id, name).await?;
            operator::register(&store, &id, &target, zone);
            if zone == "east" && id != "t-c2" {
                rejecting.push(target);
            } else {
                // The peer replies after all rejections.
                let slow = Duration::from_millis(if zone == "west" { 100 } else { 0 });
                target.fail_always(Some(TargetFault::Slow(slow)));
                others.push(target);
            }
        }
    }
    operator::configure(&store, 3, &[operator::scatter_gather("/all/", &names, 0.5)], &names);
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    for host in [&east, &west] {
        host.wait_until_ready().await?;
    }
    let gathered = async || {
        let answer = east.send("GET", "/all/", "id-0", "").await;
        answer.is_ok() && east.logged("zone=west shards=4 decision=delegated") > 0
    };
    route::wait_for("the peer to gather", gathered).await?;
    // Either target of shard c may be tried first.
    for round in 0..8 {
        rejecting.iter().for_each(|target| target.fail_always(Some(TargetFault::Rejected)));
        let id = format!("id-{}", round + 1);
        let answer = east.send("GET", "/all/", &id, "").await?;
        assert_eq!(answer.status, 200, "{id}");
        let receipts = &answer.headers[headers::PART_RECEIPTS];
        assert!(receipts.contains("t-c2."), "{id}: {receipts}");
        // The host forgets the rejections.
        rejecting.iter().for_each(|target| target.fail_always(None));
        for repeat in 0..4 {
            east.send("GET", "/all/", &format!("calm-{round}-{repeat}"), "").await?;
        }
    }
    Ok(())
}
