//! Immutable arenas of zones, services, shards, targets, groups and callers: one catalog for each
//! configuration revision.
//!
//! Keys are indices in one catalog and are not valid in any other. Daemons refer to entries by name
//! or [`GroupRecord::id`] when they communicate.

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

/// Default for [`Options::group_buckets`].
///
/// A query to 270 targets should cost one message for each owner, so there must be far fewer groups
/// than targets. On the other hand, each of the 6 to 8 hosts of the fleet must get several groups,
/// so that the targets of a zone are distributed evenly: with 64 groups, each host of a zone with 3
/// hosts gets 21. A zone with more than 64 hosts needs more groups.
pub const GROUP_BUCKETS: u32 = 64;

/// Options for building a catalog. All daemons must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of groups that the targets of a zone are distributed over.
    pub group_buckets: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { group_buckets: GROUP_BUCKETS }
    }
}

/// All entries of one configuration revision.
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
        #[doc = concat!("Returns the ", $doc, " with this key, which must be of this catalog.")]
        pub fn $one(&self, key: $key) -> &$record {
            &self.$arena[raw(key.0)]
        }

        #[doc = concat!("Iterates over all ", $doc, " records and their keys.")]
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

    /// The revision that the catalog was built from.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Looks up a zone by name.
    pub fn zone_named(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// Looks up a service by name.
    pub fn service_named(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Looks up a shard by name.
    pub fn shard_named(&self, name: &ShardName) -> Option<ShardKey> {
        self.shard_names.get(name).copied()
    }

    /// Looks up a target by name.
    pub fn target_named(&self, name: &str) -> Option<TargetKey> {
        self.target_names.get(name).copied()
    }

    /// Looks up a caller by name.
    pub fn caller_named(&self, name: &str) -> Option<CallerKey> {
        self.caller_names.get(name).copied()
    }

    /// Targets that hold a shard, regardless of their desired state.
    pub fn targets_of(&self, shard: ShardKey) -> &[TargetKey] {
        &self.shard(shard).targets
    }

    /// Targets that hold a shard and should serve.
    pub fn serving_targets_of(&self, shard: ShardKey) -> impl Iterator<Item = TargetKey> {
        let is_serving = |key: &TargetKey| self.target(*key).desired_state() == DesiredState::Serve;
        self.targets_of(shard).iter().copied().filter(is_serving)
    }

    /// The group of a shard's replicas in a zone, if there are any.
    pub fn group_of(&self, shard: ShardKey, zone: ZoneKey) -> Option<GroupKey> {
        let targets = self.targets_of(shard).iter().map(|&key| self.target(key));
        targets.filter(|target| target.zone == zone).map(|target| target.group).next()
    }

    /// The shard of a service whose key range, as derived from the inventory, contains `key`.
    pub fn shard_at(&self, service: ServiceKey, key: u32) -> Option<ShardKey> {
        let shards = &self.service(service).shards;
        let end = shards.partition_point(|&shard| self.shard(shard).range.start <= key);
        let shard = *shards.get(end.checked_sub(1)?)?;
        (key < self.shard(shard).range.end).then_some(shard)
    }
}

fn raw<T>(key: u32) -> Idx<T> {
    Idx::from_raw(RawIdx::from_u32(key))
}
