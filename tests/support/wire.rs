//! HTTP client of the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::TestResult;

/// Maximum time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends one request on a new connection.
pub async fn call(
    at: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> TestResult<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{at}{path}"))
        .header("connection", "close")
        .body(Full::new(Bytes::from(body)))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let response = client.request(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await?
}

/// Gets a page; returns its status and text.
pub async fn get(at: SocketAddr, path: &str) -> TestResult<(StatusCode, String)> {
    let (status, body) = call(at, Method::GET, path, Vec::new()).await?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
