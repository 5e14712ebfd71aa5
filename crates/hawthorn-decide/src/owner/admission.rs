//! Admission of pieces and of whole queries, and the waits published to fronts.

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

/// What a front asks before it sends a query's pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchAsk<'a> {
    /// Whose request it is.
    pub caller: CallerKey,
    /// How much a late answer hurts.
    pub urgency: UrgencyClass,
    /// The shards of the batch.
    pub shards: &'a [ShardKey],
    /// When the answers are of no more use.
    pub deadline: TickTime,
}

impl OwnerState {
    /// Whether all pieces of a query could be done in time. A front asks this
    /// before it submits any of them: a query refused in part has cost the
    /// targets the rest for nothing.
    pub fn admit_batch(&mut self, now: TickTime, batch: &BatchAsk<'_>) -> admit::Outcome {
        for &shard in batch.shards {
            let outcome = self.admit(now, batch.caller, batch.urgency, shard, batch.deadline);
            if let admit::Outcome::Refused { reason, .. } = outcome {
                self.counters.count_refused(reason);
                return outcome;
            }
        }
        admit::Outcome::Queued
    }

    /// The wait of a new piece of a caller that has nothing waiting, for fronts
    /// to place queries by.
    pub fn expected_wait(&self, shard: ShardKey, urgency: UrgencyClass) -> Duration {
        Duration::from_micros(self.wait_of(CallerKey(u32::MAX), urgency, shard))
    }

    /// The wait of a new piece of `caller`.
    pub fn expected_wait_of(
        &self,
        caller: CallerKey,
        shard: ShardKey,
        urgency: UrgencyClass,
    ) -> Duration {
        Duration::from_micros(self.wait_of(caller, urgency, shard))
    }

    pub(super) fn admit_piece(&self, now: TickTime, piece: &QueuedPiece) -> admit::Outcome {
        let least = self.options.admit.least_retry;
        if piece.caller.0 >= self.options.queue.caller_limit {
            return refuse(RefusalReason::UnknownCaller, self.options.admit.most_retry);
        }
        // Two pieces of one key could not be told apart when they finish.
        if self.by_key.contains_key(&piece.piece) {
            return refuse(RefusalReason::BadRequest, least);
        }
        if self.pieces.len() >= self.options.piece_limit {
            return refuse(RefusalReason::QueueFull, least);
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
        let least = self.options.admit.least_retry;
        let most = self.options.admit.most_retry;
        if deadline <= now {
            return refuse(RefusalReason::DeadlinePast, least);
        }
        // Ownership moved while the front still sent here: its new owner is
        // known within a moment, so the front may come back soon.
        let Some(live) = self.shards.get(shard.index()).filter(|live| live.is_owned()) else {
            return refuse(RefusalReason::OwnerUnreachable, least);
        };
        if !self.is_served(live) {
            return refuse(RefusalReason::NoTarget, most);
        }
        let wait = self.wait_of(caller, urgency, shard);
        let retry = |span: u64| Duration::from_micros(span).clamp(least, most);
        let room = live.queue.room();
        if room == 0 {
            return refuse(RefusalReason::QueueFull, retry(wait));
        }
        // Dynamic thresholds (Choudhury and Hahne, 1998): nobody waits with
        // more pieces than there is room left, so a flood never fills the
        // queue and the next caller always finds a place.
        if live.queue.waiting_of(caller.0) >= room {
            return refuse(RefusalReason::CallerOverShare, retry(wait));
        }
        let needed = (wait as f64 * self.options.admit.wait_margin) as u64 + live.times.median();
        let left = deadline.micros_since(now);
        if (wait > 0 && needed > left) || live.is_hopeless(left) {
            return refuse(RefusalReason::WaitBeyondDeadline, retry(needed.saturating_sub(left)));
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
        let relief = self.relief(shard);
        let limits = shard.replicas.iter().map(|key| self.targets[key.index()].limit(relief));
        limits.map(u64::from).sum()
    }
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> admit::Outcome {
    admit::Outcome::Refused { reason, retry_after }
}
