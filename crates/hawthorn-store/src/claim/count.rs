//! Counters of claim outcomes and of the store calls that they cost.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// A counted event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimEvent {
    /// A claim was granted.
    Granted,
    /// An earlier send held the claim.
    HeldEarlier,
    /// A claim was certainly not recorded.
    Unavailable,
    /// It is unknown whether a claim was recorded.
    Uncertain,
    /// A claim was released before it was dispatched.
    Released,
    /// A write was sent to the store.
    Write,
    /// A read was sent to the store.
    Read,
    /// A write found another revision.
    Conflict,
    /// The outcome of a write is unknown.
    LostAnswer,
    /// The store returned an older revision than before.
    #[strum(serialize = "store-went-back")]
    StoreReverted,
    /// A value was not a table of claims.
    Malformed,
    /// Number of bytes written.
    BytesWritten,
}

/// Counters, one for each [`ClaimEvent`].
#[derive(Debug, Default)]
pub struct ClaimCounts {
    cells: [AtomicU64; ClaimEvent::COUNT],
}

impl ClaimCounts {
    /// The count of `event`.
    pub fn get(&self, event: ClaimEvent) -> u64 {
        self.cells[event as usize].load(Ordering::Relaxed)
    }

    /// All counters.
    pub fn iter(&self) -> impl Iterator<Item = (ClaimEvent, u64)> {
        ClaimEvent::iter().map(|event| (event, self.get(event)))
    }

    pub(super) fn add(&self, event: ClaimEvent) {
        self.add_many(event, 1);
    }

    pub(super) fn add_many(&self, event: ClaimEvent, count: u64) {
        self.cells[event as usize].fetch_add(count, Ordering::Relaxed);
    }
}
