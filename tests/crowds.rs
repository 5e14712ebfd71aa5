//! Crowds of clients that do not complete what they send or read what they get, against real `route`
//! processes. The tests run one at a time.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use serde_json::Value;
use serde_json::json;
use support::TestResult;
use support::crowd;
use support::crowd::Crowd;
use support::crowd::Framing;
use support::crowd::PeakUse;
use support::crowd::UsageWatch;
use support::crowd::unfinished;
use support::route;
use support::route::HostOptions;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::timeout;

/// Clients of a crowd.
const CROWD: usize = 400;
/// Clients that send their bodies in chunks of a few bytes.
const TINY_CROWD: usize = 200;
/// Memory of the machine, for the host's memory and what its sockets hold unread.
const MACHINE_MB: u64 = 64;
/// Descriptors of the machine where connections are counted, and elsewhere.
const FEW_DESCRIPTORS: u64 = 256;
const ALL_DESCRIPTORS: u64 = 4100;
/// The limits of the configuration.
const BODY_BYTES: usize = 262_144;
const ROUTE_TIMEOUT_MS: u64 = 10_000;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A host with targets for routes of each kind, and nothing else on the machine.
struct CrowdedHost {
    store: RouteStore,
    targets: Vec<RouteTarget>,
    host: RouteHost,
    _turn: MutexGuard<'static, ()>,
}

fn routes() -> Vec<Value> {
    let routes = [
        operator::single("/once/", "s", "unsafe"),
        operator::scatter_gather("/all/", &["a", "b"], 0.5),
        operator::single("/held/", "held", "unsafe"),
        operator::single("/ordinary/", "ordinary", "unsafe"),
    ];
    let with_time = |mut route: Value| {
        route["timeoutMs"] = json!(ROUTE_TIMEOUT_MS);
        route
    };
    let mut routes = routes.map(with_time).to_vec();
    routes.push(brief_route());
    routes
}

/// A route of the same service as `/once/`, whose requests end soon.
fn brief_route() -> Value {
    let mut route = operator::single("/brief/", "s", "unsafe");
    route["timeoutMs"] = json!(1500);
    route
}

const SERVICES: [&str; 5] = ["s", "a", "b", "held", "ordinary"];

impl CrowdedHost {
    async fn start(descriptors: u64) -> TestResult<Self> {
        Self::start_with(descriptors, "", &operator::LimitValues::default()).await
    }

    async fn start_with(
        descriptors: u64,
        tables: &str,
        limits: &operator::LimitValues,
    ) -> TestResult<Self> {
        let turn = ONE_AT_A_TIME.lock().await;
        let store = RouteStore::start().await?;
        operator::configure_limits(&store, 3, &routes(), &SERVICES, limits);
        let mut targets = Vec::new();
        for service in SERVICES {
            let id = format!("t-{service}");
            let target = RouteTarget::start(&id, service).await?;
            operator::register(&store, &id, &target, "east");
            targets.push(target);
        }
        let options = HostOptions {
            host: format!("memory_mb = {MACHINE_MB}\nmax_fds = {descriptors}\n"),
            tables: tables.to_owned(),
            ..HostOptions::default()
        };
        let host = RouteHost::start_with("h-1", "east", store.address(), &[], &options)?;
        host.wait_until_ready().await?;
        Ok(Self { store, targets, host, _turn: turn })
    }

    fn target(&self, service: &str) -> &RouteTarget {
        let at = SERVICES.iter().position(|name| *name == service);
        &self.targets[at.expect("each service has a target")]
    }

    fn watch(&self) -> UsageWatch {
        UsageWatch::start(self.host.id(), SocketAddr::new(self.host.caller().ip(), 0))
    }

    /// Checks, while a crowd is there, that others are served and the host stays within its machine;
    /// returns what is wrong.
    async fn check(
        &mut self,
        name: &str,
        watch: UsageWatch,
        descriptors: u64,
    ) -> TestResult<Vec<String>> {
        let served = self.check_service().await;
        let mut failures: Vec<String> = served.err().into_iter().map(|e| e.to_string()).collect();
        if self.host.has_ended() {
            failures.push("the process has ended".to_owned());
        } else {
            let used = watch.finish().await?;
            println!("{name}: {used:?}");
            let PeakUse { resident_kb, unread_kb, descriptors: open } = used;
            if resident_kb + unread_kb > MACHINE_MB * 1024 || open > descriptors {
                failures.push(format!("{used:?}"));
            }
        }
        Ok(failures.into_iter().map(|failure| format!("{name}: {failure}")).collect())
    }

    /// Checks that ordinary requests are answered, with and without a body, by a caller that returns
    /// after a refusal; and that the host still follows the store.
    async fn check_service(&self) -> TestResult {
        let body = "x".repeat(1000);
        for (method, body) in [("GET", ""), ("POST", &*body)] {
            let answered = async || {
                let answer = self.host.send(method, "/ordinary/", "id-ordinary", body).await;
                answer.is_ok_and(|answer| answer.status == 200)
            };
            route::wait_for(&format!("an answer to {method}"), answered).await?;
        }
        self.host.wait_until_ready().await?;
        let mut changed = routes();
        changed.push(operator::single("/added/", "ordinary", "safe"));
        operator::configure(&self.store, 4, &changed, &SERVICES);
        let line = "routes-in-force: version=4";
        route::wait_for(line, async || self.host.logged(line) > 0).await
    }
}

/// Guards against a host that runs out of memory by bodies that stop short of their end, however
/// their length is stated.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_stay_within_the_memory_of_a_host() -> TestResult {
    struct Case {
        name: &'static str,
        path: &'static str,
        framing: Framing,
        crowd: usize,
    }
    let case = |name, path, framing, crowd| Case { name, path, framing, crowd };
    let cases = [
        case("length", "/once/", Framing::Length, CROWD),
        case("length, gathered", "/all/", Framing::Length, CROWD),
        case("chunks", "/once/", Framing::Chunks(4096), CROWD),
        case("chunks, gathered", "/all/", Framing::Chunks(4096), CROWD),
        case("tiny chunks", "/once/", Framing::Chunks(16), TINY_CROWD),
    ];
    let mut failures = Vec::new();
    for Case { name, path, framing, crowd } in cases {
        let mut fleet = CrowdedHost::start(ALL_DESCRIPTORS).await?;
        let watch = fleet.watch();
        let bytes = unfinished(crowd::request(path, "id-stalled", framing, BODY_BYTES));
        let stalled = Crowd::send(fleet.host.caller(), crowd, &bytes).await;
        failures.extend(fleet.check(name, watch, ALL_DESCRIPTORS).await?);
        let runs = fleet.target("s").all_runs() + fleet.target("a").all_runs();
        assert_eq!(runs, 0, "{name}: an incomplete request was sent");
        drop(stalled);
    }
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against memory that a host keeps after a crowd has left: the next one, whose bodies have
/// another size, comes on top.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_of_different_bodies_stay_within_the_memory_of_a_host() -> TestResult {
    let mut fleet = CrowdedHost::start(ALL_DESCRIPTORS).await?;
    let watch = fleet.watch();
    for (framing, body_bytes) in [
        (Framing::Chunks(4096), BODY_BYTES),
        (Framing::Length, 40_000),
        (Framing::Chunks(1000), 150_000),
        (Framing::Length, BODY_BYTES),
    ] {
        let bytes = unfinished(crowd::request("/once/", "id-stalled", framing, body_bytes));
        drop(Crowd::send(fleet.host.caller(), CROWD, &bytes).await);
    }
    let failures = fleet.check("after four crowds", watch, ALL_DESCRIPTORS).await?;
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a host that runs out of memory by complete bodies whose requests wait for a
/// target, and what lies unread behind them.
#[tokio::test(flavor = "multi_thread")]
async fn complete_bodies_stay_within_the_memory_of_a_host() -> TestResult {
    let mut failures = Vec::new();
    for framing in [Framing::Length, Framing::Chunks(4096)] {
        let name = format!("{framing:?}");
        let mut fleet = CrowdedHost::start(ALL_DESCRIPTORS).await?;
        fleet.target("held").fail_always(Some(TargetFault::NoAnswer));
        let watch = fleet.watch();
        let request = crowd::request("/held/", "id-held", framing, BODY_BYTES);
        let bytes = [request.clone(), unfinished(request)].concat();
        let waiting = Crowd::send(fleet.host.caller(), CROWD, &bytes).await;
        failures.extend(fleet.check(&name, watch, ALL_DESCRIPTORS).await?);
        drop(waiting);
    }
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a caller whose request was refused for lack of memory, and whose next request on the
/// same connection is never read.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_go_on_or_are_disconnected() -> TestResult {
    const CALLERS: usize = 100;
    const ROUNDS: usize = 4;
    /// Less than a host reads of a refused request, so that its connection can stay open.
    const LONG_BYTES: usize = 60_000;
    let fleet = CrowdedHost::start(ALL_DESCRIPTORS).await?;
    fleet.target("held").fail_always(Some(TargetFault::NoAnswer));
    let held = crowd::request("/held/", "id-held", Framing::Length, BODY_BYTES);
    let waiting = Crowd::send(fleet.host.caller(), CROWD, &held).await;
    let at = fleet.host.caller();
    let caller = async |number: usize| -> TestResult<usize> {
        let mut refused = 0;
        let mut stream = TcpStream::connect(at).await?;
        for round in 0..ROUNDS {
            let id = format!("id-{number}-{round}");
            let request = crowd::request("/once/", &id, Framing::Length, LONG_BYTES);
            if stream.write_all(&request).await.is_err() {
                break;
            }
            match timeout(route::WAIT_TIMEOUT, route::read_answer(&mut stream)).await {
                Err(_) => return Err(format!("{id} was not answered").into()),
                Ok(Err(_closed)) => break,
                Ok(Ok(answer)) if answer.status == 503 => {
                    refused += 1;
                    if !answer.headers.contains_key("retry-after") {
                        return Err(format!("{id}: {answer:?}").into());
                    }
                    if answer.headers.get("connection").is_some_and(|value| value == "close") {
                        break;
                    }
                }
                Ok(Ok(_)) => {}
            }
        }
        Ok(refused)
    };
    let refused = join_all((0..CALLERS).map(caller)).await;
    let refused = refused.into_iter().collect::<TestResult<Vec<usize>>>()?;
    println!("{} requests were refused", refused.iter().sum::<usize>());
    drop(waiting);
    Ok(())
}

/// Guards against a host that runs out of memory by heads that do not end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_stay_within_the_memory_of_a_host() -> TestResult {
    struct Case {
        name: &'static str,
        limit: usize,
        sent: usize,
    }
    let cases = [
        Case { name: "within the limit", limit: BODY_BYTES, sent: 200_000 },
        Case { name: "over the limit", limit: 16_384, sent: BODY_BYTES },
    ];
    let mut failures = Vec::new();
    for Case { name, limit, sent } in cases {
        let limits = operator::LimitValues {
            head_bytes: limit,
            head_ms: ROUTE_TIMEOUT_MS,
            ..operator::LimitValues::default()
        };
        let mut fleet = CrowdedHost::start_with(ALL_DESCRIPTORS, "", &limits).await?;
        let watch = fleet.watch();
        let head = crowd::endless_head(sent);
        let endless = Crowd::send(fleet.host.caller(), CROWD, &head).await;
        failures.extend(fleet.check(name, watch, ALL_DESCRIPTORS).await?);
        drop(endless);
    }
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a host that runs out of memory by answers that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_stay_within_the_memory_of_a_host() -> TestResult {
    /// More than the kernel's send buffer takes.
    const ANSWER_BYTES: usize = 8 << 20;
    const READERS: usize = 40;
    const RECEIVE_BYTES: u32 = 4096;
    let tables = "[policy.answers]\nheld_kb = 16384\n";
    let limits = operator::LimitValues::default();
    let mut fleet = CrowdedHost::start_with(ALL_DESCRIPTORS, tables, &limits).await?;
    let long = TargetFault::SlowBody(ANSWER_BYTES, Duration::ZERO);
    fleet.target("s").fail_always(Some(long));
    let watch = fleet.watch();
    let request = crowd::request("/once/", "id-unread", Framing::Length, 0);
    let at = fleet.host.caller();
    let silent = Crowd::send_with(at, READERS, &request, Some(RECEIVE_BYTES)).await;
    let failures = fleet.check("unread answers", watch, ALL_DESCRIPTORS).await?;
    drop(silent);
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against callers that read a long answer slowly, and keep the connections that its target
/// accepts for longer than they said that they wait.
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_leave_the_target_to_others() -> TestResult {
    /// More than the kernel's send buffer takes.
    const ANSWER_BYTES: usize = 8 << 20;
    /// More than the target accepts.
    const READERS: usize = 40;
    const RECEIVE_BYTES: u32 = 16_384;
    let mut fleet = CrowdedHost::start(ALL_DESCRIPTORS).await?;
    let long = TargetFault::SlowBody(ANSWER_BYTES, Duration::ZERO);
    fleet.target("s").fail_always(Some(long));
    let watch = fleet.watch();
    let request = crowd::request("/brief/", "id-slow", Framing::Length, 0);
    let slow = Crowd::send_with(fleet.host.caller(), READERS, &request, Some(RECEIVE_BYTES)).await;
    let slow = slow.trickle();
    let answered = async || {
        let answer = fleet.host.send("POST", "/once/", "id-ordinary", "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    route::wait_for("an answer of the same target", answered).await?;
    let failures = fleet.check("slow readers", watch, ALL_DESCRIPTORS).await?;
    drop(slow);
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a gatherer that runs out of memory by the bodies that many hosts pass on to it, each
/// of which holds no more than it may.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_delegated_queries_stay_within_the_memory_of_a_gatherer() -> TestResult {
    const FRONTS: usize = 20;
    /// More bodies than a front may hold.
    const CALLERS: usize = 20;
    const SHARDS: [&str; 4] = ["f-1", "f-2", "f-3", "f-4"];
    let _turn = ONE_AT_A_TIME.lock().await;
    let store = RouteStore::start().await?;
    let mut route = operator::scatter_gather("/far/", &SHARDS, 0.5);
    route["timeoutMs"] = json!(ROUTE_TIMEOUT_MS);
    operator::configure(&store, 3, &[route], &SHARDS);
    let mut targets = Vec::new();
    for shard in SHARDS {
        let target = RouteTarget::start(&format!("t-{shard}"), shard).await?;
        operator::register(&store, &format!("t-{shard}"), &target, "west");
        targets.push(target);
    }
    let host = format!("memory_mb = {MACHINE_MB}\nmax_fds = {ALL_DESCRIPTORS}\n");
    let options = HostOptions { host, ..HostOptions::default() };
    let start = |name: &str, zone, seeds: &[&RouteHost]| {
        RouteHost::start_with(name, zone, store.address(), seeds, &options)
    };
    let mut gatherer = start("h-west", "west", &[])?;
    gatherer.wait_until_ready().await?;
    let mut fronts = Vec::new();
    for number in 0..FRONTS {
        fronts.push(start(&format!("h-{number}"), "east", &[&gatherer])?);
    }
    for front in &fronts {
        front.wait_until_ready().await?;
        let delegated = async || {
            let _answer = front.send("GET", "/far/", "id-first", "").await;
            front.logged("shards-delegated") > 0
        };
        route::wait_for("the query to be delegated", delegated).await?;
    }
    targets.iter().for_each(|target| target.fail_always(Some(TargetFault::NoAnswer)));
    let watch = UsageWatch::start(gatherer.id(), SocketAddr::new(gatherer.caller().ip(), 0));
    let request = crowd::request("/far/", "id-far", Framing::Length, BODY_BYTES);
    let crowds = fronts.iter().map(|front| Crowd::send(front.caller(), CALLERS, &request));
    let crowds = join_all(crowds).await;
    targets.iter().for_each(|target| target.fail_always(None));
    for host in fronts.iter().chain([&gatherer]) {
        let answered = async || {
            let answer = host.send("GET", "/far/", "id-ordinary", "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        };
        route::wait_for("an answer to an ordinary query", answered).await?;
    }
    let used = watch.finish().await?;
    println!("gatherer: {used:?}");
    assert!(!gatherer.has_ended(), "the process has ended");
    assert!(used.resident_kb + used.unread_kb <= MACHINE_MB * 1024, "{used:?}");
    drop(crowds);
    Ok(())
}

/// Guards against a host without descriptors for its store, its targets and ordinary callers,
/// whichever of its ports the connections are opened to.
#[tokio::test(flavor = "multi_thread")]
async fn connections_leave_descriptors_on_each_port() -> TestResult {
    struct Case {
        name: &'static str,
        address: fn(&RouteHost) -> SocketAddr,
        bytes: &'static [u8],
    }
    let cases = [
        Case { name: "callers, idle", address: RouteHost::caller, bytes: b"" },
        Case { name: "callers, heads", address: RouteHost::caller, bytes: b"GET /once/ HT" },
        Case { name: "readiness, idle", address: RouteHost::ready, bytes: b"" },
        Case { name: "readiness, heads", address: RouteHost::ready, bytes: b"GET /-/re" },
        Case { name: "metrics, heads", address: RouteHost::metrics_address, bytes: b"GET /m" },
        Case { name: "peers, frames", address: RouteHost::peer, bytes: &[0, 0, 1] },
    ];
    let mut failures = Vec::new();
    for Case { name, address, bytes } in cases {
        let mut fleet = CrowdedHost::start(FEW_DESCRIPTORS).await?;
        let watch = fleet.watch();
        let open = Crowd::send(address(&fleet.host), CROWD, bytes).await;
        failures.extend(fleet.check(name, watch, FEW_DESCRIPTORS).await?);
        drop(open);
    }
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against limits that a single request within the limits of the configuration meets.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_request_at_the_limits_is_served() -> TestResult {
    let fleet = CrowdedHost::start(FEW_DESCRIPTORS).await?;
    let framings =
        [Framing::Length, Framing::Chunks(BODY_BYTES), Framing::Chunks(4096), Framing::Chunks(1)];
    for (number, framing) in framings.into_iter().enumerate() {
        let id = format!("id-{number}");
        let request = crowd::request("/once/", &id, framing, BODY_BYTES);
        let mut stream = TcpStream::connect(fleet.host.caller()).await?;
        stream.write_all(&request).await?;
        let answer = timeout(route::WAIT_TIMEOUT, route::read_answer(&mut stream)).await??;
        assert_eq!(answer.status, 200, "{framing:?}");
        let (_, _, body) = fleet.target("s").requests().pop().ok_or("the request ran")?;
        assert_eq!(body.len(), BODY_BYTES, "{framing:?}");
    }
    Ok(())
}
