//! Who stands between queries and targets.

use smallvec::smallvec;

use super::Site;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::owner;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::WantedState;

/// One of the ways weighed.
pub enum Policy {
    /// Owners; shard `s` belongs to `s % owners`, queries are admitted whole.
    Owners(owner::Options),
    /// Fronts that each hold all targets with `slots` slots of their own.
    Shares { fronts: usize, slots: u16, options: owner::Options },
    /// Fronts that each hold one replica of each shard alone.
    Subsets { fronts: usize, options: owner::Options },
    /// Fronts that borrow slots of all targets from a lender, which gives what
    /// is idle to those that have work waiting, each `period`.
    Credits { fronts: usize, period: u64, recall: bool, options: owner::Options },
    /// Random replica, no hedge, first come first served at the target.
    Naive,
}

/// Targets of shard `s` are `s`, `s + shards`, `s + 2 x shards`, ...
pub fn records(site: &Site, policy: &Policy, front: usize) -> Vec<TargetRecord> {
    let slots = match policy {
        Policy::Shares { slots, .. } => *slots,
        Policy::Credits { .. } => 0,
        _ => site.slots,
    };
    let mine = |target: u32| match policy {
        Policy::Subsets { .. } => (target / site.shards) as usize == front % site.replicas as usize,
        _ => true,
    };
    let record = |target: u32| TargetRecord {
        key: TargetKey(target),
        slots,
        wanted: WantedState::Serve,
        shards: smallvec![ShardKey(target % site.shards)],
    };
    (0..site.targets()).filter(|target| mine(*target)).map(record).collect()
}
