//! Connection pool for one target: bounded, opened ahead, reused.
//!
//! Opening a connection takes up to 6 ms, and a target accepts few, so the pool opens a
//! configured number ahead and never exceeds its limit. A connection whose exchange did
//! not end cleanly is closed, not reused: the next answer read from it could belong to the
//! earlier request. The same holds if the answer belongs to another request, which only the
//! reader of the answer can tell, so it has to accept each answer before the connection is
//! reused.
//!
//! An answer is buffered up to a configured number of bytes, so that the request can be
//! retried if the connection breaks; the part beyond is streamed.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod driven;
mod head_limit;
mod remaining;

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderMap;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::driven::DrivenSender;
pub use crate::remaining::RemainingBody;

/// Idle time before the first TCP keepalive probe, and interval between probes.
///
/// Without probes, every request on a connection whose network path drops packets
/// without a reset would wait for its timeout.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the kernel closes the connection:
/// several times the longest round trip between zones, including a retransmission.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Statuses of final answers. The HTTP library rejects those below 100 and skips interim ones, but
/// not 101, which no request here asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

quick_error! {
    /// Why an exchange with a target returned no answer.
    #[derive(Debug)]
    pub enum Error {
        /// Nothing was sent: no connection was available in time.
        NotSent(text: String) {
            display("not sent: {text}")
        }
        /// The request was sent, and the connection broke.
        Broken(text: String) {
            display("connection lost: {text}")
        }
        /// The request was sent, and the answer did not arrive in time.
        TimedOut {
            display("no answer in time")
        }
        /// The answer is larger than the limit.
        TooLarge {
            display("answer over the limit")
        }
    }
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of open connections: the target's limit, or half of it while
    /// another host may still own the target.
    pub max_connections: usize,
    /// Bytes of an answer that are buffered. The part beyond is streamed.
    pub max_buffered_bytes: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
}

/// A target's answer, whose connection is not reused before the answer is accepted.
///
/// Dropping it closes the connection: if a target sends an extra answer, the answer to this
/// request is the next one on the connection, and would be read as the answer to another.
#[derive(Debug)]
pub struct UnverifiedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// The part of the body that is not buffered.
    incoming: Option<Incoming>,
    busy: BusySender,
}

/// A target's answer.
#[derive(Debug)]
pub struct PoolAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The buffered part of the body; the full body if `remaining` is `None`.
    pub body: Bytes,
    /// The part of the body that exceeds the buffer limit.
    pub remaining: Option<RemainingBody>,
}

/// Open connections without an exchange.
#[derive(Debug, Default)]
struct IdleSenders(Mutex<Vec<DrivenSender>>);

impl IdleSenders {
    fn count(&self) -> usize {
        self.remove_closed();
        self.0.lock().expect("no holder of the lock panics").len()
    }

    fn remove_closed(&self) {
        let mut idle = self.0.lock().expect("no holder of the lock panics");
        idle.retain_mut(|sender| !sender.is_closed());
    }

    fn put(&self, mut sender: DrivenSender) {
        if !sender.is_closed() {
            self.0.lock().expect("no holder of the lock panics").push(sender);
        }
    }

    fn take(&self) -> Option<DrivenSender> {
        let mut idle = self.0.lock().expect("no holder of the lock panics");
        while let Some(mut sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn clear(&self) {
        self.0.lock().expect("no holder of the lock panics").clear();
    }
}

/// A connection reserved for one exchange. Returns to the pool only if the exchange ended
/// cleanly or was never started.
#[derive(Debug)]
pub struct PoolConnection {
    /// `None` while an exchange is in progress and after one that ended uncleanly.
    sender: Option<DrivenSender>,
    keep_alive: bool,
    idle: Arc<IdleSenders>,
    max_buffered_bytes: usize,
    _permit: OwnedSemaphorePermit,
}

impl Drop for PoolConnection {
    fn drop(&mut self) {
        // Without an exchange the connection is still clean.
        if let Some(sender) = self.sender.take() {
            self.idle.put(sender);
        }
    }
}

/// A connection with an exchange in progress.
#[derive(Debug)]
struct BusySender {
    sender: DrivenSender,
    connection: PoolConnection,
}

impl BusySender {
    /// Returns the connection to the pool after a clean exchange.
    fn release(self) {
        let Self { sender, mut connection } = self;
        if connection.keep_alive {
            connection.sender = Some(sender);
        }
    }
}

impl PoolConnection {
    /// Sends a request and returns its answer, buffered up to the limit. The request is
    /// written in the first poll.
    ///
    /// Dropping the future closes the connection, so its answer can never be taken for
    /// another request's.
    ///
    /// # Errors
    /// Only [`Error::NotSent`] guarantees that the target did not receive the request.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<UnverifiedAnswer, Error> {
        let already_released = || Error::NotSent("the connection was already released".into());
        let sender = self.sender.take().ok_or_else(already_released)?;
        let max_buffered_bytes = self.max_buffered_bytes;
        let mut busy = BusySender { sender, connection: self };
        let response = busy.sender.send(request).await.map_err(|error| {
            // hyper cancels a request that it never wrote; after any other error the target may
            // have received it.
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        let (head, mut incoming) = response.into_parts();
        // Dropping the connection also drops what follows such an answer.
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            return Err(Error::Broken(format!("status {} is not final", head.status.as_u16())));
        }
        let is_end_stated = is_end_stated(&head.headers, &incoming);
        let (body, complete) =
            busy.sender.drive(buffer_body(&mut incoming, max_buffered_bytes)).await?;
        if complete && body.is_empty() && !is_end_stated {
            return Err(Error::Broken("neither a length nor a body after the head".into()));
        }
        let incoming = (!complete).then_some(incoming);
        Ok(UnverifiedAnswer { status: head.status, headers: head.headers, body, incoming, busy })
    }
}

/// A pool of connections to one target.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    options: Options,
    permits: Arc<Semaphore>,
    idle: Arc<IdleSenders>,
    keep_alive: AtomicBool,
}

impl TargetPool {
    /// Creates a pool without opening connections.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Self {
            address,
            options,
            permits: Arc::new(Semaphore::new(options.max_connections.max(1))),
            idle: Arc::default(),
            keep_alive: AtomicBool::new(true),
        }
    }

    /// Sets whether connections stay open after their exchange; initially they do. If more
    /// hosts use a target than it accepts connections, hosts that use it rarely keep none
    /// open.
    pub fn set_keep_alive(&self, keep_alive: bool) {
        self.keep_alive.store(keep_alive, Ordering::Relaxed);
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens connections until `count` are idle or the limit is reached.
    pub async fn warm(&self, count: usize) {
        while self.idle.count() < count {
            let Ok(_permit) = self.permits.try_acquire() else { return };
            match self.open().await {
                Ok(sender) => self.idle.put(sender),
                Err(_) => return,
            }
        }
    }

    async fn open(&self) -> Result<DrivenSender, Error> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await.map_err(|e| e.to_string())?;
            enable_dead_peer_detection(&stream).map_err(|e| e.to_string())?;
            DrivenSender::handshake(stream).await.map_err(|e| e.to_string())
        };
        tokio::time::timeout(self.options.connect_timeout, connect)
            .await
            .map_err(|_| Error::NotSent("connecting took too long".into()))?
            .map_err(Error::NotSent)
    }

    /// Sends a request of the product's own API and returns its answer, fully buffered,
    /// within `timeout`.
    ///
    /// # Errors
    /// Those of [`TargetPool::send`], and [`Error::TooLarge`] if the answer exceeds the
    /// buffer limit.
    pub async fn exchange(
        &self,
        method: Method,
        path: &'static str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<UnverifiedAnswer, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        self.send(request, timeout).await?.collect(self.options.max_buffered_bytes).await
    }

    /// Sends a request and returns its answer, buffered up to the limit, within `timeout`.
    /// The timeout does not cover the remaining body; its reader sets one.
    ///
    /// Dropping the future closes the connection, so its answer can never be taken for
    /// another request's.
    ///
    /// # Errors
    /// Only [`Error::NotSent`] guarantees that the target did not receive the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<UnverifiedAnswer, Error> {
        let deadline = tokio::time::Instant::now() + timeout;
        let connection = tokio::time::timeout_at(deadline, self.acquire())
            .await
            .map_err(|_| Error::NotSent("no free connection in time".into()))??;
        tokio::time::timeout_at(deadline, connection.send(request))
            .await
            .map_err(|_| Error::TimedOut)?
    }

    /// Closes the idle connections.
    ///
    /// A network path may fail for all connections at once, and each of them would cost
    /// one request its timeout. So after the first timeout the idle ones are closed as
    /// well.
    pub fn clear(&self) {
        self.idle.clear();
    }

    /// Closes the idle connections that the target has closed.
    ///
    /// Those used last are used first, so that the others would stay half-closed after a peak of
    /// the load, and keep their descriptors.
    pub fn sweep(&self) {
        self.idle.remove_closed();
    }

    /// Waits for an idle connection or opens one within the limit.
    ///
    /// Handles a slow target, for whose few connections requests queue here. Build the
    /// request after this returns: the wait reduces the time left until its deadline, and
    /// its caller may have cancelled it.
    ///
    /// # Errors
    /// [`Error::NotSent`] if no connection could be opened.
    pub async fn acquire(&self) -> Result<PoolConnection, Error> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|_| Error::NotSent("the pool is closed".into()))?;
        let max_buffered_bytes = self.options.max_buffered_bytes;
        let keep_alive = self.keep_alive.load(Ordering::Relaxed);
        let reserve = |sender| {
            let idle = Arc::clone(&self.idle);
            PoolConnection {
                sender: Some(sender),
                keep_alive,
                idle,
                max_buffered_bytes,
                _permit: permit,
            }
        };
        while let Some(mut sender) = self.idle.take() {
            if sender.ready().await.is_ok() {
                return Ok(reserve(sender));
            }
        }
        let mut sender = self.open().await?;
        sender.ready().await.map_err(|error| Error::NotSent(error.to_string()))?;
        Ok(reserve(sender))
    }
}

/// Whether an answer states where its body ends. Otherwise it ends with its connection, which does
/// not tell an empty body from a target that stopped after the head.
fn is_end_stated(headers: &HeaderMap, incoming: &Incoming) -> bool {
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        // A status or method without a body.
        || incoming.is_end_stream()
}

/// Reads a body until its end or until more than `max_bytes` are buffered. The flag is true
/// if the body ended.
async fn buffer_body(incoming: &mut Incoming, max_bytes: usize) -> Result<(Bytes, bool), Error> {
    let mut first = Bytes::new();
    let mut buffered = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        // Nearly all answers arrive as one frame, which is not copied.
        if first.is_empty() && buffered.is_empty() {
            first = data;
        } else {
            if buffered.is_empty() {
                buffered.extend_from_slice(&first);
            }
            buffered.extend_from_slice(&data);
        }
        if first.len().max(buffered.len()) > max_bytes {
            break;
        }
    }
    let body = if buffered.is_empty() { first } else { buffered.freeze() };
    let complete = body.len() <= max_bytes;
    Ok((body, complete))
}

impl UnverifiedAnswer {
    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The buffered part of the body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Reads the remaining body.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if the body exceeds `max_bytes`, [`Error::Broken`] if the
    /// connection breaks before its end.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Self, Error> {
        let left = max_bytes.checked_sub(self.body.len()).ok_or(Error::TooLarge)?;
        let Some(mut incoming) = self.incoming.take() else { return Ok(self) };
        let (remaining, complete) =
            self.busy.sender.drive(buffer_body(&mut incoming, left)).await?;
        if !complete {
            return Err(Error::TooLarge);
        }
        self.body = [&self.body[..], &remaining].concat().into();
        Ok(self)
    }

    /// Accepts the answer if it has no body, and returns its status; for calls whose answers are
    /// the only ones of the target without a body.
    pub fn accept_empty(self) -> Option<StatusCode> {
        self.body.is_empty().then(|| self.accept().status)
    }

    /// Accepts the answer as the one to the request. Its connection returns to the pool, after
    /// the remaining body if there is one.
    pub fn accept(self) -> PoolAnswer {
        let Self { status, headers, body, incoming, busy } = self;
        let remaining = match incoming {
            Some(incoming) => Some(RemainingBody::new(incoming, busy)),
            None => {
                busy.release();
                None
            }
        };
        PoolAnswer { status, headers, body, remaining }
    }
}

/// Disables Nagle's algorithm, and has the kernel close a connection whose peer no longer
/// responds.
///
/// # Errors
/// If the kernel rejects a socket option.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
