//! Counters by rejection and retry reason, and gauges.

use strum::EnumCount;

use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RetryReason;
use hawthorn_types::UnknownReason;

/// Totals since the owner started, and gauges. Counters count pieces unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCounters {
    /// Pieces accepted into a queue.
    pub queued: u64,
    /// Pieces answered.
    pub answered: u64,
    /// Attempts sent, including hedges and retries.
    pub attempts: u64,
    /// Non-idempotent pieces that ran without a usable answer.
    pub failed: u64,
    /// Pieces cancelled by the front.
    pub cancelled: u64,
    /// Hedges not sent because no slot was available for hedging.
    pub hedges_without_slot: u64,
    /// Pieces whose attempts were cancelled and replaced by a new one; also counted as hedges.
    pub restarts: u64,
    /// Hedges and relays not sent because the budget was spent.
    pub hedges_without_budget: u64,
    /// Answers to attempts whose piece was already finished; discarded.
    pub late_answers: u64,
    /// Reported ends of attempts that this owner does not know; discarded.
    pub unknown_attempts: u64,
    /// Answers that did not match their attempt; discarded.
    pub crossed_answers: u64,
    /// Cancelled attempts that were not acknowledged, so that their connection was closed.
    pub unacknowledged: u64,
    /// Ejections of targets.
    pub ejections: u64,
    /// Ejections skipped because too few replicas would have remained.
    pub ejections_skipped: u64,
    /// Gauge: queued pieces, urgent and normal.
    pub waiting: [u32; 2],
    /// Gauge: slots in use.
    pub slots_in_use: u32,
    refused: [u64; RefusalReason::COUNT],
    missing: [u64; MissingReason::COUNT],
    unknown: [u64; UnknownReason::COUNT],
    retried: [u64; RetryReason::COUNT],
}

impl Default for OwnerCounters {
    fn default() -> Self {
        Self {
            queued: 0,
            answered: 0,
            attempts: 0,
            failed: 0,
            cancelled: 0,
            hedges_without_slot: 0,
            restarts: 0,
            hedges_without_budget: 0,
            late_answers: 0,
            unknown_attempts: 0,
            crossed_answers: 0,
            unacknowledged: 0,
            ejections: 0,
            ejections_skipped: 0,
            waiting: [0; 2],
            slots_in_use: 0,
            refused: [0; RefusalReason::COUNT],
            missing: [0; MissingReason::COUNT],
            unknown: [0; UnknownReason::COUNT],
            retried: [0; RetryReason::COUNT],
        }
    }
}

impl OwnerCounters {
    /// Pieces not run for `reason`, rejected on arrival or later.
    pub fn refused(&self, reason: RefusalReason) -> u64 {
        self.refused[reason as usize]
    }

    /// Pieces without an answer for `reason`.
    pub fn missing(&self, reason: MissingReason) -> u64 {
        self.missing[reason as usize]
    }

    /// Pieces whose outcome is unknown for `reason`.
    pub fn unknown(&self, reason: UnknownReason) -> u64 {
        self.unknown[reason as usize]
    }

    /// Extra attempts sent for `reason`.
    pub fn retried(&self, reason: RetryReason) -> u64 {
        self.retried[reason as usize]
    }

    pub(crate) fn count_refused(&mut self, reason: RefusalReason) {
        self.refused[reason as usize] += 1;
    }

    pub(crate) fn count_missing(&mut self, reason: MissingReason) {
        self.missing[reason as usize] += 1;
    }

    pub(crate) fn count_unknown(&mut self, reason: UnknownReason) {
        self.unknown[reason as usize] += 1;
    }

    pub(crate) fn count_retried(&mut self, reason: RetryReason) {
        self.retried[reason as usize] += 1;
    }
}
