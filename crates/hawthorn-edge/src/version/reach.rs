//! Beliefs about zones: which can be reached, and who should serve callers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteRule;
use hawthorn_route::placement;
use hawthorn_route::reachability;
use hawthorn_route::scatter;
use rand::RngExt;

use crate::version::beliefs::Beliefs;

/// Seconds that the counts of demand stand for: half of a count is left after
/// five, which is five over the logarithm of two on the whole.
const DEMAND_SPAN: f64 = 7.2;
impl Beliefs {
    /// A request was sent to a target of the zone.
    pub fn zone_sent(&self, zone: &str, now: Duration, usual: Duration) {
        let mut zones = self.zones.borrow_mut();
        if let Some(reach) = zones.get_mut(zone) {
            reach.sent(now, usual);
        } else {
            zones.entry(zone.to_owned()).or_default().sent(now, usual);
        }
    }

    /// Something of the zone answered.
    pub fn zone_answered(&self, zone: &str) {
        if let Some(reach) = self.zones.borrow_mut().get_mut(zone) {
            reach.answered();
        }
    }

    /// The zones that are believed cut off.
    pub fn cut_zones(&self, now: Duration) -> Vec<String> {
        let zones = self.zones.borrow();
        zones
            .iter()
            .filter(|(_, reach)| reach.is_unreachable(now))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// The zones that may be cut off.
    pub fn doubtful_zones(&self, now: Duration) -> Vec<String> {
        let zones = self.zones.borrow();
        let doubtful = zones.iter().filter(|(_, reach)| reach.is_suspected(now));
        doubtful.map(|(zone, _)| zone.clone()).collect()
    }

    /// Any target of a zone, to try the way to it.
    pub fn any_target(&self, zone: &str) -> Option<SocketAddr> {
        let registry = self.registry.borrow();
        let there: Vec<SocketAddr> = registry
            .iter()
            .filter(|(_, state)| *state.entry.zone == *zone)
            .map(|(_, state)| state.entry.address)
            .collect();
        let lot = self.lots.borrow_mut().random_range(0..there.len().max(1));
        there.get(lot).copied()
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

    /// No query over shards of the version in force is more urgent than the route's.
    pub fn is_urgent(&self, route: &RouteRule) -> bool {
        self.table().is_none_or(|table| table.is_urgent(route))
    }

    /// Queries over shards that came here lately, a second.
    pub fn query_rate(&self) -> f64 {
        let Some(table) = self.table() else { return 0.0 };
        let demand = self.demand.borrow();
        let queries = table.document().routes.iter();
        let queries =
            queries.filter(|route| matches!(route.destination, RouteDestination::Gather(_)));
        let counted: f64 = queries.filter_map(|route| demand.get(&route.name)).sum();
        counted / DEMAND_SPAN
    }

    /// Has earlier requests count less, by the factor.
    pub fn fade_demand(&self, factor: f64) {
        let mut demand = self.demand.borrow_mut();
        demand.values_mut().for_each(|count| *count *= factor);
        demand.retain(|_, count| *count > 0.01);
    }

    /// Whether this host should leave callers to others if these zones are cut
    /// off; see [`reachability::should_fail_readiness`].
    pub fn find_stranded(&self, cut: &[String], now: Duration) -> bool {
        let Some(table) = self.table().filter(|_| !cut.is_empty()) else {
            return false;
        };
        let zones = {
            let registry = self.registry.borrow();
            let mine = std::iter::once(self.settings.host.zone.as_str());
            registry
                .iter()
                .map(|(_, state)| &*state.entry.zone)
                .chain(mine)
                .collect::<HashSet<_>>()
                .len()
        };
        let demand = self.demand.borrow();
        let asked = |route: &RouteRule| demand.get(&route.name).copied().unwrap_or_default();
        let routes = &table.document().routes;
        let all: f64 = routes.iter().map(asked).sum();
        let lost: f64 =
            routes.iter().filter(|route| !self.can_answer(route, cut, now)).map(asked).sum();
        reachability::should_fail_readiness(
            zones,
            cut.len(),
            if all > 0.0 { lost / all } else { 0.0 },
        )
    }

    /// Whether enough of a route's services have a target that takes work outside
    /// these zones.
    fn can_answer(&self, route: &RouteRule, cut: &[String], now: Duration) -> bool {
        let takes = |service: &str| {
            self.with_view(route, cut, now, |view, lots| {
                placement::select_target(view, service, &[], lots, &self.policy.get().placing)
                    .is_some()
            })
        };
        match &route.destination {
            RouteDestination::Single(service) => takes(service),
            RouteDestination::Weighted(parts) => parts.iter().any(|part| takes(&part.service)),
            RouteDestination::Gather(rule) => {
                let spread = self.with_view(route, cut, now, |view, lots| {
                    scatter::plan(view, rule, lots, &self.policy.get().placing)
                });
                spread.can_answer(rule)
            }
        }
    }
}
