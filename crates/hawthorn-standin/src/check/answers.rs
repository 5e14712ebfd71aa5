//! Checks of answers: a single version, correct coverage, and the matching request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use hawthorn_types::AnswerCoverage;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::SearchQuery;
use hawthorn_types::target::DocumentMatch;

use super::Violation;
use super::ViolationKind;
use super::ViolationSubject;
use crate::corpus::Corpus;
use crate::corpus::edition_word;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;

/// Tolerance for rounding of a stated fraction.
const FRACTION_ROUNDING: f64 = 1e-6;

pub(super) fn check(records: &[HistoryRecord], corpora: &[Arc<Corpus>]) -> Vec<Violation> {
    let mut queries: HashMap<u64, &SearchQuery> = HashMap::new();
    let mut ids: HashMap<u64, Option<&str>> = HashMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            HistoryEvent::QuerySent(sent) => {
                queries.insert(sent.send, &sent.query);
                ids.insert(sent.send, sent.query.request_id.as_deref());
            }
            HistoryEvent::OnceSent(sent) => {
                ids.insert(sent.send, Some(&sent.request.request_id));
            }
            HistoryEvent::Answered { send, answer } => {
                let request_id = ids.get(send).copied().flatten();
                let query = queries.get(send).copied();
                let kinds = violation_kinds(request_id, query, answer, corpora);
                violations.extend(kinds.into_iter().map(|kind| Violation {
                    at: record.at,
                    kind,
                    subject: ViolationSubject::Send { send: *send },
                }));
            }
            _ => {}
        }
    }
    violations
}

fn violation_kinds(
    request_id: Option<&str>,
    query: Option<&SearchQuery>,
    answer: &CallerAnswer,
    corpora: &[Arc<Corpus>],
) -> Vec<ViolationKind> {
    let mut kinds = Vec::new();
    if request_id.is_some() && answer.request_id.as_deref() != request_id {
        kinds.push(ViolationKind::MismatchedAnswer);
        // Further checks would compare the answer with the wrong request.
        return kinds;
    }
    let (Some(query), CallerOutcome::Answer) = (query, answer.outcome) else { return kinds };
    if answer.matches.iter().any(|found| !answers_query(found, query)) {
        kinds.push(ViolationKind::MismatchedAnswer);
    }
    let Some(version) = answer.index_version else {
        if !answer.matches.is_empty() {
            kinds.push(ViolationKind::MixedVersions);
        }
        return kinds;
    };
    let edition = edition_word(version);
    if answer.matches.iter().any(|found| !found.text.ends_with(&edition)) {
        kinds.push(ViolationKind::MixedVersions);
    }
    let corpus = corpora.iter().find(|corpus| corpus.service() == query.service);
    if !is_coverage_correct(query, answer, version, corpus.map(Arc::as_ref)) {
        kinds.push(ViolationKind::OverstatedCoverage);
    }
    kinds
}

fn answers_query(found: &DocumentMatch, query: &SearchQuery) -> bool {
    let in_range = query.range.is_none_or(|range| range.contains(found.key));
    let words: HashSet<&str> = found.text.split_whitespace().collect();
    let query_text = query.text.to_lowercase();
    in_range && query_text.split_whitespace().all(|word| words.contains(word))
}

fn is_coverage_correct(
    query: &SearchQuery,
    answer: &CallerAnswer,
    version: IndexVersion,
    corpus: Option<&Corpus>,
) -> bool {
    let Some(coverage) = &answer.coverage else { return false };
    let covered: RangeSet = coverage.covered.iter().copied().collect();
    ranges_are_consistent(query.range.unwrap_or(KeyRange::FULL), coverage, &covered)
        && corpus.is_none_or(|corpus| matches_agree(query, answer, version, &covered, corpus))
}

/// Whether covered and missing ranges add up to the requested range without overlap, and
/// the fraction agrees with them.
fn ranges_are_consistent(
    requested: KeyRange,
    coverage: &AnswerCoverage,
    covered: &RangeSet,
) -> bool {
    let missing: RangeSet = coverage.missing.iter().map(|missing| missing.range).collect();
    let mut union = covered.clone();
    union.extend(&missing);
    let is_partition =
        union == RangeSet::from(requested) && covered.difference(&missing) == *covered;
    let fraction = match requested.is_empty() {
        true => 1.0,
        false => f64::from(covered.len()) / f64::from(requested.len()),
    };
    let fraction_agrees = (coverage.fraction - fraction).abs() <= FRACTION_ROUNDING;
    let is_complete = coverage.fraction >= 1.0;
    is_partition && fraction_agrees && is_complete == missing.is_empty()
}

/// Whether total and matches agree with a complete search of the covered ranges.
/// Documents of equal score may be in any order.
fn matches_agree(
    query: &SearchQuery,
    answer: &CallerAnswer,
    version: IndexVersion,
    covered: &RangeSet,
    corpus: &Corpus,
) -> bool {
    let expected = corpus.search(version, covered, &query.text, usize::MAX);
    let limit = query.limit as usize;
    let scores = |found: &[DocumentMatch]| -> Vec<u32> {
        found.iter().take(limit).map(|found| found.score.to_bits()).collect()
    };
    let known: HashMap<u32, &DocumentMatch> =
        expected.matches.iter().map(|found| (found.key, found)).collect();
    let keys: HashSet<u32> = answer.matches.iter().map(|found| found.key).collect();
    answer.total == expected.total
        && answer.matches.len() <= limit
        && scores(&answer.matches) == scores(&expected.matches)
        && keys.len() == answer.matches.len()
        && answer.matches.iter().all(|found| known.get(&found.key) == Some(&found))
}
