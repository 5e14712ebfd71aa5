//! The shards of a service, and for each zone who can search them.

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

/// One way to search a shard: the owner of its replicas in one zone.
#[derive(Clone, Debug)]
pub struct ReplicaOption {
    /// The zone of the replicas.
    pub zone: ZoneKey,
    /// The host that owns them.
    pub owner: HostKey,
    /// Versions that at least one usable replica holds; empty when none is usable.
    pub versions: SmallVec<[IndexVersion; 2]>,
    /// How long a new piece would wait at the owner, as it reports.
    pub expected_wait: Duration,
}

/// One shard as the front knows it now.
#[derive(Clone, Debug)]
pub struct ShardRecord {
    /// The shard.
    pub shard: ShardKey,
    /// The keys it nominally holds.
    pub range: KeyRange,
    /// The keys its targets report as held. Differs from `range` from a
    /// repartition of the index until the inventory follows.
    pub held: RangeSet,
    /// One option for each zone that has a live owner for it.
    pub options: SmallVec<[ReplicaOption; 3]>,
}

impl ShardRecord {
    /// A shard that holds what it nominally does.
    pub fn new(
        shard: ShardKey,
        range: KeyRange,
        options: impl IntoIterator<Item = ReplicaOption>,
    ) -> Self {
        Self { shard, range, held: range.into(), options: options.into_iter().collect() }
    }
}

/// The shards of one service in ascending order of their ranges.
#[derive(Clone, Debug, Default)]
pub struct ShardTable {
    shards: Vec<ShardRecord>,
    moved: Vec<usize>,
    widest: u32,
}

impl ShardTable {
    /// Orders `shards` by range.
    pub fn new(mut shards: Vec<ShardRecord>) -> Self {
        shards.sort_by_key(|shard| (shard.range.start, shard.range.end));
        let moved = (0..shards.len()).filter(|&index| holds_beyond(&shards[index]));
        let widest = shards.iter().map(|shard| shard.range.len()).max().unwrap_or(0);
        Self { moved: moved.collect(), widest, shards }
    }

    /// The shards, ascending by range.
    pub fn shards(&self) -> &[ShardRecord] {
        &self.shards
    }

    /// The shards whose nominal ranges may meet `range`, ascending.
    pub fn candidates(&self, range: KeyRange) -> &[ShardRecord] {
        let ends_before = |shard: &ShardRecord| {
            u64::from(shard.range.start) + u64::from(self.widest) <= u64::from(range.start)
        };
        let from = self.shards.partition_point(ends_before);
        let to = self.shards.partition_point(|shard| shard.range.start < range.end);
        &self.shards[from.min(to)..to]
    }

    /// The options of every shard, for refreshing versions and waits in place.
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

fn holds_beyond(shard: &ShardRecord) -> bool {
    shard.held.ranges().iter().any(|held| held.intersect(shard.range) != *held)
}
