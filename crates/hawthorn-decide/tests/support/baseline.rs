//! The baseline policy: a random replica, no hedges, first-come first-served at the target.

use std::collections::HashSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Site;

pub struct BaselineState {
    rng: ChaCha8Rng,
    closed: HashSet<u64>,
}

impl BaselineState {
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), closed: HashSet::new() }
    }

    pub fn choose(&mut self, shard: u32, site: &Site) -> u32 {
        shard + site.shards * self.rng.random_range(0..site.replicas)
    }

    /// Closes the piece; returns whether it was still open.
    pub fn close(&mut self, piece: u64) -> bool {
        self.closed.insert(piece)
    }
}
