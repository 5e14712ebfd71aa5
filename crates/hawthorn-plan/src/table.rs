//! The shards of a service, and the owner of their replicas in each zone.

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

/// The replicas of a shard in one zone, with the host that owns them.
#[derive(Clone, Debug)]
pub struct ReplicaOption {
    /// The zone of the replicas.
    pub zone: ZoneKey,
    /// The host that owns them.
    pub owner: HostKey,
    /// Versions held by at least one usable replica; empty when no replica is usable.
    pub versions: SmallVec<[IndexVersion; 2]>,
    /// The queue wait of a new piece, as reported by the owner.
    pub expected_wait: Duration,
}

/// The front's current view of one shard.
#[derive(Clone, Debug)]
pub struct ShardRecord {
    /// The shard.
    pub shard: ShardKey,
    /// Its nominal range: the keys assigned to it in the inventory.
    pub range: KeyRange,
    /// The keys its targets report as held. Differs from `range` between a
    /// repartition of the index and the update of the inventory.
    pub held: RangeSet,
    /// One option for each zone with a live owner.
    pub options: SmallVec<[ReplicaOption; 3]>,
}

impl ShardRecord {
    /// A shard that holds exactly its nominal range.
    pub fn new(
        shard: ShardKey,
        range: KeyRange,
        options: impl IntoIterator<Item = ReplicaOption>,
    ) -> Self {
        Self { shard, range, held: range.into(), options: options.into_iter().collect() }
    }
}

/// The shards of one service, ordered by range.
#[derive(Clone, Debug, Default)]
pub struct ShardTable {
    shards: Vec<ShardRecord>,
    moved: Vec<usize>,
    max_range_len: u32,
}

impl ShardTable {
    /// Creates a table, ordering `shards` by range.
    pub fn new(mut shards: Vec<ShardRecord>) -> Self {
        shards.sort_by_key(|shard| (shard.range.start, shard.range.end));
        let moved = (0..shards.len()).filter(|&index| holds_outside_range(&shards[index]));
        let max_range_len = shards.iter().map(|shard| shard.range.len()).max().unwrap_or(0);
        Self { moved: moved.collect(), max_range_len, shards }
    }

    /// The shards, ascending by range.
    pub fn shards(&self) -> &[ShardRecord] {
        &self.shards
    }

    /// The shards whose nominal ranges may overlap `range`, ascending.
    pub fn candidates(&self, range: KeyRange) -> &[ShardRecord] {
        let ends_before = |shard: &ShardRecord| {
            u64::from(shard.range.start) + u64::from(self.max_range_len) <= u64::from(range.start)
        };
        let from = self.shards.partition_point(ends_before);
        let to = self.shards.partition_point(|shard| shard.range.start < range.end);
        &self.shards[from.min(to)..to]
    }

    /// The options of every shard, to update versions and waits in place.
    pub fn options_mut(&mut self) -> impl Iterator<Item = (ShardKey, &mut ReplicaOption)> {
        self.shards.iter_mut().flat_map(|record| {
            let shard = record.shard;
            record.options.iter_mut().map(move |option| (shard, option))
        })
    }

    /// The shards that hold keys outside their nominal range.
    pub fn moved(&self) -> impl Iterator<Item = &ShardRecord> {
        self.moved.iter().map(|&index| &self.shards[index])
    }
}

fn holds_outside_range(shard: &ShardRecord) -> bool {
    shard.held.ranges().iter().any(|held| held.intersect(shard.range) != *held)
}
