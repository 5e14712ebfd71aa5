//! Watches which zones can be reached, and steps aside when this host's cannot serve.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
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
/// A zone that is cut off is tried with one connection, given up after so long.
const TRY_TIMEOUT: Duration = Duration::from_millis(120);

/// Looks at the zones for as long as the process lives.
pub(crate) async fn watch(host: Rc<RouteHost>) {
    let mut known: Vec<String> = Vec::new();
    loop {
        sleep(LOOK_PERIOD).await;
        for zone in host.beliefs.cut_zones(host_now()) {
            try_zone(&host, &zone).await;
        }
        let cut = host.beliefs.cut_zones(host_now());
        for zone in cut.iter().filter(|zone| !known.contains(zone)) {
            edge_event!(Level::Warn, EdgeEvent::ZoneReach, "zone={zone} reachable=false");
        }
        for zone in known.iter().filter(|zone| !cut.contains(zone)) {
            edge_event!(Level::Info, EdgeEvent::ZoneReach, "zone={zone} reachable=true");
        }
        known = cut;
        host.beliefs.fade_demand(DEMAND_FACTOR);
        let stranded = host.beliefs.find_stranded(host_now());
        if host.beliefs.stranded.replace(stranded) != stranded {
            edge_event!(Level::Warn, EdgeEvent::HostStranded, "stranded={stranded}");
        }
    }
}

async fn try_zone(host: &RouteHost, zone: &str) {
    let Some(address) = host.beliefs.any_target(zone) else { return };
    if let Ok(Ok(_stream)) = timeout(TRY_TIMEOUT, TcpStream::connect(address)).await {
        host.beliefs.zone_answered(zone);
    }
}
