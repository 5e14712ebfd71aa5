//! One attempt at one target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_platform::target;
use hawthorn_platform::target::ExecutionStatus;
use hawthorn_pool::Error;
use hawthorn_pool::PoolAnswer;
use hawthorn_pool::PoolConnection;
use hawthorn_pool::RemainingBody;
use hawthorn_pool::TargetPool;
use hawthorn_pool::UnverifiedAnswer;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::target::ReportedLoad;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use log::Level;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::KeyRefusal;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::traffic::TrafficPurpose;
use crate::process::traffic::header_bytes;
use crate::request::context::RequestContext;
use crate::request::dispatch;
use crate::request::request_log::AttemptRecord;
use crate::request::stopping::WaitingAttempt;

/// Time for which an attempt may continue after its caller has been answered: two pauses of a
/// target. Closing its connection at once would cost a new connection for every hedge; a target
/// that does not answer within this time is considered lost.
const ABANDON_DELAY: Duration = Duration::from_millis(300);
/// Maximum size of one shard's part. Parts are held in memory until they are merged, and a
/// query of a hundred shards may hold a hundred of them. It fits 16,000 records of typical
/// size.
const MAX_PART_BYTES: usize = 256 * 1024;

/// A target's answer to one attempt.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The body, or the beginning of a long one.
    pub(crate) body: Bytes,
    /// The remaining body of a long answer; its target is busy until it ends.
    pub(crate) remaining: Option<RemainingBody>,
    pub(crate) receipt: Option<HeaderValue>,
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptReply {
    pub(crate) end: AttemptEnd,
    pub(crate) answer: Option<TargetAnswer>,
    /// Whether the connection closed while the request was in progress.
    pub(crate) crashed: bool,
    /// Why the request was not sent, if its key was refused.
    pub(crate) key_refusal: Option<KeyRefusal>,
}

impl AttemptReply {
    fn without_answer(end: AttemptEnd) -> Self {
        Self { end, answer: None, crashed: false, key_refusal: None }
    }
}

/// Why an attempt has no answer.
#[derive(Debug)]
enum AttemptError {
    /// The request's time ran out before it was sent.
    Expired,
    /// The caller's key was revoked, or may have been, before the request was sent.
    KeyRefused(KeyRefusal),
    /// The answer belongs to another request.
    Mismatched,
    /// The exchange with the target failed.
    Exchange(Error),
}

impl From<Error> for AttemptError {
    fn from(error: Error) -> Self {
        Self::Exchange(error)
    }
}

/// The target of an attempt, for logs and counters.
#[derive(Debug)]
struct TargetNames {
    target: Rc<str>,
    service: Rc<str>,
    zone: Rc<str>,
}

/// An attempt whose start is recorded.
#[derive(Debug)]
struct BegunAttempt {
    sent: Duration,
    had_free_slot: bool,
    /// `None` if the target is gone.
    names: Option<TargetNames>,
}

/// An attempt to be made.
pub(crate) struct AttemptPlan {
    pub(crate) host: Rc<RouteHost>,
    pub(crate) context: Rc<RequestContext>,
    pub(crate) key: TargetKey,
    pub(crate) pool: Arc<TargetPool>,
    /// The median latency of such an attempt.
    pub(crate) service_time: Duration,
    /// When the attempt was taken from the retry budget, if it was.
    pub(crate) budget_spent: Option<Duration>,
}

impl AttemptPlan {
    /// Starts the attempt in its own task, so that an answer that arrives after another's still
    /// updates the target's latency.
    pub(crate) fn start(self) -> oneshot::Receiver<AttemptReply> {
        let (sender, receiver) = oneshot::channel();
        // Nothing is recorded at the target or its zone, which would appear not to answer.
        let refused = self.key_refusal().map(|refusal| self.refuse(refusal, host_now()));
        // The dispatcher decides on the next request of a burst before this task runs, and must
        // know of the attempt by then.
        let begun = (refused.is_none() && dispatch::is_on(&self.host)).then(|| self.begin());
        tokio::task::spawn_local(async move {
            let (host, context) = (Rc::clone(&self.host), Rc::clone(&self.context));
            let reply = match refused {
                Some(reply) => reply,
                None => self.run(begun).await,
            };
            quarantine::record_end(&host, &context, reply.end, reply.crashed);
            host.dispatch.wake();
            // The receiver is dropped if another attempt has won the race.
            let _unread = sender.send(reply);
        });
        receiver
    }

    fn key_refusal(&self) -> Option<KeyRefusal> {
        self.host.key_refusal(self.context.customer.as_ref()?)
    }

    /// Records the start of the attempt.
    fn begin(&self) -> BegunAttempt {
        let sent = host_now();
        let had_free_slot = self.with_state(|state| state.has_free_slot(sent)).unwrap_or_default();
        BegunAttempt { sent, had_free_slot, names: self.record_start(sent) }
    }

    async fn run(self, begun: Option<BegunAttempt>) -> AttemptReply {
        let BegunAttempt { sent, had_free_slot, names } = begun.unwrap_or_else(|| self.begin());
        let left = self.context.time_left(sent);
        let Some(names) = names else {
            return AttemptReply::without_answer(AttemptEnd::NotSent);
        };
        let mark = self.host.routing.zone_sent(&names.zone, sent, self.service_time);
        let end = Instant::now() + left + ABANDON_DELAY;
        let exchange = async {
            match self.connection(end).await? {
                Ok(connection) => Some(self.exchange(&names, connection, end).await),
                Err(error) => Some(Err(error.into())),
            }
        };
        let abandon_timeout = async {
            self.context.answered.cancelled().await;
            sleep(ABANDON_DELAY).await;
        };
        let result = tokio::select! {
            biased;
            result = exchange => result,
            () = self.context.abandoned.cancelled() => None,
            () = abandon_timeout => Some(Err(Error::TimedOut.into())),
        };
        let now = host_now();
        let Some(result) = result else {
            self.with_state(|state| state.record_abandoned(sent, now, self.service_time));
            return AttemptReply::without_answer(AttemptEnd::Silent);
        };
        let TargetNames { target, service, zone } = names;
        if matches!(result, Ok(_) | Err(AttemptError::Mismatched)) {
            self.host.routing.zone_answered(&zone);
        }
        if let Err(AttemptError::KeyRefused(_)) = &result {
            self.host.routing.zone_withdrawn(&zone, mark);
            self.refund();
        }
        if let Err(AttemptError::Exchange(error @ Error::Broken(_))) = &result {
            // Logged here because attempts made for a peer's query have no other log line.
            edge_event!(
                Level::Info,
                EdgeEvent::AttemptBroken,
                "request={} service={service} target={target} took_ms={:.1} fingerprint={} \
                 error=\"{error}\"",
                self.context.attempt_id.as_deref().unwrap_or("-"),
                now.saturating_sub(sent).as_secs_f64() * 1000.0,
                self.context.identity.fingerprint
            );
        }
        let not_sent = match &result {
            Err(AttemptError::Exchange(Error::NotSent(text))) => Some(text.clone()),
            Err(AttemptError::KeyRefused(refusal)) => Some(format!("key {refusal}")),
            _ => None,
        };
        let reply = self.classify(result, now);
        if reply.end == AttemptEnd::Silent {
            self.pool.clear();
        }
        let (load, slowdown) = self
            .with_state(|state| {
                state.record_end(sent, now, reply.end, self.service_time);
                if reply.crashed {
                    state.record_crash(now);
                }
                (state.load(now), state.slowdown())
            })
            .unwrap_or_default();
        if reply.end == AttemptEnd::Answered {
            let micros = now.saturating_sub(sent).as_micros() as u64;
            self.host.routing.times(&self.context.route, |times| times.record(micros));
            if had_free_slot {
                self.host.routing.record_execution(&self.context.route, micros);
            }
        }
        self.host.metrics.count_attempt(reply.end, 1);
        let after = sent.saturating_sub(self.context.started);
        let elapsed = now.saturating_sub(sent);
        let end = reply.end;
        let record =
            AttemptRecord { service, target, zone, after, elapsed, end, not_sent, load, slowdown };
        self.context.request_log.borrow_mut().add_attempt(record);
        reply
    }

    /// Ends an attempt at its start, because the key is refused.
    fn refuse(&self, refusal: KeyRefusal, now: Duration) -> AttemptReply {
        self.refund();
        let end = AttemptEnd::KeyRefused;
        self.host.metrics.count_attempt(end, 1);
        let record = self.with_state(|state| AttemptRecord {
            service: Rc::clone(&state.entry.service),
            target: Rc::clone(&state.entry.id),
            zone: Rc::clone(&state.entry.zone),
            after: now.saturating_sub(self.context.started),
            elapsed: Duration::ZERO,
            end,
            not_sent: Some(format!("key {refusal}")),
            load: state.load(now),
            slowdown: state.slowdown(),
        });
        if let Some(record) = record {
            self.context.request_log.borrow_mut().add_attempt(record);
        }
        AttemptReply { key_refusal: Some(refusal), ..AttemptReply::without_answer(end) }
    }

    /// Returns the attempt to the retry budget, as it was not sent.
    fn refund(&self) {
        let service = self.with_state(|state| Rc::clone(&state.entry.service));
        if let (Some(spent), Some(service)) = (self.budget_spent, service) {
            self.host.routing.refund(&service, spent, host_now());
        }
    }

    /// Sends the request and receives the answer: completely if it is a shard's part, otherwise
    /// up to the buffer limit of the pool.
    async fn exchange(
        &self,
        names: &TargetNames,
        connection: PoolConnection,
        end: Instant,
    ) -> Result<PoolAnswer, AttemptError> {
        // The remaining time is computed when the request is sent. The request may have waited
        // for one of the few connections that a slow target accepts, and would otherwise be sent
        // with a deadline that has passed for its caller.
        let now = host_now();
        let left = self.context.time_left(now);
        if left.is_zero() {
            return Err(AttemptError::Expired);
        }
        // The key may have been revoked since the request was admitted. Checked first, as admission
        // at a cold target counts the request.
        if let Some(refusal) = self.key_refusal() {
            return Err(AttemptError::KeyRefused(refusal));
        }
        if let Err(rejection) = self.host.routing.registry.borrow_mut().admit(self.key, now) {
            return Err(Error::NotSent(format!("sending not permitted: {rejection}")).into());
        }
        let request = self.context.outgoing(&names.target, left);
        let bytes = header_bytes(request.headers()) + self.context.body.len();
        self.host.traffic.count(TrafficPurpose::Targets, &names.zone, bytes);
        let answer = async {
            let answer = connection.send(request).await?;
            if !self.is_own(answer.headers()) {
                self.log_mismatch(names, &answer);
                return Err(AttemptError::Mismatched);
            }
            let answer = match self.context.route.destination {
                RouteDestination::Gather(_) => answer.collect(MAX_PART_BYTES).await?,
                RouteDestination::Single(_) | RouteDestination::Weighted(_) => answer,
            };
            if answer.status().is_success() {
                let elapsed = host_now().saturating_sub(now);
                self.host.routing.record_exchange(&self.context.route, elapsed);
            }
            Ok(answer.accept())
        };
        let answer = timeout_at(end, answer).await.unwrap_or(Err(Error::TimedOut.into()))?;
        let bytes = header_bytes(&answer.headers) + answer.body.len();
        self.host.traffic.count(TrafficPurpose::Targets, &names.zone, bytes);
        Ok(answer)
    }

    /// A connection to the target; `None` if the caller is answered first.
    ///
    /// Handles slow targets: requests wait for a connection while their queries are answered
    /// without them. If sent after that, they would be useless work that lengthens the target's
    /// queue.
    async fn connection(&self, end: Instant) -> Option<Result<PoolConnection, Error>> {
        let no_connection = |_| Err(Error::NotSent("no free connection in time".into()));
        let _waiting = WaitingAttempt::new(&self.context);
        tokio::select! {
            biased;
            () = self.context.answered.cancelled() => None,
            connection = timeout_at(end, self.pool.acquire()) => {
                Some(connection.unwrap_or_else(no_connection))
            }
        }
    }

    fn record_start(&self, sent: Duration) -> Option<TargetNames> {
        self.with_state(|state| {
            state.record_sent(sent);
            let entry = &state.entry;
            TargetNames {
                target: Rc::clone(&entry.id),
                service: Rc::clone(&entry.service),
                zone: Rc::clone(&entry.zone),
            }
        })
    }

    fn with_state<T>(
        &self,
        with: impl FnOnce(&mut hawthorn_route::target::TargetState) -> T,
    ) -> Option<T> {
        self.host.routing.registry.borrow_mut().get_mut(self.key).map(with)
    }

    /// Whether an answer belongs to this request; targets echo the attempt id.
    ///
    /// An answer to an earlier request, duplicated or late, may arrive in place of this one. Until
    /// it is told apart, nothing in it holds for this request: neither its body, which is another
    /// caller's, nor the statement that the request did not run, nor the target's load.
    fn is_own(&self, headers: &HeaderMap) -> bool {
        target::attempt_id(headers) == target::attempt_id(&self.context.headers)
    }

    fn log_mismatch(&self, names: &TargetNames, answer: &UnverifiedAnswer) {
        let TargetNames { target, service, .. } = names;
        let echoed = target::attempt_id(answer.headers());
        let echoed = echoed.map(|id| String::from_utf8_lossy(id.as_bytes()));
        let execution = target::read(answer.status(), answer.headers()).execution;
        edge_event!(
            Level::Warn,
            EdgeEvent::AnswerMismatched,
            "request={} service={service} target={target} answered={} status={} not_run={}",
            self.context.attempt_id.as_deref().unwrap_or("-"),
            echoed.as_deref().unwrap_or("-"),
            answer.status().as_u16(),
            execution != ExecutionStatus::Ran
        );
    }

    fn classify(&self, result: Result<PoolAnswer, AttemptError>, now: Duration) -> AttemptReply {
        let none = AttemptReply::without_answer;
        let answer = match result {
            Ok(answer) => answer,
            Err(AttemptError::Expired) => return none(AttemptEnd::Expired),
            Err(AttemptError::KeyRefused(refusal)) => {
                return AttemptReply { key_refusal: Some(refusal), ..none(AttemptEnd::KeyRefused) };
            }
            Err(AttemptError::Mismatched) => return none(AttemptEnd::Mismatched),
            Err(AttemptError::Exchange(Error::NotSent(_))) => return none(AttemptEnd::NotSent),
            Err(AttemptError::Exchange(Error::TimedOut)) => return none(AttemptEnd::Silent),
            Err(AttemptError::Exchange(Error::Broken(_))) => {
                return AttemptReply { crashed: true, ..none(AttemptEnd::Broken) };
            }
            Err(AttemptError::Exchange(Error::TooLarge)) => return none(AttemptEnd::Broken),
        };
        let head = target::read(answer.status, &answer.headers);
        if let Some((running, waiting, slots)) = head.load {
            let load = ReportedLoad { running, waiting, slots, at: now };
            self.with_state(|state| state.report_load(load));
        }
        match head.cold {
            Some(Ok(cold)) if !cold.is_zero() => {
                self.with_state(|state| state.cold_until = state.cold_until.max(now + cold));
            }
            Some(Err(error)) => {
                edge_event!(Level::Warn, EdgeEvent::EntryBroken, "error=\"{error}\"");
            }
            Some(Ok(_)) | None => {}
        }
        match head.execution {
            ExecutionStatus::Misdirected => return none(AttemptEnd::Misdirected),
            ExecutionStatus::NotRun => return none(AttemptEnd::NotRun),
            ExecutionStatus::Ran => {}
        }
        if head.receipt.is_none() {
            return none(AttemptEnd::Broken);
        }
        let end =
            if answer.status.is_success() { AttemptEnd::Answered } else { AttemptEnd::Failed };
        let answer = TargetAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
            remaining: answer.remaining,
            receipt: head.receipt,
        };
        AttemptReply { answer: Some(answer), ..none(end) }
    }
}
