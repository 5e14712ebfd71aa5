//! Rate limits and delays of the platform.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

/// Options of the platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Writes per second; further ones are answered with status 429. The users' figure
    /// is "several hundred".
    pub writes_per_second: u32,
    /// Reads per second; further ones are answered with status 429. A watch counts as
    /// one read.
    pub reads_per_second: u32,
    /// Delay of each call.
    pub delay: Duration,
    /// Delay until the list of hosts shows a change.
    pub host_lag: Duration,
    /// Maximum duration of a watch, regardless of the requested one.
    pub watch_limit: Duration,
    /// Stops the platform when cancelled.
    pub stop: CancellationToken,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            writes_per_second: 300,
            reads_per_second: 2000,
            delay: Duration::from_millis(2),
            host_lag: Duration::from_secs(2),
            watch_limit: Duration::from_secs(30),
            stop: CancellationToken::new(),
        }
    }
}
