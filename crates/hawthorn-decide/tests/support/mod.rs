//! A small event loop in virtual time: queries over all shards of one site,
//! targets that work with a few slots, and either owners or a naive sender
//! between them. Everything is drawn from the seed; nothing reads a clock.
#![allow(dead_code, missing_docs)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthorn_decide::AttemptResult;
use hawthorn_decide::Observation;
use hawthorn_decide::OwnerAction;
use hawthorn_decide::OwnerState;
use hawthorn_decide::PieceKey;
use hawthorn_decide::PieceResult;
use hawthorn_decide::QueuedPiece;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::TickTime;
use hawthorn_decide::admit;
use hawthorn_decide::owner;
use hawthorn_types::AttemptId;
use hawthorn_types::CallerKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::WantedState;
use hawthorn_types::caller::UrgencyClass;
use hawthorn_types::target::TargetRefusal;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;

pub mod credits;
pub mod model;
pub mod naive;

pub const MILLI: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// The targets of one service in one zone.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub shards: u32,
    pub replicas: u32,
    pub slots: u16,
    /// Median service time.
    pub service: u64,
    /// One-way latency between an owner and a target.
    pub latency: u64,
    /// Part of requests that take `STRAGGLE` times as long.
    pub stragglers: f64,
}

pub const STRAGGLE: f64 = 20.0;
/// Spread of ordinary service times: standard deviation of their logarithm.
const SPREAD: f64 = 0.25;

pub const DAR_PORT: Site =
    Site { shards: 20, replicas: 2, slots: 2, service: 5 * MILLI, latency: 500, stragglers: 0.0 };
pub const POLAND: Site =
    Site { shards: 30, replicas: 2, slots: 2, service: 5 * MILLI, latency: 250, stragglers: 0.0 };

impl Site {
    pub fn targets(&self) -> u32 {
        self.shards * self.replicas
    }

    /// Queries a second that take up all slots, without stragglers.
    pub fn capacity(&self) -> f64 {
        let mean = self.service as f64 * (SPREAD * SPREAD / 2.0).exp() + 2.0 * self.latency as f64;
        f64::from(self.replicas) * f64::from(self.slots) * SECOND as f64 / mean
    }
}

/// One caller's stream of queries.
#[derive(Clone, Copy, Debug)]
pub struct CallerLoad {
    pub caller: u32,
    /// Queries a second.
    pub rate: f64,
    /// Its work takes so many times longer than the site's.
    pub weight: f64,
    pub urgency: UrgencyClass,
    pub deadline: u64,
    pub from: u64,
    pub until: u64,
    /// Shards of each query, from a random first one.
    pub breadth: u32,
}

impl CallerLoad {
    pub fn new(caller: u32, rate: f64, site: &Site) -> Self {
        Self {
            caller,
            rate,
            weight: 1.0,
            urgency: UrgencyClass::Urgent,
            deadline: SECOND,
            from: 0,
            until: 10 * SECOND,
            breadth: site.shards,
        }
    }
}

/// How one target behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub speed: f64,
    /// Answers nothing but `GET /state` from then on.
    pub hangs_from: u64,
    pub hangs_until: u64,
    /// Refuses as cold until then, and answers slowly for a while.
    pub cold_until: u64,
    /// Refuses as draining from then on.
    pub drains_from: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            speed: 1.0,
            hangs_from: u64::MAX,
            hangs_until: u64::MAX,
            cold_until: 0,
            drains_from: u64::MAX,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct JobKey {
    pub front: usize,
    pub attempt: u64,
}

#[derive(Clone, Debug)]
struct Job {
    key: JobKey,
    service: u64,
    serial: u64,
    started: u64,
}

#[derive(Debug, Default)]
struct TargetSim {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    hung: Vec<JobKey>,
    pub received: Vec<u64>,
}

#[derive(Debug)]
enum Event {
    Query(usize),
    Arrive { target: u32, job: Job },
    Done { target: u32, serial: u64 },
    Ended { target: u32, key: JobKey, result: AttemptResult },
    Cancel { target: u32, key: JobKey },
    Wake { front: usize },
    Observe { target: u32, observation: Observation },
    Deadline { piece: u64 },
    Lend,
}

struct Entry(u64, u64, Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[derive(Clone, Debug)]
pub struct QueryRecord {
    pub caller: u32,
    pub number: u64,
    pub urgency: UrgencyClass,
    pub weight: f64,
    pub start: u64,
    pub deadline: u64,
    pub shards: Vec<u32>,
    pub open: u32,
    pub answered: u32,
    pub end: u64,
    /// Refused whole before anything was sent.
    pub refused: Option<Duration>,
}

impl QueryRecord {
    pub fn is_whole(&self) -> bool {
        self.refused.is_none() && self.answered as usize == self.shards.len()
    }

    pub fn latency(&self) -> u64 {
        self.end - self.start
    }
}

/// Who stands between queries and targets.
pub enum Policy {
    /// Owners; shard `s` belongs to `s % owners`, queries are admitted whole.
    Owners(owner::Options),
    /// Fronts that each hold all targets with `slots` slots of their own.
    Shares { fronts: usize, slots: u16, options: owner::Options },
    /// Fronts that each hold one replica of each shard alone.
    Subsets { fronts: usize, options: owner::Options },
    /// Fronts that borrow slots of all targets from a lender, which gives what
    /// is idle to those that have work waiting, each `period`.
    Credits { fronts: usize, period: u64, options: owner::Options },
    /// Random replica, no hedge, first come first served at the target.
    Naive,
}

pub struct World {
    pub site: Site,
    pub now: u64,
    pub fronts: Vec<OwnerState>,
    pub queries: Vec<QueryRecord>,
    pub behaviours: Vec<Behaviour>,
    /// Attempts that came to a target with all slots taken.
    pub overfilled: u64,
    /// Attempts sent to targets.
    pub sent: u64,
    /// Slot time spent at targets, also on attempts that were cancelled.
    pub spent: u64,
    pub naive: Option<naive::NaiveState>,
    /// Targets refuse what comes beyond their slots instead of queueing it.
    pub sheds: bool,
    whole: bool,
    seed: u64,
    targets: Vec<TargetSim>,
    events: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    woken: Vec<u64>,
    tries: HashMap<u64, u32>,
    pub sends: Vec<(u64, u32)>,
    lender: Option<credits::Lender>,
}

/// Pieces are numbered query by query.
const PIECES_A_QUERY: u64 = 1 << 10;

impl World {
    pub fn new(site: Site, policy: Policy, seed: u64) -> Self {
        let naive = matches!(policy, Policy::Naive).then(|| naive::NaiveState::new(seed));
        let (count, options) = match &policy {
            Policy::Owners(options) => (1, *options),
            Policy::Shares { fronts, options, .. } => (*fronts, *options),
            Policy::Subsets { fronts, options } => (*fronts, *options),
            Policy::Credits { fronts, options, .. } => (*fronts, *options),
            Policy::Naive => (0, owner::Options::default()),
        };
        let lender = match &policy {
            Policy::Credits { period, .. } => {
                Some(credits::Lender::new(*period, count, site.targets() as usize))
            }
            _ => None,
        };
        let mut fronts = Vec::new();
        for front in 0..count {
            let mut owner = OwnerState::new(options, seed + front as u64);
            owner.set_targets(TickTime(0), &records(&site, &policy, front));
            fronts.push(owner);
        }
        let mut world = Self {
            site,
            now: 0,
            woken: vec![u64::MAX; fronts.len()],
            fronts,
            queries: Vec::new(),
            behaviours: vec![Behaviour::default(); site.targets() as usize],
            overfilled: 0,
            sent: 0,
            spent: 0,
            naive,
            sheds: false,
            whole: true,
            seed,
            targets: (0..site.targets()).map(|_| TargetSim::default()).collect(),
            events: BinaryHeap::new(),
            serial: 0,
            tries: HashMap::new(),
            sends: Vec::new(),
            lender,
        };
        if let Some(period) = world.lender.as_ref().map(|lender| lender.period) {
            world.push(period, Event::Lend);
        }
        world
    }

    /// Draws the arrivals of `loads`; the same for every policy.
    pub fn add_load(&mut self, loads: &[CallerLoad]) {
        for (number, load) in loads.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ (number as u64 + 1) << 20);
            let mut at = load.from as f64;
            loop {
                at += -(1.0 - rng.random::<f64>()).ln() / load.rate * SECOND as f64;
                if at as u64 >= load.until {
                    break;
                }
                self.add_query(at as u64, load, &mut rng);
            }
        }
    }

    pub fn add_query(&mut self, at: u64, load: &CallerLoad, rng: &mut ChaCha8Rng) {
        let first = rng.random_range(0..self.site.shards);
        let shards = (0..load.breadth).map(|step| (first + step) % self.site.shards).collect();
        self.queries.push(QueryRecord {
            caller: load.caller,
            number: rng.next_u64(),
            urgency: load.urgency,
            weight: load.weight,
            start: at,
            deadline: at + load.deadline,
            shards,
            open: 0,
            answered: 0,
            end: at,
            refused: None,
        });
        let query = self.queries.len() - 1;
        self.push(at, Event::Query(query));
    }

    pub fn observe_at(&mut self, at: u64, target: u32, observation: Observation) {
        self.push(at, Event::Observe { target, observation });
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse(Entry(at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse(Entry(at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
    }

    /// Queries that were answered whole before their deadline.
    pub fn good(&self, caller: Option<u32>) -> usize {
        let of = |query: &&QueryRecord| caller.is_none_or(|caller| query.caller == caller);
        self.queries.iter().filter(of).filter(|query| query.is_whole()).count()
    }

    /// A quantile of the latency of queries that were not refused whole.
    pub fn quantile(&self, caller: Option<u32>, share: f64) -> u64 {
        let of = |query: &&QueryRecord| caller.is_none_or(|caller| query.caller == caller);
        let ran = self.queries.iter().filter(of).filter(|query| query.refused.is_none());
        let mut times: Vec<u64> = ran.map(|query| query.latency()).collect();
        times.sort_unstable();
        let rank = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len().max(1));
        times.get(rank - 1).copied().unwrap_or(0)
    }

    /// Shards answered over shards asked, of queries not refused whole.
    pub fn coverage(&self) -> f64 {
        let ran = self.queries.iter().filter(|query| query.refused.is_none());
        let (answered, asked) = ran.fold((0u64, 0u64), |(answered, asked), query| {
            (answered + u64::from(query.answered), asked + query.shards.len() as u64)
        });
        answered as f64 / asked.max(1) as f64
    }

    pub fn first_attempts(&self) -> u64 {
        self.tries.len() as u64
    }

    /// Attempts beyond the first of each piece, over first attempts.
    pub fn extra(&self) -> f64 {
        self.sent as f64 / self.first_attempts().max(1) as f64 - 1.0
    }

    /// When attempts came to the target.
    pub fn received(&self, target: u32) -> &[u64] {
        &self.targets[target as usize].received
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse(Entry(at, self.serial, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Query(query) => self.on_query(query),
            Event::Arrive { target, job } => self.on_arrive(target, job),
            Event::Done { target, serial } => self.on_done(target, serial),
            Event::Ended { target, key, result } => self.on_ended(target, key, result),
            Event::Cancel { target, key } => self.on_cancel(target, key),
            Event::Wake { front } => {
                if self.woken[front] == self.now {
                    self.woken[front] = u64::MAX;
                    self.fronts[front].tick(TickTime(self.now));
                    self.act(front);
                }
            }
            Event::Observe { target, observation } => {
                for front in 0..self.fronts.len() {
                    self.fronts[front].observe(
                        TickTime(self.now),
                        TargetKey(target),
                        observation.clone(),
                    );
                    self.act(front);
                }
            }
            Event::Deadline { piece } => self.close_piece(piece, false),
            Event::Lend => self.on_lend(),
        }
    }

    fn on_lend(&mut self) {
        let Some(lender) = &mut self.lender else { return };
        lender.lend(TickTime(self.now), &self.site, &mut self.fronts);
        let period = lender.period;
        for front in 0..self.fronts.len() {
            self.act(front);
        }
        // With nothing else to come the world is at its end.
        if !self.events.is_empty() {
            self.push(self.now + period, Event::Lend);
        }
    }

    fn on_query(&mut self, index: usize) {
        let query = self.queries[index].clone();
        if self.naive.is_some() {
            return self.on_naive_query(index, &query);
        }
        let front = (query.number % self.fronts.len() as u64) as usize;
        let now = TickTime(self.now);
        let shards: Vec<ShardKey> = query.shards.iter().map(|shard| ShardKey(*shard)).collect();
        let batch = owner::BatchAsk {
            caller: CallerKey(query.caller),
            urgency: query.urgency,
            shards: &shards,
            deadline: TickTime(query.deadline),
        };
        if self.whole
            && let admit::Outcome::Refused { retry_after, .. } =
                self.fronts[front].admit_batch(now, &batch)
        {
            self.queries[index].refused = Some(retry_after);
            return;
        }
        self.queries[index].open = shards.len() as u32;
        for (step, shard) in shards.iter().enumerate() {
            let piece = QueuedPiece {
                piece: PieceKey(index as u64 * PIECES_A_QUERY + step as u64),
                caller: CallerKey(query.caller),
                urgency: query.urgency,
                shard: *shard,
                version: IndexVersion(1),
                deadline: TickTime(query.deadline),
                expected_cost: None,
                once: false,
            };
            if self.fronts[front].submit(now, piece) != admit::Outcome::Queued {
                self.close_piece(piece.piece.0, false);
            }
        }
        self.act(front);
    }

    fn on_naive_query(&mut self, index: usize, query: &QueryRecord) {
        self.queries[index].open = query.shards.len() as u32;
        for (step, shard) in query.shards.iter().enumerate() {
            let piece = index as u64 * PIECES_A_QUERY + step as u64;
            let Some(naive) = &mut self.naive else { return };
            let target = naive.choose(*shard, &self.site);
            self.push(query.deadline, Event::Deadline { piece });
            self.send(0, piece, piece, target);
        }
    }

    fn act(&mut self, front: usize) {
        while let Some(action) = self.fronts[front].poll_action() {
            match action {
                OwnerAction::Send { attempt, piece, target, .. } => {
                    self.send(front, attempt.0, piece.0, target.0);
                }
                OwnerAction::Cancel { attempt, target }
                | OwnerAction::Close { attempt, target } => {
                    let key = JobKey { front, attempt: attempt.0 };
                    self.push(
                        self.now + self.site.latency,
                        Event::Cancel { target: target.0, key },
                    );
                }
                OwnerAction::Finish { piece, result } => {
                    self.close_piece(piece.0, matches!(result, PieceResult::Answered { .. }));
                }
                OwnerAction::Probe { target } => self.probe(target.0),
            }
        }
        let wake = self.fronts[front].next_wake().map_or(u64::MAX, |at| at.0.max(self.now));
        if wake < self.woken[front] {
            self.woken[front] = wake;
            self.push(wake, Event::Wake { front });
        }
    }

    /// The state page: always ready unless draining, like the ones that mislead.
    fn probe(&mut self, target: u32) {
        let behaviour = self.behaviours[target as usize];
        let draining = self.now >= behaviour.drains_from;
        let phase = if draining { TargetPhase::Draining } else { TargetPhase::Ready };
        let shard = ShardKey(target % self.site.shards);
        let held = smallvec![hawthorn_decide::HeldShard { shard, version: IndexVersion(1) }];
        let observation = Observation::Reported { phase, held };
        self.push(self.now + 2 * self.site.latency, Event::Observe { target, observation });
    }

    fn send(&mut self, front: usize, attempt: u64, piece: u64, target: u32) {
        let try_number = self.tries.entry(piece).or_insert(0);
        let service = draw(&self.site, self.seed, &self.queries, piece, *try_number);
        *try_number += 1;
        let speed = self.behaviours[target as usize].speed;
        self.sent += 1;
        self.serial += 1;
        let job = Job {
            key: JobKey { front, attempt },
            service: (service * speed) as u64,
            serial: self.serial,
            started: 0,
        };
        self.sends.push((self.now, target));
        self.push(self.now + self.site.latency, Event::Arrive { target, job });
    }

    fn on_arrive(&mut self, target: u32, job: Job) {
        let behaviour = self.behaviours[target as usize];
        let sim = &mut self.targets[target as usize];
        sim.received.push(self.now);
        if self.now >= behaviour.hangs_from && self.now < behaviour.hangs_until {
            sim.hung.push(job.key);
            return;
        }
        let refusal = match self.now {
            now if now >= behaviour.drains_from => Some(TargetRefusal::Draining),
            now if now < behaviour.cold_until => Some(TargetRefusal::Cold),
            _ => None,
        };
        if let Some(refusal) = refusal {
            return self.end(target, job.key, AttemptResult::Refused(refusal));
        }
        if sim.running.len() >= usize::from(self.site.slots) {
            self.overfilled += 1;
            if self.sheds {
                let result = AttemptResult::Refused(TargetRefusal::Shedding);
                return self.end(target, job.key, result);
            }
            sim.waiting.push_back(job);
            return;
        }
        self.start(target, job);
    }

    fn start(&mut self, target: u32, mut job: Job) {
        job.started = self.now;
        let done = self.now + job.service;
        let serial = job.serial;
        self.targets[target as usize].running.push(job);
        self.push(done, Event::Done { target, serial });
    }

    fn on_done(&mut self, target: u32, serial: u64) {
        let sim = &mut self.targets[target as usize];
        let Some(position) = sim.running.iter().position(|job| job.serial == serial) else {
            return;
        };
        let job = sim.running.swap_remove(position);
        self.spent += self.now - job.started;
        self.end(target, job.key, AttemptResult::Answered);
        self.start_next(target);
    }

    fn start_next(&mut self, target: u32) {
        if let Some(job) = self.targets[target as usize].waiting.pop_front() {
            self.start(target, job);
        }
    }

    fn on_cancel(&mut self, target: u32, key: JobKey) {
        let sim = &mut self.targets[target as usize];
        sim.hung.retain(|hung| *hung != key);
        if let Some(position) = sim.waiting.iter().position(|job| job.key == key) {
            sim.waiting.remove(position);
        } else if let Some(position) = sim.running.iter().position(|job| job.key == key) {
            let job = sim.running.swap_remove(position);
            self.spent += self.now - job.started;
            self.start_next(target);
        } else {
            return;
        }
        self.end(target, key, AttemptResult::Cancelled);
    }

    fn end(&mut self, target: u32, key: JobKey, result: AttemptResult) {
        self.push(self.now + self.site.latency, Event::Ended { target, key, result });
    }

    fn on_ended(&mut self, _target: u32, key: JobKey, result: AttemptResult) {
        if self.naive.is_some() {
            return self.close_piece(key.attempt, result == AttemptResult::Answered);
        }
        self.fronts[key.front].complete(TickTime(self.now), AttemptId(key.attempt), result);
        self.act(key.front);
    }

    fn close_piece(&mut self, piece: u64, answered: bool) {
        if let Some(naive) = &mut self.naive
            && !naive.close(piece)
        {
            return;
        }
        let query = &mut self.queries[(piece / PIECES_A_QUERY) as usize];
        query.open -= 1;
        query.answered += u32::from(answered);
        query.end = query.end.max(self.now);
    }
}

/// Targets of shard `s` are `s`, `s + shards`, `s + 2 x shards`, ...
fn records(site: &Site, policy: &Policy, front: usize) -> Vec<TargetRecord> {
    let slots = match policy {
        Policy::Shares { slots, .. } => *slots,
        Policy::Credits { .. } => 0,
        _ => site.slots,
    };
    let mine = |target: u32| match policy {
        Policy::Subsets { .. } => (target / site.shards) as usize == front % site.replicas as usize,
        _ => true,
    };
    let record = |target: u32| TargetRecord {
        key: TargetKey(target),
        slots,
        wanted: WantedState::Serve,
        shards: smallvec![ShardKey(target % site.shards)],
    };
    (0..site.targets()).filter(|target| mine(*target)).map(record).collect()
}

/// The service time of one try of one piece: the same whatever the policy.
fn draw(site: &Site, seed: u64, queries: &[QueryRecord], piece: u64, try_number: u32) -> f64 {
    let query = &queries[(piece / PIECES_A_QUERY) as usize];
    let step = piece % PIECES_A_QUERY;
    let mix =
        query.number ^ (step << 8 | u64::from(try_number)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ mix);
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let straggles = rng.random::<f64>() < site.stragglers;
    let factor = if straggles { STRAGGLE } else { 1.0 };
    site.service as f64 * query.weight * factor * (SPREAD * normal).exp()
}
