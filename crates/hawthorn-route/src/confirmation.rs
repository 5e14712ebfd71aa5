//! When the store's state was confirmed as the one that a host's mirror holds.
//!
//! Handles delayed replies, suspended hosts and partitions: a host must not take an old
//! configuration for a current one. Every time is a lower bound by the host's own clock, which
//! includes suspension, so that a confirmation is never later than the store's state allows.

use std::time::Duration;

use smallvec::SmallVec;

use crate::revision::StoreRevision;

/// Maximum number of confirmations that wait for the mirror. The oldest is dropped above it, which
/// is safe: an unused confirmation leaves the state older than it is.
const MAX_PENDING: usize = 8;

/// Margin of the age of a configuration below the time within which keys must be revoked: the time
/// between the check of the key and the write to the socket.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(300);
/// Time after a failed call to the store for which hosts with silent sources do not call it: all of
/// them would call a store that is down.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(2500);
/// Shortest time within which keys can be revoked: the period of the reads that confirm (1.2 s),
/// the timeout of one (0.5 s), the wait of a peer's request (0.9 s), the time limit of its reply
/// (0.3 s) and the margin (0.3 s). A shorter one would refuse allowed requests on calm days.
pub const MIN_REVOCATION: Duration = Duration::from_millis(3200);
/// Longest time within which keys are revoked; a longer one is probably a mistaken unit.
pub const MAX_REVOCATION: Duration = Duration::from_secs(600);

/// How often a host has its mirror confirmed, and up to which age it uses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationPlan {
    /// Period of a watcher's reads of the store.
    pub check_period: Duration,
    /// A peer with an older confirmation is not used as a source. Two periods without an answer,
    /// and some delay.
    pub max_source_age: Duration,
    /// Age of a host's data above which it reads the store itself if its source has no link
    /// capacity for an update.
    pub max_deferred_age: Duration,
    /// Age of a host's data above which it reads the store itself, and asks no further peer, if its
    /// source did not answer.
    pub max_silent_age: Duration,
    /// Age below which requests with keys are sent; any age if `None`.
    pub max_key_age: Option<Duration>,
}

impl ConfirmationPlan {
    /// The plan of a host that must apply revoked keys `within` a time; `None` if it need not.
    pub fn new(within: Option<Duration>) -> Self {
        let Some(within) = within else {
            return Self {
                check_period: Duration::from_millis(800),
                // With the read that follows, an update is applied within 3 s even if all
                // watchers of a zone lose the store at the same time.
                max_source_age: Duration::from_millis(1800),
                // Above the age of a host's data between two checks by the source and two replies.
                max_deferred_age: Duration::from_millis(2500),
                // With the last request to a peer (0.3 s) and the delay of a rollout, an update is
                // applied within 3 s.
                max_silent_age: Duration::from_millis(2000),
                max_key_age: None,
            };
        };
        let max_key_age = within.saturating_sub(KEY_AGE_MARGIN);
        Self {
            // A linearizable read costs ten times as much as a serializable one.
            check_period: Duration::from_millis(1200),
            max_source_age: Duration::from_millis(2700),
            max_deferred_age: max_key_age / 2,
            max_silent_age: max_key_age / 2,
            max_key_age: Some(max_key_age),
        }
    }

    /// Whether requests with keys may be sent at this age of the configuration; `None` is the age
    /// of one that was never confirmed.
    pub fn is_current(&self, age: Option<Duration>) -> bool {
        self.max_key_age.is_none_or(|limit| age.is_some_and(|age| age < limit))
    }

    /// Whether a host whose source did not answer may turn to the store: `failed_ago` is when a call
    /// to it last failed, unless the store or a peer has confirmed the mirror since then.
    pub fn may_read_store(&self, failed_ago: Option<Duration>) -> bool {
        failed_ago.is_none_or(|ago| ago >= STORE_RETRY_DELAY)
    }

    /// Whether a host has used half of the age that keys allow, and should not wait for changes.
    pub fn needs_refresh(&self, age: Option<Duration>) -> bool {
        self.max_key_age.is_some_and(|limit| age.is_none_or(|age| age > limit / 2))
    }
}

/// A state of the store that a peer reported, and how long the report took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAge {
    /// Age of the peer's confirmation at its reply, by the peer's clock.
    pub age: Duration,
    /// Time between the peer's receipt of the request and its reply, by the peer's clock.
    pub held: Duration,
}

impl PeerAge {
    /// When the state was confirmed, by the clock of the host that sent its request at `sent`;
    /// `None` if that is before the start of its clock.
    ///
    /// The peer received the request at `sent` or later, so it replied at `sent + held` or later.
    /// The delay of the reply does not count: data delayed on the way would appear new.
    pub fn confirmed_at(&self, sent: Duration) -> Option<Duration> {
        sent.checked_add(self.held)?.checked_sub(self.age)
    }
}

/// Confirmations of a host's mirror.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreConfirmation {
    confirmed: Option<Duration>,
    /// Confirmations of revisions that the mirror has not reached, in order of arrival.
    pending: SmallVec<[(StoreRevision, Duration); MAX_PENDING]>,
}

impl StoreConfirmation {
    /// Records that at `at`, no revision above `revision` was acknowledged. It confirms a mirror
    /// at `mirror` now, or once the mirror has reached the revision.
    pub fn record(&mut self, revision: StoreRevision, at: Duration, mirror: StoreRevision) {
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push((revision, at));
        self.advance(mirror);
    }

    /// Confirms the mirror as of the pending confirmations that it has reached.
    pub fn advance(&mut self, mirror: StoreRevision) {
        let reached = self.pending.iter().filter(|(revision, _)| *revision <= mirror);
        self.confirmed = self.confirmed.max(reached.map(|(_, at)| *at).max());
        self.pending.retain(|(revision, _)| *revision > mirror);
    }

    /// The time as of which the mirror was last confirmed; `None` if it never was.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed
    }
}

/// A change between current and stale keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyChange {
    /// Requests with keys are refused from now on.
    Stale,
    /// They are served again.
    Current,
}

/// Reports each change between current and stale keys once.
///
/// Handles a host that has just started: it refuses keys until its first confirmation, which is
/// reported only if it takes longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyChangeReport {
    started: Duration,
    current: bool,
}

impl KeyChangeReport {
    /// The report of a host that started at `started`.
    pub fn new(started: Duration) -> Self {
        Self { started, current: true }
    }

    /// The change since the last call, for a mirror that was confirmed as of `confirmed`.
    pub fn observe(
        &mut self,
        plan: &ConfirmationPlan,
        confirmed: Option<Duration>,
        now: Duration,
    ) -> Option<KeyChange> {
        let age = now.saturating_sub(confirmed.unwrap_or(self.started));
        let current = plan.is_current(Some(age));
        let change = if current { KeyChange::Current } else { KeyChange::Stale };
        (std::mem::replace(&mut self.current, current) != current).then_some(change)
    }
}
