//! Admits or refuses a whole query before anything of it is sent.
//!
//! A query that cannot be answered in time costs 270 shard requests for
//! nothing; refused here it costs none, and `not run` is true by construction.

use std::time::Duration;

use hawthorn_types::CallerKey;
use hawthorn_types::RefusalReason;
use strum::Display;
use strum::IntoStaticStr;

use crate::load::FrontLoad;
use crate::window;

/// Bounds of one front.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Queries in flight at most. Bounds memory (a query of 270 pieces holds
    /// tens of kilobytes until it is merged) and the work a stop waits for.
    pub max_in_flight: u32,
    /// Places kept for a caller that has not asked of late, as a divisor of
    /// `max_in_flight`, so that its first query finds room.
    pub newcomer_divisor: u32,
    /// How long after its last query a caller counts as present.
    pub presence_window: Duration,
    /// Part of the time left that must remain after the expected wait.
    pub search_time: Duration,
    /// A report of an owner's wait older than this says nothing.
    pub report_ttl: Duration,
    /// Shortest advice on when to ask again.
    pub min_retry_after: Duration,
    /// Longest advice on when to ask again.
    pub max_retry_after: Duration,
    /// Of each caller's window.
    pub window: window::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_in_flight: 512,
            newcomer_divisor: 16,
            presence_window: Duration::from_secs(1),
            search_time: Duration::from_millis(5),
            report_ttl: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(20),
            max_retry_after: Duration::from_secs(5),
            window: window::Options::default(),
        }
    }
}

/// Where the front is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FrontStage {
    /// Started, and knows no configuration yet.
    Unconfigured,
    /// Takes queries.
    Serving,
    /// Finishes what it has.
    Stopping,
}

/// A query at the door.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Who asks.
    pub caller: CallerKey,
    /// Now.
    pub now: Duration,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// The longest wait among the owners concerned, from [`expected_wait`].
    pub expected_wait: Duration,
    /// Where the front is in its life.
    pub stage: FrontStage,
    /// Any random number; spreads the moments at which refused callers return.
    pub random: u64,
}

/// What becomes of the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Taken; [`FrontLoad::record_completion`] has to follow once.
    Admitted,
    /// Not run, and nothing of it was sent.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When asking again is worth it; `None` when the same query would be refused again.
        retry_after: Option<Duration>,
    },
}

/// What an owner said of its queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitReport {
    /// How long a new piece would wait there.
    pub wait: Duration,
    /// When it said so.
    pub reported_at: Duration,
}

/// The longest wait among `reports` that are recent enough to mean something.
///
/// Load: an owner reports a long queue, every front turns its queries away,
/// and because reports ride on answers no newer report follows. The harm is a
/// front that refuses for ever over an empty queue. A report therefore
/// lapses after `report_ttl`, and the next queries go out and learn the truth.
pub fn expected_wait(
    reports: impl IntoIterator<Item = WaitReport>,
    now: Duration,
    options: &Options,
) -> Duration {
    reports
        .into_iter()
        .filter(|report| now.saturating_sub(report.reported_at) <= options.report_ttl)
        .map(|report| report.wait)
        .max()
        .unwrap_or(Duration::ZERO)
}

/// Admits or refuses the whole query and notes it in `load`.
pub fn admit(load: &mut FrontLoad, ask: &AdmissionRequest, options: &Options) -> Outcome {
    if let Some(reason) = refusal_by_stage(ask.stage) {
        return refused(reason, Some(options.min_retry_after), ask, options);
    }
    load.record_request(ask.caller, ask.now);
    let remaining = ask.deadline.saturating_sub(ask.now);
    if remaining.is_zero() {
        return refused(RefusalReason::DeadlinePast, None, ask, options);
    }
    if let Some(excess) = wait_beyond(ask.expected_wait, remaining, options) {
        return refused(RefusalReason::WaitBeyondDeadline, Some(excess), ask, options);
    }
    if let Some(reason) = refusal_by_load(load, ask, options) {
        return refused(reason, Some(load.query_time()), ask, options);
    }
    load.record_admission(ask.caller);
    Outcome::Admitted
}

fn refusal_by_stage(stage: FrontStage) -> Option<RefusalReason> {
    match stage {
        FrontStage::Unconfigured => Some(RefusalReason::NoConfiguration),
        FrontStage::Stopping => Some(RefusalReason::Stopping),
        FrontStage::Serving => None,
    }
}

/// By how much the expected wait is too long, if it is.
///
/// Load: queues at owners longer than callers wait. The harm is a target that
/// works on answers nobody reads. The slowest owner decides, because the
/// answer is complete only with it; `search_time` is what the search itself
/// needs after the wait.
fn wait_beyond(wait: Duration, remaining: Duration, options: &Options) -> Option<Duration> {
    let needed = wait.saturating_add(options.search_time);
    let excess = needed.saturating_sub(remaining);
    (!excess.is_zero()).then_some(excess)
}

/// Refuses by the bounds of the front.
///
/// Load: one member firm floods while others ask now and then. The harm is a
/// front that is full of the flood, so that others are refused or served
/// after it. A caller within its share needs only a free place. Beyond its
/// share it may use what is free, less the unused shares of the others present
/// and a few places for one who has not asked of late. Idle capacity is thus
/// used, and a flood never costs another caller its share for longer than the
/// queries already in flight take.
fn refusal_by_load(
    load: &FrontLoad,
    ask: &AdmissionRequest,
    options: &Options,
) -> Option<RefusalReason> {
    let free = options.max_in_flight.saturating_sub(load.in_flight());
    if free == 0 {
        return Some(RefusalReason::QueueFull);
    }
    let present = load.present(ask.now, options.presence_window).max(1);
    if !load.window_allows(ask.caller, &options.window) {
        let alone = present == 1;
        return Some(if alone { RefusalReason::QueueFull } else { RefusalReason::CallerOverShare });
    }
    let share = (options.max_in_flight / present).max(1);
    if load.caller_in_flight(ask.caller) < share && present > 1 {
        return None;
    }
    let unused = load.unused_shares(ask.caller, share, ask.now, options.presence_window);
    let newcomers = options.max_in_flight / options.newcomer_divisor.max(1);
    if free > unused.saturating_add(newcomers) {
        return None;
    }
    Some(RefusalReason::CallerOverShare)
}

fn refused(
    reason: RefusalReason,
    wait: Option<Duration>,
    ask: &AdmissionRequest,
    options: &Options,
) -> Outcome {
    let retry_after = wait.map(|wait| spread(wait, ask.random, options));
    Outcome::Refused { reason, retry_after }
}

/// Between once and twice `wait`, within the limits.
///
/// Load: a burst refused in one moment. If all were told the same moment they
/// would return as the same burst.
fn spread(wait: Duration, random: u64, options: &Options) -> Duration {
    let least = wait.clamp(options.min_retry_after, options.max_retry_after);
    let part = (random >> 32) as f64 / f64::from(u32::MAX);
    least.mul_f64(1.0 + part).min(options.max_retry_after)
}
