//! Receives batches: submits each piece to the decision state machine or ends it at once.

use std::time::Duration;

use hawthorn_decide::message::QueuedPiece;
use hawthorn_types::CallerKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::UrgencyClass;
use tokio::sync::oneshot;

use super::BatchKey;
use super::batch::OpenBatch;
use super::batch::OpenPiece;
use super::batch::OpenRun;
use super::batch::OpenSearch;
use super::worker::OwnerWorker;
use crate::connection::message::BatchAnswer;
use crate::connection::message::BatchHop;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;

impl OwnerWorker {
    pub(super) fn handle_search(
        &mut self,
        key: BatchKey,
        batch: SearchBatch,
        reply: oneshot::Sender<BatchAnswer>,
    ) {
        let now = self.now();
        let deadline = now.after(Duration::from_micros(batch.left_us));
        let caller = CallerKey(self.caller_names.intern(&batch.caller));
        let urgency = batch.urgency;
        let pieces = batch.pieces.clone();
        let hop = batch.hop;
        let request = batch.request.to_string();
        let remaining = pieces.len();
        let open = OpenSearch {
            batch,
            request,
            parts: Vec::with_capacity(remaining),
            remaining,
            queued: Duration::ZERO,
            reply,
        };
        if remaining == 0 {
            return self.answer(open);
        }
        self.table.batches.insert(key, OpenBatch::Search(open));
        for piece in pieces {
            let shard = self.shard_names.number(&piece.shard).map(ShardKey);
            let version = piece.version;
            let open = OpenPiece {
                batch: key,
                number: piece.number,
                shard: piece.shard,
                version,
                range: piece.range,
                deadline,
                queued_since: Some(now),
            };
            let relayable = hop == BatchHop::Front && self.has_relay(&open.shard);
            let key = self.table.add_piece(open);
            let Some(shard) = shard else {
                self.end_search_piece(key, PieceOutcome::NotOwner);
                continue;
            };
            if hop == BatchHop::Owner && !self.accepts_relayed(shard) {
                self.end_search_piece(key, PieceOutcome::Missing(MissingReason::Shedding));
                continue;
            }
            let queued = QueuedPiece {
                piece: key,
                caller,
                urgency,
                shard,
                version,
                deadline,
                expected_cost: None,
                at_most_once: false,
                relayable,
            };
            self.submit(queued);
        }
    }

    fn submit(&mut self, queued: QueuedPiece) {
        let outcome = self.state.submit(self.now(), queued);
        if let hawthorn_decide::admit::Outcome::Refused { reason, .. } = outcome {
            self.end_missing(queued.piece, missing_for(reason));
        } else if queued.relayable {
            self.schedule_relay(queued.piece, queued.shard);
        }
    }

    pub(super) fn handle_run(
        &mut self,
        key: BatchKey,
        batch: OnceBatch,
        reply: oneshot::Sender<OnceOutcome>,
    ) {
        let now = self.now();
        let deadline = now.after(Duration::from_micros(batch.left_us));
        let caller = CallerKey(self.caller_names.intern(&batch.caller));
        let Some(shard) = self.shard_names.number(&batch.shard).map(ShardKey) else {
            let _gone = reply.send(OnceOutcome::NotRun(RefusalReason::NoTarget));
            return;
        };
        let version = self.newest_version(&batch.shard);
        let piece = self.table.add_piece(OpenPiece {
            batch: key,
            number: 0,
            shard: batch.shard.clone(),
            version,
            range: KeyRange::new(batch.key, batch.key + 1),
            deadline,
            queued_since: None,
        });
        let request = batch.request.to_string();
        let open = OpenRun { batch, request, reply };
        self.table.batches.insert(key, OpenBatch::Run(open));
        let queued = QueuedPiece {
            piece,
            caller,
            urgency: UrgencyClass::Urgent,
            shard,
            version,
            deadline,
            expected_cost: None,
            at_most_once: true,
            relayable: false,
        };
        let outcome = self.state.submit(now, queued);
        if let hawthorn_decide::admit::Outcome::Refused { reason, .. } = outcome {
            self.end_run(piece, OnceOutcome::NotRun(reason));
        }
    }

    /// Returns the shard's newest version. A non-idempotent request does not depend on the version,
    /// but must go to a target that holds the key; every holder of the newest version does.
    fn newest_version(&self, shard: &ShardName) -> IndexVersion {
        let view = self.view.borrow();
        let known = view.shards.iter().find(|known| known.shard == *shard);
        known.and_then(|known| known.versions.last().copied()).unwrap_or_default()
    }
}

/// Maps the refusal of a piece to the reason why it is missing.
fn missing_for(reason: RefusalReason) -> MissingReason {
    match reason {
        RefusalReason::NoTarget => MissingReason::NoReplica,
        RefusalReason::WaitBeyondDeadline
        | RefusalReason::ExpiredInQueue
        | RefusalReason::DeadlinePast => MissingReason::QueuedPastDeadline,
        _ => MissingReason::Shedding,
    }
}
