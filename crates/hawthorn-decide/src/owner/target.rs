//! A target while its owner owns it.

use smallvec::SmallVec;

use crate::message::HeldShard;
use crate::shift::ReplicaRelief;
use crate::shift::TargetShift;
use crate::slots::SlotCount;
use crate::time::TickTime;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::WantedState;

/// A new service time counts for an eighth of a target's average.
const LATENCY_WEIGHT: u64 = 8;
/// One service time counts as at most so many times the shard's median: a
/// single straggler says little about its target.
const STRAGGLER_CAP: u64 = 4;
/// An average this old is worth half as much, in microseconds: a target that
/// was slow and got no work since would otherwise never be tried again.
const LATENCY_HALF_LIFE: u64 = 1_000_000;

#[derive(Debug)]
pub(super) struct LiveTarget {
    pub(super) key: TargetKey,
    pub(super) owned: bool,
    pub(super) slots: u16,
    pub(super) shards: SmallVec<[ShardKey; 2]>,
    pub(super) count: SlotCount,
    pub(super) shift: TargetShift,
    /// What its state page listed; none before the first page.
    pub(super) held: Option<SmallVec<[HeldShard; 4]>>,
    pub(super) probe_armed: bool,
    /// The earliest alarm set for room at this target.
    pub(super) room_at: TickTime,
    /// Which of its shards goes first when a slot is free.
    pub(super) turn: usize,
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
            shift: TargetShift::new(WantedState::Serve),
            held: None,
            probe_armed: false,
            room_at: TickTime::default(),
            turn: 0,
            latency: 0,
            latency_at: TickTime::default(),
        }
    }

    pub(super) fn in_service(&self) -> bool {
        self.owned && self.shift.in_service()
    }

    /// What it can take while other replicas are spared.
    pub(super) fn relief(&self) -> ReplicaRelief {
        if self.owned { self.shift.relief() } else { ReplicaRelief::None }
    }

    pub(super) fn limit(&self, relief: ReplicaRelief) -> u16 {
        if self.owned { self.shift.limit(self.slots, relief) } else { 0 }
    }

    pub(super) fn lists(&self, shard: ShardKey, version: IndexVersion) -> bool {
        match &self.held {
            None => true,
            Some(held) => held.contains(&HeldShard { shard, version }),
        }
    }

    /// The version is gone, whatever the state page said.
    pub(super) fn forget(&mut self, shard: ShardKey, version: IndexVersion) {
        if let Some(held) = &mut self.held {
            held.retain(|each| *each != HeldShard { shard, version });
        }
    }

    /// Its average service time, drawn towards the shard's `median` with age.
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
        let before = self.latency(now, median);
        self.latency = (before * (LATENCY_WEIGHT - 1) + sample) / LATENCY_WEIGHT;
        self.latency_at = now;
    }
}
