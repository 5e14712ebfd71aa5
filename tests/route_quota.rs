//! Quotas of customers, with real `route` processes.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

const KEY: &str = "key-1";
const RATE: f64 = 10.0;
const BURST: f64 = 10.0;
const WINDOW: Duration = Duration::from_secs(5);
/// Requests that may run in a window, with the settings of `start_with_quota`.
const LIMIT: f64 = (RATE * 5.0 + BURST) * 1.1 + 20.0;

struct QuotaFleet {
    store: RouteStore,
    target: RouteTarget,
    hosts: Vec<RouteHost>,
}

/// Three hosts in two zones and one target.
async fn start_fleet() -> TestResult<QuotaFleet> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    let customers = [
        operator::limited_customer("shop", KEY, RATE, BURST),
        operator::customer("free", &["key-2"]),
    ];
    let routes = [operator::single("/safe/", "s", "safe")];
    operator::configure_customers(&store, 3, &routes, &["s"], &customers);
    let mut hosts: Vec<RouteHost> = Vec::new();
    for (name, zone) in [("h-1", "east"), ("h-2", "east"), ("h-3", "west")] {
        let seeds: Vec<&RouteHost> = hosts.first().into_iter().collect();
        let host = RouteHost::start_with_quota(name, zone, store.address(), &seeds)?;
        host.wait_until_ready().await?;
        hosts.push(host);
    }
    let claimed = |slot: u32| {
        let text = format!("slot={slot} revision=0 outcome=done");
        hosts.iter().any(|host| host.logged(&text) > 0)
    };
    route::wait_for("both slots to be claimed", async || claimed(0) && claimed(1)).await?;
    Ok(QuotaFleet { store, target, hosts })
}

/// The requests that a flood of callers sent.
#[derive(Debug, Default)]
struct Flood {
    /// When each request that ran was answered.
    served: Vec<Instant>,
    over_quota: usize,
    no_quota: usize,
}

/// Sends requests to some hosts, about 60 a second to each.
async fn flood(hosts: &[&RouteHost], duration: Duration) -> TestResult<Flood> {
    let mut flood = Flood::default();
    let started = Instant::now();
    while started.elapsed() < duration {
        for host in hosts {
            let answer = route::send_with_key(host.caller(), "/safe/x", KEY).await?;
            let has_retry_after = answer.headers.contains_key("retry-after");
            match answer.status {
                200 => flood.served.push(Instant::now()),
                429 => flood.over_quota += 1,
                503 if answer.body == b"no-quota" => flood.no_quota += 1,
                status => return Err(format!("status {status}").into()),
            }
            assert!(answer.status == 200 || has_retry_after, "a refusal carries retry-after");
        }
        sleep(Duration::from_millis(10)).await;
    }
    Ok(flood)
}

/// Fails if more requests ran in any window than the limit.
fn check_windows(served: &[Instant]) {
    for (index, at) in served.iter().enumerate() {
        let count = served[index..].iter().take_while(|other| **other < *at + WINDOW).count();
        assert!(count as f64 <= LIMIT, "{count} requests in a window, limit {LIMIT}");
    }
}

/// Guards against hosts that each grant the whole quota, and against serving less than the quota.
#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_together_stay_within_a_quota() -> TestResult {
    let fleet = start_fleet().await?;
    let hosts: Vec<&RouteHost> = fleet.hosts.iter().collect();
    let duration = Duration::from_secs(9);
    let flood = flood(&hosts, duration).await?;
    check_windows(&flood.served);
    assert!(flood.over_quota > 0);
    assert_eq!(flood.no_quota, 0);
    let count = flood.served.len();
    assert!(count as f64 >= RATE * duration.as_secs_f64(), "{count} requests served");
    assert_eq!(fleet.target.all_runs(), count, "a request that was refused did not run");
    let metrics = fleet.hosts[0].metrics().await?;
    assert!(metrics.contains("hawthorn_route_quota_tokens_total"), "{metrics}");
    for _ in 0..50 {
        let answer = route::send_with_key(hosts[0].caller(), "/safe/x", "key-2").await?;
        assert_eq!(answer.status, 200, "a customer without a quota needs no token");
    }
    Ok(())
}

/// Guards against an outage of a customer when a holder is killed, and against a new holder that
/// grants again what the killed one had granted.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_is_replaced_within_the_limit() -> TestResult {
    let mut fleet = start_fleet().await?;
    let mut served = Vec::new();
    for round in 0..3 {
        let hosts: Vec<&RouteHost> = fleet.hosts.iter().collect();
        served.extend(flood(&hosts, Duration::from_secs(2)).await?.served);
        let killed = if round == 1 { 2 } else { 0 };
        fleet.hosts[killed].kill()?;
        let before = served.len();
        let others: Vec<&RouteHost> =
            (0..3).filter(|index| *index != killed).map(|index| &fleet.hosts[index]).collect();
        served.extend(flood(&others, Duration::from_secs(1)).await?.served);
        assert!(served.len() > before, "the other holder serves");
        fleet.hosts[killed].restart()?;
        fleet.hosts[killed].wait_until_ready().await?;
    }
    check_windows(&served);
    let claimed = fleet.hosts[0].logged("kind=claim start=");
    assert!(claimed > 1, "a restarted holder claims its slot again");
    Ok(())
}

/// Guards against refusing all requests, or serving without a limit, while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn holders_serve_without_the_store() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.store.set_outage(RouteOutage::Unavailable);
    let hosts: Vec<&RouteHost> = fleet.hosts.iter().collect();
    let flood = flood(&hosts, Duration::from_secs(8)).await?;
    check_windows(&flood.served);
    let count = flood.served.len();
    assert!(count as f64 >= RATE * 8.0, "{count} requests served");
    Ok(())
}

/// Guards against running requests without a token when no holder is reachable.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_reachable_holder_requests_are_refused() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    let customers = [operator::limited_customer("shop", KEY, RATE, BURST)];
    let routes = [operator::single("/safe/", "s", "safe")];
    for slot in 0..2 {
        operator::put_quota_holder(&store, slot, "127.0.0.1:1".parse()?);
    }
    operator::configure_customers(&store, 3, &routes, &["s"], &customers);
    let host = RouteHost::start_with_quota("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    let flood = flood(&[&host], Duration::from_secs(2)).await?;
    assert_eq!(flood.served.len(), 0);
    assert!(flood.no_quota > 0);
    assert_eq!(target.all_runs(), 0);
    Ok(())
}

/// Guards against calls to the store for quotas that nobody has.
#[tokio::test(flavor = "multi_thread")]
async fn without_quotas_no_slot_is_claimed() -> TestResult {
    let store = RouteStore::start().await?;
    let routes = [operator::single("/safe/", "s", "safe")];
    operator::configure_customers(&store, 3, &routes, &["s"], &[operator::customer("a", &["k"])]);
    let host = RouteHost::start_with_quota("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(host.logged("E654"), 0);
    Ok(())
}
