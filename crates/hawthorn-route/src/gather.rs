//! When a query over many shards is answered, and with what.

use std::time::Duration;

use serde::Deserialize;

/// Which answers leave before they are whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// At the aim a query is answered with the parts that are in.
    pub part_answers: bool,
    /// A peer goes on after the aim while the answer needs what is missing.
    pub beyond_aim: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { part_answers: true, beyond_aim: true }
    }
}

/// Where a query stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatherState {
    /// Shards of the query.
    pub shards: usize,
    /// Parts that are in.
    pub parts: usize,
    /// Shards that certainly will not answer any more.
    pub lost: usize,
    /// Share of the shards without which there is no answer.
    pub min_share: f64,
}

/// What to do with the query now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatherStep {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts that are in.
    Answer,
    /// Too few parts can come.
    Fail,
}

impl GatherState {
    /// The parts that are in are enough for an answer.
    pub fn is_sufficient(&self) -> bool {
        self.share_of(self.parts) >= self.min_share && self.parts > 0
    }

    fn share_of(&self, parts: usize) -> f64 {
        if self.shards == 0 { 0.0 } else { parts as f64 / self.shards as f64 }
    }

    /// Shards that the answer may do without.
    pub fn max_missing(&self) -> usize {
        let needed = (self.shards as f64 * self.min_share).ceil() as usize;
        self.shards.saturating_sub(needed)
    }

    /// Decides on the query; `aim_left` is the time until the answer loses
    /// worth to the caller, zero once it has passed.
    ///
    /// Within the aim it waits for every shard. At the aim it answers with what
    /// is in, if that is enough: a caller values an answer by the square of its
    /// coverage within the aim (0.79 at least for a share of 0.89) and at a
    /// tenth after it, so a missing shard costs less than being late for it.
    /// Beyond the aim it answers as soon as there is enough.
    pub fn step(&self, aim_left: Duration, options: &Options) -> GatherStep {
        if self.parts + self.lost >= self.shards {
            return if self.is_sufficient() { GatherStep::Answer } else { GatherStep::Fail };
        }
        if self.share_of(self.shards - self.lost) < self.min_share {
            return GatherStep::Fail;
        }
        if aim_left.is_zero() && self.is_sufficient() && options.part_answers {
            return GatherStep::Answer;
        }
        GatherStep::Wait
    }
}
