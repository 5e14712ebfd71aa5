//! Per-second counts of a run, from the log lines of all its hosts.

use std::collections::BTreeMap;

use crate::line::LogLine;

/// Numbers of the events that are counted, as in the event catalogue.
mod event {
    pub(super) const HOST_STARTED: u16 = 600;
    pub(super) const HOST_STOPPING: u16 = 602;
    pub(super) const ROUTES_IN_FORCE: u16 = 610;
    pub(super) const STORE_LOST: u16 = 612;
    pub(super) const STORE_BACK: u16 = 613;
    pub(super) const TARGET_CHANGED: u16 = 620;
    pub(super) const ZONE_REACH: u16 = 622;
    pub(super) const REQUEST_ENDED: u16 = 630;
    pub(super) const ATTEMPT_ENDED: u16 = 631;
    pub(super) const PARTS_MISSING: u16 = 636;
    pub(super) const PEER_CHANGED: u16 = 641;
}

/// Weighted counts of one second of a run, by name.
pub type SecondCounts = BTreeMap<String, f64>;

/// Weighted counts by second of the run and name.
pub type NamedCounts = BTreeMap<i64, SecondCounts>;

/// Request latencies in milliseconds, each with its sampling weight.
pub type WeightedLatencies = Vec<(f64, f64)>;

/// A point in time at which a host or one of its dependencies changed state.
#[derive(Clone, Debug, PartialEq)]
pub struct RunAnnotation {
    /// Second of the run.
    pub at: f64,
    /// The change and the host that it concerns.
    pub description: String,
}

/// How the attempts at a target ended, over all hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetAttempts {
    /// The target's service.
    pub service: String,
    /// The target's availability zone.
    pub zone: String,
    /// Number of attempts by their end.
    pub ends: BTreeMap<String, usize>,
    /// Number of failed attempts by host.
    pub hosts: BTreeMap<String, usize>,
}

impl TargetAttempts {
    /// Number of attempts that did not end with an answer.
    pub fn failures(&self) -> usize {
        self.ends.iter().filter(|(end, _)| *end != "answered").map(|(_, count)| count).sum()
    }
}

/// Timeline of a run. A sampled request counts with the weight of its sample.
#[derive(Clone, Debug, Default)]
pub struct RunTimeline {
    /// Requests by second and outcome.
    pub outcomes: NamedCounts,
    /// Request latencies by route and second.
    pub latencies: BTreeMap<String, BTreeMap<i64, WeightedLatencies>>,
    /// Attempts that did not end with an answer, by second and end.
    pub failed_attempts: NamedCounts,
    /// State changes of targets, zones and hosts, by second and kind.
    pub state_changes: NamedCounts,
    /// Lowest and highest of the hosts' current configuration versions, by second.
    pub versions: BTreeMap<i64, (u64, u64)>,
    /// Starts and stops of hosts, and loss and recovery of zones and the store.
    pub annotations: Vec<RunAnnotation>,
    /// Ends of attempts by target.
    pub targets: BTreeMap<String, TargetAttempts>,
    /// Number of answers that lack a shard, by shard and reason.
    pub missing: BTreeMap<(String, String), usize>,
    /// Number of lines by event.
    pub events: BTreeMap<(u16, String), usize>,
    current_versions: BTreeMap<String, u64>,
}

fn second(line: &LogLine<'_>) -> i64 {
    line.at.floor() as i64
}

fn count(counts: &mut NamedCounts, second: i64, name: &str, weight: f64) {
    *counts.entry(second).or_default().entry(name.to_owned()).or_default() += weight;
}

impl RunTimeline {
    /// Adds a line. Lines of one host must be added in order; lines of different hosts may
    /// interleave in any way.
    pub fn add(&mut self, line: &LogLine<'_>) {
        *self.events.entry((line.number, line.name.to_owned())).or_default() += 1;
        match line.number {
            event::REQUEST_ENDED => self.add_request(line),
            event::ATTEMPT_ENDED => self.add_attempt(line),
            event::PARTS_MISSING => self.add_missing(line),
            event::TARGET_CHANGED => self.count_change(line, "target", line.value("change")),
            event::PEER_CHANGED => self.count_change(line, "host", line.value("change")),
            event::ROUTES_IN_FORCE => self.add_version(line),
            event::ZONE_REACH => {
                let change =
                    if line.value("reachable") == Some("true") { "back" } else { "cut off" };
                self.count_change(line, "zone", Some(change));
                let zone = line.value("zone").unwrap_or("?");
                self.annotate(line, format!("{zone} {change} for {}", line.host));
            }
            event::HOST_STARTED => self.annotate(line, format!("{} starts", line.host)),
            event::HOST_STOPPING => self.annotate(line, format!("{} stops", line.host)),
            event::STORE_LOST => self.annotate(line, format!("{} lost the store", line.host)),
            event::STORE_BACK => self.annotate(line, format!("{} has the store back", line.host)),
            _ => {}
        }
    }

    fn add_request(&mut self, line: &LogLine<'_>) {
        let weight = line.numeric("weight").unwrap_or(1.0);
        count(&mut self.outcomes, second(line), line.value("outcome").unwrap_or("?"), weight);
        if let (Some(route), Some(millis)) = (line.value("route"), line.numeric("ms")) {
            let route = self.latencies.entry(route.to_owned()).or_default();
            route.entry(second(line)).or_default().push((millis, weight));
        }
    }

    fn add_attempt(&mut self, line: &LogLine<'_>) {
        let (Some(target), Some(end)) = (line.value("target"), line.value("end")) else { return };
        let attempts = self.targets.entry(target.to_owned()).or_default();
        attempts.service = line.value("service").unwrap_or("?").to_owned();
        attempts.zone = line.value("zone").unwrap_or("?").to_owned();
        *attempts.ends.entry(end.to_owned()).or_default() += 1;
        if end != "answered" {
            *attempts.hosts.entry(line.host.to_owned()).or_default() += 1;
            count(&mut self.failed_attempts, second(line), end, 1.0);
        }
    }

    fn add_missing(&mut self, line: &LogLine<'_>) {
        let shards = line.value("shards").unwrap_or_default().split(',');
        for (shard, reason) in shards.filter_map(|shard| shard.split_once(':')) {
            *self.missing.entry((shard.to_owned(), reason.to_owned())).or_default() += 1;
        }
    }

    fn count_change(&mut self, line: &LogLine<'_>, subject: &str, change: Option<&str>) {
        let name = format!("{subject} {}", change.unwrap_or("?"));
        count(&mut self.state_changes, second(line), &name, 1.0);
    }

    fn add_version(&mut self, line: &LogLine<'_>) {
        let Some(version) = line.value("version").and_then(|text| text.parse().ok()) else {
            return;
        };
        self.current_versions.insert(line.host.to_owned(), version);
        let min = self.current_versions.values().min().copied().unwrap_or(version);
        let max = self.current_versions.values().max().copied().unwrap_or(version);
        self.versions.insert(second(line), (min, max));
    }

    fn annotate(&mut self, line: &LogLine<'_>, description: String) {
        self.annotations.push(RunAnnotation { at: line.at, description });
    }

    /// The first and the last second with a counted request, state change, version or
    /// annotation.
    pub fn span(&self) -> Option<(i64, i64)> {
        let counted =
            self.outcomes.keys().chain(self.state_changes.keys()).chain(self.versions.keys());
        let annotated = self.annotations.iter().map(|annotation| annotation.at.floor() as i64);
        let seconds = counted.copied().chain(annotated);
        Some((seconds.clone().min()?, seconds.max()?))
    }

    /// Up to `max` targets with failed attempts, those with the most failures first.
    pub fn worst_targets(&self, max: usize) -> Vec<(&str, &TargetAttempts)> {
        let mut worst: Vec<(&str, &TargetAttempts)> = self
            .targets
            .iter()
            .filter(|(_, attempts)| attempts.failures() > 0)
            .map(|(target, attempts)| (target.as_str(), attempts))
            .collect();
        worst.sort_by_key(|(target, attempts)| (std::cmp::Reverse(attempts.failures()), *target));
        worst.truncate(max);
        worst
    }
}

/// The weighted quantile of latencies: the smallest latency that at least `share` of the
/// weight does not exceed. `None` without samples.
pub fn quantile(latencies: &[(f64, f64)], share: f64) -> Option<f64> {
    let mut sorted = latencies.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total: f64 = sorted.iter().map(|(_, weight)| weight).sum();
    let mut cumulative = 0.0;
    for (latency, weight) in &sorted {
        cumulative += weight;
        if cumulative >= total * share {
            return Some(*latency);
        }
    }
    None
}
