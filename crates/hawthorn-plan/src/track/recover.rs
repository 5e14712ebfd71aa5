//! What is done for a piece that failed, and for a version that retired.

use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RetryReason;

use super::RepartitionPolicy;
use super::TrackContext;
use super::piece::TriedOwners;
use super::state::QueryTrack;
use super::wire::PieceId;
use crate::plan::OwnerBatch;
use crate::plan::PlannedPiece;
use crate::plan::QueryPlan;
use crate::plan::TriedOwner;
use crate::plan::VersionChoice;

impl QueryTrack {
    /// A piece failed at an owner: falls back to another one, or gives it up.
    pub(super) fn fail(
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
        let fallback = match retry_for(reason) {
            Some(retry) => self.fall_back(id, retry, reason, context),
            None => Err(reason),
        };
        if let Err(reason) = fallback {
            self.settle(id);
            self.give_up(range, reason);
        }
    }

    /// Sends the piece to owners in other zones, at the same version.
    ///
    /// Load: one owner, zone or replica is lost and others hold the same keys.
    /// Limits: attempts for a key, so that a failing key cannot circle; the
    /// round trip between zones, below which an answer cannot come back in
    /// time; and the budget that all queries of the front share.
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
        if !context.budget.take(plan.piece_count()) {
            return Err(MissingReason::BudgetSpent);
        }
        if let Some((host, planned)) = whole(&plan, piece.range) {
            self.counts.retry(retry);
            self.send_piece(host, id, planned);
            return Ok(());
        }
        self.settle(id);
        for missing in &plan.missing {
            self.give_up(missing.range, reason);
        }
        self.add_parts(plan.batches.into_iter(), &piece.tried, piece.attempts, retry);
        Ok(())
    }

    /// Asks other zones for the pieces of owners that are silent.
    ///
    /// Load: a host hangs or a zone is cut off, and heartbeats need longer to
    /// tell than the caller waits. The harm is a third of the answer missing.
    /// The owner stays asked, the first answer wins. Limits: half of the time
    /// left, so that the other zone has as long as the first one had; once for
    /// each batch; and the shared budget, so that a slow fleet is not doubled.
    pub(super) fn hedge_silent(&mut self, context: &mut TrackContext<'_>) {
        let mut silent = Vec::new();
        for index in 0..self.batches.len() {
            let batch = &self.batches[index];
            let is_silent = context.now >= self.silent_at(batch);
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
        // A second attempt at parts of a piece could not be told from the first.
        let Some((host, planned)) = whole(&plan, range) else {
            return;
        };
        if context.budget.take(1) {
            self.counts.retry(RetryReason::Hedge);
            self.send_piece(host, id, planned);
        }
    }

    /// Searches keys that a target no longer held: those who took them over
    /// first, then other owners of the same shard.
    ///
    /// The comparison of the range searched with the range asked, and a second
    /// search for the difference, is from Li, Rao and Shekita, "Leveraging a
    /// Scalable Row Store to Build a Distributed Text Index".
    pub(super) fn search_again(
        &mut self,
        id: PieceId,
        host: HostKey,
        rest: &RangeSet,
        context: &mut TrackContext<'_>,
    ) {
        let piece = self.pieces[id.0 as usize].clone();
        for &range in rest.ranges() {
            let Some(version) = self.version.filter(|_| piece.attempts < self.options.max_attempts)
            else {
                self.give_up(range, MissingReason::Repartitioned);
                continue;
            };
            let exactly = VersionChoice::Exactly(version);
            let heirs = self.plan(range, exactly, &all_owners(&piece.tried, context), context);
            let mut again = piece.tried.clone();
            if self.options.repartition == RepartitionPolicy::WholePiece {
                again.retain(|tried| tried.host != host);
            }
            let mut plans = Vec::new();
            for missing in &heirs.missing {
                plans.push(self.plan(missing.range, exactly, &again, context));
            }
            let parts =
                heirs.piece_count() + plans.iter().map(QueryPlan::piece_count).sum::<usize>();
            if !context.budget.take(parts) {
                self.give_up(range, MissingReason::BudgetSpent);
                continue;
            }
            for missing in plans.iter().flat_map(|plan| &plan.missing) {
                self.give_up(missing.range, MissingReason::Repartitioned);
            }
            let batches = heirs.batches.into_iter();
            let batches = batches.chain(plans.into_iter().flat_map(|plan| plan.batches));
            self.add_parts(batches, &again, piece.attempts, RetryReason::Repartitioned);
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
                self.counts.retry(retry);
                self.add_piece(batch.host, planned, tried.clone(), attempts);
            }
        }
    }

    /// Plans the whole query anew at a newer version, if that covers more;
    /// `true` when it did.
    ///
    /// Load: a new index version is published and the old one dropped while
    /// queries run. The harm would be parts of two snapshots in one answer, so
    /// everything kept is thrown away. That repeats work for every query in
    /// flight at once; limits are the number of times, the time left, the
    /// budget for what was already answered, and that the newer version covers
    /// `more` keys than are within reach at the old one. Otherwise the old
    /// version is answered, with what is gone listed as missing.
    pub(super) fn replan(&mut self, more: u64, context: &mut TrackContext<'_>) -> bool {
        self.retired = false;
        let Some(version) = self.version else {
            return false;
        };
        let spent = self.counts.replans >= self.options.max_replans;
        if spent || self.remaining(context.now) < self.options.min_replan_time {
            return false;
        }
        let plan = self.plan(self.query.range, VersionChoice::NewerThan(version), &[], context);
        let asked = u64::from(self.query.range.len());
        let within_reach = asked - self.missing_keys();
        if plan.planned_keys() < within_reach + more || !context.budget.take(self.kept) {
            return false;
        }
        self.start_over(plan);
        true
    }

    fn start_over(&mut self, plan: QueryPlan) {
        self.cancel_open();
        self.drop_outgoing();
        for piece in &mut self.pieces {
            piece.settled = true;
        }
        self.waiting = 0;
        self.kept = 0;
        self.searched = RangeSet::default();
        self.merged.clear();
        self.counts.replans += 1;
        for _ in 0..plan.piece_count() {
            self.counts.retry(RetryReason::VersionRetired);
        }
        self.adopt(plan);
    }

    fn missing_keys(&self) -> u64 {
        let ranges: RangeSet = self.missing.iter().map(|missing| missing.range).collect();
        u64::from(ranges.clip(self.query.range).len())
    }
}

/// The one piece that is the whole of `range`, if the plan has just that.
fn whole(plan: &QueryPlan, range: KeyRange) -> Option<(HostKey, PlannedPiece)> {
    let [batch] = plan.batches.as_slice() else {
        return None;
    };
    let [piece] = batch.pieces.as_slice() else {
        return None;
    };
    (piece.range == range).then_some((batch.host, *piece))
}

/// Every owner of the shards that were tried.
fn all_owners(tried: &TriedOwners, context: &TrackContext<'_>) -> TriedOwners {
    let shards = context.table.shards().iter();
    let shards = shards.filter(|record| tried.iter().any(|tried| tried.shard == record.shard));
    let owners = shards.flat_map(|record| {
        record.options.iter().map(|option| TriedOwner { shard: record.shard, host: option.owner })
    });
    owners.collect()
}

/// Why another attempt is made after `reason`; `None` when another owner
/// would answer the same, or when the owner has already spent its own budget.
fn retry_for(reason: MissingReason) -> Option<RetryReason> {
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
