//! When a caller that is refused had best come back.
//!
//! The load it is for: many callers are refused within a second, as queues stand,
//! or as their host is cut off. The harm it prevents: they come back together,
//! or so soon that they are refused again, which is all that they try. The limit:
//! callers wait a part of their time at the most, whatever they are told.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::outcome::RefusalReason;

/// A balancer asks a host once a second whether it takes callers, and believes a
/// "no" that it has heard twice: after so long callers are elsewhere, at the latest.
const BALANCER_TIME: Duration = Duration::from_millis(2200);

/// How long a caller is told to wait, drawn between two bounds, so that callers
/// refused together return apart. `aside` is for how long this host has been telling
/// the balancer that others serve its callers better, if it does.
pub fn retry_after(
    reason: RefusalReason,
    aside: Option<Duration>,
    lots: &mut impl Rng,
) -> Duration {
    let (least, most) = match reason {
        // A host that starts reads the configuration within a few hundred milliseconds.
        RefusalReason::NoConfiguration => (0.2, 0.4),
        // A target that crashed is back within seconds.
        RefusalReason::NoTarget | RefusalReason::Unreachable => (0.2, 0.35),
        // A queue of a dozen requests on two slots is gone within a tenth of a second.
        RefusalReason::TargetsFull => (0.03, 0.1),
        // The door opens again with the queries in flight; a burst lasts longer, and
        // callers spread over a quarter of a second fill the gaps.
        RefusalReason::HostFull => (0.05, 0.25),
        // The window slides by a tenth of its length.
        RefusalReason::BudgetSpent => (0.1, 0.3),
        RefusalReason::TooLate => (0.01, 0.05),
        // Used only if the end of the refusal term is unknown.
        RefusalReason::Quarantined => (1.0, 2.0),
    };
    let drawn = Duration::from_secs_f64(lots.random_range(least..most));
    let elsewhere = aside.map_or(Duration::ZERO, |since| BALANCER_TIME.saturating_sub(since));
    match reason {
        // Failure: a zone is cut off, its callers are refused, come back at once to
        // the same zone, and are refused for good. Once the balancer has noticed,
        // another zone serves them.
        RefusalReason::NoTarget | RefusalReason::Unreachable => elsewhere + drawn,
        _ => drawn,
    }
}
