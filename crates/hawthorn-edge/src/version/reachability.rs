//! Reachability of zones, and whether this host should accept callers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteRule;
use hawthorn_route::placement;
use hawthorn_route::reachability;
use hawthorn_route::reachability::SentMark;
use hawthorn_route::reachability::ZoneReachability;
use hawthorn_route::scatter;
use hawthorn_route::zone_report::RequestDemand;
use rand::RngExt;

use crate::process::clock::host_now;
use crate::version::state::RoutingState;

/// Seconds of requests that the decayed counts represent. They are halved every five seconds,
/// and 5 s / ln 2 = 7.2 s.
const DEMAND_SPAN: f64 = 7.2;

impl RoutingState {
    /// Records that a request was sent to a target of the zone.
    pub fn zone_sent(&self, zone: &str, now: Duration, service_time: Duration) -> SentMark {
        let mut zones = self.zones.borrow_mut();
        if let Some(reachability) = zones.get_mut(zone) {
            reachability.sent(now, service_time);
            return reachability.mark();
        }
        let reachability = zones.entry(zone.to_owned()).or_default();
        reachability.sent(now, service_time);
        reachability.mark()
    }

    /// Takes back a recorded request for which nothing was sent.
    pub fn zone_withdrawn(&self, zone: &str, mark: SentMark) {
        if let Some(reachability) = self.zones.borrow_mut().get_mut(zone) {
            reachability.withdraw(mark);
        }
    }

    /// Records that a host or target of the zone answered.
    pub fn zone_answered(&self, zone: &str) {
        if let Some(reachability) = self.zones.borrow_mut().get_mut(zone) {
            reachability.answered(host_now());
        }
    }

    /// Calls `visit` with the reachability of each zone to which requests were sent.
    pub fn visit_reachability(&self, mut visit: impl FnMut(&str, &ZoneReachability)) {
        self.zones.borrow().iter().for_each(|(zone, reachability)| visit(zone, reachability));
    }

    /// The zones that are considered unreachable.
    pub fn unreachable_zones(&self, now: Duration) -> Vec<String> {
        let zones = self.zones.borrow();
        zones
            .iter()
            .filter(|(_, reachability)| reachability.is_unreachable(now))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// The zones that are suspected to be unreachable.
    pub fn suspected_zones(&self, now: Duration) -> Vec<String> {
        let zones = self.zones.borrow();
        let suspected = zones.iter().filter(|(_, reachability)| reachability.is_suspected(now));
        suspected.map(|(zone, _)| zone.clone()).collect()
    }

    /// A random target of a zone, to probe its reachability.
    pub fn any_target(&self, zone: &str) -> Option<SocketAddr> {
        let registry = self.registry.borrow();
        let addresses: Vec<SocketAddr> = registry
            .iter()
            .filter(|(_, state)| *state.entry.zone == *zone)
            .map(|(_, state)| state.entry.address)
            .collect();
        let index = self.rng.borrow_mut().random_range(0..addresses.len().max(1));
        addresses.get(index).copied()
    }

    /// Treats a zone's targets as cold; see
    /// [`presume_cold`](hawthorn_route::registry::TargetRegistry::presume_cold).
    pub fn presume_cold(&self, zone: &str, now: Duration) {
        let table = self.table();
        let cold_start = |service: &str| {
            let rule = table.as_ref().and_then(|table| table.service(service));
            rule.map_or(Duration::ZERO, |rule| rule.cold_start)
        };
        self.registry.borrow_mut().presume_cold(zone, now, cold_start);
    }

    /// The number of known targets in a zone.
    pub fn targets_in(&self, zone: &str) -> usize {
        let registry = self.registry.borrow();
        registry.iter().filter(|(_, state)| *state.entry.zone == *zone).count()
    }

    /// Counts a request of a route.
    pub fn count_demand(&self, route: &RouteRule) {
        let mut demand = self.demand.borrow_mut();
        if let Some(count) = demand.get_mut(&route.name) {
            *count += 1.0;
        } else {
            demand.insert(route.name.clone(), 1.0);
        }
    }

    /// Whether no scatter-gather queries of the current version are more urgent than those with
    /// this priority.
    pub fn is_urgent(&self, priority: u32) -> bool {
        self.table().is_none_or(|table| table.is_urgent(priority))
    }

    /// Rate of recent scatter-gather queries, per second.
    pub fn query_rate(&self) -> f64 {
        let Some(table) = self.table() else { return 0.0 };
        let demand = self.demand.borrow();
        let queries = table.document().routes.iter();
        let queries =
            queries.filter(|route| matches!(route.destination, RouteDestination::Gather(_)));
        let counted: f64 = queries.filter_map(|route| demand.get(&route.name)).sum();
        counted / DEMAND_SPAN
    }

    /// Multiplies all demand counts by `factor`.
    pub fn decay_demand(&self, factor: f64) {
        let mut demand = self.demand.borrow_mut();
        demand.values_mut().for_each(|count| *count *= factor);
        demand.retain(|_, count| *count > 0.01);
    }

    /// Whether this host should fail its readiness probe if these zones are unreachable; see
    /// [`reachability::should_fail_readiness`].
    pub fn should_fail_readiness(&self, unreachable: &[String], now: Duration) -> bool {
        if unreachable.is_empty() {
            return false;
        }
        let (total, lost) = self.count_demand_without(unreachable, now);
        let share = if total > 0.0 { lost / total } else { 0.0 };
        reachability::should_fail_readiness(self.zone_count(), unreachable.len(), share)
    }

    /// The number of zones of all known targets, and this host's own.
    pub fn zone_count(&self) -> usize {
        let registry = self.registry.borrow();
        let zones = registry.iter().map(|(_, state)| &*state.entry.zone);
        zones.chain([&*self.settings.host.zone]).collect::<HashSet<&str>>().len()
    }

    /// Whether any known target is in this zone, or this host is.
    pub fn is_known_zone(&self, zone: &str) -> bool {
        let registry = self.registry.borrow();
        let has_target = || registry.iter().any(|(_, state)| *state.entry.zone == *zone);
        *self.settings.host.zone == *zone || has_target()
    }

    /// The recent requests, and how many of them cannot be answered without these zones.
    pub fn demand_without(&self, unreachable: &[String], now: Duration) -> RequestDemand {
        let (total, lost) = self.count_demand_without(unreachable, now);
        // Conversions of floating-point numbers saturate.
        RequestDemand { total: (total * 100.0) as u32, lost: (lost * 100.0) as u32 }
    }

    fn count_demand_without(&self, unreachable: &[String], now: Duration) -> (f64, f64) {
        let Some(table) = self.table() else { return (0.0, 0.0) };
        let demand = self.demand.borrow();
        let demand_of = |route: &RouteRule| demand.get(&route.name).copied().unwrap_or_default();
        let routes = &table.document().routes;
        let total: f64 = routes.iter().map(demand_of).sum();
        if unreachable.is_empty() {
            return (total, 0.0);
        }
        let lost = routes.iter().filter(|route| !self.can_answer(route, unreachable, now));
        (total, lost.map(demand_of).sum())
    }

    /// Whether a route can be answered without these zones.
    fn can_answer(&self, route: &RouteRule, unreachable: &[String], now: Duration) -> bool {
        let has_target = |service: &str| {
            self.with_view(route, unreachable, now, |view, rng| {
                placement::select_target(view, service, &[], rng, &self.policy.get().placing)
                    .is_some()
            })
        };
        match &route.destination {
            RouteDestination::Single(service) => has_target(service),
            RouteDestination::Weighted(services) => {
                services.iter().any(|weighted| has_target(&weighted.service))
            }
            RouteDestination::Gather(rule) => {
                let scatter_plan = self.with_view(route, unreachable, now, |view, rng| {
                    scatter::plan(view, rule, rng, &self.policy.get().placing)
                });
                scatter_plan.can_answer(rule)
            }
        }
    }
}
