//! Builds the view that an owner publishes to fronts: the versions held by each shard and the
//! expected waits.

use std::collections::BTreeMap;

use hawthorn_types::IndexVersion;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardName;
use hawthorn_types::target::HeldRanges;

use crate::connection::message::OwnerView;
use crate::connection::message::ShardView;

/// Waits below this value, in microseconds, are published as zero; above it, steps double. Smaller
/// changes do not cause the view to be sent with the next answer.
const WAIT_STEP_US: u64 = 1_000;

/// Rounds a wait down to 0, 1, 2, 4, 8 ms and so on.
fn round_wait(wait_us: u64) -> u64 {
    match wait_us / WAIT_STEP_US {
        0 => 0,
        steps => WAIT_STEP_US << steps.ilog2(),
    }
}

/// Gauges of the owner worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerGauges {
    /// Open batches.
    pub batches: u64,
    /// Queued pieces.
    pub queued: u64,
    /// Slots in use.
    pub slots_in_use: u64,
    /// Owned targets.
    pub targets: u64,
    /// Attempts sent since the process started.
    pub attempts: u64,
    /// Hedges and retries among them.
    pub extra_attempts: u64,
}

/// Expected wait and service time of a shard's pieces, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShardTimes {
    pub(crate) wait_us: u64,
    pub(crate) service_us: u64,
}

/// One usable replica.
pub(crate) struct UsableReplica<'a> {
    pub(crate) shard: &'a ShardName,
    pub(crate) held: &'a [HeldRanges],
    /// Whether it should serve and has been warm for some time.
    pub(crate) is_ready: bool,
}

/// Aggregated replicas of one shard.
#[derive(Default)]
struct ShardReplicas {
    versions: BTreeMap<IndexVersion, RangeSet>,
    ready: u32,
}

/// Aggregates replicas by shard.
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
        wait_us: round_wait(times_us(shard).wait_us),
        service_us: round_wait(times_us(shard).service_us),
        held: versions.values().next_back().cloned().unwrap_or_default(),
        ready,
        versions: versions.into_keys().collect(),
    };
    shards.into_iter().map(view).collect()
}

/// Returns the next view if it differs from the last.
pub(crate) fn next(last: &OwnerView, shards: Vec<ShardView>) -> Option<OwnerView> {
    (last.shards != shards).then(|| OwnerView { generation: last.generation + 1, shards })
}
