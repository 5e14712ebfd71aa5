//! Sends one attempt to one target and validates the answer.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_decide::message::AttemptResult;
use hawthorn_types::AttemptId;
use hawthorn_types::RangeSet;
use hawthorn_types::target::CancelAttempt;
use hawthorn_types::target::RefusedAttempt;
use hawthorn_types::target::RunAnswer;
use hawthorn_types::target::ShardAnswer;
use hawthorn_types::target::ShardSearch;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetRun;
use hyper::Method;
use hyper::StatusCode;

use hawthorn_pool as pool;
use hawthorn_pool::TargetPool;
use hawthorn_pool::UnverifiedAnswer;

/// Timeout of a cancellation. The attempt that it cancels is closed soon after in any case.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Answer of a target, validated to belong to its attempt.
#[derive(Debug)]
pub(crate) enum AttemptAnswer {
    /// The target searched.
    Search(ShardAnswer),
    /// The request ran and succeeded.
    Ran(String),
    /// The request ran and failed.
    RanAndFailed,
}

/// Completion of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptCompletion {
    pub(crate) attempt: AttemptId,
    pub(crate) result: AttemptResult,
    pub(crate) answer: Option<AttemptAnswer>,
    /// Versions that the target holds, listed when it rejected the requested one.
    pub(crate) versions: Vec<hawthorn_types::IndexVersion>,
}

impl AttemptCompletion {
    fn without_answer(attempt: AttemptId, result: AttemptResult) -> Self {
        Self { attempt, result, answer: None, versions: Vec::new() }
    }
}

/// Sends a search and waits for its completion.
pub(crate) async fn search(pool: Arc<TargetPool>, search: ShardSearch) -> AttemptCompletion {
    let attempt = AttemptId(search.attempt);
    let body = serde_json::to_vec(&search).expect("a search has no key that is not a string");
    let timeout = Duration::from_millis(search.deadline_ms);
    let answer = match pool.exchange(Method::POST, "/search", body, timeout).await {
        Ok(answer) => answer,
        Err(error) => return AttemptCompletion::without_answer(attempt, failure(&error)),
    };
    if answer.status() != StatusCode::OK {
        return refusal(attempt, &search.request, answer);
    }
    match serde_json::from_slice::<ShardAnswer>(answer.body()) {
        Ok(parsed) if matches_search(&search, &parsed) => {
            answer.accept();
            AttemptCompletion {
                attempt,
                result: AttemptResult::Answered,
                answer: Some(AttemptAnswer::Search(parsed)),
                versions: Vec::new(),
            }
        }
        _ => AttemptCompletion::without_answer(attempt, AttemptResult::Crossed),
    }
}

/// Whether the answer belongs to this search.
///
/// Every field that identifies the search must be echoed unchanged, and nothing outside the
/// requested range may have been searched. If a target, or a proxy in front of it, mixes up
/// connections or switches versions during a search, the caller would otherwise get another
/// caller's matches, or two snapshots in one answer.
fn matches_search(search: &ShardSearch, answer: &ShardAnswer) -> bool {
    let outside = answer.searched.difference(&RangeSet::from(search.range));
    answer.request == search.request
        && answer.attempt == search.attempt
        && answer.shard == search.shard
        && answer.version == search.version
        && outside.is_empty()
        && answer.matches.iter().all(|found| answer.searched.contains(found.key))
}

/// Sends a non-idempotent request and waits for its completion.
pub(crate) async fn run(pool: Arc<TargetPool>, run: TargetRun) -> AttemptCompletion {
    let attempt = AttemptId(run.attempt);
    let body = serde_json::to_vec(&run).expect("a run has no key that is not a string");
    let timeout = Duration::from_millis(run.deadline_ms);
    let answer = match pool.exchange(Method::POST, "/run", body, timeout).await {
        Ok(answer) => answer,
        Err(error) => return AttemptCompletion::without_answer(attempt, failure(&error)),
    };
    let status = answer.status();
    let ran = |parsed: RunAnswer| match status {
        StatusCode::OK => AttemptAnswer::Ran(parsed.result),
        _ => AttemptAnswer::RanAndFailed,
    };
    match status {
        StatusCode::OK | StatusCode::INTERNAL_SERVER_ERROR => {
            match serde_json::from_slice::<RunAnswer>(answer.body()) {
                Ok(parsed) if parsed.request == run.request && parsed.attempt == run.attempt => {
                    answer.accept();
                    AttemptCompletion {
                        attempt,
                        result: AttemptResult::Answered,
                        answer: Some(ran(parsed)),
                        versions: Vec::new(),
                    }
                }
                _ => AttemptCompletion::without_answer(attempt, AttemptResult::Crossed),
            }
        }
        _ => refusal(attempt, &run.request, answer),
    }
}

fn failure(error: &pool::Error) -> AttemptResult {
    match error {
        pool::Error::NotSent(_) => AttemptResult::ConnectionFailed { sent: false },
        pool::Error::Broken(_) => AttemptResult::ConnectionFailed { sent: true },
        pool::Error::TimedOut => AttemptResult::TimedOut,
        pool::Error::TooLarge => AttemptResult::TooLarge,
    }
}

/// A refusal is accepted only if it names this attempt: "not run" must not be concluded from a
/// message that belongs to another attempt.
fn refusal(attempt: AttemptId, request: &str, answer: UnverifiedAnswer) -> AttemptCompletion {
    match serde_json::from_slice::<RefusedAttempt>(answer.body()) {
        Ok(refused) if refused.request == request && refused.attempt == attempt.0 => {
            answer.accept();
            let result = match refused.refusal {
                TargetRefusal::Cancelled => AttemptResult::Cancelled,
                other => AttemptResult::Refused(other),
            };
            AttemptCompletion { attempt, result, answer: None, versions: refused.versions }
        }
        _ => AttemptCompletion::without_answer(attempt, AttemptResult::Crossed),
    }
}

/// Notifies the target that the answer of an attempt is no longer needed.
pub(crate) async fn cancel(pool: Arc<TargetPool>, request: String, attempt: AttemptId) {
    let cancel = CancelAttempt { request, attempt: attempt.0 };
    let body = serde_json::to_vec(&cancel).expect("a cancellation has only string keys");
    // The outcome of the cancellation shows in how the attempt ends.
    let answer = pool.exchange(Method::POST, "/cancel", body, CANCEL_TIMEOUT).await;
    let _status = answer.map(UnverifiedAnswer::accept_empty);
}
