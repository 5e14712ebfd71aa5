//! Shard tables that queries are planned from, built once for each version of
//! configuration, fleet and views, and shared by all queries meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hawthorn_plan::ReplicaOption;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_types::RangeSet;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::views::ViewTable;

/// What a table was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TableStamp {
    revision: u64,
    fleet: u64,
    views: u64,
}

/// Tables by service.
#[derive(Debug, Default)]
pub struct TableCache {
    tables: Mutex<HashMap<ServiceKey, (TableStamp, Arc<ShardTable>)>>,
}

impl TableCache {
    /// The table of a service as known now.
    pub fn table(
        &self,
        service: ServiceKey,
        config: &ConfigInForce,
        fleet: &FleetView,
        views: &ViewTable,
    ) -> Arc<ShardTable> {
        let stamp = TableStamp {
            revision: config.catalog.revision().0,
            fleet: fleet.generation,
            views: views.generation(),
        };
        let mut tables = self.tables.lock().expect("no holder of the lock panics");
        if let Some((known, table)) = tables.get(&service)
            && *known == stamp
        {
            return Arc::clone(table);
        }
        let table = Arc::new(build(service, config, fleet, views));
        tables.insert(service, (stamp, Arc::clone(&table)));
        table
    }
}

fn build(
    service: ServiceKey,
    config: &ConfigInForce,
    fleet: &FleetView,
    views: &ViewTable,
) -> ShardTable {
    let shards = config.catalog.service(service).shards.iter();
    ShardTable::new(shards.map(|&shard| record(shard, config, fleet, views)).collect())
}

fn record(
    key: ShardKey,
    config: &ConfigInForce,
    fleet: &FleetView,
    views: &ViewTable,
) -> ShardRecord {
    let catalog = &config.catalog;
    let shard = catalog.shard(key);
    let serving: SmallVec<[ZoneKey; 4]> =
        catalog.serving_targets_of(key).map(|target| catalog.target(target).zone).collect();
    let mut zones: SmallVec<[ZoneKey; 4]> =
        catalog.targets_of(key).iter().map(|&target| catalog.target(target).zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut held = RangeSet::default();
    let mut options = SmallVec::new();
    for zone in zones {
        let Some(group) = catalog.group_of(key, zone) else { continue };
        let bucket = catalog.group(group).bucket;
        let Some(owner) = fleet.owner_of(&catalog.zone(zone).name, bucket) else { continue };
        let Some(host) = fleet.hosts.get(&owner) else { continue };
        let heard = views.get(host.id);
        let view = heard.as_ref().and_then(|heard| heard.view.shard(&shard.name));
        // A zone whose targets are all wanted off or on standby is no way to
        // search the shard, unless its owner still uses one until others can.
        if view.is_none() && !serving.contains(&zone) {
            continue;
        }
        if let Some(view) = view {
            held.extend(&view.held);
        }
        options.push(ReplicaOption {
            zone,
            owner,
            versions: view.map(|view| view.versions.clone()).unwrap_or_default(),
            expected_wait: Duration::from_micros(view.map_or(0, |view| view.wait_us)),
        });
    }
    if held.is_empty() {
        held = shard.range.into();
    }
    ShardRecord { shard: key, range: shard.range, held, options }
}
