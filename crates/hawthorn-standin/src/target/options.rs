//! What a target is like when it starts.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::target::HeldRanges;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use crate::corpus::Corpus;
use crate::history::History;

/// How long an attempt holds its slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// The middle of the ordinary times.
    pub typical: Duration,
    /// Ordinary times lie evenly within this fraction of `typical` on each side.
    pub spread: f64,
    /// The fraction of attempts that are stragglers.
    pub straggler_share: f64,
    /// How many times longer a straggler takes.
    pub straggler_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            typical: Duration::from_millis(2),
            spread: 0.5,
            straggler_share: 0.0,
            straggler_factor: 20.0,
        }
    }
}

impl ServiceTime {
    /// The mean of the times drawn.
    pub fn mean(&self) -> Duration {
        self.typical.mul_f64(1.0 + self.straggler_share * (self.straggler_factor - 1.0))
    }

    /// Draws the time of one attempt.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Duration {
        // All draws are made whatever the settings, so that the same seed gives
        // the same stragglers after a test changes the spread.
        let place: f64 = rng.random_range(-1.0..=1.0);
        let straggles = rng.random_bool(self.straggler_share.clamp(0.0, 1.0));
        let factor = if straggles { self.straggler_factor } else { 1.0 };
        self.typical.mul_f64(((1.0 + self.spread * place) * factor).max(0.0))
    }
}

/// How to start a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// The target's name.
    pub name: String,
    /// The documents of each service it holds part of.
    pub corpora: Vec<Arc<Corpus>>,
    /// What it holds.
    pub held: Vec<HeldRanges>,
    /// How many attempts it works on at once.
    pub slots: u32,
    /// How many more wait inside it; beyond that it sheds.
    pub queue: u32,
    /// How many connections it keeps open; beyond that it closes new ones.
    pub connections: u32,
    /// How long a new connection takes before its first request is read.
    pub connect_cost: Duration,
    /// How long an attempt holds its slot.
    pub service_time: ServiceTime,
    /// How long it refuses work as cold after a start.
    pub cold_start: Duration,
    /// For how long after that it is slow, getting faster evenly.
    pub warm_up: Duration,
    /// How many times slower it is when warm-up begins.
    pub warm_up_factor: f64,
    /// How old `/state` is.
    pub state_lag: Duration,
    /// The same seed draws the same service times in the order of the attempts.
    pub seed: u64,
    /// Where its work is recorded.
    pub history: History,
    /// Stops it.
    pub stop: CancellationToken,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            corpora: Vec::new(),
            held: Vec::new(),
            slots: 2,
            queue: 8,
            connections: 25,
            connect_cost: Duration::from_millis(6),
            service_time: ServiceTime::default(),
            cold_start: Duration::ZERO,
            warm_up: Duration::ZERO,
            warm_up_factor: 4.0,
            state_lag: Duration::ZERO,
            seed: 1,
            history: History::default(),
            stop: CancellationToken::new(),
        }
    }
}
