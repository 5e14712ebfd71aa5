//! The store over HTTP/1.1: bounded connections, a deadline for each call,
//! every call counted by kind and outcome.

mod call;
mod count;

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
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;

use self::call::CallReply;
use self::call::Caller;
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
    /// Calls at a time, watches apart, and so connections. Bounds what a host
    /// adds to a store that is slow: later calls wait here, not there.
    pub max_calls: usize,
    /// Watches at a time; each holds a connection and counts as a call.
    pub max_watches: usize,
    /// How long a call may take, the wait for a connection and all backing off included.
    pub call_deadline: Duration,
    /// Time that must be left of a call when it is sent: a few answers of a
    /// healthy store.
    pub min_exchange: Duration,
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// First pause after a 429; doubles with each further one.
    pub min_backoff: Duration,
    /// Longest pause after a 429.
    pub max_backoff: Duration,
    /// The largest value the store takes, in bytes.
    pub max_value: usize,
    /// The address that connections come from; any where none is named.
    pub source: Option<IpAddr>,
    /// Seeds the jitter; different on each host, so that hosts do not return together.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_calls: 16,
            max_watches: 4,
            call_deadline: Duration::from_millis(500),
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

/// What a watch came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key is newer than asked.
    Changed(StoreEntry),
    /// Nothing new within the wait.
    Unchanged,
}

/// A client of the platform's store; clones share connections and counts.
#[derive(Clone, Debug)]
pub struct StoreClient {
    caller: Arc<Caller>,
}

impl StoreClient {
    /// A client of the store at `address`. Connects at the first call.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Self { caller: Arc::new(Caller::new(address, options)) }
    }

    /// All calls made, by kind and outcome.
    pub fn counts(&self) -> &CallCounts {
        self.caller.counts()
    }

    /// Waits up to `wait` for `key` to have a revision greater than `after`.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, ReadError> {
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let call = StoreCall::read(CallKind::Watch, path).lasting(wait);
        let reply = self.caller.call(call).await;
        match reply {
            CallReply::Answered(StatusCode::NO_CONTENT, _) => Ok(WatchOutcome::Unchanged),
            reply => Ok(WatchOutcome::Changed(read_body(reply)?)),
        }
    }

    /// Reads a path of a store that speaks another dialect: counted, bounded and
    /// backed off as every call. `lasting` is how long the store itself may wait.
    ///
    /// # Errors
    /// When no answer came, or the store says that nothing was done.
    pub async fn read_path(
        &self,
        kind: CallKind,
        path: String,
        lasting: Duration,
    ) -> Result<(StatusCode, Bytes), ReadError> {
        match self.caller.call(StoreCall::read(kind, path).lasting(lasting)).await {
            CallReply::Answered(status, body) => Ok((status, body)),
            CallReply::NotRun(cause) => Err(ReadError::NotRun(cause)),
            CallReply::Uncertain(cause) => Err(ReadError::NoAnswer(cause)),
        }
    }

    /// Posts a body to a path of a store with another API, as
    /// [`read_path`](Self::read_path) does for reads. The call is not idempotent: it may
    /// have taken effect even if no answer came.
    ///
    /// # Errors
    /// When no answer came, or the store says that nothing was done.
    pub async fn post_path(
        &self,
        kind: CallKind,
        path: String,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), ReadError> {
        match self.caller.call(StoreCall::with_body(kind, Method::POST, path, body)).await {
            CallReply::Answered(status, body) => Ok((status, body)),
            CallReply::NotRun(cause) => Err(ReadError::NotRun(cause)),
            CallReply::Uncertain(cause) => Err(ReadError::NoAnswer(cause)),
        }
    }

    /// Asks for a lease of `ttl`.
    ///
    /// A lease says who should act, never who may: a paused holder does not
    /// notice that it lapsed. What must happen once is a [`crate::claim`].
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseAnswer, ReadError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode(&LeaseGrant { ttl_ms });
        let call = StoreCall::with_body(CallKind::Lease, Method::POST, "/leases".to_owned(), body);
        read_body(self.caller.call(call).await)
    }

    /// Renews a lease; `None` when it has lapsed.
    pub async fn renew_lease(&self, lease: u64) -> Result<Option<LeaseAnswer>, ReadError> {
        let path = format!("/leases/{lease}/renew");
        let call = StoreCall::with_body(CallKind::Lease, Method::POST, path, Vec::new());
        match self.caller.call(call).await {
            CallReply::Answered(StatusCode::NOT_FOUND, _) => Ok(None),
            reply => read_body(reply).map(Some),
        }
    }

    /// The platform's list of hosts, which lags.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, ReadError> {
        let call = StoreCall::read(CallKind::Hosts, "/hosts".to_owned());
        read_body(self.caller.call(call).await)
    }
}

impl Store for StoreClient {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, ReadError> {
        let call = StoreCall::read(CallKind::Get, format!("/kv/{key}"));
        match self.caller.call(call).await {
            CallReply::Answered(StatusCode::NOT_FOUND, _) => Ok(None),
            reply => read_body(reply).map(Some),
        }
    }

    async fn put(&self, key: &str, put: StorePut) -> WriteOutcome {
        if put.value.len() > self.caller.options().max_value {
            return WriteOutcome::NotRun(NotRunCause::BadRequest);
        }
        let path = format!("/kv/{key}");
        let call = StoreCall::with_body(CallKind::Put, Method::PUT, path, encode(&put));
        match self.caller.call(call).await {
            CallReply::NotRun(cause) => WriteOutcome::NotRun(cause),
            CallReply::Uncertain(cause) => WriteOutcome::Uncertain(cause),
            CallReply::Answered(StatusCode::OK, body) => match decode::<StoreEntry>(&body) {
                Ok(entry) => WriteOutcome::Written { revision: entry.revision },
                Err(cause) => WriteOutcome::Uncertain(cause),
            },
            CallReply::Answered(StatusCode::CONFLICT, body) => {
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
        match self.caller.call(call).await {
            CallReply::NotRun(cause) => DeleteOutcome::NotRun(cause),
            CallReply::Uncertain(cause) => DeleteOutcome::Uncertain(cause),
            CallReply::Answered(StatusCode::OK, _) => DeleteOutcome::Deleted,
            CallReply::Answered(StatusCode::NOT_FOUND, _) => DeleteOutcome::Absent,
            CallReply::Answered(StatusCode::CONFLICT, _) => DeleteOutcome::Conflict,
            CallReply::Answered(..) => DeleteOutcome::Uncertain(UncertainCause::BadAnswer),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, ReadError> {
        let call = StoreCall::read(CallKind::List, format!("/list/{prefix}"));
        read_body(self.caller.call(call).await)
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
        CallReply::Answered(StatusCode::OK, body) => decode(&body).map_err(ReadError::NoAnswer),
        CallReply::Answered(..) => Err(ReadError::NoAnswer(UncertainCause::BadAnswer)),
        CallReply::NotRun(cause) => Err(ReadError::NotRun(cause)),
        CallReply::Uncertain(cause) => Err(ReadError::NoAnswer(cause)),
    }
}
