//! The context of a caller's request while it is being served.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_route::admission::QueryLoad;
use hawthorn_route::customer::RequestCustomer;
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

use crate::request::commit::QueryCommit;
use crate::request::request_log::RequestLog;

/// Times that a task yields to the event loop before the cancellation of a query has taken
/// effect: the first reads the sockets, the second ends the call, the third its work.
pub(crate) const CANCELLATION_YIELDS: usize = 3;

/// A complete request of a caller, and the state of its processing.
#[derive(Debug)]
pub(crate) struct RequestContext {
    /// The subjects to which crashes of its targets are attributed.
    pub(crate) identity: RequestIdentity,
    /// The outcomes of its attempts.
    pub(crate) exposure: RefCell<Exposure>,
    /// The caller's address; `None` for a peer's query or if the address is unknown.
    pub(crate) caller: Option<IpAddr>,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    /// Headers except connection-specific ones.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt_id: Option<String>,
    pub(crate) route: Rc<RouteRule>,
    /// The customer that holds the caller's key, if the request needs one.
    pub(crate) customer: Option<RequestCustomer>,
    /// When the request arrived, which may be before it was read.
    pub(crate) started: Duration,
    /// When the answer must be sent to reach the caller within the target latency.
    pub(crate) send_deadline: Duration,
    /// The deadline of the request: the caller's, or the route's timeout if that is earlier.
    pub(crate) deadline: Duration,
    /// Cancelled when the caller disconnects.
    pub(crate) abandoned: CancellationToken,
    /// Cancelled when the caller has been answered.
    pub(crate) answered: CancellationToken,
    /// Number of attempts that may have run at a target or may still be sent.
    pub(crate) sent: Cell<usize>,
    /// Number of attempts in `sent` that wait for a connection to their target.
    pub(crate) waiting: Cell<usize>,
    /// Number of peers whose replies are awaited.
    pub(crate) awaited_peers: Cell<usize>,
    /// Number of shards skipped because their parts could not arrive in time.
    pub(crate) skipped: Cell<usize>,
    /// Attempts that may already have been made at each shard, by another host.
    pub(crate) prior_attempts: usize,
    /// Whether this host may make more than one attempt at each shard.
    pub(crate) commit: QueryCommit,
    /// Queue load reported with its answers.
    pub(crate) load: RefCell<QueryLoad>,
    pub(crate) request_log: RefCell<RequestLog>,
}

impl RequestContext {
    /// Time until the deadline.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether no target can have received the request. This stays so if no further attempt is
    /// sent.
    pub(crate) fn is_unsent(&self) -> bool {
        self.sent.get() == self.waiting.get()
    }

    /// The priority of the request; 0 is the most urgent. The customer's takes precedence over the
    /// route's.
    pub(crate) fn priority(&self) -> u32 {
        let customer = self.customer.as_ref();
        customer.and_then(|customer| customer.priority).unwrap_or(self.route.priority)
    }

    /// The request to a target.
    pub(crate) fn outgoing(&self, target: &str, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        hawthorn_platform::target::set_request_headers(&mut headers, target, left);
        if let Some(customer) = &self.customer {
            hawthorn_platform::target::set_customer(&mut headers, &customer.name);
        }
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

/// Cancels all attempts if it is dropped before the caller is answered: a disconnect drops the
/// request's future.
#[derive(Debug)]
pub(crate) struct CancelOnDrop(pub(crate) Rc<RequestContext>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.0.answered.is_cancelled() {
            self.0.abandoned.cancel();
        }
    }
}

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
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
