//! Times and bounds of the spread.

use std::time::Duration;

/// Times and bounds of the spread.
#[derive(Clone, Debug)]
pub struct Options {
    /// Daemons of each zone that watch the store. Two, so that one that hangs
    /// delays nobody; not more, as each waiting watch counts as a call.
    pub watchers: usize,
    /// Further daemons that watch when no confirmation came for long: the
    /// watchers may be cut off from the store alone. Bounded, since in an
    /// outage of the store the whole fleet would otherwise call it.
    pub standbys: usize,
    /// The age of the last confirmation at which the first stand-in watches;
    /// the next one at twice this age.
    pub standby_delay: Duration,
    /// How long a daemon waits before its first call. Failure: when all daemons
    /// of a fleet start at once, each knows nobody yet and takes itself for a
    /// watcher. Within this time it hears who else is there.
    pub startup_delay: Duration,
    /// How long the store may hold a watch open.
    pub watch_timeout: Duration,
    /// Every so many calls the key is read whole, as a watch can't show that
    /// the store went back to an older value.
    pub full_read_every: u32,
    /// Between an answer and the next call: bounds the calls of a watcher
    /// during a burst of edits to ten a second.
    pub min_call_interval: Duration,
    /// The first wait after a failed call; doubles up to `max_backoff`.
    pub initial_backoff: Duration,
    /// The longest wait after a failed call.
    pub max_backoff: Duration,
    /// A pull without a result for so long is tried at another peer.
    pub pull_timeout: Duration,
    /// Peers that must be heard before a daemon that can't reach the store
    /// trusts that it knows the newest revision.
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
