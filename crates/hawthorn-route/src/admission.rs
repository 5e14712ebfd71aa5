//! Admission control for scatter-gather queries.
//!
//! Handles callers that send more queries than the targets can execute. Without admission control
//! all shards would have queues, each query would receive only some of its parts before its soft
//! deadline, and the targets would execute requests whose answers are too late: beyond the
//! capacity of one service, hardly any query would be answered in time. Queries are rejected
//! before the queues are long and before any request is sent, so that admitted ones are answered
//! completely and in time. Queue lengths are known from the load that responses report.

use std::time::Duration;

use hawthorn_plan::window;
use hawthorn_plan::window::CallerWindow;
use hawthorn_plan::window::QueryFeedback;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Settings of admission control.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether queries are rejected.
    pub on: bool,
    /// Initial window: the number of queries that may be in flight. Hosts without overload have
    /// one to three.
    pub first_window: f64,
    /// Minimum window, however long the queues are.
    pub least_window: f64,
    /// A query is delayed by a standing queue if the slowest shard that it needs has a queueing
    /// delay above this share of the target latency. The service time and a hedge need the
    /// remaining time.
    pub standing_share: f64,
    /// Share of the window that is available to less urgent queries while their admission rate
    /// is at least `fair_share` of the urgent ones' rate. Below it they may use the full window.
    /// Urgent queries thus take precedence under overload without starving the others.
    pub ordinary_share: f64,
    /// Minimum admission rate of less urgent queries, as a share of the urgent ones' rate.
    pub fair_share: f64,
    /// A query counts as rejected by the targets if at least this share of its shards was.
    pub turned_away_share: f64,
    /// How long queues are assumed to last after a query reported them: a full queue of a dozen
    /// requests on two slots drains in this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "crowded_ms")]
    pub crowded_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            on: true,
            first_window: 12.0,
            least_window: 2.0,
            standing_share: 0.33,
            ordinary_share: 0.8,
            fair_share: 0.85,
            turned_away_share: 0.25,
            crowded_time: Duration::from_millis(150),
        }
    }
}

impl Options {
    /// Settings of the window.
    fn window(&self) -> window::Options {
        let (initial, min) = (self.first_window, self.least_window);
        window::Options { initial, min, ..window::Options::default() }
    }
}

/// The load that an ended query observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryLoad {
    /// Queueing delay of each shard that reported one, or whose delay was known.
    pub waits: Vec<Duration>,
    /// Parts that targets rejected because they were overloaded.
    pub rejected: usize,
    /// Shards of the query.
    pub shards: usize,
    /// Maximum number of shards that may be missing from the answer.
    pub max_missing: usize,
    /// Whether the query failed because too few parts could arrive.
    pub failed: bool,
}

impl QueryLoad {
    /// The queueing delay that determines the query's latency: that of the slowest shard that
    /// the answer needs. The mean would hide the few shards that lost a target and delay every
    /// query.
    pub fn decisive_wait(&self) -> Duration {
        let mut waits = self.waits.clone();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        waits.get(self.max_missing).copied().unwrap_or_default()
    }
}

/// Exponentially decaying counts of the queries of one urgency class.
#[derive(Clone, Copy, Debug, Default)]
struct AdmissionCount {
    requested: f64,
    admitted: f64,
}

/// Decay per query of any class; the last hundred queries dominate the counts.
const DECAY_FACTOR: f64 = 0.99;

impl AdmissionCount {
    fn decay(&mut self) {
        self.requested *= DECAY_FACTOR;
        self.admitted *= DECAY_FACTOR;
    }

    fn admission_rate(&self) -> f64 {
        if self.requested > 0.0 { self.admitted / self.requested } else { 1.0 }
    }
}

/// Admission control of one host, for all its scatter-gather queries.
#[derive(Clone, Debug, Default)]
pub struct QueryAdmission {
    window: CallerWindow,
    in_flight: u32,
    /// When the slots of failed queries are released.
    delayed_releases: Vec<Duration>,
    overloaded_until: Duration,
    urgent: AdmissionCount,
    ordinary: AdmissionCount,
}

impl QueryAdmission {
    /// Decides whether a query is admitted. [`QueryAdmission::finish`] must follow if it is.
    pub fn admit(&mut self, now: Duration, urgent: bool, options: &Options) -> bool {
        self.release_due(now);
        self.urgent.decay();
        self.ordinary.decay();
        let is_behind =
            self.ordinary.admission_rate() < self.urgent.admission_rate() * options.fair_share;
        let size = self.window.size(&options.window());
        let limit = if urgent || is_behind { size } else { size * options.ordinary_share };
        let admitted = !options.on || f64::from(self.in_flight) < limit;
        let count = if urgent { &mut self.urgent } else { &mut self.ordinary };
        count.requested += 1.0;
        if admitted {
            count.admitted += 1.0;
            self.in_flight += 1;
        }
        admitted
    }

    /// Whether the window has room for a query that waits its turn in the dispatcher.
    pub fn has_room(&mut self, now: Duration, urgent: bool, options: &Options) -> bool {
        self.release_due(now);
        let size = self.window.size(&options.window());
        let limit = if urgent { size } else { size * options.ordinary_share };
        !options.on || f64::from(self.in_flight) < limit
    }

    /// Admits a query for which there is room. [`QueryAdmission::finish`] must follow.
    pub fn admit_ordered(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a query. `load` is `None` if its caller disconnected before any load
    /// was observed.
    pub fn finish(
        &mut self,
        now: Duration,
        elapsed: Duration,
        target_latency: Duration,
        load: Option<&QueryLoad>,
        options: &Options,
    ) {
        if let Some(load) = load {
            let standing_wait = target_latency.mul_f64(options.standing_share);
            let rejected_share = load.rejected as f64 / load.shards.max(1) as f64;
            let rejected = rejected_share >= options.turned_away_share;
            let feedback = QueryFeedback { queue_wait: load.decisive_wait(), rejected, elapsed };
            let window = window::Options { standing_wait, ..options.window() };
            self.window.update(now, self.in_flight, &feedback, &window);
            if rejected || feedback.queue_wait > standing_wait {
                self.overloaded_until = now + options.crowded_time;
            }
            // When targets are full, each query fails within a few milliseconds because too many
            // of its parts are rejected. If its slot were released at once, even a window of two
            // queries would admit hundreds per second, whose other parts fill the queues although
            // no query is answered. The slot is therefore released when the target latency has
            // passed, as if the query had waited; see tests/goodput.
            if load.failed && elapsed < target_latency {
                self.delayed_releases.push(now + (target_latency - elapsed));
                return;
            }
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn release_due(&mut self, now: Duration) {
        let before = self.delayed_releases.len();
        self.delayed_releases.retain(|until| *until > now);
        self.in_flight =
            self.in_flight.saturating_sub((before - self.delayed_releases.len()) as u32);
    }

    /// Whether more shards have standing queues than may be missing from an answer. Otherwise
    /// a late part uses capacity that no other query needs.
    pub fn is_overloaded(&self, now: Duration) -> bool {
        now < self.overloaded_until
    }

    /// The number of queries in flight, and the window.
    pub fn state(&self, options: &Options) -> (u32, f64) {
        (self.in_flight, self.window.size(&options.window()))
    }
}
