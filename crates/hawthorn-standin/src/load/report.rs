//! What came of a run, as JSON and as a short table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hawthorn_types::RefusalReason;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use super::scenario::LoadScenario;
use super::schedule::ScheduleOptions;
use crate::check::BrokenPromise;
use crate::check::Violation;

/// Significant digits of a latency.
const DIGITS: u8 = 3;
/// Latencies above this are counted as this, in microseconds.
const LONGEST_US: u64 = 600_000_000;
const MICROS_IN_MILLI: f64 = 1000.0;

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The caller, by its number.
    pub caller: usize,
    /// A search, not a non-idempotent request.
    pub search: bool,
    /// From when it was due to when its caller knew.
    pub latency: Duration,
    /// How it ended.
    pub end: SampleEnd,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SampleEnd {
    /// It was answered.
    Answered {
        /// The part of the keys covered.
        coverage: f64,
    },
    /// It did not run.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
    /// The connection broke, or the caller lost patience.
    Cut,
    /// No connection could be made.
    NotSent,
    /// The generator had too many requests under way.
    NotOffered,
}

/// Latencies of answered requests, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize)]
pub struct LatencyReport {
    /// The median.
    pub p50_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// 999 in 1000 are below.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// What came of one caller's requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallerReport {
    /// The caller.
    pub caller: String,
    /// Requests that were due.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// The same, each search counted by the part of the keys it covers.
    pub served: f64,
    /// Latencies of its answered requests.
    pub latency: LatencyReport,
}

/// What came of a run.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Who was asked.
    pub policy: String,
    /// The scenario.
    #[serde_as(as = "DisplayFromStr")]
    pub scenario: LoadScenario,
    /// The seed.
    pub seed: u64,
    /// Requests that were due.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Searches answered with full coverage.
    pub complete: u64,
    /// Latencies of answered requests.
    pub latency: LatencyReport,
    /// Latencies of searches answered with full coverage.
    pub latency_complete: LatencyReport,
    /// Mean coverage of answered searches.
    pub coverage_mean: f64,
    /// Least coverage of an answered search.
    pub coverage_least: f64,
    /// Attempts that reached targets over the attempts needed for what answers
    /// cover: 1 is no extra load. Attempts that were refused, cancelled, hedged
    /// or late are extra.
    pub extra_load: f64,
    /// Requests that did not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests that ran and failed.
    pub failed: u64,
    /// Requests whose connection broke.
    pub cut: u64,
    /// Requests for which no connection could be made.
    pub not_sent: u64,
    /// Requests that the generator could not offer; above 0 the run says little.
    pub not_offered: u64,
    /// The least, over callers, of what the caller was served over its max-min
    /// fair part of all that was served: 1 is fair.
    pub fairness: f64,
    /// Each caller.
    pub callers: Vec<CallerReport>,
    /// Broken promises, by name.
    pub broken: BTreeMap<String, u64>,
    /// The first broken promises, described.
    pub broken_first: Vec<String>,
}

/// Broken promises that are described.
const DESCRIBED: usize = 5;

impl LoadReport {
    /// Sums a run up: its samples, the attempts that reached targets, the shards
    /// that a search needs, and the broken promises.
    pub fn new(
        policy: &str,
        schedule: &ScheduleOptions,
        samples: &[Sample],
        attempts: u64,
        shards: u32,
        broken: &[Violation],
    ) -> Self {
        let callers: Vec<CallerReport> = schedule
            .callers
            .iter()
            .enumerate()
            .map(|(number, caller)| caller_report(number, caller, samples))
            .collect();
        let coverages: Vec<f64> = samples.iter().filter_map(covered).collect();
        let count =
            |wanted: SampleEnd| samples.iter().filter(|sample| sample.end == wanted).count() as u64;
        let needed: f64 = samples.iter().map(|sample| attempts_needed(sample, shards)).sum();
        Self {
            policy: policy.to_owned(),
            scenario: schedule.scenario,
            seed: schedule.seed,
            offered: samples.len() as u64,
            answered: callers.iter().map(|caller| caller.answered).sum(),
            complete: coverages.iter().filter(|&&coverage| coverage >= 1.0).count() as u64,
            latency: latency_report(samples, is_answered),
            latency_complete: latency_report(samples, is_complete),
            coverage_mean: mean(&coverages),
            coverage_least: coverages.iter().copied().fold(1.0, f64::min),
            extra_load: attempts as f64 / needed.max(1.0),
            refused: refusals(samples),
            unknown: count(SampleEnd::Unknown),
            failed: count(SampleEnd::Failed),
            cut: count(SampleEnd::Cut),
            not_sent: count(SampleEnd::NotSent),
            not_offered: count(SampleEnd::NotOffered),
            fairness: fairness(&callers),
            callers,
            broken: broken_counts(broken),
            broken_first: broken.iter().take(DESCRIBED).map(Violation::to_string).collect(),
        }
    }

    /// Broken promises of one kind.
    pub fn broken_count(&self, promise: BrokenPromise) -> u64 {
        self.broken.get(&promise.to_string()).copied().unwrap_or_default()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        let broken: u64 = self.broken.values().sum();
        let lost = self.unknown + self.failed + self.cut + self.not_sent + self.not_offered;
        writeln!(
            f,
            "{:<16} {:<8} {:>8} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.4} {:>6.3} {:>8} {:>6} {:>8.3} {:>6}",
            self.scenario,
            self.policy,
            self.offered,
            self.answered,
            self.complete,
            self.latency.p50_ms,
            self.latency.p99_ms,
            self.latency.p999_ms,
            self.coverage_mean,
            self.extra_load,
            refused,
            lost,
            self.fairness,
            broken,
        )
    }
}

/// The head of the table that [`LoadReport`] displays one line of.
pub fn table_header() -> String {
    format!(
        "{:<16} {:<8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>6} {:>8} {:>6}\n",
        "scenario",
        "policy",
        "offered",
        "answered",
        "complete",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "coverage",
        "load",
        "refused",
        "lost",
        "fairness",
        "broken",
    )
}

/// Max-min fair parts of `total` for callers that asked for `wanted` each: the
/// modest get all they asked for, the others share what is left evenly.
pub fn fair_parts(total: f64, wanted: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by(|&a, &b| wanted[a].total_cmp(&wanted[b]));
    let mut parts = vec![0.0; wanted.len()];
    let mut left = total;
    for (served, &caller) in order.iter().enumerate() {
        let even = left / (wanted.len() - served) as f64;
        parts[caller] = wanted[caller].min(even);
        left -= parts[caller];
    }
    parts
}

fn fairness(callers: &[CallerReport]) -> f64 {
    let total: f64 = callers.iter().map(|caller| caller.served).sum();
    let wanted: Vec<f64> = callers.iter().map(|caller| caller.offered as f64).collect();
    let parts = fair_parts(total, &wanted);
    callers
        .iter()
        .zip(parts)
        .filter(|(_, part)| *part > 0.0)
        .map(|(caller, part)| caller.served / part)
        .fold(1.0, f64::min)
}

fn caller_report(number: usize, caller: &str, samples: &[Sample]) -> CallerReport {
    let own: Vec<Sample> =
        samples.iter().copied().filter(|sample| sample.caller == number).collect();
    CallerReport {
        caller: caller.to_owned(),
        offered: own.len() as u64,
        answered: own.iter().filter(|sample| is_answered(sample)).count() as u64,
        served: own.iter().map(served).sum(),
        latency: latency_report(&own, is_answered),
    }
}

fn is_answered(sample: &Sample) -> bool {
    matches!(sample.end, SampleEnd::Answered { .. })
}

fn served(sample: &Sample) -> f64 {
    match sample.end {
        SampleEnd::Answered { coverage } => coverage,
        _ => 0.0,
    }
}

fn is_complete(sample: &Sample) -> bool {
    covered(sample).is_some_and(|coverage| coverage >= 1.0)
}

fn covered(sample: &Sample) -> Option<f64> {
    match sample.end {
        SampleEnd::Answered { coverage } if sample.search => Some(coverage),
        _ => None,
    }
}

/// A search needs one attempt for each shard that it covers.
fn attempts_needed(sample: &Sample, shards: u32) -> f64 {
    match sample.search {
        true => served(sample) * f64::from(shards),
        false => served(sample),
    }
}

fn mean(values: &[f64]) -> f64 {
    match values.is_empty() {
        true => 0.0,
        false => values.iter().sum::<f64>() / values.len() as f64,
    }
}

fn latency_report(samples: &[Sample], counts: fn(&Sample) -> bool) -> LatencyReport {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS)
        .expect("the bounds and digits are in range");
    for sample in samples.iter().filter(|sample| counts(sample)) {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(LONGEST_US);
        histogram.saturating_record(micros);
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / MICROS_IN_MILLI;
    LatencyReport {
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: histogram.max() as f64 / MICROS_IN_MILLI,
    }
}

fn refusals(samples: &[Sample]) -> BTreeMap<String, u64> {
    let mut refused = BTreeMap::new();
    for sample in samples {
        if let SampleEnd::NotRun(reason) = sample.end {
            *refused.entry(reason.to_string()).or_default() += 1;
        }
    }
    refused
}

fn broken_counts(broken: &[Violation]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for violation in broken {
        *counts.entry(violation.promise.to_string()).or_default() += 1;
    }
    counts
}
