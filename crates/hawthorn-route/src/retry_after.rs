//! When a refused caller should retry.
//!
//! Handles many callers that are refused within a second, because queues are full or their host
//! is partitioned. Without jitter they would retry at the same time. A retry that is too early
//! is refused as well, and a caller retries only once. The delay is kept short because callers
//! wait for no longer than a part of their timeout, whatever the response asks for.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::outcome::RefusalReason;

/// Time after which the load balancer sends callers to other hosts: it probes readiness once a
/// second and acts on the second failed probe.
const BALANCER_DELAY: Duration = Duration::from_millis(2200);

/// The delay after which a refused caller should retry, with jitter. `not_ready_for` is how
/// long this host has been failing its readiness probe because other hosts serve its callers
/// better or it is stopping, if it does.
pub fn retry_after(
    reason: RefusalReason,
    not_ready_for: Option<Duration>,
    rng: &mut impl Rng,
) -> Duration {
    let (min, max) = match reason {
        // A starting host reads the configuration within a few hundred milliseconds.
        RefusalReason::NoConfiguration => (0.2, 0.4),
        // A crashed target restarts within seconds.
        RefusalReason::NoTarget | RefusalReason::Unreachable => (0.2, 0.35),
        // A queue of a dozen requests on two slots drains within a tenth of a second.
        RefusalReason::TargetsFull => (0.03, 0.1),
        // Capacity is available again when queries in flight end. Bursts last longer, and
        // retries spread over a quarter of a second use the capacity as it becomes free.
        RefusalReason::HostFull => (0.05, 0.25),
        // The budget's window slides by a tenth of its length.
        RefusalReason::BudgetSpent => (0.1, 0.3),
        // Used only if a confirmation is overdue; see [`after_confirmation`].
        RefusalReason::StaleKeys => (0.3, 0.8),
        // Answered with 401, which carries no time.
        RefusalReason::KeyRevoked => (1.0, 2.0),
        // Used only if the time of the next token is unknown.
        RefusalReason::OverQuota => (0.2, 0.5),
        RefusalReason::NoQuota => (0.1, 0.3),
        RefusalReason::Overloaded => (0.05, 0.25),
        RefusalReason::TooLate => (0.01, 0.05),
        // Other hosts serve the caller as soon as the balancer has reacted.
        RefusalReason::Stopping => (0.01, 0.1),
        // Used only if the end of the refusal term is unknown.
        RefusalReason::Quarantined => (1.0, 2.0),
        // A retry reaches another host, which may have a newer version.
        RefusalReason::StaleConfiguration => (0.05, 0.25),
        // Used only if the time at which the version comes into force is unknown.
        RefusalReason::NotInForce => (0.05, 0.25),
    };
    let delay = Duration::from_secs_f64(rng.random_range(min..max));
    let until_moved =
        not_ready_for.map_or(Duration::ZERO, |since| BALANCER_DELAY.saturating_sub(since));
    match reason {
        // Callers of a partitioned zone that retry at once reach the same zone and are refused
        // for good. After the balancer has reacted, another zone serves them.
        RefusalReason::NoTarget | RefusalReason::Unreachable | RefusalReason::Stopping => {
            until_moved + delay
        }
        _ => delay,
    }
}

/// The delay after which a caller should retry whose key could not be checked because the
/// configuration is stale: until the host expects its next confirmation, with jitter. `None` if
/// no confirmation is expected, or it is overdue.
pub fn after_confirmation(
    expected: Option<Duration>,
    now: Duration,
    rng: &mut impl Rng,
) -> Option<Duration> {
    // A call to the store takes up to 20 ms on calm days; the rest spreads the retries.
    let jitter = Duration::from_secs_f64(rng.random_range(0.02..0.25));
    Some(expected?.checked_sub(now)? + jitter)
}
