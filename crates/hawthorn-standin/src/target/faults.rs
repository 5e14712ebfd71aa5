//! Faults that a test can inject into a target.

use hawthorn_types::target::TargetPhase;

/// Active faults of a target. Each attempt consumes one of a counted fault.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFaults {
    /// All work is refused with the reason `Shedding`.
    pub shedding: bool,
    /// Factor on service times.
    pub slow_factor: f64,
    /// Replaces the phase and busy slots in `/state`.
    pub state_override: Option<StateOverride>,
    /// Number of next searches that receive the answer to another request.
    pub mismatched_answers: u32,
    /// Number of next searches whose answer is padded by
    /// [`oversized_bytes`](Self::oversized_bytes).
    pub oversized_answers: u32,
    /// Padding of an oversized answer in bytes.
    pub oversized_bytes: usize,
    /// Number of next attempts that run and whose connection is closed without an answer.
    pub lost_answers: u32,
    /// Number of next non-idempotent requests that run and are answered with status 500.
    pub failed_runs: u32,
    /// Number of next searches that are answered with invalid JSON.
    pub malformed_answers: u32,
    /// `/cancel` is acknowledged without effect.
    pub ignore_cancel: bool,
    /// `/intent` is acknowledged without effect.
    pub ignore_intent: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            shedding: false,
            slow_factor: 1.0,
            state_override: None,
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

/// Values that `/state` reports instead of the actual ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateOverride {
    /// The reported phase.
    pub phase: TargetPhase,
    /// The reported number of busy slots.
    pub busy: u32,
}

/// Decrements `count`; returns whether it was above zero.
pub(super) fn take_one(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}
