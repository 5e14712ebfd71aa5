//! Minimal HTTP client for commands that query a running host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::exit::CommandError;

/// Time beyond the request's deadline for which the client waits for an answer.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Timeout of a call whose command has no deadline option.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates the async runtime of one command.
pub(crate) fn runtime() -> Result<Runtime, CommandError> {
    Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| CommandError::Start(format!("cannot start the async runtime: {error}")))
}

/// Sends one request and reads the complete response.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CommandError> {
    let fail = |text: String| CommandError::Unreachable(address, text);
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| CommandError::Text(error.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let response = client.request(request).await.map_err(|error| fail(error.to_string()))?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|e| fail(e.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| fail(format!("no response within {timeout:?}")))?
}
