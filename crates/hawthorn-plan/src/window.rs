//! Adaptive limit on each caller's queries in flight, driven by queue waits and
//! rejections.
//!
//! Handles callers that together, or one alone, send more than the targets can
//! serve. Owners queue fairly between callers, but without admission control each
//! query of a flood would get only some of its pieces: targets stay busy, answers
//! are incomplete and take the full deadline, and the pieces searched are wasted.
//! The window limits concurrency before queues grow, so that admitted queries
//! complete.

use std::time::Duration;

/// Parameters of a [`CallerWindow`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Initial size, in queries in flight. With 8 entry hosts, 3 callers and shards
    /// of 4 slots, an initial burst queues 24 pieces per slot, 120 ms at 5 ms each,
    /// which fits into a deadline of 500 ms. Callers under normal load have one or
    /// two queries in flight, and a few good answers widen the window.
    pub initial: f64,
    /// Lower bound, so that there are always queries that detect the end of an overload.
    pub min: f64,
    /// Upper bound.
    pub max: f64,
    /// A longer wait of a piece for a slot indicates a standing queue. Half of the
    /// target latency of complete answers, a 99th percentile.
    pub standing_wait: Duration,
    /// Factor by which a standing queue or a rejection shrinks the window.
    pub decrease_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            initial: 4.0,
            min: 1.0,
            max: 512.0,
            standing_wait: Duration::from_millis(25),
            decrease_factor: 0.7,
        }
    }
}

/// The load that a query observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryFeedback {
    /// The longest wait of one of its pieces for a slot.
    pub queue_wait: Duration,
    /// Whether one of its pieces was rejected because of load, or expired in a queue.
    pub rejected: bool,
    /// The time from admission to answer.
    pub elapsed: Duration,
}

/// Concurrency window of one caller: additive increase, multiplicative decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerWindow {
    /// `None` until the first change.
    size: Option<f64>,
    shrunk_at: Option<Duration>,
}

impl CallerWindow {
    /// Whether one more query may be admitted in addition to `in_flight` ones.
    pub fn allows(&self, in_flight: u32, options: &Options) -> bool {
        f64::from(in_flight) < self.size(options)
    }

    /// Maximum number of queries in flight.
    pub fn size(&self, options: &Options) -> f64 {
        self.size.unwrap_or(options.initial).clamp(options.min, options.max)
    }

    /// Updates the window from a query that ended; `in_flight` includes that query.
    ///
    /// Shrinks at most once per query time, because queries admitted before the
    /// last decrease report the same overload again. Grows only while at least half
    /// of it is used, because an idle caller gives no evidence of spare capacity.
    pub fn update(
        &mut self,
        now: Duration,
        in_flight: u32,
        feedback: &QueryFeedback,
        options: &Options,
    ) {
        let size = self.size(options);
        let has_standing_queue = feedback.queue_wait > options.standing_wait;
        if has_standing_queue || feedback.rejected {
            let since = self.shrunk_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
            if since >= feedback.elapsed {
                self.size = Some((size * options.decrease_factor).max(options.min));
                self.shrunk_at = Some(now);
            }
        } else if f64::from(in_flight) * 2.0 >= size {
            self.size = Some((size + 1.0 / size).min(options.max));
        }
    }
}
