//! Unix time, for what must agree between hosts.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Unix time by this host's clock.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
