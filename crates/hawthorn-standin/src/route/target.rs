//! A target that runs callers' requests, with injectable faults.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::headers;
use super::operator;
use super::wire;
use super::wire::WireRequest;

/// Delay between attempts to rebind the listener.
const REBIND_DELAY: Duration = Duration::from_millis(5);

/// Faults of a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The request is rejected as not run.
    Rejected,
    /// The request waits for the given time and is rejected as not run.
    RejectedAfter(Duration),
    /// The request runs, and the connection is closed without an answer.
    Disconnect,
    /// The request runs and is never answered.
    NoAnswer,
    /// The request runs, and the connection is closed after half of the body.
    Truncated,
    /// The request runs, and the answer has the id of another attempt.
    WrongAttemptId,
    /// The request runs, and the answer is sent twice.
    DuplicateAnswer,
    /// The request runs, and an extra answer precedes its own.
    Preceded(ExtraAnswer),
    /// The request runs, and the answer has no length; the connection is closed after
    /// its body.
    NoContentLength,
    /// The request runs and is answered with status 500.
    ServerError,
    /// The request runs and is answered with this status.
    RanWithStatus(u16),
    /// The request runs and is answered with this status, and then with its own answer.
    StatusThenAnswer(u16),
    /// The request runs for the given time.
    Slow(Duration),
    /// The request runs, and the answer has a body of the given number of bytes, with a
    /// pause of the given time before its second half.
    SlowBody(usize, Duration),
    /// The request runs, and the connection is closed after half of a body of the given
    /// number of bytes.
    TruncatedBody(usize),
    /// The request runs, and bytes that are no answer follow until the caller closes.
    Endless(EndlessBytes),
}

/// Bytes that are no answer, without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBytes {
    /// Bytes that are no HTTP, without a line break.
    Noise,
    /// Empty lines in place of a head.
    EmptyLines,
    /// Interim responses (100) in place of a head.
    InterimHeads,
    /// A head with one value that never ends.
    HeaderValue,
    /// A head with more and more fields.
    HeaderFields,
    /// A body of chunks, after the head of the request's own answer.
    Chunks,
    /// A body that ends with the connection, after the head of the request's own answer.
    UnframedBody,
    /// One extension of a chunk that never ends, after the head of the request's own answer.
    ChunkExtension,
    /// The complete answer, and then noise.
    AfterAnswer,
}

impl EndlessBytes {
    /// What precedes the endless bytes, and these.
    fn encode(self, headers: &[(&str, String)], body: &[u8]) -> (Vec<u8>, Vec<u8>) {
        const REPEATED: usize = 16 * 1024;
        let fields: String =
            headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let chunked = format!("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");
        let repeat = |text: &str| text.repeat(REPEATED / text.len()).into_bytes();
        let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
        match self {
            Self::Noise => (Vec::new(), vec![0x7f; REPEATED]),
            Self::EmptyLines => (Vec::new(), repeat("\r\n")),
            Self::InterimHeads => (Vec::new(), repeat("HTTP/1.1 100 Continue\r\n\r\n")),
            Self::HeaderValue => (b"HTTP/1.1 200 OK\r\nX-Long: ".to_vec(), repeat("x")),
            Self::HeaderFields => (b"HTTP/1.1 200 OK\r\n".to_vec(), repeat("X-Field: x\r\n")),
            Self::Chunks => (chunked.into_bytes(), repeat(&chunk)),
            Self::UnframedBody => {
                (format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes(), repeat("x"))
            }
            Self::ChunkExtension => {
                ([chunked.as_bytes(), b"1;a=".as_slice()].concat(), repeat("x"))
            }
            Self::AfterAnswer => (wire::answer(200, headers, body), vec![0x7f; REPEATED]),
        }
    }
}

/// Endless bytes that a target sent until its caller closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedFlood {
    /// Time until the connection was closed.
    pub after: Duration,
    /// Bytes accepted by the operating system.
    pub bytes: usize,
}

/// An answer of another request, sent where the answer to this one is due. It reports a full
/// target that stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExtraAnswer {
    /// HTTP status.
    pub status: u16,
    /// Whether it states that its request did not run.
    pub not_run: bool,
    /// Whether it echoes the id of its request.
    pub has_id: bool,
    /// Whether it has a receipt and a body, as answers of requests that ran.
    pub has_body: bool,
}

impl ExtraAnswer {
    /// Running requests that it reports.
    pub const RUNNING: u32 = 2;
    /// Waiting requests that it reports.
    pub const WAITING: u32 = 40;

    fn encode(self, service: &str) -> Vec<u8> {
        let load = format!("{},{},2", Self::RUNNING, Self::WAITING);
        let mut response_headers = vec![(headers::LOAD, load), (headers::COLD, "60000".to_owned())];
        if self.not_run {
            response_headers.push((headers::NOT_RUN, "1".to_owned()));
        }
        if self.has_id {
            response_headers.push((headers::ATTEMPT_ID, "another".to_owned()));
        }
        let mut body = Vec::new();
        if self.has_body {
            response_headers.push((headers::RECEIPT, "t.another".to_owned()));
            body = records(service);
        }
        wire::answer(self.status, &response_headers, &body)
    }
}

#[derive(Debug)]
struct TargetState {
    id: String,
    service: String,
    next_faults: VecDeque<TargetFault>,
    permanent_fault: Option<TargetFault>,
    /// Number of runs by attempt id.
    runs: HashMap<String, usize>,
    /// The last remaining time in milliseconds by attempt id, as in the header.
    times_left: HashMap<String, String>,
    requests: Vec<(String, String, Vec<u8>)>,
    /// The headers of each request in `requests`.
    request_headers: Vec<Vec<(String, String)>>,
    cancelled: usize,
    floods: Vec<EndedFlood>,
    /// The path prefix that crashes the target, and the downtime after a crash.
    crashes_on: Option<(String, Duration)>,
    crashes: usize,
}

/// A running target. Dropping it stops the target.
#[derive(Debug)]
pub struct RouteTarget {
    address: SocketAddr,
    state: Arc<Mutex<TargetState>>,
    stop: DropGuard,
}

impl RouteTarget {
    /// Starts the target on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(id: &str, service: &str) -> std::io::Result<Self> {
        Self::start_at(id, service, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts the target at an address, which an earlier target may have used.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start_at(id: &str, service: &str, at: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(TargetState {
            id: id.to_owned(),
            service: service.to_owned(),
            next_faults: VecDeque::new(),
            permanent_fault: None,
            runs: HashMap::new(),
            times_left: HashMap::new(),
            requests: Vec::new(),
            request_headers: Vec::new(),
            cancelled: 0,
            floods: Vec::new(),
            crashes_on: None,
            crashes: 0,
        }));
        let stop = CancellationToken::new();
        let server = serve(listener, Arc::clone(&state), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(server));
        Ok(Self { address, state, stop: stop.drop_guard() })
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The entry that it registers in the store.
    pub fn entry(&self, zone: &str, state: &str) -> Vec<u8> {
        let target = self.state.lock().expect("no holder of the lock panics");
        operator::entry(&target.service, self.address, zone, state).into_bytes()
    }

    /// Injects one of these faults into each of the next requests, in order.
    pub fn fail_next(&self, faults: &[TargetFault]) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.next_faults.extend(faults);
    }

    /// Injects a fault into every request, or none.
    pub fn fail_always(&self, fault: Option<TargetFault>) {
        self.state.lock().expect("no holder of the lock panics").permanent_fault = fault;
    }

    /// Number of runs of an attempt.
    pub fn runs(&self, attempt: &str) -> usize {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.runs.get(attempt).copied().unwrap_or(0)
    }

    /// The last remaining time of an attempt, in milliseconds.
    pub fn time_left(&self, attempt: &str) -> Option<u64> {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.times_left.get(attempt)?.parse().ok()
    }

    /// Number of runs of all attempts.
    pub fn all_runs(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").runs.values().sum()
    }

    /// Number of runs that ended because the connection was closed.
    pub fn cancelled(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").cancelled
    }

    /// The endless bytes that ended because the connection was closed.
    pub fn floods(&self) -> Vec<EndedFlood> {
        self.state.lock().expect("no holder of the lock panics").floods.clone()
    }

    /// Makes requests whose path starts with `path` crash the target: it closes all
    /// connections and accepts none for `down`.
    pub fn crash_on(&self, path: &str, down: Duration) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.crashes_on = Some((path.to_owned(), down));
    }

    /// The number of crashes.
    pub fn crashes(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").crashes
    }

    /// Method, path and body of all requests that ran.
    pub fn requests(&self) -> Vec<(String, String, Vec<u8>)> {
        self.state.lock().expect("no holder of the lock panics").requests.clone()
    }

    /// The headers of all requests that ran, with lower-case names, in the order of
    /// [`RouteTarget::requests`].
    pub fn request_headers(&self) -> Vec<Vec<(String, String)>> {
        self.state.lock().expect("no holder of the lock panics").request_headers.clone()
    }

    /// Stops the target: closes its connections and releases its address.
    pub fn end(self) {
        drop(self.stop);
    }
}

async fn serve(listener: TcpListener, state: Arc<Mutex<TargetState>>, stop: CancellationToken) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listening = Some(listener);
    loop {
        let listener = match listening.take() {
            Some(listener) => listener,
            None => match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(_) => {
                    sleep(REBIND_DELAY).await;
                    continue;
                }
            },
        };
        let crash_token = stop.child_token();
        serve_until_crash(listener, &state, &crash_token).await;
        let down = {
            let state = state.lock().expect("no holder of the lock panics");
            state.crashes_on.as_ref().map_or(Duration::ZERO, |(_, down)| *down)
        };
        sleep(down).await;
    }
}

/// Accepts connections until the target crashes.
async fn serve_until_crash(
    listener: TcpListener,
    state: &Arc<Mutex<TargetState>>,
    crash_token: &CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            () = crash_token.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => return,
            },
        };
        let connection = serve_connection(stream, Arc::clone(state), crash_token.clone());
        tokio::spawn(crash_token.clone().run_until_cancelled_owned(connection));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    state: Arc<Mutex<TargetState>>,
    crash_token: CancellationToken,
) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = wire::read(&mut stream, &mut buffer).await {
        let (fault, id) = {
            let mut state = state.lock().expect("no holder of the lock panics");
            let permanent_fault = state.permanent_fault;
            (state.next_faults.pop_front().or(permanent_fault), state.id.clone())
        };
        let expected = request.header(headers::EXPECTED_TARGET);
        let attempt = request.header(headers::ATTEMPT_ID).unwrap_or("-").to_owned();
        let echo = (headers::ATTEMPT_ID, attempt);
        if expected.is_some_and(|expected| expected != id) {
            let response_headers = [(headers::TARGET_ID, id), echo];
            if stream.write_all(&wire::answer(421, &response_headers, b"")).await.is_err() {
                return;
            }
            continue;
        }
        let rejected_after = match fault {
            Some(TargetFault::Rejected) => Some(Duration::ZERO),
            Some(TargetFault::RejectedAfter(delay)) => Some(delay),
            _ => None,
        };
        if let Some(delay) = rejected_after {
            sleep(delay).await;
            let response_headers = [(headers::NOT_RUN, "1".to_owned()), echo];
            if stream.write_all(&wire::answer(503, &response_headers, b"")).await.is_err() {
                return;
            }
            continue;
        }
        record_run(&state, &request);
        if crashes(&state, &request) {
            crash_token.cancel();
            return;
        }
        if !run(&mut stream, &state, &request, fault).await {
            return;
        }
    }
}

/// Whether the request crashes the target; counts the crash if so.
fn crashes(state: &Mutex<TargetState>, request: &WireRequest) -> bool {
    let mut state = state.lock().expect("no holder of the lock panics");
    let crashes =
        state.crashes_on.as_ref().is_some_and(|(path, _)| request.target.starts_with(path));
    state.crashes += usize::from(crashes);
    crashes
}

fn record_run(state: &Mutex<TargetState>, request: &WireRequest) {
    let mut state = state.lock().expect("no holder of the lock panics");
    let attempt = request.header(headers::ATTEMPT_ID).unwrap_or("-").to_owned();
    if let Some(time_left) = request.header(headers::TIME_LEFT) {
        state.times_left.insert(attempt.clone(), time_left.to_owned());
    }
    *state.runs.entry(attempt).or_default() += 1;
    state.request_headers.push(request.all_headers.clone());
    state.requests.push((request.method.clone(), request.target.clone(), request.body.clone()));
}

/// Runs and answers a request; returns false when the connection must be closed.
async fn run(
    stream: &mut TcpStream,
    state: &Mutex<TargetState>,
    request: &WireRequest,
    fault: Option<TargetFault>,
) -> bool {
    let (id, service) = {
        let state = state.lock().expect("no holder of the lock panics");
        (state.id.clone(), state.service.clone())
    };
    if let Some(TargetFault::Slow(time)) = fault {
        let mut byte = [0; 1];
        tokio::select! {
            () = sleep(time) => {}
            _ = stream.read(&mut byte) => {
                state.lock().expect("no holder of the lock panics").cancelled += 1;
                return false;
            }
        }
    }
    let attempt = request.header(headers::ATTEMPT_ID).unwrap_or("-");
    let answered_attempt =
        if fault == Some(TargetFault::WrongAttemptId) { "another" } else { attempt };
    let headers = [
        (headers::RECEIPT, format!("{id}.{attempt}")),
        (headers::ATTEMPT_ID, answered_attempt.to_owned()),
        (headers::LOAD, "1,0,2".to_owned()),
    ];
    let body = records(&service);
    let status = match fault {
        Some(TargetFault::ServerError) => 500,
        Some(TargetFault::RanWithStatus(status)) => status,
        _ => 200,
    };
    let answer = wire::answer(status, &headers, &body);
    let sent = match fault {
        Some(TargetFault::Disconnect) => return false,
        Some(TargetFault::NoAnswer) => std::future::pending().await,
        Some(TargetFault::Truncated) => {
            // The caller of this function closes the connection.
            let _sent = stream.write_all(&answer[..answer.len() - body.len() / 2]).await;
            return false;
        }
        Some(TargetFault::NoContentLength) => {
            let text = String::from_utf8_lossy(&answer).into_owned();
            let unframed = text.replacen("Content-Length", "X-Length", 1);
            let _sent = stream.write_all(unframed.as_bytes()).await;
            return false;
        }
        Some(TargetFault::SlowBody(bytes, pause)) => {
            let answer = wire::answer(200, &headers, &vec![b'x'; bytes]);
            let (first, second) = answer.split_at(answer.len() / 2);
            if stream.write_all(first).await.is_err() {
                return false;
            }
            sleep(pause).await;
            stream.write_all(second).await
        }
        Some(TargetFault::Endless(endless)) => {
            let (first, repeated) = endless.encode(&headers, &body);
            let flood = send_without_end(stream, &first, &repeated).await;
            state.lock().expect("no holder of the lock panics").floods.push(flood);
            return false;
        }
        Some(TargetFault::TruncatedBody(bytes)) => {
            let answer = wire::answer(200, &headers, &vec![b'x'; bytes]);
            let _sent = stream.write_all(&answer[..answer.len() / 2]).await;
            return false;
        }
        Some(TargetFault::DuplicateAnswer) => {
            stream.write_all(&[&answer[..], &answer].concat()).await
        }
        Some(TargetFault::StatusThenAnswer(status)) => {
            let first = wire::answer(status, &headers, &body);
            stream.write_all(&[first, answer].concat()).await
        }
        Some(TargetFault::Preceded(extra)) => {
            stream.write_all(&[extra.encode(&service), answer].concat()).await
        }
        _ => stream.write_all(&answer).await,
    };
    sent.is_ok()
}

/// Sends until the caller closes the connection.
async fn send_without_end(stream: &mut TcpStream, first: &[u8], repeated: &[u8]) -> EndedFlood {
    /// Leaves the processor to the host under test.
    const GAP: Duration = Duration::from_millis(1);
    let started = Instant::now();
    let mut bytes = 0;
    let mut next = first;
    while stream.write_all(next).await.is_ok() {
        bytes += next.len();
        next = repeated;
        sleep(GAP).await;
    }
    EndedFlood { after: started.elapsed(), bytes }
}

/// The body that targets of a service answer with: three records and a remainder.
pub fn records(service: &str) -> Vec<u8> {
    let mut body = Vec::new();
    for number in 0..3 {
        let text = format!("{number}{service:.<15.15}");
        body.extend_from_slice(text.as_bytes());
    }
    body.extend_from_slice(b"rest");
    body
}
