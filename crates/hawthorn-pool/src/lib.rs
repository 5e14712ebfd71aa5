//! Connections to one target: pre-opened, bounded, reused.
//!
//! Opening a connection costs up to 6 ms, and a target allows few, so the pool
//! opens a stated number ahead and never more than its limit. A connection
//! whose exchange did not end cleanly is closed, not reused: its next answer
//! could belong to the earlier request.
//!
//! An answer is held as far as a stated number of bytes, so that one that breaks
//! can be asked for again; what is longer is handed on as it comes.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod driven;
mod remaining;

use std::net::SocketAddr;
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
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::driven::DrivenSender;
pub use crate::remaining::RemainingBody;

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
    pub max_connections: usize,
    /// Bytes of an answer that are held. What is longer comes as its rest.
    pub max_buffered_bytes: usize,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
}

/// A target's answer.
#[derive(Debug)]
pub struct PoolAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, or as much of it as is held.
    pub body: Bytes,
    /// The rest of a body that is longer.
    pub remaining: Option<RemainingBody>,
}

/// Connections that carry nothing at the moment.
#[derive(Debug, Default)]
struct IdleSenders(Mutex<Vec<DrivenSender>>);

impl IdleSenders {
    fn count(&self) -> usize {
        let mut idle = self.0.lock().expect("no holder of the lock panics");
        idle.retain_mut(|sender| !sender.is_closed());
        idle.len()
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

/// A connection that is one exchange's: goes back only when that ended cleanly, or
/// was not begun.
#[derive(Debug)]
pub struct PoolConnection {
    /// Taken when the connection goes back, or is the exchange's to the end.
    sender: Option<DrivenSender>,
    kept: bool,
    idle: Arc<IdleSenders>,
    max_buffered_bytes: usize,
    _permit: OwnedSemaphorePermit,
}

impl Drop for PoolConnection {
    fn drop(&mut self) {
        // One that carried nothing is as good as before.
        if let Some(sender) = self.sender.take() {
            self.idle.put(sender);
        }
    }
}

/// A connection while it carries an exchange.
#[derive(Debug)]
struct BusySender {
    sender: DrivenSender,
    connection: PoolConnection,
}

impl BusySender {
    /// The exchange ended cleanly.
    fn give_back(self) {
        let Self { sender, mut connection } = self;
        if connection.kept {
            connection.sender = Some(sender);
        }
    }
}

impl PoolConnection {
    /// One request and its answer: whole, or as far as it is held. The request is
    /// written when this is polled first.
    ///
    /// Dropping the future closes the connection, so its answer can never
    /// reach another request.
    ///
    /// # Errors
    /// [`Error::NotSent`] is the only one that promises that the target saw nothing.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<PoolAnswer, Error> {
        let gone = || Error::NotSent("the connection was given back".into());
        let sender = self.sender.take().ok_or_else(gone)?;
        let max_buffered_bytes = self.max_buffered_bytes;
        let mut busy = BusySender { sender, connection: self };
        let response = busy.sender.send(request).await.map_err(|error| {
            // hyper cancels a request that it never wrote; anything else may have arrived.
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        let (head, mut incoming) = response.into_parts();
        let (body, whole) = busy.sender.drive(hold(&mut incoming, max_buffered_bytes)).await?;
        let rest = if whole {
            busy.give_back();
            None
        } else {
            Some(RemainingBody::new(incoming, busy))
        };
        Ok(PoolAnswer { status: head.status, headers: head.headers, body, remaining: rest })
    }
}

/// The connections to one target.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    options: Options,
    permits: Arc<Semaphore>,
    idle: Arc<IdleSenders>,
    kept: AtomicBool,
}

impl TargetPool {
    /// A pool without connections yet.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Self {
            address,
            options,
            permits: Arc::new(Semaphore::new(options.max_connections.max(1))),
            idle: Arc::default(),
            kept: AtomicBool::new(true),
        }
    }

    /// Whether connections stay open after their exchange, as they do at first. Where
    /// more hosts use a target than it accepts connections, those that use it seldom
    /// keep none.
    pub fn set_keep_alive(&self, kept: bool) {
        self.kept.store(kept, Ordering::Relaxed);
    }

    /// Where the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens connections until `count` are idle, as far as the limit allows.
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
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())
        };
        let (sender, connection) = tokio::time::timeout(self.options.connect_timeout, connect)
            .await
            .map_err(|_| Error::NotSent("connecting took too long".into()))?
            .map_err(Error::NotSent)?;
        Ok(DrivenSender::new(sender, connection))
    }

    /// One request of the product's own interface and its whole answer of at most
    /// as many bytes as are held, within `timeout`.
    ///
    /// # Errors
    /// As [`TargetPool::send`], and [`Error::TooLarge`].
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
        self.send(request, timeout).await?.collect(self.options.max_buffered_bytes).await
    }

    /// One request and its answer, within `timeout`: whole, or as far as it is
    /// held. How long the rest may take is for its reader to say.
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
        let connection = tokio::time::timeout_at(end, self.acquire())
            .await
            .map_err(|_| Error::NotSent("no free connection in time".into()))??;
        tokio::time::timeout_at(end, connection.send(request)).await.map_err(|_| Error::TimedOut)?
    }

    /// Closes the idle connections.
    ///
    /// Failure: connections go silent together, and each costs a request its
    /// time-out. After one was silent the rest are not trusted.
    pub fn clear(&self) {
        self.idle.clear();
    }

    /// A connection for one exchange, once one of the few is free or opened.
    ///
    /// Load: a target is slow, and requests wait here for the connections that it
    /// accepts. What is sent is best made when this returns: the time that it may
    /// take is less by the wait, and its caller may have left.
    ///
    /// # Errors
    /// [`Error::NotSent`].
    pub async fn acquire(&self) -> Result<PoolConnection, Error> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|_| Error::NotSent("the pool is closed".into()))?;
        let max_buffered_bytes = self.options.max_buffered_bytes;
        let kept = self.kept.load(Ordering::Relaxed);
        let ready = |sender| {
            let idle = Arc::clone(&self.idle);
            PoolConnection { sender: Some(sender), kept, idle, max_buffered_bytes, _permit: permit }
        };
        while let Some(mut sender) = self.idle.take() {
            if sender.ready().await.is_ok() {
                return Ok(ready(sender));
            }
        }
        let mut sender = self.open().await?;
        sender.ready().await.map_err(|error| Error::NotSent(error.to_string()))?;
        Ok(ready(sender))
    }
}

/// Reads a body until its end, or until more than `most` bytes are held; true
/// when it has ended.
async fn hold(incoming: &mut Incoming, most: usize) -> Result<(Bytes, bool), Error> {
    let mut first = Bytes::new();
    let mut held = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        // Nearly all answers come in one piece, which is not copied.
        if first.is_empty() && held.is_empty() {
            first = data;
        } else {
            if held.is_empty() {
                held.extend_from_slice(&first);
            }
            held.extend_from_slice(&data);
        }
        if first.len().max(held.len()) > most {
            break;
        }
    }
    let body = if held.is_empty() { first } else { held.freeze() };
    let whole = body.len() <= most;
    Ok((body, whole))
}

impl PoolAnswer {
    /// The whole answer, if it has at most `most` bytes.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if it has more, [`Error::Broken`] if its rest does not come.
    pub async fn collect(self, most: usize) -> Result<Self, Error> {
        if self.body.len() > most {
            return Err(Error::TooLarge);
        }
        let Some(mut rest) = self.remaining else { return Ok(self) };
        let mut body = BytesMut::from(&self.body[..]);
        while let Some(frame) = rest.frame().await {
            if let Ok(data) = frame?.into_data() {
                body.extend_from_slice(&data);
            }
            if body.len() > most {
                return Err(Error::TooLarge);
            }
        }
        Ok(Self { body: body.freeze(), remaining: None, ..self })
    }
}

/// Has the kernel end a connection whose path went silent.
///
/// # Errors
/// When the kernel refuses an option.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
