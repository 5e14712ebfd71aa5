//! Whether a query over many shards is admitted.
//!
//! The load it is for: callers ask for more than the targets can do. The harm
//! it prevents: every shard's queue grows, each query gets some of its parts
//! and none of them in time, and the targets work for answers that nobody is
//! glad of: once a service is over its capacity, hardly any query is in time.
//! The door closes before the queues are long, and what is admitted is whole
//! and in time; what is not is refused before anything is sent. How long the
//! queues are is told by every answer.

use std::time::Duration;

use hawthorn_plan::window;
use hawthorn_plan::window::CallerWindow;
use hawthorn_plan::window::QueryFeedback;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Limits of the door.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Queries are refused here at all.
    pub on: bool,
    /// Queries that may be in flight at once after the start. Calm hosts have one
    /// to three.
    pub first_window: f64,
    /// And however long queues stand.
    pub least_window: f64,
    /// A queue stands when work waits for this share of the query's aim at the
    /// slowest shard that the query needs: with the work itself and a second
    /// attempt the aim is then used up.
    pub standing_share: f64,
    /// The less urgent are admitted to this share of the window while they fare
    /// no worse than `fair_share` of the urgent, and to all of it else: in
    /// scarcity the urgent come first, and the others still come.
    pub ordinary_share: f64,
    /// Share of the urgent ones' admitted part that the others are to have.
    pub fair_share: f64,
    /// A query says that it was turned away when so large a share of its shards was.
    pub turned_away_share: f64,
    /// Queues that a query told of are believed to stand for so long: a full one of
    /// a dozen requests on two slots is worked off in it.
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
    /// Of the window of queries that are in flight at once.
    fn window(&self) -> window::Options {
        let (initial, min) = (self.first_window, self.least_window);
        window::Options { initial, min, ..window::Options::default() }
    }
}

/// What a query that ended tells of the load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryLoad {
    /// For each shard that told, or was known, how long work waits there.
    pub waits: Vec<Duration>,
    /// Parts that targets turned away for being full.
    pub rejected: usize,
    /// Shards of the query.
    pub shards: usize,
    /// Shards that its answer may do without.
    pub max_missing: usize,
    /// It ended without an answer, as too few parts could come.
    pub failed: bool,
}

impl QueryLoad {
    /// The wait that decides: that of the slowest shard which the answer cannot
    /// do without. The mean would not show the few shards that have lost a
    /// target and hold up every query.
    pub fn decisive_wait(&self) -> Duration {
        let mut waits = self.waits.clone();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        waits.get(self.max_missing).copied().unwrap_or_default()
    }
}

/// Queries of one urgency lately, earlier ones counting less.
#[derive(Clone, Copy, Debug, Default)]
struct UrgencyCount {
    asked: f64,
    admitted: f64,
}

/// What a count keeps with each query of any urgency: the last hundred count most.
const COUNT_FACTOR: f64 = 0.99;

impl UrgencyCount {
    fn fade(&mut self) {
        self.asked *= COUNT_FACTOR;
        self.admitted *= COUNT_FACTOR;
    }

    fn share(&self) -> f64 {
        if self.asked > 0.0 { self.admitted / self.asked } else { 1.0 }
    }
}

/// The door of one host, for all its queries over shards.
#[derive(Clone, Debug, Default)]
pub struct QueryAdmission {
    window: CallerWindow,
    open: u32,
    /// When the places of queries that failed are given back.
    owed: Vec<Duration>,
    crowded_until: Duration,
    urgent: UrgencyCount,
    ordinary: UrgencyCount,
}

impl QueryAdmission {
    /// Admits a query, or not; [`QueryAdmission::finish`] has to follow once it is.
    pub fn admit(&mut self, now: Duration, urgent: bool, options: &Options) -> bool {
        self.give_back(now);
        self.urgent.fade();
        self.ordinary.fade();
        let behind = self.ordinary.share() < self.urgent.share() * options.fair_share;
        let size = self.window.size(&options.window());
        let limit = if urgent || behind { size } else { size * options.ordinary_share };
        let admitted = !options.on || f64::from(self.open) < limit;
        let count = if urgent { &mut self.urgent } else { &mut self.ordinary };
        count.asked += 1.0;
        if admitted {
            count.admitted += 1.0;
            self.open += 1;
        }
        admitted
    }

    /// A query ended; `load` is `None` where it says nothing, as its caller left.
    pub fn finish(
        &mut self,
        now: Duration,
        took: Duration,
        aim: Duration,
        load: Option<&QueryLoad>,
        options: &Options,
    ) {
        if let Some(load) = load {
            let standing_wait = aim.mul_f64(options.standing_share);
            let away = load.rejected as f64 / load.shards.max(1) as f64;
            let turned_away = away >= options.turned_away_share;
            let end = QueryFeedback {
                queue_wait: load.decisive_wait(),
                rejected: turned_away,
                elapsed: took,
            };
            let window = window::Options { standing_wait, ..options.window() };
            self.window.update(now, self.open, &end, &window);
            if turned_away || end.queue_wait > standing_wait {
                self.crowded_until = now + options.crowded_time;
            }
            // Failure: targets are full, each query fails within a few milliseconds as
            // they turn too many of its parts away, and its place is the next one's at
            // once. Its other parts lie in the queues, work for nobody, and keep them
            // full: a window of two queries lets hundreds a second through, and none is
            // answered. The place is free when the aim has passed, as if it had waited.
            // Queries in time a second, 20 shards with one target each, asked for
            // twice what is left, 267: 1 without this, 134 with it (tests/goodput).
            if load.failed && took < aim {
                self.owed.push(now + (aim - took));
                return;
            }
        }
        self.open = self.open.saturating_sub(1);
    }

    fn give_back(&mut self, now: Duration) {
        let before = self.owed.len();
        self.owed.retain(|until| *until > now);
        self.open = self.open.saturating_sub((before - self.owed.len()) as u32);
    }

    /// Queues stand at more shards than an answer may do without. While they do not,
    /// a part that is late costs the targets nothing that others need.
    pub fn is_overloaded(&self, now: Duration) -> bool {
        now < self.crowded_until
    }

    /// Queries in flight, and how many may be.
    pub fn state(&self, options: &Options) -> (u32, f64) {
        (self.open, self.window.size(&options.window()))
    }
}
