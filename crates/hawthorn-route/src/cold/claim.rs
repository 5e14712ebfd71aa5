//! Claims of a zone's slots for cold targets, by conditional writes to the store.
//!
//! A slot is a key of the store. Its holder writes it repeatedly, each time on the condition
//! that no other host has written it since, and may use the slot for [`TERM`] after it sent the
//! last such write that succeeded. Another host claims a slot by the same kind of write, on the
//! condition of a revision that it has known for `STALE_TIME`. That is longer than the term,
//! which began before any host knew the revision. The earlier holder's term has therefore
//! ended, however slow the store is and however late either host receives the change, and so
//! has the second in which its last requests count. Leases are not used, because the store may
//! remove a key before its lease ends.
//!
//! A restore of the store loses writes that it acknowledged, and gives out their revisions again.
//! A host that learns of it forgets all revisions and waits for `STALE_TIME`, in which the terms
//! from before the restore end. A write that the store executed in another era than that of its
//! condition claims nothing.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::SLOTS;
use super::SlotRight;
use crate::revision::StoreRevision;

/// How long a slot may be used after the write that confirmed it was sent.
pub const TERM: Duration = Duration::from_secs(1);
/// Part of the term after which the holder writes the slot again.
const RENEW_SHARE: f64 = 0.4;
/// A slot that has not changed for this long has no holder, and the requests of the last one no
/// longer count: the term, the second in which requests are counted, and a margin.
const STALE_TIME: Duration = Duration::from_millis(2200);
/// Shortest and longest time until a host that lost a claim tries again.
const RETRY_TIMES: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1200));

/// A conditional write of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotWrite {
    /// The slot.
    pub slot: u32,
    /// The slot's revision that is the condition; number 0 if the key must not exist.
    pub revision: StoreRevision,
    /// When the write was decided on, before it was sent.
    pub sent: Duration,
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WriteOutcome {
    /// Done, at this revision.
    Done(StoreRevision),
    /// Not done: another host wrote the slot, or the store refused the write.
    NotDone,
    /// No answer: it may be executed, now or later.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default)]
struct SeenSlot {
    revision: u64,
    changed: Duration,
}

#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    revision: u64,
    right: SlotRight,
}

/// One host's claim on a slot of its zone.
#[derive(Clone, Debug)]
pub struct SlotClaim {
    /// The store's era, to which all revisions belong.
    era: u64,
    seen: [SeenSlot; SLOTS as usize],
    held: Option<HeldSlot>,
    next_try: Duration,
}

impl SlotClaim {
    /// The claim of a host that starts at `now`. It may not have seen the latest changes.
    pub fn new(now: Duration) -> Self {
        let seen = [SeenSlot { revision: 0, changed: now }; SLOTS as usize];
        Self { era: 0, seen, held: None, next_try: Duration::ZERO }
    }

    /// Forgets all revisions and releases the slot if `era` is later than the known one.
    pub fn enter_era(&mut self, era: u64, now: Duration) {
        if era > self.era {
            *self = Self { era, ..Self::new(now) };
        }
    }

    /// Records a slot's revision as read from the store, perhaps through other hosts.
    pub fn note(&mut self, slot: u32, revision: StoreRevision, now: Duration) {
        self.enter_era(revision.era, now);
        if let Some(seen) = self.seen.get_mut(slot as usize)
            && revision.era == self.era
            && revision.number > seen.revision
        {
            *seen = SeenSlot { revision: revision.number, changed: now };
        }
    }

    /// Records that a slot's key does not exist, or no longer does, as of a revision.
    pub fn note_absent(&mut self, slot: u32, as_of: StoreRevision, now: Duration) {
        self.enter_era(as_of.era, now);
        if as_of.era == self.era
            && let Some(seen) = self.seen.get_mut(slot as usize)
        {
            *seen = SeenSlot { revision: 0, changed: now };
        }
    }

    /// The write that is due: a renewal, or a claim of a slot without a holder.
    pub fn due_write(&mut self, now: Duration, rng: &mut impl Rng) -> Option<SlotWrite> {
        if let Some(held) = self.held {
            if now < held.right.until {
                let renewal = held.right.until - TERM.mul_f64(1.0 - RENEW_SHARE);
                let HeldSlot { revision, right } = held;
                let revision = StoreRevision::new(self.era, revision);
                let write = SlotWrite { slot: right.slot, revision, sent: now };
                return (now >= renewal).then_some(write);
            }
            self.held = None;
        }
        if now < self.next_try {
            return None;
        }
        let vacant = |seen: &SeenSlot| now >= seen.changed + STALE_TIME;
        let vacant: Vec<u32> =
            (0..SLOTS).filter(|slot| vacant(&self.seen[*slot as usize])).collect();
        let slot = *vacant.get(rng.random_range(0..vacant.len().max(1)))?;
        self.next_try = now + rng.random_range(RETRY_TIMES.0..RETRY_TIMES.1);
        let revision = StoreRevision::new(self.era, self.seen[slot as usize].revision);
        Some(SlotWrite { slot, revision, sent: now })
    }

    /// Records the outcome of a write.
    pub fn record(&mut self, write: SlotWrite, outcome: WriteOutcome, now: Duration) {
        let WriteOutcome::Done(revision) = outcome else {
            // A write without an answer may be executed later, and the holder would continue with
            // an outdated revision. It starts a new claim instead.
            self.held = None;
            return;
        };
        self.note(write.slot, revision, now);
        if write.revision.era != self.era || revision.era != self.era {
            self.held = None;
            return;
        }
        let right = SlotRight { slot: write.slot, until: write.sent + TERM };
        self.held = Some(HeldSlot { revision: revision.number, right });
    }

    /// The slot that this host holds.
    pub fn right(&self) -> Option<SlotRight> {
        self.held.map(|held| held.right)
    }

    /// Releases the slot.
    pub fn release(&mut self) {
        self.held = None;
    }
}
