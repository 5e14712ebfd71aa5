//! When this daemon calls the store.

use std::time::Duration;

use hawthorn_types::ConfigRevision;

use super::ConfigEdition;
use super::Options;
use super::PropagationAction;

/// What a call to the store came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It holds this edition.
    Holds(ConfigEdition),
    /// The watch ended without anything newer than the revision in force.
    Unchanged,
    /// It holds no document.
    Empty,
    /// No answer, an error, or a refusal over the rate.
    Failed,
}

/// The call that is out and the one due next.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// How many hosts of the zone come before this one; none until the zone is known.
    rank: Option<usize>,
    waiting: bool,
    due: Duration,
    failures: u32,
    calls: u32,
}

impl WatchState {
    pub(super) fn set_rank(&mut self, rank: usize) {
        self.rank = Some(rank);
    }

    /// Whether this host watches: one of the first in rank, or a stand-in when
    /// nothing was confirmed for long.
    pub(super) fn is_watcher(&self, quiet: Duration, options: &Options) -> bool {
        let Some(rank) = self.rank else { return false };
        if rank < options.watchers {
            return true;
        }
        let order = rank - options.watchers + 1;
        let order_limit = u32::try_from(order).unwrap_or(u32::MAX);
        let patience = options.standby_delay.saturating_mul(order_limit);
        order <= options.standbys && quiet > patience
    }

    /// The call to make now, if any.
    pub(super) fn due(
        &mut self,
        now: Duration,
        quiet: Duration,
        after: ConfigRevision,
        options: &Options,
    ) -> Option<PropagationAction> {
        if self.waiting || now < self.due || !self.is_watcher(quiet, options) {
            return None;
        }
        self.waiting = true;
        let whole = self.calls.is_multiple_of(options.full_read_every.max(1));
        self.calls = self.calls.wrapping_add(1);
        if whole {
            return Some(PropagationAction::ReadStore);
        }
        Some(PropagationAction::Watch { after, wait: options.watch_timeout })
    }

    /// Notes an answer; `refused` when it held something that must not come
    /// into force here.
    pub(super) fn answered(
        &mut self,
        now: Duration,
        answer: StoreAnswer,
        refused: bool,
        options: &Options,
    ) {
        self.waiting = false;
        if answer == StoreAnswer::Failed {
            let doubled = options.initial_backoff.saturating_mul(1 << self.failures.min(16));
            self.failures = self.failures.saturating_add(1);
            self.due = now + doubled.min(options.max_backoff);
            return;
        }
        self.failures = 0;
        // A store that answers a watch at once, empty or behind, is not asked
        // in a tight loop.
        let settled = answer != StoreAnswer::Empty && !refused;
        self.due = now + if settled { options.min_call_interval } else { options.max_backoff };
    }
}
