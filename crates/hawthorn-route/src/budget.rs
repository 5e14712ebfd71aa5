//! Retry budget: limits the extra attempts at a service, hedges and retries together.
//!
//! Handles targets that slow down or fail together. Without a budget, hosts would respond to
//! slowness with more requests, and so keep the targets slow after the cause has gone. Each host
//! applies its own part of the fleet's budget without coordination: a share of its own requests,
//! and a part of the fleet's fixed allowance that is small enough for the sum over all hosts to
//! stay within it.

use std::time::Duration;

use crate::share;

/// Number of spans that a window is divided into. One more span is counted, so that the counted
/// time is never shorter than the window.
const SPAN_COUNT: usize = 10;

/// Limits of one service's budget on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra attempts per request of the window.
    pub share: f64,
    /// Extra attempts in a window without requests: this host's part of the fleet's allowance.
    pub allowance: f64,
}

/// Part of the configured share that is used. The rest is a margin for windows of hosts and
/// targets that do not end at the same moment.
const USED_SHARE: f64 = 0.8;
/// Part of the fleet's allowance that is used while no host restarts. The rest is a margin for
/// restarted hosts, which have lost their counts.
const USED_ALLOWANCE: f64 = 0.5;
/// Part of a shard's allowance that is reserved for gatherers, if only some hosts gather.
const GATHERERS_SHARE: f64 = 0.8;
/// Time within which a starting host discovers other hosts, if there are any. It has no part of
/// the allowance until then: two hundred hosts that each assume a fleet of eight would exceed
/// the allowance.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// The budget of each service for the whole fleet, as configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra attempts per request of the window.
    pub share: f64,
    /// Extra attempts beyond the share.
    pub allowance: f64,
}

/// The fleet as one host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Known live hosts, including this one. Hosts behind a partition are included, because
    /// they continue to spend.
    pub hosts: usize,
    /// Time since this host started.
    pub running: Duration,
    /// Known gatherers of the fleet.
    pub gatherers: usize,
    /// Time since this host became a gatherer; `None` if it is none.
    pub gathering: Option<Duration>,
    /// Whether other hosts are configured and none has been discovered yet.
    pub awaiting_peers: bool,
}

/// Which hosts send requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceUse {
    /// Every host, for its own callers.
    Single,
    /// Gatherers, and other hosts only if delegation failed.
    Shard,
}

/// One host's part of the fleet's budget, computed without coordination.
///
/// Targets may fail while many hosts are killed and restarted. A restarted host has lost its
/// counts, knows few other hosts, and would take too large a part. Its part of the allowance
/// therefore grows linearly with its uptime, up to the full part after one window, so that its
/// spending before and after the restart never exceeds that of one window.
///
/// Targets may also be slow while a few of two hundred hosts gather the queries of all. With
/// equal parts, each gatherer would have a single extra attempt, and the other hosts would not
/// use theirs. Gatherers therefore share most of a shard's allowance. The part of a new gatherer
/// grows like that of a restarted host.
pub fn host_share(fleet: &FleetBudget, view: &FleetView, service: ServiceUse) -> Options {
    let (part, sharers) = if view.gatherers < view.hosts {
        (GATHERERS_SHARE, view.gatherers)
    } else {
        (1.0, view.hosts)
    };
    let discovering = view.awaiting_peers && view.running < DISCOVERY_TIME;
    let running = if discovering { Duration::ZERO } else { view.running };
    let (part, sharers, since) = match (service, view.gathering) {
        (ServiceUse::Shard, Some(gathering)) => (part, sharers, running.min(gathering)),
        (ServiceUse::Shard, None) => (1.0 - GATHERERS_SHARE, view.hosts, running),
        (ServiceUse::Single, _) => (1.0, view.hosts, running),
    };
    let ramp_up = (since.as_secs_f64() / fleet.window.as_secs_f64().max(0.001)).min(1.0);
    let allowance =
        fleet.allowance * USED_ALLOWANCE * part * ramp_up / share::effective_hosts(sharers) as f64;
    Options { window: fleet.window, share: fleet.share * USED_SHARE, allowance }
}

#[derive(Clone, Copy, Debug, Default)]
struct SpanCounts {
    requests: u32,
    extra_attempts: u32,
}

/// The budget of one service on one host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    spans: [SpanCounts; SPAN_COUNT + 1],
    /// Number of the newest span since time zero.
    newest: u64,
    /// Length of the spans; zero before the first use.
    span_length: Duration,
}

/// Length of the spans of a window.
fn span_length(options: &Options) -> Duration {
    (options.window / SPAN_COUNT as u32).max(Duration::from_millis(1))
}

/// Number of the span that contains `at`, since time zero.
fn span_number(at: Duration, options: &Options) -> u64 {
    (at.as_nanos() / span_length(options).as_nanos()) as u64
}

impl Default for RetryBudget {
    fn default() -> Self {
        let spans = [SpanCounts::default(); SPAN_COUNT + 1];
        Self { spans, newest: 0, span_length: Duration::ZERO }
    }
}

impl RetryBudget {
    fn advance(&mut self, now: Duration, options: &Options) {
        let current = span_number(now, options);
        if self.span_length != span_length(options) {
            self.renumber(current, options);
        }
        let passed = current.saturating_sub(self.newest).min(self.spans.len() as u64);
        for step in 1..=passed {
            let index = (current - (passed - step)) as usize % self.spans.len();
            self.spans[index] = SpanCounts::default();
        }
        self.newest = self.newest.max(current);
    }

    /// Moves all counts to the current span, as the spans of another window have other numbers.
    fn renumber(&mut self, current: u64, options: &Options) {
        let counts =
            SpanCounts { requests: self.requests(), extra_attempts: self.extra_attempts() };
        self.spans = [SpanCounts::default(); SPAN_COUNT + 1];
        self.spans[current as usize % self.spans.len()] = counts;
        self.newest = current;
        self.span_length = span_length(options);
    }

    fn requests(&self) -> u32 {
        self.spans.iter().map(|span| span.requests).sum()
    }

    fn extra_attempts(&self) -> u32 {
        self.spans.iter().map(|span| span.extra_attempts).sum()
    }

    /// Records a caller's request for the service.
    pub fn earn(&mut self, now: Duration, options: &Options) {
        self.advance(now, options);
        let index = self.newest as usize % self.spans.len();
        self.spans[index].requests += 1;
    }

    /// Takes one extra attempt from the budget; returns false if none is left.
    pub fn spend(&mut self, now: Duration, options: &Options) -> bool {
        self.advance(now, options);
        if self.remaining(options) < 1.0 {
            return false;
        }
        let index = self.newest as usize % self.spans.len();
        self.spans[index].extra_attempts += 1;
        true
    }

    /// Returns the extra attempt that was taken at `spent` and not sent, if it still counts.
    pub fn refund(&mut self, spent: Duration, now: Duration, options: &Options) {
        self.advance(now, options);
        let number = span_number(spent, options);
        if number + self.spans.len() as u64 > self.newest {
            let index = number as usize % self.spans.len();
            self.spans[index].extra_attempts = self.spans[index].extra_attempts.saturating_sub(1);
        }
    }

    /// Whether the window has neither requests nor extra attempts.
    pub fn is_unused(&mut self, now: Duration, options: &Options) -> bool {
        self.advance(now, options);
        self.requests() == 0 && self.extra_attempts() == 0
    }

    fn remaining(&self, options: &Options) -> f64 {
        let earned = options.share * f64::from(self.requests());
        options.allowance + earned - f64::from(self.extra_attempts())
    }

    /// Remaining part of the window's budget, 0 to 1.
    pub fn fullness(&self, options: &Options) -> f64 {
        let total = options.allowance + options.share * f64::from(self.requests());
        if total <= 0.0 { 0.0 } else { (self.remaining(options) / total).clamp(0.0, 1.0) }
    }
}
