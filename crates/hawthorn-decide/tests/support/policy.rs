//! Policies by which queries are sent to targets.

use smallvec::smallvec;

use super::Site;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::owner;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

/// One of the policies compared.
pub enum Policy {
    /// One owner that holds all targets; the pieces of a query are admitted or rejected together.
    Owners(owner::Options),
    /// Static shares: each front holds all targets, with `slots` slots of its own.
    Shares { fronts: usize, slots: u16, options: owner::Options },
    /// Subsets: each front holds one replica of each shard.
    Subsets { fronts: usize, options: owner::Options },
    /// Credits: fronts borrow slots of all targets from a lender, which reassigns idle slots to
    /// fronts with queued work every `period`.
    Credits { fronts: usize, period: u64, recall: bool, options: owner::Options },
    /// A random replica, no hedges, first-come first-served at the target.
    Baseline,
}

/// Targets of shard `s` are `s`, `s + shards`, `s + 2 x shards`, ...
pub fn records(site: &Site, policy: &Policy, front: usize) -> Vec<TargetRecord> {
    let slots = match policy {
        Policy::Shares { slots, .. } => *slots,
        Policy::Credits { .. } => 0,
        _ => site.slots,
    };
    let is_assigned = |target: u32| match policy {
        Policy::Subsets { .. } => (target / site.shards) as usize == front % site.replicas as usize,
        _ => true,
    };
    let record = |target: u32| TargetRecord {
        key: TargetKey(target),
        slots,
        wanted: DesiredState::Serve,
        shards: smallvec![ShardKey(target % site.shards)],
    };
    (0..site.targets()).filter(|target| is_assigned(*target)).map(record).collect()
}
