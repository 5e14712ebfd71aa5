//! A small fleet in virtual time: hosts with the decisions of this crate, targets
//! with slots and queues, callers who come back when they are refused.

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

/// One way between a host and a target.
const WAY: Duration = Duration::from_micros(500);
/// An attempt that is out when its caller has its answer may go on for so long.
const LINGER: Duration = Duration::from_millis(300);
/// Queries before this are the fleet's warming up and not counted.
const WARM: Duration = Duration::from_secs(2);
/// What operators allow: a fifth more attempts, and a few.
const BUDGET: FleetBudget =
    FleetBudget { window: Duration::from_secs(10), share: 0.2, allowance: 56.0 };

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    pub hosts: usize,
    /// Shards of each query; of the first `halved` one of the two targets is gone.
    pub shards: usize,
    pub halved: usize,
    /// Requests that a target works on at a time, and that wait there at the most.
    pub slots: u32,
    pub queue: u32,
    /// How long it works on one, mean.
    pub work: Duration,
    pub aim: Duration,
    pub deadline: Duration,
    pub least_share: f64,
    /// Share of the queries that are urgent.
    pub urgent_share: f64,
    /// Queries a second, of all callers.
    pub rate: f64,
    /// How often a caller asks again.
    pub again: u32,
    pub span: Duration,
    pub policy: RoutePolicy,
}

/// What callers got, of queries asked for the first time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

/// The tallies of the urgent and the other queries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub urgent: Tally,
    pub ordinary: Tally,
}

impl Outcome {
    /// Queries asked for the first time, a second.
    pub fn offered(&self, scene: &Scene) -> f64 {
        f64::from(self.urgent.asked + self.ordinary.asked) / (scene.span - WARM).as_secs_f64()
    }

    /// Queries in time a second.
    pub fn goodput(&self, scene: &Scene) -> f64 {
        f64::from(self.urgent.in_time + self.ordinary.in_time) / (scene.span - WARM).as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask { caller: usize },
    Arrive { attempt: usize },
    Worked { attempt: usize },
    Reply { attempt: usize },
    Late { query: usize, shard: usize },
    Aim { query: usize },
    End { query: usize },
}

/// A caller with one question, asked until it is answered or given up.
struct Caller {
    first: Duration,
    urgent: bool,
    asked: u32,
    settled: bool,
}

struct Race {
    tried: TargetKeys,
    flying: usize,
    settled: bool,
    hedging: bool,
}

struct Query {
    caller: usize,
    host: usize,
    started: Duration,
    state: GatherState,
    races: Vec<Race>,
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
    told: Option<ReportedLoad>,
}

#[derive(Default)]
struct Target {
    running: u32,
    waiting: VecDeque<usize>,
}

struct Host {
    registry: TargetRegistry,
    /// The target that each key names.
    numbers: HashMap<TargetKey, usize>,
    times: ServiceTimes,
    works: ServiceTimes,
    budgets: Vec<RetryBudget>,
    door: QueryAdmission,
}

struct Fleet<'a> {
    scene: &'a Scene,
    now: Duration,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    lots: StdRng,
    callers: Vec<Caller>,
    queries: Vec<Query>,
    attempts: Vec<Attempt>,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    names: Vec<String>,
    outcome: Outcome,
}

/// Plays a scene; the same for the same seed.
pub fn play(scene: &Scene, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(scene, seed);
    while let Some(Reverse((at, _, event))) = fleet.heap.pop() {
        fleet.now = at;
        fleet.take(event);
    }
    fleet.outcome
}

impl<'a> Fleet<'a> {
    fn new(scene: &'a Scene, seed: u64) -> Self {
        let names: Vec<String> = (0..scene.shards).map(|shard| format!("s{shard}")).collect();
        let host = || {
            let mut registry = TargetRegistry::new(scene.policy.targets, "east");
            let mut numbers = HashMap::new();
            for (shard, name) in names.iter().enumerate() {
                for copy in 0..if shard < scene.halved { 1 } else { 2 } {
                    let mut entry = support::entry(&format!("t{shard}-{copy}"), name, "east");
                    entry.slots = scene.slots;
                    registry.put(entry, 1, Duration::ZERO);
                    let key = registry.of_service(name)[copy];
                    numbers.insert(key, shard * 2 + copy);
                }
            }
            let guess = (scene.aim / 8).as_micros() as u64;
            Host {
                registry,
                numbers,
                times: ServiceTimes::new(guess),
                works: ServiceTimes::new(guess),
                budgets: vec![RetryBudget::default(); scene.shards],
                door: QueryAdmission::default(),
            }
        };
        let hosts = (0..scene.hosts).map(|_| host()).collect();
        let targets = (0..scene.shards * 2).map(|_| Target::default()).collect();
        let mut fleet = Self {
            scene,
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            number: 0,
            lots: StdRng::seed_from_u64(seed),
            callers: Vec::new(),
            queries: Vec::new(),
            attempts: Vec::new(),
            targets,
            hosts,
            names,
            outcome: Outcome::default(),
        };
        let mut at = Duration::ZERO;
        while at < scene.span {
            let gap: f64 = fleet.lots.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-gap.ln() / scene.rate);
            let urgent = fleet.lots.random_bool(scene.urgent_share);
            fleet.callers.push(Caller { first: at, urgent, asked: 0, settled: false });
            fleet.at(at, Event::Ask { caller: fleet.callers.len() - 1 });
        }
        fleet
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number, event)));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Ask { caller } => self.ask(caller),
            Event::Arrive { attempt } => self.arrive(attempt),
            Event::Worked { attempt } => self.worked(attempt),
            Event::Reply { attempt } => self.reply(attempt),
            Event::Late { query, shard } => self.late(query, shard),
            Event::Aim { query } => self.step(query),
            Event::End { query } => self.give_up(query),
        }
    }

    fn budget(&self) -> budget::Options {
        let running = self.now + Duration::from_secs(60);
        let hosts = self.scene.hosts;
        let gathering = Some(running);
        let view = FleetView { hosts, running, gatherers: hosts, gathering, awaiting_peers: false };
        budget::host_share(&BUDGET, &view, ServiceUse::Shard)
    }

    fn view<'h>(&self, host: &'h Host) -> PlacementView<'h> {
        let micros = Duration::from_micros;
        let (usual, queued) = (micros(host.times.median()), micros(host.works.median()));
        let (registry, aim, now) = (&host.registry, self.scene.aim, self.now);
        PlacementView { queued_service_time: queued, ..support::view(registry, usual, aim, now) }
    }

    fn ask(&mut self, caller: usize) {
        let scene = self.scene;
        let number = self.lots.random_range(0..scene.hosts);
        let urgent = self.callers[caller].urgent;
        self.callers[caller].asked += 1;
        if !self.hosts[number].door.admit(self.now, urgent, &scene.policy.admission) {
            return self.refuse(caller, RefusalReason::HostFull);
        }
        let state =
            GatherState { shards: scene.shards, parts: 0, lost: 0, min_share: scene.least_share };
        let spare = state.max_missing();
        let skipped = {
            let host = &self.hosts[number];
            let places = (0_u16..).zip(self.names.iter().map(String::as_str));
            if host.door.is_overloaded(self.now) {
                skip::skip(self.view(host), places, spare, scene.aim, &scene.policy.skipping)
            } else {
                Vec::new()
            }
        };
        let race = |_| Race {
            tried: TargetKeys::new(),
            flying: 0,
            settled: false,
            hedging: scene.policy.second_attempts.on,
        };
        let query = self.queries.len();
        self.queries.push(Query {
            caller,
            host: number,
            started: self.now,
            state: GatherState { lost: skipped.len(), ..state },
            races: (0..scene.shards).map(race).collect(),
            load: QueryLoad {
                waits: Vec::new(),
                rejected: 0,
                shards: scene.shards,
                max_missing: spare - skipped.len(),
                failed: false,
            },
            ended: None,
        });
        for shard in 0..scene.shards {
            if skipped.contains(&(shard as u16)) {
                self.queries[query].races[shard].settled = true;
                continue;
            }
            let options = self.budget();
            let now = self.now;
            self.hosts[number].budgets[shard].earn(now, &options);
            self.launch(query, shard, false);
            self.await_late(query, shard);
        }
        self.at(self.now + scene.aim, Event::Aim { query });
        self.at(self.now + scene.deadline, Event::End { query });
    }

    fn await_late(&mut self, query: usize, shard: usize) {
        let options = self.budget();
        let host = &self.hosts[self.queries[query].host];
        let fullness = host.budgets[shard].fullness(&options);
        let second = &self.scene.policy.second_attempts;
        let delay = hedge::delay(&host.times, self.scene.aim, fullness, second);
        self.at(self.now + delay, Event::Late { query, shard });
    }

    fn launch(&mut self, query: usize, shard: usize, extra: bool) -> bool {
        let number = self.queries[query].host;
        let (options, now, scene) = (self.budget(), self.now, self.scene);
        let mut lots = StdRng::from_rng(&mut self.lots);
        let host = &self.hosts[number];
        let tried = &self.queries[query].races[shard].tried;
        let placing = &scene.policy.placing;
        let key = placement::select_target(
            self.view(host),
            &self.names[shard],
            tried,
            &mut lots,
            placing,
        );
        let Some(key) = key else { return false };
        if extra && !self.hosts[number].budgets[shard].spend(now, &options) {
            return false;
        }
        let host = &mut self.hosts[number];
        host.registry.get_mut(key).expect("it was placed just now").send(now);
        let target = host.numbers[&key];
        let race = &mut self.queries[query].races[shard];
        race.tried.push(key);
        race.flying += 1;
        let (sent, end) = (now, AttemptEnd::Answered);
        self.attempts.push(Attempt { query, shard, key, target, sent, end, told: None });
        self.at(now + WAY, Event::Arrive { attempt: self.attempts.len() - 1 });
        true
    }

    fn arrive(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        let place = &mut self.targets[target];
        if place.running < self.scene.slots {
            place.running += 1;
            self.work(attempt);
        } else if place.waiting.len() < self.scene.queue as usize {
            place.waiting.push_back(attempt);
        } else {
            self.answer(attempt, AttemptEnd::NotRun);
        }
    }

    fn work(&mut self, attempt: usize) {
        let factor = self.lots.random_range(0.5..1.5);
        let tail = if self.lots.random_bool(0.01) { 5.0 } else { 1.0 };
        let time = self.scene.work.mul_f64(factor * tail);
        self.at(self.now + time, Event::Worked { attempt });
    }

    fn worked(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].running -= 1;
        while let Some(next) = self.targets[target].waiting.pop_front() {
            let ended = self.queries[self.attempts[next].query].ended;
            // Its connection was closed meanwhile.
            if ended.is_some_and(|ended| self.now > ended + LINGER) {
                self.answer(next, AttemptEnd::Silent);
                continue;
            }
            self.targets[target].running += 1;
            self.work(next);
            break;
        }
        self.answer(attempt, AttemptEnd::Answered);
    }

    fn answer(&mut self, attempt: usize, end: AttemptEnd) {
        let Target { running, waiting } = &self.targets[self.attempts[attempt].target];
        let (running, waiting) = (*running, waiting.len() as u32);
        let told = ReportedLoad { running, waiting, slots: self.scene.slots, at: self.now };
        let record = &mut self.attempts[attempt];
        record.end = end;
        record.told = (end != AttemptEnd::Silent).then_some(told);
        self.at(self.now + WAY, Event::Reply { attempt });
    }

    fn reply(&mut self, attempt: usize) {
        let Attempt { query, shard, key, sent, end, told, .. } = self.attempts[attempt];
        let now = self.now;
        let host = &mut self.hosts[self.queries[query].host];
        let usual = Duration::from_micros(host.times.median());
        let state = host.registry.get_mut(key).expect("targets stay");
        let free = state.has_free_slot(sent);
        if let Some(told) = told {
            state.report_load(ReportedLoad { at: now, ..told });
        }
        if end == AttemptEnd::Silent {
            state.abandon(sent, now, usual);
        } else {
            state.end(sent, now, end, usual);
        }
        if end == AttemptEnd::Answered {
            let micros = now.saturating_sub(sent).as_micros() as u64;
            host.times.record(micros);
            if free {
                host.works.record(micros);
            }
        }
        let record = &mut self.queries[query];
        let race = &mut record.races[shard];
        race.flying -= 1;
        if record.ended.is_some() || race.settled {
            return;
        }
        match end {
            AttemptEnd::Answered => {
                race.settled = true;
                record.state.parts += 1;
            }
            _ => {
                record.load.rejected += usize::from(end == AttemptEnd::NotRun);
                let alone = race.flying == 0;
                if alone && !self.launch(query, shard, true) {
                    let record = &mut self.queries[query];
                    record.races[shard].settled = true;
                    record.state.lost += 1;
                }
            }
        }
        self.step(query);
    }

    fn late(&mut self, query: usize, shard: usize) {
        let record = &self.queries[query];
        let race = &record.races[shard];
        if record.ended.is_some() || race.settled || !race.hedging {
            return;
        }
        let host = &self.hosts[record.host];
        let mut lots = StdRng::from_rng(&mut self.lots);
        let placing = &self.scene.policy.placing;
        let name = &self.names[shard];
        let next = placement::select_target(self.view(host), name, &race.tried, &mut lots, placing);
        let room = next.and_then(|key| host.registry.get(key));
        let needs_room = self.scene.policy.second_attempts.needs_room;
        if needs_room && room.is_some_and(|state| !hedge::has_capacity(state, self.now)) {
            if self.now + hedge::CAPACITY_POLL_INTERVAL < record.started + self.scene.aim {
                self.at(self.now + hedge::CAPACITY_POLL_INTERVAL, Event::Late { query, shard });
            }
            return;
        }
        self.queries[query].races[shard].hedging = false;
        self.launch(query, shard, true);
    }

    fn step(&mut self, query: usize) {
        let record = &self.queries[query];
        if record.ended.is_some() {
            return;
        }
        let due = record.started + self.scene.aim;
        let aim_left = due.saturating_sub(self.now);
        match record.state.step(aim_left, &self.scene.policy.gathering) {
            GatherStep::Wait => {}
            GatherStep::Answer => {
                let in_time = self.now <= due;
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

    /// Too few parts can come, or the time is over.
    fn give_up(&mut self, query: usize) {
        if self.queries[query].ended.is_some() {
            return;
        }
        self.queries[query].load.failed = true;
        self.end(query);
        let caller = self.queries[query].caller;
        self.come_back(caller, Duration::from_millis(20), |tally| tally.failed += 1);
    }

    /// The query is over; the door hears of the load that it met.
    fn end(&mut self, query: usize) {
        self.queries[query].ended = Some(self.now);
        let record = &self.queries[query];
        let host = &self.hosts[record.host];
        let view = self.view(host);
        let asked = (0..self.scene.shards).filter(|shard| !record.races[*shard].tried.is_empty());
        let waits = asked.filter_map(|shard| view.queue_wait(&self.names[shard])).collect();
        let load = QueryLoad { waits, ..record.load.clone() };
        let took = self.now.saturating_sub(record.started);
        let (number, now, scene) = (record.host, self.now, self.scene);
        let door = &mut self.hosts[number].door;
        door.finish(now, took, scene.aim, Some(&load), &scene.policy.admission);
    }

    fn refuse(&mut self, caller: usize, reason: RefusalReason) {
        let after = retry_after(reason, None, &mut self.lots);
        self.come_back(caller, after, |tally| tally.refused += 1);
    }

    /// The caller asks again after some time, or gives up.
    fn come_back(&mut self, caller: usize, after: Duration, end: impl FnOnce(&mut Tally)) {
        if self.callers[caller].asked <= self.scene.again {
            self.at(self.now + after, Event::Ask { caller });
        } else {
            self.settle(caller, end);
        }
    }

    fn settle(&mut self, caller: usize, count: impl FnOnce(&mut Tally)) {
        let Caller { first, urgent, settled, .. } = &mut self.callers[caller];
        assert!(!std::mem::replace(settled, true), "a caller's question ends once");
        if *first < WARM {
            return;
        }
        let tally = if *urgent { &mut self.outcome.urgent } else { &mut self.outcome.ordinary };
        tally.asked += 1;
        count(tally);
    }
}
