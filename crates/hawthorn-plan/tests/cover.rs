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

type Ranges = &'static [(u32, u32)];
type Reasons = &'static [(u32, u32, MissingReason)];

struct CoverCase {
    name: &'static str,
    asked: (u32, u32),
    searched: Ranges,
    given: Reasons,
    covered: Ranges,
    missing: Reasons,
    fraction: f64,
}

#[test]
fn what_is_not_searched_is_missing_with_its_reason() -> TestResult {
    let case = |name, searched, given, covered, missing, fraction| CoverCase {
        name,
        asked: (0, 100),
        searched,
        given,
        covered,
        missing,
        fraction,
    };
    let cases = [
        case("all", &[(0, 60), (60, 100)], &[], &[(0, 100)], &[], 1.0),
        case("given up, then searched", &[(0, 100)], &[(0, 50, SHED)], &[(0, 100)], &[], 1.0),
        case(
            "unexplained is late, not covered",
            &[(0, 25)],
            &[(25, 50, SHED)],
            &[(0, 25)],
            &[(25, 50, SHED), (50, 100, LATE)],
            0.25,
        ),
        case(
            "neighbours with one reason are one range",
            &[],
            &[(50, 100, SHED), (0, 50, SHED)],
            &[],
            &[(0, 100, SHED)],
            0.0,
        ),
        CoverCase {
            asked: (10, 20),
            ..case(
                "searched beyond what was asked adds nothing",
                &[(0, 15)],
                &[(15, 40, SHED)],
                &[(10, 15)],
                &[(15, 20, SHED)],
                0.5,
            )
        },
        CoverCase { asked: (5, 5), ..case("nothing asked", &[], &[], &[], &[], 1.0) },
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
    let coverage = cover::cover(KeyRange::FULL, &searched, &[]);
    assert!(coverage.fraction < 1.0);
    assert_eq!(coverage.missing.len(), 1);
    Ok(())
}
