//! Everything this host believes: routes, targets, times, budgets.

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
use hawthorn_route::document::GatherRule;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteRule;
use hawthorn_route::document::WeightedService;
use hawthorn_route::home::HomeZones;
use hawthorn_route::placement;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::policy::RoutePolicy;
use hawthorn_route::reachability::ZoneReachability;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::rollout;
use hawthorn_route::rollout::PendingVersions;
use hawthorn_route::scatter;
use hawthorn_route::skip;
use hawthorn_route::table::RouteTable;
use hawthorn_route::weight::WeightedRoundRobin;
use log::Level;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::settings::BudgetSettings;
use crate::settings::RouteSettings;

/// Part of a target's connections that all hosts together use: the rest is for
/// connections that are closing, and for hosts that were not known of.
const CONNECTION_SHARE: f64 = 0.8;
/// Gatherers reckoned with while fewer are known: those of a small fleet, all hosts.
const LEAST_GATHERERS: usize = 8;
/// A route's attempts are taken to last this part of its aim until some have
/// been seen: a fan-out is planned to use about an eighth of its aim.
const FIRST_GUESS: u32 = 8;
/// Versions kept: hosts apply one within a second of each other, and edits in quick succession
/// are some 60 ms apart.
const KEPT_VERSIONS: usize = 16;
/// How long opening a connection may take: a pause of a target, and several
/// times what an unloaded one needs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// What this host believes. Lives on the one thread that serves.
#[derive(Debug)]
pub struct Beliefs {
    /// As the host was told at its start.
    pub settings: RouteSettings,
    /// When the process began.
    started: Duration,
    /// Extra attempts, as the host was told last.
    pub budget: Cell<BudgetSettings>,
    /// How requests are decided on, as the host was told last.
    pub policy: Cell<RoutePolicy>,
    /// The newest first.
    tables: RefCell<VecDeque<Rc<RouteTable>>>,
    held_tables: RefCell<PendingVersions<RouteTable>>,
    /// Notified when a version is held.
    pub table_held: Notify,
    /// Targets as they register.
    pub registry: RefCell<TargetRegistry>,
    /// Notified when a request finds only cold targets.
    pub cold_wanted: Notify,
    pools: RefCell<SecondaryMap<TargetKey, Arc<TargetPool>>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    times: RefCell<HashMap<String, ServiceTimes>>,
    /// Times of attempts that had a free slot: the work alone.
    works: RefCell<HashMap<String, ServiceTimes>>,
    dealers: RefCell<HashMap<String, WeightedRoundRobin>>,
    pub(super) lots: RefCell<StdRng>,
    pub(super) zones: RefCell<HashMap<String, ZoneReachability>>,
    /// Requests of each route lately, earlier ones counting less.
    pub(super) demand: RefCell<HashMap<String, f64>>,
    /// Callers are better served by hosts of other zones.
    pub stranded: Cell<bool>,
    /// Callers may be; a balancer is told already.
    pub doubtful: Cell<bool>,
    /// Whether queries over shards are admitted here.
    pub door: RefCell<QueryAdmission>,
    /// Hosts of the fleet that are known to live, this one too.
    pub hosts: Cell<usize>,
    /// Hosts of this zone that gather, and whether this one does.
    pub gatherers: Cell<usize>,
    /// This host gathers for others.
    pub gathers: Cell<bool>,
    /// Since when it does.
    gathers_since: Cell<Duration>,
    /// Zones of the fleet.
    pub fleet_zones: Cell<usize>,
}

impl Beliefs {
    /// Nothing is known yet.
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            started: host_now(),
            budget: Cell::new(settings.budget),
            policy: Cell::new(settings.policy),
            tables: RefCell::default(),
            held_tables: RefCell::default(),
            table_held: Notify::new(),
            registry: RefCell::new(TargetRegistry::new(
                settings.policy.targets,
                &settings.host.zone,
            )),
            cold_wanted: Notify::new(),
            settings,
            pools: RefCell::default(),
            budgets: RefCell::default(),
            times: RefCell::default(),
            works: RefCell::default(),
            dealers: RefCell::default(),
            lots: RefCell::new(StdRng::seed_from_u64(rand::rng().random())),
            zones: RefCell::default(),
            demand: RefCell::default(),
            stranded: Cell::new(false),
            doubtful: Cell::new(false),
            door: RefCell::default(),
            hosts: Cell::new(1),
            gatherers: Cell::new(1),
            gathers: Cell::new(true),
            gathers_since: Cell::new(host_now()),
            fleet_zones: Cell::new(1),
        }
    }

    /// The version in force; a request keeps the one it began with.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.tables.borrow().front().cloned()
    }

    /// A version that came into force not long ago, for a query that began with it elsewhere.
    pub fn table_of(&self, version: u64) -> Option<Rc<RouteTable>> {
        self.tables.borrow().iter().find(|table| table.version() == version).cloned()
    }

    /// Brings a version into force, at once or when the zone's gatherers have it; see
    /// [`rollout`].
    pub fn accept(&self, table: RouteTable) {
        let has_version = !self.tables.borrow().is_empty();
        let options = self.policy.get().rollout;
        let delay = rollout::delay(self.gathers.get(), has_version, &options);
        if delay.is_zero() {
            self.install(table);
        } else {
            self.held_tables.borrow_mut().push(host_now() + delay, table);
            self.table_held.notify_one();
        }
    }

    /// Brings the held versions that are due into force; returns when the next one is.
    pub fn apply_held(&self, now: Duration) -> Option<Duration> {
        let due = self.held_tables.borrow_mut().take_due(now);
        due.into_iter().for_each(|table| self.install(table));
        self.held_tables.borrow().next_due()
    }

    /// Brings a version into force unless a newer one is.
    ///
    /// Failure: a stale read or a slow peer brings an older version, and a
    /// caller's request is handled by routes that operators have replaced.
    fn install(&self, table: RouteTable) {
        let mut tables = self.tables.borrow_mut();
        if tables.front().is_some_and(|held| held.version() >= table.version()) {
            return;
        }
        let (version, routes) = (table.version(), table.document().routes.len());
        edge_event!(Level::Info, EdgeEvent::RoutesInForce, "version={version} routes={routes}");
        let names: HashSet<&str> =
            table.document().routes.iter().map(|route| route.name.as_str()).collect();
        self.times.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.works.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.dealers.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.budgets.borrow_mut().retain(|name, _| table.service(name).is_some());
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
        tables.push_front(Rc::new(table));
        tables.truncate(KEPT_VERSIONS);
    }

    fn budget_options(&self, service: &str, now: Duration) -> budget::Options {
        let BudgetSettings { window, share, allowance } = self.budget.get();
        let running = now.saturating_sub(self.started);
        let gathering = self.gathers.get().then(|| now.saturating_sub(self.gathers_since.get()));
        let gatherers = self.gatherers.get() * self.fleet_zones.get();
        let hosts = self.hosts.get();
        let meeting = hosts <= 1 && !self.settings.fleet.seeds.is_empty();
        let view = FleetView { hosts, running, gatherers, gathering, awaiting_peers: meeting };
        let sharded = self.table().is_some_and(|table| table.is_shard(service));
        let service = if sharded { ServiceUse::Shard } else { ServiceUse::Single };
        budget::host_share(&FleetBudget { window, share, allowance }, &view, service)
    }

    /// Counts a caller's request for a service.
    pub fn earn(&self, service: &str, now: Duration) {
        let options = self.budget_options(service, now);
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            budget.earn(now, &options);
        } else {
            budgets.entry(service.to_owned()).or_default().earn(now, &options);
        }
    }

    /// Takes an extra attempt at a service; false when none is left.
    pub fn spend(&self, service: &str, now: Duration) -> bool {
        let options = self.budget_options(service, now);
        let mut budgets = self.budgets.borrow_mut();
        // A host that never had a request for the service has its part of the allowance.
        if let Some(budget) = budgets.get_mut(service) {
            return budget.spend(now, &options);
        }
        budgets.entry(service.to_owned()).or_default().spend(now, &options)
    }

    /// How much of a service's budget is left, 0 to 1.
    pub fn fullness(&self, service: &str) -> f64 {
        let options = self.budget_options(service, host_now());
        self.budgets.borrow().get(service).map_or(1.0, |budget| budget.fullness(&options))
    }

    /// Calls `with` on the times of a route's attempts.
    pub fn times<T>(&self, route: &RouteRule, with: impl FnOnce(&mut ServiceTimes) -> T) -> T {
        with_times(&self.times, route, with)
    }

    /// The usual time of one attempt of the route.
    pub fn usual(&self, route: &RouteRule) -> Duration {
        Duration::from_micros(self.times(route, |times| times.median()))
    }

    /// An attempt of the route took so long that had a free slot, as far as was known.
    pub fn worked(&self, route: &RouteRule, micros: u64) {
        with_times(&self.works, route, |times| times.record(micros));
    }

    /// How long a target works on one request of the route.
    pub fn work(&self, route: &RouteRule) -> Duration {
        let works = self.works.borrow();
        works.get(&route.name).map_or(route.target_latency / FIRST_GUESS, |times| {
            Duration::from_micros(times.median())
        })
    }

    /// How long a target works on one request of those that wait there: the mean of
    /// the queries over shards that come here.
    pub fn mixed_work(&self) -> Duration {
        let Some(table) = self.table() else { return Duration::ZERO };
        let (mut count, mut sum) = (0.0, 0.0);
        // Only what is asked for: a configuration may have hundreds of idle routes,
        // and this is worked out with each placing.
        for (name, asked) in self.demand.borrow().iter() {
            let Some(route) = table.named(name) else { continue };
            if matches!(route.destination, RouteDestination::Gather(_)) {
                count += asked;
                sum += asked * self.work(route).as_secs_f64();
            }
        }
        if count > 0.0 { Duration::from_secs_f64(sum / count) } else { Duration::ZERO }
    }

    /// The part of a weighted route that the next request goes to.
    pub fn deal(&self, route: &RouteRule, parts: &[WeightedService]) -> Option<usize> {
        self.dealers.borrow_mut().entry(route.name.clone()).or_default().select(parts)
    }

    /// The target of a service that is expected to answer first, apart from
    /// those tried already.
    pub fn place(
        &self,
        service: &str,
        tried: &[TargetKey],
        route: &RouteRule,
        now: Duration,
    ) -> Option<TargetKey> {
        self.with_view(route, &self.cut_zones(now), now, |view, lots| {
            placement::select_target(view, service, tried, lots, &self.policy.get().placing)
        })
    }

    /// Whether a target is the last one of a shard with several that takes work.
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
        sharded && self.with_view(route, &self.cut_zones(now), now, |view, _| is_last(view))
    }

    /// Where each shard of a query is best had.
    pub fn spread(
        &self,
        rule: &GatherRule,
        route: &RouteRule,
        now: Duration,
    ) -> scatter::ScatterPlan {
        self.with_view(route, &self.cut_zones(now), now, |view, lots| {
            scatter::plan(view, rule, lots, &self.policy.get().placing)
        })
    }

    /// Which of some shards of a query are not asked for, while queues stand; see
    /// [`skip::skip`].
    pub fn skip(
        &self,
        rule: &GatherRule,
        shards: &[u16],
        most: usize,
        route: &RouteRule,
        time: Duration,
    ) -> Vec<u16> {
        let name = |place: &u16| Some((*place, rule.shards.get(usize::from(*place))?.as_str()));
        let now = host_now();
        if !self.door.borrow().is_overloaded(now) {
            return Vec::new();
        }
        self.with_view(route, &self.cut_zones(now), now, |view, _| {
            let shards = shards.iter().filter_map(name);
            skip::skip(view, shards, most, time, &self.policy.get().skipping)
        })
    }

    /// The zones in which a route's requests may be run.
    pub fn homes<'a>(&'a self, route: &'a RouteRule) -> HomeZones<'a> {
        HomeZones::new(&self.settings.zones, route.homes.as_deref())
    }

    pub(super) fn with_view<T>(
        &self,
        route: &RouteRule,
        cut: &[String],
        now: Duration,
        with: impl FnOnce(PlacementView<'_>, &mut StdRng) -> T,
    ) -> T {
        let registry = self.registry.borrow();
        let zone = &self.settings.host.zone;
        let (usual, queued, aim) = (self.usual(route), self.mixed_work(), route.target_latency);
        let homes = self.homes(route);
        let view = PlacementView {
            registry: &registry,
            zone,
            unreachable_zones: cut,
            homes,
            service_time: usual,
            queued_service_time: queued,
            target_latency: aim,
            now,
        };
        let outcome = with(view, &mut self.lots.borrow_mut());
        if registry.cold().is_wanted(now) {
            self.cold_wanted.notify_one();
        }
        outcome
    }

    /// How long work waits at each of some services that have a target that takes it.
    pub fn waits(&self, services: &[&str], route: &RouteRule, now: Duration) -> Vec<Duration> {
        self.with_view(route, &self.cut_zones(now), now, |view, _| {
            services.iter().filter_map(|service| view.queue_wait(service)).collect()
        })
    }

    /// The connections to a target, for a request of the route.
    pub fn pool(&self, key: TargetKey, route: &RouteRule) -> Option<Arc<TargetPool>> {
        let registry = self.registry.borrow();
        let entry = &registry.get(key)?.entry;
        let (most, sharers) = self.connection_sharers(&entry.service);
        let share = most as f64 * CONNECTION_SHARE / sharers as f64;
        let mut pools = self.pools.borrow_mut();
        if !pools.contains_key(key) {
            let options = hawthorn_pool::Options {
                connections: (share.round() as usize).max(1),
                held_bytes: self.policy.get().answers.held_kb as usize * 1024,
                connect_timeout: CONNECT_TIMEOUT,
            };
            pools.insert(key, Arc::new(TargetPool::new(entry.address, options)));
        }
        let pool = pools.get(key)?;
        // Peers may know this host as one that gathers while it does not.
        pool.keep(share >= 1.0 || matches!(route.destination, RouteDestination::Gather(_)));
        Some(Arc::clone(pool))
    }

    /// How many connections each target of a service accepts, and how many hosts share
    /// them: of a shard those that gather, as others come only where gathering failed.
    fn connection_sharers(&self, service: &str) -> (usize, usize) {
        let table = self.table();
        let rule = table.as_ref().and_then(|table| table.service(service));
        let most = rule.map_or(1, |rule| rule.max_connections);
        let sharded = table.as_ref().is_some_and(|table| table.is_shard(service));
        let sharers = match (sharded, self.gathers.get()) {
            (false, _) => budget::effective_hosts(self.hosts.get()),
            (true, true) => (self.gatherers.get() * self.fleet_zones.get()).max(LEAST_GATHERERS),
            (true, false) => most,
        };
        (most, sharers)
    }

    /// Whether this host gathers for others, from now on.
    pub fn set_gathers(&self, gathers: bool, now: Duration) {
        if self.gathers.replace(gathers) != gathers {
            self.gathers_since.set(now);
        }
    }

    /// Lets go of what is held for targets that left.
    pub fn sweep(&self, now: Duration) {
        let gone = self.registry.borrow_mut().sweep(now, self.settings.targets.leave);
        let mut pools = self.pools.borrow_mut();
        for key in gone {
            pools.remove(key);
        }
    }
}

/// Calls `with` on the route's times, which are a guess until some have been seen.
fn with_times<T>(
    all: &RefCell<HashMap<String, ServiceTimes>>,
    route: &RouteRule,
    with: impl FnOnce(&mut ServiceTimes) -> T,
) -> T {
    let mut all = all.borrow_mut();
    if let Some(times) = all.get_mut(&route.name) {
        return with(times);
    }
    let guess = (route.target_latency / FIRST_GUESS).as_micros() as u64;
    with(all.entry(route.name.clone()).or_insert_with(|| ServiceTimes::new(guess)))
}
