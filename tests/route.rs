//! Real `route` processes against a store and targets of the users' platform:
//! what callers see when targets, the store or hosts fail.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use hawthorn_standin::route::target;
use hawthorn_standin::route::target::TargetFault;
use hawthorn_standin::route::words;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// One host, two targets of a service, and routes to them.
struct Pair {
    store: RouteStore,
    first: RouteTarget,
    second: RouteTarget,
    host: RouteHost,
}

async fn pair() -> TestResult<Pair> {
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
    Ok(Pair { store, first, second, host })
}

impl Pair {
    fn fail_always(&self, fault: Option<TargetFault>) {
        self.first.fail_always(fault);
        self.second.fail_always(fault);
    }

    fn runs(&self, id: &str) -> usize {
        self.first.runs(id) + self.second.runs(id)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_passed_on_and_answered_unchanged() -> TestResult {
    let pair = pair().await?;
    let answer = pair.host.send("POST", "/safe/a%20b?x=1&y=%2F", "id-1", "the body").await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, target::records("s"));
    assert!(answer.headers[words::RECEIPT].ends_with(".id-1"));
    let mut seen = pair.first.requests();
    seen.extend(pair.second.requests());
    let expected = ("POST".to_owned(), "/safe/a%20b?x=1&y=%2F".to_owned(), b"the body".to_vec());
    assert_eq!(seen, [expected]);
    assert_eq!(pair.host.send("GET", "/none/", "id-2", "").await?.status, 404);
    Ok(())
}

/// A target fails in one of the ways that targets do, or both do. A request
/// that may run twice is answered by the other target; one that may not runs at
/// most once, and "not run" is said only when it did not.
#[tokio::test(flavor = "multi_thread")]
async fn each_failure_of_a_target_has_its_truthful_answer() -> TestResult {
    struct Case {
        name: &'static str,
        fault: TargetFault,
        /// Of an idempotent request when one target fails so, and when both do.
        safe: (u16, u16),
        /// Of one that is not, when both do.
        once: u16,
        once_runs: usize,
    }
    let slow = TargetFault::Slow(Duration::from_millis(50));
    let cases = [
        Case { name: "full", fault: TargetFault::Full, safe: (200, 503), once: 503, once_runs: 0 },
        Case {
            name: "broken off",
            fault: TargetFault::Break,
            safe: (200, 502),
            once: 502,
            once_runs: 1,
        },
        Case {
            name: "half an answer",
            fault: TargetFault::Half,
            safe: (200, 502),
            once: 502,
            once_runs: 1,
        },
        Case {
            name: "another's answer",
            fault: TargetFault::Crossed,
            safe: (200, 502),
            once: 502,
            once_runs: 1,
        },
        Case {
            name: "failed",
            fault: TargetFault::Fail,
            safe: (200, 500),
            once: 500,
            once_runs: 1,
        },
        Case {
            name: "no length",
            fault: TargetFault::Unframed,
            safe: (200, 200),
            once: 200,
            once_runs: 1,
        },
        Case {
            name: "answered twice",
            fault: TargetFault::Twice,
            safe: (200, 200),
            once: 200,
            once_runs: 1,
        },
        Case { name: "slow", fault: slow, safe: (200, 200), once: 200, once_runs: 1 },
        Case { name: "mute", fault: TargetFault::Mute, safe: (200, 504), once: 504, once_runs: 1 },
    ];
    for case in cases {
        let pair = pair().await?;
        pair.first.fail_always(Some(case.fault));
        for round in 0..2 {
            let answer = pair.host.send("GET", "/safe/", &format!("one-{round}"), "").await?;
            assert_eq!(answer.status, case.safe.0, "{}: one target fails", case.name);
        }
        pair.fail_always(Some(case.fault));
        let answer = pair.host.send("GET", "/safe/", "both", "").await?;
        assert_eq!(answer.status, case.safe.1, "{}: both fail", case.name);
        let answer = pair.host.send("POST", "/once/", "once", "").await?;
        assert_eq!(answer.status, case.once, "{}: may run once", case.name);
        assert_eq!(pair.runs("once"), case.once_runs, "{}: runs", case.name);
        assert_eq!(answer.status == 503, answer.headers.contains_key("retry-after"));
        if answer.status == 200 {
            assert_eq!(answer.body, target::records("s"), "{}", case.name);
        }
    }
    Ok(())
}

/// The order to stop comes while a request runs. It is answered, the answer
/// ends the connection, and the host ends by itself within its grace.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_off_no_request() -> TestResult {
    let mut pair = pair().await?;
    pair.fail_always(Some(TargetFault::Slow(Duration::from_millis(600))));
    let mut idle = TcpStream::connect(pair.host.caller()).await?;
    let mut stream = TcpStream::connect(pair.host.caller()).await?;
    stream.write_all(&route::request("POST", "/once/", "id-1", "x")).await?;
    sleep(Duration::from_millis(100)).await;
    pair.host.signal(Signal::TERM)?;
    sleep(Duration::from_millis(50)).await;
    assert!(!pair.host.is_ready().await);
    // A caller with a connection from before goes on using it.
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
    Err("the host outlived its grace".into())
}

/// Operators change settings and send SIGHUP; once that ended the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_outlives_sighup() -> TestResult {
    let pair = pair().await?;
    pair.host.signal(Signal::HUP)?;
    let logged = async || pair.host.logged("settings-reloaded: outcome=accepted") == 1;
    route::wait_for("the settings to be read again", logged).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-1", "").await?.status, 200);
    Ok(())
}

/// Operators take the budget away and send SIGHUP: from then on no second attempt
/// is made, without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_brings_a_new_budget_into_force() -> TestResult {
    let pair = pair().await?;
    pair.fail_always(Some(TargetFault::Fail));
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
    let refused = async || pair.host.logged("settings-reloaded: outcome=refused") == 1;
    route::wait_for("the settings to be refused", refused).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-3", "").await?.status, 500);
    Ok(())
}

/// Second attempts make matters worse in some trouble that nobody foresaw. Operators
/// switch them off by SIGHUP while callers are served; a mistyped key changes
/// nothing, and is named.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_brings_a_new_policy_into_force() -> TestResult {
    let pair = pair().await?;
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
    let refused = async || pair.host.logged("settings-reloaded: outcome=refused") == 1;
    route::wait_for("the policy to be refused", refused).await?;
    pair.host.send("GET", "/safe/", "id-3", "").await?;
    assert_eq!(pair.runs("id-3"), 1);
    Ok(())
}

/// Another program of the machine has the port of the metrics. The host says so
/// and serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_its_metrics_port_serves() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/a/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let taken = route::READY_PORT;
    let host = RouteHost::start_with_metrics_port("h-1", "east", store.address(), &[], taken)?;
    host.wait_until_ready().await?;
    assert_eq!(host.send("GET", "/a/", "id-1", "").await?.status, 200);
    let logged = async || host.logged("duty=metrics") == 1;
    route::wait_for("the line of the metrics", logged).await
}

/// A caller gives up and closes its connection; the work it asked for stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_work() -> TestResult {
    let pair = pair().await?;
    pair.fail_always(Some(TargetFault::Slow(Duration::from_secs(20))));
    let mut stream = TcpStream::connect(pair.host.caller()).await?;
    stream.write_all(&route::request("GET", "/safe/", "id-1", "")).await?;
    let runs = async || pair.runs("id-1") > 0;
    route::wait_for("the request to run", runs).await?;
    drop(stream);
    let cancelled = async || pair.first.cancelled() + pair.second.cancelled() == pair.runs("id-1");
    route::wait_for("the work to be cancelled", cancelled).await
}

/// A target ends and its address is given to one of another service, which the
/// host has not heard of yet. It must not run the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_given_to_another_service_runs_nothing() -> TestResult {
    let pair = pair().await?;
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

/// A target says that it leaves; new work goes to the other at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work() -> TestResult {
    let pair = pair().await?;
    operator::drain(&pair.store, "t-1", &pair.first, "east");
    let heard = async || pair.host.logged("target=t-1 change=draining") == 1;
    route::wait_for("the host to hear of it", heard).await?;
    for round in 0..10 {
        assert_eq!(pair.host.send("GET", "/safe/", &format!("id-{round}"), "").await?.status, 200);
    }
    assert_eq!(pair.first.all_runs(), 0);
    Ok(())
}

/// The store forgets its history between two watches, and a target has gone and
/// a version come meanwhile. Once the duty that reads anew ended there, unseen.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_forgot_its_history_is_read_anew() -> TestResult {
    let pair = pair().await?;
    pair.store.set_outage(RouteOutage::Busy);
    operator::remove(&pair.store, "t-1");
    let routes = [operator::single("/new/", "s", "safe")];
    operator::configure(&pair.store, 9, &routes, &["s"]);
    pair.store.compact();
    let lost = async || pair.host.logged("store-lost") > 0;
    route::wait_for("the host to miss the store", lost).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-1", "").await?.status, 200);
    pair.store.set_outage(RouteOutage::None);
    let heard = async || pair.host.logged("target=t-1 change=removed") == 1;
    route::wait_for("the host to hear of the target", heard).await?;
    // The watch that waited when the outage began may have brought the one and
    // not the other.
    let routed = async || {
        let answer = pair.host.send("GET", "/new/", "id-2", "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    route::wait_for("the version to be in force", routed).await?;
    assert_eq!(pair.host.send("GET", "/safe/", "id-3", "").await?.status, 404);
    Ok(())
}

/// An older version is written after a newer one; it never comes into force.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_never_goes_back() -> TestResult {
    let pair = pair().await?;
    operator::configure(&pair.store, 2, &[operator::single("/old/", "s", "safe")], &["s"]);
    operator::scribble(&pair.store, "other", b"{}");
    let heard = async || pair.host.logged("entry-broken: id=other") == 1;
    route::wait_for("the host to hear what came after", heard).await?;
    assert_eq!(pair.host.send("GET", "/old/", "id-1", "").await?.status, 404);
    assert_eq!(pair.host.send("GET", "/safe/", "id-2", "").await?.status, 200);
    Ok(())
}

/// A host starts while the store is away. Alone it must not say that routes are
/// not there, as it knows none; with a peer that lives it learns and serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_without_the_store_learns_from_a_peer() -> TestResult {
    let pair = pair().await?;
    pair.store.set_outage(RouteOutage::Silent);
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

/// The store takes the watch of the host that feeds a zone and answers nothing,
/// while it serves the others: once nobody noticed for as long as a watch waits,
/// and the zone went on by an older version.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_whose_feeding_host_hears_nothing_asks_the_store_itself() -> TestResult {
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
    // A zone that is alone has two hosts that watch; the third's own watch, from
    // before it knew the others, ends by itself.
    let settled = async || store.watching() == 2;
    route::wait_for("two hosts to watch", settled).await?;
    store.silence_callers();
    operator::configure(&store, 5, &[operator::single("/b/", "s", "safe")], &["s"]);
    let written = std::time::Instant::now();
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

/// The shards of a query lie in two zones, and hosts in both. The answer holds
/// the greatest records of all parts, each part signed once, whether a peer
/// gathered some of them, has just been killed, or a shard has no target.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_over_shards_of_two_zones_is_whole() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut targets = Vec::new();
    for (place, name) in names.iter().enumerate() {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        let zone = if place < 2 { "east" } else { "west" };
        operator::register(&store, &format!("t-{name}"), &target, zone);
        targets.push(target);
    }
    let routes = [operator::gathered("/all/", &names, 0.8)];
    operator::configure(&store, 3, &routes, &names);
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    east.wait_until_ready().await?;
    west.wait_until_ready().await?;
    let met = async || east.logged("host=h-2 zone=west change=up") == 1;
    route::wait_for("the hosts to know each other", met).await?;
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
        assert_eq!(answer.headers[words::MISSING_PARTS], "0");
        assert_eq!(answer.body, records[..4].concat());
        let mut receipts: Vec<&str> = answer.headers[words::PART_RECEIPTS].split(", ").collect();
        receipts.sort_unstable();
        let expected: Vec<String> = names.iter().map(|name| format!("t-{name}.{id}")).collect();
        assert_eq!(receipts, expected);
    }
    let delegated = async || east.logged("decision=delegated outcome=whole") > 0;
    route::wait_for("the line of a peer's shards", delegated).await?;
    drop(west);
    targets.pop();
    let whole = async || {
        let answer = east.send("GET", "/all/", "id-9", "").await;
        answer
            .is_ok_and(|answer| answer.status == 200 && answer.headers[words::MISSING_PARTS] == "1")
    };
    route::wait_for("queries to be answered without the peer and the shard", whole).await
}

/// Four shards with a target each, all in the west, and a route that needs them
/// all; a front in the east, and hosts in the west that gather for it.
struct WesternFleet {
    _store: RouteStore,
    targets: Vec<RouteTarget>,
    east: RouteHost,
    west: Vec<RouteHost>,
}

impl WesternFleet {
    /// Starts it; all hosts know each other.
    async fn start(peers: &[&str]) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let names = ["a", "b", "c", "d"];
        let mut targets = Vec::new();
        for name in names {
            let target = RouteTarget::start(&format!("t-{name}"), name).await?;
            operator::register(&store, &format!("t-{name}"), &target, "west");
            targets.push(target);
        }
        operator::configure(&store, 3, &[operator::gathered("/all/", &names, 1.0)], &names);
        let east = RouteHost::start("h-1", "east", store.address(), &[])?;
        let west = peers
            .iter()
            .map(|name| RouteHost::start(name, "west", store.address(), &[&east]))
            .collect::<TestResult<Vec<_>>>()?;
        east.wait_until_ready().await?;
        for host in &west {
            host.wait_until_ready().await?;
        }
        let met = async || east.logged("zone=west change=up") == west.len();
        route::wait_for("the hosts to know each other", met).await?;
        Ok(Self { _store: store, targets, east, west })
    }

    /// Waits until a peer has gathered a query from now on.
    async fn gathers(&self) -> TestResult {
        let before = self.east.logged("outcome=whole");
        let delegated = async || {
            let answer = self.east.send("GET", "/all/", "id-0", "").await;
            answer.is_ok() && self.east.logged("outcome=whole") > before
        };
        route::wait_for("a peer to gather", delegated).await
    }
}

/// A host is restarted by plan. The others hold connections to its earlier life,
/// and the first query they hand to the new one must not be lost on them: once
/// each pair of hosts lost one query with every restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_peer_costs_no_query() -> TestResult {
    let mut fleet = WesternFleet::start(&["h-2"]).await?;
    for round in 0..3 {
        fleet.gathers().await?;
        fleet.west[0].restart()?;
        // A query that crosses the end of the earlier life may be lost with it.
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

/// Hosts of a zone that gather stand still one after the other, as under a
/// debugger or a starved machine. A query that was handed to one is whole all
/// the same, by another; and when the first goes on, it sends nothing for a
/// query that its front has given up on.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_stands_still_is_replaced_and_sends_nothing_later() -> TestResult {
    let WesternFleet { targets, east, west, .. } = &WesternFleet::start(&["h-2", "h-3"]).await?;
    sleep(Duration::from_millis(500)).await;
    for (round, frozen) in west.iter().enumerate() {
        frozen.signal(Signal::STOP)?;
        for step in 0..4 {
            let id = format!("id-{round}-{step}");
            let answer = east.send("GET", "/all/", &id, "").await?;
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.headers[words::MISSING_PARTS], "0", "{id}");
        }
        frozen.signal(Signal::CONT)?;
        sleep(Duration::from_millis(700)).await;
        for target in targets {
            for step in 0..4 {
                assert_eq!(target.runs(&format!("id-{round}-{step}")), 1);
            }
        }
    }
    let silent = async || east.logged("outcome=silent") > 0;
    route::wait_for("a peer to have been silent", silent).await
}

/// Requests that are malformed, too large, or hold a second one inside. None
/// reaches a target, each is answered or its connection is closed, and the host
/// goes on serving.
#[tokio::test(flavor = "multi_thread")]
async fn odd_requests_reach_no_target() -> TestResult {
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
            name: "a length that is none",
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
            name: "chunks that are none",
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
            name: "no request",
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
    let pair = pair().await?;
    for case in cases {
        let mut stream = TcpStream::connect(pair.host.caller()).await?;
        // The host may close before it has read a body that it refuses.
        let _sent = stream.write_all(format!("{}{}", case.head, case.body).as_bytes()).await;
        if let Ok(answer) = route::read_answer(&mut stream).await {
            assert!(case.statuses.contains(&answer.status), "{}: {}", case.name, answer.status);
        }
        assert_eq!(pair.first.all_runs() + pair.second.all_runs(), 0, "{}", case.name);
    }
    assert_eq!(pair.host.send("GET", "/safe/", "id-1", "").await?.status, 200);
    Ok(())
}

/// A length and chunks together: the chunks count, the request ends with them,
/// and what follows is a request of its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_beside_chunks_smuggles_nothing() -> TestResult {
    let pair = pair().await?;
    let mut stream = TcpStream::connect(pair.host.caller()).await?;
    let named = words::ATTEMPT_ID;
    let bytes = format!(
        "POST /safe/outer HTTP/1.1\r\nHost: shop.example\r\n{named}: id-1\r\n\
                 Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
                 GET /safe/inner HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    );
    stream.write_all(bytes.as_bytes()).await?;
    // Refused whole, or its body is what the chunks held.
    let _answer = route::read_answer(&mut stream).await;
    sleep(Duration::from_millis(200)).await;
    let mut ran = pair.first.requests();
    ran.extend(pair.second.requests());
    for (_, path, body) in ran.iter().filter(|(method, _, _)| method == "POST") {
        assert_eq!((path.as_str(), body.as_slice()), ("/safe/outer", &b"abc"[..]));
    }
    Ok(())
}

/// Every target of the western shards is slower than the query's aim. Once the
/// peer gave up at the aim, the front counted its shards as lost, and the caller
/// was told 502 and asked again, which made the targets' queues longer. It gets
/// its answer late, after one attempt and one more at each shard at the most.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_goes_on_gathering_what_an_answer_needs() -> TestResult {
    let fleet = WesternFleet::start(&["h-2"]).await?;
    fleet.gathers().await?;
    let WesternFleet { targets, east, .. } = &fleet;
    // The aim is 400 ms, the time 1.5 s.
    for target in targets {
        target.fail_always(Some(TargetFault::Slow(Duration::from_millis(700))));
    }
    let answer = east.send("GET", "/all/", "id-1", "").await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers[words::MISSING_PARTS], "0");
    for target in targets {
        assert_eq!(target.runs("id-1"), 1);
    }
    // Nothing comes in time at all: the end is the route's, and known as such.
    for target in targets {
        target.fail_always(Some(TargetFault::Mute));
    }
    let started = std::time::Instant::now();
    let answer = east.send("GET", "/all/", "id-2", "").await?;
    assert!([502, 504].contains(&answer.status), "{}", answer.status);
    assert!(started.elapsed() < Duration::from_millis(1700), "{:?}", started.elapsed());
    Ok(())
}

/// Callers flood a host whose shards are slow. It admits what its door holds, and
/// refuses the others at once, each with when to come back. Once, every refusal gave
/// back a place that it had never had, and the door let in as many again: under a
/// flood it was as good as not there.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_is_refused_beyond_what_the_door_holds() -> TestResult {
    /// Queries that a host admits at first.
    const FIRST_WINDOW: usize = 12;
    const CALLERS: usize = 60;
    let fleet = WesternFleet::start(&[]).await?;
    for target in &fleet.targets {
        target.fail_always(Some(TargetFault::Slow(Duration::from_millis(1000))));
    }
    let callers = (0..CALLERS).map(|number| {
        let host = &fleet.east;
        async move { host.send("GET", "/all/", &format!("id-{number}"), "").await }
    });
    let answers = futures::future::join_all(callers).await;
    let mut refused = 0;
    for answer in answers {
        let answer = answer?;
        if answer.body == b"host-full" {
            refused += 1;
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        }
    }
    assert_eq!(refused, CALLERS - FIRST_WINDOW);
    Ok(())
}

/// All hosts that could gather for a zone stand still at once. Each may have made
/// an attempt for all that their front knows, and operators allow two: the front
/// makes no third, says that the outcome is not known, and nothing runs later.
#[tokio::test(flavor = "multi_thread")]
async fn peers_that_stand_still_use_up_the_attempts() -> TestResult {
    let fleet = WesternFleet::start(&["h-2", "h-3"]).await?;
    fleet.gathers().await?;
    let WesternFleet { targets, east, west, .. } = &fleet;
    // The front has heard nothing of them for a while, so it asks whether they are there.
    sleep(Duration::from_millis(300)).await;
    for host in west {
        host.signal(Signal::STOP)?;
    }
    let answer = east.send("GET", "/all/", "id-1", "").await?;
    // The cancellations are on their way when the answer comes.
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
