//! Sites, the loads of callers and the queries generated from them.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::MILLI;
use super::PIECES_PER_QUERY;
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
    /// Fraction of requests that take `STRAGGLER_FACTOR` times as long.
    pub stragglers: f64,
}

pub const STRAGGLER_FACTOR: f64 = 20.0;
/// Standard deviation of the logarithm of the service times, stragglers excluded.
const SPREAD: f64 = 0.25;

pub const DAR_PORT: Site =
    Site { shards: 20, replicas: 2, slots: 2, service: 5 * MILLI, latency: 500, stragglers: 0.0 };
pub const POLAND: Site =
    Site { shards: 30, replicas: 2, slots: 2, service: 5 * MILLI, latency: 250, stragglers: 0.0 };

impl Site {
    pub fn targets(&self) -> u32 {
        self.shards * self.replicas
    }

    /// Queries per second that occupy all slots, without stragglers.
    pub fn capacity(&self) -> f64 {
        let mean = self.service as f64 * (SPREAD * SPREAD / 2.0).exp() + 2.0 * self.latency as f64;
        f64::from(self.replicas) * f64::from(self.slots) * SECOND as f64 / mean
    }
}

/// One caller's stream of queries.
#[derive(Clone, Copy, Debug)]
pub struct CallerLoad {
    pub caller: u32,
    /// Queries per second.
    pub rate: f64,
    /// Service time of its work as a multiple of the site's.
    pub weight: f64,
    pub urgency: UrgencyClass,
    pub deadline: u64,
    pub from: u64,
    pub until: u64,
    /// Number of shards per query, consecutive from a random one.
    pub shards_per_query: u32,
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
            shards_per_query: site.shards,
        }
    }
}

/// Faults of one target.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub slowdown: f64,
    /// Time from which it answers nothing but `GET /state`.
    pub hangs_from: u64,
    pub hangs_until: u64,
    /// Time until which it rejects requests as cold.
    pub cold_until: u64,
    /// Time from which it rejects requests as draining.
    pub drains_from: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
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
    /// The retry-after time if the query was rejected on arrival.
    pub refused: Option<Duration>,
}

impl QueryRecord {
    pub fn is_complete(&self) -> bool {
        self.refused.is_none() && self.answered as usize == self.shards.len()
    }

    pub fn latency(&self) -> u64 {
        self.end - self.start
    }
}

/// The service time of one attempt of one piece, the same for every policy.
pub fn sample_service_time(
    site: &Site,
    seed: u64,
    queries: &[QueryRecord],
    piece: u64,
    attempt_number: u32,
) -> f64 {
    let query = &queries[(piece / PIECES_PER_QUERY) as usize];
    let step = piece % PIECES_PER_QUERY;
    let stream =
        query.number ^ (step << 8 | u64::from(attempt_number)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ stream);
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let is_straggler = rng.random::<f64>() < site.stragglers;
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    site.service as f64 * query.weight * factor * (SPREAD * normal).exp()
}
