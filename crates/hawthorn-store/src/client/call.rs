//! One call: waits for a connection, sends, backs off from 429, gives up at its deadline.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::Options;
use super::count::CallCounts;
use super::count::CallKind;
use super::count::CallOutcome;
use crate::store::NotRunCause;
use crate::store::UncertainCause;

/// A connection on which nothing comes is probed by the kernel after so long.
/// Failure: a watch waits on a connection that went silent without a reset, and
/// a change is heard of only when the watch would have ended anyway.
const SILENCE_PROBE: Duration = Duration::from_millis(1000);
/// Probes without an answer that end a connection.
const SILENCE_PROBES: u32 = 2;
/// An answer may be so many times the largest value: JSON escapes, and a list of keys.
const ANSWER_FACTOR: usize = 4;

/// A call as it is to be sent.
#[derive(Clone, Debug)]
pub(super) struct StoreCall {
    kind: CallKind,
    method: Method,
    path: String,
    body: Bytes,
    lasts: Duration,
}

impl StoreCall {
    pub(super) fn read(kind: CallKind, path: String) -> Self {
        Self::with_body(kind, Method::GET, path, Vec::new())
    }

    pub(super) fn with_body(kind: CallKind, method: Method, path: String, body: Vec<u8>) -> Self {
        Self { kind, method, path, body: body.into(), lasts: Duration::ZERO }
    }

    /// The store itself waits so long before it answers.
    pub(super) fn lasting(self, lasts: Duration) -> Self {
        Self { lasts, ..self }
    }
}

/// What a call came to, before its meaning for the key is read.
#[derive(Clone, Debug)]
pub(super) enum CallReply {
    Answered(StatusCode, Bytes),
    NotRun(NotRunCause),
    Uncertain(UncertainCause),
}

#[derive(Debug)]
pub(super) struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    options: Options,
    calls: Semaphore,
    watches: Semaphore,
    jitter: Mutex<StdRng>,
    counts: CallCounts,
}

impl Caller {
    pub(super) fn new(address: SocketAddr, options: Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(options.source);
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_keepalive(Some(SILENCE_PROBE));
        connector.set_keepalive_interval(Some(SILENCE_PROBE));
        connector.set_keepalive_retries(Some(SILENCE_PROBES));
        let http = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(options.max_calls + options.max_watches)
            // A write sent again by the library would be a second write.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            address,
            options,
            calls: Semaphore::new(options.max_calls),
            watches: Semaphore::new(options.max_watches),
            jitter: Mutex::new(StdRng::seed_from_u64(options.seed)),
            counts: CallCounts::default(),
        }
    }

    pub(super) fn options(&self) -> &Options {
        &self.options
    }

    pub(super) fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Makes the call. Only a 429 is tried again: it says that nothing ran.
    pub(super) async fn call(&self, call: StoreCall) -> CallReply {
        let deadline = Instant::now() + self.options.call_deadline + call.lasts;
        let mut backoff = self.options.min_backoff;
        let mut limited = false;
        loop {
            match self.exchange(&call, deadline).await {
                CallReply::Answered(StatusCode::TOO_MANY_REQUESTS, _) => limited = true,
                // The time ran out while backing off.
                CallReply::NotRun(NotRunCause::QueueFull) if limited => {
                    return CallReply::NotRun(NotRunCause::RateLimited);
                }
                reply => return reply,
            }
            let pause = self.spread(backoff);
            if Instant::now() + pause + self.options.min_exchange > deadline {
                return CallReply::NotRun(NotRunCause::RateLimited);
            }
            sleep(pause).await;
            backoff = (backoff * 2).min(self.options.max_backoff);
        }
    }

    async fn exchange(&self, call: &StoreCall, deadline: Instant) -> CallReply {
        let turns = if call.kind == CallKind::Watch { &self.watches } else { &self.calls };
        let Ok(Ok(_turn)) = timeout_at(deadline, turns.acquire()).await else {
            self.counts.add(call.kind, CallOutcome::QueueFull);
            return CallReply::NotRun(NotRunCause::QueueFull);
        };
        // A write sent without time for its answer is a doubt of our own making:
        // when the store hangs, all that queued would be sent at the deadline.
        if Instant::now() + self.options.min_exchange > deadline {
            self.counts.add(call.kind, CallOutcome::QueueFull);
            return CallReply::NotRun(NotRunCause::QueueFull);
        }
        let reply = match timeout_at(deadline, self.send(call)).await {
            Ok(reply) => reply,
            Err(_) => CallReply::Uncertain(UncertainCause::Timeout),
        };
        self.counts.add(call.kind, outcome_of(&reply));
        reply
    }

    /// Sends once. A failure to connect is the only one after which it is
    /// certain that the store never saw the request.
    async fn send(&self, call: &StoreCall) -> CallReply {
        let request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", self.address, call.path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()));
        let Ok(request) = request else {
            return CallReply::NotRun(NotRunCause::BadRequest);
        };
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return CallReply::NotRun(NotRunCause::Unreachable);
            }
            Err(_) => return CallReply::Uncertain(UncertainCause::ConnectionLost),
        };
        let status = response.status();
        let limit = self.options.max_value * ANSWER_FACTOR;
        // The body of an outage is read as well: a connection left with an
        // unread body is closed, and an outage would become a storm of connects.
        match Limited::new(response.into_body(), limit).collect().await {
            _ if status == StatusCode::SERVICE_UNAVAILABLE => {
                CallReply::Uncertain(UncertainCause::Outage)
            }
            Ok(body) => CallReply::Answered(status, body.to_bytes()),
            Err(_) => CallReply::Uncertain(UncertainCause::ConnectionLost),
        }
    }

    /// Between half and all of `pause`, so that hosts limited together return apart.
    fn spread(&self, pause: Duration) -> Duration {
        let mut jitter = self.jitter.lock().expect("no holder of the lock panics");
        pause.mul_f64(jitter.random_range(0.5..1.0))
    }
}

fn outcome_of(reply: &CallReply) -> CallOutcome {
    match reply {
        CallReply::Answered(status, _) if status.is_success() => CallOutcome::Ok,
        CallReply::Answered(StatusCode::NOT_FOUND, _) => CallOutcome::Absent,
        CallReply::Answered(StatusCode::CONFLICT, _) => CallOutcome::Conflict,
        CallReply::Answered(StatusCode::TOO_MANY_REQUESTS, _) => CallOutcome::RateLimited,
        CallReply::Answered(..) => CallOutcome::Other,
        CallReply::NotRun(NotRunCause::Unreachable) => CallOutcome::Unreachable,
        CallReply::NotRun(NotRunCause::RateLimited) => CallOutcome::RateLimited,
        CallReply::NotRun(NotRunCause::QueueFull) => CallOutcome::QueueFull,
        CallReply::NotRun(NotRunCause::BadRequest) => CallOutcome::Other,
        CallReply::Uncertain(UncertainCause::Outage) => CallOutcome::Outage,
        CallReply::Uncertain(UncertainCause::Timeout) => CallOutcome::Timeout,
        CallReply::Uncertain(UncertainCause::ConnectionLost) => CallOutcome::ConnectionLost,
        CallReply::Uncertain(UncertainCause::BadAnswer) => CallOutcome::Other,
    }
}
