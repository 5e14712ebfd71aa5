//! Rates and lags of the platform.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

/// How to start the platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Writes a second before 429: "several hundred".
    pub writes_per_second: u32,
    /// Reads a second before 429; a waiting watch counts as one.
    pub reads_per_second: u32,
    /// How long each call takes.
    pub delay: Duration,
    /// How far the list of hosts lags.
    pub host_lag: Duration,
    /// The longest a watch waits, whatever it asks for.
    pub watch_limit: Duration,
    /// Stops it.
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
