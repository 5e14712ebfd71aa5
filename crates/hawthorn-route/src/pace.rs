//! When a host sends bulk messages, so that requests do not queue behind them on its link.
//!
//! Load: one host tells forty peers some hundred changed entries at once, by a link that
//! carries them in half a second. Each message is sent when the one before has used up
//! its share of the link.

use std::time::Duration;

/// Limits of bulk messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Bytes a second that the host's link carries.
    pub link_rate: f64,
    /// Part of the link that bulk messages may use.
    pub share: f64,
    /// Smaller messages are not delayed.
    pub min_bytes: usize,
    /// The longest delay of a message; beyond it the reader asks again.
    pub max_delay: Duration,
}

impl Options {
    /// The limits for a link that carries so many bytes a second.
    pub fn for_link(link_rate: f64) -> Self {
        Self { link_rate, share: 0.5, min_bytes: 2048, max_delay: Duration::from_millis(200) }
    }
}

/// Spaces the bulk messages of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct BulkPacer {
    free_at: Duration,
}

impl BulkPacer {
    /// How long to wait before sending a message of so many bytes, which is counted as
    /// sent; `None` when the wait would be too long, and nothing is counted.
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
