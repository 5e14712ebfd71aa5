//! The numbered log events of real `route` processes, compared with the operators' catalogue.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use hawthorn_edge::process::events::EdgeEvent;
use hawthorn_report::line;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use hawthorn_standin::route::target::TargetFault;
use rustix::process::Signal;
use strum::IntoEnumIterator;
use support::TestResult;
use support::crowd;
use support::crowd::Crowd;
use support::crowd::Framing;
use support::route;
use support::route::HostOptions;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Timeout of a request's head, in milliseconds.
const HEAD_MS: u64 = 300;

async fn wait_for_line(host: &RouteHost, text: &str) -> TestResult {
    route::wait_for(text, async || host.logged(text) > 0).await
}

/// One host from start to stop, with failing targets, invalid entries in the store, a slow caller
/// and a store outage.
async fn single_host_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let first = RouteTarget::start("t-1", "s").await?;
    let second = RouteTarget::start("t-2", "s").await?;
    let routes = [operator::single("/safe/", "s", "safe")];
    operator::configure_header_timeout(&store, 3, &routes, &["s"], HEAD_MS);
    operator::register(&store, "t-1", &first, "east");
    operator::register(&store, "t-2", &second, "east");
    // The metrics port is already taken by the host's own readiness endpoint.
    let mut host =
        RouteHost::start_with_metrics_port("h-1", "east", store.address(), &[], route::READY_PORT)?;
    host.wait_until_ready().await?;
    first.fail_next(&[TargetFault::Slow(Duration::from_secs(1))]);
    second.fail_next(&[TargetFault::Slow(Duration::from_secs(1))]);
    host.send("GET", "/safe/", "id-late", "").await?;
    wait_for_line(&host, "attempt-late").await?;
    first.fail_next(&[TargetFault::Disconnect]);
    second.fail_next(&[TargetFault::Disconnect]);
    host.send("GET", "/safe/", "id-broken", "").await?;
    wait_for_line(&host, "attempt-broken").await?;
    first.fail_next(&[TargetFault::WrongAttemptId]);
    second.fail_next(&[TargetFault::WrongAttemptId]);
    host.send("GET", "/safe/", "id-mismatched", "").await?;
    wait_for_line(&host, "answer-mismatched").await?;
    for target in [&first, &second] {
        target.fail_always(Some(TargetFault::TruncatedBody(1 << 20)));
    }
    assert!(host.send("GET", "/safe/", "id-cut", "").await.is_err());
    wait_for_line(&host, "answer-cut").await?;
    let mut slow = TcpStream::connect(host.caller()).await?;
    slow.write_all(b"GET /safe/ HT").await?;
    wait_for_line(&host, "head-refused: outcome=slow-head").await?;
    let mut malformed = TcpStream::connect(host.caller()).await?;
    malformed.write_all(b"no HTTP\r\n\r\n").await?;
    wait_for_line(&host, "head-refused: outcome=malformed-head").await?;
    host.send("GET", "/absent/other/", "id-absent", "").await?;
    wait_for_line(&host, "request-rejected: request=id-absent outcome=no-route").await?;
    UdpSocket::bind("127.0.0.1:0").await?.send_to(b"nonsense", host.peer()).await?;
    wait_for_line(&host, "peer-message-broken").await?;
    operator::put_raw_entry(&store, "other", b"{}");
    wait_for_line(&host, "entry-broken").await?;
    operator::put_raw_configuration(&store, b"{}");
    wait_for_line(&host, "routes-broken").await?;
    let keyless = [operator::customer("shop", &[])];
    operator::configure_customers(&store, 4, &routes, &["s"], &keyless);
    wait_for_line(&host, "customers-broken").await?;
    wait_for_line(&host, "customers-in-force").await?;
    store.set_outage(RouteOutage::Unavailable);
    wait_for_line(&host, "store-lost").await?;
    store.set_outage(RouteOutage::None);
    wait_for_line(&host, "store-back").await?;
    host.signal(Signal::HUP)?;
    wait_for_line(&host, "settings-reloaded").await?;
    host.signal(Signal::TERM)?;
    wait_for_line(&host, "host-stopped").await?;
    while !host.has_ended() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(host.log_lines())
}

/// Hosts that can reach none of their targets, all of which are in two other zones. Only one of
/// them has requests.
async fn isolated_host_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let mut targets = Vec::new();
    for (id, zone) in [("t-1", "west"), ("t-2", "south")] {
        let target = RouteTarget::start(id, "s").await?;
        operator::register(&store, id, &target, zone);
        targets.push(target);
    }
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    let idle = RouteHost::start("h-2", "east", store.address(), &[&host])?;
    host.wait_until_ready().await?;
    idle.wait_until_ready().await?;
    wait_for_line(&host, "host=h-2 zone=east change=up").await?;
    // Nothing listens at the targets' addresses from here on.
    targets.drain(..).for_each(RouteTarget::end);
    let stranded = async || {
        let _refused = host.send("GET", "/safe/", "id-1", "").await;
        host.logged("host-stranded") > 0 && idle.logged("zone-report") > 0
    };
    route::wait_for("the hosts to log that they are stranded", stranded).await?;
    Ok([host.log_lines(), idle.log_lines()].concat())
}

/// The store stops answering the hosts of zone `east` that watch it. A host of zone `west`, which
/// it answers, then brings zone `east` the new version and gathers shards for a front there.
async fn two_zone_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c"];
    let mut targets = Vec::new();
    for name in names {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        operator::register(&store, &format!("t-{name}"), &target, "west");
        targets.push(target);
    }
    let routes = [operator::scatter_gather("/all/", &names, 0.5)];
    operator::configure(&store, 3, &routes, &names);
    let mut hosts = vec![RouteHost::start("h-1", "east", store.address(), &[])?];
    hosts[0].wait_until_ready().await?;
    for name in ["h-2", "h-3"] {
        let joined = RouteHost::start(name, "east", store.address(), &[&hosts[0]])?;
        joined.wait_until_ready().await?;
        hosts.push(joined);
    }
    route::wait_for("two hosts to watch", async || store.waiting_watches() == 2).await?;
    store.hang_watchers();
    let logged =
        |hosts: &[RouteHost], text: &str| hosts.iter().map(|host| host.logged(text)).sum::<usize>();
    let stale = async || logged(&hosts, "peer-stale") > 0;
    route::wait_for("a stale source to be logged", stale).await?;
    hosts.push(RouteHost::start("h-4", "west", store.address(), &[&hosts[0]])?);
    hosts[3].wait_until_ready().await?;
    operator::configure(&store, 5, &routes, &names);
    let caught_up = async || logged(&hosts, "caught-up") > 0;
    route::wait_for("zone east to catch up with zone west", caught_up).await?;
    let delegated = async || {
        let _answer = hosts[0].send("GET", "/all/", "id-1", "").await;
        hosts[0].logged("shards-delegated") > 0
    };
    route::wait_for("a peer to gather", delegated).await?;
    // One of three shards does not answer; the peer reports which.
    targets[0].fail_always(Some(TargetFault::NoAnswer));
    let partial = async || {
        let _answer = hosts[0].send("GET", "/all/", "id-2", "").await;
        hosts[3].logged("parts-missing: request=id-2 shards=a:late") > 0
    };
    route::wait_for("the missing shard to be logged", partial).await?;
    // A caller that leaves withdraws its query from the peer.
    targets.iter().for_each(|target| target.fail_always(Some(TargetFault::NoAnswer)));
    let mut caller = TcpStream::connect(hosts[0].caller()).await?;
    caller.write_all(&route::request("GET", "/all/", "id-3", "")).await?;
    let sent = async || targets.iter().any(|target| target.runs("id-3") > 0);
    route::wait_for("the query to be sent", sent).await?;
    drop(caller);
    wait_for_line(&hosts[3], "query-withdrawn").await?;
    Ok(hosts.iter().flat_map(RouteHost::log_lines).collect())
}

/// A peer that gathers is suspended, and another one replaces it.
async fn silent_peer_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c"];
    let mut targets = Vec::new();
    for name in names {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        operator::register(&store, &format!("t-{name}"), &target, "west");
        targets.push(target);
    }
    operator::configure(&store, 3, &[operator::scatter_gather("/all/", &names, 0.5)], &names);
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let first = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    let second = RouteHost::start("h-3", "west", store.address(), &[&east])?;
    for host in [&east, &first, &second] {
        host.wait_until_ready().await?;
    }
    let gathered = async || {
        let answer = east.send("GET", "/all/", "id-0", "").await;
        answer.is_ok()
            && east.logged("zone=west change=up") == 2
            && east.logged("outcome=whole") > 0
    };
    route::wait_for("a peer to gather", gathered).await?;
    // Membership may detect the suspension before a query meets it, so it is repeated.
    let replaced = async || {
        if first.signal(Signal::STOP).is_err() {
            return false;
        }
        for _ in 0..4 {
            let _answer = east.send("GET", "/all/", "id-1", "").await;
        }
        let resumed = first.signal(Signal::CONT).is_ok();
        sleep(Duration::from_millis(700)).await;
        resumed && east.logged("query-regathered") > 0
    };
    route::wait_for("a peer to be replaced", replaced).await?;
    Ok(east.log_lines())
}

/// The reader of a host's log stalls while every request writes log lines. The host continues to
/// serve, and logs afterwards how many lines it dropped.
async fn unread_log_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    host.pause_log_reader(true);
    let address: SocketAddr = host.caller();
    // Each request writes two lines; the total exceeds the log buffer and the pipe together.
    let requests = (0..8).map(|caller| async move {
        let mut stream = TcpStream::connect(address).await?;
        for round in 0..800 {
            let id = format!("id-{caller}-{round}");
            stream.write_all(&route::request("GET", "/safe/", &id, "")).await?;
            assert_eq!(route::read_answer(&mut stream).await?.status, 200);
        }
        TestResult::Ok(())
    });
    futures::future::try_join_all(requests).await?;
    host.pause_log_reader(false);
    let dropped = async || {
        let _answer = host.send("GET", "/safe/", "id-more", "").await;
        host.logged("lines-dropped") > 0
    };
    route::wait_for("the dropped lines to be logged", dropped).await?;
    Ok(host.log_lines())
}

/// A host in an evacuated zone whose only target is cold; an unreadable evacuation is written too,
/// and finally a version with an invalid cold rate.
async fn cold_target_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    let routes = [operator::single("/safe/", "s", "safe")];
    operator::configure_cold_rate(&store, 3, &routes, &["s"], 8.0);
    operator::register_cold(&store, "t-1", &target, "east", 60_000.0);
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    operator::evacuate(&store, "east");
    operator::put_raw_evacuation(&store, "west", b"[]");
    route::wait_for("the evacuation to be logged", async || host.logged("E624") > 0).await?;
    operator::end_evacuation(&store, "east");
    let served = async || {
        let answer = host.send("GET", "/safe/", "id-cold", "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    route::wait_for("the cold target to be used", served).await?;
    operator::configure_cold_rate(&store, 4, &routes, &["s"], 0.0);
    route::wait_for("the invalid rate to be logged", async || host.logged("E627") > 0).await?;
    Ok(host.log_lines())
}

/// The store comes back from a copy.
async fn restored_store_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    let copy = store.copy();
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    operator::put_raw_evacuation(&store, "west", b"{}");
    let evacuated = async || host.logged("evacuation-changed") > 0;
    route::wait_for("the evacuation to be logged", evacuated).await?;
    store.restore(&copy);
    route::wait_for("a full read to be logged", async || host.logged("E615") > 0).await?;
    Ok(host.log_lines())
}

/// The answer to a waiting watch is lost, while the store answers other calls.
async fn lost_watch_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let route = |prefix| [operator::single(prefix, "s", "safe")];
    operator::configure(&store, 3, &route("/old/"), &["s"]);
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    route::wait_for("a watch", async || store.waiting_watches() == 1).await?;
    store.hang_watchers();
    operator::configure(&store, 4, &route("/new/"), &["s"]);
    route::wait_for("its answer", async || store.waiting_watches() == 0).await?;
    store.hang(&[]);
    wait_for_line(&host, "watch-lost").await?;
    wait_for_line(&host, "version-received: version=4").await?;
    Ok(host.log_lines())
}

/// A zone whose hosts have no link capacity for several versions in succession.
async fn narrow_link_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    route::configure_large(&store, 1);
    let hosts = route::start_on_narrow_links(&store).await?;
    for version in 2..10 {
        route::configure_large(&store, version);
        sleep(Duration::from_secs(1)).await;
        if hosts.iter().any(|host| host.logged("E644") > 0) {
            break;
        }
    }
    Ok(hosts.iter().flat_map(RouteHost::log_lines).collect())
}

/// A customer far above its quota.
async fn quota_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    let customers = [operator::limited_customer("shop", "key-1", 1.0, 0.0)];
    let routes = [operator::single("/safe/", "s", "safe")];
    operator::configure_customers(&store, 3, &routes, &["s"], &customers);
    let host = RouteHost::start_with_quota("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    route::wait_for("a slot to be claimed", async || host.logged("E654") > 0).await?;
    let exceeded = async || {
        let _answer = route::send_with_key(host.caller(), "/safe/", "key-1").await;
        host.logged("E655") > 0
    };
    route::wait_for("the quota to be exceeded", exceeded).await?;
    Ok(host.log_lines())
}

/// A host whose only target has two slots and receives more requests than they can execute.
async fn waiting_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    target.fail_always(Some(TargetFault::Slow(Duration::from_millis(200))));
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let policy = "[policy.dispatch]\non = true\n";
    let host = RouteHost::start_with_policy("h-1", "east", store.address(), &[], policy)?;
    host.wait_until_ready().await?;
    let waited = async || {
        let sends = ["a", "b", "c", "d", "e", "f"].map(|id| host.send("GET", "/safe/", id, ""));
        let _answers = futures::future::join_all(sends).await;
        host.logged("dispatch-queue") > 0
    };
    route::wait_for("the waiting requests to be logged", waited).await?;
    Ok(host.log_lines())
}

/// A host whose memory for requests is used by callers that stop short of the end of theirs.
async fn stalled_caller_events() -> TestResult<Vec<String>> {
    const CALLERS: usize = 20;
    const BODY_BYTES: usize = 262_144;
    let store = RouteStore::start().await?;
    operator::configure(&store, 3, &[operator::single("/safe/", "s", "safe")], &["s"]);
    let options = HostOptions { host: "memory_mb = 32\n".to_owned(), ..HostOptions::default() };
    let host = RouteHost::start_with("h-1", "east", store.address(), &[], &options)?;
    host.wait_until_ready().await?;
    let request = crowd::request("/safe/", "id-stalled", Framing::Length, BODY_BYTES);
    let stalled = Crowd::send(host.caller(), CALLERS, &crowd::unfinished(request)).await;
    wait_for_line(&host, "connection-evicted").await?;
    drop(stalled);
    Ok(host.log_lines())
}

/// A host on which keys must be revoked in time, while the store does not answer, and afterwards.
async fn stale_key_events() -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let routes = [operator::single("/safe/", "s", "safe")];
    operator::configure_customers(
        &store,
        3,
        &routes,
        &["s"],
        &[operator::customer("shop", &["k"])],
    );
    let within = Duration::from_millis(3200);
    let host = RouteHost::start_strict("h-1", "east", store.address(), &[], within)?;
    host.wait_until_ready().await?;
    store.set_outage(RouteOutage::Hang);
    wait_for_line(&host, "keys-stale").await?;
    store.set_outage(RouteOutage::None);
    wait_for_line(&host, "keys-current").await?;
    Ok(host.log_lines())
}

/// The keys of each event, as listed in the catalogue.
fn catalogue() -> BTreeMap<u16, BTreeSet<String>> {
    let page = include_str!("../docs/operators/events-route.md");
    let keys = |cells: &str| {
        let words = cells.split(|mark: char| !mark.is_ascii_alphanumeric() && mark != '_');
        words.filter(|word| !word.is_empty()).map(str::to_owned).collect()
    };
    page.lines()
        .filter_map(|line| {
            let cells: Vec<&str> = line.strip_prefix("| E")?.split('|').map(str::trim).collect();
            Some((cells.first()?.parse().ok()?, keys(cells.get(2)?)))
        })
        .collect()
}

/// Guards against a catalogue that lacks an event, lists one that is never logged, or lists a key
/// under another name. Hosts are brought to log every event, and each line may hold only listed
/// keys.
#[tokio::test(flavor = "multi_thread")]
async fn every_event_is_written_as_the_catalogue_says() -> TestResult {
    let scenarios = [
        single_host_events().boxed_local(),
        isolated_host_events().boxed_local(),
        two_zone_events().boxed_local(),
        cold_target_events().boxed_local(),
        restored_store_events().boxed_local(),
        lost_watch_events().boxed_local(),
        narrow_link_events().boxed_local(),
        quota_events().boxed_local(),
        unread_log_events().boxed_local(),
        silent_peer_events().boxed_local(),
        waiting_events().boxed_local(),
        stale_key_events().boxed_local(),
        stalled_caller_events().boxed_local(),
    ];
    let logs = futures::future::try_join_all(scenarios).await?;
    let catalogue = catalogue();
    let mut written = BTreeSet::new();
    for text in logs.concat() {
        let read = line::read(&text, "").ok_or_else(|| format!("not an event: {text}"))?;
        let keys = catalogue.get(&read.number).ok_or_else(|| format!("not listed: {text}"))?;
        for name in read.keys() {
            assert!(keys.contains(name), "E{}: {name} is not listed: {text}", read.number);
        }
        written.insert(read.number);
    }
    let known: BTreeSet<u16> = EdgeEvent::iter().map(EdgeEvent::number).collect();
    assert_eq!(written, known);
    Ok(())
}
