//! Wildcard patterns of rules.

mod support;

use hawthorn_intent::glob::matches;
use support::TestResult;

struct GlobCase {
    pattern: &'static str,
    matches: &'static [&'static str],
    mismatches: &'static [&'static str],
}

#[test]
fn wildcards_match_characters() -> TestResult {
    let cases = [
        GlobCase { pattern: "", matches: &[""], mismatches: &["a"] },
        GlobCase { pattern: "*", matches: &["", "a", "a/b"], mismatches: &[] },
        GlobCase { pattern: "a?c", matches: &["abc", "aéc"], mismatches: &["ac", "abbc"] },
        GlobCase {
            pattern: "a*b*c",
            matches: &["abc", "aabbcc", "axbxbc"],
            mismatches: &["acb", "abcd"],
        },
        GlobCase {
            pattern: "*-a",
            matches: &["desk-a", "-a", "-a-a"],
            mismatches: &["desk-b", "a"],
        },
        GlobCase {
            pattern: "hall-kato",
            matches: &["hall-kato"],
            mismatches: &["hall-kat", "Hall-kato"],
        },
    ];
    for case in cases {
        for text in case.matches {
            assert!(matches(case.pattern, text), "{} matches {text}", case.pattern);
        }
        for text in case.mismatches {
            assert!(!matches(case.pattern, text), "{} does not match {text}", case.pattern);
        }
    }
    Ok(())
}
