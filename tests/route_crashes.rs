//! Requests that crash every target that runs them.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

const SHARDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// How long a crashed target is down.
const DOWN: Duration = Duration::from_millis(150);
/// Delay between tries, in which targets restart and hosts exchange records.
const PAUSE: Duration = Duration::from_millis(600);
/// The path and query on which targets crash.
const CRASHING: &str = "crash?q=1";

/// Two zones with two hosts each, and one target per zone for each of eight shards.
/// Each shard is also a service of its own.
struct Fleet {
    store: RouteStore,
    targets: Vec<RouteTarget>,
    hosts: Vec<RouteHost>,
}

async fn fleet() -> TestResult<Fleet> {
    let store = RouteStore::start().await?;
    let mut targets = Vec::new();
    for zone in ["east", "west"] {
        for shard in SHARDS {
            let id = format!("t-{shard}-{zone}");
            let target = RouteTarget::start(&id, shard).await?;
            operator::register(&store, &id, &target, zone);
            targets.push(target);
        }
    }
    let routes = [
        operator::gathered("/all/", &SHARDS, 0.5),
        operator::single("/safe/", "a", "safe"),
        operator::single("/once/", "a", "unsafe"),
    ];
    operator::configure(&store, 3, &routes, &SHARDS);
    let mut hosts = vec![RouteHost::start("h-1", "east", store.address(), &[])?];
    hosts[0].wait_until_ready().await?;
    for (name, zone) in [("h-2", "east"), ("h-3", "west"), ("h-4", "west")] {
        let host = RouteHost::start(name, zone, store.address(), &[&hosts[0]])?;
        host.wait_until_ready().await?;
        hosts.push(host);
    }
    sleep(PAUSE).await;
    Ok(Fleet { store, targets, hosts })
}

impl Fleet {
    fn crash_on(&self, path: &str) {
        self.targets.iter().for_each(|target| target.crash_on(path, DOWN));
    }

    fn crashes(&self) -> usize {
        self.targets.iter().map(RouteTarget::crashes).sum()
    }

    fn runs(&self, id: &str) -> usize {
        self.targets.iter().map(|target| target.runs(id)).sum()
    }
}

/// Guards against a request that is still sent to targets after it has crashed several.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_its_targets_is_refused_by_every_host() -> TestResult {
    struct Case {
        route: &'static str,
        /// The maximum number of crashes: first attempts, and those until it is refused.
        crashes: usize,
    }
    let cases = [
        Case { route: "/all/", crashes: 14 },
        Case { route: "/safe/", crashes: 5 },
        Case { route: "/once/", crashes: 5 },
    ];
    for Case { route, crashes } in cases {
        let fleet = fleet().await?;
        let crashing = format!("{route}{CRASHING}");
        fleet.crash_on(&crashing);
        let mut reached = Vec::new();
        for round in 0..9 {
            let host = &fleet.hosts[round % fleet.hosts.len()];
            let id = format!("crash-{round}");
            let answer = host.send("GET", &crashing, &id, "").await?;
            if fleet.runs(&id) > 0 {
                reached.push(round);
            } else {
                assert_eq!(answer.status, 503, "{route}: try {round} reached no target");
                assert!(answer.headers.contains_key("retry-after"), "{route}: try {round}");
            }
            sleep(PAUSE).await;
            let ordinary = format!("{route}ordinary?q={round}");
            let answer = host.send("GET", &ordinary, &format!("ordinary-{round}"), "").await?;
            assert_eq!(answer.status, 200, "{route}: an ordinary request after try {round}");
        }
        assert!(reached.len() <= 5, "{route}: tries {reached:?} reached targets");
        assert!(reached.iter().all(|round| *round < 6), "{route}: tries {reached:?}");
        let crashed = fleet.crashes();
        assert!(crashed <= crashes, "{route}: {crashed} crashes");
    }
    Ok(())
}

/// Guards against second attempts at all shards of a query whose first attempts crashed
/// their targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_fan_out_whose_targets_crash_spares_their_replicas() -> TestResult {
    let fleet = fleet().await?;
    let crashing = format!("/all/{CRASHING}");
    fleet.crash_on(&crashing);
    fleet.hosts[0].send("GET", &crashing, "crash-0", "").await?;
    // The first attempts: a second one would crash the last target of its shard.
    assert!(fleet.runs("crash-0") <= SHARDS.len(), "{} runs", fleet.runs("crash-0"));
    let answer = fleet.hosts[0].send("GET", "/all/ordinary", "ordinary-0", "").await?;
    assert_eq!(answer.status, 200);
    Ok(())
}

/// Guards against the loss of refusals when all hosts restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_refused_after_all_hosts_restart() -> TestResult {
    let mut fleet = fleet().await?;
    let crashing = format!("/all/{CRASHING}");
    fleet.crash_on(&crashing);
    for round in 0..4 {
        fleet.hosts[0].send("GET", &crashing, &format!("crash-{round}"), "").await?;
        sleep(PAUSE).await;
    }
    let crashes = fleet.crashes();
    // No running host may pass the refusal on to a restarted one.
    for host in &mut fleet.hosts {
        host.kill()?;
    }
    for host in &mut fleet.hosts {
        host.restart()?;
    }
    for host in &fleet.hosts {
        host.wait_until_ready().await?;
        let answer = host.send("GET", &crashing, "crash-again", "").await?;
        assert_eq!(answer.status, 503);
        let after: f64 = answer.headers["retry-after"].parse()?;
        assert!((300.0..=600.0).contains(&after), "retry-after is {after} s");
    }
    assert_eq!(fleet.crashes(), crashes);
    let answer = fleet.hosts[0].send("GET", "/all/ordinary", "ordinary-0", "").await?;
    assert_eq!(answer.status, 200);
    Ok(())
}

/// Guards against a caller that avoids refusal by varying its requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_varies_its_requests_is_refused() -> TestResult {
    for route in ["/all/", "/safe/", "/once/"] {
        let fleet = fleet().await?;
        let crashing = format!("{route}crash");
        fleet.crash_on(&crashing);
        let mut reached = 0;
        for round in 0..16 {
            let host = &fleet.hosts[round % fleet.hosts.len()];
            let id = format!("crash-{round}");
            host.send("GET", &format!("{crashing}?q={round}"), &id, "").await?;
            reached += usize::from(fleet.runs(&id) > 0);
            sleep(DOWN * 2).await;
        }
        assert!(reached <= 10, "{route}: {reached} of 16 requests reached targets");
    }
    Ok(())
}

/// Guards against the loss of a refused request whose entry disappears from the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_deleted_entry_of_a_refused_request_is_rewritten() -> TestResult {
    let fleet = fleet().await?;
    let crashing = format!("/all/{CRASHING}");
    fleet.crash_on(&crashing);
    // One strike each: the third one refuses the request.
    for round in 0..3 {
        fleet.hosts[0].send("GET", &crashing, &format!("crash-{round}"), "").await?;
        sleep(PAUSE).await;
    }
    let stored = async || !fleet.store.keys_with_prefix("quarantine/").is_empty();
    route::wait_for("the request to be stored", stored).await?;
    for key in fleet.store.keys_with_prefix("quarantine/") {
        fleet.store.delete(&key);
    }
    route::wait_for("the request to be rewritten", stored).await
}
