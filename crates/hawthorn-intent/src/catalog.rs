//! The arenas that a daemon serves from: one catalog for each configuration
//! revision (life: version), never changed once built.
//!
//! Keys are positions in this catalog and mean nothing in another one; names
//! and [`GroupRecord::id`] travel between daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_types::CallerKey;
use hawthorn_types::ConfigRevision;
use hawthorn_types::GroupKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::UrgencyClass;
use hawthorn_types::WantedState;
use hawthorn_types::ZoneKey;
use la_arena::Arena;
use la_arena::Idx;
use la_arena::RawIdx;
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::group;
use crate::inventory::Inventory;
use crate::inventory::ServiceEntry;
use crate::inventory::TargetEntry;
use crate::inventory::shard_name;
use crate::rules::RuleSet;
use crate::wanted::WantedDecision;
use crate::wanted::wanted;

/// Into how many groups the targets of one zone fall, at most.
///
/// Load: a query to 270 targets must cost a message per owner, so there must
/// be far fewer groups than targets; and each of the 6 to 8 hosts of today
/// must get an even share, so there must be several groups for each host of a
/// zone. 64 gives a zone of 3 hosts 21 groups each. A zone of more than 64
/// hosts needs more: see [`Options::group_buckets`].
pub const GROUP_BUCKETS: u32 = 64;

/// How a catalog is built. All daemons must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Into how many groups the targets of one zone fall, at most.
    pub group_buckets: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { group_buckets: GROUP_BUCKETS }
    }
}

quick_error! {
    /// Why a catalog can't be built; a configuration that passed the check can.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// A target stands in a zone that the inventory doesn't have.
        UnknownZone(target: String, zone: String) {
            display("target {target} is in zone {zone:?}, which the inventory doesn't have")
        }
        /// A target is of a service that the inventory doesn't have.
        UnknownService(target: String, service: String) {
            display("target {target} is of service {service:?}, which the inventory doesn't have")
        }
        /// A target holds a shard that its service doesn't have.
        UnknownShard(target: String, shard: String) {
            display("target {target} holds shard {shard:?}, which its service doesn't have")
        }
    }
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// Its name.
    pub name: String,
    /// The region that it is in.
    pub region: String,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRecord {
    /// Its name.
    pub name: String,
    /// Its shards, in the order of their numbers.
    pub shards: Vec<ShardKey>,
    /// Slots of a target, unless it says otherwise.
    pub slots: u32,
    /// Connections of a target, unless it says otherwise.
    pub connections: u32,
    /// What a new connection costs.
    pub connect_cost: Duration,
    /// How long a target takes from switched on to warm.
    pub cold_start: Duration,
    /// How much a late answer hurts, when a query doesn't say.
    pub urgency: UrgencyClass,
}

/// One shard of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRecord {
    /// Its name, `service/number`.
    pub name: ShardName,
    /// The service.
    pub service: ServiceKey,
    /// Its number within the service, from 0.
    pub number: u32,
    /// The keys it holds by the inventory: equal parts of the key space.
    pub range: KeyRange,
    /// The targets that hold it, in whatever wanted state.
    pub targets: SmallVec<[TargetKey; 4]>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Its name.
    pub name: String,
    /// Its number in the asset register.
    pub asset: String,
    /// The service.
    pub service: ServiceKey,
    /// The availability zone.
    pub zone: ZoneKey,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The shards it holds.
    pub shards: SmallVec<[ShardKey; 2]>,
    /// How many requests it works on at once.
    pub slots: u32,
    /// How many connections it takes, from all hosts together.
    pub connections: u32,
    /// Whether it is a spare one.
    pub spare: bool,
    /// The group it is owned with.
    pub group: GroupKey,
    /// The state wanted of it, and why.
    pub decision: WantedDecision,
}

impl TargetRecord {
    /// The state wanted of it.
    pub fn wanted(&self) -> WantedState {
        self.decision.state
    }
}

/// Targets of one zone that one host owns together. Replicas of a shard in one
/// zone are always in one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// The zone.
    pub zone: ZoneKey,
    /// The bucket within the zone.
    pub bucket: u32,
    /// Names the group in every daemon, whatever its catalog; hash it with a
    /// host's name to choose the owner.
    pub id: u64,
    /// Its targets.
    pub targets: Vec<TargetKey>,
}

/// One caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRecord {
    /// Its name.
    pub name: String,
    /// Its share when callers compete, next to the others' weights.
    pub weight: u32,
}

/// Everything that one configuration revision names.
#[derive(Clone, Debug)]
pub struct FleetCatalog {
    revision: ConfigRevision,
    zones: Arena<ZoneRecord>,
    services: Arena<ServiceRecord>,
    shards: Arena<ShardRecord>,
    targets: Arena<TargetRecord>,
    groups: Arena<GroupRecord>,
    callers: Arena<CallerRecord>,
    zone_names: HashMap<String, ZoneKey>,
    service_names: HashMap<String, ServiceKey>,
    shard_names: HashMap<ShardName, ShardKey>,
    target_names: HashMap<String, TargetKey>,
    caller_names: HashMap<String, CallerKey>,
}

macro_rules! arena_access {
    ($one:ident, $all:ident, $arena:ident, $key:ident, $record:ident, $doc:literal) => {
        #[doc = concat!("The ", $doc, " behind a key of this catalog.")]
        pub fn $one(&self, key: $key) -> &$record {
            &self.$arena[raw(key.0)]
        }

        #[doc = concat!("Every ", $doc, " with its key.")]
        pub fn $all(&self) -> impl ExactSizeIterator<Item = ($key, &$record)> {
            self.$arena.iter().map(|(index, record)| ($key(index.into_raw().into_u32()), record))
        }
    };
}

impl FleetCatalog {
    arena_access!(zone, zones, zones, ZoneKey, ZoneRecord, "zone");
    arena_access!(service, services, services, ServiceKey, ServiceRecord, "service");
    arena_access!(shard, shards, shards, ShardKey, ShardRecord, "shard");
    arena_access!(target, targets, targets, TargetKey, TargetRecord, "target");
    arena_access!(group, groups, groups, GroupKey, GroupRecord, "group");
    arena_access!(caller, callers, callers, CallerKey, CallerRecord, "caller");

    /// The revision it was built from.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// The zone of that name.
    pub fn zone_named(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// The service of that name.
    pub fn service_named(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// The shard of that name.
    pub fn shard_named(&self, name: &ShardName) -> Option<ShardKey> {
        self.shard_names.get(name).copied()
    }

    /// The target of that name.
    pub fn target_named(&self, name: &str) -> Option<TargetKey> {
        self.target_names.get(name).copied()
    }

    /// The caller of that name.
    pub fn caller_named(&self, name: &str) -> Option<CallerKey> {
        self.caller_names.get(name).copied()
    }

    /// The targets that hold a shard, in whatever wanted state.
    pub fn targets_of(&self, shard: ShardKey) -> &[TargetKey] {
        &self.shard(shard).targets
    }

    /// The targets that hold a shard and are wanted to serve.
    pub fn serving_targets_of(&self, shard: ShardKey) -> impl Iterator<Item = TargetKey> {
        let serves = |key: &TargetKey| self.target(*key).wanted() == WantedState::Serve;
        self.targets_of(shard).iter().copied().filter(serves)
    }

    /// The group that holds a shard's replicas in a zone, if any.
    pub fn group_of(&self, shard: ShardKey, zone: ZoneKey) -> Option<GroupKey> {
        let targets = self.targets_of(shard).iter().map(|&key| self.target(key));
        targets.filter(|target| target.zone == zone).map(|target| target.group).next()
    }

    /// The shard of a service that a key belongs to, by the inventory.
    pub fn shard_at(&self, service: ServiceKey, key: u32) -> Option<ShardKey> {
        let shards = &self.service(service).shards;
        let past = shards.partition_point(|&shard| self.shard(shard).range.start <= key);
        let shard = *shards.get(past.checked_sub(1)?)?;
        (key < self.shard(shard).range.end).then_some(shard)
    }
}

/// Builds the catalog of a configuration that passed the check.
pub fn build(
    inventory: &Inventory,
    rules: &RuleSet,
    revision: ConfigRevision,
    options: Options,
) -> Result<FleetCatalog, Error> {
    let mut catalog = FleetCatalog {
        revision,
        zones: Arena::new(),
        services: Arena::new(),
        shards: Arena::new(),
        targets: Arena::new(),
        groups: Arena::new(),
        callers: Arena::new(),
        zone_names: HashMap::new(),
        service_names: HashMap::new(),
        shard_names: HashMap::new(),
        target_names: HashMap::new(),
        caller_names: HashMap::new(),
    };
    catalog.add_zones(inventory);
    for service in &inventory.services {
        catalog.add_service(service);
    }
    for caller in &rules.callers {
        let record = CallerRecord { name: caller.name.clone(), weight: caller.weight };
        let key = CallerKey(catalog.callers.alloc(record).into_raw().into_u32());
        catalog.caller_names.insert(caller.name.clone(), key);
    }
    let decisions = wanted(inventory, rules);
    for (target, decision) in inventory.targets.iter().zip(decisions) {
        catalog.add_target(target, decision)?;
    }
    catalog.add_groups(options);
    Ok(catalog)
}

impl FleetCatalog {
    fn add_zones(&mut self, inventory: &Inventory) {
        for zone in &inventory.zones {
            let record = ZoneRecord { name: zone.name.clone(), region: zone.region.clone() };
            let key = ZoneKey(self.zones.alloc(record).into_raw().into_u32());
            self.zone_names.insert(zone.name.clone(), key);
        }
    }

    fn add_service(&mut self, entry: &ServiceEntry) {
        let service = ServiceKey::from(self.services.len());
        let shards = (0..entry.shards).map(|number| self.add_shard(entry, service, number));
        let shards = shards.collect();
        self.services.alloc(ServiceRecord {
            name: entry.name.clone(),
            shards,
            slots: entry.slots,
            connections: entry.connections,
            connect_cost: entry.connect_cost,
            cold_start: entry.cold_start,
            urgency: entry.urgency,
        });
        self.service_names.insert(entry.name.clone(), service);
    }

    fn add_shard(&mut self, entry: &ServiceEntry, service: ServiceKey, number: u32) -> ShardKey {
        let name = shard_name(&entry.name, number, entry.shards);
        let record = ShardRecord {
            name: name.clone(),
            service,
            number,
            range: KeyRange::part(number, entry.shards),
            targets: SmallVec::new(),
        };
        let key = ShardKey(self.shards.alloc(record).into_raw().into_u32());
        self.shard_names.insert(name, key);
        key
    }

    fn add_target(&mut self, entry: &TargetEntry, decision: WantedDecision) -> Result<(), Error> {
        let name = || entry.name.clone();
        let zone = self
            .zone_named(&entry.zone)
            .ok_or_else(|| Error::UnknownZone(name(), entry.zone.clone()))?;
        let service = self
            .service_named(&entry.service)
            .ok_or_else(|| Error::UnknownService(name(), entry.service.clone()))?;
        let key = TargetKey::from(self.targets.len());
        let mut shards: SmallVec<[ShardKey; 2]> = SmallVec::new();
        for shard in &entry.shards {
            let known = self.shard_named(shard).filter(|&key| self.shard(key).service == service);
            let known = known.ok_or_else(|| Error::UnknownShard(name(), shard.0.clone()))?;
            shards.push(known);
        }
        shards.sort_unstable();
        shards.dedup();
        for &shard in &shards {
            self.shards[raw(shard.0)].targets.push(key);
        }
        let usual = self.service(service);
        let (slots, connections) = (usual.slots, usual.connections);
        self.targets.alloc(TargetRecord {
            name: entry.name.clone(),
            asset: entry.asset.clone(),
            service,
            zone,
            address: entry.address,
            shards,
            slots: entry.slots.unwrap_or(slots),
            connections: entry.connections.unwrap_or(connections),
            spare: entry.spare,
            group: GroupKey::default(),
            decision,
        });
        self.target_names.insert(entry.name.clone(), key);
        Ok(())
    }

    fn add_groups(&mut self, options: Options) {
        let buckets = group::buckets(self, options.group_buckets);
        let mut groups: HashMap<(ZoneKey, u32), GroupKey> = HashMap::new();
        for (index, bucket) in buckets.into_iter().enumerate() {
            let target = TargetKey::from(index);
            let zone = self.target(target).zone;
            let group = *groups.entry((zone, bucket)).or_insert_with(|| {
                let id = group::id(&self.zones[raw(zone.0)].name, bucket);
                let record = GroupRecord { zone, bucket, id, targets: Vec::new() };
                GroupKey(self.groups.alloc(record).into_raw().into_u32())
            });
            self.groups[raw(group.0)].targets.push(target);
            self.targets[raw(target.0)].group = group;
        }
    }
}

fn raw<T>(key: u32) -> Idx<T> {
    Idx::from_raw(RawIdx::from_u32(key))
}
