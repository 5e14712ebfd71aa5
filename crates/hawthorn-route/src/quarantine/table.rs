//! The table of quarantine records at one host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::Change;
use super::ChangeKind;
use super::Options;
use super::RequestIdentity;
use super::Subject;
use super::Verdict;
use super::record::CONFIRMED;
use super::record::Notice;
use super::record::Record;

/// The maximum number of records in each of two classes, unconfirmed and confirmed. The
/// classes are evicted separately, so that many distinct requests cannot evict the record
/// of a refused one.
const MAX_RECORDS: usize = 1024;
/// Strikes added to the caller and the route when a request is confirmed, or receives a
/// strike while its caller or route is restricted.
const CONFIRMED_STRIKES: u32 = 2;
/// Answered requests that reset a caller's strikes; a single strike is reset by one.
const CALLER_ANSWERS: u32 = 8;

/// The maximum rate of notices of unconfirmed records, per second and host. Without it,
/// gossip during an outage grows with the query rate of the fleet.
const UNCONFIRMED_NOTICE_RATE: f64 = 10.0;
/// The maximum number of notices of unconfirmed records sent in one burst.
const UNCONFIRMED_NOTICE_BURST: f64 = 32.0;

/// Quarantine records of one host, kept in memory for the lifetime of the process.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: HashMap<Subject, Record>,
    /// Records by expiry: unconfirmed, then confirmed.
    expiries: [BTreeSet<(Duration, Subject)>; 2],
    /// Refusal terms by their end.
    terms: BTreeMap<(Duration, Subject), ()>,
    /// Subjects with changes that have not been sent to other hosts.
    unsent: BTreeSet<Subject>,
    /// Limits notices of unconfirmed records.
    notice_limiter: NoticeLimiter,
    digest: u64,
}

/// Token bucket for notices of unconfirmed records.
#[derive(Clone, Debug)]
struct NoticeLimiter {
    tokens: f64,
    last_refill: Duration,
}

impl Default for NoticeLimiter {
    fn default() -> Self {
        Self { tokens: UNCONFIRMED_NOTICE_BURST, last_refill: Duration::ZERO }
    }
}

impl NoticeLimiter {
    fn try_acquire(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.last_refill = now;
        self.tokens =
            (self.tokens + elapsed * UNCONFIRMED_NOTICE_RATE).min(UNCONFIRMED_NOTICE_BURST);
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

fn record_hash(subject: Subject, record: &Record) -> u64 {
    if !record.confirmed {
        return 0;
    }
    let mut hasher = Xxh3::new();
    (subject, record.epoch, record.strikes, record.terms).hash(&mut hasher);
    hasher.finish()
}

impl QuarantineTable {
    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of records, and of refusal terms.
    pub fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.terms.len())
    }

    /// A hash of all confirmed records, for comparison between hosts; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// How a request may be handled.
    pub fn verdict(&self, identity: &RequestIdentity, now: Duration, options: &Options) -> Verdict {
        if self.records.is_empty() || !options.on {
            return Verdict::Send;
        }
        let mut trial = false;
        for subject in subjects(identity) {
            let Some(record) = self.records.get(&subject) else { continue };
            match record.verdict(subject, identity.caller, now, options) {
                Verdict::Refuse(left) => return Verdict::Refuse(left),
                Verdict::Trial => trial = true,
                Verdict::Send => {}
            }
        }
        if trial { Verdict::Trial } else { Verdict::Send }
    }

    /// The subject whose requests may only be tried one at a time, if any applies.
    pub fn trial_of(
        &self,
        identity: &RequestIdentity,
        now: Duration,
        options: &Options,
    ) -> Option<Subject> {
        let [request, caller, _] = subjects(identity);
        let is_trial = |subject: &Subject| {
            let record = self.records.get(subject);
            let verdict = record.map(|held| held.verdict(*subject, identity.caller, now, options));
            verdict == Some(Verdict::Trial)
        };
        [caller, request].into_iter().find(is_trial)
    }

    /// Records a strike of a request.
    pub fn strike(
        &mut self,
        identity: &RequestIdentity,
        now: Duration,
        options: &Options,
    ) -> Vec<Change> {
        let [request, caller, route] = subjects(identity);
        // If the caller or route is restricted already, one strike counts as a confirmation.
        let restricted = [caller, route].iter().any(|subject| {
            let verdict = |record: &Record| record.verdict(*subject, 0, now, options);
            self.records.get(subject).is_some_and(|record| verdict(record) != Verdict::Send)
        });
        let mut changes = vec![self.strike_one(request, 1, true, identity, now, options)];
        let strikes = match changes[0].strikes {
            _ if restricted => CONFIRMED_STRIKES,
            CONFIRMED => CONFIRMED_STRIKES,
            1 => 1,
            _ => return changes,
        };
        if strikes == CONFIRMED_STRIKES {
            changes.push(self.strike_one(route, strikes, true, identity, now, options));
        }
        // A caller is refused only if it accounts for most of the strikes of all routes, because
        // targets also reset connections for reasons unrelated to the caller.
        let previous = self.records.get(&caller).map_or(0, |record| record.strikes);
        let majority =
            previous.saturating_add(strikes).saturating_mul(2) > self.total_route_strikes();
        changes.push(self.strike_one(caller, strikes, majority, identity, now, options));
        changes
    }

    /// The sum of strikes over all routes. The strikes of one route are no baseline for its
    /// callers, because a route may have only one.
    fn total_route_strikes(&self) -> u32 {
        let routes = self.records.iter();
        let routes = routes.filter(|(subject, _)| matches!(subject, Subject::Route(_)));
        routes.fold(0, |total, (_, record)| total.saturating_add(record.strikes))
    }

    fn strike_one(
        &mut self,
        subject: Subject,
        strikes: u32,
        may_refuse: bool,
        identity: &RequestIdentity,
        now: Duration,
        options: &Options,
    ) -> Change {
        let change = self.update(subject, now, |record| {
            let caller = identity.caller;
            let refused = record.strike(subject, strikes, caller, may_refuse, now, options);
            let kind = if refused { ChangeKind::Refused } else { ChangeKind::Suspected };
            let left = record.refused_until.saturating_sub(now);
            Change { subject, kind, strikes: record.strikes, left }
        });
        self.unsent.insert(subject);
        change
    }

    /// Records that a target answered a request.
    pub fn answer(&mut self, identity: &RequestIdentity, now: Duration) -> Option<Change> {
        if self.records.is_empty() {
            return None;
        }
        let [request, caller, route] = subjects(identity);
        if self.records.get(&caller).is_some_and(|record| record.strikes > 0) {
            let cleared = self.update(caller, now, |record| {
                record.answers += 1;
                let cleared = record.strikes == 1 || record.answers >= CALLER_ANSWERS;
                if cleared {
                    record.clear();
                }
                cleared
            });
            if cleared {
                self.unsent.insert(caller);
            }
        }
        let strikes = self.records.get(&request).map(|record| record.strikes)?;
        if strikes == 0 {
            return None;
        }
        self.update(request, now, Record::clear);
        self.unsent.insert(request);
        let confirmed = if strikes >= CONFIRMED { CONFIRMED_STRIKES } else { 0 };
        for (subject, strikes) in [(caller, confirmed + 1), (route, confirmed)] {
            if strikes > 0 && self.records.get(&subject).is_some_and(|held| held.strikes > 0) {
                self.update(subject, now, |record| record.subtract_strikes(strikes));
                self.unsent.insert(subject);
            }
        }
        Some(Change { subject: request, kind: ChangeKind::Cleared, strikes, left: Duration::ZERO })
    }

    /// Merges another host's record, and queues it for gossip if it changed this one.
    pub fn merge(&mut self, notice: &Notice, now: Duration, options: &Options) -> Option<Change> {
        let subject = notice.subject;
        // Without this check, hosts would exchange expiring records indefinitely.
        if notice.life_ms == 0 || !options.on {
            return None;
        }
        let held = self.records.get(&subject);
        let (was_refused, strikes_before) =
            held.map_or((false, 0), |record| (record.is_refused(now), record.strikes));
        let (changed, refused, strikes, left) = self.update(subject, now, |record| {
            let changed = record.merge(notice, now);
            let left = record.refused_until.saturating_sub(now);
            (changed, record.is_refused(now), record.strikes, left)
        });
        if !changed {
            return None;
        }
        self.unsent.insert(subject);
        let kind = match () {
            () if refused && !was_refused => ChangeKind::Refused,
            () if strikes == 0 && strikes_before > 0 => ChangeKind::Cleared,
            () => ChangeKind::Suspected,
        };
        Some(Change { subject, kind, strikes, left })
    }

    /// Takes at most `max` notices of changes that have not been sent. Notices of
    /// unconfirmed records above the rate limit are dropped.
    pub fn take_unsent(&mut self, max: usize, now: Duration) -> Vec<Notice> {
        let mut notices = Vec::new();
        while notices.len() < max {
            let Some(subject) = self.unsent.pop_first() else { break };
            // An unconfirmed record that was cleared before it was sent needs no notice.
            let record = self.records.get(&subject);
            let record = record.filter(|record| record.strikes > 0 || record.confirmed);
            if record.is_some_and(|record| !record.confirmed)
                && !self.notice_limiter.try_acquire(now)
            {
                continue;
            }
            notices.extend(record.map(|record| record.notice(subject, now)));
        }
        notices
    }

    /// Whether there are changes that have not been sent.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Notices of all confirmed records.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let held = self.records.iter().filter(|(_, record)| record.confirmed);
        held.map(|(subject, record)| record.notice(*subject, now)).collect()
    }

    /// The notice of one subject's record.
    pub fn notice(&self, subject: Subject, now: Duration) -> Option<Notice> {
        self.records.get(&subject).map(|record| record.notice(subject, now))
    }

    /// Removes refusal terms that have ended and records that have expired.
    pub fn sweep(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some(((_, subject), ())) =
            self.terms.first_key_value().filter(|((until, _), ())| *until <= now)
        {
            let subject = *subject;
            self.terms.pop_first();
            let strikes = self.records.get(&subject).map_or(0, |record| record.strikes);
            let kind = ChangeKind::Released;
            changes.push(Change { subject, kind, strikes, left: Duration::ZERO });
        }
        for class in 0..self.expiries.len() {
            while let Some((_, subject)) =
                self.expiries[class].first().copied().filter(|(expires, _)| *expires <= now)
            {
                let strikes = self.remove(subject);
                let kind = ChangeKind::Forgotten;
                changes.push(Change { subject, kind, strikes, left: Duration::ZERO });
            }
        }
        changes
    }

    /// Updates a subject's record, or a new one, and all indexes.
    fn update<T>(
        &mut self,
        subject: Subject,
        now: Duration,
        with: impl FnOnce(&mut Record) -> T,
    ) -> T {
        let mut record = self.detach(subject).unwrap_or_else(|| Record::new(now));
        let outcome = with(&mut record);
        let class = usize::from(record.confirmed);
        if self.expiries[class].len() >= MAX_RECORDS
            && let Some((_, oldest)) = self.expiries[class].first().copied()
        {
            self.remove(oldest);
        }
        self.expiries[class].insert((record.expires, subject));
        if record.is_refused(now) {
            self.terms.insert((record.refused_until, subject), ());
        }
        self.digest ^= record_hash(subject, &record);
        self.records.insert(subject, record);
        outcome
    }

    fn remove(&mut self, subject: Subject) -> u32 {
        self.unsent.remove(&subject);
        self.detach(subject).map_or(0, |record| record.strikes)
    }

    /// Removes a record from the table and its indexes.
    fn detach(&mut self, subject: Subject) -> Option<Record> {
        let record = self.records.remove(&subject)?;
        self.expiries[usize::from(record.confirmed)].remove(&(record.expires, subject));
        self.terms.remove(&(record.refused_until, subject));
        self.digest ^= record_hash(subject, &record);
        Some(record)
    }
}

fn subjects(identity: &RequestIdentity) -> [Subject; 3] {
    let RequestIdentity { fingerprint, caller, route } = *identity;
    [Subject::Request(fingerprint), Subject::Caller(caller), Subject::Route(route)]
}
