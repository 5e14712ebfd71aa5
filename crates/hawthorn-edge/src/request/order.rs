//! A caller's request as it is passed on.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_route::admission::QueryLoad;
use hawthorn_route::document::RouteRule;
use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::quarantine::Exposure;
use hawthorn_route::quarantine::RequestIdentity;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use tokio_util::sync::CancellationToken;

use crate::request::story::RequestStory;

/// Turns of the event loop in which the cancellation of a query is taken in: the
/// first has the sockets read, the second the call ended, the third its work.
pub(crate) const CANCELLATION_TURNS: usize = 3;

/// A caller's request, whole, and how its life goes.
#[derive(Debug)]
pub(crate) struct RequestOrder {
    /// The subjects to which crashes of its targets are attributed.
    pub(crate) identity: RequestIdentity,
    /// The outcomes of its attempts.
    pub(crate) exposure: RefCell<Exposure>,
    /// The caller's address; `None` for a peer's query or if the address is unknown.
    pub(crate) caller: Option<IpAddr>,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    /// Headers but those of the caller's connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt_id: Option<String>,
    pub(crate) route: Rc<RouteRule>,
    /// When it came, read or not.
    pub(crate) started: Duration,
    /// When its answer has to leave, to be with the caller within the aim.
    pub(crate) leaves: Duration,
    /// When the caller, or the operators, no longer wait.
    pub(crate) ends: Duration,
    /// The caller left.
    pub(crate) left: CancellationToken,
    /// The caller has its answer.
    pub(crate) answered: CancellationToken,
    /// Attempts that may have run at a target.
    pub(crate) sent: Cell<usize>,
    /// Shards that were not asked for, as their parts could not come in time.
    pub(crate) skipped: Cell<usize>,
    /// Attempts that may have been made at each shard before, by another host.
    pub(crate) spent: usize,
    /// What its answers told of the targets' queues.
    pub(crate) load: RefCell<QueryLoad>,
    pub(crate) story: RefCell<RequestStory>,
}

impl RequestOrder {
    /// Time until nobody waits any more.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.ends.saturating_sub(now)
    }

    /// The request as it goes to a target.
    pub(crate) fn outgoing(&self, target: &str, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        hawthorn_platform::target::address(&mut headers, target, left);
        *request.headers_mut() = headers;
        request
    }
}

/// Computes a request's fingerprint; a missing or unreadable `Host` header counts as empty.
pub(crate) fn fingerprint(
    method: &Method,
    headers: &HeaderMap,
    uri: &Uri,
    body: &[u8],
) -> RequestFingerprint {
    let host = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let path_and_query = uri.path_and_query().map_or(uri.path(), |value| value.as_str());
    RequestFingerprint::of(method.as_str(), host.unwrap_or_default(), path_and_query, body)
}

/// Ends all attempts when the caller leaves: dropped with the request's future.
#[derive(Debug)]
pub(crate) struct CallerWatch(pub(crate) Rc<RequestOrder>);

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if !self.0.answered.is_cancelled() {
            self.0.left.cancel();
        }
    }
}

/// Headers that concern only one connection.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Takes out the headers that concern only one connection, and those that
/// `Connection` names.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
