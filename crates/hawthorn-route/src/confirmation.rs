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
