//! Patterns of rules.

mod support;

use hawthorn_intent::glob::matches;
use support::TestResult;

struct GlobCase {
    pattern: &'static str,
    fits: &'static [&'static str],
    fits_not: &'static [&'static str],
}

#[test]
fn stars_and_question_marks_stand_for_characters() -> TestResult {
    let cases = [
        GlobCase { pattern: "", fits: &[""], fits_not: &["a"] },
        GlobCase { pattern: "*", fits: &["", "a", "a/b"], fits_not: &[] },
        GlobCase { pattern: "a?c", fits: &["abc", "aéc"], fits_not: &["ac", "abbc"] },
        GlobCase {
            pattern: "a*b*c",
            fits: &["abc", "aabbcc", "axbxbc"],
            fits_not: &["acb", "abcd"],
        },
        GlobCase { pattern: "*-a", fits: &["desk-a", "-a", "-a-a"], fits_not: &["desk-b", "a"] },
        GlobCase {
            pattern: "hall-kato",
            fits: &["hall-kato"],
            fits_not: &["hall-kat", "Hall-kato"],
        },
    ];
    for case in cases {
        for text in case.fits {
            assert!(matches(case.pattern, text), "{} fits {text}", case.pattern);
        }
        for text in case.fits_not {
            assert!(!matches(case.pattern, text), "{} does not fit {text}", case.pattern);
        }
    }
    Ok(())
}
