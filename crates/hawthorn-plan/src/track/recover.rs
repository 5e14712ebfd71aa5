//! Recovery from failed pieces and retired versions.

use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RetryReason;

use super::RepartitionPolicy;
use super::TrackContext;
use super::action::PieceId;
use super::piece::TriedOwners;
use super::state::QueryTrack;
use crate::plan::OwnerBatch;
use crate::plan::PlannedPiece;
use crate::plan::QueryPlan;
use crate::plan::TriedOwner;
use crate::plan::VersionChoice;

impl QueryTrack {
    /// Falls back to another owner after a piece failed, or marks it as missing.
    pub(super) fn handle_failure(
        &mut self,
        id: PieceId,
        reason: MissingReason,
        context: &mut TrackContext<'_>,
    ) {
        let piece = &self.pieces[id.0 as usize];
        if piece.settled || piece.open > 0 {
            return;
        }
        let range = piece.range;
        self.retired |= reason == MissingReason::VersionMissing;
        let fallback = match retry_reason(reason) {
            Some(retry) => self.fall_back(id, retry, reason, context),
            None => Err(reason),
        };
        if let Err(reason) = fallback {
            self.settle(id);
            self.mark_missing(range, reason);
        }
    }

    /// Sends the piece to owners in other zones, at the same version.
    ///
    /// Handles the loss of an owner, zone or replica while others hold the same keys.
    /// Limited by the attempts per key, so that a failing key is not retried forever;
    /// by the round trip between zones, as an answer could not return in time; and by
    /// the retry budget shared by all queries of the front.
    fn fall_back(
        &mut self,
        id: PieceId,
        retry: RetryReason,
        reason: MissingReason,
        context: &mut TrackContext<'_>,
    ) -> Result<(), MissingReason> {
        let piece = self.pieces[id.0 as usize].clone();
        let too_late = self.remaining(context.now) <= self.options.plan.cross_zone_cost;
        let Some(version) = self.version else {
            return Err(reason);
        };
        if piece.attempts >= self.options.max_attempts || too_late {
            return Err(reason);
        }
        let exactly = VersionChoice::Exactly(version);
        let plan = self.plan(piece.range, exactly, &piece.tried, context);
        if plan.piece_count() == 0 {
            return Err(reason);
        }
        if !context.budget.spend(plan.piece_count()) {
            return Err(MissingReason::BudgetSpent);
        }
        if let Some((host, planned)) = single_piece(&plan, piece.range) {
            self.counts.count_retry(retry);
            self.send_piece(host, id, planned);
            return Ok(());
        }
        self.settle(id);
        for missing in &plan.missing {
            self.mark_missing(missing.range, reason);
        }
        self.add_parts(plan.batches.into_iter(), &piece.tried, piece.attempts, retry);
        Ok(())
    }

    /// Sends hedged requests for the pieces of owners that have not answered.
    ///
    /// Handles a hung host or a partitioned zone, which heartbeats detect only after
    /// the caller's deadline; a third of the answer would be missing. The first
    /// request stays open, and the first answer wins. Hedges are sent after half of
    /// the time left, so that the other zone has as long as the first one had; once
    /// for each batch; and within the shared budget, so that a slow fleet does not
    /// receive twice the load.
    pub(super) fn hedge_silent(&mut self, context: &mut TrackContext<'_>) {
        let mut silent = Vec::new();
        for index in 0..self.batches.len() {
            let batch = &self.batches[index];
            let is_silent = context.now >= self.hedge_time(batch);
            if batch.open && !batch.hedged && is_silent {
                silent.extend_from_slice(&batch.pieces);
                self.batches[index].hedged = true;
            }
        }
        for id in silent {
            self.hedge(id, context);
        }
    }

    fn hedge(&mut self, id: PieceId, context: &mut TrackContext<'_>) {
        let piece = &self.pieces[id.0 as usize];
        let Some(version) = self.version else {
            return;
        };
        if piece.settled || piece.attempts >= self.options.max_attempts {
            return;
        }
        let range = piece.range;
        let plan = self.plan(range, VersionChoice::Exactly(version), &piece.tried, context);
        // Answers for parts of a piece could not be distinguished from the first attempt's answer.
        let Some((host, planned)) = single_piece(&plan, range) else {
            return;
        };
        if context.budget.spend(1) {
            self.counts.count_retry(RetryReason::Hedge);
            self.send_piece(host, id, planned);
        }
    }

    /// Searches keys that a target no longer held: first at their new holders, then
    /// at other owners of the same shard.
    ///
    /// Comparing the searched with the requested range, and searching the difference
    /// again, follows Li, Rao and Shekita, "Leveraging a Scalable Row Store to Build a
    /// Distributed Text Index".
    pub(super) fn search_again(
        &mut self,
        id: PieceId,
        host: HostKey,
        remainder: &RangeSet,
        context: &mut TrackContext<'_>,
    ) {
        let piece = self.pieces[id.0 as usize].clone();
        for &range in remainder.ranges() {
            let Some(version) = self.version.filter(|_| piece.attempts < self.options.max_attempts)
            else {
                self.mark_missing(range, MissingReason::Repartitioned);
                continue;
            };
            let exactly = VersionChoice::Exactly(version);
            let new_holders =
                self.plan(range, exactly, &all_owners(&piece.tried, context), context);
            let mut excluded = piece.tried.clone();
            if self.options.repartition == RepartitionPolicy::RetryPiece {
                excluded.retain(|tried| tried.host != host);
            }
            let mut plans = Vec::new();
            for missing in &new_holders.missing {
                plans.push(self.plan(missing.range, exactly, &excluded, context));
            }
            let parts =
                new_holders.piece_count() + plans.iter().map(QueryPlan::piece_count).sum::<usize>();
            if !context.budget.spend(parts) {
                self.mark_missing(range, MissingReason::BudgetSpent);
                continue;
            }
            for missing in plans.iter().flat_map(|plan| &plan.missing) {
                self.mark_missing(missing.range, MissingReason::Repartitioned);
            }
            let batches = new_holders.batches.into_iter();
            let batches = batches.chain(plans.into_iter().flat_map(|plan| plan.batches));
            self.add_parts(batches, &excluded, piece.attempts, RetryReason::Repartitioned);
        }
    }

    fn add_parts(
        &mut self,
        batches: impl Iterator<Item = OwnerBatch>,
        tried: &TriedOwners,
        attempts: u32,
        retry: RetryReason,
    ) {
        for batch in batches {
            for planned in batch.pieces {
                self.counts.count_retry(retry);
                self.add_piece(batch.host, planned, tried.clone(), attempts);
            }
        }
    }

    /// Replans the query at a newer version if that covers more keys; returns whether
    /// it did.
    ///
    /// Handles the publication of a new index version and the retirement of the old
    /// one while queries run. Parts kept so far are discarded, because one answer must
    /// not mix two snapshots. As this repeats work for all queries in flight at the
    /// same time, it is limited by the number of replans, the time left, the budget
    /// for the pieces already answered, and the condition that the newer version
    /// covers at least `min_gain` keys more than are reachable at the old one.
    /// Otherwise the old version is kept and the retired ranges are marked as missing.
    pub(super) fn replan(&mut self, min_gain: u64, context: &mut TrackContext<'_>) -> bool {
        self.retired = false;
        let Some(version) = self.version else {
            return false;
        };
        let is_exhausted = self.counts.replans >= self.options.max_replans;
        if is_exhausted || self.remaining(context.now) < self.options.min_replan_time {
            return false;
        }
        let plan = self.plan(self.query.range, VersionChoice::NewerThan(version), &[], context);
        let requested = u64::from(self.query.range.len());
        let reachable = requested - self.missing_keys();
        if plan.planned_keys() < reachable + min_gain || !context.budget.spend(self.kept) {
            return false;
        }
        self.restart(plan);
        true
    }

    fn restart(&mut self, plan: QueryPlan) {
        self.cancel_open();
        self.drop_outgoing();
        for piece in &mut self.pieces {
            piece.settled = true;
        }
        self.unsettled = 0;
        self.kept = 0;
        self.searched = RangeSet::default();
        self.merged.clear();
        self.counts.replans += 1;
        for _ in 0..plan.piece_count() {
            self.counts.count_retry(RetryReason::VersionRetired);
        }
        self.adopt(plan);
    }

    fn missing_keys(&self) -> u64 {
        let ranges: RangeSet = self.missing.iter().map(|missing| missing.range).collect();
        u64::from(ranges.clip(self.query.range).len())
    }
}

/// The only piece of the plan, if it covers all of `range`.
fn single_piece(plan: &QueryPlan, range: KeyRange) -> Option<(HostKey, PlannedPiece)> {
    let [batch] = plan.batches.as_slice() else {
        return None;
    };
    let [piece] = batch.pieces.as_slice() else {
        return None;
    };
    (piece.range == range).then_some((batch.host, *piece))
}

/// All owners of the shards in `tried`.
fn all_owners(tried: &TriedOwners, context: &TrackContext<'_>) -> TriedOwners {
    let shards = context.table.shards().iter();
    let shards = shards.filter(|record| tried.iter().any(|tried| tried.shard == record.shard));
    let owners = shards.flat_map(|record| {
        record.options.iter().map(|option| TriedOwner { shard: record.shard, host: option.owner })
    });
    owners.collect()
}

/// The reason for another attempt after `reason`; `None` when another owner would
/// give the same answer, or when the owner has already exhausted its own budget.
fn retry_reason(reason: MissingReason) -> Option<RetryReason> {
    match reason {
        MissingReason::NoReplica | MissingReason::Unreachable => {
            Some(RetryReason::ConnectionFailed)
        }
        MissingReason::VersionMissing => Some(RetryReason::VersionRetired),
        MissingReason::Shedding | MissingReason::QueuedPastDeadline => Some(RetryReason::Shedding),
        MissingReason::BadAnswer => Some(RetryReason::CrossedAnswer),
        MissingReason::OwnerUnreachable => Some(RetryReason::OwnerLost),
        MissingReason::Repartitioned => Some(RetryReason::Repartitioned),
        MissingReason::DeadlinePast
        | MissingReason::AnswerTooLarge
        | MissingReason::BudgetSpent => None,
    }
}
