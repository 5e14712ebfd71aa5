//! Whether a zone's targets can be reached from this host.
//!
//! The load it is for: a zone that is cut off while callers still reach hosts
//! on both sides. The harm it prevents: every request waits out its time for
//! targets that cannot answer, on a host that could have said at once that
//! another one should be asked. A zone is believed cut off only when several
//! requests in a row, sent to any of its targets, brought nothing for longer
//! than a pause of one target lasts.

use std::time::Duration;

/// Requests without any answer from the zone before it is believed cut off:
/// one query sends a request to many targets at once, so fewer prove nothing.
const LEAST_UNANSWERED: u32 = 4;
/// And the time since the first of them: twice the pause of a target.
const LEAST_SILENCE: Duration = Duration::from_millis(320);

/// What is known of the way to one zone's targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneReach {
    unanswered: u32,
    since: Option<Duration>,
}

impl ZoneReach {
    /// A request was sent to a target of the zone.
    pub fn sent(&mut self, now: Duration) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.since.get_or_insert(now);
    }

    /// Something of the zone answered: a target, or another host there.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Nothing there is worth sending to.
    pub fn is_cut(&self, now: Duration) -> bool {
        let silent = |since| now.saturating_sub(since) >= LEAST_SILENCE;
        self.unanswered >= LEAST_UNANSWERED && self.since.is_some_and(silent)
    }
}
