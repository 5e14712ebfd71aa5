//! What a test can make a target do wrong.

use hawthorn_types::target::TargetPhase;

/// Faults in force at a target. The counted ones are used up one an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFaults {
    /// Refuses all work as shedding.
    pub shedding: bool,
    /// Service times are multiplied by this.
    pub slow_factor: f64,
    /// `/state` says this instead of the truth.
    pub state_lie: Option<StateLie>,
    /// The next so many searches get another request's answer.
    pub mismatched_answers: u32,
    /// The next so many searches get an answer padded by
    /// [`oversized_bytes`](Self::oversized_bytes).
    pub oversized_answers: u32,
    /// The padding of an oversized answer.
    pub oversized_bytes: usize,
    /// The next so many attempts run, and then the connection closes without an answer.
    pub lost_answers: u32,
    /// The next so many runs run and answer 500.
    pub failed_runs: u32,
    /// The next so many searches get bytes that are not the contract's JSON.
    pub malformed_answers: u32,
    /// `/cancel` is accepted and has no effect.
    pub ignore_cancel: bool,
    /// `/intent` is accepted and has no effect.
    pub ignore_intent: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            shedding: false,
            slow_factor: 1.0,
            state_lie: None,
            mismatched_answers: 0,
            oversized_answers: 0,
            oversized_bytes: 16 << 20,
            lost_answers: 0,
            failed_runs: 0,
            malformed_answers: 0,
            ignore_cancel: false,
            ignore_intent: false,
        }
    }
}

/// What a misleading `/state` says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateLie {
    /// The phase claimed.
    pub phase: TargetPhase,
    /// The number of busy slots claimed.
    pub busy: u32,
}

/// Uses up one of `count`; whether there was one.
pub(super) fn use_up(count: &mut u32) -> bool {
    let had = *count > 0;
    *count = count.saturating_sub(1);
    had
}
