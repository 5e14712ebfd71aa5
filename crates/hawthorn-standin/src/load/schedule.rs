//! Requests of a run, drawn from the seed before it starts, so that a slow answer never
//! delays the next request (open loop).

use std::time::Duration;

use hawthorn_types::KEY_SPACE;
use hawthorn_types::UrgencyClass;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::scenario::LoadScenario;
use crate::corpus::CorpusFlavour;

/// Options of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduleOptions {
    /// The scenario.
    pub scenario: LoadScenario,
    /// Seed of the schedule; the same seed gives the same schedule.
    pub seed: u64,
    /// Duration of the schedule.
    pub duration: Duration,
    /// Capacity of the targets in queries per second.
    pub capacity: f64,
    /// The callers; the first one is the flooding caller of [`LoadScenario::Flood`].
    pub callers: Vec<String>,
    /// Query texts, drawn uniformly.
    pub texts: Vec<String>,
    /// Share of urgent queries.
    pub urgent_share: f64,
    /// Share of non-idempotent requests.
    pub once_share: f64,
}

impl Default for ScheduleOptions {
    fn default() -> Self {
        let callers = ["bunker-desk", "ship-agents", "suppliers"];
        Self {
            scenario: LoadScenario::Steady,
            seed: 1,
            duration: Duration::from_secs(5),
            capacity: 100.0,
            callers: callers.map(str::to_owned).to_vec(),
            texts: CorpusFlavour::Bunker.query_texts(),
            urgent_share: 0.7,
            once_share: 0.0,
        }
    }
}

/// One request of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Scheduled time, relative to the start of the run.
    pub at: Duration,
    /// The index of the caller in the options.
    pub caller: usize,
    /// The kind of request.
    pub kind: PlannedKind,
}

/// Kinds of request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedKind {
    /// A search of the entire key space.
    Search {
        /// The text.
        text: String,
        /// The urgency.
        urgency: UrgencyClass,
    },
    /// A non-idempotent request for the shard of `key`.
    Once {
        /// The key.
        key: u32,
    },
}

/// Draws a schedule, ordered by time.
pub fn schedule(options: &ScheduleOptions) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for caller in 0..options.callers.len() {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        rng.set_stream(caller as u64);
        draw_arrivals(options, caller, &mut rng, &mut planned);
    }
    planned.sort_by_key(|request| (request.at, request.caller));
    planned
}

/// Draws the Poisson arrivals of one caller, by thinning arrivals at its peak rate.
fn draw_arrivals(
    options: &ScheduleOptions,
    caller: usize,
    rng: &mut ChaCha8Rng,
    planned: &mut Vec<PlannedRequest>,
) {
    let callers = options.callers.len();
    let peak = options.scenario.peak(caller, callers);
    let rate = peak * options.capacity;
    if rate <= 0.0 {
        return;
    }
    let mut at = Duration::ZERO;
    loop {
        let gap = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        at += Duration::from_secs_f64(gap);
        if at >= options.duration {
            return;
        }
        let accepted = rng.random_range(0.0..peak) < options.scenario.load(caller, callers, at);
        let kind = draw_kind(options, rng);
        if accepted {
            planned.push(PlannedRequest { at, caller, kind });
        }
    }
}

fn draw_kind(options: &ScheduleOptions, rng: &mut ChaCha8Rng) -> PlannedKind {
    if rng.random_bool(options.once_share.clamp(0.0, 1.0)) {
        return PlannedKind::Once { key: rng.random_range(0..KEY_SPACE) };
    }
    let text = match options.texts.is_empty() {
        true => String::new(),
        false => options.texts[rng.random_range(0..options.texts.len())].clone(),
    };
    let urgency = match rng.random_bool(options.urgent_share.clamp(0.0, 1.0)) {
        true => UrgencyClass::Urgent,
        false => UrgencyClass::Normal,
    };
    PlannedKind::Search { text, urgency }
}
