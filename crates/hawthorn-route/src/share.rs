//! Division of a limit of the whole fleet among hosts.
//!
//! Handles hosts that are partitioned, killed, suspended and restarted while the sum over all of
//! them must stay within a limit. A limit is divided by a count of hosts, or into slots that
//! hosts claim by conditional writes to the store.
//!
//! A slot is a key of the store. Its holder writes it repeatedly, each time on the condition
//! that no other host has written it since, and may use the slot for [`ClaimTerms::term`] after it
//! sent the last such write that succeeded. Another host claims a slot by the same kind of write,
//! on the condition of a revision that it has known for [`ClaimTerms::stale_time`]. That is longer
//! than the term, which began before any host knew the revision. The earlier holder's term has
//! therefore ended, however slow the store is and however late either host receives the change.
//! Leases are not used, because the store may remove a key before its lease ends.
//!
//! A restore of the store loses writes that it acknowledged, and gives out their revisions again.
//! A host that learns of it forgets all revisions and waits for the stale time, in which the terms
//! from before the restore end. A write that the store executed in another era than that of its
//! condition claims nothing.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::revision::StoreRevision;

/// Shortest and longest time until a host that lost a claim tries again.
const RETRY_TIMES: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1200));
/// Minimum fleet size that a limit is divided by. A lower one would let a fleet of this size,
/// whose hosts do not know each other yet, exceed the limit.
const MIN_HOSTS: usize = 8;

/// The number of hosts that a shared resource is divided by.
pub fn effective_hosts(hosts: usize) -> usize {
    hosts.max(MIN_HOSTS)
}

/// The part of a whole limit that one of `parts` equal holders may use.
pub fn part(limit: u32, index: u32, parts: u32) -> u32 {
    limit / parts + u32::from(index < limit % parts)
}

/// How a group of slots is claimed.
pub trait ClaimTerms: Copy {
    /// Number of slots that a host may claim one of.
    fn slots(&self) -> u32;
    /// How long a slot may be used after the write that confirmed it was sent.
    fn term(&self) -> Duration;
    /// Time after the sending of a write after which the holder writes the slot again.
    fn renewal(&self) -> Duration;
    /// A slot that has not changed for this long has no holder: the term, the time for which
    /// the last holder's use still counts, and a margin.
    fn stale_time(&self) -> Duration;
    /// Whether a holder uses the slot until its term ends, although a later write failed or the
    /// store was restored. No other host claims the slot before that.
    fn keeps_term(&self) -> bool {
        false
    }
}

/// A slot that this host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRight {
    /// Which of the slots.
    pub slot: u32,
    /// From this time on, another host may use it.
    pub until: Duration,
}

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

#[derive(Clone, Copy, Debug)]
struct SeenSlot {
    revision: u64,
    vacant_from: Duration,
}

#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    revision: u64,
    right: SlotRight,
    /// When the slot is written again.
    renewal: Duration,
}

/// One host's claim on one of a group of slots.
#[derive(Clone, Debug)]
pub struct SlotClaim<T> {
    terms: T,
    /// The store's era, to which all revisions belong.
    era: u64,
    seen: Vec<SeenSlot>,
    held: Option<HeldSlot>,
    next_try: Duration,
}

impl<T: ClaimTerms + Default> SlotClaim<T> {
    /// The claim of a host that starts at `now`. It may not have seen the latest changes.
    pub fn new(now: Duration) -> Self {
        Self::with_terms(T::default(), now)
    }
}

impl<T: ClaimTerms> SlotClaim<T> {
    /// The claim of a host that starts at `now`, with these terms.
    pub fn with_terms(terms: T, now: Duration) -> Self {
        let slot = SeenSlot { revision: 0, vacant_from: now + terms.stale_time() };
        let seen = vec![slot; terms.slots() as usize];
        Self { terms, era: 0, seen, held: None, next_try: Duration::ZERO }
    }

    /// Forgets all revisions and releases the slot if `era` is later than the known one.
    pub fn enter_era(&mut self, era: u64, now: Duration) {
        if era > self.era {
            let held = self.held.filter(|_| self.terms.keeps_term());
            *self = Self { era, held, ..Self::with_terms(self.terms, now) };
        }
    }

    /// Records a slot's revision as read from the store, perhaps through other hosts.
    pub fn note(&mut self, slot: u32, revision: StoreRevision, now: Duration) {
        self.enter_era(revision.era, now);
        if let Some(seen) = self.seen.get_mut(slot as usize)
            && revision.era == self.era
            && revision.number > seen.revision
        {
            let vacant_from = now + self.terms.stale_time();
            *seen = SeenSlot { revision: revision.number, vacant_from };
        }
    }

    /// Records that a slot's key does not exist, or no longer does, as of a revision.
    pub fn note_absent(&mut self, slot: u32, as_of: StoreRevision, now: Duration) {
        self.enter_era(as_of.era, now);
        if as_of.era == self.era
            && let Some(seen) = self.seen.get_mut(slot as usize)
        {
            *seen = SeenSlot { revision: 0, vacant_from: now + self.terms.stale_time() };
        }
    }

    /// The write that is due: a renewal, or a claim of a slot without a holder.
    pub fn due_write(&mut self, now: Duration, rng: &mut impl Rng) -> Option<SlotWrite> {
        if let Some(held) = self.held {
            if now < held.right.until {
                let HeldSlot { revision, right, renewal } = held;
                // After a write without an answer, the revision read from the store is newer.
                let keeps = self.terms.keeps_term();
                let revision = if keeps { self.seen_revision(right.slot) } else { revision };
                let revision = StoreRevision::new(self.era, revision);
                let write = SlotWrite { slot: right.slot, revision, sent: now };
                return (now >= renewal).then_some(write);
            }
            self.held = None;
        }
        if now < self.next_try {
            return None;
        }
        let vacant = |seen: &SeenSlot| now >= seen.vacant_from;
        let vacant: Vec<u32> =
            (0..self.terms.slots()).filter(|slot| vacant(&self.seen[*slot as usize])).collect();
        let slot = *vacant.get(rng.random_range(0..vacant.len().max(1)))?;
        self.next_try = now + rng.random_range(RETRY_TIMES.0..RETRY_TIMES.1);
        let revision = StoreRevision::new(self.era, self.seen[slot as usize].revision);
        Some(SlotWrite { slot, revision, sent: now })
    }

    /// Records the outcome of a write.
    pub fn record(&mut self, write: SlotWrite, outcome: WriteOutcome, now: Duration) {
        let WriteOutcome::Done(revision) = outcome else {
            self.record_failure(now);
            return;
        };
        self.note(write.slot, revision, now);
        if write.revision.era != self.era || revision.era != self.era {
            self.record_failure(now);
            return;
        }
        let right = SlotRight { slot: write.slot, until: write.sent + self.terms.term() };
        let renewal = write.sent + self.terms.renewal();
        self.held = Some(HeldSlot { revision: revision.number, right, renewal });
    }

    fn record_failure(&mut self, now: Duration) {
        // A write without an answer may be executed later, and the holder would continue with an
        // outdated revision. It starts a new claim instead, at once or when its term has ended.
        match &mut self.held {
            Some(held) if self.terms.keeps_term() => held.renewal = now + RETRY_TIMES.1,
            held => *held = None,
        }
    }

    /// The slot that this host holds.
    pub fn right(&self) -> Option<SlotRight> {
        self.held.map(|held| held.right)
    }

    /// The latest known revision of a slot; 0 if its key is not known to exist.
    pub fn seen_revision(&self, slot: u32) -> u64 {
        self.seen.get(slot as usize).map_or(0, |seen| seen.revision)
    }

    /// From when on a slot counts as vacant unless it changes.
    pub fn vacant_from(&self, slot: u32) -> Duration {
        self.seen.get(slot as usize).map_or(Duration::MAX, |seen| seen.vacant_from)
    }

    /// Treats a slot as vacant from `now` on, as its holder is known to be dead or never existed.
    pub fn assume_vacant(&mut self, slot: u32, now: Duration) {
        if let Some(seen) = self.seen.get_mut(slot as usize) {
            seen.vacant_from = seen.vacant_from.min(now);
        }
    }

    /// Releases the slot.
    pub fn release(&mut self) {
        self.held = None;
    }
}
