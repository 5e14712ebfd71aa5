//! Range arithmetic, on which coverage is based.

use std::error::Error;

use hawthorn_types::KEY_SPACE;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use proptest::prelude::*;

type TestResult = Result<(), Box<dyn Error>>;

fn set(ranges: &[(u32, u32)]) -> RangeSet {
    ranges.iter().map(|&(start, end)| KeyRange::new(start, end)).collect()
}

struct DifferenceCase {
    name: &'static str,
    set: &'static [(u32, u32)],
    removed: &'static [(u32, u32)],
    expected: &'static [(u32, u32)],
}

#[test]
fn difference_removes_the_other_keys() -> TestResult {
    let cases = [
        DifferenceCase {
            name: "nothing removed",
            set: &[(0, 9)],
            removed: &[],
            expected: &[(0, 9)],
        },
        DifferenceCase {
            name: "everything removed",
            set: &[(0, 9)],
            removed: &[(0, 9)],
            expected: &[],
        },
        DifferenceCase {
            name: "middle",
            set: &[(0, 9)],
            removed: &[(3, 5)],
            expected: &[(0, 3), (5, 9)],
        },
        DifferenceCase {
            name: "across two",
            set: &[(0, 4), (6, 9)],
            removed: &[(3, 7)],
            expected: &[(0, 3), (7, 9)],
        },
        DifferenceCase {
            name: "beyond the ends",
            set: &[(2, 4)],
            removed: &[(0, 3), (3, 9)],
            expected: &[],
        },
    ];
    for case in cases {
        assert_eq!(
            set(case.set).difference(&set(case.removed)),
            set(case.expected),
            "{}",
            case.name
        );
    }
    Ok(())
}

#[test]
fn parts_cover_the_key_space_without_overlap() -> TestResult {
    for count in [1, 3, 20, 30, 270] {
        let parts: Vec<_> = (0..count).map(|number| KeyRange::part(number, count)).collect();
        assert_eq!(parts.iter().map(|part| part.len()).sum::<u32>(), KEY_SPACE);
        assert_eq!(parts.into_iter().collect::<RangeSet>(), RangeSet::from(KeyRange::FULL));
    }
    Ok(())
}

fn ranges() -> impl Strategy<Value = Vec<(u32, u32)>> {
    prop::collection::vec((0u32..64, 0u32..64), 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn sets_agree_with_membership_key_by_key(left in ranges(), right in ranges()) {
        let within = |ranges: &[(u32, u32)], key| ranges.iter().any(|&(s, e)| s <= key && key < e);
        let (first, second) = (set(&left), set(&right));
        let rest = first.difference(&second);
        let mut both = first.clone();
        both.extend(&second);
        for key in 0..64 {
            let (a, b) = (within(&left, key), within(&right, key));
            prop_assert_eq!(first.contains(key), a);
            prop_assert_eq!(rest.contains(key), a && !b);
            prop_assert_eq!(both.contains(key), a || b);
        }
        for pair in both.ranges().windows(2) {
            prop_assert!(pair[0].end < pair[1].start);
        }
    }
}
