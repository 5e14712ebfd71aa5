//! What an owner tells fronts: who can search what, and how long it waits.

use std::collections::BTreeMap;

use hawthorn_types::IndexVersion;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardName;
use hawthorn_types::target::HeldRanges;

use crate::connection::message::OwnerView;
use crate::connection::message::ShardView;

/// Waits below this many microseconds are told as none; above, the steps double.
/// A smaller change is no reason to send the view again with the next answer.
const WAIT_STEP_US: u64 = 1_000;

/// The wait as it is told: 0, 1, 2, 4, 8 ms and so on, rounded down.
fn told_wait(wait_us: u64) -> u64 {
    match wait_us / WAIT_STEP_US {
        0 => 0,
        steps => WAIT_STEP_US << steps.ilog2(),
    }
}

/// What the duty holds at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerGauges {
    /// Batches open.
    pub batches: u64,
    /// Pieces queued.
    pub queued: u64,
    /// Slots in use.
    pub slots_in_use: u64,
    /// Targets owned.
    pub targets: u64,
    /// Attempts sent, since the start.
    pub attempts: u64,
    /// Of them hedges and retries.
    pub extra_attempts: u64,
}

/// What a shard's pieces take, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShardTimes {
    pub(crate) wait_us: u64,
    pub(crate) service_us: u64,
}

/// One usable replica.
pub(crate) struct UsableReplica<'a> {
    pub(crate) shard: &'a ShardName,
    pub(crate) held: &'a [HeldRanges],
    /// Wanted to serve and warm for a while.
    pub(crate) is_ready: bool,
}

/// The replicas of one shard, put together.
#[derive(Default)]
struct ShardReplicas {
    versions: BTreeMap<IndexVersion, RangeSet>,
    ready: u32,
}

/// Puts replicas together by shard.
pub(crate) fn shards<'a>(
    replicas: impl Iterator<Item = UsableReplica<'a>>,
    times_us: impl Fn(&ShardName) -> ShardTimes,
) -> Vec<ShardView> {
    let mut shards: BTreeMap<&ShardName, ShardReplicas> = BTreeMap::new();
    for replica in replicas {
        let ShardReplicas { versions, ready } = shards.entry(replica.shard).or_default();
        *ready += u32::from(replica.is_ready);
        let service = replica.shard.service();
        for held in replica.held.iter().filter(|held| held.service == service) {
            versions.entry(held.version).or_default().extend(&held.ranges);
        }
    }
    let view = |(shard, ShardReplicas { versions, ready }): (&ShardName, _)| ShardView {
        shard: shard.clone(),
        wait_us: told_wait(times_us(shard).wait_us),
        service_us: told_wait(times_us(shard).service_us),
        held: versions.values().next_back().cloned().unwrap_or_default(),
        ready,
        versions: versions.into_keys().collect(),
    };
    shards.into_iter().map(view).collect()
}

/// The next view, when it differs from the last.
pub(crate) fn next(last: &OwnerView, shards: Vec<ShardView>) -> Option<OwnerView> {
    (last.shards != shards).then(|| OwnerView { generation: last.generation + 1, shards })
}
