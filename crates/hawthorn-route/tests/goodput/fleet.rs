//! Simulation of a small fleet in virtual time: hosts that use this crate's decisions, targets with
//! slots and queues, and callers that retry refused queries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthorn_decide::latency::ServiceTimes;
use hawthorn_route::admission::QueryAdmission;
use hawthorn_route::admission::QueryLoad;
use hawthorn_route::budget;
use hawthorn_route::budget::FleetBudget;
use hawthorn_route::budget::FleetView;
use hawthorn_route::budget::RetryBudget;
use hawthorn_route::budget::ServiceUse;
use hawthorn_route::dispatch::ArrivalDecision;
use hawthorn_route::dispatch::Dispatcher;
use hawthorn_route::dispatch::ExpectedCapacity;
use hawthorn_route::dispatch::FlowName;
use hawthorn_route::dispatch::RequestDemand;
use hawthorn_route::dispatch::RetryIdentity;
use hawthorn_route::dispatch::TicketKey;
use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::gather::GatherState;
use hawthorn_route::gather::GatherStep;
use hawthorn_route::hedge;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::placement;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::policy::RoutePolicy;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::registry::TargetKeys;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::retry_after::retry_after;
use hawthorn_route::skip;
use hawthorn_route::target::ReportedLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support;

/// One-way latency between a host and a target.
const NETWORK_LATENCY: Duration = Duration::from_micros(500);
/// How long attempts may continue after their query has ended.
const ABANDON_DELAY: Duration = Duration::from_millis(300);
/// Queries before this time are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// The configured budget for extra attempts: a fifth of the requests, and a fixed allowance.
const BUDGET: FleetBudget =
    FleetBudget { window: Duration::from_secs(10), share: 0.2, allowance: 56.0 };

/// Interval at which hosts check their waiting queries, in addition to each end of an attempt.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Queries of one route and customer.
#[derive(Clone, Debug)]
pub struct QueryClass {
    pub priority: u32,
    /// The customer or route whose share of the capacity the queries use.
    pub flow: &'static str,
    /// Index of the route, whose latencies are measured together.
    pub route: usize,
    /// Share of the queries.
    pub share: f64,
    /// Mean service time.
    pub service_time: Duration,
    pub target_latency: Duration,
    /// Minimum share of the shards that an answer must cover.
    pub min_share: f64,
}

/// A period in which the second targets of some shards are slow.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    pub from: Duration,
    pub until: Duration,
    /// Number of shards, the last ones, and the factor on their second targets' service times.
    pub shards: usize,
    pub factor: f64,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: usize,
    /// Shards of each query. The first `halved` of them have one target, the others two.
    pub shards: usize,
    pub halved: usize,
    /// Maximum number of requests that a target executes concurrently.
    pub slots: u32,
    /// Maximum number of requests in the queue of a target.
    pub queue: u32,
    /// The mix of queries; their shares add up to 1.
    pub classes: Vec<QueryClass>,
    pub slowdown: Option<Slowdown>,
    pub deadline: Duration,
    /// Queries per second, without retries.
    pub rate: f64,
    /// Maximum number of retries of a query.
    pub max_retries: u32,
    pub duration: Duration,
    pub policy: RoutePolicy,
}

/// Outcomes of queries; retries are not counted separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub requested: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Tally {
    /// Share of the queries that were answered in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requested)
    }
}

/// The tallies of the queries of each class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub classes: Vec<Tally>,
}

impl Outcome {
    /// Queries per second, without retries.
    pub fn offered(&self, scenario: &Scenario) -> f64 {
        f64::from(self.classes.iter().map(|tally| tally.requested).sum::<u32>())
            / (scenario.duration - WARM_UP).as_secs_f64()
    }

    /// Queries answered in time per second.
    pub fn goodput(&self, scenario: &Scenario) -> f64 {
        f64::from(self.classes.iter().map(|tally| tally.in_time).sum::<u32>())
            / (scenario.duration - WARM_UP).as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { caller: usize },
    Arrive { attempt: usize },
    Executed { attempt: usize },
    Reply { attempt: usize },
    AttemptLate { query: usize, shard: usize },
    SoftDeadline { query: usize },
    Deadline { query: usize },
    Poll { host: usize },
}

/// A caller with one query, retried until it is answered or the retries are used up.
struct Caller {
    /// When the caller first sent its query.
    started: Duration,
    /// Index of its class.
    class: usize,
    /// Number of times that the query was sent.
    tries: u32,
    settled: bool,
}

/// The attempts at one shard of a query.
struct ShardAttempts {
    tried: TargetKeys,
    in_flight: usize,
    settled: bool,
    /// Whether a hedge may still be sent.
    may_hedge: bool,
}

struct Query {
    caller: usize,
    class: usize,
    host: usize,
    /// When the host received it; it may have waited since.
    started: Duration,
    state: GatherState,
    shards: Vec<ShardAttempts>,
    load: QueryLoad,
    ended: Option<Duration>,
}

struct Attempt {
    query: usize,
    shard: usize,
    key: TargetKey,
    target: usize,
    sent: Duration,
    end: AttemptEnd,
    reported: Option<ReportedLoad>,
}

#[derive(Default)]
struct Target {
    running: u32,
    waiting: VecDeque<usize>,
}

struct Host {
    registry: TargetRegistry,
    /// The index of the target of each key.
    target_indexes: HashMap<TargetKey, usize>,
    /// Latencies of all answered attempts, by route.
    times: Vec<ServiceTimes>,
    /// Latencies of attempts at targets with a free slot, by route.
    unqueued_times: Vec<ServiceTimes>,
    budgets: Vec<RetryBudget>,
    admission: QueryAdmission,
    dispatcher: Dispatcher,
    /// Callers and start times of the waiting queries.
    waiting: HashMap<TicketKey, (usize, Duration)>,
    is_polling: bool,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    rng: StdRng,
    callers: Vec<Caller>,
    queries: Vec<Query>,
    attempts: Vec<Attempt>,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    shard_names: Vec<String>,
    outcome: Outcome,
}

/// Runs a simulation; the outcome is determined by the scenario and the seed.
pub fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(scenario, seed);
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.outcome
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let shard_names: Vec<String> =
            (0..scenario.shards).map(|shard| format!("s{shard}")).collect();
        let host = || {
            let mut registry =
                TargetRegistry::new(scenario.policy.targets, "east", support::DRAIN_TIME);
            let mut target_indexes = HashMap::new();
            for (shard, name) in shard_names.iter().enumerate() {
                for replica in 0..if shard < scenario.halved { 1 } else { 2 } {
                    let mut entry = support::entry(&format!("t{shard}-{replica}"), name, "east");
                    entry.slots = scenario.slots;
                    registry.put(entry, support::revision(1), Duration::ZERO);
                    let key = registry.of_service(name)[replica];
                    target_indexes.insert(key, shard * 2 + replica);
                }
            }
            let routes = 0..=scenario.classes.iter().map(|class| class.route).max().unwrap_or(0);
            let initial = |route| {
                let class = scenario.classes.iter().find(|class| class.route == route);
                let class = class.expect("routes are numbered without gaps");
                ServiceTimes::new((class.target_latency / 8).as_micros() as u64)
            };
            Host {
                registry,
                target_indexes,
                times: routes.clone().map(initial).collect(),
                unqueued_times: routes.map(initial).collect(),
                budgets: vec![RetryBudget::default(); scenario.shards],
                admission: QueryAdmission::default(),
                dispatcher: Dispatcher::default(),
                waiting: HashMap::new(),
                is_polling: false,
            }
        };
        let hosts = (0..scenario.hosts).map(|_| host()).collect();
        let targets = (0..scenario.shards * 2).map(|_| Target::default()).collect();
        let mut fleet = Self {
            scenario,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            callers: Vec::new(),
            queries: Vec::new(),
            attempts: Vec::new(),
            targets,
            hosts,
            shard_names,
            outcome: Outcome { classes: vec![Tally::default(); scenario.classes.len()] },
        };
        let mut at = Duration::ZERO;
        while at < scenario.duration {
            let uniform: f64 = fleet.rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / scenario.rate);
            let class = fleet.random_class();
            fleet.callers.push(Caller { started: at, class, tries: 0, settled: false });
            fleet.schedule(at, Event::Request { caller: fleet.callers.len() - 1 });
        }
        fleet
    }

    fn random_class(&mut self) -> usize {
        let mut left = 1.0;
        for (index, class) in self.scenario.classes.iter().enumerate() {
            if class.share >= left - 1e-9 || self.rng.random_bool(class.share / left) {
                return index;
            }
            left -= class.share;
        }
        self.scenario.classes.len() - 1
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { caller } => self.request(caller),
            Event::Arrive { attempt } => self.arrive(attempt),
            Event::Executed { attempt } => self.executed(attempt),
            Event::Reply { attempt } => self.reply(attempt),
            Event::AttemptLate { query, shard } => self.hedge(query, shard),
            Event::SoftDeadline { query } => self.step(query),
            Event::Deadline { query } => self.give_up(query),
            Event::Poll { host } => {
                self.hosts[host].is_polling = false;
                self.pump(host);
            }
        }
    }

    fn budget(&self) -> budget::Options {
        let running = self.now + Duration::from_secs(60);
        let hosts = self.scenario.hosts;
        let gathering = Some(running);
        let view = FleetView { hosts, running, gatherers: hosts, gathering, awaiting_peers: false };
        budget::host_share(&BUDGET, &view, ServiceUse::Shard)
    }

    fn view<'h>(&self, host: &'h Host, class: usize) -> PlacementView<'h> {
        let micros = Duration::from_micros;
        let classes = &self.scenario.classes;
        let service_time = micros(host.times[classes[class].route].median());
        // Queued requests are of all routes.
        let unqueued = |class: &QueryClass| {
            micros(host.unqueued_times[class.route].median()).mul_f64(class.share)
        };
        let queued = classes.iter().map(unqueued).sum();
        let (registry, target_latency, now) =
            (&host.registry, classes[class].target_latency, self.now);
        PlacementView {
            queued_service_time: queued,
            ..support::view(registry, service_time, target_latency, now)
        }
    }

    fn request(&mut self, caller: usize) {
        let scenario = self.scenario;
        let host_index = self.rng.random_range(0..scenario.hosts);
        let class = &scenario.classes[self.callers[caller].class];
        let urgent = class.priority == 0;
        self.callers[caller].tries += 1;
        if scenario.policy.dispatch.on {
            return self.arrive_ordered(caller, host_index);
        }
        if !self.hosts[host_index].admission.admit(self.now, urgent, &scenario.policy.admission) {
            return self.refuse(caller, RefusalReason::HostFull);
        }
        self.start(caller, host_index, self.now);
    }

    fn demand(&self, caller: usize, host: usize) -> RequestDemand {
        let class_index = self.callers[caller].class;
        let class = &self.scenario.classes[class_index];
        let service_time = self.hosts[host].unqueued_times[class.route].median();
        let service_time = Duration::from_micros(service_time);
        RequestDemand {
            flow: FlowName::Customer(class.flow.into()),
            priority: class.priority,
            identity: RetryIdentity {
                caller: caller as u64,
                fingerprint: RequestFingerprint::default(),
            },
            target_latency: class.target_latency,
            soft_deadline: self.now + class.target_latency,
            deadline: self.now + self.scenario.deadline,
            service_time,
            slot_time: service_time * self.scenario.shards as u32,
        }
    }

    fn capacity(&mut self, caller: usize, host: usize) -> ExpectedCapacity {
        let class_index = self.callers[caller].class;
        let class = &self.scenario.classes[class_index];
        let shards = self.scenario.shards;
        let state = GatherState { shards, parts: 0, lost: 0, min_share: class.min_share };
        let view = self.view(&self.hosts[host], class_index);
        let names = self.shard_names.iter().map(String::as_str);
        let wait = view.decisive_slot_wait(names, state.max_missing());
        let options = &self.scenario.policy.admission;
        let admission = &mut self.hosts[host].admission;
        let window_full = !admission.has_room(self.now, class.priority == 0, options);
        ExpectedCapacity { wait, window_full }
    }

    fn arrive_ordered(&mut self, caller: usize, host: usize) {
        let (now, options) = (self.now, self.scenario.policy.dispatch);
        let (demand, capacity) = (self.demand(caller, host), self.capacity(caller, host));
        let arrival = self.hosts[host].dispatcher.arrive(now, demand, capacity, &options);
        if let Some((evicted, rejection)) = arrival.evicted {
            self.reject_waiting(host, evicted, rejection.after);
        }
        match arrival.decision {
            ArrivalDecision::Send => {
                self.hosts[host].admission.admit_ordered();
                self.start(caller, host, now);
            }
            ArrivalDecision::Wait(ticket) => {
                self.hosts[host].waiting.insert(ticket, (caller, now));
                self.pump(host);
            }
            ArrivalDecision::Reject(rejection) => self.reject(caller, rejection.after),
        }
    }

    /// Sends the waiting queries of a host for which there is capacity.
    fn pump(&mut self, host: usize) {
        let (now, options) = (self.now, self.scenario.policy.dispatch);
        loop {
            let mut dispatcher = std::mem::take(&mut self.hosts[host].dispatcher);
            let capacity = |ticket| {
                let (caller, _) = self.hosts[host].waiting[&ticket];
                self.capacity(caller, host)
            };
            let next = dispatcher.next(now, capacity, &options);
            self.hosts[host].dispatcher = dispatcher;
            let Some(ticket) = next else { break };
            let (caller, started) =
                self.hosts[host].waiting.remove(&ticket).expect("each ticket has a query");
            self.hosts[host].admission.admit_ordered();
            self.start(caller, host, started);
        }
        for (ticket, rejection) in self.hosts[host].dispatcher.expire(now) {
            self.reject_waiting(host, ticket, rejection.after);
        }
        if self.hosts[host].dispatcher.waiting() > 0 && !self.hosts[host].is_polling {
            self.hosts[host].is_polling = true;
            self.schedule(now + POLL_INTERVAL, Event::Poll { host });
        }
    }

    fn reject_waiting(&mut self, host: usize, ticket: TicketKey, after: Duration) {
        let (caller, _) =
            self.hosts[host].waiting.remove(&ticket).expect("each ticket has a query");
        self.reject(caller, after);
    }

    fn reject(&mut self, caller: usize, after: Duration) {
        let delay = after.mul_f64(self.rng.random_range(1.0..1.5));
        self.retry(caller, delay, |tally| tally.refused += 1);
    }

    fn start(&mut self, caller: usize, host_index: usize, started: Duration) {
        let scenario = self.scenario;
        let class_index = self.callers[caller].class;
        let class = &scenario.classes[class_index];
        let state =
            GatherState { shards: scenario.shards, parts: 0, lost: 0, min_share: class.min_share };
        let max_missing = state.max_missing();
        let skipped = {
            let host = &self.hosts[host_index];
            let numbered = (0_u16..).zip(self.shard_names.iter().map(String::as_str));
            if host.admission.is_overloaded(self.now) {
                skip::skip(
                    self.view(host, class_index),
                    numbered,
                    max_missing,
                    (started + class.target_latency).saturating_sub(self.now),
                    &scenario.policy.skipping,
                )
            } else {
                Vec::new()
            }
        };
        let shard = |_| ShardAttempts {
            tried: TargetKeys::new(),
            in_flight: 0,
            settled: false,
            may_hedge: scenario.policy.second_attempts.on,
        };
        let query = self.queries.len();
        self.queries.push(Query {
            caller,
            class: class_index,
            host: host_index,
            started,
            state: GatherState { lost: skipped.len(), ..state },
            shards: (0..scenario.shards).map(shard).collect(),
            load: QueryLoad {
                waits: Vec::new(),
                rejected: 0,
                shards: scenario.shards,
                max_missing: max_missing - skipped.len(),
                failed: false,
            },
            ended: None,
        });
        for shard in 0..scenario.shards {
            if skipped.contains(&(shard as u16)) {
                self.queries[query].shards[shard].settled = true;
                continue;
            }
            let options = self.budget();
            let now = self.now;
            self.hosts[host_index].budgets[shard].earn(now, &options);
            self.launch(query, shard, false);
            self.schedule_hedge(query, shard);
        }
        self.schedule(started + class.target_latency, Event::SoftDeadline { query });
        self.schedule(started + scenario.deadline, Event::Deadline { query });
    }

    fn class(&self, query: usize) -> &QueryClass {
        &self.scenario.classes[self.queries[query].class]
    }

    fn schedule_hedge(&mut self, query: usize, shard: usize) {
        let options = self.budget();
        let host = &self.hosts[self.queries[query].host];
        let fullness = host.budgets[shard].fullness(&options);
        let second = &self.scenario.policy.second_attempts;
        let class = self.class(query);
        let times = &host.times[class.route];
        let delay = hedge::delay(times, class.target_latency, fullness, second);
        self.schedule(self.now + delay, Event::AttemptLate { query, shard });
    }

    fn launch(&mut self, query: usize, shard: usize, extra: bool) -> bool {
        let host_index = self.queries[query].host;
        let (options, now, scenario) = (self.budget(), self.now, self.scenario);
        let mut rng = StdRng::from_rng(&mut self.rng);
        let host = &self.hosts[host_index];
        let tried = &self.queries[query].shards[shard].tried;
        let placing = &scenario.policy.placing;
        let key = placement::select_target(
            self.view(host, self.queries[query].class),
            &self.shard_names[shard],
            tried,
            &mut rng,
            placing,
        );
        let Some(key) = key else { return false };
        if extra && !self.hosts[host_index].budgets[shard].spend(now, &options) {
            return false;
        }
        let host = &mut self.hosts[host_index];
        host.registry.get_mut(key).expect("the target was just selected").record_sent(now);
        let target = host.target_indexes[&key];
        let attempts = &mut self.queries[query].shards[shard];
        attempts.tried.push(key);
        attempts.in_flight += 1;
        let (sent, end) = (now, AttemptEnd::Answered);
        self.attempts.push(Attempt { query, shard, key, target, sent, end, reported: None });
        self.schedule(now + NETWORK_LATENCY, Event::Arrive { attempt: self.attempts.len() - 1 });
        true
    }

    fn arrive(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        let queue = &mut self.targets[target];
        if queue.running < self.scenario.slots {
            queue.running += 1;
            self.execute(attempt);
        } else if queue.waiting.len() < self.scenario.queue as usize {
            queue.waiting.push_back(attempt);
        } else {
            self.answer(attempt, AttemptEnd::NotRun);
        }
    }

    fn execute(&mut self, attempt: usize) {
        let factor = self.rng.random_range(0.5..1.5);
        let tail = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let Attempt { query, shard, target, .. } = self.attempts[attempt];
        let is_slow = self.scenario.slowdown.is_some_and(|slow| {
            let in_period = (slow.from..slow.until).contains(&self.now);
            in_period && target % 2 == 1 && shard >= self.scenario.shards - slow.shards
        });
        let slow_factor =
            self.scenario.slowdown.filter(|_| is_slow).map_or(1.0, |slow| slow.factor);
        let duration = self.class(query).service_time.mul_f64(factor * tail * slow_factor);
        self.schedule(self.now + duration, Event::Executed { attempt });
    }

    fn executed(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].running -= 1;
        while let Some(next) = self.targets[target].waiting.pop_front() {
            let ended = self.queries[self.attempts[next].query].ended;
            // The host has closed the connection.
            if ended.is_some_and(|ended| self.now > ended + ABANDON_DELAY) {
                self.answer(next, AttemptEnd::Silent);
                continue;
            }
            self.targets[target].running += 1;
            self.execute(next);
            break;
        }
        self.answer(attempt, AttemptEnd::Answered);
    }

    fn answer(&mut self, attempt: usize, end: AttemptEnd) {
        let Target { running, waiting } = &self.targets[self.attempts[attempt].target];
        let (running, waiting) = (*running, waiting.len() as u32);
        let load = ReportedLoad { running, waiting, slots: self.scenario.slots, at: self.now };
        let record = &mut self.attempts[attempt];
        record.end = end;
        record.reported = (end != AttemptEnd::Silent).then_some(load);
        self.schedule(self.now + NETWORK_LATENCY, Event::Reply { attempt });
    }

    fn reply(&mut self, attempt: usize) {
        let Attempt { query, shard, key, sent, end, reported, .. } = self.attempts[attempt];
        let now = self.now;
        let route = self.class(query).route;
        let host_index = self.queries[query].host;
        let host = &mut self.hosts[host_index];
        let service_time = Duration::from_micros(host.times[route].median());
        let state = host.registry.get_mut(key).expect("targets are never removed");
        let was_free = state.has_free_slot(sent);
        if let Some(load) = reported {
            state.report_load(ReportedLoad { at: now, ..load });
        }
        if end == AttemptEnd::Silent {
            state.record_abandoned(sent, now, service_time);
        } else {
            state.record_end(sent, now, end, service_time);
        }
        if end == AttemptEnd::Answered {
            let micros = now.saturating_sub(sent).as_micros() as u64;
            host.times[route].record(micros);
            if was_free {
                host.unqueued_times[route].record(micros);
            }
        }
        self.record_end(query, shard, end);
        if self.hosts[host_index].dispatcher.waiting() > 0 {
            self.pump(host_index);
        }
    }

    /// Records the end of an attempt at a shard of a query.
    fn record_end(&mut self, query: usize, shard: usize, end: AttemptEnd) {
        let record = &mut self.queries[query];
        let attempts = &mut record.shards[shard];
        attempts.in_flight -= 1;
        if record.ended.is_some() || attempts.settled {
            return;
        }
        match end {
            AttemptEnd::Answered => {
                attempts.settled = true;
                record.state.parts += 1;
            }
            _ => {
                record.load.rejected += usize::from(end == AttemptEnd::NotRun);
                let is_last = attempts.in_flight == 0;
                if is_last && !self.launch(query, shard, true) {
                    let record = &mut self.queries[query];
                    record.shards[shard].settled = true;
                    record.state.lost += 1;
                }
            }
        }
        self.step(query);
    }

    fn hedge(&mut self, query: usize, shard: usize) {
        let record = &self.queries[query];
        let attempts = &record.shards[shard];
        if record.ended.is_some() || attempts.settled || !attempts.may_hedge {
            return;
        }
        let host = &self.hosts[record.host];
        let mut rng = StdRng::from_rng(&mut self.rng);
        let placing = &self.scenario.policy.placing;
        let name = &self.shard_names[shard];
        let view = self.view(host, record.class);
        let next = placement::select_target(view, name, &attempts.tried, &mut rng, placing);
        let state = next.and_then(|key| host.registry.get(key));
        let needs_room = self.scenario.policy.second_attempts.needs_room;
        if needs_room && state.is_some_and(|state| !hedge::has_capacity(state, self.now)) {
            if self.now + hedge::CAPACITY_POLL_INTERVAL
                < record.started + self.class(query).target_latency
            {
                self.schedule(
                    self.now + hedge::CAPACITY_POLL_INTERVAL,
                    Event::AttemptLate { query, shard },
                );
            }
            return;
        }
        self.queries[query].shards[shard].may_hedge = false;
        self.launch(query, shard, true);
    }

    fn step(&mut self, query: usize) {
        let record = &self.queries[query];
        if record.ended.is_some() {
            return;
        }
        let soft_deadline = record.started + self.class(query).target_latency;
        let soft_time_left = soft_deadline.saturating_sub(self.now);
        match record.state.step(soft_time_left, &self.scenario.policy.gathering) {
            GatherStep::Wait => {}
            GatherStep::Answer => {
                let in_time = self.now <= soft_deadline;
                self.end(query);
                let caller = self.queries[query].caller;
                self.settle(caller, |tally| {
                    let count = if in_time { &mut tally.in_time } else { &mut tally.late };
                    *count += 1;
                });
            }
            GatherStep::Fail => self.give_up(query),
        }
    }

    /// Fails a query because too few parts can arrive, or its deadline has passed.
    fn give_up(&mut self, query: usize) {
        if self.queries[query].ended.is_some() {
            return;
        }
        self.queries[query].load.failed = true;
        self.end(query);
        let caller = self.queries[query].caller;
        self.retry(caller, Duration::from_millis(20), |tally| tally.failed += 1);
    }

    /// Ends a query and reports the load that it observed to admission control.
    fn end(&mut self, query: usize) {
        self.queries[query].ended = Some(self.now);
        let record = &self.queries[query];
        let host = &self.hosts[record.host];
        let view = self.view(host, record.class);
        let target_latency = self.class(query).target_latency;
        let requested =
            (0..self.scenario.shards).filter(|shard| !record.shards[*shard].tried.is_empty());
        let waits =
            requested.filter_map(|shard| view.queue_wait(&self.shard_names[shard])).collect();
        let load = QueryLoad { waits, ..record.load.clone() };
        let elapsed = self.now.saturating_sub(record.started);
        let (host_index, now, scenario) = (record.host, self.now, self.scenario);
        let admission = &mut self.hosts[host_index].admission;
        admission.finish(now, elapsed, target_latency, Some(&load), &scenario.policy.admission);
    }

    fn refuse(&mut self, caller: usize, reason: RefusalReason) {
        let delay = retry_after(reason, None, &mut self.rng);
        self.retry(caller, delay, |tally| tally.refused += 1);
    }

    /// Retries the caller's query after a delay, or settles it if the retries are used up.
    fn retry(&mut self, caller: usize, delay: Duration, end: impl FnOnce(&mut Tally)) {
        if self.callers[caller].tries <= self.scenario.max_retries {
            self.schedule(self.now + delay, Event::Request { caller });
        } else {
            self.settle(caller, end);
        }
    }

    fn settle(&mut self, caller: usize, count: impl FnOnce(&mut Tally)) {
        let Caller { started, class, settled, .. } = &mut self.callers[caller];
        assert!(!std::mem::replace(settled, true), "a query ends once");
        if *started < WARM_UP {
            return;
        }
        let tally = &mut self.outcome.classes[*class];
        tally.requested += 1;
        count(tally);
    }
}
