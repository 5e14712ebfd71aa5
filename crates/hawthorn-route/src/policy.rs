//! The limits and switches of all decisions, as operators set them.
//!
//! Each decision has its own `Options`, with what a value means and where its
//! default comes from. Here they are one table, which is checked as a whole.

use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;

use crate::admission;
use crate::gather;
use crate::hedge;
use crate::placement;
use crate::quarantine;
use crate::reachability;
use crate::registry;
use crate::rollout;
use crate::scatter;
use crate::send_deadline;
use crate::skip;

quick_error! {
    /// Why a policy was not accepted.
    #[derive(Debug, PartialEq)]
    pub enum Error {
        /// A value is outside its range.
        Range(key: &'static str, value: f64, min: f64, max: f64) {
            display("policy.{key}: {value} is not within {min} to {max}")
        }
        /// Two values contradict each other.
        Above(key: &'static str, other: &'static str) {
            display("policy.{key}: above policy.{other}")
        }
    }
}

/// Answers of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerOptions {
    /// Kilobytes of a target's answer that are held, so that one that breaks before
    /// can be asked for again. 64: nearly all answers are shorter, and as many
    /// requests as may be open hold half of a small host's memory.
    pub held_kb: u32,
}

impl Default for AnswerOptions {
    fn default() -> Self {
        Self { held_kb: 64 }
    }
}

/// How requests are decided on; each part is the `Options` of one module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutePolicy {
    /// When answers leave.
    pub departure: send_deadline::Options,
    /// Which target an attempt goes to.
    pub placing: placement::Options,
    /// When an attempt counts as late.
    pub second_attempts: hedge::Options,
    /// Which shards are not asked for.
    pub skipping: skip::Options,
    /// Which queries are admitted.
    pub admission: admission::Options,
    /// Which shards peers gather.
    pub gatherers: scatter::Options,
    /// Which answers leave before they are whole.
    pub gathering: gather::Options,
    /// What the balancer is told of zones that are cut off.
    pub zones: reachability::Options,
    /// When versions of the routes come into force.
    pub rollout: rollout::Options,
    /// How targets are remembered.
    pub targets: registry::Options,
    /// When requests that crash targets are refused.
    pub quarantine: quarantine::Options,
    /// How answers are held.
    pub answers: AnswerOptions,
}

/// One value of a policy: a switch is 0 or 1, a time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyRow {
    /// Its key below `policy`.
    pub key: &'static str,
    /// What it is.
    pub value: f64,
    /// The min it may be.
    pub min: f64,
    /// The most it may be.
    pub max: f64,
}

/// Factors, and queries in flight, at the most.
const MOST_TIMES: f64 = 1000.0;
/// Times, at the most: a minute. No caller waits longer.
const MOST_MILLIS: f64 = 60_000.0;
/// Delay of a version of the routes, at the most: a part of the time in which it has to be in
/// force.
const MOST_HOLD_MILLIS: f64 = 1000.0;
/// Seconds, at the most: an hour.
const MOST_SECONDS: f64 = 3600.0;
/// Kilobytes of one answer, at the most: a small host's memory.
const MOST_KILOBYTES: f64 = 65_536.0;
/// Shards of one query, at the most: their places are counted in 16 bits.
const MOST_SHARDS: f64 = 65_535.0;

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
    row(key, value, 1.0, MOST_TIMES)
}

fn millis(key: &'static str, time: Duration) -> PolicyRow {
    row(key, time.as_secs_f64() * 1000.0, 0.0, MOST_MILLIS)
}

impl RoutePolicy {
    /// Every value with its range.
    pub fn rows(&self) -> Vec<PolicyRow> {
        let Self { departure, placing, second_attempts, skipping, admission, .. } = self;
        let Self { gatherers, gathering, zones, rollout, targets, quarantine, answers, .. } = self;
        vec![
            switch("departure.on", departure.on),
            share("departure.least_share", departure.least_share),
            share("departure.lag_share", departure.lag_share),
            share("departure.late_share", departure.late_share),
            share("departure.margin_share", departure.margin_share),
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
            row("skipping.time_share", skipping.time_share, 0.0, MOST_TIMES),
            switch("admission.on", admission.on),
            factor("admission.first_window", admission.first_window),
            factor("admission.least_window", admission.least_window),
            share("admission.standing_share", admission.standing_share),
            share("admission.ordinary_share", admission.ordinary_share),
            share("admission.fair_share", admission.fair_share),
            share("admission.turned_away_share", admission.turned_away_share),
            millis("admission.crowded_ms", admission.crowded_time),
            switch("gatherers.on", gatherers.on),
            switch("gatherers.replaces_silent", gatherers.replaces_silent),
            row("gatherers.least_shards", gatherers.least_shards as f64, 1.0, MOST_SHARDS),
            switch("gathering.part_answers", gathering.part_answers),
            switch("gathering.beyond_aim", gathering.beyond_aim),
            switch("zones.step_aside", zones.step_aside),
            switch("zones.while_in_doubt", zones.while_in_doubt),
            row("rollout.hold_ms", rollout.hold.as_millis() as f64, 0.0, MOST_HOLD_MILLIS),
            millis("targets.last_use_ms", targets.last_use),
            switch("quarantine.on", quarantine.on),
            row("quarantine.crashes", f64::from(quarantine.crashes), 1.0, MOST_TIMES),
            row("quarantine.term_s", quarantine.term.as_secs_f64(), 1.0, MOST_SECONDS),
            switch("quarantine.callers", quarantine.callers),
            row("answers.held_kb", f64::from(answers.held_kb), 1.0, MOST_KILOBYTES),
        ]
    }

    /// Checks every value.
    ///
    /// # Errors
    /// When a value is outside its range, or contradicts another.
    pub fn check(&self) -> Result<(), Error> {
        for PolicyRow { key, value, min, max } in self.rows() {
            // What is not a number is in no range.
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

    /// What differs from the defaults, as `key=value`, comma between; `default` when
    /// nothing does.
    pub fn summary(&self) -> String {
        let rows = self.rows();
        let usual = Self::default().rows();
        let changed: Vec<String> = rows
            .iter()
            .zip(&usual)
            .filter(|(row, usual)| row.value != usual.value)
            .map(|(row, _)| format!("{}={}", row.key, row.value))
            .collect();
        if changed.is_empty() { "default".to_owned() } else { changed.join(",") }
    }
}
