//! Slots of one target: its concurrency limit, counted by the only owner that may send to it.
//!
//! A slot is acquired when an attempt is sent. It is released by exactly one of: the end of the
//! attempt as reported by the daemon (answer, rejection, failure, timeout, acknowledged
//! cancellation), or the end of the cancellation's grace period, at which the connection is closed.
//! A target therefore never holds more attempts of this owner than it has slots.

use std::time::Duration;

/// Limits on slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a slot stays in use after its attempt was cancelled without an acknowledgement.
    /// Released at once, the target could get more attempts than it has slots; never released, one
    /// lost acknowledgement would leak a slot. 250 ms: two hundred times the latency within a zone,
    /// and a quarter of the delay that clients notice.
    pub cancel_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { cancel_grace: Duration::from_millis(250) }
    }
}

/// Slots in use of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotCount {
    in_use: u16,
}

impl SlotCount {
    /// Number of attempts that hold a slot.
    pub fn in_use(self) -> u16 {
        self.in_use
    }

    /// Acquires a slot if fewer than `limit` are in use; returns whether it did.
    pub fn acquire(&mut self, limit: u16) -> bool {
        if self.in_use >= limit {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Releases a slot.
    pub fn release(&mut self) {
        self.in_use = self.in_use.checked_sub(1).expect("each attempt releases its slot once");
    }
}
