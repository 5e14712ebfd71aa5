//! Faults of one link, and its control handle.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// Limits throughput: chunk size and the delay before each chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottleRate {
    /// Chunk size in bytes.
    pub chunk_bytes: usize,
    /// Delay before each chunk.
    pub delay: Duration,
}

/// Active faults of a link. Forward is the direction from client to upstream.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LinkFaults {
    /// One-way delay.
    pub latency: Duration,
    /// Maximum additional delay, uniformly distributed. Bytes of a connection stay in
    /// order; datagrams may be reordered.
    pub jitter: Duration,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are duplicated.
    pub duplicates: f64,
    /// Fraction of new connections that are reset immediately.
    pub resets: f64,
    /// Number of next answered connections that are reset before the first byte of the
    /// answer passes.
    pub lost_answers: u32,
    /// New connections are accepted and their bytes discarded; open ones pass no more
    /// bytes. An affected connection stays silent after the fault ends.
    pub black_hole: bool,
    /// Blocks the forward direction: bytes are held back, datagrams are lost.
    pub cut_forward: bool,
    /// Blocks the backward direction: bytes are held back, datagrams are lost.
    pub cut_backward: bool,
    /// Throughput limit of connections.
    pub throttle: Option<ThrottleRate>,
}

/// Direction of traffic on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkDirection {
    Forward,
    Backward,
}

impl LinkFaults {
    pub(super) fn is_cut(&self, direction: LinkDirection) -> bool {
        match direction {
            LinkDirection::Forward => self.cut_forward,
            LinkDirection::Backward => self.cut_backward,
        }
    }

    pub(super) fn delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        self.latency + self.jitter.mul_f64(rng.random_range(0.0..=1.0))
    }
}

/// Controls and inspects a running proxy. Clones refer to the same proxy.
#[derive(Clone, Debug)]
pub struct LinkControl {
    shared: Arc<SharedLink>,
}

#[derive(Debug)]
struct SharedLink {
    seed: u64,
    faults: watch::Sender<LinkFaults>,
    resets: watch::Sender<u64>,
    counters: Mutex<LinkCounters>,
}

/// Traffic counters of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct LinkCounters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections reset by a fault.
    pub resets: u64,
    /// Bytes forwarded on connections from client to upstream.
    pub bytes_forward: u64,
    /// Bytes forwarded on connections from upstream to client.
    pub bytes_backward: u64,
    /// Datagrams forwarded, in both directions.
    pub datagrams: u64,
    /// Datagrams lost by a fault, in both directions.
    pub datagrams_lost: u64,
}

impl LinkControl {
    pub(super) fn new(seed: u64, faults: LinkFaults) -> Self {
        let shared = SharedLink {
            seed,
            faults: watch::Sender::new(faults),
            resets: watch::Sender::new(0),
            counters: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// The active faults.
    pub fn faults(&self) -> LinkFaults {
        *self.shared.faults.borrow()
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }

    /// The current traffic counters.
    pub fn counters(&self) -> LinkCounters {
        *self.lock()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LinkCounters> {
        self.shared.counters.lock().expect("no holder of the lock panics")
    }

    pub(super) fn watch_faults(&self) -> watch::Receiver<LinkFaults> {
        self.shared.faults.subscribe()
    }

    pub(super) fn watch_resets(&self) -> watch::Receiver<u64> {
        self.shared.resets.subscribe()
    }

    /// The random number generator of connection or client `number`. Each has its own
    /// stream, so that its faults do not depend on the timing of others.
    pub(super) fn rng(&self, number: u64, direction: LinkDirection) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.shared.seed);
        rng.set_stream(2 * number + u64::from(direction == LinkDirection::Backward));
        rng
    }

    /// Whether the next answer is lost; consumes one of the count.
    pub(super) fn take_lost_answer(&self) -> bool {
        self.shared.faults.send_if_modified(|faults| {
            let available = faults.lost_answers > 0;
            faults.lost_answers = faults.lost_answers.saturating_sub(1);
            available
        })
    }
}
