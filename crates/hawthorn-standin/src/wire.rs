//! HTTP helpers of the stand-ins: loopback listener, JSON requests and responses.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body in bytes. It exceeds the platform's largest value
/// with every byte escaped.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;

/// The response of a stand-in.
pub(crate) type Reply = Response<Full<Bytes>>;

quick_error! {
    /// Reasons to close the connection without an answer.
    #[derive(Debug)]
    pub enum Unanswered {
        /// A fault that a test injected.
        Lost {
            display("the answer was dropped by an injected fault")
        }
    }
}

quick_error! {
    /// Errors of reading a request body.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is incomplete or larger than [`MAX_BODY_BYTES`].
        Truncated {
            display("the body is incomplete or too large")
        }
        /// The body is not the expected JSON.
        Json(err: serde_json::Error) {
            display("the body violates the contract: {err}")
            from()
        }
    }
}

/// Handles the requests of one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request; an error closes the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Unanswered>> + Send;
}

/// Binds a free port of the loopback interface.
pub(crate) async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves one connection until its client closes it or `stop` is cancelled.
pub(crate) async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        served = connection => {
            if let Err(err) = served {
                log::debug!("a connection of a stand-in ended early: {err}");
            }
        }
    }
}

/// Reads a JSON body.
pub(crate) async fn read<T: DeserializeOwned>(body: Incoming) -> Result<T, BodyError> {
    let collected =
        Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| BodyError::Truncated)?;
    Ok(serde_json::from_slice(&collected.to_bytes())?)
}

/// A response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("messages of the contracts have string keys");
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let content = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content);
    reply
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
