//! Real `route` processes against stand-ins of the platform's store and targets: what callers see
//! when targets, the store or hosts fail.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use hawthorn_standin::route::target;
use hawthorn_standin::route::target::TargetFault;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// One host, two targets of a service, and routes to them.
struct TargetPair {
    store: RouteStore,
    first: RouteTarget,
    second: RouteTarget,
    host: RouteHost,
}

async fn start_pair() -> TestResult<TargetPair> {
    let store = RouteStore::start().await?;
    let first = RouteTarget::start("t-1", "s").await?;
    let second = RouteTarget::start("t-2", "s").await?;
    let routes =
        [operator::single("/safe/", "s", "safe"), operator::single("/once/", "s", "unsafe")];
    operator::configure(&store, 3, &routes, &["s"]);
    operator::register(&store, "t-1", &first, "east");
    operator::register(&store, "t-2", &second, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    Ok(TargetPair { store, first, second, host })
}

impl TargetPair {
    fn fail_always(&self, fault: Option<TargetFault>) {
        self.first.fail_always(fault);
        self.second.fail_always(fault);
    }

    fn runs(&self, id: &str) -> usize {
        self.first.runs(id) + self.second.runs(id)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_forwarded_and_answered_unchanged() -> TestResult {
    let pair = start_pair().await?;
    let answer = pair.host.send("POST", "/safe/a%20b?x=1&y=%2F", "id-1", "the body").await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, target::records("s"));
    assert!(answer.headers[headers::RECEIPT].ends_with(".id-1"));
    let mut seen = pair.first.requests();
    seen.extend(pair.second.requests());
    let expected = ("POST".to_owned(), "/safe/a%20b?x=1&y=%2F".to_owned(), b"the body".to_vec());
    assert_eq!(seen, [expected]);
    assert_eq!(pair.host.send("GET", "/none/", "id-2", "").await?.status, 404);
    Ok(())
}

/// One target or both fail, in each of the ways that targets do. An idempotent request is retried
/// at the other target. A non-idempotent one runs at most once, and is reported as not run (503)
/// only if it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn each_target_failure_yields_an_accurate_status() -> TestResult {
    struct Case {
        name: &'static str,
        fault: TargetFault,
        /// Statuses of an idempotent request when one target has the fault, and when both do.
        idempotent: (u16, u16),
        /// Status of a non-idempotent request when both targets have the fault.
        non_idempotent: u16,
        non_idempotent_runs: usize,
    }
    let slow = TargetFault::Slow(Duration::from_millis(50));
    let cases = [
        Case {
            name: "rejected",
            fault: TargetFault::Rejected,
            idempotent: (200, 503),
            non_idempotent: 503,
            non_idempotent_runs: 0,
        },
        Case {
            name: "connection broken",
            fault: TargetFault::Disconnect,
            idempotent: (200, 502),
            non_idempotent: 502,
            non_idempotent_runs: 1,
        },
        Case {
            name: "truncated answer",
            fault: TargetFault::Truncated,
            idempotent: (200, 502),
            non_idempotent: 502,
            non_idempotent_runs: 1,
        },
        Case {
            name: "answer to another request",
            fault: TargetFault::WrongAttemptId,
            idempotent: (200, 502),
            non_idempotent: 502,
            non_idempotent_runs: 1,
        },
        Case {
            name: "server error",
            fault: TargetFault::ServerError,
            idempotent: (200, 500),
            non_idempotent: 500,
            non_idempotent_runs: 1,
        },
        Case {
            name: "no length",
            fault: TargetFault::NoContentLength,
            idempotent: (200, 200),
            non_idempotent: 200,
            non_idempotent_runs: 1,
        },
        Case {
            name: "answered twice",
            fault: TargetFault::DuplicateAnswer,
            idempotent: (200, 200),
            non_idempotent: 200,
            non_idempotent_runs: 1,
        },
        Case {
            name: "slow",
            fault: slow,
            idempotent: (200, 200),
            non_idempotent: 200,
            non_idempotent_runs: 1,
        },
        Case {
            name: "no answer",
            fault: TargetFault::NoAnswer,
            idempotent: (200, 504),
            non_idempotent: 504,
            non_idempotent_runs: 1,
        },
    ];
    for case in cases {
        let pair = start_pair().await?;
        pair.first.fail_always(Some(case.fault));
        for round in 0..2 {
            let answer = pair.host.send("GET", "/safe/", &format!("one-{round}"), "").await?;
            let reason = String::from_utf8_lossy(&answer.body);
            let name = case.name;
            assert_eq!(answer.status, case.idempotent.0, "{name}: one target fails: {reason}");
        }
        pair.fail_always(Some(case.fault));
        let answer = pair.host.send("GET", "/safe/", "both", "").await?;
        assert_eq!(answer.status, case.idempotent.1, "{}: both fail", case.name);
        let answer = pair.host.send("POST", "/once/", "once", "").await?;
        assert_eq!(answer.status, case.non_idempotent, "{}: may run once", case.name);
        assert_eq!(pair.runs("once"), case.non_idempotent_runs, "{}: runs", case.name);
        assert_eq!(answer.status == 503, answer.headers.contains_key("retry-after"));
        if answer.status == 200 {
            assert_eq!(answer.body, target::records("s"), "{}", case.name);
        }
    }
    Ok(())
}

/// Guards against a promise that the host cannot keep: a target answers 503 without stating that it
/// did not run the request, and its caller would repeat a request that may run once.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_of_a_target_promises_nothing_by_itself() -> TestResult {
    for status in [408, 429, 503] {
        let pair = start_pair().await?;
        pair.fail_always(Some(TargetFault::RanWithStatus(status)));
        let answer = pair.host.send("POST", "/once/", "once", "").await?;
        assert_eq!((answer.status, pair.runs("once")), (502, 1), "{status}: may run once");
        assert!(
            !answer.headers.contains_key(headers::RECEIPT),
            "{status}: another status's receipt"
        );
        let answer = pair.host.send("GET", "/safe/", "safe", "").await?;
        assert_eq!(answer.status, status, "{status}: may be repeated");
        assert!(answer.headers.contains_key(headers::RECEIPT), "{status}: may be repeated");
    }
    Ok(())
}

/// Guards against a request that all its targets have rejected and that is held until its deadline:
/// it is known not to have run, and its caller could repeat it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_all_targets_reject_is_refused_at_once() -> TestResult {
    let store = RouteStore::start().await?;
    let routes = [
        operator::single("/safe/", "s", "safe"),
        operator::single("/once/", "s", "unsafe"),
        operator::scatter_gather("/all/", &["s"], 1.0),
    ];
    operator::configure(&store, 3, &routes, &["s"]);
    let mut targets = Vec::new();
    for id in ["t-1", "t-2", "t-3", "t-4", "t-5"] {
        let target = RouteTarget::start(id, "s").await?;
        target.fail_always(Some(TargetFault::Rejected));
        operator::register(&store, id, &target, "east");
        targets.push(target);
    }
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    for (method, path) in [("GET", "/safe/"), ("POST", "/once/"), ("GET", "/all/")] {
        let started = Instant::now();
        let answer = host.send(method, path, "id-1", "").await?;
        assert_eq!(answer.status, 503, "{path}");
        assert!(answer.headers.contains_key("retry-after"), "{path}");
        // The deadline is 1.5 s.
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(500), "{path}: refused after {elapsed:?}");
    }
    Ok(())
}

/// A host is stopped while a request runs. The request must be answered, the answer closes the
/// connection, and the process exits within its grace period.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_interrupts_no_request() -> TestResult {
    let mut pair = start_pair().await?;
    pair.fail_always(Some(TargetFault::Slow(Duration::from_millis(600))));
    let mut idle = TcpStream::connect(pair.host.caller()).await?;
    let mut stream = TcpStream::connect(pair.host.caller()).await?;
    stream.write_all(&route::request("POST", "/once/", "id-1", "x")).await?;
    sleep(Duration::from_millis(100)).await;
    pair.host.signal(Signal::TERM)?;
    sleep(Duration::from_millis(50)).await;
    assert!(!pair.host.is_ready().await);
    // A caller may still use a connection that was opened before the stop.
    idle.write_all(&route::request("POST", "/once/", "id-2", "x")).await?;
    for (stream, id) in [(&mut stream, "id-1"), (&mut idle, "id-2")] {
        let answer = route::read_answer(stream).await?;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close");
        assert_eq!(pair.runs(id), 1);
    }
    for _ in 0..120 {
        if pair.host.has_ended() {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err("the host did not exit within its grace period".into())
}

/// Guards against a SIGHUP, which operators send after a change of settings, that ends the process
/// instead of reloading them.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_reloads_settings_without_ending_the_process() -> TestResult {
    let pair = start_pair().await?;
    pair.host.signal(Signal::HUP)?;
    let logged = async || pair.host.logged("settings-reloaded: outcome=accepted") == 1;
    route::wait_for("the settings to be read again", logged).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-1", "").await?.status, 200);
    Ok(())
}

/// SIGHUP applies a reduced retry budget without a restart: no retries are made from then on.
/// Invalid settings are rejected.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_applies_a_new_budget() -> TestResult {
    let pair = start_pair().await?;
    pair.fail_always(Some(TargetFault::ServerError));
    pair.host.send("GET", "/safe/", "id-1", "").await?;
    assert_eq!(pair.runs("id-1"), 2);
    pair.host.change_settings("share = 0.2", "share = 0.0")?;
    pair.host.change_settings("allowance = 20000", "allowance = 0")?;
    pair.host.signal(Signal::HUP)?;
    let logged = async || pair.host.logged("settings-reloaded: outcome=accepted") == 1;
    route::wait_for("the settings to be read again", logged).await?;
    pair.host.send("GET", "/safe/", "id-2", "").await?;
    assert_eq!(pair.runs("id-2"), 1);
    pair.host.change_settings("share = 0.0", "share = \"much\"")?;
    pair.host.signal(Signal::HUP)?;
    let rejected = async || pair.host.logged("settings-reloaded: outcome=refused") == 1;
    route::wait_for("the settings to be rejected", rejected).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-3", "").await?.status, 500);
    Ok(())
}

/// Operators can disable hedged requests by SIGHUP while callers are served, for failures in which
/// they add load without helping. Settings with a mistyped key are rejected and change nothing.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_applies_a_new_policy() -> TestResult {
    let pair = start_pair().await?;
    pair.fail_always(Some(TargetFault::Slow(Duration::from_millis(600))));
    pair.host.send("GET", "/safe/", "id-1", "").await?;
    assert_eq!(pair.runs("id-1"), 2);
    let off = "[policy.second_attempts]\non = false\n[budget]";
    pair.host.change_settings("[budget]", off)?;
    pair.host.signal(Signal::HUP)?;
    let accepted = "settings-reloaded: outcome=accepted policy=second_attempts.on=0";
    let logged = async || pair.host.logged(accepted) == 1;
    route::wait_for("the policy to be read again", logged).await?;
    pair.host.send("GET", "/safe/", "id-2", "").await?;
    assert_eq!(pair.runs("id-2"), 1);
    pair.host.change_settings("on = false", "of = true")?;
    pair.host.signal(Signal::HUP)?;
    let rejected = async || pair.host.logged("settings-reloaded: outcome=refused") == 1;
    route::wait_for("the policy to be rejected", rejected).await?;
    pair.host.send("GET", "/safe/", "id-3", "").await?;
    assert_eq!(pair.runs("id-3"), 1);
    Ok(())
}

/// A host whose metrics port is used by another program logs it and serves without metrics.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_without_its_metrics_port() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/a/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let taken = route::READY_PORT;
    let host = RouteHost::start_with_metrics_port("h-1", "east", store.address(), &[], taken)?;
    host.wait_until_ready().await?;
    assert_eq!(host.send("GET", "/a/", "id-1", "").await?.status, 200);
    let logged = async || host.logged("duty=metrics") == 1;
    route::wait_for("the metrics failure to be logged", logged).await
}

/// Guards against refusing the first requests after a start as too old: the host has not been idle
/// since, and was taken for busy since the machine was switched on.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_request_after_a_start_is_not_refused() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/a/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    for round in 0..20 {
        let host = RouteHost::start("h-1", "east", store.address(), &[])?;
        let started = Instant::now();
        while !host.is_ready().await {
            assert!(started.elapsed() < route::WAIT_TIMEOUT, "round {round}: not ready");
        }
        let answer = host.send("GET", "/a/", &format!("id-{round}"), "").await?;
        let reason = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, 200, "round {round}: {reason}");
    }
    Ok(())
}

/// The work of a request must be cancelled, not run on, once its caller closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_its_work() -> TestResult {
    let pair = start_pair().await?;
    pair.fail_always(Some(TargetFault::Slow(Duration::from_secs(20))));
    let mut stream = TcpStream::connect(pair.host.caller()).await?;
    stream.write_all(&route::request("GET", "/safe/", "id-1", "")).await?;
    let runs = async || pair.runs("id-1") > 0;
    route::wait_for("the request to run", runs).await?;
    drop(stream);
    let cancelled = async || pair.first.cancelled() + pair.second.cancelled() == pair.runs("id-1");
    route::wait_for("the work to be cancelled", cancelled).await
}

/// A target ends and its address is reassigned to a target of another service, which the host does
/// not know yet. That target must not run the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_reassigned_address_runs_no_request() -> TestResult {
    let pair = start_pair().await?;
    let address = pair.first.address();
    pair.first.end();
    sleep(Duration::from_millis(50)).await;
    let other = RouteTarget::start_at("t-9", "other", address).await?;
    for round in 0..6 {
        let answer = pair.host.send("POST", "/once/", &format!("id-{round}"), "").await?;
        assert_eq!(answer.status, 200, "request {round}");
    }
    assert_eq!(other.all_runs(), 0);
    assert_eq!(pair.second.all_runs(), 6);
    Ok(())
}

/// A target is registered as draining; new requests go to the other target at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_receives_no_new_work() -> TestResult {
    let pair = start_pair().await?;
    operator::drain(&pair.store, "t-1", &pair.first, "east");
    let logged = async || pair.host.logged("target=t-1 change=draining") == 1;
    route::wait_for("the host to log the change", logged).await?;
    for round in 0..10 {
        assert_eq!(pair.host.send("GET", "/safe/", &format!("id-{round}"), "").await?.status, 200);
    }
    assert_eq!(pair.first.all_runs(), 0);
    Ok(())
}

/// Guards against requests to a target that has been draining for longer than it continues to serve:
/// a host that has just started does not know since when it does.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_drains_before_the_start_receives_nothing() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    operator::drain(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    assert_eq!(host.send("GET", "/safe/", "id-1", "").await?.status, 503);
    assert_eq!(target.all_runs(), 0);
    Ok(())
}

/// Guards against an unnoticed end of the task that reads the store, when the store compacts its
/// history between two watches while a target is removed and a version is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_compacted_store_is_read_again() -> TestResult {
    let pair = start_pair().await?;
    pair.store.set_outage(RouteOutage::Unavailable);
    operator::remove(&pair.store, "t-1");
    let routes = [operator::single("/new/", "s", "safe")];
    operator::configure(&pair.store, 9, &routes, &["s"]);
    pair.store.compact();
    let lost = async || pair.host.logged("store-lost") > 0;
    route::wait_for("the host to log the lost store", lost).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-1", "").await?.status, 200);
    pair.store.set_outage(RouteOutage::None);
    let logged = async || pair.host.logged("target=t-1 change=removed") == 1;
    route::wait_for("the host to log the removed target", logged).await?;
    // The watch that was pending when the outage began may have reported one change but not the
    // other.
    let routed = async || {
        let answer = pair.host.send("GET", "/new/", "id-2", "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    route::wait_for("the version to be in force", routed).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-3", "").await?.status, 404);
    Ok(())
}

/// An older version that is written after a newer one must never be applied.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_version_is_never_applied() -> TestResult {
    let pair = start_pair().await?;
    operator::configure(&pair.store, 2, &[operator::single("/old/", "s", "safe")], &["s"]);
    operator::put_raw_entry(&pair.store, "other", b"{}");
    let logged = async || pair.host.logged("entry-broken: id=other") == 1;
    route::wait_for("the host to log the later entry", logged).await?;
    assert_eq!(pair.host.send("GET", "/old/", "id-1", "").await?.status, 404);
    assert_eq!(pair.host.send("GET", "/safe/", "id-2", "").await?.status, 200);
    Ok(())
}

/// A host that starts while the store is unavailable loads the configuration from a live peer and
/// serves. Without a peer it knows no routes, and must answer 503 rather than 404.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_without_the_store_loads_from_a_peer() -> TestResult {
    let pair = start_pair().await?;
    pair.store.set_outage(RouteOutage::Hang);
    let alone = RouteHost::start("h-2", "east", pair.store.address(), &[])?;
    let answered = async || alone.send("GET", "/safe/", "id-1", "").await.is_ok();
    route::wait_for("the host to listen", answered).await?;
    let answer = alone.send("GET", "/safe/", "id-2", "").await?;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!alone.is_ready().await);
    for (name, zone) in [("h-3", "east"), ("h-4", "west")] {
        let joined = RouteHost::start(name, zone, pair.store.address(), &[&pair.host])?;
        joined.wait_until_ready().await?;
        assert_eq!(joined.send("GET", "/safe/", "id-3", "").await?.status, 200, "{zone}");
    }
    Ok(())
}

/// The store accepts the watches of the hosts that watch for a zone but never answers them, while
/// it serves other calls. Unless it is detected before the watches time out, the zone stays on an
/// older version for that long.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_whose_watches_stall_reads_the_store_again() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/a/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let first = RouteHost::start("h-1", "east", store.address(), &[])?;
    first.wait_until_ready().await?;
    let mut hosts = vec![first];
    for name in ["h-2", "h-3"] {
        let joined = RouteHost::start(name, "east", store.address(), &[&hosts[0]])?;
        joined.wait_until_ready().await?;
        hosts.push(joined);
    }
    // Two hosts of a zone watch; the third host's watch, from before it knew the others, ends by
    // itself.
    let settled = async || store.waiting_watches() == 2;
    route::wait_for("two hosts to watch", settled).await?;
    store.hang_watchers();
    operator::configure(&store, 5, &[operator::single("/b/", "s", "safe")], &["s"]);
    let written = Instant::now();
    for host in &hosts {
        let routed = async || {
            let answer = host.send("GET", "/b/", "id-1", "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        };
        route::wait_for("the version to be in force", routed).await?;
    }
    assert!(written.elapsed() < Duration::from_secs(3), "{:?}", written.elapsed());
    Ok(())
}

/// Guards against a host that keeps an older version, and reports it as confirmed, because the link
/// of the host that watches the store for its zone has no capacity for the update.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_source_has_no_capacity_reads_the_store() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    route::configure_large(&store, 1);
    let hosts = route::start_on_narrow_links(&store).await?;
    // The first two versions take the capacity of all links.
    for version in 2..=4 {
        route::configure_large(&store, version);
        let written = Instant::now();
        let path = format!("/v{version}/7/");
        for host in &hosts {
            let routed = async || {
                let answer = host.send("GET", &path, "id-1", "").await;
                answer.is_ok_and(|answer| answer.status == 200)
            };
            route::wait_for("the version to be in force", routed).await?;
        }
        let elapsed = written.elapsed();
        assert!(elapsed < Duration::from_secs(5), "version {version}: {elapsed:?}");
    }
    Ok(())
}

/// Scatter-gather over shards in two zones, with hosts in both. The answer holds the greatest
/// records of all parts, with one receipt for each part, whether a peer gathers some of them, has
/// just been killed, or a shard has no target.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_over_shards_in_two_zones_is_complete() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut targets = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        let zone = if index < 2 { "east" } else { "west" };
        operator::register(&store, &format!("t-{name}"), &target, zone);
        targets.push(target);
    }
    let routes = [operator::scatter_gather("/all/", &names, 0.8)];
    operator::configure(&store, 3, &routes, &names);
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    east.wait_until_ready().await?;
    west.wait_until_ready().await?;
    let joined = async || east.logged("host=h-2 zone=west change=up") == 1;
    route::wait_for("the hosts to know each other", joined).await?;
    sleep(Duration::from_millis(500)).await;

    let mut records: Vec<Vec<u8>> = names
        .iter()
        .flat_map(|name| {
            target::records(name).chunks_exact(16).map(<[u8]>::to_vec).collect::<Vec<_>>()
        })
        .collect();
    records.sort_by(|a, b| b.cmp(a));
    for round in 0..5 {
        let id = format!("id-{round}");
        let answer = east.send("GET", "/all/", &id, "").await?;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers[headers::MISSING_PARTS], "0");
        assert_eq!(answer.body, records[..4].concat());
        let mut receipts: Vec<&str> = answer.headers[headers::PART_RECEIPTS].split(", ").collect();
        receipts.sort_unstable();
        let expected: Vec<String> = names.iter().map(|name| format!("t-{name}.{id}")).collect();
        assert_eq!(receipts, expected);
    }
    let delegated = async || east.logged("decision=delegated outcome=whole") > 0;
    route::wait_for("the delegation to be logged", delegated).await?;
    drop(west);
    targets.pop();
    let answered = async || {
        let answer = east.send("GET", "/all/", "id-9", "").await;
        answer.is_ok_and(|answer| {
            answer.status == 200 && answer.headers[headers::MISSING_PARTS] == "1"
        })
    };
    route::wait_for("queries to be answered without the peer and the shard", answered).await
}

/// Four shards with one target each, all in zone `west`, and a route that requires all of them; a
/// front in zone `east`, and hosts in zone `west` that gather for it.
struct RemoteFleet {
    _store: RouteStore,
    targets: Vec<RouteTarget>,
    east: RouteHost,
    west: Vec<RouteHost>,
}

impl RemoteFleet {
    /// Starts the fleet and waits until the front knows all hosts.
    async fn start(peers: &[&str]) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let names = ["a", "b", "c", "d"];
        let mut targets = Vec::new();
        for name in names {
            let target = RouteTarget::start(&format!("t-{name}"), name).await?;
            operator::register(&store, &format!("t-{name}"), &target, "west");
            targets.push(target);
        }
        operator::configure(&store, 3, &[operator::scatter_gather("/all/", &names, 1.0)], &names);
        let east = RouteHost::start("h-1", "east", store.address(), &[])?;
        let west = peers
            .iter()
            .map(|name| RouteHost::start(name, "west", store.address(), &[&east]))
            .collect::<TestResult<Vec<_>>>()?;
        east.wait_until_ready().await?;
        for host in &west {
            host.wait_until_ready().await?;
        }
        let joined = async || east.logged("zone=west change=up") == west.len();
        route::wait_for("the hosts to know each other", joined).await?;
        Ok(Self { _store: store, targets, east, west })
    }

    /// Waits until a peer has gathered another query.
    async fn wait_for_delegation(&self) -> TestResult {
        let before = self.east.logged("outcome=whole");
        let delegated = async || {
            let answer = self.east.send("GET", "/all/", "id-0", "").await;
            answer.is_ok() && self.east.logged("outcome=whole") > before
        };
        route::wait_for("a peer to gather", delegated).await
    }
}

/// After a planned restart of a host, the others still hold connections to the previous process.
/// Guards against the loss of the first query delegated over such a connection, one per pair of
/// hosts and restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_peer_loses_no_query() -> TestResult {
    let mut fleet = RemoteFleet::start(&["h-2"]).await?;
    for round in 0..3 {
        fleet.wait_for_delegation().await?;
        fleet.west[0].restart()?;
        // A query in flight when the previous process ends may be lost with it.
        sleep(Duration::from_millis(300)).await;
        for step in 0..40 {
            let id = format!("id-{round}-{step}");
            let answer = fleet.east.send("GET", "/all/", &id, "").await?;
            assert_eq!(answer.status, 200, "{id}");
            sleep(Duration::from_millis(25)).await;
        }
    }
    Ok(())
}

/// Hosts that gather for a zone are suspended one after the other, as by a debugger or on a starved
/// machine. A query delegated to one is completed by another, and a resumed host sends nothing for
/// a query that its front no longer waits for.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_peer_is_replaced_and_sends_nothing_on_resume() -> TestResult {
    let RemoteFleet { targets, east, west, .. } = &RemoteFleet::start(&["h-2", "h-3"]).await?;
    sleep(Duration::from_millis(500)).await;
    for (round, suspended) in west.iter().enumerate() {
        suspended.signal(Signal::STOP)?;
        for step in 0..4 {
            let id = format!("id-{round}-{step}");
            let answer = east.send("GET", "/all/", &id, "").await?;
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.headers[headers::MISSING_PARTS], "0", "{id}");
        }
        suspended.signal(Signal::CONT)?;
        sleep(Duration::from_millis(700)).await;
        for target in targets {
            for step in 0..4 {
                assert_eq!(target.runs(&format!("id-{round}-{step}")), 1);
            }
        }
    }
    let silent = async || east.logged("outcome=silent") > 0;
    let logged = route::wait_for("a silent peer to be logged", silent).await;
    logged.map_err(|error| {
        let lines: Vec<String> = east.log_lines();
        let delegations: Vec<&String> =
            lines.iter().filter(|line| line.contains("shards-delegated")).collect();
        format!("{error}: {delegations:#?}").into()
    })
}

/// Guards against losing the query that is delegated to a peer just after its last answer: it
/// counted as alive for a tenth of a second, and a suspended peer was only noticed when its reply
/// was overdue.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_suspended_right_after_its_answer_loses_no_query() -> TestResult {
    let RemoteFleet { targets: _targets, east, west, .. } =
        &RemoteFleet::start(&["h-2", "h-3"]).await?;
    for (round, suspended) in west.iter().cycle().take(4).enumerate() {
        let answered = format!(
            "peer={} zone=west shards=4 decision=delegated outcome=whole",
            suspended.peer()
        );
        let before = east.logged(&answered);
        let answers = async || {
            let answer = east.send("GET", "/all/", "id-warm", "").await;
            answer.is_ok() && east.logged(&answered) > before
        };
        route::wait_for("the peer to gather a query", answers).await?;
        suspended.signal(Signal::STOP)?;
        for step in 0..4 {
            let id = format!("id-{round}-{step}");
            let answer = east.send("GET", "/all/", &id, "").await?;
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.headers[headers::MISSING_PARTS], "0", "{id}");
        }
        suspended.signal(Signal::CONT)?;
        // Until the front no longer suspects the peer.
        sleep(Duration::from_millis(1600)).await;
    }
    Ok(())
}

/// Requests that are malformed, too large, or contain a second request must not reach a target.
/// Each is answered or its connection is closed, and the host continues to serve.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_reach_no_target() -> TestResult {
    struct Case {
        name: &'static str,
        head: &'static str,
        body: String,
        statuses: &'static [u16],
    }
    let inner = "0\r\n\r\nGET /safe/inner HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    let cases = [
        Case {
            name: "two lengths",
            head: "POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\n",
            body: "abcdefghi".to_owned(),
            statuses: &[400],
        },
        Case {
            name: "an invalid length",
            head: "POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: four\r\n\r\n",
            body: "abcd".to_owned(),
            statuses: &[400],
        },
        Case {
            name: "an unknown encoding before chunks",
            head: "POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked, odd\r\n\r\n",
            body: inner.to_owned(),
            statuses: &[400],
        },
        Case {
            name: "invalid chunks",
            head: "POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n",
            body: "zz\r\nabc\r\n0\r\n\r\n".to_owned(),
            statuses: &[400],
        },
        Case {
            name: "a body over the limit",
            head: "POST /safe/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 300000\r\n\r\n",
            body: "x".repeat(300_000),
            statuses: &[413],
        },
        Case {
            name: "not HTTP",
            head: "\u{16}\u{3}\u{1}\r\n\r\n",
            body: String::new(),
            statuses: &[400],
        },
        Case {
            name: "a head over the limit",
            head: "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Long: ",
            body: "x".repeat(64 * 1024),
            statuses: &[431, 400],
        },
        Case {
            name: "no host",
            head: "GET /safe/ HTTP/1.1\r\n\r\n",
            body: String::new(),
            statuses: &[404, 400],
        },
    ];
    let pair = start_pair().await?;
    for case in cases {
        let mut stream = TcpStream::connect(pair.host.caller()).await?;
        // The host may close the connection before it has read a body that it rejects.
        let _sent = stream.write_all(format!("{}{}", case.head, case.body).as_bytes()).await;
        if let Ok(answer) = route::read_answer(&mut stream).await {
            assert!(case.statuses.contains(&answer.status), "{}: {}", case.name, answer.status);
        }
        assert_eq!(pair.first.all_runs() + pair.second.all_runs(), 0, "{}", case.name);
    }
    assert_eq!(pair.host.send("GET", "/safe/", "id-1", "").await?.status, 200);
    Ok(())
}

/// Guards against request smuggling by `Content-Length` together with chunked encoding. The chunked
/// encoding takes precedence: the request ends with its chunks, and what follows is a separate
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_with_chunked_encoding_smuggles_no_request() -> TestResult {
    let pair = start_pair().await?;
    let mut stream = TcpStream::connect(pair.host.caller()).await?;
    let id_header = headers::ATTEMPT_ID;
    let bytes = format!(
        "POST /safe/outer HTTP/1.1\r\nHost: shop.example\r\n{id_header}: id-1\r\n\
                 Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
                 GET /safe/inner HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    );
    stream.write_all(bytes.as_bytes()).await?;
    // The request is either rejected or runs with the chunks' content as its body.
    let _answer = route::read_answer(&mut stream).await;
    sleep(Duration::from_millis(200)).await;
    let mut ran = pair.first.requests();
    ran.extend(pair.second.requests());
    for (_, path, body) in ran.iter().filter(|(method, _, _)| method == "POST") {
        assert_eq!((path.as_str(), body.as_slice()), ("/safe/outer", &b"abc"[..]));
    }
    Ok(())
}

/// Every target is slower than the query's target latency. If the peer stopped gathering at that
/// time, the front would count its shards as failed and answer 502, and the caller's retry would
/// lengthen the targets' queues. The peer keeps gathering shards that the answer requires, so the
/// caller gets a late answer, with at most one further attempt at each shard.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_keeps_gathering_required_shards() -> TestResult {
    let fleet = RemoteFleet::start(&["h-2"]).await?;
    fleet.wait_for_delegation().await?;
    let RemoteFleet { targets, east, .. } = &fleet;
    // The target latency is 400 ms, the timeout 1.5 s.
    for target in targets {
        target.fail_always(Some(TargetFault::Slow(Duration::from_millis(700))));
    }
    let answer = east.send("GET", "/all/", "id-1", "").await?;
    assert_eq!(answer.status, 200, "{:#?}", east.log_lines());
    assert_eq!(answer.headers[headers::MISSING_PARTS], "0");
    for target in targets {
        assert_eq!(target.runs("id-1"), 1);
    }
    // No part arrives at all: the query ends at the route's timeout.
    for target in targets {
        target.fail_always(Some(TargetFault::NoAnswer));
    }
    let started = std::time::Instant::now();
    let answer = east.send("GET", "/all/", "id-2", "").await?;
    assert!([502, 504].contains(&answer.status), "{}", answer.status);
    assert!(started.elapsed() < Duration::from_millis(1700), "{:?}", started.elapsed());
    Ok(())
}

/// Callers flood a host whose shards are slow. Admission control admits a window of queries and
/// rejects the rest at once with `retry-after`. If a rejection released a slot that it never held,
/// as many further queries would be admitted and admission control would have no effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_is_rejected_beyond_the_admission_window() -> TestResult {
    /// Initial admission window, in queries.
    const FIRST_WINDOW: usize = 12;
    const CALLERS: usize = 60;
    let fleet = RemoteFleet::start(&[]).await?;
    for target in &fleet.targets {
        target.fail_always(Some(TargetFault::Slow(Duration::from_millis(1000))));
    }
    let callers = (0..CALLERS).map(|number| {
        let host = &fleet.east;
        async move { host.send("GET", "/all/", &format!("id-{number}"), "").await }
    });
    let answers = futures::future::join_all(callers).await;
    let mut rejected = 0;
    for answer in answers {
        let answer = answer?;
        if answer.body == b"host-full" {
            rejected += 1;
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        }
    }
    assert_eq!(rejected, CALLERS - FIRST_WINDOW);
    Ok(())
}

/// All hosts that gather for a zone are suspended at once. The front cannot rule out that each has
/// made an attempt, and the route allows two: it makes no third, answers that the outcome is
/// unknown, and nothing runs later.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_peers_count_towards_the_attempt_limit() -> TestResult {
    let fleet = RemoteFleet::start(&["h-2", "h-3"]).await?;
    fleet.wait_for_delegation().await?;
    let RemoteFleet { targets, east, west, .. } = &fleet;
    // After 300 ms without a message from the peers, the front checks whether they are alive.
    sleep(Duration::from_millis(300)).await;
    for host in west {
        host.signal(Signal::STOP)?;
    }
    let answer = east.send("GET", "/all/", "id-1", "").await?;
    // Cancellations may still be in flight when the answer arrives.
    sleep(Duration::from_millis(100)).await;
    for host in west {
        host.signal(Signal::CONT)?;
    }
    assert_eq!(answer.status, 502);
    sleep(Duration::from_millis(700)).await;
    for target in targets {
        assert_eq!(target.runs("id-1"), 0);
    }
    Ok(())
}
