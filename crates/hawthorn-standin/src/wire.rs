//! HTTP plumbing shared by the stand-ins: a loopback listener, JSON in and out.

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

/// Largest request body a stand-in reads, above the platform's largest value
/// with every byte escaped.
pub(crate) const BODY_LIMIT: usize = 8 << 20;

/// What a stand-in answers with.
pub(crate) type Reply = Response<Full<Bytes>>;

quick_error! {
    /// Why a request gets no answer: its connection is closed instead.
    #[derive(Debug)]
    pub enum Unanswered {
        /// Asked for by a test.
        Lost {
            display("the answer is lost on purpose")
        }
    }
}

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// It broke off or is larger than [`BODY_LIMIT`].
        Cut {
            display("the body broke off or is too large")
        }
        /// It is not the JSON expected.
        Json(err: serde_json::Error) {
            display("the body is not what the contract says: {err}")
            from()
        }
    }
}

/// Answers the requests of one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request; an error closes the connection unanswered.
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
    let collected = Limited::new(body, BODY_LIMIT).collect().await.map_err(|_| BodyError::Cut)?;
    Ok(serde_json::from_slice(&collected.to_bytes())?)
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("the messages of the contracts have string keys");
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let content = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content);
    reply
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
