//! HTTP interface of a target: the contract, and `/standin/...`, with which a load
//! generator in another process reads counters and changes service times.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_types::RangeSet;
use hawthorn_types::target::CancelAttempt;
use hawthorn_types::target::RunAnswer;
use hawthorn_types::target::ShardAnswer;
use hawthorn_types::target::ShardSearch;
use hawthorn_types::target::TargetIntent;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetRun;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::AttemptContext;
use super::attempt::RunningAttempt;
use super::attempt::enqueue;
use super::control::Shared;
use super::control::TargetControl;
use super::faults::take_one;
use super::state::State;
use crate::history::WorkKind;
use crate::history::WorkPhase;
use crate::wire;
use crate::wire::Handler;
use crate::wire::Reply;
use crate::wire::Unanswered;

pub(super) struct TargetHandler {
    control: TargetControl,
}

impl TargetHandler {
    pub(super) fn new(control: TargetControl) -> Self {
        Self { control }
    }
}

impl Handler for TargetHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Unanswered> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        match (method, path.as_str()) {
            (Method::GET, "/state") => {
                Ok(wire::json(StatusCode::OK, &self.control.reported_state()))
            }
            (Method::POST, "/search") => match wire::read::<ShardSearch>(body).await {
                Ok(search) => self.run_detached(search_attempt(self.shared(), search)).await,
                Err(_) => Ok(wire::empty(StatusCode::BAD_REQUEST)),
            },
            (Method::POST, "/run") => match wire::read::<TargetRun>(body).await {
                Ok(run) => self.run_detached(run_attempt(self.shared(), run)).await,
                Err(_) => Ok(wire::empty(StatusCode::BAD_REQUEST)),
            },
            (Method::POST, "/cancel") => match wire::read::<CancelAttempt>(body).await {
                Ok(cancel) => Ok(self.cancel(cancel)),
                Err(_) => Ok(wire::empty(StatusCode::BAD_REQUEST)),
            },
            (Method::POST, "/intent") => match wire::read::<TargetIntent>(body).await {
                Ok(intent) => Ok(self.apply_intent(&intent)),
                Err(_) => Ok(wire::empty(StatusCode::BAD_REQUEST)),
            },
            (Method::GET, "/standin/counters") => {
                Ok(wire::json(StatusCode::OK, &self.control.counters()))
            }
            (Method::POST, "/standin/slowness") => match wire::read(body).await {
                Ok(slowness) => {
                    self.control.set_slowness(slowness);
                    Ok(wire::empty(StatusCode::OK))
                }
                Err(_) => Ok(wire::empty(StatusCode::BAD_REQUEST)),
            },
            _ => Ok(wire::empty(StatusCode::NOT_FOUND)),
        }
    }
}

impl TargetHandler {
    fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.control.shared)
    }

    /// Runs an attempt in a separate task. Otherwise a client that closes its
    /// connection would end the attempt, and no test could cover work that continues
    /// after its caller has disconnected.
    async fn run_detached(
        &self,
        attempt: impl Future<Output = Result<Reply, Unanswered>> + Send + 'static,
    ) -> Result<Reply, Unanswered> {
        tokio::spawn(attempt).await.unwrap_or(Err(Unanswered::Lost))
    }

    fn cancel(&self, cancel: CancelAttempt) -> Reply {
        let state = self.control.shared.lock();
        if state.faults.ignore_cancel {
            return wire::empty(StatusCode::OK);
        }
        match state.attempts.get(&(cancel.request, cancel.attempt)) {
            Some(token) => {
                token.cancel();
                wire::empty(StatusCode::OK)
            }
            None => wire::empty(StatusCode::NOT_FOUND),
        }
    }

    fn apply_intent(&self, intent: &TargetIntent) -> Reply {
        if !self.control.faults().ignore_intent {
            self.control.apply_intent(intent);
        }
        wire::empty(StatusCode::OK)
    }
}

async fn search_attempt(shared: Arc<Shared>, search: ShardSearch) -> Result<Reply, Unanswered> {
    let deadline = Instant::now() + Duration::from_millis(search.deadline_ms);
    let service = search.shard.service().to_owned();
    let kind = WorkKind::Search { service: service.clone(), version: search.version };
    let context = AttemptContext {
        shared: Arc::clone(&shared),
        request: search.request.clone(),
        attempt: search.attempt,
        kind,
    };
    context.record_arrival();
    let admitted =
        |state: &State| state.admit_search(&service, search.version, search.range, Instant::now());
    let waiting = match enqueue(context, admitted) {
        Ok(waiting) => waiting,
        Err((context, refusal)) => {
            let versions = shared.lock().versions(&service);
            return Ok(context.refuse(refusal, versions));
        }
    };
    let running = match waiting.run(deadline).await {
        Ok(running) => running,
        Err(reply) => return Ok(reply),
    };
    shared.lock().counters.searches += 1;
    tokio::select! {
        biased;
        () = running.cancel.cancelled() => {
            return Ok(running.context.refuse(TargetRefusal::Cancelled, Vec::new()));
        }
        () = tokio::time::sleep_until(deadline) => {
            return Ok(running.context.refuse(TargetRefusal::Cancelled, Vec::new()));
        }
        () = shared.sleep_service_time(running.service_time) => {}
    }
    finish_search(&running, &search, &service)
}

fn finish_search(
    running: &RunningAttempt,
    search: &ShardSearch,
    service: &str,
) -> Result<Reply, Unanswered> {
    let shared = &running.context.shared;
    // Looked up at the end, so that a repartition during the search takes effect.
    let held = shared.lock().holds(service, search.version).cloned();
    let Some(held) = held else {
        let versions = shared.lock().versions(service);
        return Ok(running.context.refuse(TargetRefusal::VersionRetired, versions));
    };
    let searched = held.clip(search.range);
    if searched.is_empty() {
        let versions = shared.lock().versions(service);
        return Ok(running.context.refuse(TargetRefusal::RangeMoved, versions));
    }
    let answer = shard_answer(shared, search, service, searched);
    running.context.record(WorkPhase::Finished);
    apply_answer_faults(shared, answer)
}

fn shard_answer(
    shared: &Shared,
    search: &ShardSearch,
    service: &str,
    searched: RangeSet,
) -> ShardAnswer {
    let found = shared
        .corpus(service)
        .map(|corpus| corpus.search(search.version, &searched, &search.text, search.limit as usize))
        .unwrap_or_default();
    ShardAnswer {
        request: search.request.clone(),
        attempt: search.attempt,
        shard: search.shard.clone(),
        version: search.version,
        searched,
        total: found.total,
        matches: found.matches,
    }
}

/// Sends `answer` with the active faults applied.
fn apply_answer_faults(shared: &Shared, answer: ShardAnswer) -> Result<Reply, Unanswered> {
    let mut state = shared.lock();
    let previous = state.last_answer.replace(answer.clone());
    if take_one(&mut state.faults.lost_answers) {
        return Err(Unanswered::Lost);
    }
    if take_one(&mut state.faults.mismatched_answers) {
        let mismatched = previous.unwrap_or_else(|| with_wrong_request(answer));
        return Ok(wire::json(StatusCode::OK, &mismatched));
    }
    if take_one(&mut state.faults.malformed_answers) {
        let malformed = Bytes::from_static(b"{\"request\":");
        return Ok(Response::new(Full::new(malformed)));
    }
    if take_one(&mut state.faults.oversized_answers) {
        let padding = state.faults.oversized_bytes;
        return Ok(Response::new(Full::new(padded(answer, padding))));
    }
    Ok(wire::json(StatusCode::OK, &answer))
}

fn with_wrong_request(mut answer: ShardAnswer) -> ShardAnswer {
    answer.request = answer.request.chars().rev().collect();
    answer.attempt += 1;
    answer
}

/// The encoded answer with a match whose text has `padding` bytes.
///
/// The padding is inserted into the encoded answer: encoding two mebibytes takes 0.1 to 0.2 s in an
/// unoptimized build, and blocks all targets of the process meanwhile.
fn padded(mut answer: ShardAnswer, padding: usize) -> Bytes {
    const PLACEHOLDER: &str = "-padding-";
    answer.matches.push(hawthorn_types::target::DocumentMatch {
        key: answer.searched.ranges().first().map_or(0, |range| range.start),
        id: "padding".to_owned(),
        score: 0.0,
        text: PLACEHOLDER.to_owned(),
    });
    let json = serde_json::to_string(&answer).expect("an answer has no key that is not a string");
    let (before, after) = json.split_once(PLACEHOLDER).expect("the last match has this text");
    Bytes::from([before.as_bytes(), &vec![b'x'; padding], after.as_bytes()].concat())
}

async fn run_attempt(shared: Arc<Shared>, run: TargetRun) -> Result<Reply, Unanswered> {
    let deadline = Instant::now() + Duration::from_millis(run.deadline_ms);
    let kind =
        WorkKind::Run { caller: run.caller.clone(), caller_request: run.caller_request.clone() };
    let context = AttemptContext {
        shared: Arc::clone(&shared),
        request: run.request.clone(),
        attempt: run.attempt,
        kind,
    };
    context.record_arrival();
    let waiting = match enqueue(context, |state| state.admit(Instant::now())) {
        Ok(waiting) => waiting,
        Err((context, refusal)) => return Ok(context.refuse(refusal, Vec::new())),
    };
    let running = match waiting.run(deadline).await {
        Ok(running) => running,
        Err(reply) => return Ok(reply),
    };
    shared.lock().counters.runs += 1;
    // A started run is never cancelled: the answer "not run" would be false.
    shared.sleep_service_time(running.service_time).await;
    running.context.record(WorkPhase::Finished);
    finish_run(&shared, run)
}

fn finish_run(shared: &Shared, run: TargetRun) -> Result<Reply, Unanswered> {
    let mut state = shared.lock();
    if take_one(&mut state.faults.lost_answers) {
        return Err(Unanswered::Lost);
    }
    let (status, result) = match take_one(&mut state.faults.failed_runs) {
        true => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
        false => (StatusCode::OK, format!("done: {}", run.body)),
    };
    Ok(wire::json(status, &RunAnswer { request: run.request, attempt: run.attempt, result }))
}
