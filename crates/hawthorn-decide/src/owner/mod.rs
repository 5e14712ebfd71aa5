//! The decisions of an owner as one state machine that its daemon drives.
//!
//! The daemon calls in with what happened and the time, then takes actions out
//! until there are none, and calls [`OwnerState::tick`] no later than
//! [`OwnerState::next_wake`]. All state is in arenas and rings sized when the
//! owner is made, so that steady work allocates nothing.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthorn_types::RetryReason;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;

use crate::admit;
use crate::arena::Arena;
use crate::arena::ArenaHandle;
use crate::budget;
use crate::budget::RetryBudget;
use crate::counter::OwnerCounters;
use crate::hedge;
use crate::latency::ServiceTimes;
use crate::message::OwnerAction;
use crate::message::PieceKey;
use crate::message::PieceResult;
use crate::message::QueuedPiece;
use crate::piece::LiveAttempt;
use crate::piece::LivePiece;
use crate::queue;
use crate::queue::NORMAL;
use crate::queue::QueueEnd;
use crate::queue::ShardQueue;
use crate::queue::URGENT;
use crate::shift;
use crate::shift::ReplicaRelief;
use crate::slots;
use crate::time::TickTime;
use crate::time::micros;
use crate::timer::TimerAlarm;
use crate::timer::TimerQueue;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::caller::UrgencyClass;

pub use admission::BatchAsk;
use target::LiveTarget;

mod admission;
mod dispatch;
mod finish;
mod target;
mod watch;

/// Limits of all decisions of an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Pieces not finished, waiting or on their way, over all shards. 65,536:
    /// half a second of the shard requests that a daemon of the large fleet takes.
    pub piece_limit: usize,
    /// Of queues.
    pub queue: queue::Options,
    /// Of admission.
    pub admit: admit::Options,
    /// Of hedging.
    pub hedge: hedge::Options,
    /// Of the budget for hedges and retries.
    pub budget: budget::Options,
    /// Of shifting load.
    pub shift: shift::Options,
    /// Of slots.
    pub slots: slots::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            piece_limit: 65_536,
            queue: queue::Options::default(),
            admit: admit::Options::default(),
            hedge: hedge::Options::default(),
            budget: budget::Options::default(),
            shift: shift::Options::default(),
            slots: slots::Options::default(),
        }
    }
}

#[derive(Debug)]
struct LiveShard {
    replicas: SmallVec<[TargetKey; 4]>,
    queue: ShardQueue,
    times: ServiceTimes,
    /// Pieces on their way for too long, waiting for a slot for a hedge.
    due: VecDeque<ArenaHandle>,
}

impl LiveShard {
    /// Whether this owner owns any replica of it.
    fn is_owned(&self) -> bool {
        !self.replicas.is_empty()
    }

    /// Whether hardly any request is answered within `left` microseconds.
    fn is_hopeless(&self, left: u64) -> bool {
        left < self.times.median() / 2
    }
}

/// Everything an owner knows. See the module's documentation.
#[derive(Debug)]
pub struct OwnerState {
    options: Options,
    shards: Vec<LiveShard>,
    targets: Vec<LiveTarget>,
    pieces: Arena<LivePiece>,
    by_key: HashMap<PieceKey, ArenaHandle>,
    attempts: Arena<LiveAttempt>,
    timers: TimerQueue,
    budget: RetryBudget,
    actions: VecDeque<OwnerAction>,
    counters: OwnerCounters,
    rng: StdRng,
}

/// Room for attempts and actions made at the start; both grow to the number of
/// slots owned and stay there.
const FIRST_CAPACITY: usize = 4096;

impl OwnerState {
    /// An owner of no targets. `seed` decides ties and spreads probes; the
    /// same seed and calls give the same decisions.
    pub fn new(options: Options, seed: u64) -> Self {
        let capacity = options.piece_limit.min(FIRST_CAPACITY);
        Self {
            options,
            shards: Vec::new(),
            targets: Vec::new(),
            pieces: Arena::with_capacity(options.piece_limit, 0),
            by_key: HashMap::with_capacity(options.piece_limit),
            attempts: Arena::with_capacity(capacity, seed as u32 | 1),
            timers: TimerQueue::with_capacity(capacity),
            budget: RetryBudget::new(options.budget),
            actions: VecDeque::with_capacity(capacity),
            counters: OwnerCounters::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes in one piece, or refuses it at once.
    pub fn submit(&mut self, now: TickTime, piece: QueuedPiece) -> admit::Outcome {
        let outcome = self.admit_piece(now, &piece);
        if let admit::Outcome::Refused { reason, .. } = outcome {
            self.counters.count_refused(reason);
            return outcome;
        }
        self.counters.queued += 1;
        let shard = piece.shard;
        let deadline = piece.deadline;
        let handle = self.pieces.insert(LivePiece::new(piece, now));
        self.by_key.insert(piece.piece, handle);
        self.timers.arm(deadline, TimerAlarm::Deadline(handle));
        self.join_queue(handle, QueueEnd::Back);
        self.pump(now, shard);
        self.tidy();
        outcome
    }

    /// The front no longer wants the piece. Unknown pieces are ignored: they
    /// finished meanwhile.
    pub fn cancel(&mut self, now: TickTime, piece: PieceKey) {
        let Some(&handle) = self.by_key.get(&piece) else { return };
        let sent = self.pieces.get(handle).is_some_and(|piece| piece.sent);
        self.counters.cancelled += 1;
        self.finish(now, handle, PieceResult::Cancelled { sent });
    }

    /// Takes the next action; the daemon calls it until there is none.
    pub fn poll_action(&mut self) -> Option<OwnerAction> {
        self.actions.pop_front()
    }

    /// When [`OwnerState::tick`] is next due.
    pub fn next_wake(&self) -> Option<TickTime> {
        self.timers.next()
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: TickTime) {
        while let Some(alarm) = self.timers.fire(now) {
            match alarm {
                TimerAlarm::Deadline(piece) => self.on_deadline(now, piece),
                TimerAlarm::Hedge(piece) => self.on_hedge_due(now, piece),
                TimerAlarm::Grace(attempt) => self.on_grace_over(now, attempt),
                TimerAlarm::Room(target) => self.on_room(now, target),
                TimerAlarm::Probe(target) => self.on_probe_due(now, target),
            }
        }
        self.tidy();
    }

    /// What a search of a shard takes at its best replica here, as it was of
    /// late; zero when the shard is unknown. Fronts place by it: a zone whose
    /// only replica has become slow shows no queue while nobody asks it, and
    /// its quantiles follow only after hundreds of slow answers.
    pub fn best_replica_latency(&self, now: TickTime, shard: ShardKey) -> Duration {
        let Some(live) = self.shards.get(shard.index()) else { return Duration::ZERO };
        let median = live.times.median();
        let replicas = live.replicas.iter().map(|key| &self.targets[key.index()]);
        let in_service = replicas.filter(|target| target.in_service());
        let best = in_service.map(|target| target.latency(now, median)).min();
        Duration::from_micros(best.unwrap_or(median))
    }

    /// The wait of a new piece as [`OwnerState::expected_wait`], at the pace of
    /// late.
    pub fn current_wait(&self, now: TickTime, shard: ShardKey, urgency: UrgencyClass) -> Duration {
        let wait = self.expected_wait(shard, urgency);
        let median = self.shards.get(shard.index()).map_or(0, |live| live.times.median());
        let pace = self.best_replica_latency(now, shard).as_secs_f64()
            / Duration::from_micros(median.max(1)).as_secs_f64();
        wait.mul_f64(pace.max(1.0))
    }

    /// The 90th percentile of a shard's service time, as seen by this owner.
    pub fn p90_service_time(&self, shard: ShardKey) -> Duration {
        let known = self.shards.get(shard.index());
        Duration::from_micros(known.map_or(0, |shard| shard.times.p90()))
    }

    /// Pieces that wait for a shard, urgent and normal.
    pub fn waiting_at(&self, shard: ShardKey) -> u32 {
        let known = self.shards.get(shard.index());
        known.map_or(0, |shard| shard.queue.waiting(URGENT) + shard.queue.waiting(NORMAL))
    }

    /// How the owner uses a target; none when it owns no such target or gives
    /// it nothing because it is not wanted or leaving.
    pub fn phase(&self, target: TargetKey) -> Option<shift::Phase> {
        let target = self.targets.get(target.index())?;
        target.in_service().then_some(target.shift.phase)
    }

    /// Slots taken of a target.
    pub fn slots_in_use(&self, target: TargetKey) -> u16 {
        self.targets.get(target.index()).map_or(0, |target| target.count.taken())
    }

    /// Pays for asking another zone's owner (see [`crate::relay`]) from the one
    /// budget for extra attempts; false when it is spent.
    pub fn spend_relay(&mut self, reason: RetryReason) -> bool {
        let paid = match reason {
            RetryReason::Hedge => self.budget.spend_hedge(),
            _ => self.budget.spend_retry(),
        };
        if paid {
            self.counters.count_retried(reason);
        } else {
            self.counters.hedges_without_budget += 1;
        }
        paid
    }

    /// Totals and gauges.
    pub fn counters(&self) -> &OwnerCounters {
        &self.counters
    }

    /// Whether a replica of the shard may get work, now or after a wait.
    fn is_served(&self, shard: &LiveShard) -> bool {
        shard.replicas.iter().any(|key| self.targets[key.index()].in_service())
    }

    fn has_free_slot(&self, shard: &LiveShard) -> bool {
        shard.replicas.iter().any(|key| {
            let target = &self.targets[key.index()];
            target.count.taken() < target.limit(ReplicaRelief::Full)
        })
    }

    /// What the best of the shard's replicas can take.
    fn relief(&self, shard: &LiveShard) -> ReplicaRelief {
        let targets = shard.replicas.iter().map(|key| &self.targets[key.index()]);
        targets.map(|target| target.relief()).max().unwrap_or(ReplicaRelief::None)
    }

    fn join_queue(&mut self, handle: ArenaHandle, end: QueueEnd) {
        let piece = self.pieces.at(handle.index);
        let shard = &mut self.shards[piece.ask.shard.index()];
        let average = shard.queue.cost_of(piece.ask.caller.0, shard.times.median());
        let cost = piece.ask.expected_cost.map_or(average, micros);
        self.counters.waiting[piece.lane()] += 1;
        self.pieces.at_mut(handle.index).cost = cost;
        shard.queue.join(&mut self.pieces, handle.index, end);
    }

    fn leave_queue(&mut self, handle: ArenaHandle) {
        let piece = self.pieces.at(handle.index);
        if !piece.waiting {
            return;
        }
        self.counters.waiting[piece.lane()] -= 1;
        let shard = piece.ask.shard.index();
        self.shards[shard].queue.leave(&mut self.pieces, handle.index);
    }

    /// The hedge delay of a caller's pieces at a shard now, in microseconds.
    fn hedge_delay(&self, shard: ShardKey, caller: u32) -> u64 {
        self.hedge_delay_at(shard, caller, self.budget.fullness())
    }

    fn hedge_delay_at(&self, shard: ShardKey, caller: u32, fullness: f64) -> u64 {
        let live = &self.shards[shard.index()];
        let cost = live.queue.cost_of(caller, live.times.median());
        hedge::delay(&live.times, cost, fullness, self.options.hedge)
    }

    /// The hedge delay of the piece's newest attempt.
    fn piece_delay(&self, piece: &LivePiece) -> u64 {
        let first = piece.attempts.len() <= 1 && !piece.restarted;
        let fullness = if first { self.budget.fullness() } else { 1.0 };
        self.hedge_delay_at(piece.ask.shard, piece.ask.caller.0, fullness)
    }

    fn tidy(&mut self) {
        let pieces = &self.pieces;
        let attempts = &self.attempts;
        self.timers.compact(|alarm| match alarm {
            TimerAlarm::Deadline(piece) | TimerAlarm::Hedge(piece) => pieces.get(*piece).is_some(),
            TimerAlarm::Grace(attempt) => attempts.get(*attempt).is_some(),
            TimerAlarm::Room(_) | TimerAlarm::Probe(_) => true,
        });
    }
}

const _: () = assert!(UrgencyClass::Urgent as usize == URGENT);
const _: () = assert!(UrgencyClass::Normal as usize == NORMAL);
