//! Slots of one target: how many attempts it holds, counted by the one owner
//! that may send to it.
//!
//! A slot is taken when an attempt is sent and given back by exactly one of:
//! the attempt's end as the daemon reports it (answer, refusal, failure, time
//! out, cancellation acknowledged), or the end of the cancellation's grace,
//! with which the connection is closed. Nothing else gives a slot back, so a
//! target never holds more of this owner's attempts than it has slots.

use std::time::Duration;

/// Limits on slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a slot stays taken after its attempt was cancelled and the
    /// target did not acknowledge. Freed at once, the target would be handed
    /// more than it has slots, in the dark; never freed, one lost
    /// acknowledgement would cost a slot for good. 250 ms: two hundred times
    /// the latency within a zone, and a quarter of the time in which clients
    /// notice.
    pub cancel_grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { cancel_grace: Duration::from_millis(250) }
    }
}

/// Slots taken of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotCount {
    taken: u16,
}

impl SlotCount {
    /// Attempts that hold a slot.
    pub fn taken(self) -> u16 {
        self.taken
    }

    /// Takes a slot if fewer than `limit` are taken.
    pub fn take(&mut self, limit: u16) -> bool {
        if self.taken >= limit {
            return false;
        }
        self.taken += 1;
        true
    }

    /// Gives a slot back.
    pub fn give_back(&mut self) {
        self.taken = self.taken.checked_sub(1).expect("each attempt gives its slot back once");
    }
}
