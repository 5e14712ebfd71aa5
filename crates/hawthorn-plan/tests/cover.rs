//! Coverage is stated by exact ranges, and never overstated.

use std::error::Error;

use hawthorn_plan::cover;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;

type TestResult = Result<(), Box<dyn Error>>;

const SHED: MissingReason = MissingReason::Shedding;
const LATE: MissingReason = MissingReason::DeadlinePast;

struct CoverCase {
    name: &'static str,
    asked: (u32, u32),
    searched: &'static [(u32, u32)],
    given: &'static [(u32, u32, MissingReason)],
    covered: &'static [(u32, u32)],
    missing: &'static [(u32, u32, MissingReason)],
    fraction: f64,
}

#[test]
fn what_is_not_searched_is_missing_with_its_reason() -> TestResult {
    let cases = [
        CoverCase {
            name: "all",
            asked: (0, 100),
            searched: &[(0, 60), (60, 100)],
            given: &[],
            covered: &[(0, 100)],
            missing: &[],
            fraction: 1.0,
        },
        CoverCase {
            name: "searched beyond what was asked adds nothing",
            asked: (10, 20),
            searched: &[(0, 15)],
            given: &[(15, 40, SHED)],
            covered: &[(10, 15)],
            missing: &[(15, 20, SHED)],
            fraction: 0.5,
        },
        CoverCase {
            name: "a range given up and then searched after all is covered",
            asked: (0, 100),
            searched: &[(0, 100)],
            given: &[(0, 50, SHED)],
            covered: &[(0, 100)],
            missing: &[],
            fraction: 1.0,
        },
        CoverCase {
            name: "unexplained is late, not covered",
            asked: (0, 100),
            searched: &[(0, 25)],
            given: &[(25, 50, SHED)],
            covered: &[(0, 25)],
            missing: &[(25, 50, SHED), (50, 100, LATE)],
            fraction: 0.25,
        },
        CoverCase {
            name: "neighbours with one reason are one range",
            asked: (0, 100),
            searched: &[],
            given: &[(50, 100, SHED), (0, 50, SHED)],
            covered: &[],
            missing: &[(0, 100, SHED)],
            fraction: 0.0,
        },
        CoverCase {
            name: "nothing asked",
            asked: (5, 5),
            searched: &[],
            given: &[],
            covered: &[],
            missing: &[],
            fraction: 1.0,
        },
    ];
    for case in cases {
        let searched: RangeSet =
            case.searched.iter().map(|&(start, end)| KeyRange::new(start, end)).collect();
        let part = |&(start, end, reason): &(u32, u32, MissingReason)| MissingRange {
            range: KeyRange::new(start, end),
            reason,
        };
        let given: Vec<_> = case.given.iter().map(part).collect();
        let asked = KeyRange::new(case.asked.0, case.asked.1);
        let coverage = cover::cover(asked, &searched, &given);
        let covered: Vec<_> = coverage.covered.iter().map(|it| (it.start, it.end)).collect();
        assert_eq!(covered, case.covered, "{}", case.name);
        let missing: Vec<_> = case.missing.iter().map(part).collect();
        assert_eq!(coverage.missing, missing, "{}", case.name);
        assert_eq!(coverage.fraction, case.fraction, "{}", case.name);
    }
    Ok(())
}

/// A geologist reads "coverage 100%" and lodges a claim; the one filing that
/// overlaps lay in the one key that was not searched. A fraction rounded for
/// display, or kept as a float of four bytes, would have said so.
#[test]
fn one_missing_key_is_less_than_all() -> TestResult {
    let searched = RangeSet::from(KeyRange::new(0, KEY_SPACE - 1));
    let coverage = cover::cover(KeyRange::WHOLE, &searched, &[]);
    assert!(coverage.fraction < 1.0);
    assert_eq!(coverage.missing.len(), 1);
    Ok(())
}
