//! When a scatter-gather query is answered, and with which parts.

use std::time::Duration;

use serde::Deserialize;

/// Which partial answers are returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether a query is answered at its soft deadline with the parts received so far.
    pub part_answers: bool,
    /// Whether a peer continues after the soft deadline while the answer needs its missing
    /// parts.
    pub beyond_aim: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { part_answers: true, beyond_aim: true }
    }
}

/// Progress of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatherState {
    /// Shards of the query.
    pub shards: usize,
    /// Parts received.
    pub parts: usize,
    /// Shards that have failed for good.
    pub lost: usize,
    /// Minimum share of the shards that an answer must cover.
    pub min_share: f64,
}

/// The next step of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherStep {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts received.
    Answer,
    /// Fail: too few parts can still arrive.
    Fail,
}

impl GatherState {
    /// Whether the parts received are sufficient for an answer.
    pub fn is_sufficient(&self) -> bool {
        self.share_of(self.parts) >= self.min_share && self.parts > 0
    }

    fn share_of(&self, parts: usize) -> f64 {
        if self.shards == 0 { 0.0 } else { parts as f64 / self.shards as f64 }
    }

    /// Maximum number of shards that may be missing from the answer.
    pub fn max_missing(&self) -> usize {
        let needed = (self.shards as f64 * self.min_share).ceil() as usize;
        self.shards.saturating_sub(needed)
    }

    /// Returns the next step. `soft_time_left` is the time until the soft deadline, zero once
    /// it has passed.
    ///
    /// Before the soft deadline, the query waits for all shards. At the soft deadline it is
    /// answered with the parts received, if they are sufficient. The value of an answer is the
    /// square of its coverage before the soft deadline (0.79 for a coverage of 0.89) and a
    /// tenth of it afterwards, so that a missing shard costs less than a late answer. After
    /// the soft deadline it is answered as soon as the parts are sufficient.
    pub fn step(&self, soft_time_left: Duration, options: &Options) -> GatherStep {
        if self.parts + self.lost >= self.shards {
            return if self.is_sufficient() { GatherStep::Answer } else { GatherStep::Fail };
        }
        if self.share_of(self.shards - self.lost) < self.min_share {
            return GatherStep::Fail;
        }
        if soft_time_left.is_zero() && self.is_sufficient() && options.part_answers {
            return GatherStep::Answer;
        }
        GatherStep::Wait
    }
}
