//! Processes one query in the front: validation, admission control, planning, scatter and merge.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hawthorn_plan::admit;
use hawthorn_plan::admit::AdmissionRequest;
use hawthorn_plan::admit::FrontStage;
use hawthorn_plan::admit::WaitReport;
use hawthorn_plan::track;
use hawthorn_plan::track::Action;
use hawthorn_plan::track::BatchId;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Event;
use hawthorn_plan::track::FinishedQuery;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::PieceId;
use hawthorn_plan::track::Step;
use hawthorn_plan::track::TrackContext;
use hawthorn_plan::track::TrackedQuery;
use hawthorn_plan::window::QueryFeedback;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerKey;
use hawthorn_types::CallerOutcome;
use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RequestId;
use hawthorn_types::RetryReason;
use hawthorn_types::SearchQuery;
use hawthorn_types::ServiceKey;
use strum::IntoEnumIterator;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::connection::message::BatchAnswer;
use crate::connection::message::BatchHop;
use crate::connection::message::BatchPiece;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;
use crate::connection::peer;
use crate::process::refresh;
use crate::request::front::FrontContext;
use crate::request::front::new_request;
use crate::version::config::ConfigInForce;

/// Label of this kind of request in the metrics.
const KIND: &str = "query";

/// A validated query.
struct CheckedQuery {
    query: SearchQuery,
    caller: CallerKey,
    service: ServiceKey,
    range: KeyRange,
    deadline: Duration,
    config: Arc<ConfigInForce>,
}

/// Answers a caller's query.
pub async fn answer(front: &FrontContext, query: SearchQuery) -> CallerAnswer {
    let started = front.now();
    let checked = match check(front, query, started) {
        Ok(checked) => checked,
        Err((request_id, reason)) => return front.refuse(request_id, reason, None),
    };
    fetch_missing_views(front, checked.service, &checked.config).await;
    let mut admitted = match admit(front, &checked, started) {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => {
            return front.refuse(checked.query.request_id, reason, retry_after);
        }
    };
    let request = new_request();
    let (finished, queue_wait) = search(front, &checked, request).await;
    let elapsed = front.now().saturating_sub(started);
    admitted.feedback =
        Some(QueryFeedback { queue_wait, rejected: is_rejected(&finished), elapsed });
    count(front, &finished, elapsed);
    let mut answer = front.empty_answer(request, checked.query.request_id, CallerOutcome::Answer);
    answer.index_version = finished.version;
    answer.coverage = Some(finished.coverage);
    answer.total = finished.total;
    answer.matches = finished.matches;
    answer.elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    answer
}

fn check(
    front: &FrontContext,
    query: SearchQuery,
    started: Duration,
) -> Result<CheckedQuery, (Option<String>, RefusalReason)> {
    let id = query.request_id.clone();
    let refuse = |reason| (id.clone(), reason);
    let refuse_by_config = |reason| refuse(front.refusal_by_config(reason));
    if query.request_id.as_deref().is_some_and(|id| !front.is_valid_request_id(id)) {
        // An invalid id is not echoed.
        return Err((None, RefusalReason::BadRequestId));
    }
    let config = front.config().ok_or_else(|| refuse(RefusalReason::NoConfiguration))?;
    let catalog = &config.catalog;
    let caller = catalog
        .caller_named(&query.caller)
        .ok_or_else(|| refuse_by_config(RefusalReason::UnknownCaller))?;
    let service = catalog
        .service_named(&query.service)
        .ok_or_else(|| refuse_by_config(RefusalReason::UnknownService))?;
    if query.deadline_ms == 0 {
        return Err(refuse(RefusalReason::DeadlinePast));
    }
    let range = query.range.unwrap_or(KeyRange::FULL);
    let range_is_valid = !range.is_empty() && range.end <= KeyRange::FULL.end;
    if !range_is_valid || query.limit > front.options.max_limit {
        return Err(refuse(RefusalReason::BadRequest));
    }
    let wait = Duration::from_millis(query.deadline_ms).min(front.options.max_deadline);
    Ok(CheckedQuery { caller, service, range, deadline: started + wait, config, query })
}

/// Fetches the views of the owners of the service's shards that have none yet.
pub(crate) async fn fetch_missing_views(
    front: &FrontContext,
    service: ServiceKey,
    config: &ConfigInForce,
) {
    let fleet = front.fleet_view();
    let owners_without_view =
        front.tables.owners_without_view(service, config, &fleet, &front.views);
    if !owners_without_view.is_empty() {
        refresh::fetch_views(front, &owners_without_view).await;
    }
}

/// Releases an admitted query's capacity when dropped, however the query ends.
struct AdmittedQuery<'a> {
    front: &'a FrontContext,
    caller: CallerKey,
    started: Duration,
    /// `None` if the caller disconnected, which is no indication of load.
    feedback: Option<QueryFeedback>,
}

impl Drop for AdmittedQuery<'_> {
    fn drop(&mut self) {
        let elapsed = self.front.now().saturating_sub(self.started);
        let mut load = self.front.load.lock().expect("no holder of the lock panics");
        if let Some(feedback) = &self.feedback {
            let window = &self.front.options.admit.window;
            load.record_feedback(self.caller, self.front.now(), feedback, window);
        }
        load.record_completion(self.caller, elapsed);
    }
}

fn admit<'a>(
    front: &'a FrontContext,
    checked: &CheckedQuery,
    started: Duration,
) -> Result<AdmittedQuery<'a>, (RefusalReason, Option<Duration>)> {
    let ready = front.fleet.status.borrow().ready;
    let request = AdmissionRequest {
        caller: checked.caller,
        now: started,
        deadline: checked.deadline,
        expected_wait: expected_wait(front, checked),
        stage: if ready { FrontStage::Serving } else { FrontStage::Unconfigured },
        random: rand::random(),
    };
    let mut load = front.load.lock().expect("no holder of the lock panics");
    match admit::admit(&mut load, &request, &front.options.admit) {
        admit::Outcome::Admitted => {
            Ok(AdmittedQuery { front, caller: checked.caller, started, feedback: None })
        }
        admit::Outcome::Refused { reason, retry_after } => Err((reason, retry_after)),
    }
}

/// Longest expected wait among the requested shards, each in its best zone.
fn expected_wait(front: &FrontContext, checked: &CheckedQuery) -> Duration {
    let fleet = front.fleet_view();
    let table = front.tables.table(checked.service, &checked.config, &fleet, &front.views);
    let now = front.now();
    let shards = table.candidates(checked.range).iter();
    let reports = shards.filter_map(|shard| {
        let usable = shard.options.iter().filter(|option| !option.versions.is_empty());
        let best = usable.min_by_key(|option| option.expected_wait)?;
        let host = fleet.hosts.get(&best.owner)?;
        let age = front.views.get(host.id)?.at.elapsed();
        Some(WaitReport { wait: best.expected_wait, reported_at: now.saturating_sub(age) })
    });
    admit::expected_wait(reports, now, &front.options.admit)
}

/// Completion of a batch.
struct BatchCompletion {
    batch: BatchId,
    host: HostKey,
    pieces: Option<Vec<PieceAnswer>>,
    queue_wait: Duration,
}

async fn search(
    front: &FrontContext,
    checked: &CheckedQuery,
    request: RequestId,
) -> (FinishedQuery, Duration) {
    let tracked = TrackedQuery {
        range: checked.range,
        limit: checked.query.limit as usize,
        deadline: checked.deadline,
        random: rand::random(),
    };
    let mut batches = FuturesUnordered::new();
    let mut guards: Vec<(BatchId, DropGuard)> = Vec::new();
    let mut wake = checked.deadline;
    let mut queue_wait = Duration::ZERO;
    let mut step =
        with_context(front, checked, |context| track::start(tracked, context, front.options.track));
    loop {
        let (track, actions) = match step {
            // Dropping the guards cancels all batches still open.
            Step::Finished(finished, _) => return (*finished, queue_wait),
            Step::Waiting(track, actions) => (track, actions),
        };
        for action in actions {
            match action {
                Action::Send(send) => {
                    let stop = CancellationToken::new();
                    guards.push((send.batch, stop.clone().drop_guard()));
                    batches.push(send_batch(front, checked, request, send, stop));
                }
                Action::Cancel { batch, .. } => guards.retain(|(known, _)| *known != batch),
                Action::Wake(at) => wake = at,
            }
        }
        let event = next_event(front, &mut batches, wake, &mut queue_wait).await;
        step = with_context(front, checked, |context| track.step(event, context));
    }
}

async fn next_event<F>(
    front: &FrontContext,
    batches: &mut FuturesUnordered<F>,
    wake: Duration,
    queue_wait: &mut Duration,
) -> Event
where
    F: Future<Output = Option<BatchCompletion>>,
{
    let timer = tokio::time::sleep_until(front.started + wake);
    tokio::pin!(timer);
    loop {
        tokio::select! {
            Some(end) = batches.next() => match end {
                Some(BatchCompletion { batch, host, pieces: Some(pieces), queue_wait: waited }) => {
                    *queue_wait = (*queue_wait).max(waited);
                    return Event::BatchAnswered { batch, host, pieces };
                }
                Some(BatchCompletion { host, .. }) => return Event::OwnerLost(host),
                // A cancelled batch is ignored.
                None => {}
            },
            () = &mut timer => return Event::Timer,
        }
    }
}

/// Runs a step of the track with the current table and budget.
fn with_context<T>(
    front: &FrontContext,
    checked: &CheckedQuery,
    run: impl FnOnce(&mut TrackContext<'_>) -> T,
) -> T {
    let fleet = front.fleet_view();
    let table = front.tables.table(checked.service, &checked.config, &fleet, &front.views);
    let local_zone = checked.config.catalog.zone_named(&front.zone).unwrap_or_default();
    let mut budget = front.budget.lock().expect("no holder of the lock panics");
    run(&mut TrackContext { now: front.now(), table: &table, local_zone, budget: &mut budget })
}

async fn send_batch(
    front: &FrontContext,
    checked: &CheckedQuery,
    request: RequestId,
    send: BatchSend,
    stop: CancellationToken,
) -> Option<BatchCompletion> {
    let batch = batch_of(front, checked, request, &send);
    let answer = tokio::select! {
        () = stop.cancelled() => return None,
        answer = send_to_owner(front, send.host, batch) => answer,
    };
    let queue_wait = answer.as_ref().map_or(0, |answer| answer.queued_us);
    let pieces = answer.map(|answer| answer.parts.into_iter().map(piece_answer).collect());
    let queue_wait = Duration::from_micros(queue_wait);
    Some(BatchCompletion { batch: send.batch, host: send.host, pieces, queue_wait })
}

fn batch_of(
    front: &FrontContext,
    checked: &CheckedQuery,
    request: RequestId,
    send: &BatchSend,
) -> SearchBatch {
    let catalog = &checked.config.catalog;
    let remaining = checked.deadline.saturating_sub(front.now());
    let remaining = remaining.saturating_sub(front.options.track.answer_reserve);
    let fleet = front.fleet_view();
    let view = fleet.hosts.get(&send.host).map_or(0, |host| front.views.generation_of(host.id));
    let pieces = send.pieces.iter().map(|piece| BatchPiece {
        number: piece.piece.0,
        shard: catalog.shard(piece.shard).name.clone(),
        version: send.version,
        range: piece.range,
    });
    SearchBatch {
        request,
        caller: checked.query.caller.clone(),
        urgency: checked.query.urgency,
        text: checked.query.text.clone(),
        limit: checked.query.limit,
        left_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
        hop: BatchHop::Front,
        view,
        pieces: pieces.collect(),
    }
}

/// Sends a batch to its owner, local or remote. Returns `None` if the owner cannot be reached or
/// its answer does not belong to the request.
pub(crate) async fn send_to_owner(
    front: &FrontContext,
    host: HostKey,
    batch: SearchBatch,
) -> Option<BatchAnswer> {
    let fleet = front.fleet_view();
    let record = fleet.hosts.get(&host)?;
    let request = batch.request;
    let mut answer = if host == fleet.me {
        front.owner.search(batch).await
    } else {
        let client = front.links.client(record.peer).await.ok()?;
        let context = peer::call_context(Duration::from_micros(batch.left_us));
        client
            .search(context, batch)
            .await
            .map_err(|error| front.links.classify_error(record.peer, error))
            .ok()?
    };
    match answer.view.take() {
        Some(view) => front.views.update(record.id, view),
        None => front.views.touch(record.id),
    }
    if answer.request != request {
        front.metrics.count_dropped(1);
        return None;
    }
    Some(answer)
}

/// Whether a part of the query was rejected because of load, or expired in a queue.
fn is_rejected(finished: &FinishedQuery) -> bool {
    finished.coverage.missing.iter().any(|missing| {
        matches!(
            missing.reason,
            MissingReason::Shedding
                | MissingReason::QueuedPastDeadline
                | MissingReason::DeadlinePast
        )
    })
}

fn piece_answer((number, outcome): (u32, PieceOutcome)) -> PieceAnswer {
    let outcome = match outcome {
        PieceOutcome::Answered { version, searched, total, matches } => {
            track::PieceOutcome::Answered { version, searched, total, matches }
        }
        PieceOutcome::Missing(reason) => track::PieceOutcome::Missing(reason),
        PieceOutcome::Retired(versions) => track::PieceOutcome::VersionRetired { versions },
        PieceOutcome::NotOwner => track::PieceOutcome::Missing(MissingReason::OwnerUnreachable),
    };
    PieceAnswer { piece: PieceId(number), outcome }
}

fn count(front: &FrontContext, finished: &FinishedQuery, elapsed: Duration) {
    front.metrics.count_answer(KIND, elapsed);
    front.metrics.count_dropped(u64::from(finished.counts.late + finished.counts.crossed));
    for reason in RetryReason::iter() {
        let retried = finished.counts.retried(reason);
        if retried > 0 {
            front.metrics.count_retries(reason, u64::from(retried));
        }
    }
    for missing in &finished.coverage.missing {
        front.metrics.count_missing(missing.reason, 1);
    }
}
