//! The decisions of an owner as one state machine, driven by its daemon.
//!
//! The daemon passes in events with the current time, then polls actions until there are none, and
//! calls [`OwnerState::tick`] no later than [`OwnerState::next_wake`]. State is held in arenas and
//! ring buffers sized at construction, so that the steady state allocates nothing.

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
use crate::shift::ReplicaCapacity;
use crate::slots;
use crate::time::TickTime;
use crate::time::micros;
use crate::timer::TimerEvent;
use crate::timer::TimerQueue;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::caller::UrgencyClass;

pub use admission::BatchRequest;
use target::LiveTarget;

mod admission;
mod dispatch;
mod finish;
mod target;
mod watch;

/// Limits of an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Maximum unfinished pieces, queued or in flight, over all shards. 65,536: half a second of
    /// the shard requests that a daemon of a large fleet receives.
    pub piece_limit: usize,
    /// Limits of the shard queues.
    pub queue: queue::Options,
    /// Limits of admission control.
    pub admit: admit::Options,
    /// Limits of hedging.
    pub hedge: hedge::Options,
    /// Limits of the budget for hedges and retries.
    pub budget: budget::Options,
    /// Limits of traffic shifting.
    pub shift: shift::Options,
    /// Limits of slots.
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
    /// Pieces in flight beyond the hedge delay, waiting for a slot to be hedged.
    pending_hedges: VecDeque<ArenaHandle>,
}

impl LiveShard {
    /// Whether this owner holds any replica of the shard.
    fn is_owned(&self) -> bool {
        !self.replicas.is_empty()
    }

    /// Whether almost no request is answered within `remaining` microseconds.
    fn cannot_answer_within(&self, remaining: u64) -> bool {
        remaining < self.times.median() / 2
    }
}

/// The state of an owner; see the [module documentation](self).
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

/// Initial capacity for attempts and actions; both grow up to the number of slots held.
const INITIAL_CAPACITY: usize = 4096;

impl OwnerState {
    /// Creates an owner without targets. `seed` breaks ties and spreads probes; the same seed and
    /// calls give the same decisions.
    pub fn new(options: Options, seed: u64) -> Self {
        let capacity = options.piece_limit.min(INITIAL_CAPACITY);
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

    /// Admits a piece, or rejects it at once.
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
        self.timers.arm(deadline, TimerEvent::Deadline(handle));
        self.enqueue(handle, QueueEnd::Back);
        self.dispatch_queue(now, shard);
        self.compact_timers();
        outcome
    }

    /// Cancels a piece for its front. Unknown pieces are ignored, as they finished in the meantime.
    pub fn cancel(&mut self, now: TickTime, piece: PieceKey) {
        let Some(&handle) = self.by_key.get(&piece) else { return };
        let sent = self.pieces.get(handle).is_some_and(|piece| piece.sent);
        self.counters.cancelled += 1;
        self.finish(now, handle, PieceResult::Cancelled { sent });
    }

    /// Returns the next action; to be called until there is none.
    pub fn poll_action(&mut self) -> Option<OwnerAction> {
        self.actions.pop_front()
    }

    /// The time at which [`OwnerState::tick`] is next due.
    pub fn next_wake(&self) -> Option<TickTime> {
        self.timers.next()
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: TickTime) {
        while let Some(event) = self.timers.fire(now) {
            match event {
                TimerEvent::Deadline(piece) => self.on_deadline(now, piece),
                TimerEvent::HedgeDelay(piece) => self.on_hedge_due(now, piece),
                TimerEvent::CancelGrace(attempt) => self.on_cancel_grace_end(now, attempt),
                TimerEvent::Capacity(target) => self.on_capacity_timer(now, target),
                TimerEvent::Probe(target) => self.on_probe_due(now, target),
            }
        }
        self.compact_timers();
    }

    /// Recent average service time of a shard at its fastest replica here; zero if the shard is
    /// unknown.
    ///
    /// Fronts use it to choose a zone. A zone whose only replica has become slow has no queue while
    /// it gets no traffic, and its quantiles follow only after hundreds of slow answers.
    pub fn best_replica_latency(&self, now: TickTime, shard: ShardKey) -> Duration {
        let Some(live) = self.shards.get(shard.index()) else { return Duration::ZERO };
        let median = live.times.median();
        let replicas = live.replicas.iter().map(|key| &self.targets[key.index()]);
        let in_service = replicas.filter(|target| target.in_service());
        let best = in_service.map(|target| target.latency(now, median)).min();
        Duration::from_micros(best.unwrap_or(median))
    }

    /// [`OwnerState::expected_wait`], scaled up if the shard's fastest replica is at present slower
    /// than the median.
    pub fn current_wait(&self, now: TickTime, shard: ShardKey, urgency: UrgencyClass) -> Duration {
        let wait = self.expected_wait(shard, urgency);
        let median = self.shards.get(shard.index()).map_or(0, |live| live.times.median());
        let slowdown = self.best_replica_latency(now, shard).as_secs_f64()
            / Duration::from_micros(median.max(1)).as_secs_f64();
        wait.mul_f64(slowdown.max(1.0))
    }

    /// The 90th percentile of a shard's service time, as measured by this owner.
    pub fn p90_service_time(&self, shard: ShardKey) -> Duration {
        let live = self.shards.get(shard.index());
        Duration::from_micros(live.map_or(0, |shard| shard.times.p90()))
    }

    /// Number of pieces queued for a shard, urgent and normal.
    pub fn queue_length(&self, shard: ShardKey) -> u32 {
        let live = self.shards.get(shard.index());
        live.map_or(0, |shard| shard.queue.waiting(URGENT) + shard.queue.waiting(NORMAL))
    }

    /// How the owner uses a target; none if it does not hold the target, or if the target is
    /// switched off or draining.
    pub fn phase(&self, target: TargetKey) -> Option<shift::Phase> {
        let target = self.targets.get(target.index())?;
        target.in_service().then_some(target.health.phase)
    }

    /// Slots in use of a target.
    pub fn slots_in_use(&self, target: TargetKey) -> u16 {
        self.targets.get(target.index()).map_or(0, |target| target.count.in_use())
    }

    /// Takes a token from the budget for extra attempts for a relay to another zone's owner (see
    /// [`crate::relay`]); returns false if the budget is spent.
    pub fn spend_relay(&mut self, reason: RetryReason) -> bool {
        let spent = match reason {
            RetryReason::Hedge => self.budget.spend_hedge(),
            _ => self.budget.spend_retry(),
        };
        if spent {
            self.counters.count_retried(reason);
        } else {
            self.counters.hedges_without_budget += 1;
        }
        spent
    }

    /// Counters and gauges.
    pub fn counters(&self) -> &OwnerCounters {
        &self.counters
    }

    /// Whether any replica of the shard may get work, now or later.
    fn is_served(&self, shard: &LiveShard) -> bool {
        shard.replicas.iter().any(|key| self.targets[key.index()].in_service())
    }

    fn has_free_slot(&self, shard: &LiveShard) -> bool {
        shard.replicas.iter().any(|key| {
            let target = &self.targets[key.index()];
            target.count.in_use() < target.limit(ReplicaCapacity::Full)
        })
    }

    /// The best capacity among the shard's replicas.
    fn best_capacity(&self, shard: &LiveShard) -> ReplicaCapacity {
        let targets = shard.replicas.iter().map(|key| &self.targets[key.index()]);
        targets.map(|target| target.capacity()).max().unwrap_or(ReplicaCapacity::None)
    }

    fn enqueue(&mut self, handle: ArenaHandle, end: QueueEnd) {
        let piece = self.pieces.at(handle.index);
        let shard = &mut self.shards[piece.request.shard.index()];
        let average = shard.queue.cost_of(piece.request.caller.0, shard.times.median());
        let cost = piece.request.expected_cost.map_or(average, micros);
        self.counters.waiting[piece.lane()] += 1;
        self.pieces.at_mut(handle.index).cost = cost;
        shard.queue.insert(&mut self.pieces, handle.index, end);
    }

    fn dequeue(&mut self, handle: ArenaHandle) {
        let piece = self.pieces.at(handle.index);
        if !piece.waiting {
            return;
        }
        self.counters.waiting[piece.lane()] -= 1;
        let shard = piece.request.shard.index();
        self.shards[shard].queue.remove(&mut self.pieces, handle.index);
    }

    /// The current hedge delay of a caller's pieces at a shard, in microseconds.
    fn hedge_delay(&self, shard: ShardKey, caller: u32) -> u64 {
        self.hedge_delay_at(shard, caller, self.budget.fullness())
    }

    fn hedge_delay_at(&self, shard: ShardKey, caller: u32, fullness: f64) -> u64 {
        let live = &self.shards[shard.index()];
        let cost = live.queue.cost_of(caller, live.times.median());
        hedge::delay(&live.times, cost, fullness, self.options.hedge)
    }

    /// The hedge delay of the piece's latest attempt, in microseconds.
    fn piece_delay(&self, piece: &LivePiece) -> u64 {
        let first = piece.attempts.len() <= 1 && !piece.restarted;
        let fullness = if first { self.budget.fullness() } else { 1.0 };
        self.hedge_delay_at(piece.request.shard, piece.request.caller.0, fullness)
    }

    fn compact_timers(&mut self) {
        let pieces = &self.pieces;
        let attempts = &self.attempts;
        self.timers.compact(|event| match event {
            TimerEvent::Deadline(piece) | TimerEvent::HedgeDelay(piece) => {
                pieces.get(*piece).is_some()
            }
            TimerEvent::CancelGrace(attempt) => attempts.get(*attempt).is_some(),
            TimerEvent::Capacity(_) | TimerEvent::Probe(_) => true,
        });
    }
}

const _: () = assert!(UrgencyClass::Urgent as usize == URGENT);
const _: () = assert!(UrgencyClass::Normal as usize == NORMAL);
