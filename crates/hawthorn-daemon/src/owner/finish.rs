//! Finishes pieces and answers batches.

use std::collections::HashSet;

use hawthorn_decide::message::PieceKey;
use hawthorn_decide::message::PieceResult;
use hawthorn_types::AttemptId;
use hawthorn_types::FailureReason;
use hawthorn_types::IndexVersion;
use hawthorn_types::MissingReason;

use super::attempt::AttemptAnswer;
use super::batch::OpenBatch;
use super::batch::OpenSearch;
use super::worker::OwnerWorker;
use crate::connection::message::BatchAnswer;
use crate::connection::message::OnceOutcome;
use crate::connection::message::PieceOutcome;

impl OwnerWorker {
    pub(super) fn finish(&mut self, piece: PieceKey, result: PieceResult) {
        let retired = self.retired.remove(&piece);
        match result {
            PieceResult::Answered { attempt, .. } => self.deliver(piece, attempt),
            PieceResult::Missing(MissingReason::VersionMissing) => {
                let versions = retired.unwrap_or_else(|| self.versions_of(piece));
                self.end_search_piece(piece, PieceOutcome::Retired(versions));
            }
            PieceResult::Missing(reason) => self.end_missing(piece, reason),
            PieceResult::NotRun(reason) => self.end_run(piece, OnceOutcome::NotRun(reason)),
            PieceResult::Unknown(reason) => self.end_run(piece, OnceOutcome::Unknown(reason)),
            PieceResult::Failed(reason) => self.end_run(piece, OnceOutcome::Failed(reason)),
            PieceResult::Cancelled { .. } => {
                self.table.pieces.remove(&piece);
            }
        }
    }

    /// Finishes a piece of a search that has no answer from this owner.
    pub(super) fn end_missing(&mut self, piece: PieceKey, reason: MissingReason) {
        self.table.record_wait(piece, self.now());
        if !self.defer_to_relay(piece, reason) {
            self.end_search_piece(piece, PieceOutcome::Missing(reason));
        }
    }

    fn versions_of(&self, piece: PieceKey) -> Vec<IndexVersion> {
        let Some(open) = self.table.pieces.get(&piece) else { return Vec::new() };
        let service = open.shard.service();
        let holders = self.targets.values().filter(|target| target.shards.contains(&open.shard));
        let held = holders.flat_map(|target| &target.held).filter(|held| held.service == service);
        let versions: HashSet<IndexVersion> = held.map(|held| held.version).collect();
        versions.into_iter().collect()
    }

    fn deliver(&mut self, piece: PieceKey, attempt: AttemptId) {
        match self.answers.remove(&attempt) {
            Some(AttemptAnswer::Search(answer)) => {
                let outcome = PieceOutcome::Answered {
                    version: answer.version,
                    searched: answer.searched,
                    total: answer.total,
                    matches: answer.matches,
                };
                self.end_search_piece(piece, outcome);
            }
            Some(AttemptAnswer::Ran(result)) => self.end_run(piece, OnceOutcome::Ran(result)),
            Some(AttemptAnswer::RanAndFailed) => {
                self.end_run(piece, OnceOutcome::Failed(FailureReason::TargetError));
            }
            None => {
                self.end_search_piece(piece, PieceOutcome::Missing(MissingReason::BadAnswer));
            }
        }
    }

    pub(super) fn end_search_piece(&mut self, piece: PieceKey, outcome: PieceOutcome) {
        self.relays.remove(piece);
        if let Some(open) = self.table.end_piece(piece, outcome) {
            self.answer(open);
        }
    }

    pub(super) fn answer(&self, open: OpenSearch) {
        let view = self.view.borrow();
        let view = (view.generation != open.batch.view).then(|| (**view).clone());
        let queued_us = u64::try_from(open.queued.as_micros()).unwrap_or(u64::MAX);
        let answer =
            BatchAnswer { request: open.batch.request, parts: open.parts, queued_us, view };
        // Sending fails if the front has stopped waiting, which needs no handling.
        let _gone = open.reply.send(answer);
    }

    pub(super) fn end_run(&mut self, piece: PieceKey, outcome: OnceOutcome) {
        let Some(open) = self.table.pieces.remove(&piece) else { return };
        if let Some(OpenBatch::Run(run)) = self.table.batches.remove(&open.batch) {
            let _gone = run.reply.send(outcome);
        }
    }
}
