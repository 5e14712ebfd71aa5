//! When which caller asks what, decided before the run from the seed alone, so
//! that a slow answer never holds back the next request.

use std::time::Duration;

use hawthorn_types::KEY_SPACE;
use hawthorn_types::UrgencyClass;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::scenario::LoadScenario;
use crate::corpus::CorpusFlavour;

/// How to draw a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduleOptions {
    /// The scenario.
    pub scenario: LoadScenario,
    /// The same seed draws the same schedule.
    pub seed: u64,
    /// How long it lasts.
    pub duration: Duration,
    /// Queries a second that the targets could serve if all went well.
    pub capacity: f64,
    /// The callers; the first one floods.
    pub callers: Vec<String>,
    /// Texts to search for, drawn evenly.
    pub texts: Vec<String>,
    /// The part of urgent queries.
    pub urgent_share: f64,
    /// The part of non-idempotent requests.
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
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// The caller, by its number in the options.
    pub caller: usize,
    /// What it asks.
    pub kind: PlannedKind,
}

/// What a request asks.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedKind {
    /// A search of the whole key space.
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

/// Draws a schedule, in the order of its times.
pub fn schedule(options: &ScheduleOptions) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for caller in 0..options.callers.len() {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        rng.set_stream(caller as u64);
        arrivals(options, caller, &mut rng, &mut planned);
    }
    planned.sort_by_key(|request| (request.at, request.caller));
    planned
}

/// Poisson arrivals of one caller, thinned from its peak rate.
fn arrivals(
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
        let kept = rng.random_range(0.0..peak) < options.scenario.load(caller, callers, at);
        let kind = draw_kind(options, rng);
        if kept {
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
