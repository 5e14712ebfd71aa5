//! Requests that do not fit the configuration: whether they are rejected for good, and the log line
//! on what this host knew.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_platform::caller;
use hawthorn_platform::caller::CallerKey;
use hawthorn_route::customer::KeyRejection;
use hawthorn_route::customer::RequestCustomer;
use hawthorn_route::customer::log_name;
use hawthorn_route::document::RouteRule;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::rejection;
use hawthorn_route::rejection::KnownVersions;
use hawthorn_route::rejection::Outcome;
use hawthorn_route::table::RouteTable;
use hyper::header;
use hyper::http::request::Parts;
use log::Level;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::answer::CallerAnswer;
use crate::request::head_size;

/// Maximum number of lines in one second, so that callers cannot fill the log.
const MAX_LINES: u32 = 20;
const LINE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of characters that are logged of a text from a caller.
const MAX_TEXT: usize = 64;

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// Its head exceeds the limit.
    HeadTooLarge,
    /// No route matches.
    NoRoute,
    /// Its key is not accepted.
    Key(KeyRejection),
    /// Its body exceeds the limit.
    BodyTooLarge { limit: usize },
    /// Its body did not arrive in time.
    SlowBody,
    /// Its body could not be read completely.
    UnreadableBody,
}

impl RequestFault {
    /// Whether a version that is newer than the one with this fault allows the request.
    fn is_absent_in(self, table: &RouteTable, head: &Parts) -> bool {
        match self {
            Self::HeadTooLarge | Self::NoRoute | Self::Key(_) => find(table, head).is_ok(),
            Self::BodyTooLarge { limit } => table.document().limits.body_bytes > limit,
            Self::SlowBody | Self::UnreadableBody => false,
        }
    }

    fn answer(self) -> CallerAnswer {
        match self {
            Self::HeadTooLarge => CallerAnswer::head_too_large(),
            Self::NoRoute => CallerAnswer::no_route(),
            Self::Key(rejection) => CallerAnswer::key_rejected(rejection),
            Self::BodyTooLarge { .. } => CallerAnswer::too_large(),
            Self::SlowBody => CallerAnswer::slow_body(),
            Self::UnreadableBody => CallerAnswer::unreadable(),
        }
    }
}

/// The route of a request in a version, and the customer that holds the caller's key if the route
/// needs one.
pub(crate) fn find(
    table: &RouteTable,
    head: &Parts,
) -> Result<(Rc<RouteRule>, Option<RequestCustomer>), RequestFault> {
    if head_size::head_bytes(head) > table.document().limits.head_bytes {
        return Err(RequestFault::HeadTooLarge);
    }
    let name = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let route = table.find(name.unwrap_or_default(), head.uri.path());
    let route = Rc::clone(route.ok_or(RequestFault::NoRoute)?);
    if table.customers().is_empty() || route.exempt {
        return Ok((route, None));
    }
    let customer = match caller::key(&head.headers) {
        CallerKey::Missing => Err(KeyRejection::Missing),
        CallerKey::Several => Err(KeyRejection::Several),
        CallerKey::Malformed => Err(KeyRejection::Malformed),
        CallerKey::Given(key) => table.customers().identify(key).ok_or(KeyRejection::Unknown),
    };
    Ok((route, Some(customer.map_err(RequestFault::Key)?)))
}

/// The answer to a request that does not fit the version in force: it is rejected for good only if
/// no version that may be in force allows it.
pub(crate) fn reject(
    host: &RouteHost,
    table: &RouteTable,
    head: &Parts,
    fault: RequestFault,
) -> CallerAnswer {
    let fault = with_revocation(host, head, fault);
    let newest = host.routing.newest_table();
    let newest = newest.filter(|newest| newest.version() > table.version());
    let newest_allows = newest.is_some_and(|newest| fault.is_absent_in(&newest, head));
    let outcome = match fault {
        // Only a version that operators write later could allow it.
        RequestFault::Key(KeyRejection::Revoked)
        | RequestFault::SlowBody
        | RequestFault::UnreadableBody => Outcome::Rejected,
        RequestFault::HeadTooLarge
        | RequestFault::NoRoute
        | RequestFault::Key(_)
        | RequestFault::BodyTooLarge { .. } => judge(host, newest_allows),
    };
    let answer = match outcome {
        Outcome::Rejected => fault.answer(),
        Outcome::NotInForce => CallerAnswer::not_in_force(until_in_force(host)),
        Outcome::Unconfirmed => CallerAnswer::refused(RefusalReason::StaleConfiguration),
    };
    if let (Outcome::Rejected, RequestFault::Key(rejection)) = (outcome, fault) {
        host.metrics.count_key_rejection(rejection, 1);
    }
    log(host, head, table.version(), &answer);
    answer
}

/// Tells a key that a known version has revoked from one that this host has never seen.
fn with_revocation(host: &RouteHost, head: &Parts, fault: RequestFault) -> RequestFault {
    match (fault, caller::key(&head.headers)) {
        (RequestFault::Key(KeyRejection::Unknown), CallerKey::Given(key))
            if host.routing.is_revoked(key) =>
        {
            RequestFault::Key(KeyRejection::Revoked)
        }
        _ => fault,
    }
}

fn judge(host: &RouteHost, newest_allows: bool) -> Outcome {
    // The store has confirmed a version that this host could not read.
    let is_unreadable = host.routing.newest_unreadable.get();
    let confirmed_age = host.confirmed_age().filter(|_| !is_unreadable);
    let apply_limit = host.routing.settings.configuration.apply_limit;
    rejection::judge(KnownVersions { confirmed_age, newest_allows }, apply_limit)
}

fn until_in_force(host: &RouteHost) -> Option<Duration> {
    host.routing.next_in_force().map(|due| due.saturating_sub(host_now()))
}

/// Limits the number of log lines on rejected requests.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog {
    window: Cell<Duration>,
    lines: Cell<u32>,
    /// Number of rejected requests without a line, since the last line.
    unlogged: Cell<u64>,
}

impl RejectionLog {
    /// Whether a line may be written now, and the number of rejected requests without one since the
    /// last line.
    pub(crate) fn take(&self, now: Duration) -> Option<u64> {
        if now.saturating_sub(self.window.get()) >= LINE_WINDOW {
            self.window.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            self.unlogged.set(self.unlogged.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.unlogged.take())
    }
}

fn log(host: &RouteHost, head: &Parts, version: u64, answer: &CallerAnswer) {
    let Some(unlogged) = host.rejection_log.take(host_now()) else { return };
    let headers = caller::read(&head.headers);
    let name = head.headers.get(header::HOST).map(|name| String::from_utf8_lossy(name.as_bytes()));
    let newest = host.routing.newest_table().map_or(0, |table| table.version());
    let age_ms = host.confirmed_age().map_or(-1, |age| age.as_millis() as i64);
    edge_event!(
        Level::Info,
        EdgeEvent::RequestRejected,
        "request={} outcome={} status={} host=\"{}\" path=\"{}\" version={version} newest={newest} \
         age_ms={age_ms} unlogged={unlogged}",
        text(headers.attempt_id.as_deref().unwrap_or("-")),
        answer.outcome,
        answer.response.status().as_u16(),
        text(&name.unwrap_or_default()),
        text(first_segment(head.uri.path()))
    );
}

/// The part of a path that tells routes apart. The rest may contain what callers search for.
fn first_segment(path: &str) -> &str {
    let end = path.match_indices('/').nth(1).map_or(path.len(), |(at, _)| at + 1);
    &path[..end]
}

fn text(text: &str) -> String {
    log_name(&text.chars().take(MAX_TEXT).collect::<String>())
}
