//! Whether a zone's targets can be reached from this host.
//!
//! The load it is for: a zone that is cut off while callers still reach hosts
//! on both sides. The harm it prevents: every request waits out its time for
//! targets that cannot answer, on a host that could have said at once that
//! another one should be asked. A zone is believed cut off only when several
//! requests in a row, sent to any of its targets, brought nothing for longer
//! than a pause of one target lasts.

use std::time::Duration;

use serde::Deserialize;

/// Requests without any answer from the zone before it is believed cut off:
/// one query sends a request to several targets at once, so fewer prove nothing.
const LEAST_UNANSWERED: u32 = 6;
/// And the time since the first of them, at least: longer than a target pauses.
const LEAST_SILENCE: Duration = Duration::from_millis(200);
/// And so many usual times of such a request.
const USUAL_TIMES: u32 = 4;
/// After so long the zone is doubted: several usual times, and half of what it
/// takes to believe it cut off.
const DOUBT_SILENCE: Duration = Duration::from_millis(80);
/// And so many usual times.
const DOUBT_TIMES: u32 = 2;

/// What a host whose callers others serve better tells the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// It steps aside while zones that its callers need are cut off.
    pub step_aside: bool,
    /// And while they may be: a balancer believes it only the second time.
    pub while_in_doubt: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { step_aside: true, while_in_doubt: true }
    }
}

/// What is known of the way to one zone's targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneReachability {
    unanswered: u32,
    /// When nothing will have come for long enough to doubt the zone, and to
    /// believe it cut off.
    overdue: Option<(Duration, Duration)>,
}

impl ZoneReachability {
    /// A request that usually takes `usual` was sent to a target of the zone.
    pub fn sent(&mut self, now: Duration, usual: Duration) {
        self.unanswered = self.unanswered.saturating_add(1);
        let doubted = now + DOUBT_SILENCE.max(usual * DOUBT_TIMES);
        let cut = now + LEAST_SILENCE.max(usual * USUAL_TIMES);
        self.overdue.get_or_insert((doubted, cut));
    }

    /// Something of the zone answered: a target, or another host there.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Nothing there is worth sending to.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.unanswered >= LEAST_UNANSWERED && self.overdue.is_some_and(|(_, cut)| now >= cut)
    }

    /// It may be cut off: worth a try of the way there, and for a balancer that
    /// asks twice before it believes, worth being told of. Requests still go there.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.unanswered >= LEAST_UNANSWERED
            && self.overdue.is_some_and(|(doubted, _)| now >= doubted)
    }
}

/// Whether this host should leave callers to hosts of other zones.
///
/// The load it is for: a zone is cut off, callers reach hosts on both sides,
/// and a large part of what they ask for has targets only on the other side.
/// The harm it prevents: they are refused for as long as the cut lasts, while
/// hosts of the larger side would serve them. Both sides see a cut; only the
/// smaller one steps aside, or all would.
pub fn should_fail_readiness(zones: usize, cut: usize, unanswerable_share: f64) -> bool {
    let reachable = zones.saturating_sub(cut);
    cut > reachable && unanswerable_share >= LEAST_SHARE
}

/// Share of callers' requests that cannot be answered from here, at which they
/// are better off elsewhere: moving costs each of them a connection and the way
/// to another zone, about as much as one request in five that has to be made again.
const LEAST_SHARE: f64 = 0.2;
