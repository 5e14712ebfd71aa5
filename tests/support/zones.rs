//! Targets of several zones, one of each shard in each.

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;

use super::TestResult;

/// Targets by zone, then by shard.
pub struct ZoneTargets(Vec<Vec<RouteTarget>>);

impl ZoneTargets {
    /// Starts and registers a target of each shard in each zone, as `t-SHARD-ZONE`.
    pub async fn start(store: &RouteStore, zones: &[&str], shards: &[&str]) -> TestResult<Self> {
        let mut targets = Vec::new();
        for zone in zones {
            let mut there = Vec::new();
            for shard in shards {
                let id = format!("t-{shard}-{zone}");
                let target = RouteTarget::start(&id, shard).await?;
                operator::register(store, &id, &target, zone);
                there.push(target);
            }
            targets.push(there);
        }
        Ok(Self(targets))
    }

    /// Requests that the targets of a zone have run.
    pub fn runs(&self, zone: usize) -> usize {
        self.0[zone].iter().map(RouteTarget::all_runs).sum()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &RouteTarget> {
        self.0.iter().flatten()
    }
}
