//! Evacuated zones, and what their targets and callers see.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use hawthorn_standin::route::target::TargetFault;
use support::TestResult;
use support::route;
use support::zones::SHARDS;
use support::zones::ZONES;
use support::zones::ZoneFleet;
use tokio::time::sleep;

/// Time within which hosts apply a change, well below the limit of 5 s.
const APPLY_TIME: Duration = Duration::from_millis(500);

async fn start_fleet() -> TestResult<ZoneFleet> {
    let routes = [
        operator::scatter_gather("/all/", &SHARDS, 0.7),
        operator::single("/safe/", "a", "safe"),
        operator::single("/once/", "a", "unsafe"),
    ];
    ZoneFleet::start(&routes).await
}

impl ZoneFleet {
    /// Sends a request for each route to each host; returns the statuses.
    async fn send_to_all(&self, name: &str) -> TestResult<Vec<u16>> {
        let mut statuses = Vec::new();
        for (number, host) in self.hosts.iter().enumerate() {
            for path in ["/all/x", "/safe/x", "/once/x"] {
                let id = format!("{name}-{number}-{}", &path[1..4]);
                statuses.push(host.send("GET", path, &id, "").await?.status);
            }
        }
        Ok(statuses)
    }

    async fn wait_for_log(&self, text: &str, count: usize) -> TestResult {
        route::wait_for(text, async || self.hosts.iter().all(|host| host.logged(text) >= count))
            .await
    }
}

/// The targets of an evacuated zone must receive no requests, while its hosts still serve their
/// callers.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_an_evacuated_zone_receive_nothing_until_it_ends() -> TestResult {
    let fleet = start_fleet().await?;
    operator::evacuate(&fleet.store, "east");
    fleet.wait_for_log("change=begun", 1).await?;
    let before = fleet.targets.runs(0);
    for round in 0..5 {
        let statuses = fleet.send_to_all(&format!("during-{round}")).await?;
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    }
    assert_eq!(fleet.targets.runs(0), before, "requests reached the evacuated zone");
    assert!(fleet.hosts[0].is_ready().await, "the zone's host continues to serve");
    operator::end_evacuation(&fleet.store, "east");
    fleet.wait_for_log("change=ended", 1).await?;
    fleet.send_to_all("after").await?;
    assert!(fleet.targets.runs(0) > before, "the zone's targets receive requests again");
    Ok(())
}

/// Guards against callers that wait for an answer although no target may be used.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_while_all_zones_are_evacuated() -> TestResult {
    let fleet = start_fleet().await?;
    ZONES.iter().for_each(|zone| operator::evacuate(&fleet.store, zone));
    fleet.wait_for_log("change=begun", 2).await?;
    let before = fleet.targets.runs(0) + fleet.targets.runs(1);
    for (number, path) in ["/all/x", "/safe/x", "/once/x"].into_iter().enumerate() {
        let sent = std::time::Instant::now();
        let answer = fleet.hosts[0].send("GET", path, &format!("id-{number}"), "").await?;
        assert_eq!(answer.status, 503, "{path}");
        assert!(answer.headers.contains_key("retry-after"), "{path}: no retry-after");
        assert!(sent.elapsed() < Duration::from_millis(200), "{path}: {:?}", sent.elapsed());
    }
    assert_eq!(fleet.targets.runs(0) + fleet.targets.runs(1), before);
    assert!(fleet.hosts[0].is_ready().await, "the host stays ready, as no other host could serve");
    Ok(())
}

/// Guards against an evacuation that is never applied, or never ended, because of how or when it
/// was written.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_evacuations_keep_the_last_valid_state() -> TestResult {
    struct Case {
        name: &'static str,
        write: fn(&RouteStore),
        evacuated: bool,
    }
    let cases = [
        Case {
            name: "not an object",
            write: |store| operator::put_raw_evacuation(store, "east", b"[1]"),
            evacuated: false,
        },
        Case {
            name: "an unknown zone",
            write: |store| operator::evacuate(store, "north"),
            evacuated: false,
        },
        Case {
            name: "written and removed at once",
            write: |store| {
                operator::evacuate(store, "east");
                operator::end_evacuation(store, "east");
            },
            evacuated: false,
        },
        Case {
            name: "read in full after a compaction",
            write: |store| {
                operator::evacuate(store, "east");
                store.compact();
            },
            evacuated: true,
        },
        Case {
            name: "overwritten with other bytes",
            write: |store| operator::put_raw_evacuation(store, "east", b"\x01"),
            evacuated: true,
        },
    ];
    let fleet = start_fleet().await?;
    for case in cases {
        (case.write)(&fleet.store);
        sleep(APPLY_TIME).await;
        let before = fleet.targets.runs(0);
        let statuses = fleet.send_to_all(case.name).await?;
        assert!(statuses.iter().all(|status| *status == 200), "{}: {statuses:?}", case.name);
        assert_eq!(fleet.targets.runs(0) == before, case.evacuated, "{}", case.name);
    }
    assert!(fleet.hosts[0].logged("E625") >= 2, "unreadable evacuations are logged");
    Ok(())
}

/// A host must not miss an evacuation that was written while it could not reach the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_applies_an_evacuation_that_it_missed() -> TestResult {
    let fleet = start_fleet().await?;
    fleet.store.set_outage(RouteOutage::Hang);
    sleep(APPLY_TIME).await;
    operator::evacuate(&fleet.store, "east");
    fleet.store.compact();
    fleet.store.set_outage(RouteOutage::None);
    fleet.wait_for_log("change=begun", 1).await?;
    let before = fleet.targets.runs(0);
    fleet.send_to_all("after").await?;
    assert_eq!(fleet.targets.runs(0), before);
    Ok(())
}

/// A request that waits for a connection to a slow target must not be sent there after its zone has
/// been evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests_are_not_sent_to_an_evacuated_zone() -> TestResult {
    let fleet = start_fleet().await?;
    let slow = TargetFault::Slow(Duration::from_millis(700));
    fleet.targets.iter().for_each(|target| target.fail_always(Some(slow)));
    let host = &fleet.hosts[0];
    let requests = (0..60).map(|number| {
        let id = format!("waiting-{number}");
        async move { host.send("GET", "/once/x", &id, "").await }
    });
    let evacuation = async {
        sleep(Duration::from_millis(150)).await;
        operator::evacuate(&fleet.store, "east");
        fleet.wait_for_log("change=begun", 1).await?;
        sleep(Duration::from_millis(50)).await;
        TestResult::Ok(fleet.targets.runs(0))
    };
    let (answers, evacuated) = futures::join!(futures::future::join_all(requests), evacuation);
    let before = evacuated?;
    assert!(answers.into_iter().all(|answer| answer.is_ok()));
    // Runs are counted when they start, so that the count includes all requests sent before the
    // evacuation.
    assert_eq!(fleet.targets.runs(0), before);
    Ok(())
}
