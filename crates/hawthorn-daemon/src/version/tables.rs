//! Shard tables that queries are planned from, built once for each version of
//! configuration, fleet and views, and shared by all queries meanwhile.

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

/// What a table was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TableStamp {
    revision: u64,
    fleet: u64,
    views: u64,
}

/// One service's table.
#[derive(Debug)]
struct CachedTable {
    stamp: TableStamp,
    table: Arc<ShardTable>,
    owners: Vec<MemberId>,
    /// Those of them that hold nothing of a shard as far as they have told.
    bare: Vec<MemberId>,
    /// When the configuration or the fleet last changed under it.
    moved_at: Instant,
    /// When the owners were last said to be wanted.
    wanted_at: Instant,
    /// When something in it is believed no more.
    expires: Option<Instant>,
}

/// How long after a change of the fleet or the configuration groups may still
/// be changing hands.
const MOVING_TIME: Duration = Duration::from_secs(5);

/// How often the owners of a table in use are said to be wanted.
const WANT_INTERVAL: Duration = Duration::from_secs(1);

/// Tables by service.
#[derive(Debug, Default)]
pub struct TableCache {
    tables: Mutex<HashMap<ServiceKey, CachedTable>>,
    memory: Mutex<ShardMemory>,
}

/// For how long what a zone's owner said of a shard is believed of the next.
///
/// Failure: a group changes hands and the new owner has not told what it holds.
/// Its shards would count as held by nobody although the targets are as before.
/// By then the new owner has asked them; what is wrong meanwhile it turns away,
/// and the piece goes to another zone.
const MEMORY_TIME: Duration = Duration::from_secs(2);

/// What was last said of each shard in each zone.
#[derive(Debug, Default)]
struct ShardMemory {
    told: HashMap<(ShardName, String), ToldShard>,
    /// When the first of what was recalled for this table is believed no more.
    expires: Option<Instant>,
}

/// What an owner said of a shard.
#[derive(Debug)]
struct ToldShard {
    owner: HostKey,
    view: ShardView,
    /// When another owner was first seen in its place.
    replaced_at: Option<Instant>,
}

impl ShardMemory {
    /// What the owner says, or what another owner before it said until a
    /// moment ago.
    fn recall(
        &mut self,
        shard: &ShardName,
        zone: &str,
        owner: HostKey,
        told: Option<&ShardView>,
    ) -> Option<ShardView> {
        let key = (shard.clone(), zone.to_owned());
        if let Some(view) = told {
            let told = ToldShard { owner, view: view.clone(), replaced_at: None };
            self.told.insert(key, told);
            return Some(view.clone());
        }
        let before = self.told.get_mut(&key)?;
        let expires = *before.replaced_at.get_or_insert_with(Instant::now) + MEMORY_TIME;
        if before.owner == owner || expires <= Instant::now() {
            self.told.remove(&key);
            return None;
        }
        self.expires = Some(self.expires.map_or(expires, |first| first.min(expires)));
        Some(before.view.clone())
    }
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
        if let Some(known) = tables.get_mut(&service)
            && known.stamp == stamp
            && known.expires.is_none_or(|at| Instant::now() < at)
        {
            if known.wanted_at.elapsed() >= WANT_INTERVAL {
                views.want(known.owners.iter().copied());
                known.wanted_at = Instant::now();
            }
            return Arc::clone(&known.table);
        }
        let mut memory = self.memory.lock().expect("no holder of the lock panics");
        memory.expires = None;
        let table = Arc::new(build(service, config, fleet, views, &mut memory));
        let owners = owners(&table, fleet, |_| true);
        let bare = self::owners(&table, fleet, |option| option.versions.is_empty());
        views.want(owners.iter().copied());
        let wanted_at = Instant::now();
        let expires = memory.expires;
        let unmoved = tables.get(&service).filter(|known| {
            known.stamp.fleet == stamp.fleet && known.stamp.revision == stamp.revision
        });
        let moved_at = unmoved.map_or(wanted_at, |known| known.moved_at);
        let shared = Arc::clone(&table);
        let cached = CachedTable { stamp, table, owners, bare, moved_at, wanted_at, expires };
        tables.insert(service, cached);
        shared
    }

    /// Whether a replica is known in each zone that should have one and has a
    /// host, of every shard of the service. A host that knows no other cannot
    /// tell whether it is alone or has not been heard yet, so a shard that no
    /// known host owns is not complete.
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

    /// Whether groups moved a moment ago and the owner holds nothing of some
    /// shard that is its own now, as far as it has told: it may have told before
    /// it had asked its targets. Later it is a target that is lost, and asking
    /// often would only load its owner.
    pub fn is_bare(&self, owner: MemberId) -> bool {
        let tables = self.tables.lock().expect("no holder of the lock panics");
        let mut moved = tables.values().filter(|cached| cached.moved_at.elapsed() < MOVING_TIME);
        moved.any(|cached| cached.bare.contains(&owner))
    }

    /// Owners of the service's shards that were never heard.
    pub fn unheard(
        &self,
        service: ServiceKey,
        config: &ConfigInForce,
        fleet: &FleetView,
        views: &ViewTable,
    ) -> Vec<MemberId> {
        let table = self.table(service, config, fleet, views);
        let bare = table
            .shards()
            .iter()
            .any(|shard| shard.options.iter().any(|option| option.versions.is_empty()));
        if !bare {
            return Vec::new();
        }
        let mut unheard = owners(&table, fleet, |_| true);
        unheard.retain(|&owner| views.get(owner).is_none());
        unheard
    }
}

/// Owners of those ways to search a shard.
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
    memory: &mut ShardMemory,
) -> ShardTable {
    let shards = config.catalog.service(service).shards.iter();
    ShardTable::new(shards.map(|&shard| record(shard, config, fleet, views, memory)).collect())
}

fn record(
    key: ShardKey,
    config: &ConfigInForce,
    fleet: &FleetView,
    views: &ViewTable,
    memory: &mut ShardMemory,
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
        let told = heard.as_ref().and_then(|heard| heard.view.shard(&shard.name));
        let view = memory.recall(&shard.name, &catalog.zone(zone).name, owner, told);
        // A zone whose targets are all wanted off or on standby is no way to
        // search the shard, unless its owner still uses one until others can.
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
