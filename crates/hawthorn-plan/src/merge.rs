//! The best matches of all parts, each document once.

use std::cmp::Ordering;
use std::collections::HashSet;

use hawthorn_types::target::DocumentMatch;

/// Matches and totals gathered from the parts of one version.
#[derive(Clone, Debug, Default)]
pub struct MergedMatches {
    matches: Vec<DocumentMatch>,
    total: u64,
}

impl MergedMatches {
    /// Adds one part: how many documents matched in it, and the best of them.
    ///
    /// Parts of disjoint ranges may be added up; that they are disjoint is
    /// the promise of [`crate::plan`] and [`crate::track`].
    pub fn absorb(&mut self, total: u64, matches: Vec<DocumentMatch>) {
        self.total = self.total.saturating_add(total);
        self.matches.extend(matches);
    }

    /// How many documents matched in all parts.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.matches.clear();
        self.total = 0;
    }

    /// The total, and the best `limit` matches in descending order of score.
    ///
    /// Failure: a document found by two parts, because a target searched a
    /// key twice while it moved, shows as a doubled order. It counts once: by
    /// its id, the better score kept, and the total lowered by the copies seen.
    pub fn finish(mut self, limit: usize) -> (u64, Vec<DocumentMatch>) {
        self.matches.sort_by(by_rank);
        let mut seen = HashSet::with_capacity(self.matches.len());
        let found = self.matches.len();
        self.matches.retain(|document| seen.insert(document.id.clone()));
        let copies = (found - self.matches.len()) as u64;
        self.matches.truncate(limit);
        (self.total.saturating_sub(copies), self.matches)
    }
}

/// Better score first; equal scores by id, so that equal answers read equal.
fn by_rank(left: &DocumentMatch, right: &DocumentMatch) -> Ordering {
    right.score.total_cmp(&left.score).then_with(|| left.id.cmp(&right.id))
}
