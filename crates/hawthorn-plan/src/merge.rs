//! Merges the matches of all parts, without duplicates.

use std::cmp::Ordering;
use std::collections::HashSet;

use hawthorn_types::target::DocumentMatch;

/// Matches and totals collected from parts that were searched at one version.
#[derive(Clone, Debug, Default)]
pub struct MergedMatches {
    matches: Vec<DocumentMatch>,
    total: u64,
}

impl MergedMatches {
    /// Adds one part: the number of documents that matched, and the best of them.
    ///
    /// Totals are summed, which requires disjoint ranges; [`crate::plan`] and
    /// [`crate::track`] guarantee that.
    pub fn add_part(&mut self, total: u64, matches: Vec<DocumentMatch>) {
        self.total = self.total.saturating_add(total);
        self.matches.extend(matches);
    }

    /// Number of documents that matched in all parts.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Removes all matches and resets the total.
    pub fn clear(&mut self) {
        self.matches.clear();
        self.total = 0;
    }

    /// The total, and the best `limit` matches in descending order of score.
    ///
    /// Two parts return the same document if its key was searched twice while it
    /// moved between targets; callers would see it twice. Documents are
    /// deduplicated by id, the higher score is kept, and the total is reduced by
    /// the duplicates found.
    pub fn finish(mut self, limit: usize) -> (u64, Vec<DocumentMatch>) {
        self.matches.sort_by(by_rank);
        let mut seen = HashSet::with_capacity(self.matches.len());
        let found = self.matches.len();
        self.matches.retain(|document| seen.insert(document.id.clone()));
        let duplicates = (found - self.matches.len()) as u64;
        self.matches.truncate(limit);
        (self.total.saturating_sub(duplicates), self.matches)
    }
}

/// Higher scores first, equal scores by id, so that the order is deterministic.
fn by_rank(left: &DocumentMatch, right: &DocumentMatch) -> Ordering {
    right.score.total_cmp(&left.score).then_with(|| left.id.cmp(&right.id))
}
