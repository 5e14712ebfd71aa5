//! Claims of the slots for quotas, one for each zone.
//!
//! Handles holders that are killed, restarted, suspended or cut off from the store.
//!
//! The term is long: a zone that is cut off from the store serves its part of every quota for
//! that time, and a killed holder is usually restarted within seconds. The restarted process finds
//! its own host name in the slot and claims it at once, as its predecessor is dead. Where there
//! is only one slot, the term is short, as no other holder serves until it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use super::QuotaLimits;
use super::QuotaShare;
use super::holder::HolderStart;
use super::holder::TokenGrant;
use super::holder::TokenHolder;
use crate::revision::StoreRevision;
use crate::share::ClaimTerms;
use crate::share::SlotClaim;
use crate::share::SlotWrite;
use crate::share::WriteOutcome;

/// Time after which hosts of other zones claim a vacant slot. The slot's own zone needs it when it
/// is cut off, so its hosts first have time for two more writes if one is lost.
const BACKUP_DELAY: Duration = Duration::from_secs(3);
/// Number of new holders in a window that start with an allowance.
const MAX_CHANGES: u8 = 2;
/// Interval at which a holder renews its term. With 3 s, a zone that is cut off for 15 s at 4,000
/// hosts serves less than 0.95 of what customers are allowed: less of the term is left.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1600);
/// Part of the term for clocks that run at different rates.
const TERM_MARGIN: f64 = 0.05;

/// The terms of slots for quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTerms {
    term: Duration,
}

impl QuotaTerms {
    /// The terms of a number of slots.
    pub fn of(slots: u32) -> Self {
        let term = if slots > 1 { 20_000 } else { 4000 };
        Self { term: Duration::from_millis(term) }
    }
}

impl ClaimTerms for QuotaTerms {
    fn slots(&self) -> u32 {
        1
    }

    fn term(&self) -> Duration {
        self.term
    }

    fn renewal(&self) -> Duration {
        RENEWAL_PERIOD
    }

    fn stale_time(&self) -> Duration {
        self.term.mul_f64(1.0 + TERM_MARGIN)
    }

    fn keeps_term(&self) -> bool {
        true
    }
}

/// The value of a slot in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Name of the holder.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its address for other hosts.
    pub peer: SocketAddr,
    /// Identifies the holder's process.
    pub instance: u64,
    /// The store's era in which the holder wrote it.
    pub era: u64,
    /// Number of new holders whose predecessors' requests still count; 0 after a window without
    /// a change.
    pub changes: u8,
    /// Whether the holder has stopped granting tokens.
    pub released: bool,
}

/// Why a host may claim a vacant slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// It is the first host of the slot's zone.
    First,
    /// It is the first host of another zone.
    Backup,
    /// It is neither.
    None,
}

/// A conditional write of a slot, with its value.
#[derive(Clone, Debug)]
pub struct QuotaWrite {
    /// The slot.
    pub slot: u32,
    /// Its condition.
    pub condition: SlotWrite,
    /// Its value.
    pub record: SlotRecord,
    /// How full the buckets are once it is executed; `None` if they stay as they are.
    pub start: Option<HolderStart>,
}

#[derive(Clone, Debug)]
struct QuotaSlot {
    claim: SlotClaim<QuotaTerms>,
    record: Option<SlotRecord>,
    holder: Option<TokenHolder>,
    /// As in the last record that this host wrote.
    changes: u8,
}

impl QuotaSlot {
    fn recent_changes(&self, now: Duration, counted: Duration) -> u8 {
        let started = self.holder.as_ref().map(TokenHolder::started);
        if started.is_some_and(|started| now >= started + counted) { 0 } else { self.changes }
    }
}

/// What one host knows of all slots, and the ones that it holds.
#[derive(Clone, Debug)]
pub struct QuotaSlots {
    /// This host as holder.
    me: SlotRecord,
    limits: QuotaLimits,
    slots: Vec<QuotaSlot>,
    shares: Vec<(Rc<str>, QuotaShare)>,
}

impl QuotaSlots {
    /// The slots as known to a host that starts at `now`; `me` names the host.
    pub fn new(me: SlotRecord, limits: QuotaLimits, slots: u32, now: Duration) -> Self {
        let claim = SlotClaim::with_terms(QuotaTerms::of(slots), now);
        let slot = QuotaSlot { claim, record: None, holder: None, changes: 0 };
        Self { me, limits, slots: vec![slot; slots as usize], shares: Vec::new() }
    }

    /// Number of slots.
    pub fn count(&self) -> u32 {
        self.slots.len() as u32
    }

    /// Forgets all revisions if `era` is later than the known one. Slots are held until their
    /// terms end, which is before other hosts claim them, and may be renewed in the new era.
    pub fn enter_era(&mut self, era: u64, now: Duration) {
        if era > self.me.era {
            self.me.era = era;
            for slot in &mut self.slots {
                slot.claim.enter_era(era, now);
                slot.record = None;
                if !is_held(slot, now) {
                    slot.holder = None;
                }
            }
        }
    }

    /// Records a slot as read from the store, perhaps through other hosts; `None` if its value is
    /// unreadable.
    pub fn note(
        &mut self,
        slot: u32,
        revision: StoreRevision,
        record: Option<SlotRecord>,
        now: Duration,
    ) {
        self.enter_era(revision.era, now);
        if revision.era < self.me.era {
            return;
        }
        let Some(slot) = self.slots.get_mut(slot as usize) else { return };
        if revision.number >= slot.claim.seen_revision(0) {
            slot.claim.note(0, revision, now);
            slot.record = record;
        }
    }

    /// Records that a slot's key does not exist, or no longer does, as of a revision.
    pub fn note_absent(&mut self, slot: u32, as_of: StoreRevision, now: Duration) {
        self.enter_era(as_of.era, now);
        if as_of.era == self.me.era
            && let Some(slot) = self.slots.get_mut(slot as usize)
        {
            slot.claim.note_absent(0, as_of, now);
            slot.record = None;
        }
    }

    /// Stops granting tokens; returns the writes that let other hosts claim the slots at once.
    pub fn release(&mut self, now: Duration) -> Vec<QuotaWrite> {
        let counted = self.limits.counted();
        let Self { me, slots, .. } = self;
        let mut writes = Vec::new();
        for (index, slot) in (0..).zip(slots) {
            let right = slot.claim.right().filter(|right| now < right.until);
            slot.claim.release();
            let (Some(_), Some(holder)) = (right, slot.holder.take()) else { continue };
            let revision = StoreRevision::new(me.era, slot.claim.seen_revision(0));
            let condition = SlotWrite { slot: 0, revision, sent: now };
            let changes = if now >= holder.started() + counted { 0 } else { slot.changes };
            let record = SlotRecord { changes, released: true, ..me.clone() };
            writes.push(QuotaWrite { slot: index, condition, record, start: None });
        }
        writes
    }

    /// Applies the quotas of a configuration.
    pub fn configure(&mut self, shares: Vec<(Rc<str>, QuotaShare)>, now: Duration) {
        self.shares = shares;
        for index in 0..self.count() {
            self.configure_slot(index, now);
        }
    }

    fn configure_slot(&mut self, index: u32, now: Duration) {
        let count = self.count();
        let Self { slots, shares, .. } = self;
        let Some(holder) = slots.get_mut(index as usize).and_then(|slot| slot.holder.as_mut())
        else {
            return;
        };
        let shares = shares.iter().map(|(customer, share)| {
            let share = share.uses(customer, index, count).then_some(*share);
            (Rc::clone(customer), share)
        });
        holder.configure(shares, now);
    }

    /// The next write that is due: a renewal, or a claim of a slot without a holder.
    pub fn due_write(
        &mut self,
        now: Duration,
        candidacy: impl Fn(u32) -> Candidacy,
        rng: &mut impl Rng,
    ) -> Option<QuotaWrite> {
        (0..self.count()).find_map(|slot| self.due_write_of(slot, now, candidacy(slot), rng))
    }

    fn due_write_of(
        &mut self,
        index: u32,
        now: Duration,
        candidacy: Candidacy,
        rng: &mut impl Rng,
    ) -> Option<QuotaWrite> {
        let counted = self.limits.counted();
        let Self { me, slots, .. } = self;
        let slot = slots.get_mut(index as usize)?;
        let record = slot.record.as_ref();
        let is_mine = record.is_some_and(|record| record.instance == me.instance);
        // The copy that a store was restored from may name an earlier holder.
        let was_mine = record.is_some_and(|record| record.host == me.host && record.era == me.era);
        // Before the first restore, a key that does not exist never existed.
        let is_new = record.is_none() && slot.claim.seen_revision(0) == 0 && me.era == 0;
        let is_released = record.is_some_and(|record| record.released && record.era == me.era);
        let held = is_held(slot, now);
        let is_anothers = record.is_some_and(|record| !is_mine && record.era == me.era);
        if held && is_anothers {
            return None;
        }
        if !held {
            if was_mine || is_new || is_released {
                slot.claim.assume_vacant(0, now);
            }
            let vacant_from = slot.claim.vacant_from(0);
            let admitted = match candidacy {
                _ if was_mine => true,
                Candidacy::First => true,
                Candidacy::Backup => now >= vacant_from + BACKUP_DELAY,
                Candidacy::None => false,
            };
            if !admitted {
                return None;
            }
        }
        let condition = slot.claim.due_write(now, rng)?;
        let start = match ((held || is_mine) && slot.holder.is_some(), record) {
            (true, _) => None,
            (false, None) if is_new => Some(HolderStart::Full),
            (false, _) if !was_mine && now >= slot.claim.vacant_from(0) + counted => {
                Some(HolderStart::Full)
            }
            // A restore may have lost the writes of later holders.
            (false, Some(record)) if record.changes < MAX_CHANGES && record.era == me.era => {
                Some(HolderStart::Allowance)
            }
            (false, _) => Some(HolderStart::Empty),
        };
        let changes = match start {
            None => slot.recent_changes(now, counted),
            Some(HolderStart::Full) => 0,
            Some(HolderStart::Allowance) => record.map_or(MAX_CHANGES, |last| last.changes + 1),
            Some(HolderStart::Empty) => MAX_CHANGES,
        };
        let record = SlotRecord { changes, ..me.clone() };
        Some(QuotaWrite { slot: index, condition, record, start })
    }

    /// Records the outcome of a write.
    pub fn record(&mut self, write: QuotaWrite, outcome: WriteOutcome, now: Duration) {
        let Some(slot) = self.slots.get_mut(write.slot as usize) else { return };
        slot.claim.record(write.condition, outcome, now);
        if slot.claim.right().is_none() {
            return;
        }
        slot.changes = write.record.changes;
        slot.record = Some(write.record);
        if let Some(start) = write.start {
            slot.holder = Some(TokenHolder::new(start, self.limits.counted(), now));
            self.configure_slot(write.slot, now);
        }
    }

    /// Number of slots that this host holds.
    pub fn held(&self, now: Duration) -> usize {
        self.slots.iter().filter(|slot| is_held(slot, now)).count()
    }

    /// Grants tokens from the slots that this host holds; `None` if the customer has no share at
    /// any of them.
    pub fn take(&mut self, customer: &str, count: u32, now: Duration) -> Option<TokenGrant> {
        let mut total: Option<TokenGrant> = None;
        for slot in self.slots.iter_mut().filter(|slot| is_held(slot, now)) {
            let asked = count - total.map_or(0, |total| total.granted);
            let grant = slot.holder.as_mut().and_then(|holder| holder.take(customer, asked, now));
            let Some(grant) = grant else { continue };
            total = Some(match total {
                None => grant,
                Some(total) => TokenGrant {
                    granted: total.granted + grant.granted,
                    next: total.next.min(grant.next),
                    pause: total.pause.min(grant.pause),
                },
            });
        }
        total
    }

    /// The hosts that hold shares of a customer's quota, nearest first: this host, hosts of its
    /// zone, then the others in an order that differs between hosts.
    pub fn holders(&self, customer: &str, share: &QuotaShare) -> Vec<&SlotRecord> {
        let count = self.count();
        let mut holders: Vec<(u64, &SlotRecord)> = Vec::new();
        for (index, slot) in (0u32..).zip(&self.slots) {
            let Some(record) = slot.record.as_ref() else { continue };
            if record.released
                || !share.uses(customer, index, count)
                || holders.iter().any(|(_, other)| other.peer == record.peer)
            {
                continue;
            }
            let distance = match record {
                _ if record.instance == self.me.instance => 0,
                _ if record.host == self.me.host => continue,
                _ if record.zone == self.me.zone => 1,
                // Differs between hosts, so that no holder is everyone's second.
                _ => 2 + (self.me.instance.rotate_left(index) & 0xffff),
            };
            holders.push((distance, record));
        }
        holders.sort_by_key(|(distance, _)| *distance);
        holders.into_iter().map(|(_, record)| record).collect()
    }
}

fn is_held(slot: &QuotaSlot, now: Duration) -> bool {
    slot.claim.right().is_some_and(|right| now < right.until)
}
