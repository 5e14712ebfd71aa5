//! Results of a run, as JSON and as a table.

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
use crate::check::Violation;
use crate::check::ViolationKind;

/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum recorded latency in microseconds; larger ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;
const MICROS_IN_MILLI: f64 = 1000.0;

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The index of the caller.
    pub caller: usize,
    /// Whether it was a search rather than a non-idempotent request.
    pub search: bool,
    /// Time from its scheduled start until its caller received the outcome.
    pub latency: Duration,
    /// Its outcome.
    pub outcome: SampleOutcome,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SampleOutcome {
    /// It was answered.
    Answered {
        /// Fraction of the requested keys that the answer covers.
        coverage: f64,
    },
    /// It did not run.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
    /// The connection was lost, or the caller timed out.
    ConnectionLost,
    /// Connecting failed.
    NotSent,
    /// The generator had too many requests in flight.
    NotOffered,
}

/// Latencies of answered requests, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize)]
pub struct LatencyReport {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// Results of one caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallerReport {
    /// The caller.
    pub caller: String,
    /// Scheduled requests.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered, with each search weighted by its coverage.
    pub served: f64,
    /// Latencies of its answered requests.
    pub latency: LatencyReport,
}

/// Results of a run.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the client under load.
    pub policy: String,
    /// The scenario.
    #[serde_as(as = "DisplayFromStr")]
    pub scenario: LoadScenario,
    /// The seed.
    pub seed: u64,
    /// Scheduled requests.
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
    /// Minimum coverage of answered searches.
    pub coverage_least: f64,
    /// Attempts that arrived at targets, divided by the attempts that the covered shards
    /// need; 1 means no extra load. Refused, cancelled, hedged and late attempts are
    /// extra load.
    pub extra_load: f64,
    /// Requests that did not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests that ran and failed.
    pub failed: u64,
    /// Requests whose connection was lost.
    pub cut: u64,
    /// Requests for which connecting failed.
    pub not_sent: u64,
    /// Requests that the generator could not send; above 0, the results are not
    /// representative.
    pub not_offered: u64,
    /// Minimum over callers of the served requests divided by the caller's max-min fair
    /// share of all served requests; 1 is fair.
    pub fairness: f64,
    /// Results by caller.
    pub callers: Vec<CallerReport>,
    /// Number of violations by kind.
    pub broken: BTreeMap<String, u64>,
    /// Descriptions of the first violations.
    pub broken_first: Vec<String>,
}

/// Maximum number of described violations.
const MAX_DESCRIBED: usize = 5;

impl LoadReport {
    /// Aggregates the samples of a run, the number of attempts that arrived at targets,
    /// the number of shards of a search, and the violations.
    pub fn new(
        policy: &str,
        schedule: &ScheduleOptions,
        samples: &[Sample],
        attempts: u64,
        shards: u32,
        violations: &[Violation],
    ) -> Self {
        let callers: Vec<CallerReport> = schedule
            .callers
            .iter()
            .enumerate()
            .map(|(number, caller)| caller_report(number, caller, samples))
            .collect();
        let coverages: Vec<f64> = samples.iter().filter_map(search_coverage).collect();
        let count = |outcome: SampleOutcome| {
            samples.iter().filter(|sample| sample.outcome == outcome).count() as u64
        };
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
            refused: refusal_counts(samples),
            unknown: count(SampleOutcome::Unknown),
            failed: count(SampleOutcome::Failed),
            cut: count(SampleOutcome::ConnectionLost),
            not_sent: count(SampleOutcome::NotSent),
            not_offered: count(SampleOutcome::NotOffered),
            fairness: fairness(&callers),
            callers,
            broken: violation_counts(violations),
            broken_first: violations.iter().take(MAX_DESCRIBED).map(Violation::to_string).collect(),
        }
    }

    /// Number of violations of one kind.
    pub fn violation_count(&self, kind: ViolationKind) -> u64 {
        self.broken.get(&kind.to_string()).copied().unwrap_or_default()
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

/// The header of the table whose rows are [`LoadReport`]s.
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

/// Max-min fair shares of `total` for the given demands: small demands are satisfied,
/// and the remainder is divided evenly among the others.
pub fn max_min_fair_shares(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&a, &b| demands[a].total_cmp(&demands[b]));
    let mut shares = vec![0.0; demands.len()];
    let mut remaining = total;
    for (served, &caller) in order.iter().enumerate() {
        let even = remaining / (demands.len() - served) as f64;
        shares[caller] = demands[caller].min(even);
        remaining -= shares[caller];
    }
    shares
}

fn fairness(callers: &[CallerReport]) -> f64 {
    let total: f64 = callers.iter().map(|caller| caller.served).sum();
    let demands: Vec<f64> = callers.iter().map(|caller| caller.offered as f64).collect();
    let shares = max_min_fair_shares(total, &demands);
    callers
        .iter()
        .zip(shares)
        .filter(|(_, share)| *share > 0.0)
        .map(|(caller, share)| caller.served / share)
        .fold(1.0, f64::min)
}

fn caller_report(number: usize, caller: &str, samples: &[Sample]) -> CallerReport {
    let caller_samples: Vec<Sample> =
        samples.iter().copied().filter(|sample| sample.caller == number).collect();
    CallerReport {
        caller: caller.to_owned(),
        offered: caller_samples.len() as u64,
        answered: caller_samples.iter().filter(|sample| is_answered(sample)).count() as u64,
        served: caller_samples.iter().map(served).sum(),
        latency: latency_report(&caller_samples, is_answered),
    }
}

fn is_answered(sample: &Sample) -> bool {
    matches!(sample.outcome, SampleOutcome::Answered { .. })
}

fn served(sample: &Sample) -> f64 {
    match sample.outcome {
        SampleOutcome::Answered { coverage } => coverage,
        _ => 0.0,
    }
}

fn is_complete(sample: &Sample) -> bool {
    search_coverage(sample).is_some_and(|coverage| coverage >= 1.0)
}

fn search_coverage(sample: &Sample) -> Option<f64> {
    match sample.outcome {
        SampleOutcome::Answered { coverage } if sample.search => Some(coverage),
        _ => None,
    }
}

/// Attempts that a request needs: a search needs one for each covered shard.
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

fn latency_report(samples: &[Sample], include: fn(&Sample) -> bool) -> LatencyReport {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds and digits are in range");
    for sample in samples.iter().filter(|sample| include(sample)) {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        histogram.saturating_record(micros);
    }
    let quantile_ms =
        |quantile: f64| histogram.value_at_quantile(quantile) as f64 / MICROS_IN_MILLI;
    LatencyReport {
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
        max_ms: histogram.max() as f64 / MICROS_IN_MILLI,
    }
}

fn refusal_counts(samples: &[Sample]) -> BTreeMap<String, u64> {
    let mut refused = BTreeMap::new();
    for sample in samples {
        if let SampleOutcome::NotRun(reason) = sample.outcome {
            *refused.entry(reason.to_string()).or_default() += 1;
        }
    }
    refused
}

fn violation_counts(violations: &[Violation]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.kind.to_string()).or_default() += 1;
    }
    counts
}
