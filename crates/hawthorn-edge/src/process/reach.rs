//! Watches which zones can be reached, and steps aside when this host's cannot serve.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

/// How often it is looked at: a balancer asks for readiness once a second, and
/// should find the newest belief.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// What was asked for a look ago counts so much: half of it after five seconds.
const DEMAND_FACTOR: f64 = 0.986;
/// The way to a doubtful zone is tried with a connection, given up after so long:
/// many round trips between zones. A host's system accepts it also while the
/// host itself is busy.
const TRY_TIMEOUT: Duration = Duration::from_millis(60);

/// Looks at the zones for as long as the process lives.
///
/// A balancer believes a host's "not ready" only when it has heard it twice, a
/// second apart. So it is told as soon as the way to the other zones is doubtful
/// and has been tried in vain: when the doubt is wrong it is over before the
/// second question, and when it is right callers are elsewhere sooner.
pub(crate) async fn watch(host: Rc<RouteHost>) {
    let mut known: Vec<String> = Vec::new();
    loop {
        sleep(LOOK_PERIOD).await;
        let beliefs = &host.beliefs;
        let doubtful = beliefs.doubtful_zones(host_now());
        join_all(doubtful.iter().map(|zone| try_zone(&host, zone))).await;
        let now = host_now();
        let cut = beliefs.cut_zones(now);
        for zone in cut.iter().filter(|zone| !known.contains(zone)) {
            edge_event!(Level::Warn, EdgeEvent::ZoneReach, "zone={zone} reachable=false");
        }
        for zone in known.iter().filter(|zone| !cut.contains(zone)) {
            edge_event!(Level::Info, EdgeEvent::ZoneReach, "zone={zone} reachable=true");
        }
        beliefs.fade_demand(DEMAND_FACTOR);
        let options = beliefs.policy.get().zones;
        let doubtful =
            options.while_in_doubt && beliefs.find_stranded(&beliefs.doubtful_zones(now), now);
        beliefs.doubtful.set(doubtful);
        let stranded = options.step_aside && beliefs.find_stranded(&cut, now);
        if beliefs.stranded.replace(stranded) != stranded {
            edge_event!(Level::Warn, EdgeEvent::HostStranded, "stranded={stranded}");
        }
        let aside = stranded || beliefs.doubtful.get();
        let since = host.aside_since.get().unwrap_or(now);
        host.aside_since.set(aside.then_some(since));
        known = cut;
    }
}

/// Tries the way to a zone: to a host there, and once the zone is believed cut
/// off also to a target, as its hosts may be down and its targets not.
async fn try_zone(host: &RouteHost, zone: &str) {
    let peer = any_peer(host, zone);
    let cut = host.beliefs.cut_zones(host_now()).iter().any(|cut| cut == zone);
    let target = host.beliefs.any_target(zone).filter(|_| cut || peer.is_none());
    let tries = peer.into_iter().chain(target).map(|address| async move {
        matches!(timeout(TRY_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
    });
    if join_all(tries).await.contains(&true) {
        host.beliefs.zone_answered(zone);
    }
}

/// Where any host of a zone listens for others.
fn any_peer(host: &RouteHost, zone: &str) -> Option<SocketAddr> {
    let members = host.members.borrow();
    let there = members.hosts(zone).filter(|record| record.health == MemberHealth::Alive);
    let peers: Vec<SocketAddr> = there.map(|record| record.place.peer).collect();
    let lot = rand::rng().random_range(0..peers.len().max(1));
    peers.get(lot).copied()
}
