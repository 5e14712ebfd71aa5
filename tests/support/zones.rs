//! A fleet of two zones, each with one host and one target per shard.

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use serde_json::Value;

use super::TestResult;
use super::route::RouteHost;

/// The shards, each of which is also a service.
pub const SHARDS: [&str; 4] = ["a", "b", "c", "d"];
/// The zones, each in a region of its own; see [`RouteHost::start`].
pub const ZONES: [&str; 2] = ["east", "west"];

/// Targets by zone, then by shard.
pub struct ZoneTargets(Vec<Vec<RouteTarget>>);

impl ZoneTargets {
    /// Starts and registers a target of each shard in each zone, as `t-SHARD-ZONE`.
    async fn start(store: &RouteStore) -> TestResult<Self> {
        let mut targets = Vec::new();
        for zone in ZONES {
            let mut in_zone = Vec::new();
            for shard in SHARDS {
                let id = format!("t-{shard}-{zone}");
                let target = RouteTarget::start(&id, shard).await?;
                operator::register(store, &id, &target, zone);
                in_zone.push(target);
            }
            targets.push(in_zone);
        }
        Ok(Self(targets))
    }

    /// The number of requests that the targets of a zone have run.
    pub fn runs(&self, zone: usize) -> usize {
        self.0[zone].iter().map(RouteTarget::all_runs).sum()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &RouteTarget> {
        self.0.iter().flatten()
    }
}

/// A store, targets, and a ready host in each zone.
pub struct ZoneFleet {
    pub store: RouteStore,
    pub targets: ZoneTargets,
    pub hosts: Vec<RouteHost>,
}

impl ZoneFleet {
    /// Starts a fleet with these routes.
    pub async fn start(routes: &[Value]) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let targets = ZoneTargets::start(&store).await?;
        operator::configure(&store, 3, routes, &SHARDS);
        let east = RouteHost::start("h-1", "east", store.address(), &[])?;
        east.wait_until_ready().await?;
        let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
        west.wait_until_ready().await?;
        Ok(Self { store, targets, hosts: vec![east, west] })
    }
}
