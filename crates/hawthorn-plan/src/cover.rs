//! What an answer covers, by exact ranges, and why the rest is missing.

use hawthorn_types::AnswerCoverage;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;

/// The coverage of an answer to `asked`.
///
/// `searched` holds the ranges that targets state they searched at the one
/// version of the answer; `reasons` why ranges were given up, the first that
/// names a key decides. Coverage comes from `searched` alone: a range that no
/// one explained is still missing, and `fraction` is exactly 1 only when
/// nothing is.
pub fn cover(asked: KeyRange, searched: &RangeSet, reasons: &[MissingRange]) -> AnswerCoverage {
    let covered = searched.clip(asked);
    let mut rest = RangeSet::from(asked).difference(&covered);
    let mut missing = Vec::new();
    for given in reasons {
        for &range in rest.clip(given.range).ranges() {
            missing.push(MissingRange { range, reason: given.reason });
        }
        rest.remove(given.range);
    }
    missing.extend(rest.ranges().iter().map(|&range| unexplained(range)));
    missing.sort_by_key(|part| part.range);
    AnswerCoverage {
        fraction: fraction(asked, &covered, missing.is_empty()),
        covered: covered.ranges().to_vec(),
        missing: join(missing),
    }
}

fn unexplained(range: KeyRange) -> MissingRange {
    MissingRange { range, reason: MissingReason::DeadlinePast }
}

fn fraction(asked: KeyRange, covered: &RangeSet, complete: bool) -> f64 {
    if complete {
        return 1.0;
    }
    // Both fit a double exactly, so a missing key always leaves less than 1.
    f64::from(covered.len()) / f64::from(asked.len())
}

/// Joins neighbours with the same reason.
fn join(parts: Vec<MissingRange>) -> Vec<MissingRange> {
    let mut joined: Vec<MissingRange> = Vec::with_capacity(parts.len());
    for part in parts {
        match joined.last_mut() {
            Some(last) if last.range.end == part.range.start && last.reason == part.reason => {
                last.range.end = part.range.end;
            }
            _ => joined.push(part),
        }
    }
    joined
}
