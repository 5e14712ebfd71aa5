//! A discrete-event simulation in virtual time: queries over the shards of one site, targets with a
//! few slots, and between them either owners or the baseline. It is deterministic for a seed.
// Each test uses only a part of this module.
#![allow(dead_code, missing_docs, unused_imports)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;

use hawthorn_decide::AttemptResult;
use hawthorn_decide::Observation;
use hawthorn_decide::OwnerAction;
use hawthorn_decide::OwnerState;
use hawthorn_decide::PieceKey;
use hawthorn_decide::PieceResult;
use hawthorn_decide::QueuedPiece;
use hawthorn_decide::TickTime;
use hawthorn_decide::admit;
use hawthorn_decide::owner;
use hawthorn_types::CallerKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;

pub use load::Behaviour;
pub use load::CallerLoad;
pub use load::DAR_PORT;
pub use load::POLAND;
pub use load::QueryRecord;
pub use load::Site;
use load::sample_service_time;
pub use policy::Policy;
use policy::records;
use target::Job;
use target::JobKey;
use target::TargetSim;

pub mod credits;
pub mod load;
pub mod model;
pub mod baseline;
pub mod policy;
pub mod target;

pub const MILLI: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

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

pub struct Simulation {
    pub site: Site,
    pub now: u64,
    pub fronts: Vec<OwnerState>,
    pub queries: Vec<QueryRecord>,
    pub behaviours: Vec<Behaviour>,
    /// Attempts that arrived at a target with all slots in use.
    pub over_limit: u64,
    /// Attempts sent to targets.
    pub sent: u64,
    /// Slot time used at targets, including cancelled attempts.
    pub slot_time: u64,
    pub baseline: Option<baseline::BaselineState>,
    /// Whether targets reject attempts beyond their slots instead of queueing them.
    pub sheds: bool,
    seed: u64,
    targets: Vec<TargetSim>,
    events: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    wake_at: Vec<u64>,
    attempt_counts: HashMap<u64, u32>,
    lender: Option<credits::Lender>,
}

/// Range of piece keys reserved for each query.
const PIECES_PER_QUERY: u64 = 1 << 10;

impl Simulation {
    pub fn new(site: Site, policy: Policy, seed: u64) -> Self {
        let baseline =
            matches!(policy, Policy::Baseline).then(|| baseline::BaselineState::new(seed));
        let (count, options) = match &policy {
            Policy::Owners(options) => (1, *options),
            Policy::Shares { fronts, options, .. } => (*fronts, *options),
            Policy::Subsets { fronts, options } => (*fronts, *options),
            Policy::Credits { fronts, options, .. } => (*fronts, *options),
            Policy::Baseline => (0, owner::Options::default()),
        };
        let lender = match &policy {
            Policy::Credits { period, recall, .. } => {
                Some(credits::Lender::new(*period, *recall, count, site.targets() as usize))
            }
            _ => None,
        };
        let mut fronts = Vec::new();
        for front in 0..count {
            let mut owner = OwnerState::new(options, seed + front as u64);
            owner.set_targets(TickTime(0), &records(&site, &policy, front));
            fronts.push(owner);
        }
        let mut sim = Self {
            site,
            now: 0,
            wake_at: vec![u64::MAX; fronts.len()],
            fronts,
            queries: Vec::new(),
            behaviours: vec![Behaviour::default(); site.targets() as usize],
            over_limit: 0,
            sent: 0,
            slot_time: 0,
            baseline,
            sheds: false,
            seed,
            targets: (0..site.targets()).map(|_| TargetSim::default()).collect(),
            events: BinaryHeap::new(),
            serial: 0,
            attempt_counts: HashMap::new(),
            lender,
        };
        if let Some(period) = sim.lender.as_ref().map(|lender| lender.period) {
            sim.push(period, Event::Lend);
        }
        sim
    }

    /// Generates the arrivals of `loads`, the same for every policy.
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
        let shards =
            (0..load.shards_per_query).map(|step| (first + step) % self.site.shards).collect();
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

    /// Number of queries answered by all shards before their deadline.
    pub fn completed(&self, caller: Option<u32>) -> usize {
        let matches = |query: &&QueryRecord| caller.is_none_or(|caller| query.caller == caller);
        self.queries.iter().filter(matches).filter(|query| query.is_complete()).count()
    }

    /// A quantile of the latency of admitted queries.
    pub fn quantile(&self, caller: Option<u32>, share: f64) -> u64 {
        let matches = |query: &&QueryRecord| caller.is_none_or(|caller| query.caller == caller);
        let admitted = self.queries.iter().filter(matches).filter(|query| query.refused.is_none());
        let mut times: Vec<u64> = admitted.map(|query| query.latency()).collect();
        times.sort_unstable();
        let rank = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len().max(1));
        times.get(rank - 1).copied().unwrap_or(0)
    }

    /// Fraction of the requested shards that answered, over admitted queries.
    pub fn coverage(&self) -> f64 {
        let admitted = self.queries.iter().filter(|query| query.refused.is_none());
        let (answered, requested) = admitted.fold((0u64, 0u64), |(answered, requested), query| {
            (answered + u64::from(query.answered), requested + query.shards.len() as u64)
        });
        answered as f64 / requested.max(1) as f64
    }

    pub fn first_attempts(&self) -> u64 {
        self.attempt_counts.len() as u64
    }

    /// Ratio of extra attempts to first attempts.
    pub fn extra_ratio(&self) -> f64 {
        self.sent as f64 / self.first_attempts().max(1) as f64 - 1.0
    }

    /// Arrival times of attempts at the target.
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
                if self.wake_at[front] == self.now {
                    self.wake_at[front] = u64::MAX;
                    self.fronts[front].tick(TickTime(self.now));
                    self.process_actions(front);
                }
            }
            Event::Observe { target, observation } => {
                for front in 0..self.fronts.len() {
                    self.fronts[front].observe(
                        TickTime(self.now),
                        TargetKey(target),
                        observation.clone(),
                    );
                    self.process_actions(front);
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
            self.process_actions(front);
        }
        // Without other events the simulation is over.
        if !self.events.is_empty() {
            self.push(self.now + period, Event::Lend);
        }
    }

    fn on_query(&mut self, index: usize) {
        let query = self.queries[index].clone();
        if self.baseline.is_some() {
            return self.on_baseline_query(index, &query);
        }
        let front = (query.number % self.fronts.len() as u64) as usize;
        let now = TickTime(self.now);
        let shards: Vec<ShardKey> = query.shards.iter().map(|shard| ShardKey(*shard)).collect();
        let batch = owner::BatchRequest {
            caller: CallerKey(query.caller),
            urgency: query.urgency,
            shards: &shards,
            deadline: TickTime(query.deadline),
        };
        if let admit::Outcome::Refused { retry_after, .. } =
            self.fronts[front].admit_batch(now, &batch)
        {
            self.queries[index].refused = Some(retry_after);
            return;
        }
        self.queries[index].open = shards.len() as u32;
        for (step, shard) in shards.iter().enumerate() {
            let piece = QueuedPiece {
                piece: PieceKey(index as u64 * PIECES_PER_QUERY + step as u64),
                caller: CallerKey(query.caller),
                urgency: query.urgency,
                shard: *shard,
                version: IndexVersion(1),
                deadline: TickTime(query.deadline),
                expected_cost: None,
                at_most_once: false,
                relayable: false,
            };
            if self.fronts[front].submit(now, piece) != admit::Outcome::Queued {
                self.close_piece(piece.piece.0, false);
            }
        }
        self.process_actions(front);
    }

    fn on_baseline_query(&mut self, index: usize, query: &QueryRecord) {
        self.queries[index].open = query.shards.len() as u32;
        for (step, shard) in query.shards.iter().enumerate() {
            let piece = index as u64 * PIECES_PER_QUERY + step as u64;
            let Some(baseline) = &mut self.baseline else { return };
            let target = baseline.choose(*shard, &self.site);
            self.push(query.deadline, Event::Deadline { piece });
            self.send(0, piece, piece, target);
        }
    }

    fn process_actions(&mut self, front: usize) {
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
        if wake < self.wake_at[front] {
            self.wake_at[front] = wake;
            self.push(wake, Event::Wake { front });
        }
    }

    /// Answers `GET /state`: ready unless draining, even if the target is slow, cold or hangs.
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
        let attempt_number = self.attempt_counts.entry(piece).or_insert(0);
        let service =
            sample_service_time(&self.site, self.seed, &self.queries, piece, *attempt_number);
        *attempt_number += 1;
        let slowdown = self.behaviours[target as usize].slowdown;
        self.sent += 1;
        self.serial += 1;
        let job = Job {
            key: JobKey { front, attempt },
            service: (service * slowdown) as u64,
            serial: self.serial,
            started: 0,
        };
        self.push(self.now + self.site.latency, Event::Arrive { target, job });
    }

    fn close_piece(&mut self, piece: u64, answered: bool) {
        if let Some(baseline) = &mut self.baseline
            && !baseline.close(piece)
        {
            return;
        }
        let query = &mut self.queries[(piece / PIECES_PER_QUERY) as usize];
        query.open -= 1;
        query.answered += u32::from(answered);
        query.end = query.end.max(self.now);
    }
}
