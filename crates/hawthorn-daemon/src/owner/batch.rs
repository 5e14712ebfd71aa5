//! Open batches and pieces of the owner worker.

use std::collections::HashMap;
use std::time::Duration;

use hawthorn_decide::message::PieceKey;
use hawthorn_decide::time::TickTime;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::ShardName;
use tokio::sync::oneshot;

use super::BatchKey;
use crate::connection::message::BatchAnswer;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;

/// A batch of a query, open until all its pieces have ended.
pub(crate) struct OpenSearch {
    pub(crate) batch: SearchBatch,
    /// The request id as targets get it.
    pub(crate) request: String,
    pub(crate) parts: Vec<(u32, PieceOutcome)>,
    pub(crate) remaining: usize,
    /// Longest time that a piece waited for its first slot.
    pub(crate) queued: Duration,
    pub(crate) reply: oneshot::Sender<BatchAnswer>,
}

/// A non-idempotent request, open until its only attempt has ended.
pub(crate) struct OpenRun {
    pub(crate) batch: OnceBatch,
    pub(crate) request: String,
    pub(crate) reply: oneshot::Sender<OnceOutcome>,
}

/// An open batch or request.
pub(crate) enum OpenBatch {
    Search(OpenSearch),
    Run(OpenRun),
}

impl OpenBatch {
    /// The request id as targets get it.
    pub(crate) fn request(&self) -> &str {
        match self {
            Self::Search(search) => &search.request,
            Self::Run(run) => &run.request,
        }
    }
}

/// One piece that the decision state machine is processing.
pub(crate) struct OpenPiece {
    pub(crate) batch: BatchKey,
    pub(crate) number: u32,
    pub(crate) shard: ShardName,
    pub(crate) version: IndexVersion,
    pub(crate) range: KeyRange,
    pub(crate) deadline: TickTime,
    /// Arrival time; `None` once its wait for a slot has been recorded.
    pub(crate) queued_since: Option<TickTime>,
}

/// All open batches and their pieces.
#[derive(Default)]
pub(crate) struct BatchTable {
    pub(crate) batches: HashMap<BatchKey, OpenBatch>,
    pub(crate) pieces: HashMap<PieceKey, OpenPiece>,
    next_piece: u64,
}

impl BatchTable {
    /// Adds a piece and returns its key.
    pub(crate) fn add_piece(&mut self, piece: OpenPiece) -> PieceKey {
        self.next_piece += 1;
        let key = PieceKey(self.next_piece);
        self.pieces.insert(key, piece);
        key
    }

    /// Records the time that a piece waited for its first slot.
    pub(crate) fn record_wait(&mut self, key: PieceKey, now: TickTime) {
        let Some(piece) = self.pieces.get_mut(&key) else { return };
        let Some(since) = piece.queued_since.take() else { return };
        if let Some(OpenBatch::Search(open)) = self.batches.get_mut(&piece.batch) {
            open.queued = open.queued.max(now.since(since));
        }
    }

    /// Removes a batch and returns the keys of its open pieces.
    pub(crate) fn remove_batch(&mut self, batch: BatchKey) -> Vec<PieceKey> {
        if self.batches.remove(&batch).is_none() {
            return Vec::new();
        }
        let open = self.pieces.iter().filter(|(_, piece)| piece.batch == batch);
        open.map(|(&key, _)| key).collect()
    }

    /// Records the outcome of a piece of a search; returns the batch if this was its last piece.
    pub(crate) fn end_piece(&mut self, key: PieceKey, outcome: PieceOutcome) -> Option<OpenSearch> {
        let piece = self.pieces.remove(&key)?;
        let Some(OpenBatch::Search(open)) = self.batches.get_mut(&piece.batch) else {
            return None;
        };
        open.parts.push((piece.number, outcome));
        open.remaining -= 1;
        if open.remaining > 0 {
            return None;
        }
        match self.batches.remove(&piece.batch) {
            Some(OpenBatch::Search(open)) => Some(open),
            _ => None,
        }
    }
}
