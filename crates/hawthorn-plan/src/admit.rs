//! Admission control for queries, before any shard request is sent.
//!
//! A query that cannot be answered in time would waste up to 270 shard
//! requests. A query refused here costs none, and certainly did not run.

use std::time::Duration;

use hawthorn_types::CallerKey;
use hawthorn_types::RefusalReason;
use strum::Display;
use strum::IntoStaticStr;

use crate::load::FrontLoad;
use crate::window;

/// Admission limits of one front.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of queries in flight. Bounds memory (a query of 270 pieces
    /// holds tens of kilobytes until it is merged) and the work to finish on shutdown.
    pub max_in_flight: u32,
    /// Slots reserved for the first query of an inactive caller, as a divisor of
    /// `max_in_flight`.
    pub reserve_divisor: u32,
    /// How long after its last request a caller counts as active.
    pub activity_window: Duration,
    /// Time for the search itself that must remain after the expected wait.
    pub search_time: Duration,
    /// Owners' wait reports older than this are ignored.
    pub report_ttl: Duration,
    /// Lower bound of `retry_after`.
    pub min_retry_after: Duration,
    /// Upper bound of `retry_after`.
    pub max_retry_after: Duration,
    /// Limits of each caller's concurrency window.
    pub window: window::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_in_flight: 512,
            reserve_divisor: 16,
            activity_window: Duration::from_secs(1),
            search_time: Duration::from_millis(5),
            report_ttl: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(20),
            max_retry_after: Duration::from_secs(5),
            window: window::Options::default(),
        }
    }
}

/// Lifecycle stage of the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FrontStage {
    /// Started, without a configuration yet.
    Unconfigured,
    /// Accepts queries.
    Serving,
    /// Finishes queries in flight and accepts no new ones.
    Stopping,
}

/// A query to admit or refuse.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The caller.
    pub caller: CallerKey,
    /// The current time.
    pub now: Duration,
    /// When the caller stops waiting for the answer.
    pub deadline: Duration,
    /// The longest wait among the owners concerned, from [`expected_wait`].
    pub expected_wait: Duration,
    /// Lifecycle stage of the front.
    pub stage: FrontStage,
    /// A random number; adds jitter to `retry_after`.
    pub random: u64,
}

/// The decision on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Admitted; must be followed by exactly one [`FrontLoad::record_completion`].
    Admitted,
    /// Not run; no shard request was sent.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// When to retry; `None` when the same query would be refused again.
        retry_after: Option<Duration>,
    },
}

/// The queue wait that an owner reported.
#[derive(Clone, Copy, Debug)]
pub struct WaitReport {
    /// How long a new piece would wait in the queue.
    pub wait: Duration,
    /// When the owner reported it.
    pub reported_at: Duration,
}

/// The longest wait among the `reports` that have not expired.
///
/// Reports are piggybacked on answers: a front that refuses every query because
/// of a long queue receives no newer report and would refuse forever, even when
/// the queue is empty again. Reports therefore expire after `report_ttl`, and
/// the next queries return fresh ones.
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

/// Admits or refuses a query and records the decision in `load`.
pub fn admit(load: &mut FrontLoad, request: &AdmissionRequest, options: &Options) -> Outcome {
    if let Some(reason) = refusal_by_stage(request.stage) {
        return refused(reason, Some(options.min_retry_after), request, options);
    }
    load.record_request(request.caller, request.now);
    let remaining = request.deadline.saturating_sub(request.now);
    if remaining.is_zero() {
        return refused(RefusalReason::DeadlinePast, None, request, options);
    }
    if let Some(excess) = wait_excess(request.expected_wait, remaining, options) {
        return refused(RefusalReason::WaitBeyondDeadline, Some(excess), request, options);
    }
    if let Some(reason) = refusal_by_load(load, request, options) {
        return refused(reason, Some(load.query_time()), request, options);
    }
    load.record_admission(request.caller);
    Outcome::Admitted
}

fn refusal_by_stage(stage: FrontStage) -> Option<RefusalReason> {
    match stage {
        FrontStage::Unconfigured => Some(RefusalReason::NoConfiguration),
        FrontStage::Stopping => Some(RefusalReason::Stopping),
        FrontStage::Serving => None,
    }
}

/// By how much the expected wait exceeds the remaining time, if it does.
///
/// Sheds load when owners' queues are longer than callers wait, so that targets
/// do not work on answers that arrive after the deadline. The wait is that of
/// the slowest owner, as the answer is complete only with it; `search_time` is
/// what the search itself needs after the wait.
fn wait_excess(wait: Duration, remaining: Duration, options: &Options) -> Option<Duration> {
    let needed = wait.saturating_add(options.search_time);
    let excess = needed.saturating_sub(remaining);
    (!excess.is_zero()).then_some(excess)
}

/// Refuses by the number of queries in flight, with fair shares between callers.
///
/// Handles one caller flooding the front while others send few queries: without
/// shares the flood would occupy every slot. A caller within its share needs
/// only a free slot. Beyond its share it may use free slots, except the unused
/// shares of other active callers and the slots reserved for inactive ones. Idle
/// capacity is thus used, and a flood withholds another caller's share no longer
/// than the queries already in flight take.
fn refusal_by_load(
    load: &FrontLoad,
    request: &AdmissionRequest,
    options: &Options,
) -> Option<RefusalReason> {
    let free = options.max_in_flight.saturating_sub(load.in_flight());
    if free == 0 {
        return Some(RefusalReason::QueueFull);
    }
    let active = load.active_callers(request.now, options.activity_window).max(1);
    if !load.window_allows(request.caller, &options.window) {
        let alone = active == 1;
        return Some(if alone { RefusalReason::QueueFull } else { RefusalReason::CallerOverShare });
    }
    let share = (options.max_in_flight / active).max(1);
    if load.caller_in_flight(request.caller) < share && active > 1 {
        return None;
    }
    let unused = load.unused_shares(request.caller, share, request.now, options.activity_window);
    let reserved = options.max_in_flight / options.reserve_divisor.max(1);
    if free > unused.saturating_add(reserved) {
        return None;
    }
    Some(RefusalReason::CallerOverShare)
}

fn refused(
    reason: RefusalReason,
    wait: Option<Duration>,
    request: &AdmissionRequest,
    options: &Options,
) -> Outcome {
    let retry_after = wait.map(|wait| jittered(wait, request.random, options));
    Outcome::Refused { reason, retry_after }
}

/// A random duration between `wait` and twice `wait`, within the limits.
///
/// Callers refused together would otherwise retry together, as the same burst.
fn jittered(wait: Duration, random: u64, options: &Options) -> Duration {
    let base = wait.clamp(options.min_retry_after, options.max_retry_after);
    let jitter = (random >> 32) as f64 / f64::from(u32::MAX);
    base.mul_f64(1.0 + jitter).min(options.max_retry_after)
}
