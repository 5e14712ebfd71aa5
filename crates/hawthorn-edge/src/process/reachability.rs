//! Monitors which zones are reachable, and fails the readiness probe if this host's zone cannot
//! serve callers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use hawthorn_fleet::MemberHealth;
use log::Level;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::zone_reports;

/// Interval of the checks: a balancer probes readiness once a second and should get a recent
/// result.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Decay of demand counts in one check period: half remains after five seconds.
const DEMAND_DECAY: f64 = 0.986;
/// Timeout of a connection that probes a suspected zone: many round trips between zones. The
/// operating system accepts connections also while the process of the other host is busy.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Checks the zones until the process exits.
///
/// A balancer removes a host only after two failed probes, a second apart. So the readiness
/// probe fails as soon as the other zones are suspected and probing them has failed: a false
/// suspicion is over before the second probe, and otherwise callers are moved sooner.
pub(crate) async fn watch(host: Rc<RouteHost>) {
    let mut reported: Vec<String> = Vec::new();
    loop {
        sleep(CHECK_PERIOD).await;
        let routing = &host.routing;
        let suspected = routing.suspected_zones(host_now());
        let probes = join_all(suspected.iter().map(|zone| probe_zone(&host, zone)));
        join(probes, zone_reports::probe_reported(&host, &suspected)).await;
        let now = host_now();
        let unreachable = routing.unreachable_zones(now);
        for zone in unreachable.iter().filter(|zone| !reported.contains(zone)) {
            edge_event!(Level::Warn, EdgeEvent::ZoneReach, "zone={zone} reachable=false");
        }
        for zone in reported.iter().filter(|zone| !unreachable.contains(zone)) {
            edge_event!(Level::Info, EdgeEvent::ZoneReach, "zone={zone} reachable=true");
        }
        routing.decay_demand(DEMAND_DECAY);
        let options = routing.policy.get().zones;
        let may_be_unready = options.while_in_doubt
            && routing.should_fail_readiness(&routing.suspected_zones(now), now);
        routing.may_be_unready.set(may_be_unready);
        let stranded = options.step_aside && routing.should_fail_readiness(&unreachable, now);
        if routing.unready.replace(stranded) != stranded {
            edge_event!(Level::Warn, EdgeEvent::HostStranded, "stranded={stranded}");
        }
        zone_reports::update(&host);
        let unready = stranded || routing.may_be_unready.get() || host.zone_reports.is_unready();
        let since = host.unready_since.get().unwrap_or(now);
        host.unready_since.set(unready.then_some(since));
        reported = unreachable;
    }
}

/// Probes a zone by connecting to a host there. If the zone is considered unreachable or has no
/// known host, also to a target, as all its hosts may be down while its targets are up. Returns
/// whether one of them answered; `None` if neither is known.
pub(crate) async fn probe_zone(host: &RouteHost, zone: &str) -> Option<bool> {
    let peer = any_peer(host, zone);
    let unreachable = host.routing.unreachable_zones(host_now()).iter().any(|name| name == zone);
    let target = host.routing.any_target(zone).filter(|_| unreachable || peer.is_none());
    let probes = peer.into_iter().chain(target).map(|address| async move {
        matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
    });
    let results = join_all(probes).await;
    let answered = results.contains(&true);
    if answered {
        host.routing.zone_answered(zone);
    }
    (!results.is_empty()).then_some(answered)
}

/// The address of a random live host of a zone.
fn any_peer(host: &RouteHost, zone: &str) -> Option<SocketAddr> {
    let members = host.members.borrow();
    let alive = members.hosts(zone).filter(|record| record.health == MemberHealth::Alive);
    let peers: Vec<SocketAddr> = alive.map(|record| record.place.peer).collect();
    let index = rand::rng().random_range(0..peers.len().max(1));
    peers.get(index).copied()
}
