//! Call counters by kind and outcome.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// Kind of a call.
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
    /// Read the platform's list of hosts.
    Hosts,
}

/// Outcome of one exchange with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// The store returned success.
    Ok,
    /// The key does not exist, or the lease has expired.
    Absent,
    /// The key did not have the expected revision.
    Conflict,
    /// The store returned 429.
    RateLimited,
    /// The store returned 503.
    Outage,
    /// No answer arrived before the deadline.
    Timeout,
    /// No connection could be established.
    Unreachable,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// Not sent: no connection became available in time.
    QueueFull,
    /// Any other outcome.
    Other,
}

/// Counters of a client, one for each kind and outcome.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Bytes of answers by kind.
    bytes: [AtomicU64; CallKind::COUNT],
    cells: [[AtomicU64; CallOutcome::COUNT]; CallKind::COUNT],
}

impl CallCounts {
    /// Number of exchanges of `kind` with `outcome`.
    pub fn get(&self, kind: CallKind, outcome: CallOutcome) -> u64 {
        self.cells[kind as usize][outcome as usize].load(Ordering::Relaxed)
    }

    /// All counters that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (CallKind, CallOutcome, u64)> {
        let cells = CallKind::iter()
            .flat_map(|kind| CallOutcome::iter().map(move |outcome| (kind, outcome)));
        cells
            .map(|(kind, outcome)| (kind, outcome, self.get(kind, outcome)))
            .filter(|(_, _, count)| *count > 0)
    }

    /// Bytes of the bodies that the store returned to calls of a kind, as far as they have arrived.
    pub fn bytes_of(&self, kind: CallKind) -> u64 {
        self.bytes[kind as usize].load(Ordering::Relaxed)
    }

    /// Bytes of the bodies that the store returned, by kind; those that are not zero.
    pub fn bytes(&self) -> impl Iterator<Item = (CallKind, u64)> {
        CallKind::iter().map(|kind| (kind, self.bytes_of(kind))).filter(|(_, bytes)| *bytes > 0)
    }

    /// Number of exchanges of all kinds that were sent to the store.
    pub fn sent(&self) -> u64 {
        let sent = |outcome: &CallOutcome| {
            !matches!(outcome, CallOutcome::QueueFull | CallOutcome::Unreachable)
        };
        self.iter().filter(|(_, outcome, _)| sent(outcome)).map(|(_, _, count)| count).sum()
    }

    pub(super) fn add_bytes(&self, kind: CallKind, bytes: usize) {
        self.bytes[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add(&self, kind: CallKind, outcome: CallOutcome) {
        self.cells[kind as usize][outcome as usize].fetch_add(1, Ordering::Relaxed);
    }
}
