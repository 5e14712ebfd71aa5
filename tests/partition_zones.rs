//! Zones of `route` hosts that are cut off: their hosts no longer answer, and connections to them
//! stay open.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const SHARDS: [&str; 4] = ["a", "b", "c", "d"];
/// A share of a core on which a host does not gather four shards itself.
const SMALL_SHARE: f64 = 0.004;
/// Share of a core of the hosts that gather.
const LARGE_SHARE: f64 = 0.5;
/// Maximum number of queries until one meets the silent host.
const MAX_QUERIES: usize = 80;

/// A small host in zone `north`, which has no targets, and hosts that gather in zones `south` and
/// `west`, each of which has a target of every shard.
struct CutFleet {
    _store: RouteStore,
    targets: Vec<RouteTarget>,
    front: RouteHost,
    gatherers: Vec<RouteHost>,
}

impl CutFleet {
    /// Starts the fleet, with these hosts that gather in zone `north`. The hosts have no allowance
    /// of extra attempts, as in a large fleet, where the part of one host is below one.
    async fn start(own_gatherers: &[&str]) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let mut targets = Vec::new();
        for zone in ["south", "west"] {
            for shard in SHARDS {
                let id = format!("t-{shard}-{zone}");
                let target = RouteTarget::start(&id, shard).await?;
                operator::register(&store, &id, &target, zone);
                targets.push(target);
            }
        }
        let routes = [operator::scatter_gather("/all/", &SHARDS, 1.0)];
        operator::configure(&store, 3, &routes, &SHARDS);
        let at = store.address();
        let front = RouteHost::start_with_core_share("h-front", "north", at, &[], SMALL_SHARE)?;
        let mut gatherers = Vec::new();
        let others = [("h-south", "south"), ("h-west", "west")];
        for (name, zone) in own_gatherers.iter().map(|name| (*name, "north")).chain(others) {
            let seeds = [&front];
            let host = RouteHost::start_with_core_share(name, zone, at, &seeds, LARGE_SHARE)?;
            gatherers.push(host);
        }
        for host in gatherers.iter().chain([&front]) {
            host.wait_until_ready().await?;
            host.change_settings("allowance = 20000", "allowance = 0")?;
            host.signal(Signal::HUP)?;
        }
        let joined = async || front.logged("change=up") >= gatherers.len();
        route::wait_for("the hosts to know each other", joined).await?;
        Ok(Self { _store: store, targets, front, gatherers })
    }

    /// Sends queries of callers to all hosts, so that each zone with targets has earned extra
    /// attempts; returns the host that gathers for the front.
    async fn warm_up(&self) -> TestResult<&RouteHost> {
        for step in 0..20 {
            for host in &self.gatherers[self.gatherers.len() - 2..] {
                host.send("GET", "/all/", &format!("id-warm-{step}"), "").await?;
            }
        }
        let others = &self.gatherers[self.gatherers.len() - 2..];
        // The host that gathered the front's last query, unless it is of the front's zone.
        let last = || {
            let lines = self.front.log_lines();
            let line = lines.iter().rfind(|line| line.contains("outcome=whole"))?;
            others.iter().find(|host| line.contains(&format!("peer={} ", host.peer())))
        };
        let gathered = async || {
            for step in 0..10 {
                let id = format!("id-front-{step}");
                if self.front.send("GET", "/all/", &id, "").await.is_err() {
                    return false;
                }
            }
            last().is_some()
        };
        route::wait_for("a peer to gather", gathered).await?;
        last().ok_or_else(|| "no peer gathers".into())
    }
}

/// A zone is cut off while small hosts of a zone without targets delegate all their queries. Guards
/// against the loss of the first query to each host of the zone that is cut off: it was gathered
/// anew by a host of its own zone, which has sent no first attempts and so has earned no extra
/// ones, or not at all if that zone has no such host.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_to_a_zone_that_was_cut_off_is_gathered_anew() -> TestResult {
    struct Case {
        own_gatherers: &'static [&'static str],
    }
    let cases = [Case { own_gatherers: &["h-own"] }, Case { own_gatherers: &[] }];
    for Case { own_gatherers } in cases {
        let fleet = CutFleet::start(own_gatherers).await?;
        let cut = fleet.warm_up().await?;
        cut.signal(Signal::STOP)?;
        // Another zone may gather the first queries, as the front chooses at random among equals.
        let is_silent = || fleet.front.logged("outcome=silent") > 0;
        let mut steps = 0;
        while steps < 8 || (steps < MAX_QUERIES && !is_silent()) {
            let id = format!("id-{steps}");
            steps += 1;
            let answer = fleet.front.send("GET", "/all/", &id, "").await?;
            if answer.status != 200 {
                sleep(Duration::from_millis(300)).await;
                let lines = fleet.front.log_lines();
                let is_shown =
                    |line: &&String| ["E622", "E641", &id].iter().any(|text| line.contains(text));
                let lines: Vec<&String> = lines.iter().filter(is_shown).collect();
                let peers: Vec<_> = fleet.gatherers.iter().map(RouteHost::peer).collect();
                return Err(format!("{own_gatherers:?} of {peers:?}, {id}: {lines:#?}").into());
            }
            assert_eq!(answer.headers[headers::MISSING_PARTS], "0", "{id}");
        }
        route::wait_for("a query to meet the silent host", async || is_silent()).await?;
        cut.signal(Signal::CONT)?;
        sleep(Duration::from_millis(700)).await;
        for target in &fleet.targets {
            for step in 0..steps {
                assert!(target.runs(&format!("id-{step}")) <= 1);
            }
        }
    }
    Ok(())
}

/// A listener at the address of an ended target that answers no connection attempt, as across a
/// network partition.
struct SilentListener {
    _listener: TcpListener,
    /// Connections that fill the queue of the listener, so that the kernel accepts no others.
    _pending: Vec<TcpStream>,
}

impl SilentListener {
    async fn start(address: SocketAddr) -> TestResult<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1)?;
        let mut pending = Vec::new();
        while let Ok(stream) =
            timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            pending.push(stream?);
        }
        Ok(Self { _listener: listener, _pending: pending })
    }
}

/// Three hosts of zone `north`. Service `far` has targets only in zones `south` and `west`, service
/// `near` in `north`.
struct QuietZone {
    _store: RouteStore,
    _near: RouteTarget,
    far: Vec<RouteTarget>,
    hosts: Vec<RouteHost>,
}

impl QuietZone {
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let near = RouteTarget::start("t-near", "near").await?;
        operator::register(&store, "t-near", &near, "north");
        let mut far = Vec::new();
        for zone in ["south", "west"] {
            let id = format!("t-{zone}");
            let target = RouteTarget::start(&id, "far").await?;
            operator::register(&store, &id, &target, zone);
            far.push(target);
        }
        let routes =
            [operator::single("/far/", "far", "safe"), operator::single("/near/", "near", "safe")];
        operator::configure(&store, 3, &routes, &["far", "near"]);
        let mut hosts: Vec<RouteHost> = Vec::new();
        for name in ["h-1", "h-2", "h-3"] {
            let seeds: Vec<&RouteHost> = hosts.iter().take(1).collect();
            hosts.push(RouteHost::start(name, "north", store.address(), &seeds)?);
        }
        for host in &hosts {
            host.wait_until_ready().await?;
        }
        let joined = async || hosts.iter().all(|host| host.logged("change=up") >= 2);
        route::wait_for("the hosts to know each other", joined).await?;
        Ok(Self { _store: store, _near: near, far, hosts })
    }

    /// Cuts the zone off from the targets of `far`.
    async fn cut(&mut self) -> TestResult<Vec<SilentListener>> {
        let mut listeners = Vec::new();
        for target in self.far.drain(..) {
            let address = target.address();
            target.end();
            let bound = async || TcpListener::bind(address).await.is_ok();
            route::wait_for("the target to end", bound).await?;
            listeners.push(SilentListener::start(address).await?);
        }
        Ok(listeners)
    }

    /// Sends requests to the first host, `near` of them for each one to `far`, without end.
    async fn send(&self, near: usize) {
        loop {
            let far = (0..4).map(|_| self.hosts[0].send("GET", "/far/", "id-far", ""));
            let near = (0..4 * near).map(|_| self.hosts[0].send("GET", "/near/", "id-near", ""));
            futures::future::join(join_all(far), join_all(near)).await;
        }
    }

    /// When each host first failed its readiness probe, until all have or the time is over.
    async fn probe(&self, limit: Duration) -> Vec<Option<Duration>> {
        let started = Instant::now();
        let mut failed = vec![None; self.hosts.len()];
        while started.elapsed() < limit && failed.contains(&None) {
            let ready = join_all(self.hosts.iter().map(RouteHost::is_ready)).await;
            for (failed, _) in failed.iter_mut().zip(ready).filter(|(_, ready)| !ready) {
                failed.get_or_insert(started.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
        failed
    }
}

/// A zone is cut off from others, and only one of its hosts sends requests there. Guards against a
/// zone whose hosts fail their readiness probes one after the other, each when it has sent enough
/// requests itself, and against one that does so although its callers need little from elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn the_hosts_of_a_cut_off_zone_are_ready_or_not_together() -> TestResult {
    struct Case {
        name: &'static str,
        /// Requests that targets of the zone can answer, for each other one.
        near: usize,
        unready: bool,
    }
    let cases = [
        Case { name: "callers need other zones", near: 0, unready: true },
        Case { name: "the zone has what callers need", near: 12, unready: false },
    ];
    for Case { name, near, unready } in cases {
        let mut zone = QuietZone::start().await?;
        let _silent = zone.cut().await?;
        let limit = Duration::from_secs(if unready { 8 } else { 4 });
        let failed = tokio::select! {
            () = zone.send(near) => unreachable!("requests are sent without end"),
            failed = zone.probe(limit) => failed,
        };
        // The first host to fail its probe may do so before others have confirmed its reports.
        let confirmed = async || {
            let knows = |host: &RouteHost, other: &str| {
                host.logged(&format!("zone-report: zone={other} change=confirmed")) > 0
            };
            zone.hosts.iter().all(|host| knows(host, "south") && knows(host, "west"))
        };
        route::wait_for("all hosts to confirm the partition", confirmed).await?;
        if unready {
            let times: Option<Vec<Duration>> = failed.iter().copied().collect();
            let times = times.ok_or_else(|| format!("{name}: {failed:?}"))?;
            let spread = times.iter().max().zip(times.iter().min());
            let spread = spread.map(|(last, first)| *last - *first);
            println!("{name}: {times:?}");
            assert!(spread <= Some(Duration::from_secs(1)), "{name}: {times:?}");
        } else {
            assert_eq!(failed, [None; 3], "{name}");
        }
    }
    Ok(())
}
