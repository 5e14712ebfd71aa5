//! Queries whose parts are gathered by several hosts.

mod support;

use std::collections::HashMap;
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

/// Two hosts, and two targets of each shard in the zone of one of them.
struct CopiedShards {
    _store: RouteStore,
    /// Keyed by id: the shard's name and the number of the copy.
    targets: HashMap<String, RouteTarget>,
    east: RouteHost,
    _west: RouteHost,
}

impl CopiedShards {
    /// Starts them, and waits until the host in the west gathers the shards of its zone.
    async fn start(east_shards: &[&str], west_shards: &[&str], share: f64) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let mut targets = HashMap::new();
        for (zone, shards) in [("east", east_shards), ("west", west_shards)] {
            for name in shards {
                for copy in 1..=2 {
                    let id = format!("{name}{copy}");
                    let target = RouteTarget::start(&id, name).await?;
                    operator::register(&store, &id, &target, zone);
                    targets.insert(id, target);
                }
            }
        }
        let names = [east_shards, west_shards].concat();
        operator::configure(&store, 3, &[operator::scatter_gather("/all/", &names, share)], &names);
        let east = RouteHost::start("h-1", "east", store.address(), &[])?;
        let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
        for host in [&east, &west] {
            host.wait_until_ready().await?;
        }
        let delegated = format!("zone=west shards={} decision=delegated", west_shards.len());
        let gathered = async || {
            let answer = east.send("GET", "/all/", "id-0", "").await;
            answer.is_ok() && east.logged(&delegated) > 0
        };
        route::wait_for("the peer to gather", gathered).await?;
        Ok(Self { _store: store, targets, east, _west: west })
    }

    /// Injects a fault into every request to these targets.
    fn fail(&self, ids: &[&str], fault: TargetFault) {
        ids.iter().for_each(|id| self.targets[*id].fail_always(Some(fault)));
    }

    /// Ends all faults, and sends queries until the hosts have forgotten them.
    async fn recover(&self, round: usize) -> TestResult {
        self.targets.values().for_each(|target| target.fail_always(None));
        for repeat in 0..4 {
            self.east.send("GET", "/all/", &format!("calm-{round}-{repeat}"), "").await?;
        }
        Ok(())
    }
}

/// Guards against a shard that is given up after the rejections of other shards, while a peer's
/// parts are on their way: they show that targets run the query, and permit further attempts.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_part_is_retried_once_a_peer_has_replied() -> TestResult {
    let shards = CopiedShards::start(&["a", "b", "c"], &["d", "e", "f", "g"], 0.5).await?;
    // Either target of shard c may be tried first.
    for round in 0..8 {
        shards.fail(&["a1", "a2", "b1", "b2", "c1"], TargetFault::Rejected);
        // The peer replies after all rejections.
        let slow = TargetFault::Slow(Duration::from_millis(100));
        shards.fail(&["d1", "d2", "e1", "e2", "f1", "f2", "g1", "g2"], slow);
        let id = format!("id-{}", round + 1);
        let answer = shards.east.send("GET", "/all/", &id, "").await?;
        assert_eq!(answer.status, 200, "{id}");
        let receipts = &answer.headers[headers::PART_RECEIPTS];
        assert!(receipts.contains("c2."), "{id}: {receipts}");
        shards.recover(round).await?;
    }
    Ok(())
}

/// Guards against a shard that is given up while only the remainder of a peer's parts is awaited,
/// which shows as well as a first reply that targets run the query.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_part_is_retried_once_a_remainder_has_arrived() -> TestResult {
    // Four parts are needed: one from the east, and the three that the peer has not got when it
    // replies first.
    let shards = CopiedShards::start(&["a", "b", "c", "d"], &["e", "f", "g"], 0.57).await?;
    // Either target of shard d may be tried first.
    for round in 0..8 {
        shards.fail(&["a1", "a2", "b1", "b2", "c1", "c2"], TargetFault::Rejected);
        shards.fail(&["d1"], TargetFault::RejectedAfter(Duration::from_millis(550)));
        let slow = TargetFault::Slow(Duration::from_millis(700));
        shards.fail(&["e1", "e2", "f1", "f2", "g1", "g2"], slow);
        let id = format!("id-{}", round + 1);
        let answer = shards.east.send("GET", "/all/", &id, "").await?;
        assert_eq!(answer.status, 200, "{id}");
        let receipts = &answer.headers[headers::PART_RECEIPTS];
        assert!(receipts.contains("d2."), "{id}: {receipts}");
        shards.recover(round).await?;
    }
    Ok(())
}
