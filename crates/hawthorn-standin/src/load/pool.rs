//! Bounded pool of HTTP/1.1 connections to one address, with waiting requests served in
//! the order of arrival.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

quick_error! {
    /// Reasons why a request has no answer.
    #[derive(Debug)]
    pub enum Error {
        /// Connecting failed; nothing was sent.
        Connect(err: io::Error) {
            display("cannot connect: {err}")
            source(err)
            from()
        }
        /// A new connection was closed before anything was sent.
        Closed {
            display("the connection was closed immediately")
        }
        /// The connection was lost, or the answer was too large, after the request was
        /// sent.
        ConnectionLost {
            display("the connection was lost before the answer was complete")
        }
    }
}

/// Whether a connection was taken from the pool or newly opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionOrigin {
    Idle,
    New,
}

/// A connection pool for one address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
    limit: Arc<Semaphore>,
}

impl ConnectionPool {
    /// A pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self { address, idle: Arc::default(), limit: Arc::new(Semaphore::new(limit)) }
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Posts `body` as JSON when a connection is available.
    pub async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<(StatusCode, Bytes), Error> {
        let body = serde_json::to_vec(body).expect("messages of the contracts have string keys");
        self.send(Method::POST, path, body).await
    }

    /// Sends `body` when a connection is available.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Error> {
        let _permit = self.limit.acquire().await.expect("the semaphore is never closed");
        let body = Bytes::from(body);
        loop {
            let (mut sender, origin) = self.connection().await?;
            let request = self.request(&method, path, body.clone());
            let response = match sender.send_request(request).await {
                Ok(response) => response,
                // The server had closed the idle connection. Nothing was written, so the
                // request is sent on another connection.
                Err(err) if err.is_canceled() && origin == ConnectionOrigin::Idle => continue,
                Err(err) if err.is_canceled() => return Err(Error::Closed),
                Err(_) => return Err(Error::ConnectionLost),
            };
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let bytes = body.collect().await.map_err(|_| Error::ConnectionLost)?.to_bytes();
            self.lock().push(sender);
            return Ok((status, bytes));
        }
    }

    fn request(&self, method: &Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("paths of the contracts are valid")
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// Returns an idle connection that is still open, or opens a new one.
    async fn connection(&self) -> Result<(SendRequest<Full<Bytes>>, ConnectionOrigin), Error> {
        loop {
            let idle = self.lock().pop();
            let Some(mut sender) = idle else { break };
            if sender.ready().await.is_ok() {
                return Ok((sender, ConnectionOrigin::Idle));
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Error::Closed)?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("a connection of the load generator ended early: {err}");
            }
        });
        Ok((sender, ConnectionOrigin::New))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SendRequest<Full<Bytes>>>> {
        self.idle.lock().expect("no holder of the lock panics")
    }
}
