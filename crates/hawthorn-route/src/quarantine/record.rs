//! The record of one subject, and its form for other hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::Options;
use super::Subject;
use super::Verdict;

/// Strikes of a caller from which its requests are tried at one target first.
const CALLER_TRIAL: u32 = 5;
/// Strikes from which a caller is refused.
const CALLER_REFUSED: u32 = 8;
/// Strikes of a route from which its requests are tried at one target first.
const ROUTE_TRIAL: u32 = 6;
/// Strikes from which crashes are attributed to the request and not to the targets.
pub(super) const CONFIRMED: u32 = 2;
/// The duration of a caller's first refusal.
const CALLER_TERM: Duration = Duration::from_secs(5);
const MAX_CALLER_TERM: Duration = Duration::from_secs(300);
const MAX_TERM: Duration = Duration::from_secs(3600);
/// Records expire this long after their last change or the end of their refusal term:
/// unconfirmed ones, confirmed ones, and those of routes.
const SUSPECT_LIFE: Duration = Duration::from_secs(60);
const CONFIRMED_LIFE: Duration = Duration::from_secs(600);
const ROUTE_LIFE: Duration = Duration::from_secs(30);
/// Callers stored per request. Once this many have caused crashes, the request is refused
/// for all callers.
const MAX_CALLERS: usize = 2;

/// A record as sent to other hosts. Times are relative because clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The subject.
    pub subject: Subject,
    /// Incremented when strikes are reset or reduced; the greater epoch takes precedence.
    pub epoch: u32,
    /// The number of strikes in this epoch.
    pub strikes: u32,
    /// The number of refusal terms so far.
    pub terms: u32,
    /// Whether the subject ever had several strikes, which includes it in the digest.
    pub confirmed: bool,
    /// Milliseconds until the refusal term ends.
    pub refused_ms: u32,
    /// Milliseconds until the record expires.
    pub life_ms: u32,
    /// Hashes of callers whose requests caused crashes, as in
    /// [`RequestIdentity`](super::RequestIdentity).
    pub callers: SmallVec<[u64; MAX_CALLERS]>,
}

/// The state of one subject.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) epoch: u32,
    pub(super) strikes: u32,
    pub(super) terms: u32,
    pub(super) refused_until: Duration,
    pub(super) expires: Duration,
    /// Whether strikes ever reached [`CONFIRMED`], which includes the record in the digest.
    pub(super) confirmed: bool,
    /// The number of a caller's answered requests since its last strike.
    pub(super) answers: u32,
    callers: SmallVec<[u64; MAX_CALLERS]>,
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Record {
    /// Creates an empty record; the first update sets its expiry.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            epoch: 0,
            strikes: 0,
            terms: 0,
            refused_until: Duration::ZERO,
            expires: now,
            confirmed: false,
            answers: 0,
            callers: SmallVec::new(),
        }
    }

    fn extend_expiry(&mut self, subject: Subject, now: Duration) {
        let life = match subject {
            Subject::Route(_) => ROUTE_LIFE,
            _ if self.confirmed => CONFIRMED_LIFE,
            _ => SUSPECT_LIFE,
        };
        self.expires = self.expires.max(self.refused_until.max(now) + life);
    }

    pub(super) fn is_refused(&self, now: Duration) -> bool {
        self.refused_until > now
    }

    /// Adds strikes; returns true if a refusal term begins, which `may_refuse` permits.
    pub(super) fn strike(
        &mut self,
        subject: Subject,
        strikes: u32,
        caller: u64,
        may_refuse: bool,
        now: Duration,
        options: &Options,
    ) -> bool {
        self.strikes = self.strikes.saturating_add(strikes);
        self.answers = 0;
        if matches!(subject, Subject::Request(_)) {
            self.add_caller(caller);
        }
        self.confirmed |= self.strikes >= CONFIRMED;
        let (threshold, first_term, max_term) = match subject {
            Subject::Request(_) => (options.crashes, options.term, MAX_TERM),
            Subject::Caller(_) => (CALLER_REFUSED, CALLER_TERM, MAX_CALLER_TERM),
            Subject::Route(_) => (u32::MAX, Duration::ZERO, Duration::ZERO),
        };
        // Strikes during a term, from attempts that were in flight, do not extend it.
        let term_begins = may_refuse && self.strikes >= threshold && !self.is_refused(now);
        if term_begins {
            let factor = 1_u32.checked_shl(self.terms).unwrap_or(u32::MAX);
            self.terms = self.terms.saturating_add(1);
            self.refused_until =
                now + first_term.saturating_mul(factor).min(max_term.max(first_term));
        }
        self.extend_expiry(subject, now);
        term_begins
    }

    /// Resets the record after an answer.
    pub(super) fn clear(&mut self) {
        self.epoch = self.epoch.saturating_add(1);
        self.strikes = 0;
        self.answers = 0;
        self.refused_until = Duration::ZERO;
        self.callers.clear();
    }

    /// Subtracts strikes caused by a request that a target has since answered.
    pub(super) fn subtract_strikes(&mut self, strikes: u32) {
        self.epoch = self.epoch.saturating_add(1);
        self.strikes = self.strikes.saturating_sub(strikes);
    }

    pub(super) fn verdict(
        &self,
        subject: Subject,
        caller: u64,
        now: Duration,
        options: &Options,
    ) -> Verdict {
        let trial = match subject {
            Subject::Request(_) => self.strikes > 0,
            Subject::Caller(_) => options.callers && self.strikes >= CALLER_TRIAL,
            Subject::Route(_) => self.strikes >= ROUTE_TRIAL,
        };
        let applies = match subject {
            // The fingerprint excludes headers, so a caller whose headers crash targets
            // must not cause the same content to be refused for other callers.
            Subject::Request(_) => {
                self.callers.contains(&caller) || self.callers.len() >= MAX_CALLERS
            }
            Subject::Caller(_) => options.callers,
            Subject::Route(_) => false,
        };
        if applies && self.is_refused(now) {
            Verdict::Refuse(self.refused_until - now)
        } else if trial {
            Verdict::Trial
        } else {
            Verdict::Send
        }
    }

    fn add_caller(&mut self, caller: u64) {
        if !self.callers.contains(&caller) && self.callers.len() < MAX_CALLERS {
            self.callers.push(caller);
        }
    }

    /// Merges another host's record; returns true if this one changed.
    pub(super) fn merge(&mut self, notice: &Notice, now: Duration) -> bool {
        let before = self.merge_state();
        let callers_before = self.callers.len();
        if notice.epoch > self.epoch {
            self.epoch = notice.epoch;
            self.strikes = 0;
            if notice.refused_ms == 0 {
                self.refused_until = Duration::ZERO;
            }
            self.callers.clear();
        }
        if notice.epoch == self.epoch {
            self.strikes = self.strikes.max(notice.strikes);
            let until = now + Duration::from_millis(u64::from(notice.refused_ms));
            // Applies to later terms only: the current one would be extended by the
            // message's transit time.
            if notice.refused_ms > 0 && notice.terms > self.terms {
                self.refused_until = self.refused_until.max(until);
            }
            notice.callers.iter().for_each(|caller| self.add_caller(*caller));
        }
        self.terms = self.terms.max(notice.terms);
        self.confirmed |= notice.confirmed;
        let changed = self.merge_state() != before || self.callers.len() != callers_before;
        if changed {
            let life = Duration::from_millis(u64::from(notice.life_ms));
            self.expires = self.expires.max(now + life);
        }
        changed
    }

    fn merge_state(&self) -> (u32, u32, u32, bool) {
        (self.epoch, self.strikes, self.terms, self.confirmed)
    }

    pub(super) fn notice(&self, subject: Subject, now: Duration) -> Notice {
        Notice {
            subject,
            epoch: self.epoch,
            strikes: self.strikes,
            terms: self.terms,
            confirmed: self.confirmed,
            refused_ms: millis(self.refused_until.saturating_sub(now)),
            life_ms: millis(self.expires.saturating_sub(now)),
            callers: self.callers.clone(),
        }
    }
}
