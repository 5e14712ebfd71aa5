//! Unix time, for values that hosts compare with each other.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Current Unix time by this host's clock.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
