//! Requests that crash every target that runs them.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::StoreCopy;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

const SHARDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// How long a target is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(150);
/// Delay between tries, in which targets restart and hosts exchange records.
const RETRY_DELAY: Duration = Duration::from_millis(600);
/// The path and query on which targets crash.
const CRASHING_PATH: &str = "crash?q=1";

/// Two zones with two hosts each, and one target per zone for each of eight shards. Each shard is
/// also a service.
struct CrashFleet {
    store: RouteStore,
    targets: Vec<RouteTarget>,
    hosts: Vec<RouteHost>,
}

async fn start_fleet() -> TestResult<CrashFleet> {
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
        operator::scatter_gather("/all/", &SHARDS, 0.5),
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
    sleep(RETRY_DELAY).await;
    Ok(CrashFleet { store, targets, hosts })
}

impl CrashFleet {
    fn crash_on(&self, path: &str) {
        self.targets.iter().for_each(|target| target.crash_on(path, DOWNTIME));
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
async fn a_request_that_crashes_its_targets_is_quarantined_at_every_host() -> TestResult {
    struct Case {
        route: &'static str,
        /// Maximum crashes: the first attempts, and those until the request is rejected.
        crashes: usize,
    }
    let cases = [
        Case { route: "/all/", crashes: 14 },
        Case { route: "/safe/", crashes: 5 },
        Case { route: "/once/", crashes: 5 },
    ];
    for Case { route, crashes } in cases {
        let fleet = start_fleet().await?;
        let crashing = format!("{route}{CRASHING_PATH}");
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
            sleep(RETRY_DELAY).await;
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

/// A query whose first attempts crashed their targets must not be retried at the replicas of all
/// its shards.
#[tokio::test(flavor = "multi_thread")]
async fn a_fan_out_that_crashes_targets_is_not_retried_at_replicas() -> TestResult {
    let fleet = start_fleet().await?;
    let crashing = format!("/all/{CRASHING_PATH}");
    fleet.crash_on(&crashing);
    fleet.hosts[0].send("GET", &crashing, "crash-0", "").await?;
    // First attempts only: a second one would crash the last target of its shard.
    assert!(fleet.runs("crash-0") <= SHARDS.len(), "{} runs", fleet.runs("crash-0"));
    let answer = fleet.hosts[0].send("GET", "/all/ordinary", "ordinary-0", "").await?;
    assert_eq!(answer.status, 200);
    Ok(())
}

/// Quarantined requests must not be forgotten when all hosts restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_survives_a_restart_of_all_hosts() -> TestResult {
    let mut fleet = start_fleet().await?;
    let crashing = format!("/all/{CRASHING_PATH}");
    fleet.crash_on(&crashing);
    for round in 0..4 {
        fleet.hosts[0].send("GET", &crashing, &format!("crash-{round}"), "").await?;
        sleep(RETRY_DELAY).await;
    }
    let crashes = fleet.crashes();
    // Kill all hosts first, so that no running host can pass the quarantine on to a restarted one.
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

/// Guards against a caller that evades quarantine by varying its requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_varies_its_requests_is_quarantined() -> TestResult {
    for route in ["/all/", "/safe/", "/once/"] {
        let fleet = start_fleet().await?;
        let crashing = format!("{route}crash");
        fleet.crash_on(&crashing);
        let mut reached = 0;
        for round in 0..16 {
            let host = &fleet.hosts[round % fleet.hosts.len()];
            let id = format!("crash-{round}");
            host.send("GET", &format!("{crashing}?q={round}"), &id, "").await?;
            reached += usize::from(fleet.runs(&id) > 0);
            sleep(DOWNTIME * 2).await;
        }
        assert!(reached <= 10, "{route}: {reached} of 16 requests reached targets");
    }
    Ok(())
}

/// A quarantined request must not be forgotten when the store loses its entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_quarantine_entry_is_rewritten() -> TestResult {
    struct Case {
        name: &'static str,
        lose: fn(&RouteStore, &StoreCopy),
        limit: Duration,
    }
    let cases = [
        Case { name: "deleted", lose: delete_quarantine, limit: route::WAIT_TIMEOUT },
        Case { name: "restored", lose: RouteStore::restore, limit: Duration::from_millis(1500) },
    ];
    for case in cases {
        let fleet = start_fleet().await?;
        let copy = fleet.store.copy();
        let crashing = format!("/all/{CRASHING_PATH}");
        fleet.crash_on(&crashing);
        // Each crash counts one strike; the third quarantines the request.
        for round in 0..3 {
            fleet.hosts[0].send("GET", &crashing, &format!("crash-{round}"), "").await?;
            sleep(RETRY_DELAY).await;
        }
        let stored = async || !fleet.store.keys_with_prefix("quarantine/").is_empty();
        route::wait_for("the request to be stored", stored).await?;
        (case.lose)(&fleet.store, &copy);
        let lost = Instant::now();
        route::wait_for("the request to be rewritten", stored).await?;
        assert!(lost.elapsed() < case.limit, "{}: {:?}", case.name, lost.elapsed());
    }
    Ok(())
}

/// Guards against an entry under another holder's lease: its own was granted before a restore of the
/// store, which gave the id out again, so that the entry would end with the other lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_lease_from_before_a_restore_is_replaced() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.store.restore_after_next_lease(fleet.store.copy());
    let crashing = format!("/all/{CRASHING_PATH}");
    fleet.crash_on(&crashing);
    // Each crash counts one strike; the third quarantines the request.
    for round in 0..3 {
        fleet.hosts[0].send("GET", &crashing, &format!("crash-{round}"), "").await?;
        sleep(RETRY_DELAY).await;
    }
    // The first lease is the one that was granted before the restore.
    let replaced = async || {
        let keys = fleet.store.keys_with_prefix("quarantine/");
        keys.iter().any(|key| fleet.store.lease_of(key).is_some_and(|lease| lease > 1))
    };
    route::wait_for("the entry to be written under a lease of its own", replaced).await
}

fn delete_quarantine(store: &RouteStore, _: &StoreCopy) {
    for key in store.keys_with_prefix("quarantine/") {
        store.delete(&key);
    }
}
