//! Options of the configuration propagation.

use std::time::Duration;

/// Intervals and limits of the configuration propagation.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of daemons of each zone that watch the store. Two, so that one that hangs causes no
    /// delay; not more, because each open watch counts as a call.
    pub watchers: usize,
    /// Number of further daemons that watch after a long time without a confirmation, in case only
    /// the watchers are cut off from the store. Limited, because otherwise the whole fleet would
    /// call the store during an outage.
    pub standbys: usize,
    /// Age of the last confirmation at which the first standby watches; the next one starts at
    /// twice this age.
    pub standby_delay: Duration,
    /// How long a daemon waits before its first call. When all daemons of a fleet start at once,
    /// each knows no other and considers itself a watcher. Within this time it learns of the
    /// others.
    pub startup_delay: Duration,
    /// How long the store may hold a watch open.
    pub watch_timeout: Duration,
    /// Every this many calls the key is read in full, because a watch can't show that the store
    /// went back to an older value.
    pub full_read_every: u32,
    /// Interval between an answer and the next call: limits a watcher to ten calls a second during
    /// a burst of edits.
    pub min_call_interval: Duration,
    /// The first wait after a failed call; doubles up to `max_backoff`.
    pub initial_backoff: Duration,
    /// Maximum wait after a failed call.
    pub max_backoff: Duration,
    /// Time without a result after which a pull is retried at another peer.
    pub pull_timeout: Duration,
    /// Peers whose digest a daemon that can't reach the store must receive before it assumes that
    /// it knows the newest revision.
    pub ready_peers: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            watchers: 2,
            standbys: 2,
            standby_delay: Duration::from_secs(20),
            startup_delay: Duration::from_millis(1_000),
            watch_timeout: Duration::from_secs(10),
            full_read_every: 4,
            min_call_interval: Duration::from_millis(100),
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(5),
            pull_timeout: Duration::from_secs(1),
            ready_peers: 3,
        }
    }
}
