//! The track itself: begins, steps, flushes what is to be sent, finishes.

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
use super::piece::BatchRecord;
use super::piece::PieceRecord;
use super::piece::TriedOwners;
use super::wire::Action;
use super::wire::BatchId;
use super::wire::BatchSend;
use super::wire::FinishedQuery;
use super::wire::PieceId;
use super::wire::PieceSend;
use super::wire::TrackCounts;
use crate::cover;
use crate::merge::MergedMatches;
use crate::plan;
use crate::plan::LearnedVersions;
use crate::plan::PlanInput;
use crate::plan::PlannedPiece;
use crate::plan::QueryPlan;
use crate::plan::TriedOwner;
use crate::plan::VersionChoice;

/// A query that is not over.
#[derive(Debug)]
pub struct QueryTrack {
    pub(super) query: TrackedQuery,
    pub(super) options: Options,
    /// The one version; every part kept was searched at it.
    pub(super) version: Option<IndexVersion>,
    pub(super) pieces: Vec<PieceRecord>,
    pub(super) batches: Vec<BatchRecord>,
    /// Pieces not settled.
    pub(super) waiting: usize,
    /// Pieces whose answer was kept; what planning anew would repeat.
    pub(super) kept: usize,
    pub(super) searched: RangeSet,
    pub(super) merged: MergedMatches,
    pub(super) missing: Vec<MissingRange>,
    pub(super) lost: SmallVec<[HostKey; 2]>,
    pub(super) learned: Vec<LearnedVersions>,
    /// A piece failed because its version is retired.
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
            waiting: 0,
            kept: 0,
            searched: RangeSet::default(),
            merged: MergedMatches::default(),
            missing: Vec::new(),
            lost: SmallVec::new(),
            learned: Vec::new(),
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
        Box::new(self).go_on(context)
    }

    /// The version being searched.
    pub fn version(&self) -> Option<IndexVersion> {
        self.version
    }

    /// Takes in one event.
    ///
    /// A query with nothing left to wait for is over at once: its answer is
    /// never held back until the deadline.
    pub fn step(mut self: Box<Self>, event: Event, context: &mut TrackContext<'_>) -> Step {
        match event {
            Event::BatchAnswered { batch, host, pieces } => {
                self.take_answer(batch, host, pieces, context);
            }
            Event::OwnerLost(host) => self.lose_owner(host, context),
            Event::Timer => self.hedge_silent(context),
            Event::Stop => return self.finish(),
        }
        if self.retired {
            self.replan(1, context);
        }
        self.go_on(context)
    }

    fn go_on(mut self: Box<Self>, context: &TrackContext<'_>) -> Step {
        if self.waiting == 0 || context.now >= self.last_moment() {
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

    /// When the answer has to leave to arrive in time.
    pub(super) fn last_moment(&self) -> Duration {
        self.query.deadline.saturating_sub(self.options.answer_reserve)
    }

    pub(super) fn remaining(&self, now: Duration) -> Duration {
        self.last_moment().saturating_sub(now)
    }

    /// When the owner of `batch` counts as silent.
    pub(super) fn silent_at(&self, batch: &BatchRecord) -> Duration {
        let left = self.last_moment().saturating_sub(batch.sent_at);
        batch.sent_at + left / self.options.silence_divisor.max(1)
    }

    fn next_wake(&self) -> Duration {
        let open = self.batches.iter().filter(|batch| batch.open && !batch.hedged);
        let first = open.map(|batch| self.silent_at(batch)).min();
        first.map_or(self.last_moment(), |at| at.min(self.last_moment()))
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
            learned: &self.learned,
            random: self.query.random,
        };
        plan::plan(&input, &self.options.plan)
    }

    /// Takes `plan` as the plan of the whole query.
    pub(super) fn adopt(&mut self, plan: QueryPlan) {
        self.version = plan.version;
        self.missing = plan.missing;
        for batch in plan.batches {
            for piece in batch.pieces {
                self.add_piece(batch.host, piece, TriedOwners::new(), 0);
            }
        }
    }

    /// Adds a piece for keys that were attempted `attempts` times before.
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
        self.waiting += 1;
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

    /// Sends what was queued, one batch to each owner.
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

    /// Cancels batches whose pieces are all settled by other attempts: nobody
    /// reads their answer, and the targets' time is wanted elsewhere.
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

    /// Forgets what was queued and not yet sent.
    pub(super) fn drop_outgoing(&mut self) {
        self.counts.pieces_sent -= u32::try_from(self.outgoing.len()).unwrap_or(0);
        self.outgoing.clear();
    }

    /// Ends a piece, whatever came of it.
    pub(super) fn settle(&mut self, id: PieceId) {
        let piece = &mut self.pieces[id.0 as usize];
        if !mem::replace(&mut piece.settled, true) {
            self.waiting -= 1;
        }
    }

    /// Lists `range` as missing.
    pub(super) fn give_up(&mut self, range: KeyRange, reason: MissingReason) {
        self.missing.push(MissingRange { range, reason });
    }
}
