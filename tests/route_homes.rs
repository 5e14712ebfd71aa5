//! Routes whose requests may run only in certain regions, their homes.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::operator;
use support::TestResult;
use support::route;
use support::zones::SHARDS;
use support::zones::ZoneFleet;
use tokio::time::sleep;

async fn start_fleet() -> TestResult<ZoneFleet> {
    let west = |route| operator::with_allowed_regions(route, &["r-west"]);
    let routes = [
        west(operator::scatter_gather("/all/", &SHARDS, 0.7)),
        west(operator::single("/safe/", "a", "safe")),
        west(operator::single("/once/", "a", "unsafe")),
        operator::with_allowed_regions(operator::single("/nowhere/", "a", "safe"), &["r-north"]),
        operator::with_allowed_regions(operator::single("/anywhere/", "a", "safe"), &[]),
    ];
    let fleet = ZoneFleet::start(&routes).await?;
    sleep(Duration::from_millis(500)).await;
    Ok(fleet)
}

/// Guards against requests that run, or whose bodies are sent, outside their home regions.
#[tokio::test(flavor = "multi_thread")]
async fn requests_stay_in_their_home_regions() -> TestResult {
    let fleet = start_fleet().await?;
    for (number, host) in fleet.hosts.iter().enumerate() {
        for round in 0..5 {
            for path in ["/all/x", "/safe/x", "/once/x"] {
                let id = format!("id-{number}-{round}-{}", &path[1..4]);
                let answer = host.send("POST", path, &id, "a body").await?;
                assert_eq!(answer.status, 200, "{path} at host {number}");
            }
        }
    }
    assert_eq!(fleet.targets.runs(0), 0, "requests ran outside their home regions");
    assert!(fleet.targets.runs(1) > 0);
    assert_eq!(
        fleet.hosts[1].logged("E633"),
        0,
        "shards were delegated to a host outside the home regions"
    );
    fleet.hosts[0].send("GET", "/anywhere/x", "any", "").await?;
    assert_eq!(fleet.targets.runs(0), 1, "a route without homes is served near its caller");
    Ok(())
}

/// While no home region has a target, callers must neither wait nor be served in another region.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_while_no_home_has_a_target() -> TestResult {
    let fleet = start_fleet().await?;
    for shard in SHARDS {
        operator::remove(&fleet.store, &format!("t-{shard}-west"));
    }
    // Removed targets are still used for a short time.
    sleep(Duration::from_millis(2000)).await;
    for path in ["/all/x", "/safe/x", "/once/x", "/nowhere/x"] {
        let started = Instant::now();
        let answer = fleet.hosts[0].send("GET", path, &format!("id-{}", &path[1..4]), "").await?;
        assert_eq!(answer.status, 503, "{path}");
        assert!(answer.headers.contains_key("retry-after"), "{path}");
        assert!(started.elapsed() < route::WAIT_TIMEOUT / 20, "{path}: {:?}", started.elapsed());
    }
    assert_eq!(fleet.targets.runs(0), 0);
    Ok(())
}
