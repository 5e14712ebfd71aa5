//! HTTP API for callers and operators, by dropshot.

use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::HttpError;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::StreamingBody;
use dropshot::endpoint;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::OnceRequest;
use hawthorn_types::RefusalReason;
use hawthorn_types::SearchQuery;
use http::Response;
use http::StatusCode;
use http::header;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::request::body;
use crate::request::front::FrontContext;

type ApiContext = RequestContext<Arc<FrontContext>>;
type ApiResponse = Result<Response<Body>, HttpError>;

/// Registers the endpoints, in the order of the OpenAPI description.
///
/// # Errors
/// If two endpoints conflict, which a test rules out.
pub fn describe() -> Result<ApiDescription<Arc<FrontContext>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(run_query)?;
    api.register(run_request)?;
    api.register(fleet_status)?;
    api.register(explain_target)?;
    api.register(get_live)?;
    api.register(get_ready)?;
    api.register(get_metrics)?;
    Ok(api)
}

/// Search all shards of a service
///
/// The body is a SearchQuery, the answer a CallerAnswer. Idempotent.
#[endpoint { method = POST, path = "/v1/query" }]
async fn run_query(context: ApiContext, body: StreamingBody) -> ApiResponse {
    let front = context.context();
    let _held = front.hold_open();
    let slot = front.bodies().open().await;
    let answer = match body::read::<SearchQuery>(body, front.body_options(), &slot).await {
        Ok(query) => crate::request::query::answer(front, query).await,
        Err(reason) => front.refuse(None, reason, None),
    };
    respond(front, &answer)
}

/// Run a non-idempotent request at most once
///
/// The body is a OnceRequest, the answer a CallerAnswer. Sending the same
/// request id again never runs it a second time.
#[endpoint { method = POST, path = "/v1/request" }]
async fn run_request(context: ApiContext, body: StreamingBody) -> ApiResponse {
    let front = Arc::clone(context.context());
    let held = front.hold_open();
    let slot = front.bodies().open().await;
    let answer = match body::read::<OnceRequest>(body, front.body_options(), &slot).await {
        // Runs in a separate task: a caller that disconnects must not abort a request between its
        // claim and its run, or its outcome would be lost.
        Ok(once) => {
            let runner = Arc::clone(&front);
            let task = tokio::spawn(async move {
                let (_held, _slot) = (held, slot);
                crate::request::once::answer(&runner, once).await
            });
            task.await.map_err(|error| HttpError::for_internal_error(error.to_string()))?
        }
        Err(reason) => front.refuse(None, reason, None),
    };
    respond(&front, &answer)
}

/// State of the fleet as this host sees it
#[endpoint { method = GET, path = "/v1/status" }]
async fn fleet_status(context: ApiContext) -> ApiResponse {
    json(StatusCode::OK, &context.context().status())
}

/// Target to explain.
#[derive(Debug, Deserialize, JsonSchema)]
struct ExplainQuery {
    /// The target's name.
    target: String,
}

/// Reason for the desired state of a target
#[endpoint { method = GET, path = "/v1/explain" }]
async fn explain_target(context: ApiContext, query: Query<ExplainQuery>) -> ApiResponse {
    match context.context().explain(&query.into_inner().target) {
        Some(text) => plain(StatusCode::OK, text),
        None => plain(StatusCode::NOT_FOUND, "no such target in the inventory\n".into()),
    }
}

/// Liveness probe
#[endpoint { method = GET, path = "/live" }]
async fn get_live(_context: ApiContext) -> ApiResponse {
    plain(StatusCode::OK, "live\n".into())
}

/// Readiness probe: whether the load balancer should send callers here
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(context: ApiContext) -> ApiResponse {
    match context.context().not_ready() {
        None => plain(StatusCode::OK, "ready\n".into()),
        Some(reason) => plain(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")),
    }
}

/// Counters, histograms and gauges in the Prometheus text format
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(context: ApiContext) -> ApiResponse {
    plain(StatusCode::OK, context.context().metrics().render())
}

fn respond(front: &FrontContext, answer: &CallerAnswer) -> ApiResponse {
    let mut response = json(status_code(answer.outcome), answer)?;
    let headers = response.headers_mut();
    if let Some(after) = answer.retry_after_ms {
        headers.insert(header::RETRY_AFTER, after.div_ceil(1000).into());
    }
    if front.is_stopping() {
        // The load balancer opens its next connection to another host, so that no request arrives
        // on a connection that is being closed.
        headers.insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// HTTP status of an outcome; the body contains the details.
pub fn status_code(outcome: CallerOutcome) -> StatusCode {
    match outcome {
        CallerOutcome::Answer => StatusCode::OK,
        CallerOutcome::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        CallerOutcome::Failed(_) => StatusCode::BAD_GATEWAY,
        CallerOutcome::NotRun(reason) => match reason {
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::SlowClient => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::UnknownCaller => StatusCode::FORBIDDEN,
            RefusalReason::UnknownService => StatusCode::NOT_FOUND,
            RefusalReason::BadRequest
            | RefusalReason::DeadlinePast
            | RefusalReason::BadRequestId
            | RefusalReason::RequestIdTooOld
            | RefusalReason::RequestIdInFuture => StatusCode::BAD_REQUEST,
            RefusalReason::CallerOverShare => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> ApiResponse {
    let text =
        serde_json::to_vec(value).map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    build(status, "application/json", text)
}

fn plain(status: StatusCode, text: String) -> ApiResponse {
    build(status, "text/plain; charset=utf-8", text.into_bytes())
}

fn build(status: StatusCode, kind: &'static str, bytes: Vec<u8>) -> ApiResponse {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, kind)
        .body(Body::from(bytes))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
