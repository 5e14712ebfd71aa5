//! What owners answer: checked, then kept or recovered from.

use std::mem;

use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::target::DocumentMatch;

use super::RepartitionPolicy;
use super::TrackContext;
use super::state::QueryTrack;
use super::wire::BatchId;
use super::wire::PieceAnswer;
use super::wire::PieceId;
use super::wire::PieceOutcome;
use crate::plan::LearnedVersions;

/// A part of the query as large as one zone's owner may have of it, as a divisor.
const MUCH_DIVISOR: usize = 3;

/// One target's part of the answer.
struct SearchedPart {
    version: IndexVersion,
    searched: RangeSet,
    total: u64,
    matches: Vec<DocumentMatch>,
}

impl QueryTrack {
    /// Takes in the answer to a batch.
    ///
    /// Failure: an answer meant for another batch, or one that comes after its
    /// batch was given up, shows as foreign or doubled matches. Only an open
    /// batch of the same owner takes answers, each of its pieces once; all
    /// others are dropped and counted.
    pub(super) fn take_answer(
        &mut self,
        batch: BatchId,
        host: HostKey,
        answers: Vec<PieceAnswer>,
        context: &mut TrackContext<'_>,
    ) {
        let dropped = u32::try_from(answers.len()).unwrap_or(u32::MAX);
        let known = self.batches.get_mut(batch.0 as usize).filter(|known| known.host == host);
        let Some(record) = known else {
            self.counts.crossed += dropped;
            return;
        };
        if !mem::take(&mut record.open) {
            self.counts.late += dropped;
            return;
        }
        let listed = record.pieces.clone();
        if self.replan_if_much_retired(&listed, host, &answers, context) {
            return;
        }
        let mut answered = vec![false; listed.len()];
        for answer in answers {
            match listed.binary_search(&answer.piece) {
                Ok(index) if !mem::replace(&mut answered[index], true) => {
                    self.take_piece(answer.piece, host, answer.outcome, context);
                }
                _ => self.counts.crossed += 1,
            }
        }
        for (id, _) in listed.iter().zip(&answered).filter(|(_, answered)| !**answered) {
            self.counts.bad += 1;
            self.close_attempt(*id);
            self.fail(*id, MissingReason::BadAnswer, context);
        }
    }

    /// Plans anew at once when an owner has dropped the version of much of the query.
    ///
    /// Load: a version is dropped everywhere within moments. To ask another
    /// zone for the old version, piece by piece, would cost as much as planning
    /// anew, and most likely find it dropped there as well. Where few pieces
    /// are retired, or the newer version would cover less, the other zone is
    /// asked first.
    fn replan_if_much_retired(
        &mut self,
        listed: &[PieceId],
        host: HostKey,
        answers: &[PieceAnswer],
        context: &mut TrackContext<'_>,
    ) -> bool {
        let mut retired = 0;
        for answer in answers {
            let is_listed = listed.binary_search(&answer.piece).is_ok();
            if let (true, PieceOutcome::VersionRetired { versions }) = (is_listed, &answer.outcome)
            {
                retired += 1;
                self.learn(answer.piece, host, versions);
            }
        }
        let much = retired * MUCH_DIVISOR >= self.waiting + self.kept;
        much && self.replan(0, context)
    }

    /// Closes the batches of an owner that cannot be reached.
    pub(super) fn lose_owner(&mut self, host: HostKey, context: &mut TrackContext<'_>) {
        if !self.lost.contains(&host) {
            self.lost.push(host);
        }
        let mut orphans = Vec::new();
        for batch in self.batches.iter_mut().filter(|batch| batch.open && batch.host == host) {
            batch.open = false;
            orphans.extend_from_slice(&batch.pieces);
        }
        for id in orphans {
            self.close_attempt(id);
            self.fail(id, MissingReason::OwnerUnreachable, context);
        }
    }

    fn take_piece(
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
                self.take_part(id, host, part, context);
            }
            PieceOutcome::Missing(reason) => self.fail(id, reason, context),
            PieceOutcome::VersionRetired { .. } => {
                self.fail(id, MissingReason::VersionMissing, context);
            }
        }
    }

    fn close_attempt(&mut self, id: PieceId) {
        let piece = &mut self.pieces[id.0 as usize];
        piece.open = piece.open.saturating_sub(1);
    }

    fn take_part(
        &mut self,
        id: PieceId,
        host: HostKey,
        part: SearchedPart,
        context: &mut TrackContext<'_>,
    ) {
        let range = self.pieces[id.0 as usize].range;
        if !self.is_sound(range, &part) {
            self.counts.bad += 1;
            self.fail(id, MissingReason::BadAnswer, context);
            return;
        }
        let rest = RangeSet::from(range).difference(&part.searched);
        self.settle(id);
        if rest.is_empty() || self.options.repartition == RepartitionPolicy::SearchRest {
            self.kept += 1;
            self.searched.extend(&part.searched);
            self.merged.absorb(part.total, part.matches);
            self.search_again(id, host, &rest, context);
        } else {
            self.search_again(id, host, &RangeSet::from(range), context);
        }
    }

    /// Whether the part is of this version and within the keys asked.
    ///
    /// Failure: a target that switched its index while it searched, or one
    /// that searched more than it was asked. The first shows as two snapshots
    /// in one answer, the second as documents counted twice.
    fn is_sound(&self, range: KeyRange, part: &SearchedPart) -> bool {
        let beyond = part.searched.difference(&RangeSet::from(range));
        Some(part.version) == self.version
            && beyond.is_empty()
            && part.total >= part.matches.len() as u64
            && part.matches.iter().all(|document| part.searched.contains(document.key))
    }

    fn learn(&mut self, id: PieceId, host: HostKey, versions: &[IndexVersion]) {
        // What retired may still be listed by a target that lags behind itself.
        let held =
            versions.iter().copied().filter(|version| Some(*version) != self.version).collect();
        let shard = self.asked_shard(id, host);
        let learned = LearnedVersions { shard, host, versions: held };
        let place = self.learned.binary_search_by_key(&(shard, host), |it| (it.shard, it.host));
        match place {
            Ok(index) => self.learned[index] = learned,
            Err(index) => self.learned.insert(index, learned),
        }
    }

    /// The shard as which `host` was asked for the piece.
    fn asked_shard(&self, id: PieceId, host: HostKey) -> hawthorn_types::ShardKey {
        let piece = &self.pieces[id.0 as usize];
        let asked = piece.tried.iter().rev().find(|tried| tried.host == host);
        asked.map_or(piece.shard, |tried| tried.shard)
    }
}
