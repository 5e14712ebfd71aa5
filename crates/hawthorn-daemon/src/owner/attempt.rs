//! One attempt at one target: sent, answered, checked.

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
use hawthorn_pool::PoolAnswer;
use hawthorn_pool::TargetPool;

/// A cancellation is worth waiting for only so long: the attempt it ends is
/// closed soon after in any case.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// What a target said, checked to belong to its attempt.
#[derive(Debug)]
pub(crate) enum AttemptAnswer {
    /// It searched.
    Search(ShardAnswer),
    /// It ran and succeeded.
    Ran(String),
    /// It ran and failed.
    RanAndFailed,
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) attempt: AttemptId,
    pub(crate) result: AttemptResult,
    pub(crate) answer: Option<AttemptAnswer>,
    /// Versions a target named when it refused one.
    pub(crate) versions: Vec<hawthorn_types::IndexVersion>,
}

impl AttemptEnd {
    fn bare(attempt: AttemptId, result: AttemptResult) -> Self {
        Self { attempt, result, answer: None, versions: Vec::new() }
    }
}

/// Sends a search and waits for its end.
pub(crate) async fn search(pool: Arc<TargetPool>, ask: ShardSearch) -> AttemptEnd {
    let attempt = AttemptId(ask.attempt);
    let body = serde_json::to_vec(&ask).expect("a search has no key that is not a string");
    let left = Duration::from_millis(ask.deadline_ms);
    let answer = match pool.exchange(Method::POST, "/search", body, left).await {
        Ok(answer) => answer,
        Err(error) => return AttemptEnd::bare(attempt, failure(&error)),
    };
    if answer.status != StatusCode::OK {
        return refusal(attempt, &ask.request, &answer);
    }
    match serde_json::from_slice::<ShardAnswer>(&answer.body) {
        Ok(parsed) if belongs(&ask, &parsed) => AttemptEnd {
            attempt,
            result: AttemptResult::Answered,
            answer: Some(AttemptAnswer::Search(parsed)),
            versions: Vec::new(),
        },
        _ => AttemptEnd::bare(attempt, AttemptResult::Crossed),
    }
}

/// Whether the answer is the answer to this search.
///
/// Failure: a target or a proxy before it mixes up connections, or switches
/// versions half way. A caller would see another's matches, or two snapshots
/// in one answer. Every field that names the search must come back equal, and
/// nothing outside the range asked may have been searched.
fn belongs(ask: &ShardSearch, answer: &ShardAnswer) -> bool {
    let beyond = answer.searched.difference(&RangeSet::from(ask.range));
    answer.request == ask.request
        && answer.attempt == ask.attempt
        && answer.shard == ask.shard
        && answer.version == ask.version
        && beyond.is_empty()
        && answer.matches.iter().all(|found| answer.searched.contains(found.key))
}

/// Sends a non-idempotent request and waits for its end.
pub(crate) async fn run(pool: Arc<TargetPool>, ask: TargetRun) -> AttemptEnd {
    let attempt = AttemptId(ask.attempt);
    let body = serde_json::to_vec(&ask).expect("a run has no key that is not a string");
    let left = Duration::from_millis(ask.deadline_ms);
    let answer = match pool.exchange(Method::POST, "/run", body, left).await {
        Ok(answer) => answer,
        Err(error) => return AttemptEnd::bare(attempt, failure(&error)),
    };
    let ran = |parsed: RunAnswer| match answer.status {
        StatusCode::OK => AttemptAnswer::Ran(parsed.result),
        _ => AttemptAnswer::RanAndFailed,
    };
    match answer.status {
        StatusCode::OK | StatusCode::INTERNAL_SERVER_ERROR => {
            match serde_json::from_slice::<RunAnswer>(&answer.body) {
                Ok(parsed) if parsed.request == ask.request && parsed.attempt == ask.attempt => {
                    AttemptEnd {
                        attempt,
                        result: AttemptResult::Answered,
                        answer: Some(ran(parsed)),
                        versions: Vec::new(),
                    }
                }
                _ => AttemptEnd::bare(attempt, AttemptResult::Crossed),
            }
        }
        _ => refusal(attempt, &ask.request, &answer),
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

/// A refusal counts as one only when it names this attempt: "not run" must not
/// rest on a message meant for another.
fn refusal(attempt: AttemptId, request: &str, answer: &PoolAnswer) -> AttemptEnd {
    match serde_json::from_slice::<RefusedAttempt>(&answer.body) {
        Ok(refused) if refused.request == request && refused.attempt == attempt.0 => {
            let result = match refused.refusal {
                TargetRefusal::Cancelled => AttemptResult::Cancelled,
                other => AttemptResult::Refused(other),
            };
            AttemptEnd { attempt, result, answer: None, versions: refused.versions }
        }
        _ => AttemptEnd::bare(attempt, AttemptResult::Crossed),
    }
}

/// Tells the target that an attempt's answer is no longer wanted.
pub(crate) async fn cancel(pool: Arc<TargetPool>, request: String, attempt: AttemptId) {
    let cancel = CancelAttempt { request, attempt: attempt.0 };
    let body = serde_json::to_vec(&cancel).expect("a cancellation has only string keys");
    // Whether it arrived shows in how the attempt ends.
    let _answer = pool.exchange(Method::POST, "/cancel", body, CANCEL_TIMEOUT).await;
}
