//! The arenas that a daemon serves from: one catalog for each configuration
//! revision (life: version), never changed once built.
//!
//! Keys are positions in this catalog and mean nothing in another one; names
//! and [`GroupRecord::id`] travel between daemons.

mod build;
mod record;

use std::collections::HashMap;

use hawthorn_types::CallerKey;
use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::GroupKey;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::ZoneKey;
use la_arena::Arena;
use la_arena::Idx;
use la_arena::RawIdx;

pub use build::Error;
pub use build::LoadError;
pub use build::LoadedConfig;
pub use build::build;
pub use build::load;
pub use build::load_parts;
pub use record::CallerRecord;
pub use record::GroupRecord;
pub use record::ServiceRecord;
pub use record::ShardRecord;
pub use record::TargetRecord;
pub use record::ZoneRecord;

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
        let serves = |key: &TargetKey| self.target(*key).desired_state() == DesiredState::Serve;
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

fn raw<T>(key: u32) -> Idx<T> {
    Idx::from_raw(RawIdx::from_u32(key))
}
