//! A target with a few slots, a short queue and a limit on connections, whose faults have doses.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorn_standin::route::headers;
use hawthorn_standin::route::wire;
use hawthorn_standin::route::wire::WireRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::RouteKind;
use crate::history::ArrivalOutcome;
use crate::history::HistoryRecorder;
use crate::history::RequestKey;
use crate::history::TargetArrival;
use crate::history::TargetKey;

/// Number of requests that wait for a slot; further ones are rejected.
const MAX_QUEUE: usize = 6;
/// Longest work relative to the mean; work is exponentially distributed below it.
const MAX_WORK_RATIO: f64 = 5.0;
/// Work of a slow target relative to that of others, at the greatest dose.
const MAX_SLOWDOWN: f64 = 12.0;
/// Time after which a connection without a request is closed.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time after which a request that states no time left is no longer worked on.
const MAX_TIME_LEFT: Duration = Duration::from_secs(60);
/// Number of records of a shard's part.
const PART_RECORDS: usize = 3;
/// Time between attempts to listen at an address that an earlier target has just left.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Number of these attempts.
const MAX_BIND_RETRIES: usize = 200;

/// Shares of requests that faults concern, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetDoses {
    /// Rejected as not run.
    pub reject: f64,
    /// Strength of the slowdown of all requests.
    pub slow: f64,
    /// Run, and the answer ends too early.
    pub truncate: f64,
    /// Run, and bytes follow that are no answer.
    pub garble: f64,
    /// Answered twice, whether run or rejected.
    pub duplicate: f64,
    /// Run, and answered without an attempt id.
    pub no_id: f64,
    /// Run, and the answer to another request is sent.
    pub other_id: f64,
    /// Run and never answered.
    pub silent: f64,
    /// Run, and the connection is closed.
    pub disconnect: f64,
    /// Run and answered with status 500.
    pub error: f64,
    /// Run and answered with a status that promises the contrary.
    pub false_promise: f64,
}

/// What does not change while a target runs.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Its key in the history.
    pub key: TargetKey,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Mean duration of the work.
    pub work: Duration,
    /// Number of connections beyond which further ones are reset.
    pub max_connections: usize,
    /// Seed of the work and the faults.
    pub seed: u64,
}

/// A running target. Dropping it closes its connections and releases its address.
#[derive(Debug)]
pub struct SoakTarget {
    key: TargetKey,
    address: SocketAddr,
    doses: Arc<Mutex<TargetDoses>>,
    _stop: DropGuard,
}

impl SoakTarget {
    /// Starts a target at an address, which an earlier target may just have left.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        spec: TargetSpec,
        address: SocketAddr,
        recorder: &HistoryRecorder,
    ) -> std::io::Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let doses: Arc<Mutex<TargetDoses>> = Arc::default();
        let key = spec.key;
        let server = Arc::new(TargetServer {
            slots: Semaphore::new(spec.slots),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(spec.seed)),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            doses: Arc::clone(&doses),
            recorder: recorder.clone(),
            spec,
        });
        let accepting = accept(server, listener, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self { key, address, doses, _stop: stop.drop_guard() })
    }

    /// Its key in the history.
    pub fn key(&self) -> TargetKey {
        self.key
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the doses of its faults.
    pub fn dose(&self, change: impl FnOnce(&mut TargetDoses)) {
        change(&mut self.doses.lock().expect("no holder of the lock panics"));
    }
}

async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if retries == MAX_BIND_RETRIES => return Err(error),
            Err(_) => retries += 1,
        }
        sleep(BIND_RETRY_DELAY).await;
    }
}

/// The receipt of a target for a request.
pub fn receipt(target: TargetKey, attempt_id: &str) -> String {
    format!("{}.{attempt_id}", target.id())
}

/// The target and the attempt id of a receipt.
pub fn parse_receipt(receipt: &str) -> Option<(TargetKey, &str)> {
    let (target, attempt_id) = receipt.split_once('.')?;
    Some((TargetKey::parse(target)?, attempt_id))
}

/// The body with which a target answers a request of a route.
pub fn body(route: RouteKind, target: TargetKey, attempt_id: &str) -> Vec<u8> {
    if route == RouteKind::Gathered {
        let mut part = records(target, attempt_id).concat().into_bytes();
        part.extend_from_slice(b"rest");
        return part;
    }
    let line = format!("{} {attempt_id}\n", target.id());
    let hash = xxh3_64(line.as_bytes());
    // A few bodies exceed what one read of a socket returns.
    let lines = if hash.is_multiple_of(32) { 2000 } else { 1 + hash as usize % 40 };
    line.repeat(lines).into_bytes()
}

/// The records of a shard's part, 16 bytes each.
pub fn records(target: TargetKey, attempt_id: &str) -> Vec<String> {
    let record = |number: usize| {
        let text = format!("{} {attempt_id} {number}", target.id());
        format!("{:016x}", xxh3_64(text.as_bytes()))
    };
    (0..PART_RECORDS).map(record).collect()
}

struct TargetServer {
    spec: TargetSpec,
    slots: Semaphore,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    doses: Arc<Mutex<TargetDoses>>,
    rng: Mutex<ChaCha8Rng>,
    recorder: HistoryRecorder,
}

/// How a copy of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyTiming {
    AtOnce,
    Delayed(Duration),
    /// In front of the answer to the next request on the connection.
    BeforeNext,
}

/// The faults of one request.
#[derive(Clone, Copy, Debug)]
struct RequestFaults {
    doses: TargetDoses,
    reject: bool,
    copy: Option<CopyTiming>,
    /// Decides which fault of the answer applies.
    sample: f64,
    work: Duration,
}

/// What differs in the answer to a request that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFault {
    /// The time of its caller ended during the work.
    Expired,
    Truncated,
    Garbled,
    NoId,
    OtherId,
    Silent,
    Disconnected,
    Error,
    FalsePromise,
}

impl RequestFaults {
    /// The fault of the answer, if there is one.
    fn of_answer(&self) -> Option<AnswerFault> {
        let TargetDoses { truncate, garble, no_id, other_id, .. } = self.doses;
        let TargetDoses { silent, disconnect, error, false_promise, .. } = self.doses;
        let shares = [
            (truncate, AnswerFault::Truncated),
            (garble, AnswerFault::Garbled),
            (no_id, AnswerFault::NoId),
            (other_id, AnswerFault::OtherId),
            (silent, AnswerFault::Silent),
            (disconnect, AnswerFault::Disconnected),
            (error, AnswerFault::Error),
            (false_promise, AnswerFault::FalsePromise),
        ];
        let mut left = self.sample;
        for (share, fault) in shares {
            if left < share {
                return Some(fault);
            }
            left -= share;
        }
        None
    }
}

/// Whether a connection can be used for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Keep,
    Close,
}

/// A connection with the bytes that were read ahead, and a copy of an answer that is due.
struct TargetConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    due_copy: Option<Vec<u8>>,
}

async fn accept(server: Arc<TargetServer>, listener: TcpListener, stop: CancellationToken) {
    loop {
        // An error concerns one connection that ended before it was accepted.
        let Ok((stream, _)) = listener.accept().await else { continue };
        let open = server.connections.fetch_add(1, Ordering::Relaxed);
        let (server, stop) = (Arc::clone(&server), stop.clone());
        tokio::spawn(async move {
            if open < server.spec.max_connections {
                let connection = TargetConnection { stream, buffer: Vec::new(), due_copy: None };
                stop.run_until_cancelled(server.serve(connection)).await;
            } else {
                // With a linger time of zero, closing sends a reset; fails if the peer has left.
                let _reset = stream.set_zero_linger();
            }
            server.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl TargetServer {
    async fn serve(&self, mut connection: TargetConnection) {
        while let Ok(Ok(Some(request))) =
            timeout(IDLE_TIME, wire::read(&mut connection.stream, &mut connection.buffer)).await
        {
            if self.handle(&mut connection, &request).await == ConnectionUse::Close {
                return;
            }
        }
    }

    async fn handle(
        &self,
        connection: &mut TargetConnection,
        request: &WireRequest,
    ) -> ConnectionUse {
        let attempt_id = request.header(headers::ATTEMPT_ID).unwrap_or_default();
        let id = self.spec.key.id();
        let echo = (headers::ATTEMPT_ID, attempt_id.to_owned());
        let arrival = self.recorder.arrive(self.arrival(request));
        if request.header(headers::EXPECTED_TARGET).is_some_and(|expected| expected != id) {
            self.recorder.decide(arrival, ArrivalOutcome::Misdirected);
            let answer = wire::answer(421, &[(headers::TARGET_ID, id), echo], b"");
            return connection.send(&answer, None).await;
        }
        let faults = self.faults();
        let rejection = wire::answer(503, &[(headers::NOT_RUN, "1".to_owned()), echo], b"");
        if faults.reject || self.is_full() {
            self.recorder.decide(arrival, ArrivalOutcome::Rejected);
            return connection.send(&rejection, faults.copy).await;
        }
        let mut expiry = pin!(sleep(time_left(request).unwrap_or(MAX_TIME_LEFT)));
        let waiting = WaitingRequest::new(&self.waiting);
        let slot = tokio::select! {
            biased;
            slot = self.slots.acquire() => slot,
            () = connection.closed() => {
                self.recorder.decide(arrival, ArrivalOutcome::Dropped);
                return ConnectionUse::Close;
            }
            () = expiry.as_mut() => {
                self.recorder.decide(arrival, ArrivalOutcome::Rejected);
                return connection.send(&rejection, faults.copy).await;
            }
        };
        drop(waiting);
        let _slot = slot.expect("the semaphore is never closed");
        let at = self.recorder.now();
        self.recorder.decide(arrival, ArrivalOutcome::Ran { at, status: None });
        let fault = tokio::select! {
            biased;
            () = sleep(faults.work) => faults.of_answer(),
            () = expiry.as_mut() => Some(AnswerFault::Expired),
            () = connection.closed() => return ConnectionUse::Close,
        };
        let status = self.status(fault);
        self.recorder.decide(arrival, ArrivalOutcome::Ran { at, status: Some(status) });
        self.answer(connection, request, status, fault, faults.copy).await
    }

    /// Sends the answer to a request that ran, or what a fault makes of it.
    async fn answer(
        &self,
        connection: &mut TargetConnection,
        request: &WireRequest,
        status: u16,
        fault: Option<AnswerFault>,
        copy: Option<CopyTiming>,
    ) -> ConnectionUse {
        let attempt_id = request.header(headers::ATTEMPT_ID).unwrap_or_default();
        let route = route(request);
        let encode = |attempt_id: &str| {
            let mut answer_headers = vec![
                (headers::RECEIPT, receipt(self.spec.key, attempt_id)),
                (headers::LOAD, self.load()),
                ("keep-alive", format!("timeout={}", IDLE_TIME.as_secs())),
            ];
            if fault != Some(AnswerFault::NoId) {
                answer_headers.push((headers::ATTEMPT_ID, attempt_id.to_owned()));
            }
            let body = route.map(|route| body(route, self.spec.key, attempt_id));
            wire::answer(status, &answer_headers, &body.unwrap_or_default())
        };
        let answer = encode(attempt_id);
        match fault {
            Some(AnswerFault::Silent) => {
                connection.closed().await;
                ConnectionUse::Close
            }
            Some(AnswerFault::Disconnected) => ConnectionUse::Close,
            Some(AnswerFault::Truncated) => {
                connection.send(&answer[..answer.len() - answer.len() / 4], None).await;
                ConnectionUse::Close
            }
            Some(AnswerFault::Garbled) => connection.send(b"\x15\x03garbled\r\n\r\n", None).await,
            Some(AnswerFault::OtherId) => {
                let other = RequestKey::parse(attempt_id).map_or(0, |key| key.0.saturating_sub(1));
                connection.send(&encode(&RequestKey(other).attempt_id()), None).await
            }
            _ => connection.send(&answer, copy).await,
        }
    }

    /// The status of the answer to a request that ran.
    fn status(&self, fault: Option<AnswerFault>) -> u16 {
        match fault {
            Some(AnswerFault::Expired) => 504,
            Some(AnswerFault::Error) => 500,
            Some(AnswerFault::FalsePromise) => {
                let mut rng = self.rng.lock().expect("no holder of the lock panics");
                [503, 429, 408][rng.random_range(0..3)]
            }
            _ => 200,
        }
    }

    fn arrival(&self, request: &WireRequest) -> TargetArrival {
        let attempt_id = request.header(headers::ATTEMPT_ID).unwrap_or_default();
        let key = RequestKey::parse(attempt_id);
        let sent = key.zip(route(request));
        let unchanged = sent.is_some_and(|(key, route)| {
            request.method == route.method()
                && request.target == route.path(key)
                && request.body == route.body(key).as_bytes()
        });
        TargetArrival {
            target: self.spec.key,
            at: self.recorder.now(),
            request: key,
            altered: !unchanged,
            time_left_ms: time_left(request).map(|left| left.as_millis() as u64),
            customer: request.header(headers::CUSTOMER).map(str::to_owned),
            has_key: request.header(headers::KEY).is_some(),
            outcome: ArrivalOutcome::Waiting,
        }
    }

    fn is_full(&self) -> bool {
        self.slots.available_permits() == 0 && self.waiting.load(Ordering::Relaxed) >= MAX_QUEUE
    }

    fn load(&self) -> String {
        let running = self.spec.slots.saturating_sub(self.slots.available_permits());
        format!("{running},{},{}", self.waiting.load(Ordering::Relaxed), self.spec.slots)
    }

    fn faults(&self) -> RequestFaults {
        let doses = *self.doses.lock().expect("no holder of the lock panics");
        let mut rng = self.rng.lock().expect("no holder of the lock panics");
        let ratio = -(1.0 - rng.random_range(0.0..1.0_f64)).ln();
        let slowdown = 1.0 + doses.slow * (MAX_SLOWDOWN - 1.0);
        let work = self.spec.work.mul_f64(ratio.min(MAX_WORK_RATIO) * slowdown);
        let timing = match rng.random_range(0..3) {
            0 => CopyTiming::AtOnce,
            1 => CopyTiming::Delayed(Duration::from_millis(rng.random_range(1..60))),
            _ => CopyTiming::BeforeNext,
        };
        let copy = rng.random_bool(doses.duplicate).then_some(timing);
        let reject = rng.random_bool(doses.reject);
        RequestFaults { doses, reject, copy, sample: rng.random(), work }
    }
}

impl TargetConnection {
    /// Sends an answer, after the copy of an earlier one that is due, and a copy of it.
    async fn send(&mut self, answer: &[u8], copy: Option<CopyTiming>) -> ConnectionUse {
        let mut bytes = self.due_copy.take().unwrap_or_default();
        bytes.extend_from_slice(answer);
        match copy {
            Some(CopyTiming::AtOnce) => bytes.extend_from_slice(answer),
            Some(CopyTiming::BeforeNext) => self.due_copy = Some(answer.to_vec()),
            Some(CopyTiming::Delayed(_)) | None => {}
        }
        if self.stream.write_all(&bytes).await.is_err() {
            return ConnectionUse::Close;
        }
        let Some(CopyTiming::Delayed(delay)) = copy else { return ConnectionUse::Keep };
        sleep(delay).await;
        match self.stream.write_all(answer).await {
            Ok(()) => ConnectionUse::Keep,
            Err(_) => ConnectionUse::Close,
        }
    }

    /// Completes when the peer has closed the connection.
    async fn closed(&mut self) {
        while let Ok(1..) = self.stream.read_buf(&mut self.buffer).await {}
    }
}

fn route(request: &WireRequest) -> Option<RouteKind> {
    RouteKind::iter().find(|route| request.target.starts_with(&route.prefix()))
}

fn time_left(request: &WireRequest) -> Option<Duration> {
    let millis: f64 = request.header(headers::TIME_LEFT)?.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Counts a request that waits for a slot, until it is dropped.
struct WaitingRequest<'a>(&'a AtomicUsize);

impl<'a> WaitingRequest<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
