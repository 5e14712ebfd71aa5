//! Coverage is reported in exact ranges and never overstated.

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
    requested: (u32, u32),
    searched: Ranges,
    given_up: Reasons,
    covered: Ranges,
    missing: Reasons,
    fraction: f64,
}

#[test]
fn unsearched_ranges_are_missing_with_reason() -> TestResult {
    let case = |name, searched, given_up, covered, missing, fraction| CoverCase {
        name,
        requested: (0, 100),
        searched,
        given_up,
        covered,
        missing,
        fraction,
    };
    let cases = [
        case("all", &[(0, 60), (60, 100)], &[], &[(0, 100)], &[], 1.0),
        case("given up, then searched", &[(0, 100)], &[(0, 50, SHED)], &[(0, 100)], &[], 1.0),
        case(
            "missing without a reason counts as late",
            &[(0, 25)],
            &[(25, 50, SHED)],
            &[(0, 25)],
            &[(25, 50, SHED), (50, 100, LATE)],
            0.25,
        ),
        case(
            "adjacent ranges with the same reason are merged",
            &[],
            &[(50, 100, SHED), (0, 50, SHED)],
            &[],
            &[(0, 100, SHED)],
            0.0,
        ),
        CoverCase {
            requested: (10, 20),
            ..case(
                "keys searched outside the request do not count",
                &[(0, 15)],
                &[(15, 40, SHED)],
                &[(10, 15)],
                &[(15, 20, SHED)],
                0.5,
            )
        },
        CoverCase { requested: (5, 5), ..case("empty request", &[], &[], &[], &[], 1.0) },
    ];
    for case in cases {
        let searched: RangeSet =
            case.searched.iter().map(|&(start, end)| KeyRange::new(start, end)).collect();
        let part = |&(start, end, reason): &(u32, u32, MissingReason)| MissingRange {
            range: KeyRange::new(start, end),
            reason,
        };
        let given_up: Vec<_> = case.given_up.iter().map(part).collect();
        let requested = KeyRange::new(case.requested.0, case.requested.1);
        let coverage = cover::cover(requested, &searched, &given_up);
        let covered: Vec<_> = coverage.covered.iter().map(|it| (it.start, it.end)).collect();
        assert_eq!(covered, case.covered, "{}", case.name);
        let missing: Vec<_> = case.missing.iter().map(part).collect();
        assert_eq!(coverage.missing, missing, "{}", case.name);
        assert_eq!(coverage.fraction, case.fraction, "{}", case.name);
    }
    Ok(())
}

/// Guards against reporting full coverage when a single key is missing, as a rounded
/// fraction or an `f32` would.
#[test]
fn one_missing_key_is_incomplete() -> TestResult {
    let searched = RangeSet::from(KeyRange::new(0, KEY_SPACE - 1));
    let coverage = cover::cover(KeyRange::FULL, &searched, &[]);
    assert!(coverage.fraction < 1.0);
    assert_eq!(coverage.missing.len(), 1);
    Ok(())
}
