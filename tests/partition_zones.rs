//! Zones of `route` hosts that are cut off: their hosts no longer answer, and connections to them
//! stay open.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

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
                let lines: Vec<&String> = lines.iter().filter(|line| line.contains(&id)).collect();
                return Err(format!("{own_gatherers:?}, {id}: {lines:#?}").into());
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
