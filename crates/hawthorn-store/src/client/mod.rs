//! HTTP/1.1 client of the store: bounded connections, a deadline for each call, and counters
//! by kind and outcome.

mod call;
mod count;

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_types::platform::HostEntry;
use hawthorn_types::platform::LeaseAnswer;
use hawthorn_types::platform::LeaseGrant;
use hawthorn_types::platform::StoreConflict;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;

use self::call::CallExecutor;
use self::call::CallReply;
use self::call::StoreCall;
pub use self::count::CallCounts;
pub use self::count::CallKind;
pub use self::count::CallOutcome;
use crate::store::DeleteOutcome;
use crate::store::NotRunCause;
use crate::store::ReadError;
use crate::store::Store;
use crate::store::UncertainCause;
use crate::store::WriteOutcome;

/// Limits of the client.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of concurrent calls, and so of connections, excluding watches.
    /// Limits the load of a host on a slow store: further calls queue in the client.
    pub max_calls: usize,
    /// Maximum number of concurrent watches; each uses a connection and counts as a call.
    pub max_watches: usize,
    /// Deadline of a call, including the wait for a connection and all backoffs. A body of any
    /// size may take longer, as long as its bytes arrive.
    pub call_deadline: Duration,
    /// Maximum time without a byte of such a body.
    pub body_stall: Duration,
    /// Maximum time for such a body.
    pub body_deadline: Duration,
    /// Minimum time until the deadline when a call is sent: a few response times of a healthy
    /// store.
    pub min_exchange: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Backoff after the first 429; doubles with each further one.
    pub min_backoff: Duration,
    /// Maximum backoff after a 429.
    pub max_backoff: Duration,
    /// Maximum size of a value in bytes.
    pub max_value: usize,
    /// Local address of connections; chosen by the kernel if `None`.
    pub source: Option<IpAddr>,
    /// Seed of the backoff jitter; different on each host, so that hosts do not retry at the
    /// same time.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_calls: 16,
            max_watches: 4,
            call_deadline: Duration::from_millis(500),
            body_stall: Duration::from_millis(500),
            body_deadline: Duration::from_secs(10),
            min_exchange: Duration::from_millis(20),
            connect_timeout: Duration::from_millis(200),
            min_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(200),
            max_value: 1 << 20,
            source: None,
            seed: 0,
        }
    }
}

/// An answer of a store with another API.
#[derive(Clone)]
pub struct StoreAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl fmt::Debug for StoreAnswer {
    /// Omits the body, which may contain callers' keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreAnswer")
            .field("status", &self.status)
            .field("bytes", &self.body.len())
            .finish_non_exhaustive()
    }
}

/// Outcome of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has a newer revision.
    Changed(StoreEntry),
    /// The key did not change within the wait.
    Unchanged,
}

/// Client of the platform's store. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct StoreClient {
    executor: Arc<CallExecutor>,
}

impl StoreClient {
    /// Creates a client of the store at `address`. Connects at the first call.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Self { executor: Arc::new(CallExecutor::new(address, options)) }
    }

    /// Call counters by kind and outcome.
    pub fn counts(&self) -> &CallCounts {
        self.executor.counts()
    }

    /// Waits up to `wait` for `key` to have a revision greater than `after`.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, ReadError> {
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let call = StoreCall::read(CallKind::Watch, path).with_server_wait(wait);
        let reply = self.executor.call(call).await;
        match reply {
            CallReply::Answered(StatusCode::NO_CONTENT, ..) => Ok(WatchOutcome::Unchanged),
            reply => Ok(WatchOutcome::Changed(read_body(reply)?)),
        }
    }

    /// Reads a path of a store with another API, with the limits, backoff and counters of every
    /// call. `server_wait` is how long the store may wait before it answers.
    ///
    /// # Errors
    /// If the store did not answer or did not run the call.
    pub async fn read_path(
        &self,
        kind: CallKind,
        path: String,
        server_wait: Duration,
    ) -> Result<StoreAnswer, ReadError> {
        let call = StoreCall::read(kind, path).with_server_wait(server_wait).with_long_body();
        match self.executor.call(call).await {
            CallReply::Answered(status, headers, body) => Ok(StoreAnswer { status, headers, body }),
            CallReply::NotRun(cause) => Err(ReadError::NotRun(cause)),
            CallReply::Uncertain(cause) => Err(ReadError::NoAnswer(cause)),
        }
    }

    /// Posts a body to a path of a store with another API, as
    /// [`read_path`](Self::read_path) does for reads. The call is not idempotent: it may
    /// have taken effect even if no answer arrived.
    ///
    /// # Errors
    /// If the store did not answer or did not run the call.
    pub async fn post_path(
        &self,
        kind: CallKind,
        path: String,
        body: Vec<u8>,
    ) -> Result<StoreAnswer, ReadError> {
        match self.executor.call(StoreCall::with_body(kind, Method::POST, path, body)).await {
            CallReply::Answered(status, headers, body) => Ok(StoreAnswer { status, headers, body }),
            CallReply::NotRun(cause) => Err(ReadError::NotRun(cause)),
            CallReply::Uncertain(cause) => Err(ReadError::NoAnswer(cause)),
        }
    }

    /// Requests a lease with time to live `ttl`.
    ///
    /// A lease is advisory and does not exclude others: a paused holder does not notice that it
    /// has expired. Use [`crate::claim`] for requests that must run at most once.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseAnswer, ReadError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode(&LeaseGrant { ttl_ms });
        let call = StoreCall::with_body(CallKind::Lease, Method::POST, "/leases".to_owned(), body);
        read_body(self.executor.call(call).await)
    }

    /// Renews a lease; `None` if it has expired.
    pub async fn renew_lease(&self, lease: u64) -> Result<Option<LeaseAnswer>, ReadError> {
        let path = format!("/leases/{lease}/renew");
        let call = StoreCall::with_body(CallKind::Lease, Method::POST, path, Vec::new());
        match self.executor.call(call).await {
            CallReply::Answered(StatusCode::NOT_FOUND, ..) => Ok(None),
            reply => read_body(reply).map(Some),
        }
    }

    /// Reads the platform's list of hosts, which may be stale.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, ReadError> {
        let call = StoreCall::read(CallKind::Hosts, "/hosts".to_owned());
        read_body(self.executor.call(call).await)
    }
}

impl Store for StoreClient {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, ReadError> {
        let call = StoreCall::read(CallKind::Get, format!("/kv/{key}"));
        match self.executor.call(call).await {
            CallReply::Answered(StatusCode::NOT_FOUND, ..) => Ok(None),
            reply => read_body(reply).map(Some),
        }
    }

    async fn put(&self, key: &str, put: StorePut) -> WriteOutcome {
        if put.value.len() > self.executor.options().max_value {
            return WriteOutcome::NotRun(NotRunCause::BadRequest);
        }
        let path = format!("/kv/{key}");
        let call = StoreCall::with_body(CallKind::Put, Method::PUT, path, encode(&put));
        match self.executor.call(call).await {
            CallReply::NotRun(cause) => WriteOutcome::NotRun(cause),
            CallReply::Uncertain(cause) => WriteOutcome::Uncertain(cause),
            CallReply::Answered(StatusCode::OK, _, body) => match decode::<StoreEntry>(&body) {
                Ok(entry) => WriteOutcome::Written { revision: entry.revision },
                Err(cause) => WriteOutcome::Uncertain(cause),
            },
            CallReply::Answered(StatusCode::CONFLICT, _, body) => {
                match decode::<StoreConflict>(&body) {
                    Ok(conflict) => WriteOutcome::Conflict { found: conflict.found },
                    Err(cause) => WriteOutcome::Uncertain(cause),
                }
            }
            CallReply::Answered(..) => WriteOutcome::Uncertain(UncertainCause::BadAnswer),
        }
    }

    async fn delete(&self, key: &str, expect: u64) -> DeleteOutcome {
        let path = format!("/kv/{key}?expect={expect}");
        let call = StoreCall::with_body(CallKind::Delete, Method::DELETE, path, Vec::new());
        match self.executor.call(call).await {
            CallReply::NotRun(cause) => DeleteOutcome::NotRun(cause),
            CallReply::Uncertain(cause) => DeleteOutcome::Uncertain(cause),
            CallReply::Answered(StatusCode::OK, ..) => DeleteOutcome::Deleted,
            CallReply::Answered(StatusCode::NOT_FOUND, ..) => DeleteOutcome::Absent,
            CallReply::Answered(StatusCode::CONFLICT, ..) => DeleteOutcome::Conflict,
            CallReply::Answered(..) => DeleteOutcome::Uncertain(UncertainCause::BadAnswer),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, ReadError> {
        let call = StoreCall::read(CallKind::List, format!("/list/{prefix}"));
        read_body(self.executor.call(call).await)
    }
}

fn encode<T: serde::Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("bodies are plain structs with string keys")
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, UncertainCause> {
    serde_json::from_slice(body).map_err(|_| UncertainCause::BadAnswer)
}

fn read_body<T: DeserializeOwned>(reply: CallReply) -> Result<T, ReadError> {
    match reply {
        CallReply::Answered(StatusCode::OK, _, body) => decode(&body).map_err(ReadError::NoAnswer),
        CallReply::Answered(..) => Err(ReadError::NoAnswer(UncertainCause::BadAnswer)),
        CallReply::NotRun(cause) => Err(ReadError::NotRun(cause)),
        CallReply::Uncertain(cause) => Err(ReadError::NoAnswer(cause)),
    }
}
