//! The track of a query: start, steps, outgoing batches and finish.

use std::mem;
use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use smallvec::SmallVec;

use super::Event;
use super::Options;
use super::Step;
use super::TrackContext;
use super::TrackedQuery;
use super::action::Action;
use super::action::BatchId;
use super::action::BatchSend;
use super::action::FinishedQuery;
use super::action::PieceId;
use super::action::PieceSend;
use super::action::TrackCounts;
use super::piece::BatchRecord;
use super::piece::PieceRecord;
use super::piece::TriedOwners;
use crate::cover;
use crate::merge::MergedMatches;
use crate::plan;
use crate::plan::PlanInput;
use crate::plan::PlannedPiece;
use crate::plan::QueryPlan;
use crate::plan::ReportedVersions;
use crate::plan::TriedOwner;
use crate::plan::VersionChoice;

/// A query that is not finished.
#[derive(Debug)]
pub struct QueryTrack {
    pub(super) query: TrackedQuery,
    pub(super) options: Options,
    /// The index version of all parts kept.
    pub(super) version: Option<IndexVersion>,
    pub(super) pieces: Vec<PieceRecord>,
    pub(super) batches: Vec<BatchRecord>,
    /// Number of pieces that are not settled.
    pub(super) unsettled: usize,
    /// Number of pieces whose answer was kept; a replan would repeat them.
    pub(super) kept: usize,
    pub(super) searched: RangeSet,
    pub(super) merged: MergedMatches,
    pub(super) missing: Vec<MissingRange>,
    pub(super) lost: SmallVec<[HostKey; 2]>,
    pub(super) reported: Vec<ReportedVersions>,
    /// Whether a piece failed because its version is retired.
    pub(super) retired: bool,
    pub(super) counts: TrackCounts,
    outgoing: Vec<(HostKey, PieceSend)>,
    pub(super) actions: Vec<Action>,
}

impl QueryTrack {
    pub(super) fn new(query: TrackedQuery, options: Options) -> Self {
        Self {
            query,
            options,
            version: None,
            pieces: Vec::new(),
            batches: Vec::new(),
            unsettled: 0,
            kept: 0,
            searched: RangeSet::default(),
            merged: MergedMatches::default(),
            missing: Vec::new(),
            lost: SmallVec::new(),
            reported: Vec::new(),
            retired: false,
            counts: TrackCounts::default(),
            outgoing: Vec::new(),
            actions: Vec::new(),
        }
    }

    pub(super) fn begin(mut self, context: &mut TrackContext<'_>) -> Step {
        let plan = self.plan(self.query.range, VersionChoice::Any, &[], context);
        context.budget.earn(plan.piece_count());
        self.adopt(plan);
        Box::new(self).advance(context)
    }

    /// The version being searched.
    pub fn version(&self) -> Option<IndexVersion> {
        self.version
    }

    /// Handles one event.
    ///
    /// A query without unsettled pieces finishes immediately rather than at its
    /// deadline.
    pub fn step(mut self: Box<Self>, event: Event, context: &mut TrackContext<'_>) -> Step {
        match event {
            Event::BatchAnswered { batch, host, pieces } => {
                self.handle_answer(batch, host, pieces, context);
            }
            Event::OwnerLost(host) => self.handle_owner_lost(host, context),
            Event::Timer => self.hedge_silent(context),
            Event::Stop => return self.finish(),
        }
        if self.retired {
            self.replan(1, context);
        }
        self.advance(context)
    }

    fn advance(mut self: Box<Self>, context: &TrackContext<'_>) -> Step {
        if self.unsettled == 0 || context.now >= self.answer_time() {
            return self.finish();
        }
        self.flush(context.now);
        self.cancel_settled();
        let wake = self.next_wake();
        self.actions.push(Action::Wake(wake));
        let actions = mem::take(&mut self.actions);
        Step::Waiting(self, actions)
    }

    fn finish(mut self: Box<Self>) -> Step {
        self.drop_outgoing();
        self.cancel_open();
        for piece in self.pieces.iter().filter(|piece| !piece.settled) {
            let reason = MissingReason::DeadlinePast;
            self.missing.push(MissingRange { range: piece.range, reason });
        }
        let coverage = cover::cover(self.query.range, &self.searched, &self.missing);
        let (total, matches) = self.merged.finish(self.query.limit);
        let version = self.version;
        let finished = FinishedQuery { version, coverage, total, matches, counts: self.counts };
        Step::Finished(Box::new(finished), self.actions)
    }

    /// When the answer must be sent to arrive before the deadline.
    pub(super) fn answer_time(&self) -> Duration {
        self.query.deadline.saturating_sub(self.options.answer_reserve)
    }

    pub(super) fn remaining(&self, now: Duration) -> Duration {
        self.answer_time().saturating_sub(now)
    }

    /// When the pieces of `batch` are hedged if its owner has not answered.
    pub(super) fn hedge_time(&self, batch: &BatchRecord) -> Duration {
        let left = self.answer_time().saturating_sub(batch.sent_at);
        batch.sent_at + left / self.options.hedge_divisor.max(1)
    }

    fn next_wake(&self) -> Duration {
        let open = self.batches.iter().filter(|batch| batch.open && !batch.hedged);
        let earliest = open.map(|batch| self.hedge_time(batch)).min();
        earliest.map_or(self.answer_time(), |at| at.min(self.answer_time()))
    }

    pub(super) fn plan(
        &self,
        range: KeyRange,
        version: VersionChoice,
        tried: &[TriedOwner],
        context: &TrackContext<'_>,
    ) -> QueryPlan {
        let input = PlanInput {
            table: context.table,
            range,
            local_zone: context.local_zone,
            remaining: self.remaining(context.now),
            version,
            lost: &self.lost,
            tried,
            reported: &self.reported,
            random: self.query.random,
        };
        plan::plan(&input, &self.options.plan)
    }

    /// Adopts `plan` as the plan of the entire query.
    pub(super) fn adopt(&mut self, plan: QueryPlan) {
        self.version = plan.version;
        self.missing = plan.missing;
        for batch in plan.batches {
            for piece in batch.pieces {
                self.add_piece(batch.host, piece, TriedOwners::new(), 0);
            }
        }
    }

    /// Adds a piece whose keys have had `attempts` attempts.
    pub(super) fn add_piece(
        &mut self,
        host: HostKey,
        planned: PlannedPiece,
        tried: TriedOwners,
        attempts: u32,
    ) {
        let id = PieceId(u32::try_from(self.pieces.len()).expect("attempts bound the pieces"));
        let PlannedPiece { shard, range, .. } = planned;
        self.pieces.push(PieceRecord { shard, range, tried, attempts, open: 0, settled: false });
        self.unsettled += 1;
        self.send_piece(host, id, planned);
    }

    /// Queues an attempt of a piece at an owner.
    pub(super) fn send_piece(&mut self, host: HostKey, id: PieceId, planned: PlannedPiece) {
        let piece = &mut self.pieces[id.0 as usize];
        piece.tried.push(TriedOwner { shard: planned.shard, host });
        piece.attempts += 1;
        piece.open += 1;
        self.counts.pieces_sent += 1;
        let PlannedPiece { shard, zone, range } = planned;
        self.outgoing.push((host, PieceSend { piece: id, shard, zone, range }));
    }

    /// Sends queued attempts, one batch to each owner.
    fn flush(&mut self, now: Duration) {
        let Some(version) = self.version else {
            return;
        };
        let mut outgoing = mem::take(&mut self.outgoing);
        outgoing.sort_by_key(|(host, send)| (*host, send.piece));
        for group in outgoing.chunk_by(|left, right| left.0 == right.0) {
            let host = group[0].0;
            let sends: Vec<PieceSend> = group.iter().map(|(_, send)| *send).collect();
            let batch = self.open_batch(host, &sends, now);
            self.actions.push(Action::Send(BatchSend { batch, host, version, pieces: sends }));
        }
    }

    fn open_batch(&mut self, host: HostKey, sends: &[PieceSend], now: Duration) -> BatchId {
        let id = BatchId(u32::try_from(self.batches.len()).expect("attempts bound the batches"));
        let pieces = sends.iter().map(|send| send.piece).collect();
        self.batches.push(BatchRecord { host, pieces, sent_at: now, open: true, hedged: false });
        id
    }

    /// Cancels batches whose pieces are all settled by other attempts, to free the
    /// targets from work that is no longer needed.
    fn cancel_settled(&mut self) {
        let pieces = &self.pieces;
        let is_settled = |id: &PieceId| pieces[id.0 as usize].settled;
        for (number, batch) in (0..).zip(&mut self.batches) {
            if batch.open && batch.pieces.iter().all(is_settled) {
                batch.open = false;
                self.actions.push(Action::Cancel { batch: BatchId(number), host: batch.host });
            }
        }
    }

    /// Cancels every open batch.
    pub(super) fn cancel_open(&mut self) {
        for (number, batch) in (0..).zip(&mut self.batches) {
            if mem::take(&mut batch.open) {
                self.actions.push(Action::Cancel { batch: BatchId(number), host: batch.host });
            }
        }
    }

    /// Discards attempts that were queued and not yet sent.
    pub(super) fn drop_outgoing(&mut self) {
        self.counts.pieces_sent -= u32::try_from(self.outgoing.len()).unwrap_or(0);
        self.outgoing.clear();
    }

    /// Marks a piece as settled.
    pub(super) fn settle(&mut self, id: PieceId) {
        let piece = &mut self.pieces[id.0 as usize];
        if !mem::replace(&mut piece.settled, true) {
            self.unsettled -= 1;
        }
    }

    /// Adds `range` to the missing ranges.
    pub(super) fn mark_missing(&mut self, range: KeyRange, reason: MissingReason) {
        self.missing.push(MissingRange { range, reason });
    }
}
