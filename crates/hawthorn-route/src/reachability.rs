//! Detects zones whose targets are unreachable from this host.
//!
//! Handles a network partition that isolates a zone while callers still reach hosts on both
//! sides. Without detection, every request would wait until its deadline for targets that cannot
//! answer, instead of being refused at once so that the caller can use another host. A zone
//! counts as unreachable only after several consecutive requests, to any of its targets,
//! remained unanswered for longer than one target's pause.

use std::time::Duration;

use serde::Deserialize;

/// Minimum number of consecutive unanswered requests: a query sends requests to several targets
/// at once, so that fewer are no evidence.
const MIN_UNANSWERED: u32 = 6;
/// Minimum time since the first unanswered request until the zone is unreachable: longer than a
/// target's pause.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(200);
/// The same minimum as a multiple of the request's typical latency.
const UNREACHABLE_FACTOR: u32 = 4;
/// Minimum time since the first unanswered request until the zone is suspected: several typical
/// latencies, and about half of the delay until it is unreachable.
const SUSPECT_DELAY: Duration = Duration::from_millis(80);
/// The same minimum as a multiple of the request's typical latency.
const SUSPECT_FACTOR: u32 = 2;

/// Settings of the readiness that a host reports to the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether a host reports that it is not ready while zones that its callers need are
    /// unreachable.
    pub step_aside: bool,
    /// Whether it does so while these zones are only suspected. The balancer acts on the second
    /// failed probe.
    pub while_in_doubt: bool,
    /// Whether the hosts of a zone share what they find unreachable, and are ready or not
    /// together.
    pub shared: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { step_aside: true, while_in_doubt: true, shared: true }
    }
}

/// When a request was recorded at a zone, relative to its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentMark {
    /// Number of the zone's answers before the request.
    answers: u32,
}

/// Reachability of one zone's targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneReachability {
    unanswered: u32,
    /// Number of answers since the start.
    answers: u32,
    /// When the first of them was sent.
    first: Option<Duration>,
    /// When the zone becomes suspected, and when it becomes unreachable, unless something
    /// answers.
    thresholds: Option<(Duration, Duration)>,
    last_answer: Option<Duration>,
}

impl ZoneReachability {
    /// Records that a request with a typical latency of `typical` was sent to a target of the
    /// zone.
    pub fn sent(&mut self, now: Duration, typical: Duration) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.first.get_or_insert(now);
        let suspected = now + SUSPECT_DELAY.max(typical * SUSPECT_FACTOR);
        let unreachable = now + UNREACHABLE_DELAY.max(typical * UNREACHABLE_FACTOR);
        self.thresholds.get_or_insert((suspected, unreachable));
    }

    /// Identifies the requests that were recorded since the last answer.
    pub fn mark(&self) -> SentMark {
        SentMark { answers: self.answers }
    }

    /// Takes back a request that was recorded at `mark` and ended before anything was sent. The other
    /// requests keep the thresholds.
    pub fn withdraw(&mut self, mark: SentMark) {
        // An answer since then has already removed the request from the count.
        if mark.answers != self.answers || self.unanswered == 0 {
            return;
        }
        self.unanswered -= 1;
        if self.unanswered == 0 {
            self.first = None;
            self.thresholds = None;
        }
    }

    /// Records an answer from the zone, by a target or another host there.
    pub fn answered(&mut self, now: Duration) {
        let answers = self.answers.wrapping_add(1);
        *self = Self { answers, last_answer: Some(now), ..Self::default() };
    }

    /// The time of the last answer.
    pub fn last_answer(&self) -> Option<Duration> {
        self.last_answer
    }

    /// The number of requests since the last answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// If the zone is suspected, when the first of these requests was sent, and when they had
    /// remained unanswered for long enough.
    pub fn suspicion(&self, now: Duration) -> Option<(Duration, Duration)> {
        let (suspected, _) = self.thresholds.filter(|_| self.is_suspected(now))?;
        Some((self.first?, suspected))
    }

    /// Whether the zone is unreachable, so that no requests are sent there.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.unanswered >= MIN_UNANSWERED
            && self.thresholds.is_some_and(|(_, unreachable)| now >= unreachable)
    }

    /// Whether the zone may be unreachable. Requests are still sent there, but the zone is
    /// probed, and readiness may be affected, as the balancer needs two failed probes.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.unanswered >= MIN_UNANSWERED
            && self.thresholds.is_some_and(|(suspected, _)| now >= suspected)
    }
}

/// Whether this host should fail its readiness probe so that the load balancer sends its
/// callers to hosts of other zones.
///
/// Handles a partition that isolates a zone while callers reach hosts on both sides, and many of
/// their requests have targets only on the other side. These would be refused for as long as the
/// partition lasts, although hosts of the larger side could serve them. Both sides detect the
/// partition; only the smaller one fails its probe, as otherwise no host would be ready.
pub fn should_fail_readiness(zones: usize, unreachable: usize, unanswerable_share: f64) -> bool {
    let reachable = zones.saturating_sub(unreachable);
    unreachable > reachable && unanswerable_share >= MIN_UNANSWERABLE_SHARE
}

/// Minimum share of callers' requests that cannot be answered from here. Moving costs each
/// caller a new connection and the latency to another zone, about as much as retrying one
/// request in five.
const MIN_UNANSWERABLE_SHARE: f64 = 0.2;
