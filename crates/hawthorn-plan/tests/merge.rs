//! Merging the matches of all parts, without duplicates.

use std::error::Error;

use hawthorn_plan::MergedMatches;
use hawthorn_types::target::DocumentMatch;

const LIMIT: usize = 3;

type TestResult = Result<(), Box<dyn Error>>;

fn document(id: &str, score: f32) -> DocumentMatch {
    DocumentMatch { key: 1, id: id.to_owned(), score, text: String::new() }
}

struct MergeCase {
    name: &'static str,
    parts: &'static [(u64, &'static [(&'static str, f32)])],
    total: u64,
    best: &'static [&'static str],
}

#[test]
fn keeps_the_best_matches_of_all_parts() -> TestResult {
    let case = |name, parts, total, best| MergeCase { name, parts, total, best };
    let cases = [
        case("nothing", &[], 0, &[]),
        case(
            "best first",
            &[(2, &[("a", 0.9), ("b", 0.1)]), (1, &[("c", 0.5)])],
            3,
            &["a", "c", "b"],
        ),
        case(
            "the limit cuts matches, not the total",
            &[(40, &[("a", 0.9), ("b", 0.1)]), (2, &[("c", 0.5), ("d", 0.4)])],
            42,
            &["a", "c", "d"],
        ),
        case(
            "a document found twice counts once",
            &[(2, &[("a", 0.9), ("b", 0.1)]), (2, &[("c", 0.5), ("a", 0.8)])],
            3,
            &["a", "c", "b"],
        ),
        case(
            "equal scores by id",
            &[(2, &[("b", 0.5), ("c", 0.5)]), (1, &[("a", 0.5)])],
            3,
            &["a", "b", "c"],
        ),
    ];
    for case in cases {
        let mut merged = MergedMatches::default();
        for (total, matches) in case.parts {
            let matches = matches.iter().map(|(id, score)| document(id, *score)).collect();
            merged.add_part(*total, matches);
        }
        let (total, best) = merged.finish(LIMIT);
        let ids: Vec<_> = best.iter().map(|document| document.id.as_str()).collect();
        assert_eq!((total, ids.as_slice()), (case.total, case.best), "{}", case.name);
    }
    Ok(())
}
