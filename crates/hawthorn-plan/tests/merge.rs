//! Merging: the best matches of all parts, each document once.

use std::error::Error;

use hawthorn_plan::MergedMatches;
use hawthorn_types::target::DocumentMatch;

type TestResult = Result<(), Box<dyn Error>>;

fn document(id: &str, score: f32) -> DocumentMatch {
    DocumentMatch { key: 1, id: id.to_owned(), score, text: String::new() }
}

struct MergeCase {
    name: &'static str,
    parts: &'static [(u64, &'static [(&'static str, f32)])],
    limit: usize,
    total: u64,
    best: &'static [&'static str],
}

#[test]
fn the_best_of_all_parts_remain() -> TestResult {
    let cases = [
        MergeCase { name: "nothing", parts: &[], limit: 9, total: 0, best: &[] },
        MergeCase {
            name: "across parts, best first",
            parts: &[(2, &[("a", 0.9), ("b", 0.1)]), (1, &[("c", 0.5)])],
            limit: 9,
            total: 3,
            best: &["a", "c", "b"],
        },
        MergeCase {
            name: "the limit cuts matches, not the total",
            parts: &[(40, &[("a", 0.9), ("b", 0.1)]), (2, &[("c", 0.5)])],
            limit: 2,
            total: 42,
            best: &["a", "c"],
        },
        MergeCase {
            name: "a document found twice counts once",
            parts: &[(2, &[("a", 0.9), ("b", 0.1)]), (2, &[("c", 0.5), ("a", 0.8)])],
            limit: 9,
            total: 3,
            best: &["a", "c", "b"],
        },
        MergeCase {
            name: "equal scores by id",
            parts: &[(2, &[("b", 0.5), ("c", 0.5)]), (1, &[("a", 0.5)])],
            limit: 9,
            total: 3,
            best: &["a", "b", "c"],
        },
    ];
    for case in cases {
        let mut merged = MergedMatches::default();
        for (total, matches) in case.parts {
            let matches = matches.iter().map(|(id, score)| document(id, *score)).collect();
            merged.absorb(*total, matches);
        }
        let (total, best) = merged.finish(case.limit);
        let ids: Vec<_> = best.iter().map(|document| document.id.as_str()).collect();
        assert_eq!((total, ids.as_slice()), (case.total, case.best), "{}", case.name);
    }
    Ok(())
}
