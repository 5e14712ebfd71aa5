//! Connections to one target: pre-opened, bounded, reused.
//!
//! Opening a connection costs up to 6 ms, and a target allows few, so the pool
//! opens a stated number ahead and never more than its limit. A connection
//! whose exchange did not end cleanly is closed, not reused: its next answer
//! could belong to the earlier request.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// A connection that carries nothing is probed after so long, and so often, by
/// the kernel. Failure: a path goes silent without a reset, and every request on
/// the connection waits for its time-out. Two probes lost end it.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
const PROBE_COUNT: u32 = 2;
/// Bytes sent that nobody acknowledges for so long end the connection: several
/// times the longest round trip between zones, with a lost packet sent again.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

quick_error! {
    /// Why an exchange with a target brought no answer.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was sent: no connection could be had in time.
        NotSent(text: String) {
            display("not sent: {text}")
        }
        /// The request was sent, and the connection broke.
        Broken(text: String) {
            display("connection lost: {text}")
        }
        /// The request was sent, and no answer came in time.
        TimedOut {
            display("no answer in time")
        }
        /// The answer is larger than the limit.
        TooLarge {
            display("answer over the limit")
        }
    }
}

/// What a pool may do.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Connections open at once, at the most: the target's limit, or half of
    /// it while another host may still own the target.
    pub connections: usize,
    /// Bytes of an answer, at the most.
    pub max_answer_bytes: usize,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
}

/// A target's answer, whole.
#[derive(Clone, Debug)]
pub struct PoolAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, within the limit.
    pub body: Bytes,
}

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// The connections to one target.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    options: Options,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<RequestSender>>,
}

impl TargetPool {
    /// A pool without connections yet.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Self {
            address,
            options,
            permits: Arc::new(Semaphore::new(options.connections.max(1))),
            idle: Mutex::default(),
        }
    }

    /// Where the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens connections until `count` are idle, as far as the limit allows.
    pub async fn warm(&self, count: usize) {
        while self.idle_count() < count {
            let Ok(_permit) = self.permits.try_acquire() else { return };
            match self.open().await {
                Ok(sender) => self.give_back(sender),
                Err(_) => return,
            }
        }
    }

    fn idle_count(&self) -> usize {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.retain(|sender| !sender.is_closed());
        idle.len()
    }

    fn give_back(&self, sender: RequestSender) {
        if !sender.is_closed() {
            self.idle.lock().expect("no holder of the lock panics").push(sender);
        }
    }

    fn take_idle(&self) -> Option<RequestSender> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }

    async fn open(&self) -> Result<RequestSender, Error> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await.map_err(|e| e.to_string())?;
            end_when_silent(&stream).map_err(|e| e.to_string())?;
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())
        };
        let (sender, connection) = tokio::time::timeout(self.options.connect_timeout, connect)
            .await
            .map_err(|_| Error::NotSent("connecting took too long".into()))?
            .map_err(Error::NotSent)?;
        // The task ends with the connection, which ends when the sender is dropped.
        tokio::spawn(async move {
            let _ended = connection.await;
        });
        Ok(sender)
    }

    /// One request of the product's own interface and its whole answer, within `timeout`.
    ///
    /// # Errors
    /// As [`TargetPool::send`].
    pub async fn exchange(
        &self,
        method: Method,
        path: &'static str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<PoolAnswer, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        self.send(request, timeout).await
    }

    /// One request and its whole answer, within `timeout`.
    ///
    /// Dropping the future closes the connection, so its answer can never
    /// reach another request.
    ///
    /// # Errors
    /// [`Error::NotSent`] is the only one that promises that the target saw nothing.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<PoolAnswer, Error> {
        let end = tokio::time::Instant::now() + timeout;
        let (_permit, mut sender) = tokio::time::timeout_at(end, self.connection())
            .await
            .map_err(|_| Error::NotSent("no free connection in time".into()))??;
        let answer = tokio::time::timeout_at(end, self.receive(&mut sender, request))
            .await
            .map_err(|_| Error::TimedOut)??;
        self.give_back(sender);
        Ok(answer)
    }

    /// Closes the idle connections.
    ///
    /// Failure: connections go silent together, and each costs a request its
    /// time-out. After one was silent the rest are not trusted.
    pub fn clear(&self) {
        self.idle.lock().expect("no holder of the lock panics").clear();
    }

    async fn connection(
        &self,
    ) -> Result<(tokio::sync::OwnedSemaphorePermit, RequestSender), Error> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|_| Error::NotSent("the pool is closed".into()))?;
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_ok() {
                return Ok((permit, sender));
            }
        }
        let mut sender = self.open().await?;
        sender.ready().await.map_err(|error| Error::NotSent(error.to_string()))?;
        Ok((permit, sender))
    }

    async fn receive(
        &self,
        sender: &mut RequestSender,
        request: Request<Full<Bytes>>,
    ) -> Result<PoolAnswer, Error> {
        let response = sender.send_request(request).await.map_err(|error| {
            // hyper cancels a request that it never wrote; anything else may have arrived.
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.options.max_answer_bytes);
        let body = body.collect().await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                Error::TooLarge
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        Ok(PoolAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}

/// Has the kernel end a connection whose path went silent.
///
/// # Errors
/// When the kernel refuses an option.
pub fn end_when_silent(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
