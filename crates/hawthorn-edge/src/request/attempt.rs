//! One attempt at one target, from its sending to its end.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_platform::target;
use hawthorn_platform::target::RunWord;
use hawthorn_pool::AnswerRest;
use hawthorn_pool::Error;
use hawthorn_pool::PoolAnswer;
use hawthorn_pool::PoolConnection;
use hawthorn_pool::TargetPool;
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
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::traffic::TrafficPurpose;
use crate::process::traffic::header_bytes;
use crate::request::order::RequestOrder;
use crate::request::story::AttemptNote;

/// An attempt that is still out when its caller has its answer may end by
/// itself for so long: two pauses of a target. Closing its connection at once
/// would cost a new one for every hedge; a target silent for longer is lost.
const LINGER: Duration = Duration::from_millis(300);
/// Bytes of one shard's part, at the most: it is merged whole, and a query of a
/// hundred shards may hold a hundred of them. 16,000 records of the usual size.
const PART_BYTES: usize = 256 * 1024;

/// A target's answer to one attempt.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The body, or its beginning.
    pub(crate) body: Bytes,
    /// What follows, where the body is long; its target is at work until it ends.
    pub(crate) rest: Option<AnswerRest>,
    pub(crate) receipt: Option<HeaderValue>,
}

/// How an attempt ended, and with what.
#[derive(Debug)]
pub(crate) struct AttemptReply {
    pub(crate) end: AttemptEnd,
    pub(crate) answer: Option<TargetAnswer>,
    /// Whether the connection closed while the request was in progress.
    pub(crate) crashed: bool,
}

impl AttemptReply {
    fn without_answer(end: AttemptEnd) -> Self {
        Self { end, answer: None, crashed: false }
    }
}

/// An attempt that is to be made.
pub(crate) struct AttemptPlan {
    pub(crate) host: Rc<RouteHost>,
    pub(crate) order: Rc<RequestOrder>,
    pub(crate) key: TargetKey,
    pub(crate) pool: Arc<TargetPool>,
    /// The usual time of such an attempt.
    pub(crate) usual: Duration,
}

impl AttemptPlan {
    /// Makes the attempt in a task of its own, so that an answer that comes
    /// after another's still teaches how fast the target is.
    pub(crate) fn start(self) -> oneshot::Receiver<AttemptReply> {
        let (sender, receiver) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let (host, order) = (Rc::clone(&self.host), Rc::clone(&self.order));
            let reply = self.run().await;
            quarantine::note_end(&host, &order, reply.end, reply.crashed);
            // Nobody waits for the reply of a hedge that lost.
            let _unread = sender.send(reply);
        });
        receiver
    }

    async fn run(self) -> AttemptReply {
        let sent = host_now();
        let left = self.order.time_left(sent);
        let free = self.with_state(|state| state.has_free_slot(sent)).unwrap_or_default();
        let Some((target, service, zone)) = self.note_start(sent) else {
            return AttemptReply::without_answer(AttemptEnd::NotSent);
        };
        self.host.beliefs.zone_sent(&zone, sent, self.usual);
        let end = Instant::now() + left + LINGER;
        let exchange = async {
            match self.connection(end).await? {
                Ok(connection) => Some(self.exchange(&target, &zone, connection, end).await),
                Err(error) => Some(Err(error)),
            }
        };
        let lingered = async {
            self.order.answered.cancelled().await;
            sleep(LINGER).await;
        };
        let result = tokio::select! {
            biased;
            result = exchange => result,
            () = self.order.left.cancelled() => None,
            () = lingered => Some(Err(Error::TimedOut)),
        };
        let now = host_now();
        let Some(result) = result else {
            self.with_state(|state| state.abandon(sent, now, self.usual));
            return AttemptReply::without_answer(AttemptEnd::Silent);
        };
        if result.is_ok() {
            self.host.beliefs.zone_answered(&zone);
        }
        if let Err(error @ Error::Broken(_)) = &result {
            // Logged here because attempts made for a peer's query have no other log line.
            edge_event!(
                Level::Info,
                EdgeEvent::AttemptBroken,
                "request={} service={service} target={target} took_ms={:.1} fingerprint={} \
                 error=\"{error}\"",
                self.order.attempt_id.as_deref().unwrap_or("-"),
                now.saturating_sub(sent).as_secs_f64() * 1000.0,
                self.order.identity.fingerprint
            );
        }
        let reply = self.judge(result, now);
        if reply.end == AttemptEnd::Silent {
            self.pool.clear();
        }
        let (load, speed) = self
            .with_state(|state| {
                state.end(sent, now, reply.end, self.usual);
                if reply.crashed {
                    state.crash(now);
                }
                (state.load(now), state.slowdown())
            })
            .unwrap_or_default();
        if reply.end == AttemptEnd::Answered {
            let micros = now.saturating_sub(sent).as_micros() as u64;
            self.host.beliefs.times(&self.order.route, |times| times.record(micros));
            if free {
                self.host.beliefs.worked(&self.order.route, micros);
            }
        }
        self.host.metrics.count_attempt(reply.end, 1);
        let after = sent.saturating_sub(self.order.started);
        let took = now.saturating_sub(sent);
        let note = AttemptNote { service, target, zone, after, took, end: reply.end, load, speed };
        self.order.story.borrow_mut().note(note);
        reply
    }

    /// The answer: a part whole, any other as far as it is held.
    async fn exchange(
        &self,
        target: &str,
        zone: &str,
        connection: PoolConnection,
        end: Instant,
    ) -> Result<PoolAnswer, Error> {
        // Failure: a request waits here for one of the few connections that a slow
        // target accepts, and is sent with time that its caller no longer has. What
        // is left is counted when it leaves.
        let now = host_now();
        let left = self.order.time_left(now);
        if left.is_zero() {
            return Err(Error::NotSent("its time was over before it was sent".into()));
        }
        if let Err(bar) = self.host.beliefs.registry.borrow_mut().admit(self.key, now) {
            return Err(Error::NotSent(format!("target barred: {bar}")));
        }
        let request = self.order.outgoing(target, left);
        let bytes = header_bytes(request.headers()) + self.order.body.len();
        self.host.traffic.count(TrafficPurpose::Targets, zone, bytes);
        let answer = async {
            let answer = connection.send(request).await?;
            match self.order.route.destination {
                RouteDestination::Gather(_) => answer.whole(PART_BYTES).await,
                RouteDestination::Single(_) | RouteDestination::Weighted(_) => Ok(answer),
            }
        };
        let answer = timeout_at(end, answer).await.unwrap_or(Err(Error::TimedOut))?;
        let bytes = header_bytes(&answer.headers) + answer.body.len();
        self.host.traffic.count(TrafficPurpose::Targets, zone, bytes);
        Ok(answer)
    }

    /// A connection to the target, unless the caller has its answer before.
    ///
    /// Load: a target is slow, requests wait here for its connections, and their
    /// queries are answered without them. Sent now, they would be work for nobody,
    /// and lengthen the queue of those that come after.
    async fn connection(&self, end: Instant) -> Option<Result<PoolConnection, Error>> {
        let over = |_| Err(Error::NotSent("no free connection in time".into()));
        tokio::select! {
            biased;
            connection = timeout_at(end, self.pool.connection()) => {
                Some(connection.unwrap_or_else(over))
            }
            () = self.order.answered.cancelled() => None,
        }
    }

    fn note_start(&self, sent: Duration) -> Option<(Rc<str>, Rc<str>, Rc<str>)> {
        self.with_state(|state| {
            state.send(sent);
            let entry = &state.entry;
            (Rc::clone(&entry.id), Rc::clone(&entry.service), Rc::clone(&entry.zone))
        })
    }

    fn with_state<T>(
        &self,
        with: impl FnOnce(&mut hawthorn_route::target::TargetState) -> T,
    ) -> Option<T> {
        self.host.beliefs.registry.borrow_mut().get_mut(self.key).map(with)
    }

    fn judge(&self, result: Result<PoolAnswer, Error>, now: Duration) -> AttemptReply {
        let none = AttemptReply::without_answer;
        let answer = match result {
            Ok(answer) => answer,
            Err(Error::NotSent(_)) => return none(AttemptEnd::NotSent),
            Err(Error::TimedOut) => return none(AttemptEnd::Silent),
            Err(Error::Broken(_)) => {
                return AttemptReply { crashed: true, ..none(AttemptEnd::Broken) };
            }
            Err(Error::TooLarge) => return none(AttemptEnd::Broken),
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
        match head.word {
            RunWord::Misdirected => return none(AttemptEnd::Misdirected),
            RunWord::NotRun => return none(AttemptEnd::NotRun),
            RunWord::Ran => {}
        }
        // Failure: an answer to an earlier request, sent twice or late, stands
        // where this one's is due, and a caller gets another's records. The
        // target echoes the id of the try that it answers.
        let own = self.order.attempt_id.as_deref().map(str::as_bytes);
        let echoed = head.attempt_id.as_ref().map(HeaderValue::as_bytes);
        if echoed.is_some() && echoed != own {
            self.pool.clear();
            return none(AttemptEnd::Broken);
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
            rest: answer.rest,
            receipt: head.receipt,
        };
        AttemptReply { end, answer: Some(answer), crashed: false }
    }
}
