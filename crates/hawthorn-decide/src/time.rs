//! Time in microseconds since the process started. It is always passed in, so that tests can run
//! in virtual time.

use std::time::Duration;

/// A point in time, in microseconds since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TickTime(pub u64);

impl TickTime {
    /// The time `span` later, saturating.
    pub fn after(self, span: Duration) -> Self {
        self.plus(micros(span))
    }

    /// The duration since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros_since(earlier))
    }

    pub(crate) fn plus(self, span: u64) -> Self {
        Self(self.0.saturating_add(span))
    }

    pub(crate) fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Converts to whole microseconds; durations beyond half a million years saturate.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
