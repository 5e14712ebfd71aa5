//! The schedule of a planned stop.
//!
//! Handles callers that keep connections to a stopping host and send requests on them until it
//! exits, while targets have queues. A request that the host has read and cannot send would end
//! with its connection, and its caller could not tell whether it ran. So the host sends nothing
//! whose answer would not arrive before it exits, and answers every request before that.

use std::time::Duration;

/// Time after the stop signal during which callers still connect: the balancer probes once a
/// second and removes a host after two failed probes.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2600);
/// Share of the grace period after which idle connections are closed. Until then, callers can
/// close them after a response with `Connection: close`.
const IDLE_CLOSE_SHARE: f64 = 0.75;
/// Share of the grace period after which requests that are still open are answered with what is
/// known of them.
const FINAL_ANSWER_SHARE: f64 = 0.93;
/// Share of the grace period after which the process exits, whatever is still open.
const EXIT_SHARE: f64 = 0.96;

/// The moments of a planned stop, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    started: Duration,
    grace: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a stop that was signalled at `started`, `grace` before the process is
    /// killed.
    pub fn new(started: Duration, grace: Duration) -> Self {
        Self { started, grace }
    }

    /// When the stop was signalled.
    pub fn started(&self) -> Duration {
        self.started
    }

    /// When the balancer sends no more callers, and the process may exit once it has none.
    pub fn drained_at(&self) -> Duration {
        self.started + BALANCER_DRAIN_TIME
    }

    /// When idle connections are closed.
    pub fn idle_close_at(&self) -> Duration {
        self.started + self.grace.mul_f64(IDLE_CLOSE_SHARE)
    }

    /// When requests that are still open are answered with what is known of them.
    pub fn final_answer_at(&self) -> Duration {
        self.started + self.grace.mul_f64(FINAL_ANSWER_SHARE)
    }

    /// When the process exits, whatever is still open.
    pub fn exit_at(&self) -> Duration {
        self.started + self.grace.mul_f64(EXIT_SHARE)
    }

    /// The last moment to begin work that takes `expected`; may precede the signal.
    pub fn last_start(&self, expected: Duration) -> Duration {
        self.final_answer_at().saturating_sub(expected)
    }
}
