//! Assigns the targets of a zone to groups, which are the unit of ownership.
//!
//! The bucket is chosen by the hash of a shard's name, so that all daemons derive the same groups
//! regardless of the keys in their catalogs. Targets of one zone that share a shard, directly or
//! transitively, get the same bucket: the owner hedges between replicas and accounts for their
//! slots, which two owners of the same shard could not do without knowing each other's requests.

use std::collections::HashMap;

use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::ZoneKey;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::FleetCatalog;

/// Id of a group, which is the same in all daemons: a hash of zone and bucket.
pub fn id(zone: &str, bucket: u32) -> u64 {
    xxh3_64(format!("{zone}/{bucket}").as_bytes())
}

/// Returns the bucket of each target, ordered by target key. Buckets are less than `count`.
pub fn buckets(catalog: &FleetCatalog, count: u32) -> Vec<u32> {
    let mut sets = TargetSets::new(catalog.targets().len());
    let mut holders: HashMap<(ZoneKey, ShardKey), TargetKey> = HashMap::new();
    for (key, target) in catalog.targets() {
        for &shard in &target.shards {
            let first = *holders.entry((target.zone, shard)).or_insert(key);
            sets.union(first, key);
        }
    }
    let mut first_shards: HashMap<TargetKey, &str> = HashMap::new();
    for (key, target) in catalog.targets() {
        for &shard in &target.shards {
            let name = catalog.shard(shard).name.0.as_str();
            let first = first_shards.entry(sets.root(key)).or_insert(name);
            *first = name.min(first);
        }
    }
    let bucket_of = |key: TargetKey| {
        let shard = first_shards.get(&sets.root(key)).copied().unwrap_or_default();
        let bucket = xxh3_64(shard.as_bytes()) % u64::from(count.max(1));
        u32::try_from(bucket).expect("less than a count that is a u32")
    };
    (0..catalog.targets().len()).map(TargetKey::from).map(bucket_of).collect()
}

/// Union-find over targets, with path halving.
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

    fn union(&mut self, one: TargetKey, other: TargetKey) {
        let one = self.find(one);
        let other = self.find(other);
        let (low, high) = (one.min(other), one.max(other));
        self.parents[high.index()] = low;
    }

    fn find(&mut self, mut key: TargetKey) -> TargetKey {
        while self.parents[key.index()] != key {
            let grandparent = self.parents[self.parents[key.index()].index()];
            self.parents[key.index()] = grandparent;
            key = grandparent;
        }
        key
    }
}
