//! Records of a catalog.

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

use crate::desired_state::StateDecision;

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The name.
    pub name: String,
    /// The region that the zone is in.
    pub region: String,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRecord {
    /// The name.
    pub name: String,
    /// The shards, ordered by number.
    pub shards: Vec<ShardKey>,
    /// Default for [`TargetRecord::slots`].
    pub slots: u32,
    /// Default for [`TargetRecord::connections`].
    pub connections: u32,
    /// Time to open a new connection.
    pub connect_cost: Duration,
    /// Time that a target takes from power-on until it is warm.
    pub cold_start: Duration,
    /// Urgency of queries that do not set one.
    pub urgency: UrgencyClass,
}

/// One shard of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRecord {
    /// The name, `service/number`.
    pub name: ShardName,
    /// The service.
    pub service: ServiceKey,
    /// The number within the service, counted from 0.
    pub number: u32,
    /// The key range. The shards of a service divide the key space evenly.
    pub range: KeyRange,
    /// The targets that hold it, regardless of their desired state.
    pub targets: SmallVec<[TargetKey; 4]>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The name.
    pub name: String,
    /// Asset number in the asset register.
    pub asset: String,
    /// The service.
    pub service: ServiceKey,
    /// The availability zone.
    pub zone: ZoneKey,
    /// The address.
    pub address: SocketAddr,
    /// The shards that it holds.
    pub shards: SmallVec<[ShardKey; 2]>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections from all hosts together.
    pub connections: u32,
    /// Whether it is spare hardware.
    pub spare: bool,
    /// The group that it is owned in.
    pub group: GroupKey,
    /// The desired state and its cause.
    pub decision: StateDecision,
}

impl TargetRecord {
    /// The desired state.
    pub fn desired_state(&self) -> DesiredState {
        self.decision.state
    }
}

/// Targets of one zone that are owned by the same host. All replicas of a shard in one zone are in
/// the same group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// The zone.
    pub zone: ZoneKey,
    /// The bucket within the zone.
    pub bucket: u32,
    /// Identifies the group across catalogs and daemons. The owner is chosen by hashing this id
    /// with the names of hosts.
    pub id: u64,
    /// The targets of the group.
    pub targets: Vec<TargetKey>,
}

/// One caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRecord {
    /// The name.
    pub name: String,
    /// Weight in fair sharing between callers.
    pub weight: u32,
}
