//! Coverage of an answer: the exact ranges covered, and why others are missing.

use hawthorn_types::AnswerCoverage;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;

/// The coverage of an answer to a query for `requested`.
///
/// `searched` holds the ranges that targets reported as searched at the answer's
/// version; `reasons` lists the ranges given up, where the first entry that
/// contains a key takes precedence. Coverage is derived from `searched` alone: a
/// range without a reason still counts as missing, and `fraction` is exactly 1
/// only when nothing is missing.
pub fn cover(requested: KeyRange, searched: &RangeSet, reasons: &[MissingRange]) -> AnswerCoverage {
    let covered = searched.clip(requested);
    let mut remaining = RangeSet::from(requested).difference(&covered);
    let mut missing = Vec::new();
    for given_up in reasons {
        for &range in remaining.clip(given_up.range).ranges() {
            missing.push(MissingRange { range, reason: given_up.reason });
        }
        remaining.remove(given_up.range);
    }
    missing.extend(remaining.ranges().iter().map(|&range| without_reason(range)));
    missing.sort_by_key(|part| part.range);
    AnswerCoverage {
        fraction: fraction(requested, &covered, missing.is_empty()),
        covered: covered.ranges().to_vec(),
        missing: merge_adjacent(missing),
    }
}

fn without_reason(range: KeyRange) -> MissingRange {
    MissingRange { range, reason: MissingReason::DeadlinePast }
}

fn fraction(requested: KeyRange, covered: &RangeSet, complete: bool) -> f64 {
    if complete {
        return 1.0;
    }
    // Both lengths are exact in an f64, so one missing key already gives less than 1.
    f64::from(covered.len()) / f64::from(requested.len())
}

/// Merges adjacent ranges that have the same reason.
fn merge_adjacent(parts: Vec<MissingRange>) -> Vec<MissingRange> {
    let mut merged: Vec<MissingRange> = Vec::with_capacity(parts.len());
    for part in parts {
        match merged.last_mut() {
            Some(last) if last.range.end == part.range.start && last.reason == part.reason => {
                last.range.end = part.range.end;
            }
            _ => merged.push(part),
        }
    }
    merged
}
