//! Fleets that several experiments use.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_standin::DeploymentOptions;
use hawthorn_standin::History;
use hawthorn_standin::deployment::ServiceDescription;
use hawthorn_standin::load::HttpTier;
use hawthorn_standin::load::tier::EntryHost;
use hawthorn_standin::target::ServiceTime;

use crate::support::FleetOptions;
use crate::support::TestFleet;

/// Maximum number of connections of the measuring callers to one daemon.
const ENTRY_CONNECTIONS: usize = 256;
/// Time for owners to open connections to their targets and to measure their latency.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of zones of the deployment.
const ZONES: usize = 3;

/// Dar Port with these services. Records no history, as no experiment checks it.
pub fn deployment(services: Vec<ServiceDescription>) -> DeploymentOptions {
    DeploymentOptions { services, history: History::discarding(), ..DeploymentOptions::dar_port() }
}

/// A service whose attempts all take the same time.
pub fn constant_time_service(name: &str, shards: u32, typical: Duration) -> ServiceDescription {
    let service_time = ServiceTime { typical, spread: 0.0, ..ServiceTime::default() };
    ServiceDescription { shards, service_time, ..ServiceDescription::new(name) }
}

/// A fleet of `daemons` daemons, spread over the zones.
pub fn fleet(deployment: DeploymentOptions, daemons: usize) -> FleetOptions {
    let hosts = (0..ZONES).map(|zone| (daemons + ZONES - 1 - zone) / ZONES).collect();
    FleetOptions { deployment, hosts, ..FleetOptions::dar_port() }
}

/// A client with connections to all daemons of a fleet.
pub fn tier(fleet: &TestFleet) -> Arc<HttpTier> {
    let hosts = fleet
        .daemons
        .iter()
        .map(|daemon| EntryHost { name: daemon.spec.host.clone(), address: daemon.caller });
    Arc::new(HttpTier::new(hosts.collect(), ENTRY_CONNECTIONS))
}
