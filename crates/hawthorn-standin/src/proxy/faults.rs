//! What can go wrong on one link, and the handle that changes it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// Bytes handed on at a time, and the pause before each lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DripRate {
    /// Bytes in a lot.
    pub bytes: usize,
    /// The pause.
    pub every: Duration,
}

/// Faults in force on a link. Forward is from the client to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LinkFaults {
    /// Delay one way.
    pub latency: Duration,
    /// Up to so much more delay, drawn evenly. Bytes of a connection keep their
    /// order, datagrams may not.
    pub jitter: Duration,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that arrive twice.
    pub duplicates: f64,
    /// The fraction of new connections that are reset at once.
    pub resets: f64,
    /// The next so many connections that get an answer are reset before its
    /// first byte passes.
    pub lost_answers: u32,
    /// New connections are accepted and everything sent on them is swallowed;
    /// open ones go silent. A connection that met this stays silent.
    pub black_hole: bool,
    /// Nothing passes forward; bytes wait, datagrams are lost.
    pub cut_forward: bool,
    /// Nothing passes backward; bytes wait, datagrams are lost.
    pub cut_backward: bool,
    /// Bytes trickle.
    pub drip: Option<DripRate>,
}

/// The way that bytes go.
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

/// Changes and reads a running proxy. Clones share the proxy.
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

/// What passed a link so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct LinkCounters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections reset by a fault.
    pub resets: u64,
    /// Bytes passed forward on connections.
    pub bytes_forward: u64,
    /// Bytes passed backward on connections.
    pub bytes_backward: u64,
    /// Datagrams passed, both ways.
    pub datagrams: u64,
    /// Datagrams lost by a fault, both ways.
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

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// The faults in force.
    pub fn faults(&self) -> LinkFaults {
        *self.shared.faults.borrow()
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }

    /// What passed so far.
    pub fn counters(&self) -> LinkCounters {
        *self.lock()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LinkCounters> {
        self.shared.counters.lock().expect("nothing panics while it holds the counters")
    }

    pub(super) fn watch_faults(&self) -> watch::Receiver<LinkFaults> {
        self.shared.faults.subscribe()
    }

    pub(super) fn watch_resets(&self) -> watch::Receiver<u64> {
        self.shared.resets.subscribe()
    }

    /// Randomness of its own for connection or client `number`, so that what
    /// happens on one does not depend on the timing of others.
    pub(super) fn rng(&self, number: u64, direction: LinkDirection) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.shared.seed);
        rng.set_stream(2 * number + u64::from(direction == LinkDirection::Backward));
        rng
    }

    /// Whether the answer that is about to pass is lost; uses up one of the count.
    pub(super) fn loses_answer(&self) -> bool {
        self.shared.faults.send_if_modified(|faults| {
            let had = faults.lost_answers > 0;
            faults.lost_answers = faults.lost_answers.saturating_sub(1);
            had
        })
    }
}
