//! Sites, callers' loads and the queries drawn from them.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::MILLI;
use super::PIECES_A_QUERY;
use super::SECOND;
use hawthorn_types::caller::UrgencyClass;

/// The targets of one service in one zone.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub shards: u32,
    pub replicas: u32,
    pub slots: u16,
    /// Median service time.
    pub service: u64,
    /// One-way latency between an owner and a target.
    pub latency: u64,
    /// Part of requests that take `STRAGGLE` times as long.
    pub stragglers: f64,
}

pub const STRAGGLE: f64 = 20.0;
/// Spread of ordinary service times: standard deviation of their logarithm.
const SPREAD: f64 = 0.25;

pub const DAR_PORT: Site =
    Site { shards: 20, replicas: 2, slots: 2, service: 5 * MILLI, latency: 500, stragglers: 0.0 };
pub const POLAND: Site =
    Site { shards: 30, replicas: 2, slots: 2, service: 5 * MILLI, latency: 250, stragglers: 0.0 };

impl Site {
    pub fn targets(&self) -> u32 {
        self.shards * self.replicas
    }

    /// Queries a second that take up all slots, without stragglers.
    pub fn capacity(&self) -> f64 {
        let mean = self.service as f64 * (SPREAD * SPREAD / 2.0).exp() + 2.0 * self.latency as f64;
        f64::from(self.replicas) * f64::from(self.slots) * SECOND as f64 / mean
    }
}

/// One caller's stream of queries.
#[derive(Clone, Copy, Debug)]
pub struct CallerLoad {
    pub caller: u32,
    /// Queries a second.
    pub rate: f64,
    /// Its work takes so many times longer than the site's.
    pub weight: f64,
    pub urgency: UrgencyClass,
    pub deadline: u64,
    pub from: u64,
    pub until: u64,
    /// Shards of each query, from a random first one.
    pub breadth: u32,
}

impl CallerLoad {
    pub fn new(caller: u32, rate: f64, site: &Site) -> Self {
        Self {
            caller,
            rate,
            weight: 1.0,
            urgency: UrgencyClass::Urgent,
            deadline: SECOND,
            from: 0,
            until: 10 * SECOND,
            breadth: site.shards,
        }
    }
}

/// How one target behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub speed: f64,
    /// Answers nothing but `GET /state` from then on.
    pub hangs_from: u64,
    pub hangs_until: u64,
    /// Refuses as cold until then, and answers slowly for a while.
    pub cold_until: u64,
    /// Refuses as draining from then on.
    pub drains_from: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            speed: 1.0,
            hangs_from: u64::MAX,
            hangs_until: u64::MAX,
            cold_until: 0,
            drains_from: u64::MAX,
        }
    }
}

#[derive(Clone, Debug)]
pub struct QueryRecord {
    pub caller: u32,
    pub number: u64,
    pub urgency: UrgencyClass,
    pub weight: f64,
    pub start: u64,
    pub deadline: u64,
    pub shards: Vec<u32>,
    pub open: u32,
    pub answered: u32,
    pub end: u64,
    /// Refused whole before anything was sent.
    pub refused: Option<Duration>,
}

impl QueryRecord {
    pub fn is_whole(&self) -> bool {
        self.refused.is_none() && self.answered as usize == self.shards.len()
    }

    pub fn latency(&self) -> u64 {
        self.end - self.start
    }
}

/// The service time of one try of one piece: the same whatever the policy.
pub fn draw(site: &Site, seed: u64, queries: &[QueryRecord], piece: u64, try_number: u32) -> f64 {
    let query = &queries[(piece / PIECES_A_QUERY) as usize];
    let step = piece % PIECES_A_QUERY;
    let mix =
        query.number ^ (step << 8 | u64::from(try_number)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ mix);
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let straggles = rng.random::<f64>() < site.stragglers;
    let factor = if straggles { STRAGGLE } else { 1.0 };
    site.service as f64 * query.weight * factor * (SPREAD * normal).exp()
}
