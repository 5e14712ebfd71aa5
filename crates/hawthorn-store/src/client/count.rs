//! Counts of calls, by kind and outcome.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Read a key.
    Get,
    /// Write a key.
    Put,
    /// Delete a key.
    Delete,
    /// List keys.
    List,
    /// Wait for a key to change.
    Watch,
    /// Grant or renew a lease.
    Lease,
    /// Read the list of hosts.
    Hosts,
}

/// What one exchange with the store came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// Answered as asked.
    Ok,
    /// Answered that the key is absent or the lease lapsed.
    Absent,
    /// Answered that the expectation did not hold.
    Conflict,
    /// Answered 429.
    RateLimited,
    /// Answered 503.
    Outage,
    /// Not answered before the deadline.
    Timeout,
    /// No connection was made.
    Unreachable,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// Never sent: no connection became free in time.
    QueueFull,
    /// Answered something else.
    Other,
}

/// Counters of a client, one for each kind and outcome.
#[derive(Debug, Default)]
pub struct CallCounts {
    cells: [[AtomicU64; CallOutcome::COUNT]; CallKind::COUNT],
}

impl CallCounts {
    /// Exchanges of `kind` that came to `outcome`.
    pub fn get(&self, kind: CallKind, outcome: CallOutcome) -> u64 {
        self.cells[kind as usize][outcome as usize].load(Ordering::Relaxed)
    }

    /// Every counter that is not zero.
    pub fn iter(&self) -> impl Iterator<Item = (CallKind, CallOutcome, u64)> {
        let cells = CallKind::iter()
            .flat_map(|kind| CallOutcome::iter().map(move |outcome| (kind, outcome)));
        cells
            .map(|(kind, outcome)| (kind, outcome, self.get(kind, outcome)))
            .filter(|(_, _, count)| *count > 0)
    }

    /// Exchanges that reached the store, over all kinds.
    pub fn sent(&self) -> u64 {
        let sent = |outcome: &CallOutcome| {
            !matches!(outcome, CallOutcome::QueueFull | CallOutcome::Unreachable)
        };
        self.iter().filter(|(_, outcome, _)| sent(outcome)).map(|(_, _, count)| count).sum()
    }

    pub(super) fn add(&self, kind: CallKind, outcome: CallOutcome) {
        self.cells[kind as usize][outcome as usize].fetch_add(1, Ordering::Relaxed);
    }
}
