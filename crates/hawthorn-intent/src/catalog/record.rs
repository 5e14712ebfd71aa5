//! The records behind the keys of a catalog.

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_types::DesiredState;
use hawthorn_types::GroupKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::UrgencyClass;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

use crate::wanted::WantedDecision;

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
    pub fn desired_state(&self) -> DesiredState {
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
