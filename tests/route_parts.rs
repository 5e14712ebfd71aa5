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
