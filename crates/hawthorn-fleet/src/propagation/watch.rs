//! Schedules this daemon's calls to the store.

use std::time::Duration;

use hawthorn_types::ConfigRevision;

use super::ConfigEdition;
use super::Options;
use super::PropagationAction;

/// Result of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It holds this edition.
    Holds(ConfigEdition),
    /// The watch ended without anything newer than the revision in force.
    Unchanged,
    /// It holds no document.
    Empty,
    /// No answer, an error, or rejected by the rate limit.
    Failed,
}

/// The call in flight and the time of the next one.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// Number of hosts of the zone that rank before this one; `None` until the zone is known.
    rank: Option<usize>,
    in_flight: bool,
    next_call_at: Duration,
    failures: u32,
    calls: u32,
}

impl WatchState {
    pub(super) fn set_rank(&mut self, rank: usize) {
        self.rank = Some(rank);
    }

    /// Whether this host watches: one of the first in rank, or a standby after a long time without
    /// a confirmation.
    pub(super) fn is_watcher(&self, unconfirmed_for: Duration, options: &Options) -> bool {
        let Some(rank) = self.rank else { return false };
        if rank < options.watchers {
            return true;
        }
        let standby_rank = rank - options.watchers + 1;
        let delays = u32::try_from(standby_rank).unwrap_or(u32::MAX);
        let delay = options.standby_delay.saturating_mul(delays);
        standby_rank <= options.standbys && unconfirmed_for > delay
    }

    /// The call to make now, if any.
    pub(super) fn next_call(
        &mut self,
        now: Duration,
        unconfirmed_for: Duration,
        after: ConfigRevision,
        options: &Options,
    ) -> Option<PropagationAction> {
        if self.in_flight || now < self.next_call_at || !self.is_watcher(unconfirmed_for, options) {
            return None;
        }
        self.in_flight = true;
        let full_read = self.calls.is_multiple_of(options.full_read_every.max(1));
        self.calls = self.calls.wrapping_add(1);
        if full_read {
            return Some(PropagationAction::ReadStore);
        }
        Some(PropagationAction::Watch { after, wait: options.watch_timeout })
    }

    /// Records an answer. `rejected` is set if it held an edition that can't come into force here.
    pub(super) fn record_answer(
        &mut self,
        now: Duration,
        answer: StoreAnswer,
        rejected: bool,
        options: &Options,
    ) {
        self.in_flight = false;
        if answer == StoreAnswer::Failed {
            let backoff = options.initial_backoff.saturating_mul(1 << self.failures.min(16));
            self.failures = self.failures.saturating_add(1);
            self.next_call_at = now + backoff.min(options.max_backoff);
            return;
        }
        self.failures = 0;
        // A store that answers a watch immediately because it is empty or behind must not be called
        // in a tight loop.
        let usable = answer != StoreAnswer::Empty && !rejected;
        self.next_call_at =
            now + if usable { options.min_call_interval } else { options.max_backoff };
    }
}
