//! Cold targets, which have just started and tolerate few requests.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use support::TestResult;
use support::route::RouteHost;
use tokio::time::sleep;

/// Requests per second that each cold target tolerates, from all hosts together.
const COLD_RATE: usize = 8;
/// How long the targets stay cold.
const COLD_TIME: Duration = Duration::from_secs(6);

struct ColdFleet {
    store: RouteStore,
    targets: Vec<RouteTarget>,
    hosts: Vec<RouteHost>,
}

/// Two hosts and two cold targets of one service in one zone.
async fn start_fleet() -> TestResult<ColdFleet> {
    let store = RouteStore::start().await?;
    let routes =
        [operator::single("/safe/", "s", "safe"), operator::scatter_gather("/all/", &["s"], 1.0)];
    operator::configure_cold_rate(&store, 3, &routes, &["s"], COLD_RATE as f64);
    let mut targets = Vec::new();
    for id in ["t-1", "t-2"] {
        let target = RouteTarget::start(id, "s").await?;
        operator::register_cold(&store, id, &target, "east", COLD_TIME.as_millis() as f64);
        targets.push(target);
    }
    let first = RouteHost::start("h-1", "east", store.address(), &[])?;
    first.wait_until_ready().await?;
    let second = RouteHost::start("h-2", "east", store.address(), &[&first])?;
    second.wait_until_ready().await?;
    Ok(ColdFleet { store, targets, hosts: vec![first, second] })
}

/// Sends requests to all hosts for `duration`; returns the numbers served and rejected.
async fn send_for(fleet: &ColdFleet, name: &str, duration: Duration) -> TestResult<(usize, usize)> {
    let (mut served, mut rejected) = (0, 0);
    let started = Instant::now();
    for round in 0.. {
        if started.elapsed() >= duration {
            break;
        }
        for (number, host) in fleet.hosts.iter().enumerate() {
            for path in ["/safe/x", "/all/x"] {
                let id = format!("{name}-{round}-{number}-{}", &path[1..4]);
                let answer = host.send("GET", path, &id, "").await?;
                match answer.status {
                    200 => served += 1,
                    503 => {
                        assert!(
                            answer.headers.contains_key("retry-after"),
                            "a rejection carries retry-after"
                        );
                        rejected += 1;
                    }
                    status => return Err(format!("{path}: {status}").into()),
                }
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    Ok((served, rejected))
}

/// Guards against cold targets that receive more requests than they tolerate, or none at all.
#[tokio::test(flavor = "multi_thread")]
async fn cold_targets_receive_at_most_their_rate() -> TestResult {
    let fleet = start_fleet().await?;
    let started = Instant::now();
    let (served, rejected) = send_for(&fleet, "cold", Duration::from_secs(3)).await?;
    let seconds = started.elapsed().as_secs() as usize + 1;
    for target in &fleet.targets {
        let runs = target.all_runs();
        assert!(runs <= COLD_RATE * seconds, "{runs} requests in {seconds} s");
    }
    assert!(served > 0 && rejected > 0, "{served} served, {rejected} rejected");
    sleep(COLD_TIME).await;
    let (served, rejected) = send_for(&fleet, "warm", Duration::from_millis(300)).await?;
    assert!(served > 0 && rejected == 0, "{served} served, {rejected} rejected once warm");
    Ok(())
}

/// A cold target must not receive requests while a warm one is available.
#[tokio::test(flavor = "multi_thread")]
async fn a_warm_target_is_preferred() -> TestResult {
    let fleet = start_fleet().await?;
    let warm = RouteTarget::start("t-3", "s").await?;
    operator::register(&fleet.store, "t-3", &warm, "west");
    sleep(Duration::from_millis(300)).await;
    let (served, rejected) = send_for(&fleet, "warm", Duration::from_millis(500)).await?;
    assert_eq!(rejected, 0);
    assert_eq!(warm.all_runs(), served);
    Ok(())
}

/// An invalid cold time must neither remove a target nor let it pass for warm.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_cold_time_is_ignored() -> TestResult {
    let fleet = start_fleet().await?;
    for cold_ms in [-1.0, 1e12] {
        operator::register_cold(&fleet.store, "t-1", &fleet.targets[0], "east", cold_ms);
    }
    sleep(Duration::from_millis(300)).await;
    let started = Instant::now();
    send_for(&fleet, "cold", Duration::from_secs(1)).await?;
    let (runs, seconds) = (fleet.targets[0].all_runs(), started.elapsed().as_secs() as usize + 1);
    assert!(runs <= COLD_RATE * seconds, "{runs} requests in {seconds} s");
    assert!(fleet.hosts[0].logged("E621") >= 2);
    sleep(COLD_TIME).await;
    // The other target receives no requests once it has been removed.
    operator::remove(&fleet.store, "t-2");
    sleep(Duration::from_secs(2)).await;
    let (served, rejected) = send_for(&fleet, "warm", Duration::from_millis(300)).await?;
    assert_eq!(rejected, 0);
    assert_eq!(fleet.targets[0].all_runs(), runs + served, "the target is still known");
    Ok(())
}
