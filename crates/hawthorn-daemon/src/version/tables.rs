//! Shard tables for query planning. Each is built once per version of configuration, fleet and
//! views, and shared by all queries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hawthorn_fleet::MemberId;
use hawthorn_plan::ReplicaOption;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_types::HostKey;
use hawthorn_types::RangeSet;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

use crate::connection::message::ShardView;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::views::ViewTable;

/// Versions that a table was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TableStamp {
    revision: u64,
    fleet: u64,
    views: u64,
}

/// Cached table of one service.
#[derive(Debug)]
struct CachedTable {
    stamp: TableStamp,
    table: Arc<ShardTable>,
    owners: Vec<MemberId>,
    /// Owners whose view lacks a replica of one of their shards.
    incomplete: Vec<MemberId>,
    /// Time of the last change of the configuration or the fleet.
    changed_at: Instant,
    /// Time at which the owners' views were last marked as needed.
    marked_at: Instant,
    /// Earliest expiry of a previous owner's report used in the table.
    expires: Option<Instant>,
}

/// Time after a change of the fleet or the configuration during which ownership may still change.
const OWNERSHIP_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Interval at which the owners of a table in use are marked as needed.
const MARK_NEEDED_INTERVAL: Duration = Duration::from_secs(1);

/// Cached tables by service.
#[derive(Debug, Default)]
pub struct TableCache {
    tables: Mutex<HashMap<ServiceKey, CachedTable>>,
    report_cache: Mutex<ReportCache>,
}

/// Time for which a previous owner's report of a shard is used for its successor.
///
/// After a change of ownership, the new owner has not published its view yet, and without the
/// report its shards would count as having no replica although the targets are unchanged. The new
/// owner probes them within this time; a piece sent to it on an outdated report is rejected and
/// goes to another zone.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Last report of each shard in each zone.
#[derive(Debug, Default)]
struct ReportCache {
    reports: HashMap<(ShardName, String), ReportedShard>,
    /// Earliest expiry among the previous owners' reports used in the current table.
    expires: Option<Instant>,
}

/// Last report of a shard.
#[derive(Debug)]
struct ReportedShard {
    owner: HostKey,
    view: ShardView,
    /// Time at which another owner was first seen in its place.
    replaced_at: Option<Instant>,
}

impl ReportCache {
    /// Returns the owner's report, or for a limited time that of its predecessor.
    fn resolve(
        &mut self,
        shard: &ShardName,
        zone: &str,
        owner: HostKey,
        report: Option<&ShardView>,
    ) -> Option<ShardView> {
        let key = (shard.clone(), zone.to_owned());
        if let Some(view) = report {
            let report = ReportedShard { owner, view: view.clone(), replaced_at: None };
            self.reports.insert(key, report);
            return Some(view.clone());
        }
        let previous = self.reports.get_mut(&key)?;
        let expires = *previous.replaced_at.get_or_insert_with(Instant::now) + REPORT_TTL;
        if previous.owner == owner || expires <= Instant::now() {
            self.reports.remove(&key);
            return None;
        }
        self.expires = Some(self.expires.map_or(expires, |first| first.min(expires)));
        Some(previous.view.clone())
    }
}

impl TableCache {
    /// Returns the current table of a service.
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
        if let Some(cached) = tables.get_mut(&service)
            && cached.stamp == stamp
            && cached.expires.is_none_or(|at| Instant::now() < at)
        {
            if cached.marked_at.elapsed() >= MARK_NEEDED_INTERVAL {
                views.mark_needed(cached.owners.iter().copied());
                cached.marked_at = Instant::now();
            }
            return Arc::clone(&cached.table);
        }
        let mut report_cache = self.report_cache.lock().expect("no holder of the lock panics");
        report_cache.expires = None;
        let table = Arc::new(build(service, config, fleet, views, &mut report_cache));
        let owners = owners(&table, fleet, |_| true);
        let incomplete = self::owners(&table, fleet, |option| option.versions.is_empty());
        views.mark_needed(owners.iter().copied());
        let marked_at = Instant::now();
        let expires = report_cache.expires;
        let unchanged = tables.get(&service).filter(|cached| {
            cached.stamp.fleet == stamp.fleet && cached.stamp.revision == stamp.revision
        });
        let changed_at = unchanged.map_or(marked_at, |cached| cached.changed_at);
        let shared = Arc::clone(&table);
        let cached =
            CachedTable { stamp, table, owners, incomplete, changed_at, marked_at, expires };
        tables.insert(service, cached);
        shared
    }

    /// Whether every shard of the service has a known replica in each zone that should have one and
    /// has a host. A shard without a known owner is incomplete: a host that knows no other host
    /// cannot distinguish being alone from not being connected yet.
    pub fn is_complete(
        &self,
        service: ServiceKey,
        config: &ConfigInForce,
        fleet: &FleetView,
        views: &ViewTable,
    ) -> bool {
        let table = self.table(service, config, fleet, views);
        table.shards().iter().all(|shard| {
            let mut options = shard.options.iter();
            !shard.options.is_empty() && options.all(|option| !option.versions.is_empty())
        })
    }

    /// Whether ownership changed recently and the owner's view lacks a replica of one of its
    /// shards: it may have been sent before the owner had probed its targets. Later the cause is a
    /// lost target, and frequent refreshes would only load the owner.
    pub fn is_incomplete(&self, owner: MemberId) -> bool {
        let tables = self.tables.lock().expect("no holder of the lock panics");
        let mut recent =
            tables.values().filter(|cached| cached.changed_at.elapsed() < OWNERSHIP_SETTLE_TIME);
        recent.any(|cached| cached.incomplete.contains(&owner))
    }

    /// Owners of the service's shards whose views have not been received.
    pub fn owners_without_view(
        &self,
        service: ServiceKey,
        config: &ConfigInForce,
        fleet: &FleetView,
        views: &ViewTable,
    ) -> Vec<MemberId> {
        let table = self.table(service, config, fleet, views);
        let incomplete = table
            .shards()
            .iter()
            .any(|shard| shard.options.iter().any(|option| option.versions.is_empty()));
        if !incomplete {
            return Vec::new();
        }
        let mut owners_without_view = owners(&table, fleet, |_| true);
        owners_without_view.retain(|&owner| views.get(owner).is_none());
        owners_without_view
    }
}

/// Owners of the replica options accepted by `is_counted`.
fn owners(
    table: &ShardTable,
    fleet: &FleetView,
    is_counted: impl Fn(&ReplicaOption) -> bool,
) -> Vec<MemberId> {
    let options = table.shards().iter().flat_map(|shard| &shard.options);
    let options = options.filter(|option| is_counted(option));
    let hosts = options.filter_map(|option| fleet.hosts.get(&option.owner));
    let mut owners: Vec<MemberId> = hosts.map(|host| host.id).collect();
    owners.sort_unstable();
    owners.dedup();
    owners
}

fn build(
    service: ServiceKey,
    config: &ConfigInForce,
    fleet: &FleetView,
    views: &ViewTable,
    report_cache: &mut ReportCache,
) -> ShardTable {
    let shards = config.catalog.service(service).shards.iter();
    ShardTable::new(
        shards.map(|&shard| record(shard, config, fleet, views, report_cache)).collect(),
    )
}

fn record(
    key: ShardKey,
    config: &ConfigInForce,
    fleet: &FleetView,
    views: &ViewTable,
    report_cache: &mut ReportCache,
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
        let cached_view = views.get(host.id);
        let report =
            cached_view.as_ref().and_then(|cached_view| cached_view.view.shard(&shard.name));
        let view = report_cache.resolve(&shard.name, &catalog.zone(zone).name, owner, report);
        // A zone in which no target should serve is no option, unless its owner still uses one
        // until others can take over.
        if view.is_none() && !serving.contains(&zone) {
            continue;
        }
        if let Some(view) = &view {
            held.extend(&view.held);
        }
        options.push(ReplicaOption {
            zone,
            owner,
            expected_wait: Duration::from_micros(
                view.as_ref().map_or(0, |view| view.wait_us.saturating_add(view.service_us)),
            ),
            versions: view.map(|view| view.versions).unwrap_or_default(),
        });
    }
    if held.is_empty() {
        held = shard.range.into();
    }
    ShardRecord { shard: key, range: shard.range, held, options }
}
