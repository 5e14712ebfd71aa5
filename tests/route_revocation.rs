//! Real `route` processes whose callers' keys are revoked while they cannot reach the store.

mod support;

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use hawthorn_standin::route::target::TargetFault;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

/// Time within which keys must be revoked.
const WITHIN: Duration = Duration::from_millis(3200);

/// A host, its target, and a store with a customer that has the keys `old` and `new`.
struct KeyedHost {
    store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
}

fn routes() -> [Value; 2] {
    let mut exempt = operator::single("/exempt/", "s", "safe");
    exempt["authExempt"] = json!(true);
    [operator::single("/keyed/", "s", "safe"), exempt]
}

impl KeyedHost {
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        let customers = [operator::customer("shop", &["old", "new"])];
        operator::configure_customers(&store, 3, &routes(), &["s"], &customers);
        operator::register(&store, "t-1", &target, "east");
        let host = RouteHost::start_strict("h-1", "east", store.address(), &[], WITHIN)?;
        host.wait_until_ready().await?;
        Ok(Self { store, target, host })
    }

    /// Revokes the key `old`.
    fn revoke(&self) {
        let customers = [operator::customer("shop", &["new"])];
        operator::configure_customers(&self.store, 4, &routes(), &["s"], &customers);
    }

    async fn status(&self, path: &str, key: &str, id: &str) -> TestResult<u16> {
        Ok(self.host.send_with_key(path, id, key).await?.status)
    }
}

/// Guards against a host that serves a revoked key because its calls to the store, also the pending
/// watch, are never answered, and against one that stops serving what needs no key.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_the_store_refuses_keys() -> TestResult {
    let keyed = KeyedHost::start().await?;
    assert_eq!(keyed.status("/keyed/", "old", "id-1").await?, 200);
    route::wait_for("the host to watch", async || keyed.store.waiting_watches() == 1).await?;
    keyed.store.hang_watchers();
    keyed.revoke();
    sleep(WITHIN).await;
    for key in ["old", "new"] {
        let answer = keyed.host.send_with_key("/keyed/", "id-2", key).await?;
        assert_eq!(answer.status, 503, "{key}");
        assert_eq!(answer.body, b"stale-keys", "{key}");
        let retry_after = answer.headers.get("retry-after").ok_or("no time of the retry")?;
        // The period of the checks and the jitter.
        assert!((0.02..1.45).contains(&retry_after.parse::<f64>()?), "{key}: {retry_after}");
    }
    assert_eq!(keyed.target.runs("id-2"), 0);
    assert_eq!(keyed.status("/exempt/", "old", "id-3").await?, 200);
    assert!(!keyed.host.is_ready().await);
    Ok(())
}

/// Guards against a host that no longer knows a revoked key as such once the version that revoked it
/// is in force, and that asks its callers to retry while it cannot reach the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_the_store_refuses_a_revoked_key_for_good() -> TestResult {
    let keyed = KeyedHost::start().await?;
    keyed.revoke();
    let is_revoked = async || keyed.status("/keyed/", "old", "id-1").await.is_ok_and(|s| s == 401);
    route::wait_for("the key to be revoked", is_revoked).await?;
    keyed.store.set_outage(RouteOutage::Hang);
    sleep(WITHIN).await;
    assert_eq!(keyed.status("/keyed/", "old", "id-2").await?, 401);
    assert_eq!(keyed.status("/keyed/", "never-seen", "id-3").await?, 503);
    assert_eq!(keyed.status("/keyed/", "new", "id-4").await?, 503);
    Ok(())
}

/// Guards against a host that remains stale after the store has returned, and against one that
/// serves a key that was revoked meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_is_current_again_when_the_store_is_back() -> TestResult {
    let keyed = KeyedHost::start().await?;
    keyed.store.set_outage(RouteOutage::Hang);
    route::wait_for("the host to be stale", async || !keyed.host.is_ready().await).await?;
    keyed.revoke();
    assert_eq!(keyed.status("/keyed/", "new", "id-3").await?, 503);
    keyed.store.set_outage(RouteOutage::None);
    keyed.host.wait_until_ready().await?;
    assert_eq!(keyed.status("/keyed/", "old", "id-4").await?, 401);
    assert_eq!(keyed.status("/keyed/", "new", "id-5").await?, 200);
    assert_eq!(keyed.target.runs("id-4"), 0);
    Ok(())
}

/// Guards against a host that takes the state from before its suspension for a current one when it
/// resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_host_refuses_a_revoked_key() -> TestResult {
    let keyed = KeyedHost::start().await?;
    keyed.host.signal(Signal::STOP)?;
    keyed.revoke();
    sleep(WITHIN).await;
    keyed.store.set_outage(RouteOutage::Hang);
    keyed.host.signal(Signal::CONT)?;
    let status = keyed.status("/keyed/", "old", "id-1").await?;
    assert!([401, 503].contains(&status), "{status}");
    assert_eq!(keyed.target.runs("id-1"), 0);
    Ok(())
}

/// Guards against refusals on a calm day: a host keeps its configuration confirmed although
/// nothing changes, with few calls to the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_calm_host_serves_all_keyed_requests() -> TestResult {
    let keyed = KeyedHost::start().await?;
    let before = keyed.store.calls();
    for number in 0..80 {
        let status = keyed.status("/keyed/", "new", &format!("id-{number}")).await?;
        assert_eq!(status, 200, "{number}");
        sleep(Duration::from_millis(100)).await;
    }
    // In 8 s and a little more: a read each 1.2 s, and a watch each 4 s.
    let calls = keyed.store.calls() - before;
    assert!(calls <= 14, "{calls}");
    Ok(())
}

/// A limit that leaves time for reads by way of other hosts.
const RELAYED_WITHIN: Duration = Duration::from_secs(5);

/// A store, a target and several hosts, the first of which is the seed of the others.
struct KeyedFleet {
    store: RouteStore,
    target: RouteTarget,
    hosts: Vec<RouteHost>,
}

impl KeyedFleet {
    async fn start(zones: &[&str]) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        let customers = [operator::customer("shop", &["old", "new"])];
        operator::configure_customers(&store, 3, &routes(), &["s"], &customers);
        operator::register(&store, "t-1", &target, "east");
        let mut hosts: Vec<RouteHost> = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let seeds: Vec<&RouteHost> = hosts.first().into_iter().collect();
            let (name, address) = (format!("h-{index}"), store.address());
            hosts.push(RouteHost::start_strict(&name, zone, address, &seeds, RELAYED_WITHIN)?);
        }
        for host in &hosts {
            host.wait_until_ready().await?;
        }
        // Until membership has settled, each host watches.
        let watches = async || store.waiting_watches() == 2;
        route::wait_for("two hosts to watch", watches).await?;
        Ok(Self { store, target, hosts })
    }

    /// Sends a keyed request to each host every 100 ms.
    async fn assert_served(&self, time: Duration, when: &str) -> TestResult {
        let started = Instant::now();
        while started.elapsed() < time {
            for (index, host) in self.hosts.iter().enumerate() {
                let answer = host.send_with_key("/keyed/", "id-served", "new").await?;
                let elapsed = started.elapsed();
                assert_eq!(answer.status, 200, "{when}, host {index} after {elapsed:?}");
            }
            sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }

    /// Revokes the key `old`, and checks that no host serves it after the limit.
    async fn assert_revoked_in_time(&self, when: &str) -> TestResult {
        let customers = [operator::customer("shop", &["new"])];
        operator::configure_customers(&self.store, 4, &routes(), &["s"], &customers);
        sleep(RELAYED_WITHIN).await;
        for (index, host) in self.hosts.iter().enumerate() {
            let answer = host.send_with_key("/keyed/", "id-revoked", "old").await?;
            assert_eq!(answer.status, 401, "{when}, host {index}: {answer:?}");
        }
        assert_eq!(self.target.runs("id-revoked"), 0, "{when}");
        Ok(())
    }
}

fn address(host: &RouteHost) -> IpAddr {
    host.caller().ip()
}

/// Guards against hosts that each read the store, whose cost would grow with the fleet, and against
/// hosts that become stale because they do not.
#[tokio::test(flavor = "multi_thread")]
async fn the_hosts_of_a_zone_share_its_reads() -> TestResult {
    let fleet = KeyedFleet::start(&["east", "east", "east", "west"]).await?;
    let (started, before) = (Instant::now(), fleet.store.linearizable_reads());
    fleet.assert_served(Duration::from_secs(6), "calm").await?;
    let reads = fleet.store.linearizable_reads() - before;
    // In each of two zones one each 1.2 s, and one at the beginning of the interval.
    let allowed = 2 * (started.elapsed().as_secs_f64() / 1.2 + 1.0) as usize;
    assert!(reads <= allowed, "{reads} of {allowed}");
    Ok(())
}

/// Guards against a host that becomes stale, or serves a revoked key, because its own path to the
/// store hangs while other hosts of its zone are confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn a_watcher_without_the_store_is_confirmed_by_its_zone() -> TestResult {
    let fleet = KeyedFleet::start(&["east", "east", "east"]).await?;
    let hung = *fleet.store.watchers().first().ok_or("two hosts watch")?;
    fleet.store.hang(&[hung]);
    fleet.assert_served(Duration::from_secs(12), "a watcher is cut off").await?;
    fleet.assert_revoked_in_time("a watcher is cut off").await
}

/// Guards against a zone that becomes stale, or serves a revoked key, because none of its hosts can
/// reach the store while another zone can.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_store_is_confirmed_by_another_zone() -> TestResult {
    let fleet = KeyedFleet::start(&["east", "east", "west"]).await?;
    fleet.store.hang(&[address(&fleet.hosts[0]), address(&fleet.hosts[1])]);
    fleet.assert_served(Duration::from_secs(12), "a zone is cut off").await?;
    fleet.assert_revoked_in_time("a zone is cut off").await
}

/// Guards against a restarted host that refuses valid keys although it is ready, and against one
/// that serves a key that was revoked while it was down.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_host_serves_at_once_and_refuses_a_revoked_key() -> TestResult {
    let mut keyed = KeyedHost::start().await?;
    assert_eq!(keyed.status("/keyed/", "old", "id-1").await?, 200);
    keyed.host.kill()?;
    keyed.revoke();
    keyed.host.restart()?;
    keyed.host.wait_until_ready().await?;
    let ready = Instant::now();
    assert_eq!(keyed.status("/keyed/", "old", "id-2").await?, 401);
    assert_eq!(keyed.status("/keyed/", "new", "id-3").await?, 200);
    assert!(ready.elapsed() < Duration::from_secs(1), "{:?}", ready.elapsed());
    assert_eq!(keyed.target.runs("id-2"), 0);
    Ok(())
}

/// Sum of the series of a metric with this label.
fn count(metrics: &str, series: &str, label: &str) -> TestResult<u64> {
    let lines = metrics.lines().filter(|line| line.starts_with(series) && line.contains(label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    Ok(values.collect::<Vec<_>>().first().copied().ok_or("no such series")?)
}

/// Guards against a query that fails, or whose key is not checked, because the peer that it is
/// delegated to is stale. The hosts have different limits, so that only one of them is.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_gatherer_runs_nothing_and_another_one_does() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c"];
    let mut targets = Vec::new();
    for name in names {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        operator::register(&store, &format!("t-{name}"), &target, "west");
        targets.push(target);
    }
    let routes = [operator::scatter_gather("/all/", &names, 1.0)];
    let customers = [operator::customer("shop", &["new"])];
    operator::configure_customers(&store, 3, &routes, &names, &customers);
    let long = Duration::from_secs(60);
    let east = RouteHost::start_strict("h-1", "east", store.address(), &[], long)?;
    let stale = RouteHost::start_strict("h-2", "west", store.address(), &[&east], WITHIN)?;
    let current = RouteHost::start_strict("h-3", "west", store.address(), &[&east], long)?;
    for host in [&east, &stale, &current] {
        host.wait_until_ready().await?;
    }
    let gathered = async || {
        let answer = east.send_with_key("/all/", "id-0", "new").await;
        answer.is_ok()
            && east.logged("zone=west change=up") == 2
            && east.logged("outcome=whole") > 0
    };
    route::wait_for("a peer to gather", gathered).await?;
    store.set_outage(RouteOutage::Hang);
    route::wait_for("one host to be stale", async || stale.logged("E652") > 0).await?;
    let series = "hawthorn_route_attempts_total";
    let before = count(&stale.metrics().await?, series, "end=\"answered\"")?;
    let mut number = 0;
    while east.logged("outcome=stale-keys") < 3 {
        number += 1;
        assert!(number < 200, "no query was delegated to the stale host");
        let answer = east.send_with_key("/all/", &format!("id-{number}"), "new").await?;
        assert_eq!(answer.status, 200, "query {number}");
    }
    assert_eq!(count(&stale.metrics().await?, series, "end=\"answered\"")?, before);
    assert!(current.is_ready().await);
    Ok(())
}

/// Guards against a hedge that is sent with a key that was revoked after the first attempt, and one
/// that is refused without a log line.
#[tokio::test(flavor = "multi_thread")]
async fn a_hedge_is_not_sent_with_a_revoked_key() -> TestResult {
    let keyed = KeyedHost::start().await?;
    let second = RouteTarget::start("t-2", "s").await?;
    operator::register(&keyed.store, "t-2", &second, "east");
    let line = "E620 target-changed: target=t-2";
    route::wait_for(line, async || keyed.host.logged(line) == 1).await?;
    // After an update, the next watch is delayed, and the revocation would arrive after the hedge.
    route::wait_for("the host to watch", async || keyed.store.waiting_watches() == 1).await?;
    for target in [&keyed.target, &second] {
        target.fail_next(&[TargetFault::Slow(Duration::from_secs(1))]);
    }
    let request = async { keyed.status("/keyed/", "old", "id-1").await };
    let revocation = async {
        route::wait_for("the first attempt", async || {
            keyed.target.runs("id-1") + second.runs("id-1") == 1
        })
        .await?;
        keyed.revoke();
        TestResult::Ok(())
    };
    let (status, ()) = tokio::try_join!(request, revocation)?;
    // The first attempt was sent before the revocation.
    assert_eq!(status, 200);
    assert_eq!(keyed.target.runs("id-1") + second.runs("id-1"), 1);
    let line = "end=key-refused";
    route::wait_for("the hedge to be logged", async || keyed.host.logged(line) == 1).await
}

/// Guards against a request that is sent with a key that was revoked while the request waited for a
/// connection to its target.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_revoked_while_a_request_waits_is_not_sent() -> TestResult {
    let keyed = KeyedHost::start().await?;
    let version = |number: u64, keys: &[&str]| {
        let service = json!({ "name": "s", "healthPath": "/health", "maxConnections": 1 });
        let customers = [operator::customer("shop", keys)];
        json!({ "configVersion": number, "routes": routes(), "services": [service],
                "tenants": customers })
    };
    let configure = |document: Value| {
        operator::put_raw_configuration(&keyed.store, document.to_string().as_bytes());
    };
    configure(version(4, &["old", "new"]));
    let line = "customers-in-force: version=4";
    route::wait_for(line, async || keyed.host.logged(line) == 1).await?;
    keyed.target.fail_next(&[TargetFault::Slow(Duration::from_secs(1))]);
    let holder = async {
        assert_eq!(keyed.status("/keyed/", "new", "id-holder").await?, 200);
        TestResult::Ok(())
    };
    let waiting = async {
        sleep(Duration::from_millis(200)).await;
        let status = keyed.status("/keyed/", "old", "id-waiting").await?;
        TestResult::Ok(status)
    };
    let revocation = async {
        sleep(Duration::from_millis(400)).await;
        configure(version(5, &["new"]));
        TestResult::Ok(())
    };
    let ((), status, ()) = tokio::try_join!(holder, waiting, revocation)?;
    assert_eq!(status, 401);
    assert_eq!(keyed.target.runs("id-waiting"), 0);
    let metrics = keyed.host.metrics().await?;
    let cause = "cause=\"revoked-before-sending\"";
    assert_eq!(count(&metrics, "hawthorn_route_key_refusals_total", cause)?, 1);
    let reason = "reason=\"revoked\"";
    assert_eq!(count(&metrics, "hawthorn_route_key_rejections_total", reason)?, 1);
    let line = "end=key-refused";
    route::wait_for("the attempt to be logged", async || keyed.host.logged(line) == 1).await?;
    Ok(())
}
