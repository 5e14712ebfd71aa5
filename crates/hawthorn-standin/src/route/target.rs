//! A target that runs callers' requests, and the ways in which it may not.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

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

/// What a target does to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// It says that it is full and did not run it.
    Rejected,
    /// It runs it and breaks the connection off.
    Disconnect,
    /// It runs it and answers nothing.
    NoAnswer,
    /// It runs it and answers half of what it announced.
    Truncated,
    /// It runs it and answers with another request's id.
    WrongAttemptId,
    /// It runs it, answers, and sends the answer a second time.
    DuplicateAnswer,
    /// It runs it and answers without a length, ending with the connection.
    NoContentLength,
    /// It runs it and answers with a failure of its own.
    ServerError,
    /// It runs it, and is so long about it.
    Slow(Duration),
    /// It runs it and answers with so many bytes, the second half of them later
    /// by the time.
    SlowBody(usize, Duration),
    /// It runs it, announces so many bytes, and breaks off after half of them.
    TruncatedBody(usize),
}

#[derive(Debug)]
struct TargetState {
    id: String,
    service: String,
    faults: VecDeque<TargetFault>,
    always: Option<TargetFault>,
    /// How often each of the callers' tries was run.
    runs: HashMap<String, usize>,
    /// The time that each was handed last, in milliseconds, as it was written.
    times_left: HashMap<String, String>,
    requests: Vec<(String, String, Vec<u8>)>,
    cancelled: usize,
    /// The path prefix on which the target crashes, and its downtime.
    crashes_on: Option<(String, Duration)>,
    crashes: usize,
}

/// One target; stops when it is dropped.
#[derive(Debug)]
pub struct RouteTarget {
    address: SocketAddr,
    state: Arc<Mutex<TargetState>>,
    stop: DropGuard,
}

impl RouteTarget {
    /// Starts on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be listened on.
    pub async fn start(id: &str, service: &str) -> std::io::Result<Self> {
        Self::start_at(id, service, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts at an address, which another may have had before.
    ///
    /// # Errors
    /// When it cannot be listened on.
    pub async fn start_at(id: &str, service: &str, at: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(TargetState {
            id: id.to_owned(),
            service: service.to_owned(),
            faults: VecDeque::new(),
            always: None,
            runs: HashMap::new(),
            times_left: HashMap::new(),
            requests: Vec::new(),
            cancelled: 0,
            crashes_on: None,
            crashes: 0,
        }));
        let stop = CancellationToken::new();
        let serving = serve(listener, Arc::clone(&state), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
        Ok(Self { address, state, stop: stop.drop_guard() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it registers as.
    pub fn entry(&self, zone: &str, state: &str) -> Vec<u8> {
        let held = self.state.lock().expect("no holder of the lock panics");
        operator::entry(&held.service, self.address, zone, state).into_bytes()
    }

    /// Has the next requests meet these faults, one each.
    pub fn fail_next(&self, faults: &[TargetFault]) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.faults.extend(faults);
    }

    /// Has every request meet a fault, or none.
    pub fn fail_always(&self, fault: Option<TargetFault>) {
        self.state.lock().expect("no holder of the lock panics").always = fault;
    }

    /// How often a caller's try was run.
    pub fn runs(&self, attempt: &str) -> usize {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.runs.get(attempt).copied().unwrap_or(0)
    }

    /// The time that a caller's try was handed last, in milliseconds.
    pub fn time_left(&self, attempt: &str) -> Option<u64> {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.times_left.get(attempt)?.parse().ok()
    }

    /// Runs of all tries.
    pub fn all_runs(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").runs.values().sum()
    }

    /// Runs that ended because the connection was closed.
    pub fn cancelled(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").cancelled
    }

    /// Makes the target crash on requests whose path starts with `path`: it closes all
    /// connections and accepts none for the duration `down`.
    pub fn crash_on(&self, path: &str, down: Duration) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.crashes_on = Some((path.to_owned(), down));
    }

    /// The number of crashes.
    pub fn crashes(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").crashes
    }

    /// Method, path and body of every request that it ran.
    pub fn requests(&self) -> Vec<(String, String, Vec<u8>)> {
        self.state.lock().expect("no holder of the lock panics").requests.clone()
    }

    /// Ends it: its connections are closed and its address is free.
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
        let holding = hold(stream, Arc::clone(state), crash_token.clone());
        tokio::spawn(crash_token.clone().run_until_cancelled_owned(holding));
    }
}

async fn hold(
    mut stream: TcpStream,
    state: Arc<Mutex<TargetState>>,
    crash_token: CancellationToken,
) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = wire::read(&mut stream, &mut buffer).await {
        let (fault, id) = {
            let mut state = state.lock().expect("no holder of the lock panics");
            let always = state.always;
            (state.faults.pop_front().or(always), state.id.clone())
        };
        let expected = request.header(headers::EXPECTED_TARGET);
        if expected.is_some_and(|expected| expected != id) {
            let names = [(headers::TARGET_ID, id)];
            if stream.write_all(&wire::answer(421, &names, b"")).await.is_err() {
                return;
            }
            continue;
        }
        if fault == Some(TargetFault::Rejected) {
            let says = [(headers::NOT_RUN, "1".to_owned())];
            if stream.write_all(&wire::answer(503, &says, b"")).await.is_err() {
                return;
            }
            continue;
        }
        note_run(&state, &request);
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

fn note_run(state: &Mutex<TargetState>, request: &WireRequest) {
    let mut state = state.lock().expect("no holder of the lock panics");
    let attempt = request.header(headers::ATTEMPT_ID).unwrap_or("-").to_owned();
    if let Some(left) = request.header(headers::TIME_LEFT) {
        state.times_left.insert(attempt.clone(), left.to_owned());
    }
    *state.runs.entry(attempt).or_default() += 1;
    state.requests.push((request.method.clone(), request.target.clone(), request.body.clone()));
}

/// Answers a request; false when the connection is over.
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
        let mut rest = [0; 1];
        tokio::select! {
            () = sleep(time) => {}
            _ = stream.read(&mut rest) => {
                state.lock().expect("no holder of the lock panics").cancelled += 1;
                return false;
            }
        }
    }
    let attempt = request.header(headers::ATTEMPT_ID).unwrap_or("-");
    let echoed = if fault == Some(TargetFault::WrongAttemptId) { "another" } else { attempt };
    let headers = [
        (headers::RECEIPT, format!("{id}.{attempt}")),
        (headers::ATTEMPT_ID, echoed.to_owned()),
        (headers::LOAD, "1,0,2".to_owned()),
    ];
    let body = records(&service);
    let status = if fault == Some(TargetFault::ServerError) { 500 } else { 200 };
    let answer = wire::answer(status, &headers, &body);
    let sent = match fault {
        Some(TargetFault::Disconnect) => return false,
        Some(TargetFault::NoAnswer) => std::future::pending().await,
        Some(TargetFault::Truncated) => {
            // The connection ends with this function's caller.
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
        Some(TargetFault::TruncatedBody(bytes)) => {
            let answer = wire::answer(200, &headers, &vec![b'x'; bytes]);
            let _sent = stream.write_all(&answer[..answer.len() / 2]).await;
            return false;
        }
        Some(TargetFault::DuplicateAnswer) => {
            stream.write_all(&[&answer[..], &answer].concat()).await
        }
        _ => stream.write_all(&answer).await,
    };
    sent.is_ok()
}

/// What a service's targets answer: three records and a remainder.
pub fn records(service: &str) -> Vec<u8> {
    let mut body = Vec::new();
    for place in 0..3 {
        let text = format!("{place}{service:.<15.15}");
        body.extend_from_slice(text.as_bytes());
    }
    body.extend_from_slice(b"rest");
    body
}
