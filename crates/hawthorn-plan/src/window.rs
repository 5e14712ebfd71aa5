//! How many queries of one caller a front has in flight at once, learnt from
//! how they end.
//!
//! The load it is for: callers that ask for more than the targets can do, one
//! of them or all together. Owners queue fairly, so a flood's pieces wait and
//! others' do not, but without a bound at the door the flood's queries each get
//! some of their pieces and none of them all: the targets work, nobody gets a
//! whole answer, and every answer takes the whole deadline. The harm is in the
//! part of a query that is searched for nothing. A window closes the door
//! before the queues are long, caller by caller, and what is admitted is whole.

use std::time::Duration;

/// Limits of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Queries in flight at first. With 8 entry hosts, 3 callers and shards of
    /// 4 slots it is a queue of 24 pieces a slot row, 120 ms at 5 ms each: a
    /// burst at the start does not eat a deadline of half a second. Calm callers
    /// have one or two in flight, and good answers widen it within a few.
    pub initial: f64,
    /// Never fewer than this, so that a caller always learns when it is over.
    pub min: f64,
    /// Never more than this.
    pub max: f64,
    /// Pieces waited longer than this for a slot: the queue stands. Half of
    /// what 99 in 100 whole answers may take.
    pub standing_wait: Duration,
    /// What is left of the window after such a query.
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

/// What a query that ended says of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryFeedback {
    /// The longest time that one of its pieces waited for a slot.
    pub queue_wait: Duration,
    /// Whether a piece of it was turned away for load, or waited in vain.
    pub rejected: bool,
    /// How long it took.
    pub elapsed: Duration,
}

/// The window of one caller. Additive increase, multiplicative decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerWindow {
    /// None before the first query ended.
    size: Option<f64>,
    shrunk_at: Option<Duration>,
}

impl CallerWindow {
    /// Whether one more query may be admitted beside `held` ones.
    pub fn allows(&self, held: u32, options: &Options) -> bool {
        f64::from(held) < self.size(options)
    }

    /// Queries that may be in flight at once.
    pub fn size(&self, options: &Options) -> f64 {
        self.size.unwrap_or(options.initial).clamp(options.min, options.max)
    }

    /// Takes in how a query ended, with `held` in flight until then.
    ///
    /// Shrinks at most once in the time of a query: those in flight were
    /// admitted by the window before, and say the same thing again. Grows only
    /// while it is used: an idle caller's window says nothing.
    pub fn update(&mut self, now: Duration, held: u32, end: &QueryFeedback, options: &Options) {
        let size = self.size(options);
        let is_standing = end.queue_wait > options.standing_wait;
        if is_standing || end.rejected {
            let since = self.shrunk_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
            if since >= end.elapsed {
                self.size = Some((size * options.decrease_factor).max(options.min));
                self.shrunk_at = Some(now);
            }
        } else if f64::from(held) * 2.0 >= size {
            self.size = Some((size + 1.0 / size).min(options.max));
        }
    }
}
