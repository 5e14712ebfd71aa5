//! Paces bulk messages so that requests do not queue behind them on the host's link.
//!
//! Handles a host that sends several hundred changed entries to forty peers at once, over a link
//! that needs half a second for them. A message is delayed until the earlier ones have been sent
//! at the share of the link that bulk messages may use.

use std::time::Duration;

/// Limits on bulk messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Capacity of the host's link, in bytes per second.
    pub link_rate: f64,
    /// Share of the link that bulk messages may use.
    pub share: f64,
    /// Minimum size of a bulk message in bytes; smaller messages are not delayed.
    pub min_bytes: usize,
    /// Maximum delay of a message. Above it the message is not sent, and its reader retries.
    pub max_delay: Duration,
}

impl Options {
    /// The limits for a link with the given capacity in bytes per second.
    pub fn for_link(link_rate: f64) -> Self {
        Self { link_rate, share: 0.5, min_bytes: 2048, max_delay: Duration::from_millis(200) }
    }
}

/// Paces the bulk messages of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct BulkPacer {
    free_at: Duration,
}

impl BulkPacer {
    /// Returns the delay before a message of `bytes` bytes may be sent, and reserves its share
    /// of the link. Returns `None` without a reservation if the delay exceeds the maximum.
    pub fn reserve(&mut self, now: Duration, bytes: usize, options: &Options) -> Option<Duration> {
        if bytes < options.min_bytes {
            return Some(Duration::ZERO);
        }
        let delay = self.free_at.saturating_sub(now);
        if delay > options.max_delay {
            return None;
        }
        let seconds = bytes as f64 / (options.link_rate * options.share).max(1.0);
        self.free_at = now + delay + Duration::from_secs_f64(seconds);
        Some(delay)
    }
}
