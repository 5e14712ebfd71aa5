//! Time as the decisions see it: microseconds since the process started,
//! always passed in, so that a test can run it as fast as it likes.

use std::time::Duration;

/// A point in time, in microseconds since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TickTime(pub u64);

impl TickTime {
    /// The point `span` later.
    pub fn after(self, span: Duration) -> Self {
        self.plus(micros(span))
    }

    /// The span from `earlier` to here; zero when `earlier` is later.
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

/// `span` in whole microseconds; spans beyond half a million years saturate.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
