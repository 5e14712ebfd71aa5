//! Counts of what the claims of one host came to and what they cost.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// Something that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimEvent {
    /// A claim was granted.
    Granted,
    /// A claim was held by an earlier send.
    HeldEarlier,
    /// A claim was certainly not recorded.
    Unavailable,
    /// It was not known whether a claim was recorded.
    Uncertain,
    /// A claim was given back before it was dispatched.
    Released,
    /// The store was asked to write.
    Write,
    /// The store was asked to read.
    Read,
    /// A write found another revision.
    Conflict,
    /// The answer to a write was lost.
    LostAnswer,
    /// The store was found at an older revision than before.
    StoreWentBack,
    /// A value was no table of claims.
    Malformed,
    /// Bytes written, not events.
    BytesWritten,
}

/// Counters, one for each [`ClaimEvent`].
#[derive(Debug, Default)]
pub struct ClaimCounts {
    cells: [AtomicU64; ClaimEvent::COUNT],
}

impl ClaimCounts {
    /// How often `event` came about.
    pub fn get(&self, event: ClaimEvent) -> u64 {
        self.cells[event as usize].load(Ordering::Relaxed)
    }

    /// Every counter.
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
