//! Versions that hosts pass to each other as differences, while the store does not answer the reader.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use rustix::process::Signal;
use serde_json::Value;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

/// Time within which a version is in force on a host.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Interval at which a host is asked for the new route.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without faults after which a host must have each version in time.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time after which a host has begun its next watch.
const WATCH_DELAY: Duration = Duration::from_millis(400);
/// Number of routes with which hosts send differences of a version.
const ROUTES: u64 = 60;

/// Writes a version with one route of its own.
fn configure(store: &RouteStore, version: u64) {
    let mut routes: Vec<Value> = Vec::new();
    for number in 0..ROUTES {
        let name: String = route::random_words(number, 8).collect();
        routes.push(operator::single(&format!("/{name}/"), "s", "safe"));
    }
    routes.push(operator::single(&path(version), "s", "safe"));
    operator::configure(store, version, &routes, &["s"]);
}

fn path(version: u64) -> String {
    format!("/v{version}/")
}

/// The time from now until a host serves the route of a version.
async fn applied_after(host: &RouteHost, version: u64) -> TestResult<Duration> {
    let started = Instant::now();
    while started.elapsed() < route::WAIT_TIMEOUT {
        let answer = host.send("GET", &path(version), "id", "").await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Ok(started.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    let mut lines = host.log_lines();
    lines.retain(|line| !line.contains("E660"));
    Err(format!("version {version} is not in force: {lines:#?}").into())
}

/// Hosts of three zones. The reader has versions 2 and 3, the sender 1 and 3; the store answers
/// neither, and the third host is suspended.
struct SkippedVersion {
    store: RouteStore,
    _target: RouteTarget,
    relay: RouteHost,
    _sender: RouteHost,
    reader: RouteHost,
    /// The time after which the reader had version 3.
    applied_after: Duration,
}

impl SkippedVersion {
    async fn play() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        operator::register(&store, "t-1", &target, "west");
        configure(&store, 1);
        let relay = RouteHost::start("h-north", "north", store.address(), &[])?;
        let sender = RouteHost::start("h-west", "west", store.address(), &[&relay])?;
        for host in [&relay, &sender] {
            host.wait_until_ready().await?;
        }
        route::wait_for("both to watch", async || store.watchers().len() == 2).await?;
        store.hang(&[sender.caller().ip()]);
        sender.signal(Signal::STOP)?;
        configure(&store, 2);
        let reader = RouteHost::start("h-east", "east", store.address(), &[&relay, &sender])?;
        applied_after(&relay, 2).await?;
        applied_after(&reader, 2).await?;
        reader.wait_until_ready().await?;
        store.hang(&[sender.caller().ip(), reader.caller().ip()]);
        reader.signal(Signal::STOP)?;
        configure(&store, 3);
        applied_after(&relay, 3).await?;
        // The sender receives version 3 as a difference from version 1.
        sender.signal(Signal::CONT)?;
        applied_after(&sender, 3).await?;
        relay.signal(Signal::STOP)?;
        reader.signal(Signal::CONT)?;
        let applied_after = applied_after(&reader, 3).await?;
        println!("version 3: {applied_after:?}");
        Ok(Self { store, _target: target, relay, _sender: sender, reader, applied_after })
    }
}

/// Guards against a host that fetches no version from others after one that it could not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_follows_others_that_skipped_its_version() -> TestResult {
    let SkippedVersion { reader, applied_after, .. } = &SkippedVersion::play().await?;
    let lines = reader.log_lines();
    assert!(*applied_after < APPLY_LIMIT, "in force after {applied_after:?}: {lines:#?}");
    assert_eq!(reader.logged("duty-failed"), 0, "{lines:#?}");
    Ok(())
}

/// Guards against a difference from a value that the reader never had.
#[tokio::test(flavor = "multi_thread")]
async fn a_difference_is_from_a_value_that_the_reader_holds() -> TestResult {
    let SkippedVersion { reader, .. } = &SkippedVersion::play().await?;
    assert_eq!(reader.logged("peer-message-broken"), 0, "{:#?}", reader.log_lines());
    Ok(())
}

/// Guards against a host that depends on its own watch alone after an update that it could not read:
/// the answer to a watch is lost, and reads that may be old do not show it.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_in_touch_has_each_version_in_time() -> TestResult {
    let SkippedVersion { store, relay, reader, .. } = &SkippedVersion::play().await?;
    relay.signal(Signal::CONT)?;
    store.hang(&[]);
    let address = reader.caller().ip();
    sleep(CALM_TIME).await;
    configure(store, 4);
    applied_after(reader, 4).await?;
    sleep(WATCH_DELAY).await;
    // Calls that were never answered count as watches, too.
    let watches = || store.watchers().into_iter().filter(|watcher| *watcher == address).count();
    let waiting = watches();
    store.set_stale_reads(Some(store.copy()));
    store.hang(&[address]);
    configure(store, 5);
    route::wait_for("the answer to the watch", async || watches() < waiting).await?;
    store.hang(&[]);
    let time = applied_after(reader, 5).await?;
    println!("version 5: {time:?}");
    assert!(time < APPLY_LIMIT, "version 5 after {time:?}: {:#?}", reader.log_lines());
    Ok(())
}
