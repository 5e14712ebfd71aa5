//! Start options of a target.

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
    /// Midpoint of the service times without stragglers.
    pub typical: Duration,
    /// Half-width of their uniform distribution, as a fraction of `typical`.
    pub spread: f64,
    /// Fraction of attempts that are stragglers.
    pub straggler_share: f64,
    /// Factor on the service time of a straggler.
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
    /// The mean service time.
    pub fn mean(&self) -> Duration {
        self.typical.mul_f64(1.0 + self.straggler_share * (self.straggler_factor - 1.0))
    }

    /// Draws the service time of one attempt.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Duration {
        // The number of draws does not depend on the settings, so that the same seed
        // gives the same stragglers after a test changes the spread.
        let offset: f64 = rng.random_range(-1.0..=1.0);
        let is_straggler = rng.random_bool(self.straggler_share.clamp(0.0, 1.0));
        let factor = if is_straggler { self.straggler_factor } else { 1.0 };
        self.typical.mul_f64(((1.0 + self.spread * offset) * factor).max(0.0))
    }
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// The target's name.
    pub name: String,
    /// The corpora of the services that it holds ranges of.
    pub corpora: Vec<Arc<Corpus>>,
    /// The ranges that it holds initially.
    pub held: Vec<HeldRanges>,
    /// Number of attempts that run concurrently.
    pub slots: u32,
    /// Number of further attempts that wait for a slot; beyond it, work is shed.
    pub queue: u32,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: u32,
    /// Delay of a new connection before its first request is read.
    pub connect_cost: Duration,
    /// How long an attempt holds its slot.
    pub service_time: ServiceTime,
    /// How long it refuses work as cold after a start.
    pub cold_start: Duration,
    /// Duration of the warm-up after the cold start, in which service times decrease
    /// linearly to the normal ones.
    pub warm_up: Duration,
    /// Factor on service times at the start of the warm-up.
    pub warm_up_factor: f64,
    /// Age of the state that `/state` returns.
    pub state_lag: Duration,
    /// Seed of the service times, which are drawn in the order of attempts.
    pub seed: u64,
    /// Where its attempts are recorded.
    pub history: History,
    /// Stops the target when cancelled.
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
