//! State of a target at its owner.

use smallvec::SmallVec;

use crate::message::HeldShard;
use crate::shift::ReplicaCapacity;
use crate::shift::TargetHealth;
use crate::slots::SlotCount;
use crate::time::TickTime;
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

/// Weight of a new service time in a target's moving average: one eighth.
const LATENCY_WEIGHT: u64 = 8;
/// A service time counts as at most this multiple of the shard's median, as a single straggler
/// says little about its target.
const STRAGGLER_CAP: u64 = 4;
/// Half-life, in microseconds, of the excess of a target's average over the shard's median.
/// Without decay, a target that was slow and got no work since would never be tried again.
const LATENCY_HALF_LIFE: u64 = 1_000_000;

#[derive(Debug)]
pub(super) struct LiveTarget {
    pub(super) key: TargetKey,
    pub(super) owned: bool,
    pub(super) slots: u16,
    pub(super) shards: SmallVec<[ShardKey; 2]>,
    pub(super) count: SlotCount,
    pub(super) health: TargetHealth,
    /// Shards and versions in its latest state report; none before the first report.
    pub(super) held: Option<SmallVec<[HeldShard; 4]>>,
    pub(super) probe_armed: bool,
    /// When the earliest timer for capacity at this target fires.
    pub(super) capacity_timer_at: TickTime,
    /// Index of the shard that is served first when a slot becomes free.
    pub(super) next_shard: usize,
    latency: u64,
    latency_at: TickTime,
}

impl LiveTarget {
    pub(super) fn unowned(key: TargetKey) -> Self {
        Self {
            key,
            owned: false,
            slots: 0,
            shards: SmallVec::new(),
            count: SlotCount::default(),
            health: TargetHealth::new(DesiredState::Serve),
            held: None,
            probe_armed: false,
            capacity_timer_at: TickTime::default(),
            next_shard: 0,
            latency: 0,
            latency_at: TickTime::default(),
        }
    }

    pub(super) fn in_service(&self) -> bool {
        self.owned && self.health.in_service()
    }

    /// The traffic that the target can take.
    pub(super) fn capacity(&self) -> ReplicaCapacity {
        if self.owned { self.health.capacity() } else { ReplicaCapacity::None }
    }

    pub(super) fn limit(&self, best: ReplicaCapacity) -> u16 {
        if self.owned { self.health.limit(self.slots, best) } else { 0 }
    }

    pub(super) fn lists_version(&self, shard: ShardKey, version: IndexVersion) -> bool {
        match &self.held {
            None => true,
            Some(held) => held.contains(&HeldShard { shard, version }),
        }
    }

    /// Removes a version that the target no longer holds from its latest state report.
    pub(super) fn remove_version(&mut self, shard: ShardKey, version: IndexVersion) {
        if let Some(held) = &mut self.held {
            held.retain(|each| *each != HeldShard { shard, version });
        }
    }

    /// Average service time, in microseconds; an excess over the shard's `median` decays with age.
    pub(super) fn latency(&self, now: TickTime, median: u64) -> u64 {
        if self.latency <= median {
            return if self.latency == 0 { median } else { self.latency };
        }
        let halvings = now.micros_since(self.latency_at) / LATENCY_HALF_LIFE;
        let excess = (self.latency - median).checked_shr(halvings as u32).unwrap_or(0);
        median + excess
    }

    pub(super) fn record(&mut self, now: TickTime, elapsed: u64, median: u64) {
        let sample = elapsed.min(median.saturating_mul(STRAGGLER_CAP));
        let previous = self.latency(now, median);
        self.latency = (previous * (LATENCY_WEIGHT - 1) + sample) / LATENCY_WEIGHT;
        self.latency_at = now;
    }
}
