//! Answers to callers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_platform::caller;
use hawthorn_route::customer::KeyRejection;
use hawthorn_route::outcome::RefusalReason;
use http_body_util::Either;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;

use crate::process::host::KeyRefusal;
use crate::request::attempt::TargetAnswer;
use crate::request::context;
use crate::request::context::RequestContext;
use crate::request::forward::ForwardedBody;

/// The body of an answer: held in memory, or streamed from the target.
pub(crate) type AnswerBody = Either<Full<Bytes>, ForwardedBody>;

/// An answer, with its outcome for the log and the metrics.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) response: Response<AnswerBody>,
    pub(crate) outcome: &'static str,
    pub(crate) refusal: Option<RefusalReason>,
    /// Why the key was refused, if the request is refused for it after its admission.
    pub(crate) key_refusal: Option<KeyRefusal>,
    /// The remaining time of the refusal, if known.
    pub(crate) refused_for: Option<Duration>,
    /// Number of parts received, and of all shards.
    pub(crate) parts: Option<(usize, usize)>,
    /// The scheduled send time, if the answer was sent at that time and not when it was
    /// complete.
    pub(crate) due: Option<Duration>,
}

impl CallerAnswer {
    fn plain(status: StatusCode, outcome: &'static str) -> Self {
        let body = Either::Left(Full::new(Bytes::from_static(outcome.as_bytes())));
        let mut response = Response::new(body);
        *response.status_mut() = status;
        Self {
            response,
            outcome,
            refusal: None,
            key_refusal: None,
            refused_for: None,
            parts: None,
            due: None,
        }
    }

    /// The request was not run at any target. The caller of this function must also call
    /// [`CallerAnswer::set_retry_after`].
    pub(crate) fn refused(reason: RefusalReason) -> Self {
        if reason == RefusalReason::KeyRevoked {
            let key_refusal = Some(KeyRefusal::Revoked);
            return Self { key_refusal, ..Self::key_rejected(KeyRejection::Revoked) };
        }
        let status = match reason {
            RefusalReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut answer = Self::plain(status, reason.into());
        answer.key_refusal = (reason == RefusalReason::StaleKeys).then_some(KeyRefusal::Stale);
        answer.refusal = Some(reason);
        answer
    }

    /// The request is quarantined for the given duration.
    pub(crate) fn quarantined(left: Duration) -> Self {
        Self { refused_for: Some(left), ..Self::refused(RefusalReason::Quarantined) }
    }

    /// The customer's quota is exhausted until the given time from now.
    pub(crate) fn over_quota(next: Duration) -> Self {
        Self { refused_for: Some(next), ..Self::refused(RefusalReason::OverQuota) }
    }

    /// Capacity is short, and expected after the given time.
    pub(crate) fn overloaded(after: Duration) -> Self {
        Self { refused_for: Some(after), ..Self::refused(RefusalReason::Overloaded) }
    }

    /// A version that is not in force yet allows the request; it is due after the given time, if
    /// known.
    pub(crate) fn not_in_force(due: Option<Duration>) -> Self {
        Self { refused_for: due, ..Self::refused(RefusalReason::NotInForce) }
    }

    /// Sets the time after which the caller of a refused request should retry.
    pub(crate) fn set_retry_after(&mut self, after: Duration) {
        caller::set_retry_after(self.response.headers_mut(), after);
    }

    /// No route of the current version matches the request.
    pub(crate) fn no_route() -> Self {
        Self::plain(StatusCode::NOT_FOUND, "no-route")
    }

    /// The caller's key was not accepted; the request was not run.
    pub(crate) fn key_rejected(rejection: KeyRejection) -> Self {
        match rejection {
            KeyRejection::Several => Self::plain(StatusCode::BAD_REQUEST, "several-keys"),
            KeyRejection::Missing
            | KeyRejection::Malformed
            | KeyRejection::Unknown
            | KeyRejection::Revoked => Self::plain(StatusCode::UNAUTHORIZED, "unknown-key"),
        }
    }

    /// The head exceeds the configured limit.
    pub(crate) fn head_too_large() -> Self {
        Self::plain(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head-too-large")
    }

    /// The body exceeds the configured limit.
    pub(crate) fn too_large() -> Self {
        Self::plain(StatusCode::PAYLOAD_TOO_LARGE, "too-large")
    }

    /// The request body could not be read completely.
    pub(crate) fn unreadable() -> Self {
        Self::plain(StatusCode::BAD_REQUEST, "unreadable")
    }

    /// The request body did not arrive in time; the request was not run.
    pub(crate) fn slow_body() -> Self {
        Self::plain(StatusCode::REQUEST_TIMEOUT, "slow-body")
    }

    /// The request may have run, and there will be no answer.
    pub(crate) fn not_known() -> Self {
        Self::plain(StatusCode::BAD_GATEWAY, "not-known")
    }

    /// The request may have run, and its deadline has passed.
    pub(crate) fn out_of_time() -> Self {
        Self::plain(StatusCode::GATEWAY_TIMEOUT, "out-of-time")
    }

    /// The answer of a single target, forwarded.
    pub(crate) fn forwarded(context: &Rc<RequestContext>, answer: TargetAnswer) -> Self {
        let outcome = if answer.status.is_success() { "answered" } else { "target-failed" };
        let mut headers = answer.headers;
        context::strip_connection(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let body = match answer.remaining {
            None => Either::Left(Full::new(answer.body)),
            Some(remaining) => {
                Either::Right(ForwardedBody::new(answer.body, remaining, Rc::clone(context)))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = headers;
        Self {
            response,
            outcome,
            refusal: None,
            key_refusal: None,
            refused_for: None,
            parts: None,
            due: None,
        }
    }

    /// The records merged from the parts of a query.
    pub(crate) fn merged(response: Response<Full<Bytes>>, parts: usize, shards: usize) -> Self {
        let response = response.map(Either::Left);
        let outcome = if parts == shards { "answered" } else { "partial" };
        Self {
            response,
            outcome,
            refusal: None,
            key_refusal: None,
            refused_for: None,
            parts: Some((parts, shards)),
            due: None,
        }
    }
}
