//! Whether the hosts of a zone accept callers.
//!
//! Handles a partition that leaves a zone without targets that its callers need: a balancer that
//! takes out one host after the other sends the callers of each to the rest of the zone, which
//! cannot serve them either. The hosts of a zone therefore fail their readiness probes together,
//! and return one after the other.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::reachability;
use crate::zone_report::RequestDemand;
use crate::zone_report::book::ReportBook;

/// Minimum number of hosts that make the others fail their probes: one of two would be half of
/// them, and may have a bad link.
const MIN_FAILING: usize = 2;
/// Requests, in hundredths, below which a host has no demand of its own to judge by.
const MIN_DEMAND: u32 = 100;
/// A balancer that probes each second removes a host that was not ready for this long or longer.
/// After a shorter time a delay would only extend a false suspicion.
const MIN_REMOVED: Duration = Duration::from_secs(1);
/// Maximum delay of the return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(1);

/// Why a host fails its readiness probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum UnreadyCause {
    /// By its own evidence.
    Alone,
    /// At least half of the zone's live hosts would fail theirs.
    Majority,
    /// Zones are confirmed unreachable, and callers need their targets.
    Partition,
}

/// A host's view of its zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneView {
    /// Number of live hosts of the zone, including this one.
    pub live: usize,
    /// Number of zones of the deployment, including this one.
    pub zones: usize,
    /// Number of zones that are confirmed unreachable.
    pub confirmed: usize,
    /// Whether this host would fail its probe by itself.
    pub fails_alone: bool,
    /// This host's requests, and those that cannot be answered without the confirmed zones.
    pub demand: RequestDemand,
}

/// Why this host should fail its readiness probe; `None` if it should not. A host without demand
/// of its own judges by that of the hosts that report.
pub fn unready_cause(view: &ZoneView, book: &ReportBook, now: Duration) -> Option<UnreadyCause> {
    if view.fails_alone {
        return Some(UnreadyCause::Alone);
    }
    let failing = book.failing_alone(now);
    if failing >= MIN_FAILING && failing * 2 >= view.live {
        return Some(UnreadyCause::Majority);
    }
    let demand = known_demand(view.demand, book, now);
    reachability::should_fail_readiness(view.zones, view.confirmed, demand.lost_share())
        .then_some(UnreadyCause::Partition)
}

/// The demand that a host judges by and reports: its own or, if it has none, as little with the
/// share of the hosts that report. It is passed on because the only host with demand may be one
/// whose message was lost.
pub fn known_demand(own: RequestDemand, book: &ReportBook, now: Duration) -> RequestDemand {
    if own.total >= MIN_DEMAND {
        return own;
    }
    let reported = book.demand(now);
    let lost = f64::from(MIN_DEMAND) * reported.lost_share();
    RequestDemand { total: MIN_DEMAND.min(reported.total), lost: lost as u32 }
}

/// Delays the return of a host at random, so that the callers of a zone do not return to it all at
/// once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnGate {
    failing_since: Option<Duration>,
    returns: Option<Duration>,
}

impl ReturnGate {
    /// Records whether there is a reason to fail the probe; returns whether the probe fails.
    pub fn update(&mut self, has_cause: bool, now: Duration, rng: &mut impl Rng) -> bool {
        if has_cause {
            self.failing_since.get_or_insert(now);
            self.returns = None;
            return true;
        }
        let Some(since) = self.failing_since else { return false };
        let returns = *self.returns.get_or_insert_with(|| {
            let was_removed = now.saturating_sub(since) >= MIN_REMOVED;
            let delay = MAX_RETURN_DELAY.mul_f64(rng.random_range(0.0..1.0));
            now + if was_removed { delay } else { Duration::ZERO }
        });
        if now >= returns {
            *self = Self::default();
        }
        now < returns
    }
}
