//! The routing state of this host: routes, targets, latencies, budgets.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_decide::latency::ServiceTimes;
use hawthorn_pool::TargetPool;
use hawthorn_route::admission::QueryAdmission;
use hawthorn_route::budget;
use hawthorn_route::budget::FleetBudget;
use hawthorn_route::budget::FleetView;
use hawthorn_route::budget::RetryBudget;
use hawthorn_route::budget::ServiceUse;
use hawthorn_route::customer::CustomerTable;
use hawthorn_route::customer::RequestCustomer;
use hawthorn_route::customer::RevokedKeys;
use hawthorn_route::document::CallerLimits;
use hawthorn_route::document::GatherRule;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteDocument;
use hawthorn_route::document::RouteRule;
use hawthorn_route::document::WeightedService;
use hawthorn_route::home::HomeZones;
use hawthorn_route::placement;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::placement::SlotWait;
use hawthorn_route::policy::RoutePolicy;
use hawthorn_route::reachability::ZoneReachability;
use hawthorn_route::regather;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::rollout;
use hawthorn_route::rollout::PendingVersions;
use hawthorn_route::scatter;
use hawthorn_route::share;
use hawthorn_route::skip;
use hawthorn_route::table::RouteTable;
use hawthorn_route::weight::WeightedRoundRobin;
use log::Level;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::settings::BudgetSettings;
use crate::settings::RouteSettings;

/// Share of a target's connections that all hosts together use. The rest is reserved for
/// connections that are closing, and for hosts that are not known yet.
const CONNECTION_SHARE: f64 = 0.8;
/// Minimum number of gatherers assumed when connections are shared out: all hosts of a small
/// fleet gather.
const MIN_GATHERERS: usize = 8;
/// Until latencies have been measured, an attempt is assumed to take this fraction of the
/// route's target latency: a fan-out is planned to use about an eighth of it.
const INITIAL_TIME_DIVISOR: u32 = 8;
/// Number of versions kept: hosts apply a version within a second of each other, and edits in
/// quick succession are about 60 ms apart.
const MAX_VERSIONS: usize = 16;
/// Time limit for opening a connection: covers a pause of a target, and several times what an
/// unloaded one needs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The routing state. Used only on the serving thread.
#[derive(Debug)]
pub struct RoutingState {
    /// The settings at the start of the process.
    pub settings: RouteSettings,
    /// When the process started.
    started: Duration,
    /// The budget of extra attempts, from the settings read last.
    pub budget: Cell<BudgetSettings>,
    /// The routing policy, from the settings read last.
    pub policy: Cell<RoutePolicy>,
    /// Versions of the routes, newest first.
    tables: RefCell<VecDeque<Rc<RouteTable>>>,
    pending_tables: RefCell<PendingVersions<Rc<RouteTable>>>,
    /// The newest known version, which may not be in force yet.
    newest_table: RefCell<Option<Rc<RouteTable>>>,
    /// Keys that are no longer in the newest known version.
    revoked_keys: RefCell<RevokedKeys>,
    /// Whether the newest received version is unreadable.
    pub newest_unreadable: Cell<bool>,
    /// The limits on callers of the current version.
    pub limits: watch::Sender<CallerLimits>,
    /// Notified when a version is pending.
    pub table_pending: Notify,
    /// Notified when a version comes into force or the policy changes.
    pub table_installed: Notify,
    /// The registered targets.
    pub registry: RefCell<TargetRegistry>,
    /// Notified when a request finds only cold targets.
    pub cold_wanted: Notify,
    pools: RefCell<SecondaryMap<TargetKey, Arc<TargetPool>>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    times: RefCell<HashMap<String, ServiceTimes>>,
    /// Latencies of attempts that found a free slot: execution time without queueing.
    execution_times: RefCell<HashMap<String, ServiceTimes>>,
    /// Times from the sending of a request until its answer, without the wait for a connection.
    exchange_times: RefCell<HashMap<String, ServiceTimes>>,
    round_robins: RefCell<HashMap<String, WeightedRoundRobin>>,
    pub(super) rng: RefCell<StdRng>,
    pub(super) zones: RefCell<HashMap<String, ZoneReachability>>,
    /// Decayed number of requests of each route.
    pub(super) demand: RefCell<HashMap<String, f64>>,
    /// Callers are better served by hosts of other zones: the readiness probe fails.
    pub unready: Cell<bool>,
    /// The same, for zones that are only suspected to be unreachable; the readiness probe fails
    /// already.
    pub may_be_unready: Cell<bool>,
    /// Admission control for scatter-gather queries.
    pub admission: RefCell<QueryAdmission>,
    /// Number of live hosts in the fleet, including this one.
    pub hosts: Cell<usize>,
    /// Number of hosts of this zone that gather for others.
    pub gatherers: Cell<usize>,
    /// Whether this host gathers for others.
    pub is_gatherer: Cell<bool>,
    /// When `is_gatherer` last changed.
    gatherer_since: Cell<Duration>,
    /// Number of zones in the fleet.
    pub fleet_zones: Cell<usize>,
}

impl RoutingState {
    /// Creates the state of a host that has read nothing from the store yet.
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            started: host_now(),
            budget: Cell::new(settings.budget),
            policy: Cell::new(settings.policy),
            tables: RefCell::default(),
            pending_tables: RefCell::default(),
            newest_table: RefCell::default(),
            revoked_keys: RefCell::default(),
            newest_unreadable: Cell::new(false),
            limits: watch::Sender::default(),
            table_pending: Notify::new(),
            table_installed: Notify::new(),
            registry: RefCell::new(TargetRegistry::new(
                settings.policy.targets,
                &settings.host.zone,
                settings.targets.drain_time,
            )),
            cold_wanted: Notify::new(),
            settings,
            pools: RefCell::default(),
            budgets: RefCell::default(),
            times: RefCell::default(),
            execution_times: RefCell::default(),
            exchange_times: RefCell::default(),
            round_robins: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(rand::rng().random())),
            zones: RefCell::default(),
            demand: RefCell::default(),
            unready: Cell::new(false),
            may_be_unready: Cell::new(false),
            admission: RefCell::default(),
            hosts: Cell::new(1),
            gatherers: Cell::new(1),
            is_gatherer: Cell::new(true),
            gatherer_since: Cell::new(host_now()),
            fleet_zones: Cell::new(1),
        }
    }

    /// The current version of the routes; a request keeps the one with which it started.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.tables.borrow().front().cloned()
    }

    /// A recent version, for a query that started with it on another host.
    pub fn table_of(&self, version: u64) -> Option<Rc<RouteTable>> {
        self.tables.borrow().iter().find(|table| table.version() == version).cloned()
    }

    /// The newest known version, which may not be in force yet. Keys that it no longer holds are
    /// refused at once.
    pub fn newest_table(&self) -> Option<Rc<RouteTable>> {
        self.newest_table.borrow().clone()
    }

    /// Whether the newest known version has customers.
    pub fn has_customers(&self) -> bool {
        self.newest_table().is_some_and(|table| !table.customers().is_empty())
    }

    /// Whether the customer of a request still holds its key in the newest known version. If that
    /// version has no customers, no request needs a key.
    pub fn holds_key(&self, customer: &RequestCustomer) -> bool {
        self.newest_table().is_some_and(|table| {
            let customers = table.customers();
            customers.is_empty() || customers.holds(customer)
        })
    }

    /// Whether a known version has revoked the key.
    pub fn is_revoked(&self, key: &[u8]) -> bool {
        self.revoked_keys.borrow().contains(key)
    }

    /// Applies a version, at once or after a delay; see [`rollout`]. A version that is not newer
    /// than the newest known one is ignored.
    pub fn accept(&self, document: RouteDocument) {
        let newest = self.newest_table();
        if newest.as_ref().is_some_and(|newest| newest.version() >= document.version) {
            return;
        }
        let (table, faults) = RouteTable::following(document, newest.as_deref());
        for fault in faults {
            edge_event!(
                Level::Warn,
                EdgeEvent::CustomersBroken,
                "version={} error=\"{fault}\"",
                table.version()
            );
        }
        if let Some(newest) = newest {
            self.revoked_keys.borrow_mut().update(newest.customers(), table.customers());
        }
        let table = Rc::new(table);
        *self.newest_table.borrow_mut() = Some(Rc::clone(&table));
        let has_version = !self.tables.borrow().is_empty();
        let options = self.policy.get().rollout;
        let delay = rollout::delay(self.is_gatherer.get(), has_version, &options);
        if delay.is_zero() {
            self.install(table);
        } else {
            self.pending_tables.borrow_mut().push(host_now() + delay, table);
            self.table_pending.notify_one();
        }
    }

    /// Applies the pending versions that are due; returns when the next one is.
    pub fn apply_pending(&self, now: Duration) -> Option<Duration> {
        let due = self.pending_tables.borrow_mut().take_due(now);
        due.into_iter().for_each(|table| self.install(table));
        self.pending_tables.borrow().next_due()
    }

    /// When the newest known version comes into force, if it is not yet.
    pub fn next_in_force(&self) -> Option<Duration> {
        self.pending_tables.borrow().last_due()
    }

    /// Applies a version unless the current one is as new.
    ///
    /// A stale read or a slow peer may deliver an older version, which must not bring back routes
    /// that operators have replaced.
    fn install(&self, table: Rc<RouteTable>) {
        let mut tables = self.tables.borrow_mut();
        if tables.front().is_some_and(|held| held.version() >= table.version()) {
            return;
        }
        let (version, routes) = (table.version(), table.document().routes.len());
        edge_event!(Level::Info, EdgeEvent::RoutesInForce, "version={version} routes={routes}");
        let replaced = tables.front().map(|held| held.customers());
        log_customers(&table, replaced);
        let names: HashSet<&str> =
            table.document().routes.iter().map(|route| route.name.as_str()).collect();
        self.times.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.execution_times.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.exchange_times.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.round_robins.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        let services = &table.document().services;
        let kept = self.registry.borrow_mut().limit_cold(services, &self.settings.cold);
        if !kept.is_empty() {
            edge_event!(
                Level::Warn,
                EdgeEvent::ColdRateBroken,
                "version={} services={}",
                table.version(),
                kept.join(",")
            );
        }
        let limits = table.document().limits;
        self.limits.send_if_modified(|held| std::mem::replace(held, limits) != limits);
        tables.push_front(table);
        tables.truncate(MAX_VERSIONS);
        self.table_installed.notify_one();
    }

    fn budget_options(&self, service: &str, now: Duration) -> budget::Options {
        let BudgetSettings { window, share, allowance } = self.budget.get();
        let running = now.saturating_sub(self.started);
        let gathering =
            self.is_gatherer.get().then(|| now.saturating_sub(self.gatherer_since.get()));
        let gatherers = self.gatherers.get() * self.fleet_zones.get();
        let hosts = self.hosts.get();
        let awaiting_peers = hosts <= 1 && !self.settings.fleet.seeds.is_empty();
        let view = FleetView { hosts, running, gatherers, gathering, awaiting_peers };
        let sharded = self.table().is_some_and(|table| table.is_shard(service));
        let service = if sharded { ServiceUse::Shard } else { ServiceUse::Single };
        budget::host_share(&FleetBudget { window, share, allowance }, &view, service)
    }

    /// Credits a caller's request to the budget of a service.
    pub fn earn(&self, service: &str, now: Duration) {
        let options = self.budget_options(service, now);
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            budget.earn(now, &options);
        } else {
            budgets.entry(service.to_owned()).or_default().earn(now, &options);
        }
    }

    /// Spends an extra attempt at a service; false if none is left.
    pub fn spend(&self, service: &str, now: Duration) -> bool {
        let options = self.budget_options(service, now);
        let mut budgets = self.budgets.borrow_mut();
        // A host without any request for the service still has its share of the allowance.
        if let Some(budget) = budgets.get_mut(service) {
            return budget.spend(now, &options);
        }
        budgets.entry(service.to_owned()).or_default().spend(now, &options)
    }

    /// Returns an extra attempt that was spent at `spent` and not sent.
    pub fn refund(&self, service: &str, spent: Duration, now: Duration) {
        let options = self.budget_options(service, now);
        if let Some(budget) = self.budgets.borrow_mut().get_mut(service) {
            budget.refund(spent, now, &options);
        }
    }

    /// The remaining share of a service's budget, 0 to 1.
    pub fn fullness(&self, service: &str) -> f64 {
        let options = self.budget_options(service, host_now());
        self.budgets.borrow().get(service).map_or(1.0, |budget| budget.fullness(&options))
    }

    /// Calls `with` on the latencies of a route's attempts.
    pub fn times<T>(&self, route: &RouteRule, with: impl FnOnce(&mut ServiceTimes) -> T) -> T {
        with_times(&self.times, route, with)
    }

    /// The median latency of one attempt of the route.
    pub fn service_time(&self, route: &RouteRule) -> Duration {
        Duration::from_micros(self.times(route, |times| times.median()))
    }

    /// Records the time from the sending of a request until its answer.
    pub fn record_exchange(&self, route: &RouteRule, elapsed: Duration) {
        let micros = elapsed.as_micros() as u64;
        with_times(&self.exchange_times, route, |times| times.record(micros));
    }

    /// The 90th percentile of the time from the sending of a request until its answer.
    pub fn exchange_time(&self, route: &RouteRule) -> Duration {
        Duration::from_micros(with_times(&self.exchange_times, route, |times| times.p90()))
    }

    /// Records the latency of an attempt that found a free slot, as far as known.
    pub fn record_execution(&self, route: &RouteRule, micros: u64) {
        with_times(&self.execution_times, route, |times| times.record(micros));
    }

    /// The median execution time of the route's requests at a target.
    pub fn execution_time(&self, route: &RouteRule) -> Duration {
        let execution_times = self.execution_times.borrow();
        execution_times
            .get(&route.name)
            .map_or(route.target_latency / INITIAL_TIME_DIVISOR, |times| {
                Duration::from_micros(times.median())
            })
    }

    /// The mean execution time of queued requests: over the scatter-gather queries that this
    /// host receives, weighted by demand.
    pub fn mean_execution_time(&self) -> Duration {
        let Some(table) = self.table() else { return Duration::ZERO };
        let (mut count, mut sum) = (0.0, 0.0);
        // Iterates over demand and not over routes: this runs with each placement, and a
        // configuration may have hundreds of idle routes.
        for (name, demand) in self.demand.borrow().iter() {
            let Some(route) = table.named(name) else { continue };
            if matches!(route.destination, RouteDestination::Gather(_)) {
                count += demand;
                sum += demand * self.execution_time(route).as_secs_f64();
            }
        }
        if count > 0.0 { Duration::from_secs_f64(sum / count) } else { Duration::ZERO }
    }

    /// Selects the service of a weighted route for the next request.
    pub fn select_weighted(
        &self,
        route: &RouteRule,
        services: &[WeightedService],
    ) -> Option<usize> {
        self.round_robins.borrow_mut().entry(route.name.clone()).or_default().select(services)
    }

    /// The target of a service that is expected to answer first, except those already tried.
    pub fn select_target(
        &self,
        service: &str,
        tried: &[TargetKey],
        route: &RouteRule,
        now: Duration,
    ) -> Option<TargetKey> {
        self.with_view(route, &self.unreachable_zones(now), now, |view, rng| {
            placement::select_target(view, service, tried, rng, &self.policy.get().placing)
        })
    }

    /// Whether a target is the last available one of a shard that has several.
    pub fn is_last_of_shard(
        &self,
        service: &str,
        key: TargetKey,
        tried: &[TargetKey],
        route: &RouteRule,
        now: Duration,
    ) -> bool {
        let sharded = self.table().is_some_and(|table| table.is_shard(service));
        let is_last = |view: PlacementView<'_>| view.is_last_target(service, key, tried);
        sharded && self.with_view(route, &self.unreachable_zones(now), now, |view, _| is_last(view))
    }

    /// Plans from which target or zone each shard of a query is gathered.
    pub fn scatter_plan(
        &self,
        rule: &GatherRule,
        route: &RouteRule,
        now: Duration,
    ) -> scatter::ScatterPlan {
        self.with_view(route, &self.unreachable_zones(now), now, |view, rng| {
            scatter::plan(view, rule, rng, &self.policy.get().placing)
        })
    }

    /// The zones in which shards may be gathered anew after a peer of the `silent` zone did not
    /// answer; see [`regather::zones`].
    pub fn regather_zones(
        &self,
        rule: &GatherRule,
        shards: &[u16],
        route: &RouteRule,
        silent: &str,
    ) -> Vec<Rc<str>> {
        let now = host_now();
        let names = shards.iter().filter_map(|shard| rule.shards.get(usize::from(*shard)));
        self.with_view(route, &self.unreachable_zones(now), now, |view, _| {
            regather::zones(view, names.map(String::as_str), silent)
        })
    }

    /// The shards of a query to skip under overload; see [`skip::skip`].
    pub fn skip(
        &self,
        rule: &GatherRule,
        shards: &[u16],
        max_skipped: usize,
        route: &RouteRule,
        time: Duration,
    ) -> Vec<u16> {
        let name = |index: &u16| Some((*index, rule.shards.get(usize::from(*index))?.as_str()));
        let now = host_now();
        if !self.admission.borrow().is_overloaded(now) {
            return Vec::new();
        }
        self.with_view(route, &self.unreachable_zones(now), now, |view, _| {
            let shards = shards.iter().filter_map(name);
            skip::skip(view, shards, max_skipped, time, &self.policy.get().skipping)
        })
    }

    /// The zones in which a route's requests may be run.
    pub fn homes<'a>(&'a self, route: &'a RouteRule) -> HomeZones<'a> {
        HomeZones::new(&self.settings.zones, route.homes.as_deref())
    }

    pub(super) fn with_view<T>(
        &self,
        route: &RouteRule,
        unreachable: &[String],
        now: Duration,
        with: impl FnOnce(PlacementView<'_>, &mut StdRng) -> T,
    ) -> T {
        let registry = self.registry.borrow();
        let zone = &self.settings.host.zone;
        let (service_time, queued_service_time, target_latency) =
            (self.service_time(route), self.mean_execution_time(), route.target_latency);
        let homes = self.homes(route);
        let view = PlacementView {
            registry: &registry,
            zone,
            unreachable_zones: unreachable,
            homes,
            service_time,
            queued_service_time,
            target_latency,
            now,
        };
        let outcome = with(view, &mut self.rng.borrow_mut());
        if registry.cold().is_wanted(now) {
            self.cold_wanted.notify_one();
        }
        outcome
    }

    /// The queueing delay at each of the services that have an available target.
    pub fn waits(&self, services: &[&str], route: &RouteRule, now: Duration) -> Vec<Duration> {
        self.with_view(route, &self.unreachable_zones(now), now, |view, _| {
            services.iter().filter_map(|service| view.queue_wait(service)).collect()
        })
    }

    /// The waits for slots of a request that is sent now to one target of each service; see
    /// [`PlacementView::decisive_slot_wait`].
    pub fn slot_wait<'s>(
        &self,
        route: &RouteRule,
        services: impl Iterator<Item = &'s str>,
        max_missing: usize,
        now: Duration,
    ) -> SlotWait {
        let execution_time = self.execution_time(route);
        let gathers = matches!(route.destination, RouteDestination::Gather(_));
        self.with_view(route, &self.unreachable_zones(now), now, |view, _| {
            // The mean over queued requests covers only scatter-gather queries.
            let queued = if gathers { view.queued_service_time } else { execution_time };
            let view = PlacementView { queued_service_time: queued, ..view };
            view.decisive_slot_wait(services, max_missing)
        })
    }

    /// The connection pool of a target, for a request of the route.
    pub fn pool(&self, key: TargetKey, route: &RouteRule) -> Option<Arc<TargetPool>> {
        let registry = self.registry.borrow();
        let entry = &registry.get(key)?.entry;
        let (max_connections, host_count) = self.connection_sharers(&entry.service);
        let share = max_connections as f64 * CONNECTION_SHARE / host_count as f64;
        let mut pools = self.pools.borrow_mut();
        if !pools.contains_key(key) {
            let buffered = self.policy.get().answers.held_kb as usize * 1024;
            let options = hawthorn_pool::Options {
                max_connections: (share.round() as usize).max(1),
                max_buffered_bytes: buffered.min(self.settings.host.max_buffered_answer()),
                connect_timeout: CONNECT_TIMEOUT,
            };
            pools.insert(key, Arc::new(TargetPool::new(entry.address, options)));
        }
        let pool = pools.get(key)?;
        // Peers may still consider this host a gatherer after it has stopped being one.
        pool.set_keep_alive(
            share >= 1.0 || matches!(route.destination, RouteDestination::Gather(_)),
        );
        Some(Arc::clone(pool))
    }

    /// The number of connections that each target of a service accepts, and the number of hosts
    /// that share them: for a shard the gatherers, as other hosts connect only if gathering
    /// failed.
    fn connection_sharers(&self, service: &str) -> (usize, usize) {
        let table = self.table();
        let rule = table.as_ref().and_then(|table| table.service(service));
        let max_connections = rule.map_or(1, |rule| rule.max_connections);
        let sharded = table.as_ref().is_some_and(|table| table.is_shard(service));
        let host_count = match (sharded, self.is_gatherer.get()) {
            (false, _) => share::effective_hosts(self.hosts.get()),
            (true, true) => (self.gatherers.get() * self.fleet_zones.get()).max(MIN_GATHERERS),
            (true, false) => max_connections,
        };
        (max_connections, host_count)
    }

    /// Sets whether this host gathers for others.
    pub fn set_gatherer(&self, is_gatherer: bool, now: Duration) {
        if self.is_gatherer.replace(is_gatherer) != is_gatherer {
            self.gatherer_since.set(now);
        }
    }

    /// Removes the budgets of services that no version has, once nothing in them counts: a
    /// service that is missing by mistake is soon back, and has spent what it had spent.
    fn sweep_budgets(&self, now: Duration) {
        let Some(table) = self.table() else { return };
        self.budgets.borrow_mut().retain(|service, budget| {
            table.service(service).is_some()
                || !budget.is_unused(now, &self.budget_options(service, now))
        });
    }

    /// Closes idle connections that targets have closed.
    pub(crate) fn sweep_connections(&self) {
        self.pools.borrow().values().for_each(|pool| pool.sweep());
    }

    /// Removes targets that have left, and their connection pools.
    pub fn sweep(&self, now: Duration) {
        self.sweep_budgets(now);
        let gone = self.registry.borrow_mut().sweep(now, self.settings.targets.drain_time);
        let mut pools = self.pools.borrow_mut();
        for key in gone {
            pools.remove(key);
        }
    }
}

/// Calls `with` on the route's latencies, which start with an assumed value.
fn with_times<T>(
    all: &RefCell<HashMap<String, ServiceTimes>>,
    route: &RouteRule,
    with: impl FnOnce(&mut ServiceTimes) -> T,
) -> T {
    let mut all = all.borrow_mut();
    if let Some(times) = all.get_mut(&route.name) {
        return with(times);
    }
    let initial = (route.target_latency / INITIAL_TIME_DIVISOR).as_micros() as u64;
    with(all.entry(route.name.clone()).or_insert_with(|| ServiceTimes::new(initial)))
}

/// Logs the customers of a version that comes into force, unless neither it nor the version that
/// it replaces defines any.
fn log_customers(table: &RouteTable, replaced: Option<&CustomerTable>) {
    let customers = table.customers();
    if customers.is_empty() && replaced.is_none_or(CustomerTable::is_empty) {
        return;
    }
    let (count, keys) = (customers.iter().count(), customers.key_count());
    let exempt = table.document().routes.iter().filter(|route| route.exempt).count();
    edge_event!(
        Level::Info,
        EdgeEvent::CustomersInForce,
        "version={} customers={count} keys={keys} exempt_routes={exempt}",
        table.version()
    );
}
