//! The settings of all decisions, as configured by operators.
//!
//! Each decision has its own `Options`, which document the values and their defaults. They are
//! combined here into one table that is validated as a whole.

use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;

use crate::admission;
use crate::dispatch;
use crate::gather;
use crate::hedge;
use crate::placement;
use crate::quarantine;
use crate::quota;
use crate::reachability;
use crate::registry;
use crate::rollout;
use crate::scatter;
use crate::send_deadline;
use crate::skip;

quick_error! {
    /// Why a policy is invalid.
    #[derive(Debug, PartialEq)]
    pub enum Error {
        /// A value is outside its range.
        Range(key: &'static str, value: f64, min: f64, max: f64) {
            display("policy.{key}: {value} is not within {min} to {max}")
        }
        /// A value exceeds another that bounds it.
        Above(key: &'static str, other: &'static str) {
            display("policy.{key}: above policy.{other}")
        }
    }
}

/// Settings of the buffering of targets' answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerOptions {
    /// Number of kilobytes of a target's answer that are buffered, so that a request whose
    /// answer breaks off earlier can be retried. Nearly all answers are shorter than 64, and at
    /// the maximum number of requests the buffers take half of a small host's memory.
    pub held_kb: u32,
}

impl Default for AnswerOptions {
    fn default() -> Self {
        Self { held_kb: 64 }
    }
}

/// The settings of all decisions; each part is the `Options` of one module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutePolicy {
    /// By when answers are sent.
    pub departure: send_deadline::Options,
    /// How targets are selected.
    pub placing: placement::Options,
    /// When hedges are sent.
    pub second_attempts: hedge::Options,
    /// Which shards are skipped.
    pub skipping: skip::Options,
    /// Which queries are admitted.
    pub admission: admission::Options,
    /// In which order requests are sent while capacity is short.
    pub dispatch: dispatch::Options,
    /// Which shards are delegated to peers.
    pub gatherers: scatter::Options,
    /// Which partial answers are returned.
    pub gathering: gather::Options,
    /// When hosts report that they are not ready because zones are unreachable.
    pub zones: reachability::Options,
    /// When versions of the routes come into force.
    pub rollout: rollout::Options,
    /// How targets are registered.
    pub targets: registry::Options,
    /// When requests that crash targets are refused.
    pub quarantine: quarantine::Options,
    /// Whether quotas are enforced.
    pub quota: quota::Options,
    /// How answers are buffered.
    pub answers: AnswerOptions,
}

/// One value of a policy: a switch as 0 or 1, a time in the unit of its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyRow {
    /// Key below `policy`.
    pub key: &'static str,
    /// The value.
    pub value: f64,
    /// The minimum value.
    pub min: f64,
    /// The maximum value.
    pub max: f64,
}

/// Maximum of factors and of queries in flight.
const MAX_FACTOR: f64 = 1000.0;
/// Maximum of times: a minute. No caller waits longer.
const MAX_MILLIS: f64 = 60_000.0;
/// Maximum delay of a version of the routes: a part of the time within which it must be in
/// force.
const MAX_HOLD_MILLIS: f64 = 1000.0;
/// Maximum of times in seconds: an hour.
const MAX_SECONDS: f64 = 3600.0;
/// Maximum buffer per answer in kilobytes: a small host's memory.
const MAX_KILOBYTES: f64 = 65_536.0;
/// Maximum number of waiting requests: at 30 KB each, half of the memory of a host with 256 MB.
const MAX_WAITING: f64 = 4096.0;
/// Maximum share reserved for a less urgent priority: with more, it would not be less urgent.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Maximum number of shards of a query: their indexes have 16 bits.
const MAX_SHARDS: f64 = 65_535.0;

fn row(key: &'static str, value: f64, min: f64, max: f64) -> PolicyRow {
    PolicyRow { key, value, min, max }
}

fn switch(key: &'static str, on: bool) -> PolicyRow {
    row(key, f64::from(u8::from(on)), 0.0, 1.0)
}

fn share(key: &'static str, value: f64) -> PolicyRow {
    row(key, value, 0.0, 1.0)
}

fn factor(key: &'static str, value: f64) -> PolicyRow {
    row(key, value, 1.0, MAX_FACTOR)
}

fn millis(key: &'static str, time: Duration) -> PolicyRow {
    row(key, time.as_secs_f64() * 1000.0, 0.0, MAX_MILLIS)
}

impl RoutePolicy {
    /// All values with their ranges.
    pub fn rows(&self) -> Vec<PolicyRow> {
        let Self { departure, placing, second_attempts, skipping, admission, .. } = self;
        let Self {
            dispatch,
            gatherers,
            gathering,
            zones,
            rollout,
            targets,
            quarantine,
            quota,
            answers,
            ..
        } = self;
        vec![
            switch("departure.on", departure.on),
            share("departure.least_share", departure.least_share),
            share("departure.lag_share", departure.lag_share),
            share("departure.late_share", departure.late_share),
            share("departure.margin_share", departure.margin_share),
            switch("placing.by_completion", placing.by_completion),
            millis("placing.zone_cost_ms", placing.zone_cost),
            share("placing.zone_aim_share", placing.zone_aim_share),
            factor("placing.suspect_factor", placing.suspect_factor),
            millis("placing.suspect_cost_ms", placing.suspect_cost),
            millis("placing.failing_cost_ms", placing.failing_cost),
            factor("placing.cold_factor", placing.cold_factor),
            switch("second_attempts.on", second_attempts.on),
            switch("second_attempts.needs_room", second_attempts.needs_room),
            factor("second_attempts.eager_factor", second_attempts.eager_factor),
            factor("second_attempts.patient_factor", second_attempts.patient_factor),
            millis("second_attempts.least_delay_ms", second_attempts.least_delay),
            share("second_attempts.aim_share", second_attempts.aim_share),
            switch("skipping.on", skipping.on),
            row("skipping.time_share", skipping.time_share, 0.0, MAX_FACTOR),
            switch("admission.on", admission.on),
            factor("admission.first_window", admission.first_window),
            factor("admission.least_window", admission.least_window),
            share("admission.standing_share", admission.standing_share),
            share("admission.ordinary_share", admission.ordinary_share),
            share("admission.fair_share", admission.fair_share),
            share("admission.turned_away_share", admission.turned_away_share),
            millis("admission.crowded_ms", admission.crowded_time),
            switch("dispatch.on", dispatch.on),
            row("dispatch.waiting_limit", f64::from(dispatch.waiting_limit), 1.0, MAX_WAITING),
            row("dispatch.reserved_share", dispatch.reserved_share, 0.0, MAX_RESERVED_SHARE),
            share("dispatch.standing_share", dispatch.standing_share),
            share("dispatch.equal_share", dispatch.equal_share),
            millis("dispatch.expected_ms", dispatch.expected_time),
            switch("gatherers.on", gatherers.on),
            switch("gatherers.replaces_silent", gatherers.replaces_silent),
            row("gatherers.least_shards", gatherers.least_shards as f64, 1.0, MAX_SHARDS),
            switch("gathering.part_answers", gathering.part_answers),
            switch("gathering.beyond_aim", gathering.beyond_aim),
            switch("zones.step_aside", zones.step_aside),
            switch("zones.while_in_doubt", zones.while_in_doubt),
            switch("zones.shared", zones.shared),
            row("rollout.hold_ms", rollout.hold.as_millis() as f64, 0.0, MAX_HOLD_MILLIS),
            millis("targets.last_use_ms", targets.last_use),
            switch("quarantine.on", quarantine.on),
            row("quarantine.crashes", f64::from(quarantine.crashes), 1.0, MAX_FACTOR),
            row("quarantine.term_s", quarantine.term.as_secs_f64(), 1.0, MAX_SECONDS),
            switch("quarantine.callers", quarantine.callers),
            switch("quota.on", quota.on),
            row("answers.held_kb", f64::from(answers.held_kb), 1.0, MAX_KILOBYTES),
        ]
    }

    /// Validates all values.
    ///
    /// # Errors
    /// If a value is outside its range, or exceeds another that bounds it.
    pub fn check(&self) -> Result<(), Error> {
        for PolicyRow { key, value, min, max } in self.rows() {
            // NaN is in no range.
            if !(min..=max).contains(&value) {
                return Err(Error::Range(key, value, min, max));
            }
        }
        if self.second_attempts.eager_factor > self.second_attempts.patient_factor {
            let key = "second_attempts.eager_factor";
            return Err(Error::Above(key, "second_attempts.patient_factor"));
        }
        if self.admission.least_window > self.admission.first_window {
            return Err(Error::Above("admission.least_window", "admission.first_window"));
        }
        Ok(())
    }

    /// The values that differ from the defaults, as comma-separated `key=value` pairs, or
    /// `default` if none does.
    pub fn summary(&self) -> String {
        let rows = self.rows();
        let defaults = Self::default().rows();
        let changed: Vec<String> = rows
            .iter()
            .zip(&defaults)
            .filter(|(row, default)| row.value != default.value)
            .map(|(row, _)| format!("{}={}", row.key, row.value))
            .collect();
        if changed.is_empty() { "default".to_owned() } else { changed.join(",") }
    }
}
