//! Executes a call: waits for a connection, sends, backs off after 429, and fails at its
//! deadline.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
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

/// Idle time before the first TCP keepalive probe, and interval between probes.
///
/// Without probes, a watch on a connection that was lost without a reset would notice a change
/// only when it times out.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum size of an answer as a multiple of the largest value: JSON escapes and lists of
/// keys make it larger than the value.
const ANSWER_SIZE_FACTOR: usize = 4;

/// A call to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreCall {
    kind: CallKind,
    method: Method,
    path: String,
    body: Bytes,
    server_wait: Duration,
    /// Whether the body of the answer may have any size.
    long_body: bool,
}

impl StoreCall {
    pub(super) fn read(kind: CallKind, path: String) -> Self {
        Self::with_body(kind, Method::GET, path, Vec::new())
    }

    pub(super) fn with_body(kind: CallKind, method: Method, path: String, body: Vec<u8>) -> Self {
        Self {
            kind,
            method,
            path,
            body: body.into(),
            server_wait: Duration::ZERO,
            long_body: false,
        }
    }

    /// Sets how long the store may wait before it answers, which extends the deadline.
    pub(super) fn with_server_wait(self, server_wait: Duration) -> Self {
        Self { server_wait, ..self }
    }

    /// Lets the body of the answer arrive after the deadline.
    pub(super) fn with_long_body(self) -> Self {
        Self { long_body: true, ..self }
    }
}

/// Result of a call, before it is interpreted for its kind.
#[derive(Clone)]
pub(super) enum CallReply {
    Answered(StatusCode, HeaderMap, Bytes),
    NotRun(NotRunCause),
    Uncertain(UncertainCause),
}

impl fmt::Debug for CallReply {
    /// Omits the body, which may contain callers' keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status, _, body) => {
                write!(formatter, "Answered({status}, {} bytes)", body.len())
            }
            Self::NotRun(cause) => write!(formatter, "NotRun({cause:?})"),
            Self::Uncertain(cause) => write!(formatter, "Uncertain({cause:?})"),
        }
    }
}

#[derive(Debug)]
pub(super) struct CallExecutor {
    http: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    options: Options,
    calls: Semaphore,
    watches: Semaphore,
    jitter: Mutex<StdRng>,
    counts: CallCounts,
}

impl CallExecutor {
    pub(super) fn new(address: SocketAddr, options: Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(options.source);
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let http = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(options.max_calls + options.max_watches)
            // A write retried by the library could be applied twice.
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

    /// Executes the call. Only a 429 is retried, as it guarantees that nothing ran.
    pub(super) async fn call(&self, call: StoreCall) -> CallReply {
        let deadline = Instant::now() + self.options.call_deadline + call.server_wait;
        let mut backoff = self.options.min_backoff;
        let mut rate_limited = false;
        loop {
            match self.exchange(&call, deadline).await {
                CallReply::Answered(StatusCode::TOO_MANY_REQUESTS, ..) => rate_limited = true,
                // The deadline passed during a backoff.
                CallReply::NotRun(NotRunCause::QueueFull) if rate_limited => {
                    return CallReply::NotRun(NotRunCause::RateLimited);
                }
                reply => return reply,
            }
            let delay = self.jittered(backoff);
            if Instant::now() + delay + self.options.min_exchange > deadline {
                return CallReply::NotRun(NotRunCause::RateLimited);
            }
            sleep(delay).await;
            backoff = (backoff * 2).min(self.options.max_backoff);
        }
    }

    async fn exchange(&self, call: &StoreCall, deadline: Instant) -> CallReply {
        let permits = if call.kind == CallKind::Watch { &self.watches } else { &self.calls };
        let Ok(Ok(_permit)) = timeout_at(deadline, permits.acquire()).await else {
            self.counts.add(call.kind, CallOutcome::QueueFull);
            return CallReply::NotRun(NotRunCause::QueueFull);
        };
        // A write sent without enough time for its answer would needlessly become
        // uncertain: when the store hangs, all queued calls would be sent at their deadline.
        if Instant::now() + self.options.min_exchange > deadline {
            self.counts.add(call.kind, CallOutcome::QueueFull);
            return CallReply::NotRun(NotRunCause::QueueFull);
        }
        let reply = self.send(call, deadline).await;
        self.counts.add(call.kind, outcome_of(&reply));
        reply
    }

    /// Sends the request once. Only a failure to connect guarantees that the store did not
    /// receive it.
    async fn send(&self, call: &StoreCall, deadline: Instant) -> CallReply {
        let request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", self.address, call.path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()));
        let Ok(request) = request else {
            return CallReply::NotRun(NotRunCause::BadRequest);
        };
        let response = match timeout_at(deadline, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return CallReply::NotRun(NotRunCause::Unreachable);
            }
            Ok(Err(_)) => return CallReply::Uncertain(UncertainCause::ConnectionLost),
            Err(_) => return CallReply::Uncertain(UncertainCause::Timeout),
        };
        let status = response.status();
        let headers = response.headers().clone();
        // The body of a 503 is read as well: a connection with an unread body is closed, and
        // an outage would cause a burst of reconnects.
        match self.read_body(call, response.into_body(), deadline).await {
            _ if status == StatusCode::SERVICE_UNAVAILABLE => {
                CallReply::Uncertain(UncertainCause::Outage)
            }
            Ok(body) => CallReply::Answered(status, headers, body),
            Err(cause) => CallReply::Uncertain(cause),
        }
    }

    /// Reads a body: until the deadline, or for as long as its bytes arrive if it may be long.
    async fn read_body(
        &self,
        call: &StoreCall,
        body: Incoming,
        deadline: Instant,
    ) -> Result<Bytes, UncertainCause> {
        let Options { max_value, body_stall, body_deadline, .. } = self.options;
        let mut body = Limited::new(body, max_value * ANSWER_SIZE_FACTOR);
        let mut bytes = BytesMut::new();
        let last = Instant::now() + body_deadline;
        loop {
            let stalled = last.min(Instant::now() + body_stall);
            let until = if call.long_body { deadline.max(stalled) } else { deadline };
            let Ok(frame) = timeout_at(until, body.frame()).await else {
                return Err(UncertainCause::Timeout);
            };
            match frame {
                None => return Ok(bytes.freeze()),
                Some(Err(_)) => return Err(UncertainCause::ConnectionLost),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.counts.add_bytes(call.kind, data.len());
                        bytes.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    /// Returns a random delay of 50 to 100 % of `backoff`, so that hosts that were rate
    /// limited at the same time do not retry at the same time.
    fn jittered(&self, backoff: Duration) -> Duration {
        let mut jitter = self.jitter.lock().expect("no holder of the lock panics");
        backoff.mul_f64(jitter.random_range(0.5..1.0))
    }
}

fn outcome_of(reply: &CallReply) -> CallOutcome {
    match reply {
        CallReply::Answered(status, ..) if status.is_success() => CallOutcome::Ok,
        CallReply::Answered(StatusCode::NOT_FOUND, ..) => CallOutcome::Absent,
        CallReply::Answered(StatusCode::CONFLICT, ..) => CallOutcome::Conflict,
        CallReply::Answered(StatusCode::TOO_MANY_REQUESTS, ..) => CallOutcome::RateLimited,
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
