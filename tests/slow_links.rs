//! Hosts whose links are slow for what is sent over them.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::proxy::NetworkLocation;
use hawthorn_standin::proxy::NetworkOptions;
use hawthorn_standin::proxy::StandinNetwork;
use hawthorn_standin::proxy::ThrottleRate;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use serde_json::Value;
use support::TestResult;
use support::route;
use support::route::HostOptions;
use support::route::RouteHost;
use tokio::time::sleep;

/// Number of routes of a large configuration.
const ROUTES: usize = 4250;
/// Time within which a version is in force on all hosts.
const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// Capacity of a slow link, in Mbit/s.
const LINK_MBPS: f64 = 14.0;
/// Bytes per second that a host may receive for control.
const CONTROL_RATE: f64 = 5_000.0;

/// A route whose path has no pattern.
fn large_route(number: usize) -> Value {
    let name: String = route::random_words(number as u64, 2).collect();
    operator::single(&format!("/{name}/"), "s", "safe")
}

/// The routes of a large configuration; `/changed/` leads to a service.
fn large_routes(service: &str) -> Vec<Value> {
    let mut routes: Vec<Value> = (0..ROUTES).map(large_route).collect();
    routes.push(operator::single("/changed/", service, "safe"));
    routes
}

/// Bytes that the store has returned to a host.
async fn store_bytes(host: &RouteHost) -> TestResult<f64> {
    let metrics = host.metrics().await?;
    let lines = metrics.lines().filter(|line| line.starts_with("hawthorn_route_store_bytes_total"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}

/// The same of all hosts.
async fn all_store_bytes(hosts: &[RouteHost]) -> TestResult<f64> {
    let mut sum = 0.0;
    for host in hosts {
        sum += store_bytes(host).await?;
    }
    Ok(sum)
}

/// Guards against a host whose checks of the store fill its link with a configuration that has not
/// changed.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_not_read_again_while_nothing_changes() -> TestResult {
    const IDLE: Duration = Duration::from_secs(5);
    let store = RouteStore::start().await?;
    operator::configure(&store, 1, &large_routes("s"), &["s"]);
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    route::wait_for("the host to watch", async || store.waiting_watches() == 1).await?;
    let before = store_bytes(&host).await?;
    sleep(IDLE).await;
    let read = store_bytes(&host).await? - before;
    assert!(before > 0.0, "the bytes are counted");
    assert!(read < CONTROL_RATE * IDLE.as_secs_f64(), "{read} bytes in {IDLE:?}");
    Ok(())
}

/// Guards against a host that never starts because a read of the configuration takes longer than a
/// call to the store may.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_on_a_slow_link_starts_with_a_large_configuration() -> TestResult {
    let store = RouteStore::start().await?;
    operator::configure(&store, 1, &large_routes("s"), &["s"]);
    let mut network = StandinNetwork::new(NetworkOptions::dar_port());
    let (zone, platform) = (NetworkLocation::zone("east"), NetworkLocation::Platform);
    let at = network.link_tcp(zone.clone(), platform.clone(), store.address()).await?;
    for control in network.controls(&zone, &platform) {
        control.set_faults(|faults| {
            let delay = Duration::from_millis(10);
            faults.throttle = Some(ThrottleRate { chunk_bytes: 8 * 1024, delay });
        });
    }
    let host = RouteHost::start("h-1", "east", at, &[])?;
    host.wait_until_ready().await
}

/// Guards against hosts that receive a large configuration anew for each change of it: a change of
/// one route is in force in time, and each zone reads it from the store once.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_one_route_reaches_a_zone_over_slow_links_in_time() -> TestResult {
    const HOSTS: usize = 16;
    let store = RouteStore::start().await?;
    let old = RouteTarget::start("t-old", "s").await?;
    let new = RouteTarget::start("t-new", "new").await?;
    operator::register(&store, "t-old", &old, "east");
    operator::register(&store, "t-new", &new, "east");
    operator::configure(&store, 1, &large_routes("s"), &["s", "new"]);
    let mut hosts: Vec<RouteHost> = Vec::new();
    for number in 0..HOSTS {
        let seeds: Vec<&RouteHost> = hosts.first().into_iter().collect();
        let (name, at) = (format!("h-{number}"), store.address());
        hosts.push(RouteHost::start_on_link(&name, "east", at, &seeds, LINK_MBPS)?);
    }
    for host in &hosts {
        host.wait_until_ready().await?;
    }
    // Two hosts of a fleet with a single zone watch the store.
    route::wait_for("two hosts to watch", async || store.waiting_watches() == 2).await?;
    let before = all_store_bytes(&hosts).await?;
    operator::configure(&store, 2, &large_routes("new"), &["s", "new"]);
    let written = Instant::now();
    for (number, host) in hosts.iter().enumerate() {
        let applied = async || {
            let served = new.all_runs();
            let id = format!("id-{number}-{served}");
            let answer = host.send("GET", "/changed/", &id, "").await;
            answer.is_ok_and(|answer| answer.status == 200) && new.all_runs() > served
        };
        route::wait_for("the change to be in force", applied).await?;
    }
    assert!(written.elapsed() < APPLY_LIMIT, "{:?}", written.elapsed());
    let read = all_store_bytes(&hosts).await? - before;
    // The store returns it in base64.
    let document = serde_json::to_vec(&large_routes("new"))?.len() as f64 * 4.0 / 3.0;
    assert!(read < 4.0 * document, "{:.1} configurations were read", read / document);
    Ok(())
}

/// Guards against an update that is cut and begun again as it takes longer than a reply may, until
/// its reader fetches all from the store.
#[tokio::test(flavor = "multi_thread")]
async fn an_update_over_a_slow_link_is_not_begun_again() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    operator::configure(&store, 1, &large_routes("s"), &["s"]);
    let east = NetworkLocation::zone("east");
    let mut network = StandinNetwork::new(NetworkOptions::dar_port());
    let sources = [(IpAddr::V4(Ipv4Addr::LOCALHOST), east.clone())];
    let link = network.link_host(east.clone(), &sources).await?;
    // Hosts with little capacity watch the store for their zones, as the others gather.
    let options =
        HostOptions { advertised: Some(link.address()), ..HostOptions::with_core_share(0.1) };
    let at = store.address();
    let far = RouteHost::start("h-far", "west", at, &[])?;
    let source = RouteHost::start_with("h-source", "east", at, &[&far], &options)?;
    link.set_upstream(source.peer());
    let reader = RouteHost::start_with_core_share("h-reader", "east", at, &[&far], 0.9)?;
    for host in [&far, &source, &reader] {
        host.wait_until_ready().await?;
    }
    let follows = async || {
        let watchers = store.watchers();
        watchers.contains(&source.caller().ip()) && !watchers.contains(&reader.caller().ip())
    };
    route::wait_for("the reader to follow the source", follows).await?;
    for control in network.controls(&east, &east) {
        control.set_faults(|faults| {
            let delay = Duration::from_millis(20);
            faults.throttle = Some(ThrottleRate { chunk_bytes: 1024, delay });
        });
    }
    let before = store_bytes(&reader).await?;
    // All names are new, so that the update is long.
    let mut routes: Vec<Value> = (0..ROUTES).map(|number| large_route(number + ROUTES)).collect();
    routes.push(operator::single("/new/", "s", "safe"));
    operator::configure(&store, 2, &routes, &["s"]);
    let applied = async || {
        let answer = reader.send("GET", "/new/", "id", "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    route::wait_for("the version to be in force", applied).await?;
    let read = store_bytes(&reader).await? - before;
    let lines = reader.log_lines();
    let lines: Vec<_> = lines.iter().filter(|line| line.contains("reason=")).collect();
    assert!(read < CONTROL_RATE * 2.0, "{read} bytes from the store: {lines:#?}");
    Ok(())
}

/// A small host in zone `north` that delegates its queries to two hosts of zone `south`, one of them
/// behind a slow link. Each shard has three targets in `south`.
struct SlowGatherer {
    _store: RouteStore,
    /// The targets of each shard.
    shards: Vec<Vec<RouteTarget>>,
    front: RouteHost,
    _gatherers: Vec<RouteHost>,
    network: StandinNetwork,
}

impl SlowGatherer {
    /// A share of a core on which a host does not gather itself.
    const SMALL_SHARE: f64 = 0.002;
    const SHARDS: [&str; 4] = ["a", "b", "c", "d"];

    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let mut shards = Vec::new();
        for shard in Self::SHARDS {
            let mut targets = Vec::new();
            for number in 1..=3 {
                let id = format!("t-{shard}-{number}");
                let target = RouteTarget::start(&id, shard).await?;
                operator::register(&store, &id, &target, "south");
                targets.push(target);
            }
            shards.push(targets);
        }
        let routes = [operator::scatter_gather("/all/", &Self::SHARDS, 1.0)];
        operator::configure(&store, 3, &routes, &Self::SHARDS);
        let mut network = StandinNetwork::new(NetworkOptions::dar_port());
        let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let sources = [(source, NetworkLocation::zone("north"))];
        let link = network.link_host(NetworkLocation::zone("south"), &sources).await?;
        let at = store.address();
        let small = Self::SMALL_SHARE;
        let front = RouteHost::start_with_core_share("h-front", "north", at, &[], small)?;
        let options =
            HostOptions { advertised: Some(link.address()), ..HostOptions::with_core_share(0.5) };
        let slow = RouteHost::start_with("h-slow", "south", at, &[&front], &options)?;
        link.set_upstream(slow.peer());
        let other = RouteHost::start_with_core_share("h-other", "south", at, &[&front], 0.5)?;
        for host in [&front, &slow, &other] {
            host.wait_until_ready().await?;
        }
        let joined = async || front.logged("change=up") >= 2;
        route::wait_for("the hosts to know each other", joined).await?;
        Ok(Self { _store: store, shards, front, _gatherers: vec![slow, other], network })
    }

    /// Sets the delay of the slow link, and whether what the front sends is held back.
    fn set_link(&self, latency: Duration, is_held: bool) {
        let (north, south) = (NetworkLocation::zone("north"), NetworkLocation::zone("south"));
        for control in self.network.controls(&north, &south) {
            control.set_faults(|faults| {
                faults.latency = latency;
                faults.cut_forward = is_held;
            });
        }
    }

    /// The most runs of a request at the targets of one shard.
    fn runs(&self, id: &str) -> usize {
        let runs = |targets: &Vec<RouteTarget>| targets.iter().map(|target| target.runs(id)).sum();
        self.shards.iter().map(runs).max().unwrap_or_default()
    }
}

/// Guards against more attempts than the route allows if a peer is taken for silent because its
/// replies are late, while it is at work and does not read yet that it was replaced.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_is_replaced_while_it_works_stays_within_the_attempts() -> TestResult {
    const MAX_ATTEMPTS: usize = 2;
    const LATENCY: Duration = Duration::from_millis(40);
    const HOLD: Duration = Duration::from_millis(700);
    let fleet = SlowGatherer::start().await?;
    let gathered = async || {
        let answer = fleet.front.send("GET", "/all/", "id-warm", "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    route::wait_for("a query to be gathered", gathered).await?;
    for target in fleet.shards.iter().flatten() {
        target.fail_always(Some(TargetFault::Slow(Duration::from_secs(1))));
    }
    let mut replaced = 0;
    for step in 0..12 {
        let id = format!("id-{step}");
        fleet.set_link(LATENCY, false);
        let hold = async {
            route::wait_for("the first attempt", async || fleet.runs(&id) > 0).await?;
            fleet.set_link(LATENCY, true);
            sleep(HOLD).await;
            fleet.set_link(Duration::ZERO, false);
            TestResult::Ok(())
        };
        // The outcome does not matter: none of the targets answers in time.
        let (_answer, held) = tokio::join!(fleet.front.send("GET", "/all/", &id, ""), hold);
        held?;
        let regathered = format!("query-regathered: request={id} ");
        replaced += usize::from(fleet.front.logged(&regathered) > 0);
        let runs = fleet.runs(&id);
        assert!(runs <= MAX_ATTEMPTS, "{id} ran {runs} times");
        // A suspected peer is not asked again for 1.5 s.
        sleep(Duration::from_millis(1600)).await;
        if replaced >= 2 {
            break;
        }
    }
    let lines = fleet.front.log_lines();
    let delegated = lines.iter().filter(|line| line.contains("E633"));
    assert!(replaced > 0, "no peer was replaced: {:#?}", delegated.collect::<Vec<_>>());
    Ok(())
}
