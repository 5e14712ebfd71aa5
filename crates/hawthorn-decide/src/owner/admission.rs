//! Admission of pieces and of batches, and the expected waits that are published to fronts.

use std::time::Duration;

use super::LiveShard;
use super::OwnerState;
use crate::admit;
use crate::message::QueuedPiece;
use crate::time::TickTime;
use hawthorn_types::CallerKey;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::caller::UrgencyClass;

/// An admission request of a front for all pieces of a query at this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRequest<'a> {
    /// The caller.
    pub caller: CallerKey,
    /// Priority class of the request.
    pub urgency: UrgencyClass,
    /// The shards of the batch.
    pub shards: &'a [ShardKey],
    /// Time after which the answers are useless.
    pub deadline: TickTime,
}

impl OwnerState {
    /// Whether all pieces of a batch can finish before their deadline. A front checks this before
    /// it submits any of them, as work on the other pieces of a partly rejected query is wasted.
    pub fn admit_batch(&mut self, now: TickTime, batch: &BatchRequest<'_>) -> admit::Outcome {
        for &shard in batch.shards {
            let outcome = self.admit(now, batch.caller, batch.urgency, shard, batch.deadline);
            if let admit::Outcome::Refused { reason, .. } = outcome {
                self.counters.count_refused(reason);
                return outcome;
            }
        }
        admit::Outcome::Queued
    }

    /// Expected wait of a new piece of a caller without queued pieces. Fronts use it to choose
    /// between zones.
    pub fn expected_wait(&self, shard: ShardKey, urgency: UrgencyClass) -> Duration {
        Duration::from_micros(self.wait_of(CallerKey(u32::MAX), urgency, shard))
    }

    /// Expected wait of a new piece of `caller`.
    pub fn expected_wait_of(
        &self,
        caller: CallerKey,
        shard: ShardKey,
        urgency: UrgencyClass,
    ) -> Duration {
        Duration::from_micros(self.wait_of(caller, urgency, shard))
    }

    pub(super) fn admit_piece(&self, now: TickTime, piece: &QueuedPiece) -> admit::Outcome {
        let min_retry = self.options.admit.min_retry_after;
        if piece.caller.0 >= self.options.queue.caller_limit {
            return refuse(RefusalReason::QueueFull, self.options.admit.max_retry_after);
        }
        // Two pieces with one key would be indistinguishable when they finish.
        if self.by_key.contains_key(&piece.piece) {
            return refuse(RefusalReason::BadRequest, min_retry);
        }
        if self.pieces.len() >= self.options.piece_limit {
            return refuse(RefusalReason::QueueFull, min_retry);
        }
        self.admit(now, piece.caller, piece.urgency, piece.shard, piece.deadline)
    }

    fn admit(
        &self,
        now: TickTime,
        caller: CallerKey,
        urgency: UrgencyClass,
        shard: ShardKey,
        deadline: TickTime,
    ) -> admit::Outcome {
        let min_retry = self.options.admit.min_retry_after;
        let max_retry = self.options.admit.max_retry_after;
        if deadline <= now {
            return refuse(RefusalReason::ExpiredInQueue, min_retry);
        }
        // Ownership moved while the front still sent here. The front learns of the new owner within
        // a short time, so it may retry soon.
        let Some(live) = self.shards.get(shard.index()).filter(|live| live.is_owned()) else {
            return refuse(RefusalReason::OwnerUnreachable, min_retry);
        };
        if !self.is_served(live) {
            return refuse(RefusalReason::NoTarget, max_retry);
        }
        let wait = self.wait_of(caller, urgency, shard);
        let retry = |span: u64| Duration::from_micros(span).clamp(min_retry, max_retry);
        let remaining_capacity = live.queue.remaining_capacity();
        if remaining_capacity == 0 {
            return refuse(RefusalReason::QueueFull, retry(wait));
        }
        // Dynamic thresholds (Choudhury and Hahne, 1998): no caller may have more pieces queued
        // than the queue has places left, so a flood never fills it and other callers are still
        // admitted.
        if live.queue.waiting_of(caller.0) >= remaining_capacity {
            return refuse(RefusalReason::CallerOverShare, retry(wait));
        }
        let needed = (wait as f64 * self.options.admit.wait_margin) as u64 + live.times.median();
        let remaining = deadline.micros_since(now);
        if (wait > 0 && needed > remaining) || live.cannot_answer_within(remaining) {
            return refuse(
                RefusalReason::WaitBeyondDeadline,
                retry(needed.saturating_sub(remaining)),
            );
        }
        admit::Outcome::Queued
    }

    fn wait_of(&self, caller: CallerKey, urgency: UrgencyClass, shard: ShardKey) -> u64 {
        let Some(live) = self.shards.get(shard.index()) else { return 0 };
        if live.queue.is_empty() && self.has_free_slot(live) {
            return 0;
        }
        admit::expected_wait(
            &live.queue,
            caller.0,
            urgency as usize,
            self.slots_of(live),
            live.times.median(),
            self.options.queue.normal_share,
        )
    }

    pub(super) fn slots_of(&self, shard: &LiveShard) -> u64 {
        let best_capacity = self.best_capacity(shard);
        let limits =
            shard.replicas.iter().map(|key| self.targets[key.index()].limit(best_capacity));
        limits.map(u64::from).sum()
    }
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> admit::Outcome {
    admit::Outcome::Refused { reason, retry_after }
}
