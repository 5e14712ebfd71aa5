//! Which targets of a zone are owned together.
//!
//! A bucket is chosen by the hash of a shard's name, so that every daemon finds
//! the same groups whatever its catalog's keys. Targets of one zone that share
//! a shard, also by way of a third, get one bucket: the owner hedges between
//! replicas and counts their slots, and two owners of one shard in one zone
//! would each hedge in the dark.

use std::collections::HashMap;

use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::ZoneKey;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::FleetCatalog;

/// Names a group in every daemon: a hash of zone and bucket.
pub fn id(zone: &str, bucket: u32) -> u64 {
    xxh3_64(format!("{zone}/{bucket}").as_bytes())
}

/// The bucket of each target, in the order of their keys, each less than `count`.
pub fn buckets(catalog: &FleetCatalog, count: u32) -> Vec<u32> {
    let mut sets = TargetSets::new(catalog.targets().len());
    let mut holders: HashMap<(ZoneKey, ShardKey), TargetKey> = HashMap::new();
    for (key, target) in catalog.targets() {
        for &shard in &target.shards {
            let first = *holders.entry((target.zone, shard)).or_insert(key);
            sets.join(first, key);
        }
    }
    let mut least_shards: HashMap<TargetKey, &str> = HashMap::new();
    for (key, target) in catalog.targets() {
        for &shard in &target.shards {
            let name = catalog.shard(shard).name.0.as_str();
            let least = least_shards.entry(sets.root(key)).or_insert(name);
            *least = name.min(least);
        }
    }
    let bucket_of = |key: TargetKey| {
        let shard = least_shards.get(&sets.root(key)).copied().unwrap_or_default();
        let bucket = xxh3_64(shard.as_bytes()) % u64::from(count.max(1));
        u32::try_from(bucket).expect("less than a count that is a u32")
    };
    (0..catalog.targets().len()).map(TargetKey::from).map(bucket_of).collect()
}

/// Disjoint sets of targets, by path halving.
struct TargetSets {
    parents: Vec<TargetKey>,
}

impl TargetSets {
    fn new(count: usize) -> Self {
        Self { parents: (0..count).map(TargetKey::from).collect() }
    }

    fn root(&self, mut key: TargetKey) -> TargetKey {
        while self.parents[key.index()] != key {
            key = self.parents[key.index()];
        }
        key
    }

    fn join(&mut self, one: TargetKey, other: TargetKey) {
        let one = self.shorten(one);
        let other = self.shorten(other);
        let (low, high) = (one.min(other), one.max(other));
        self.parents[high.index()] = low;
    }

    fn shorten(&mut self, mut key: TargetKey) -> TargetKey {
        while self.parents[key.index()] != key {
            let grandparent = self.parents[self.parents[key.index()].index()];
            self.parents[key.index()] = grandparent;
            key = grandparent;
        }
        key
    }
}
