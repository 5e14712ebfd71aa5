//! Handling of owners' answers: validation, then acceptance or recovery.

use std::mem;

use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::target::DocumentMatch;

use super::RepartitionPolicy;
use super::TrackContext;
use super::action::BatchId;
use super::action::PieceAnswer;
use super::action::PieceId;
use super::action::PieceOutcome;
use super::state::QueryTrack;
use crate::plan::ReportedVersions;

/// Share of the query's pieces, as a divisor, from which retired pieces cause a replan:
/// the share that one owner has when the pieces are spread over three zones.
const RETIRED_SHARE_DIVISOR: usize = 3;

/// The part of the answer that one target searched.
struct SearchedPart {
    version: IndexVersion,
    searched: RangeSet,
    total: u64,
    matches: Vec<DocumentMatch>,
}

impl QueryTrack {
    /// Handles the answer to a batch.
    ///
    /// An answer to another batch, or one that arrives after its batch was given
    /// up, would add foreign or duplicate matches. Answers are therefore accepted
    /// only for an open batch of the same owner and once for each of its pieces;
    /// others are dropped and counted.
    pub(super) fn handle_answer(
        &mut self,
        batch: BatchId,
        host: HostKey,
        answers: Vec<PieceAnswer>,
        context: &mut TrackContext<'_>,
    ) {
        let dropped = u32::try_from(answers.len()).unwrap_or(u32::MAX);
        let matching = self.batches.get_mut(batch.0 as usize).filter(|record| record.host == host);
        let Some(record) = matching else {
            self.counts.crossed += dropped;
            return;
        };
        if !mem::take(&mut record.open) {
            self.counts.late += dropped;
            return;
        }
        let piece_ids = record.pieces.clone();
        if self.replan_if_widely_retired(&piece_ids, host, &answers, context) {
            return;
        }
        let mut answered = vec![false; piece_ids.len()];
        for answer in answers {
            match piece_ids.binary_search(&answer.piece) {
                Ok(index) if !mem::replace(&mut answered[index], true) => {
                    self.handle_piece(answer.piece, host, answer.outcome, context);
                }
                _ => self.counts.crossed += 1,
            }
        }
        for (id, _) in piece_ids.iter().zip(&answered).filter(|(_, answered)| !**answered) {
            self.counts.bad += 1;
            self.close_attempt(*id);
            self.handle_failure(*id, MissingReason::BadAnswer, context);
        }
    }

    /// Replans immediately when an owner has retired the version of a large share of
    /// the query.
    ///
    /// A version is retired on all targets at about the same time. Requesting
    /// the old version piece by piece from another zone would cost as much as a
    /// replan, and would most likely find it retired there, too. The other zone is
    /// tried first when few pieces are affected or the newer version would cover less.
    fn replan_if_widely_retired(
        &mut self,
        piece_ids: &[PieceId],
        host: HostKey,
        answers: &[PieceAnswer],
        context: &mut TrackContext<'_>,
    ) -> bool {
        let mut retired = 0;
        for answer in answers {
            let is_listed = piece_ids.binary_search(&answer.piece).is_ok();
            if let (true, PieceOutcome::VersionRetired { versions }) = (is_listed, &answer.outcome)
            {
                retired += 1;
                self.record_versions(answer.piece, host, versions);
            }
        }
        let is_widely_retired = retired * RETIRED_SHARE_DIVISOR >= self.unsettled + self.kept;
        is_widely_retired && self.replan(0, context)
    }

    /// Closes the batches of an unreachable owner and fails their pieces.
    pub(super) fn handle_owner_lost(&mut self, host: HostKey, context: &mut TrackContext<'_>) {
        if !self.lost.contains(&host) {
            self.lost.push(host);
        }
        let mut pieces = Vec::new();
        for batch in self.batches.iter_mut().filter(|batch| batch.open && batch.host == host) {
            batch.open = false;
            pieces.extend_from_slice(&batch.pieces);
        }
        for id in pieces {
            self.close_attempt(id);
            self.handle_failure(id, MissingReason::OwnerUnreachable, context);
        }
    }

    fn handle_piece(
        &mut self,
        id: PieceId,
        host: HostKey,
        outcome: PieceOutcome,
        context: &mut TrackContext<'_>,
    ) {
        self.close_attempt(id);
        if self.pieces[id.0 as usize].settled {
            self.counts.late += 1;
            return;
        }
        match outcome {
            PieceOutcome::Answered { version, searched, total, matches } => {
                let part = SearchedPart { version, searched, total, matches };
                self.accept_part(id, host, part, context);
            }
            PieceOutcome::Missing(reason) => self.handle_failure(id, reason, context),
            PieceOutcome::VersionRetired { .. } => {
                self.handle_failure(id, MissingReason::VersionMissing, context);
            }
        }
    }

    fn close_attempt(&mut self, id: PieceId) {
        let piece = &mut self.pieces[id.0 as usize];
        piece.open = piece.open.saturating_sub(1);
    }

    fn accept_part(
        &mut self,
        id: PieceId,
        host: HostKey,
        part: SearchedPart,
        context: &mut TrackContext<'_>,
    ) {
        let range = self.pieces[id.0 as usize].range;
        if !self.is_valid(range, &part) {
            self.counts.bad += 1;
            self.handle_failure(id, MissingReason::BadAnswer, context);
            return;
        }
        let remainder = RangeSet::from(range).difference(&part.searched);
        self.settle(id);
        if remainder.is_empty() || self.options.repartition == RepartitionPolicy::SearchRemainder {
            self.kept += 1;
            self.searched.extend(&part.searched);
            self.merged.add_part(part.total, part.matches);
            self.search_again(id, host, &remainder, context);
        } else {
            self.search_again(id, host, &RangeSet::from(range), context);
        }
    }

    /// Whether the part has the query's version and lies within the requested keys.
    ///
    /// A target may switch its index version during a search, or search more than
    /// requested. The first would mix two snapshots in one answer, the second would
    /// count documents twice.
    fn is_valid(&self, range: KeyRange, part: &SearchedPart) -> bool {
        let outside = part.searched.difference(&RangeSet::from(range));
        Some(part.version) == self.version
            && outside.is_empty()
            && part.total >= part.matches.len() as u64
            && part.matches.iter().all(|document| part.searched.contains(document.key))
    }

    fn record_versions(&mut self, id: PieceId, host: HostKey, versions: &[IndexVersion]) {
        // A target's list may be stale and still contain the retired version.
        let held =
            versions.iter().copied().filter(|version| Some(*version) != self.version).collect();
        let shard = self.requested_shard(id, host);
        let reported = ReportedVersions { shard, host, versions: held };
        let position =
            self.reported.binary_search_by_key(&(shard, host), |entry| (entry.shard, entry.host));
        match position {
            Ok(index) => self.reported[index] = reported,
            Err(index) => self.reported.insert(index, reported),
        }
    }

    /// The shard for which the piece was last sent to `host`.
    fn requested_shard(&self, id: PieceId, host: HostKey) -> hawthorn_types::ShardKey {
        let piece = &self.pieces[id.0 as usize];
        let last_request = piece.tried.iter().rev().find(|tried| tried.host == host);
        last_request.map_or(piece.shard, |tried| tried.shard)
    }
}
