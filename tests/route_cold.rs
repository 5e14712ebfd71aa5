//! Targets that have just started and tolerate few requests.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use support::TestResult;
use support::route::RouteHost;
use tokio::time::sleep;

/// Requests a second that each cold target tolerates, from all hosts together.
const RATE: usize = 8;
/// How long the targets stay cold.
const COLD: Duration = Duration::from_secs(6);

struct Fleet {
    store: RouteStore,
    targets: Vec<RouteTarget>,
    hosts: Vec<RouteHost>,
}

/// Two hosts and two cold targets of one service in one zone.
async fn fleet() -> TestResult<Fleet> {
    let store = RouteStore::start().await?;
    let routes =
        [operator::single("/safe/", "s", "safe"), operator::gathered("/all/", &["s"], 1.0)];
    operator::configure_cold(&store, 3, &routes, &["s"], RATE as f64);
    let mut targets = Vec::new();
    for id in ["t-1", "t-2"] {
        let target = RouteTarget::start(id, "s").await?;
        operator::register_cold(&store, id, &target, "east", COLD.as_millis() as f64);
        targets.push(target);
    }
    let first = RouteHost::start("h-1", "east", store.address(), &[])?;
    first.wait_until_ready().await?;
    let second = RouteHost::start("h-2", "east", store.address(), &[&first])?;
    second.wait_until_ready().await?;
    Ok(Fleet { store, targets, hosts: vec![first, second] })
}

/// Asks all hosts again and again for so long; returns the numbers served and refused.
async fn press(fleet: &Fleet, name: &str, time: Duration) -> TestResult<(usize, usize)> {
    let (mut served, mut refused) = (0, 0);
    let begun = Instant::now();
    for round in 0.. {
        if begun.elapsed() >= time {
            break;
        }
        for (number, host) in fleet.hosts.iter().enumerate() {
            for path in ["/safe/x", "/all/x"] {
                let id = format!("{name}-{round}-{number}-{}", &path[1..4]);
                let answer = host.send("GET", path, &id, "").await?;
                match answer.status {
                    200 => served += 1,
                    503 => {
                        assert!(answer.headers.contains_key("retry-after"), "when to come back");
                        refused += 1;
                    }
                    status => return Err(format!("{path}: {status}").into()),
                }
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    Ok((served, refused))
}

/// Guards against cold targets that receive more than they tolerate, or nothing at all.
#[tokio::test(flavor = "multi_thread")]
async fn cold_targets_receive_what_they_tolerate_and_no_more() -> TestResult {
    let fleet = fleet().await?;
    let begun = Instant::now();
    let (served, refused) = press(&fleet, "cold", Duration::from_secs(3)).await?;
    let seconds = begun.elapsed().as_secs() as usize + 1;
    for target in &fleet.targets {
        let runs = target.all_runs();
        assert!(runs <= RATE * seconds, "{runs} requests in {seconds} s");
    }
    assert!(served > 0 && refused > 0, "{served} served, {refused} refused");
    sleep(COLD).await;
    let (served, refused) = press(&fleet, "warm", Duration::from_millis(300)).await?;
    assert!(served > 0 && refused == 0, "{served} served, {refused} refused once warm");
    Ok(())
}

/// Guards against a cold target that receives requests which a warm one could.
#[tokio::test(flavor = "multi_thread")]
async fn a_warm_target_goes_first() -> TestResult {
    let fleet = fleet().await?;
    let warm = RouteTarget::start("t-3", "s").await?;
    operator::register(&fleet.store, "t-3", &warm, "west");
    sleep(Duration::from_millis(300)).await;
    let (served, refused) = press(&fleet, "warm", Duration::from_millis(500)).await?;
    assert_eq!(refused, 0);
    assert_eq!(warm.all_runs(), served);
    Ok(())
}

/// Guards against a target that is lost, or taken for warm, because of a time that makes no
/// sense.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_time_that_makes_no_sense_changes_nothing() -> TestResult {
    let fleet = fleet().await?;
    for cold_ms in [-1.0, 1e12] {
        operator::register_cold(&fleet.store, "t-1", &fleet.targets[0], "east", cold_ms);
    }
    sleep(Duration::from_millis(300)).await;
    let begun = Instant::now();
    press(&fleet, "cold", Duration::from_secs(1)).await?;
    let (runs, seconds) = (fleet.targets[0].all_runs(), begun.elapsed().as_secs() as usize + 1);
    assert!(runs <= RATE * seconds, "{runs} requests in {seconds} s");
    assert!(fleet.hosts[0].logged("E621") >= 2);
    sleep(COLD).await;
    // The other target is used no more once it has left.
    operator::remove(&fleet.store, "t-2");
    sleep(Duration::from_secs(2)).await;
    let (served, refused) = press(&fleet, "warm", Duration::from_millis(300)).await?;
    assert_eq!(refused, 0);
    assert_eq!(fleet.targets[0].all_runs(), runs + served, "the target is still known");
    Ok(())
}
