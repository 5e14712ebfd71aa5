//! What callers were told: one version, true coverage, their own answer.

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

use super::BrokenPromise;
use super::BrokenSubject;
use super::Violation;
use crate::corpus::Corpus;
use crate::corpus::edition_word;
use crate::history::HistoryEvent;
use crate::history::HistoryRecord;

/// Rounding allowed in a stated fraction.
const FRACTION_ROUNDING: f64 = 1e-6;

pub(super) fn check(records: &[HistoryRecord], corpora: &[Arc<Corpus>]) -> Vec<Violation> {
    let mut queries: HashMap<u64, &SearchQuery> = HashMap::new();
    let mut ids: HashMap<u64, Option<&str>> = HashMap::new();
    let mut found = Vec::new();
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
                let own_id = ids.get(send).copied().flatten();
                let query = queries.get(send).copied();
                let broken = broken_promises(own_id, query, answer, corpora);
                found.extend(broken.into_iter().map(|promise| Violation {
                    at: record.at,
                    promise,
                    subject: BrokenSubject::Send { send: *send },
                }));
            }
            _ => {}
        }
    }
    found
}

fn broken_promises(
    own_id: Option<&str>,
    query: Option<&SearchQuery>,
    answer: &CallerAnswer,
    corpora: &[Arc<Corpus>],
) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    if own_id.is_some() && answer.request_id.as_deref() != own_id {
        broken.push(BrokenPromise::CrossedAnswer);
        // Everything else would be compared with the wrong question.
        return broken;
    }
    let (Some(query), CallerOutcome::Answer) = (query, answer.outcome) else { return broken };
    if answer.matches.iter().any(|found| !answers_query(found, query)) {
        broken.push(BrokenPromise::CrossedAnswer);
    }
    let Some(version) = answer.index_version else {
        if !answer.matches.is_empty() {
            broken.push(BrokenPromise::MixedVersions);
        }
        return broken;
    };
    let edition = edition_word(version);
    if answer.matches.iter().any(|found| !found.text.ends_with(&edition)) {
        broken.push(BrokenPromise::MixedVersions);
    }
    let corpus = corpora.iter().find(|corpus| corpus.service() == query.service);
    if !coverage_is_true(query, answer, version, corpus.map(Arc::as_ref)) {
        broken.push(BrokenPromise::OverstatedCoverage);
    }
    broken
}

fn answers_query(found: &DocumentMatch, query: &SearchQuery) -> bool {
    let inside = query.range.is_none_or(|range| range.contains(found.key));
    let words: HashSet<&str> = found.text.split_whitespace().collect();
    let wanted = query.text.to_lowercase();
    inside && wanted.split_whitespace().all(|word| words.contains(word))
}

fn coverage_is_true(
    query: &SearchQuery,
    answer: &CallerAnswer,
    version: IndexVersion,
    corpus: Option<&Corpus>,
) -> bool {
    let Some(coverage) = &answer.coverage else { return false };
    let covered: RangeSet = coverage.covered.iter().copied().collect();
    ranges_add_up(query.range.unwrap_or(KeyRange::FULL), coverage, &covered)
        && corpus.is_none_or(|corpus| matches_bear_out(query, answer, version, &covered, corpus))
}

/// Covered and missing ranges make up the range asked, without overlap, and the
/// fraction is theirs.
fn ranges_add_up(asked: KeyRange, coverage: &AnswerCoverage, covered: &RangeSet) -> bool {
    let missing: RangeSet = coverage.missing.iter().map(|missing| missing.range).collect();
    let mut whole = covered.clone();
    whole.extend(&missing);
    let adds_up = whole == RangeSet::from(asked) && covered.difference(&missing) == *covered;
    let fraction = match asked.is_empty() {
        true => 1.0,
        false => f64::from(covered.len()) / f64::from(asked.len()),
    };
    let near = (coverage.fraction - fraction).abs() <= FRACTION_ROUNDING;
    let complete = coverage.fraction >= 1.0;
    adds_up && near && complete == missing.is_empty()
}

/// The total and the matches are what a complete search of the covered ranges
/// finds. Documents of equal score may stand in any order.
fn matches_bear_out(
    query: &SearchQuery,
    answer: &CallerAnswer,
    version: IndexVersion,
    covered: &RangeSet,
    corpus: &Corpus,
) -> bool {
    let truth = corpus.search(version, covered, &query.text, usize::MAX);
    let limit = query.limit as usize;
    let scores = |found: &[DocumentMatch]| -> Vec<u32> {
        found.iter().take(limit).map(|found| found.score.to_bits()).collect()
    };
    let known: HashMap<u32, &DocumentMatch> =
        truth.matches.iter().map(|found| (found.key, found)).collect();
    let keys: HashSet<u32> = answer.matches.iter().map(|found| found.key).collect();
    answer.total == truth.total
        && answer.matches.len() <= limit
        && scores(&answer.matches) == scores(&truth.matches)
        && keys.len() == answer.matches.len()
        && answer.matches.iter().all(|found| known.get(&found.key) == Some(&found))
}
