//! Counts of a run by second, from the log lines of all its hosts.

use std::collections::BTreeMap;

use crate::line::LogLine;

/// Numbers of the events that are counted; the catalogue says what they mean.
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

/// What was counted in one second of a run: a weight by name.
pub type SecondCounts = BTreeMap<String, f64>;

/// One series by second of the run, of several names.
pub type NamedCounts = BTreeMap<i64, SecondCounts>;

/// Times of answers with the weight of each, in milliseconds.
pub type WeightedLatencies = Vec<(f64, f64)>;

/// Something that happened to the run itself.
#[derive(Clone, Debug, PartialEq)]
pub struct RunAnnotation {
    /// Second of the run.
    pub at: f64,
    /// What happened, to whom.
    pub description: String,
}

/// How a target's attempts ended, as all hosts saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetAttempts {
    /// The service whose requests it runs.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Attempts by how they ended.
    pub ends: BTreeMap<String, usize>,
    /// Hosts that saw one end badly.
    pub hosts: BTreeMap<String, usize>,
}

impl TargetAttempts {
    /// Attempts that did not end with an answer.
    pub fn failures(&self) -> usize {
        self.ends.iter().filter(|(end, _)| *end != "answered").map(|(_, count)| count).sum()
    }
}

/// A run, second by second. A calm request counts for all that its sample stands for.
#[derive(Clone, Debug, Default)]
pub struct RunTimeline {
    /// Requests by outcome.
    pub outcomes: NamedCounts,
    /// Times of requests, by route and second.
    pub latencies: BTreeMap<String, BTreeMap<i64, WeightedLatencies>>,
    /// Attempts that did not end with an answer, by their end.
    pub failed_attempts: NamedCounts,
    /// Changes of state: targets, zones, members, the store.
    pub state_changes: NamedCounts,
    /// The greatest version in force anywhere, and the least among the newest of hosts.
    pub versions: BTreeMap<i64, (u64, u64)>,
    /// Starts, stops, lost dependencies.
    pub annotations: Vec<RunAnnotation>,
    /// Attempts by target.
    pub targets: BTreeMap<String, TargetAttempts>,
    /// Parts that answers were given without, by shard and why.
    pub missing: BTreeMap<(String, String), usize>,
    /// Lines by event.
    pub events: BTreeMap<(u16, String), usize>,
    in_force: BTreeMap<String, u64>,
}

fn second(line: &LogLine<'_>) -> i64 {
    line.at.floor() as i64
}

fn count(counts: &mut NamedCounts, second: i64, name: &str, weight: f64) {
    *counts.entry(second).or_default().entry(name.to_owned()).or_default() += weight;
}

impl RunTimeline {
    /// Takes in a line. Lines of one host come in their order; those of several
    /// hosts in any.
    pub fn add(&mut self, line: &LogLine<'_>) {
        *self.events.entry((line.number, line.name.to_owned())).or_default() += 1;
        match line.number {
            event::REQUEST_ENDED => self.take_request(line),
            event::ATTEMPT_ENDED => self.take_attempt(line),
            event::PARTS_MISSING => self.take_missing(line),
            event::TARGET_CHANGED => self.believe(line, "target", line.value("change")),
            event::PEER_CHANGED => self.believe(line, "host", line.value("change")),
            event::ROUTES_IN_FORCE => self.take_version(line),
            event::ZONE_REACH => {
                let reach =
                    if line.value("reachable") == Some("true") { "back" } else { "cut off" };
                self.believe(line, "zone", Some(reach));
                let zone = line.value("zone").unwrap_or("?");
                self.mark(line, format!("{zone} {reach} for {}", line.host));
            }
            event::HOST_STARTED => self.mark(line, format!("{} starts", line.host)),
            event::HOST_STOPPING => self.mark(line, format!("{} stops", line.host)),
            event::STORE_LOST => self.mark(line, format!("{} lost the store", line.host)),
            event::STORE_BACK => self.mark(line, format!("{} has the store back", line.host)),
            _ => {}
        }
    }

    fn take_request(&mut self, line: &LogLine<'_>) {
        let weight = line.numeric("weight").unwrap_or(1.0);
        count(&mut self.outcomes, second(line), line.value("outcome").unwrap_or("?"), weight);
        if let (Some(route), Some(millis)) = (line.value("route"), line.numeric("ms")) {
            let route = self.latencies.entry(route.to_owned()).or_default();
            route.entry(second(line)).or_default().push((millis, weight));
        }
    }

    fn take_attempt(&mut self, line: &LogLine<'_>) {
        let (Some(target), Some(end)) = (line.value("target"), line.value("end")) else { return };
        let ends = self.targets.entry(target.to_owned()).or_default();
        ends.service = line.value("service").unwrap_or("?").to_owned();
        ends.zone = line.value("zone").unwrap_or("?").to_owned();
        *ends.ends.entry(end.to_owned()).or_default() += 1;
        if end != "answered" {
            *ends.hosts.entry(line.host.to_owned()).or_default() += 1;
            count(&mut self.failed_attempts, second(line), end, 1.0);
        }
    }

    fn take_missing(&mut self, line: &LogLine<'_>) {
        let shards = line.value("shards").unwrap_or_default().split(',');
        for (shard, why) in shards.filter_map(|shard| shard.split_once(':')) {
            *self.missing.entry((shard.to_owned(), why.to_owned())).or_default() += 1;
        }
    }

    fn believe(&mut self, line: &LogLine<'_>, what: &str, change: Option<&str>) {
        let name = format!("{what} {}", change.unwrap_or("?"));
        count(&mut self.state_changes, second(line), &name, 1.0);
    }

    fn take_version(&mut self, line: &LogLine<'_>) {
        let Some(version) = line.value("version").and_then(|text| text.parse().ok()) else {
            return;
        };
        self.in_force.insert(line.host.to_owned(), version);
        let least = self.in_force.values().min().copied().unwrap_or(version);
        let most = self.in_force.values().max().copied().unwrap_or(version);
        self.versions.insert(second(line), (least, most));
    }

    fn mark(&mut self, line: &LogLine<'_>, what: String) {
        self.annotations.push(RunAnnotation { at: line.at, description: what });
    }

    /// The seconds that any line is of: the first and the last.
    pub fn span(&self) -> Option<(i64, i64)> {
        let counted =
            self.outcomes.keys().chain(self.state_changes.keys()).chain(self.versions.keys());
        let marked = self.annotations.iter().map(|mark| mark.at.floor() as i64);
        let seconds = counted.copied().chain(marked);
        Some((seconds.clone().min()?, seconds.max()?))
    }

    /// The targets whose attempts ended badly most often.
    pub fn worst_targets(&self, most: usize) -> Vec<(&str, &TargetAttempts)> {
        let mut worst: Vec<(&str, &TargetAttempts)> = self
            .targets
            .iter()
            .filter(|(_, ends)| ends.failures() > 0)
            .map(|(target, ends)| (target.as_str(), ends))
            .collect();
        worst.sort_by_key(|(target, ends)| (std::cmp::Reverse(ends.failures()), *target));
        worst.truncate(most);
        worst
    }
}

/// The time that a share of the weight does not exceed.
pub fn quantile(times: &[(f64, f64)], share: f64) -> Option<f64> {
    let mut sorted = times.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let all: f64 = sorted.iter().map(|(_, weight)| weight).sum();
    let mut seen = 0.0;
    for (time, weight) in &sorted {
        seen += weight;
        if seen >= all * share {
            return Some(*time);
        }
    }
    None
}
