//! Hosts whose sources of updates have gone silent while the store is well.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use futures::future;
use hawthorn_fleet::MemberId;
use hawthorn_route::gatherers::ZoneHost;
use hawthorn_route::mirror;
use hawthorn_standin::proxy::HostLink;
use hawthorn_standin::proxy::NetworkLocation;
use hawthorn_standin::proxy::NetworkOptions;
use hawthorn_standin::proxy::StandinNetwork;
use hawthorn_standin::proxy::ThrottleRate;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::HostOptions;
use support::route::RouteHost;
use tokio::time::sleep;

/// Time within which a version is in force on all hosts.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the hosts have followed their sources before these go silent.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after which all threads of a suspended process have stopped.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Interval at which a host is asked for the new route.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A zone of hosts that follow one of them, and a host of another zone.
struct FollowingZone {
    store: RouteStore,
    _target: RouteTarget,
    far: RouteHost,
    /// In the order in which they are asked for updates.
    hosts: Vec<RouteHost>,
}

impl FollowingZone {
    async fn start(count: usize) -> TestResult<Self> {
        Self::start_behind(count, &[]).await
    }

    /// The first link is that of the host of the other zone, the others those of the first sources.
    async fn start_behind(count: usize, links: &[HostLink]) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        operator::register(&store, "t-1", &target, "east");
        operator::configure(&store, 1, &[operator::single("/old/", "s", "safe")], &["s"]);
        let start = |name: &str, zone, seeds: &[&RouteHost], link: Option<&HostLink>| {
            let advertised = link.map(HostLink::address);
            let options = HostOptions { advertised, ..HostOptions::default() };
            let host = RouteHost::start_with(name, zone, store.address(), seeds, &options)?;
            if let Some(link) = link {
                link.set_upstream(host.peer());
            }
            TestResult::Ok(host)
        };
        let far = start("h-far", "west", &[], links.first())?;
        let name = |number| format!("h-{number}");
        let id = |number| MemberId::of(&name(number)).0;
        let zone: Vec<_> = (0..count).map(|n| ZoneHost { id: id(n), capacity: 0 }).collect();
        let ranked = mirror::rank(&zone);
        let mut hosts = Vec::new();
        for number in 0..count {
            let rank = ranked.iter().position(|ranked| *ranked == id(number)).unwrap_or(count);
            let host = start(&name(number), "east", &[&far], links.get(1 + rank))?;
            hosts.push((rank, host));
        }
        hosts.sort_by_key(|(rank, _)| *rank);
        let hosts: Vec<RouteHost> = hosts.into_iter().map(|(_, host)| host).collect();
        for host in hosts.iter().chain([&far]) {
            host.wait_until_ready().await?;
        }
        let zone = Self { store, _target: target, far, hosts };
        zone.settle().await?;
        Ok(zone)
    }

    /// Waits until one host of each zone has watched the store for some time.
    async fn settle(&self) -> TestResult {
        let (started, mut settled) = (Instant::now(), Instant::now());
        while settled.elapsed() < SETTLE_TIME {
            let watchers = self.store.watchers();
            if watchers.len() != 2 || !watchers.contains(&self.hosts[0].caller().ip()) {
                settled = Instant::now();
            }
            if started.elapsed() > 2 * route::WAIT_TIMEOUT {
                return Err("other hosts watch the store, too".into());
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// The time from `written` until a host serves a new route.
async fn applied_after(host: &RouteHost, path: &str, written: Instant) -> TestResult<Duration> {
    while written.elapsed() < route::WAIT_TIMEOUT {
        if host.send("GET", path, "id", "").await?.status == 200 {
            return Ok(written.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err("the version is not in force".into())
}

/// Suspends the first `silent` sources of a zone before a version is written, and returns the
/// hosts in which it is in force too late.
async fn late_hosts(count: usize, silent: usize) -> TestResult<Vec<String>> {
    let zone = FollowingZone::start(count).await?;
    let (sources, followers) = zone.hosts.split_at(silent);
    for source in sources {
        source.signal(Signal::STOP)?;
    }
    sleep(STOP_TIME).await;
    let written = Instant::now();
    operator::configure(&zone.store, 2, &[operator::single("/new/", "s", "safe")], &["s"]);
    let times = followers.iter().map(|host| applied_after(host, "/new/", written));
    let times = future::try_join_all(times).await?;
    println!("{silent} silent sources: {times:?}");
    let late = followers.iter().zip(times).filter(|(_, time)| *time >= APPLY_LIMIT);
    let describe = |(host, time): (&RouteHost, Duration)| {
        let mut lines = host.log_lines();
        lines.retain(|line| line.contains("change=suspected") || line.contains("E644"));
        format!("{silent} silent sources, in force after {time:?}: {lines:#?}")
    };
    Ok(late.map(describe).collect())
}

/// Guards against hosts that keep an old version while they ask one silent source after another.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_in_force_in_time_beside_silent_sources() -> TestResult {
    let mut late = Vec::new();
    for silent in [2, 3, 4] {
        late.extend(late_hosts(8, silent).await?);
    }
    assert!(late.is_empty(), "{late:#?}");
    Ok(())
}

/// Guards against hosts that ask silent sources for as long as there are any.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_with_many_silent_sources_read_the_store() -> TestResult {
    let late = late_hosts(16, 10).await?;
    assert!(late.is_empty(), "{late:#?}");
    Ok(())
}

/// Guards against a silent source that is noticed late because bytes of another host of its zone
/// arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_transfer_does_not_hide_a_silent_source() -> TestResult {
    /// Random routes, which one host of the zone sends in several seconds.
    const ROUTES: u64 = 400;
    const THROTTLE: ThrottleRate =
        ThrottleRate { chunk_bytes: 256, delay: Duration::from_millis(20) };
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    operator::register(&store, "t-1", &target, "east");
    let new_route = |path: &str| operator::single(path, "s", "safe");
    operator::configure(&store, 1, &[new_route("/old/")], &["s"]);
    let mut names = ["h-0", "h-1", "h-2"];
    let ranked =
        mirror::rank(&names.map(|name| ZoneHost { id: MemberId::of(name).0, capacity: 0 }));
    names.sort_by_key(|name| ranked.iter().position(|id| *id == MemberId::of(name).0));
    let east = NetworkLocation::zone("east");
    let mut network = StandinNetwork::new(NetworkOptions::dar_port());
    let addresses = [(IpAddr::V4(Ipv4Addr::LOCALHOST), east.clone())];
    let link = network.link_host(east.clone(), &addresses).await?;
    // In a fleet with a single zone, two hosts watch the store.
    let source = RouteHost::start(names[0], "east", store.address(), &[])?;
    let options = HostOptions { advertised: Some(link.address()), ..HostOptions::default() };
    let slow = RouteHost::start_with(names[1], "east", store.address(), &[&source], &options)?;
    link.set_upstream(slow.peer());
    let reader = RouteHost::start(names[2], "east", store.address(), &[&source])?;
    for host in [&source, &slow, &reader] {
        host.wait_until_ready().await?;
    }
    let follows = async || {
        let watchers = store.watchers();
        watchers.len() == 2 && !watchers.contains(&reader.caller().ip())
    };
    sleep(SETTLE_TIME).await;
    route::wait_for("the reader to follow", follows).await?;
    for control in network.controls(&east, &east) {
        control.set_faults(|faults| faults.throttle = Some(THROTTLE));
    }
    // The reader sends its next request as soon as it has this version.
    operator::configure(&store, 2, &[new_route("/new/")], &["s"]);
    applied_after(&reader, "/new/", Instant::now()).await?;
    source.signal(Signal::STOP)?;
    let mut routes = vec![new_route("/newer/")];
    for number in 0..ROUTES {
        let name: String = route::random_words(number, 24).collect();
        routes.push(new_route(&format!("/{name}/")));
    }
    operator::configure(&store, 3, &routes, &["s"]);
    let time = applied_after(&reader, "/newer/", Instant::now()).await?;
    println!("beside a slow transfer: {time:?}");
    let mut lines = reader.log_lines();
    lines.retain(|line| ["E641", "E643", "E645"].iter().any(|event| line.contains(event)));
    assert!(time < APPLY_LIMIT, "in force after {time:?}: {lines:#?}");
    Ok(())
}

/// Guards against a failed call to the store after which a host asks silent sources for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_call_to_the_store_does_not_keep_a_host_with_silent_sources() -> TestResult {
    const SILENT: usize = 8;
    const OUTAGE: Duration = Duration::from_secs(3);
    const RETURN_LIMIT: Duration = Duration::from_secs(8);
    const SILENCE: ThrottleRate = ThrottleRate { chunk_bytes: 1, delay: Duration::from_secs(3600) };
    let east = NetworkLocation::zone("east");
    let mut network = StandinNetwork::new(NetworkOptions::dar_port());
    let addresses = [(IpAddr::V4(Ipv4Addr::LOCALHOST), east.clone())];
    let mut links = Vec::new();
    for _ in 0..=SILENT {
        links.push(network.link_host(east.clone(), &addresses).await?);
    }
    let zone = FollowingZone::start_behind(12, &links).await?;
    for control in network.controls(&east, &east) {
        control.set_faults(|faults| faults.throttle = Some(SILENCE));
    }
    zone.store.set_outage(RouteOutage::Unavailable);
    sleep(OUTAGE).await;
    let followers = &zone.hosts[SILENT..];
    for host in followers {
        let failed = host.log_lines().iter().any(|line| line.contains("E612"));
        assert!(failed, "no call to the store failed: {:#?}", host.log_lines());
    }
    operator::configure(&zone.store, 2, &[operator::single("/new/", "s", "safe")], &["s"]);
    zone.store.set_outage(RouteOutage::None);
    let returned = Instant::now();
    let times = followers.iter().map(|host| applied_after(host, "/new/", returned));
    let times = future::join_all(times).await;
    println!("after a failed call: {times:?}");
    for host in followers {
        let mut lines = host.log_lines();
        lines.retain(|line| line.contains("E641") && line.contains("change=down"));
        assert!(lines.is_empty(), "sources left the membership: {lines:#?}");
    }
    let is_late = |time: &TestResult<Duration>| !matches!(time, Ok(time) if *time < RETURN_LIMIT);
    let late = followers.iter().zip(&times).filter(|(_, time)| is_late(time));
    let describe = |(host, time): (&RouteHost, &TestResult<Duration>)| {
        let events = ["E612", "E613", "E641", "E643", "E644"];
        let mut lines = host.log_lines();
        lines.retain(|line| events.iter().any(|event| line.contains(event)));
        format!("in force after {time:?}: {lines:#?}")
    };
    let late: Vec<_> = late.map(describe).collect();
    assert!(late.is_empty(), "{late:#?}");
    Ok(())
}

/// Guards against a host that pauses its calls to a store that answers, because a watch was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_watch_is_replaced_in_time() -> TestResult {
    let zone = FollowingZone::start(3).await?;
    let (reader, sources) = zone.hosts.split_last().ok_or("no host")?;
    for source in sources.iter().chain([&zone.far]) {
        source.signal(Signal::STOP)?;
    }
    let address = reader.caller().ip();
    let watches = async || zone.store.watchers().contains(&address);
    route::wait_for("the last host to watch the store itself", watches).await?;
    zone.store.hang(&[address]);
    operator::configure(&zone.store, 2, &[operator::single("/new/", "s", "safe")], &["s"]);
    let is_answered = async || !zone.store.watchers().contains(&address);
    route::wait_for("the answer to the watch", is_answered).await?;
    zone.store.hang(&[]);
    let time = applied_after(reader, "/new/", Instant::now()).await?;
    println!("after a lost watch: {time:?}");
    let mut lines = reader.log_lines();
    lines.retain(|line| ["E612", "E613", "E618", "E641"].iter().any(|event| line.contains(event)));
    assert!(time < APPLY_LIMIT, "in force after {time:?}: {lines:#?}");
    Ok(())
}
