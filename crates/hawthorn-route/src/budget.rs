//! How many extra attempts a service may be sent: hedges and retries together.
//!
//! The load it is for: targets that slow down or fail together. The harm it
//! prevents: a tier that answers slowness with more requests, and so keeps the
//! targets slow after the cause has gone. Every daemon holds its own part and
//! asks nobody: a share of its own requests, and a part of the fixed allowance
//! that is small enough for all daemons together.

use std::time::Duration;

/// Counts are kept for spans of a tenth of the window, so that the window that
/// slides is never longer than the one that counts.
const SPAN_COUNT: usize = 10;

/// Limits of one service's budget on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Length of the window that slides.
    pub window: Duration,
    /// Extra attempts for each request of the window.
    pub share: f64,
    /// Extra attempts in a window without requests: this host's part of what all may have.
    pub allowance: f64,
}

/// Part of the share of extra attempts that is used: windows of hosts and of
/// targets do not end at the same moment.
const USED_SHARE: f64 = 0.8;
/// Part of the common allowance that is used while all hosts keep running. The
/// rest is for those that start again: they have forgotten what they spent.
const USED_ALLOWANCE: f64 = 0.5;
/// Part of a shard's allowance that the hosts that gather have, where others do not.
const GATHERERS_SHARE: f64 = 0.8;
/// A host that starts hears of others within so long, or is alone. It has no part of the
/// allowance until then: two hundred that each took themselves for one of eight would
/// spend more than the whole.
const MEETING_TIME: Duration = Duration::from_secs(1);
/// Hosts reckoned with while fewer are known. Too few would let a fleet of this
/// size spend more than the common allowance.
const LEAST_HOSTS: usize = 8;

/// What operators allow all hosts together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Length of the window that slides.
    pub window: Duration,
    /// Extra attempts for each request of the window.
    pub share: f64,
    /// Extra attempts beyond the share.
    pub allowance: f64,
}

/// What a host knows of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Hosts that live, as far as it knows, itself too. One that is cut off goes on
    /// counting those it cannot reach, as they go on spending.
    pub hosts: usize,
    /// How long it has been running.
    pub running: Duration,
    /// Hosts of the fleet that gather queries over shards, as far as it knows.
    pub gatherers: usize,
    /// How long it has been one of them; `None` while it is not.
    pub gathering: Option<Duration>,
    /// It was told of others and has heard of none yet.
    pub awaiting_peers: bool,
}

/// Who sends requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceUse {
    /// Every host, for its callers.
    Single,
    /// Hosts that gather, and others only where gathering failed.
    Shard,
}

/// The hosts reckoned with where something is shared by all of them.
pub fn effective_hosts(hosts: usize) -> usize {
    hosts.max(LEAST_HOSTS)
}

/// One host's part of the whole, without asking the others.
///
/// Load: targets fail while many hosts are killed and start again. Each has
/// forgotten what it spent, knows hardly anybody yet, and takes a larger part
/// than it has. So its part of the allowance grows with the time that it has been
/// running, to the whole of it after a window: what it may spend and what it may
/// have spent before are then never more than a window's.
///
/// Load: a few of two hundred hosts gather the queries of all, and targets of their
/// shards are slow. An equal part of each host's would be one attempt for those that
/// need it, and be left unused by the others. So the hosts that gather share most of a
/// shard's allowance; the part of one that takes over grows like that of one that starts.
pub fn host_share(whole: &FleetBudget, view: &FleetView, service: ServiceUse) -> Options {
    let (share, sharers) = if view.gatherers < view.hosts {
        (GATHERERS_SHARE, view.gatherers)
    } else {
        (1.0, view.hosts)
    };
    let meets = view.awaiting_peers && view.running < MEETING_TIME;
    let running = if meets { Duration::ZERO } else { view.running };
    let (share, sharers, since) = match (service, view.gathering) {
        (ServiceUse::Shard, Some(gathering)) => (share, sharers, running.min(gathering)),
        (ServiceUse::Shard, None) => (1.0 - GATHERERS_SHARE, view.hosts, running),
        (ServiceUse::Single, _) => (1.0, view.hosts, running),
    };
    let grown = (since.as_secs_f64() / whole.window.as_secs_f64().max(0.001)).min(1.0);
    let allowance =
        whole.allowance * USED_ALLOWANCE * share * grown / effective_hosts(sharers) as f64;
    Options { window: whole.window, share: whole.share * USED_SHARE, allowance }
}

#[derive(Clone, Copy, Debug, Default)]
struct SpanCounts {
    requests: u32,
    extras: u32,
}

/// The budget of one service on one host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    spans: [SpanCounts; SPAN_COUNT + 1],
    /// Number of the newest span since the beginning of time.
    newest: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { spans: [SpanCounts::default(); SPAN_COUNT + 1], newest: 0 }
    }
}

impl RetryBudget {
    fn advance(&mut self, now: Duration, options: &Options) {
        let length = (options.window / SPAN_COUNT as u32).max(Duration::from_millis(1));
        let current = (now.as_nanos() / length.as_nanos()) as u64;
        let passed = current.saturating_sub(self.newest).min(self.spans.len() as u64);
        for step in 1..=passed {
            let index = (current - (passed - step)) as usize % self.spans.len();
            self.spans[index] = SpanCounts::default();
        }
        self.newest = self.newest.max(current);
    }

    /// A caller's request for the service came.
    pub fn earn(&mut self, now: Duration, options: &Options) {
        self.advance(now, options);
        let index = self.newest as usize % self.spans.len();
        self.spans[index].requests += 1;
    }

    /// Takes one extra attempt; false when none is left.
    pub fn spend(&mut self, now: Duration, options: &Options) -> bool {
        self.advance(now, options);
        if self.left(options) < 1.0 {
            return false;
        }
        let index = self.newest as usize % self.spans.len();
        self.spans[index].extras += 1;
        true
    }

    fn left(&self, options: &Options) -> f64 {
        let requests: u32 = self.spans.iter().map(|span| span.requests).sum();
        let extras: u32 = self.spans.iter().map(|span| span.extras).sum();
        options.allowance + options.share * f64::from(requests) - f64::from(extras)
    }

    /// How much of the window's budget is left, 0 to 1.
    pub fn fullness(&self, options: &Options) -> f64 {
        let requests: u32 = self.spans.iter().map(|span| span.requests).sum();
        let whole = options.allowance + options.share * f64::from(requests);
        if whole <= 0.0 { 0.0 } else { (self.left(options) / whole).clamp(0.0, 1.0) }
    }
}
