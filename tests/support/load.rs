//! A bounded load of queries and requests, sent in the background while a test injects faults.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::history::History;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_standin::history::SentOnce;
use hawthorn_standin::history::SentQuery;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use hyper::Method;
use tokio::task::JoinHandle;

use super::TestFleet;
use super::TestResult;
use super::fleet::WAIT_TIMEOUT;
use super::fleet::is_complete;
use super::wire;

/// Pause between two sends to one host.
const SEND_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum sends to one host, in case a test does not stop the load.
const MAX_SENDS: usize = 3_000;

/// One in this many sends is a non-idempotent request.
const ONCE_EVERY: usize = 5;

/// Step between request keys; successive keys visit all shards.
const KEY_STEP: u32 = KEY_SPACE / 8 + 7;

/// An answer received by a sender.
#[derive(Clone, Debug)]
pub struct LoadAnswer {
    /// The host that gave it.
    pub front: String,
    /// Time since the start of the history.
    pub at: Duration,
    pub answer: CallerAnswer,
}

impl fmt::Display for LoadAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { front, at, answer } = self;
        let missing = answer.coverage.as_ref().map(|coverage| coverage.missing.as_slice());
        write!(f, "{at:?} {front}: {:?} after {} ms", answer.outcome, answer.elapsed_ms)?;
        for missing in missing.unwrap_or_default() {
            write!(f, ", {} {}", missing.range, missing.reason)?;
        }
        Ok(())
    }
}

/// Outcomes of the sends.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Complete answers to queries.
    pub complete: usize,
    /// Answers to queries that lack ranges.
    pub partial: Vec<LoadAnswer>,
    /// Requests that ran.
    pub ran: usize,
    /// Queries and requests rejected.
    pub rejected: Vec<LoadAnswer>,
    /// Queries and requests whose outcome is unknown, or that failed.
    pub uncertain: Vec<LoadAnswer>,
    /// Sends whose connection broke.
    pub disconnected: usize,
}

/// Background load with one sender for each host. Like a load balancer, a sender pauses while
/// its host does not report that it is ready.
#[derive(Debug)]
pub struct RunningLoad {
    report: Arc<Mutex<LoadReport>>,
    completed: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

struct HostSender {
    front: String,
    caller: SocketAddr,
    history: History,
    queries: Vec<SearchQuery>,
    once: OnceRequest,
    send_count: usize,
    report: Arc<Mutex<LoadReport>>,
    completed: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl RunningLoad {
    /// Starts sending queries to `services` and requests to the first of them, at all hosts.
    pub fn start(fleet: &TestFleet, services: &[&str]) -> Self {
        let mut load = Self {
            report: Arc::default(),
            completed: Arc::default(),
            stop: Arc::default(),
            senders: Vec::new(),
        };
        for daemon in &fleet.daemons {
            let sender = HostSender {
                front: daemon.spec.host.clone(),
                caller: daemon.caller,
                history: fleet.history.clone(),
                queries: services.iter().map(|service| fleet.query(service)).collect(),
                once: fleet.once(services[0], 0),
                send_count: 0,
                report: Arc::clone(&load.report),
                completed: Arc::clone(&load.completed),
                stop: Arc::clone(&load.stop),
            };
            load.senders.push(tokio::spawn(sender.run()));
        }
        load
    }

    /// Waits until `more` further sends have been answered or disconnected.
    pub async fn wait_for_sends(&self, more: usize) -> TestResult {
        let expected = self.completed.load(Ordering::Relaxed) + more;
        let started = Instant::now();
        while self.completed.load(Ordering::Relaxed) < expected {
            if started.elapsed() > WAIT_TIMEOUT {
                return Err("timed out waiting for sends to complete".into());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Returns and resets the outcomes since the start or the last call.
    pub fn take_report(&self) -> LoadReport {
        self.report.lock().map(|mut report| std::mem::take(&mut *report)).unwrap_or_default()
    }

    /// Stops the load, waits for sends in flight, and returns the outcomes since the last
    /// [`RunningLoad::take_report`].
    pub async fn finish(self) -> TestResult<LoadReport> {
        self.stop.store(true, Ordering::Relaxed);
        for sender in self.senders {
            sender.await?;
        }
        let report = self.report.lock().map(|report| report.clone());
        Ok(report.unwrap_or_default())
    }
}

impl HostSender {
    async fn run(mut self) {
        while self.send_count < MAX_SENDS && !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(SEND_INTERVAL).await;
            let ready = wire::get(self.caller, "/ready").await;
            if !ready.is_ok_and(|(status, _)| status.is_success()) {
                continue;
            }
            match self.send_count % ONCE_EVERY {
                0 => self.send_once().await,
                _ => self.send_query().await,
            }
            self.send_count += 1;
            self.completed.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn send_query(&mut self) {
        let send = self.history.next_send();
        let query = self.queries[self.send_count % self.queries.len()].clone();
        let body = serde_json::to_vec(&query).unwrap_or_default();
        let front = self.front.clone();
        self.history.record(HistoryEvent::QuerySent(SentQuery { send, front, query }));
        self.exchange(send, "/v1/query", body).await;
    }

    async fn send_once(&mut self) {
        let send = self.history.next_send();
        let mut request = self.once.clone();
        request.request_id = format!("{}-{}-{}", request.request_id, self.front, self.send_count);
        request.key = (self.send_count as u32).wrapping_mul(KEY_STEP) % KEY_SPACE;
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let front = self.front.clone();
        self.history.record(HistoryEvent::OnceSent(SentOnce { send, front, request }));
        self.exchange(send, "/v1/request", body).await;
    }

    async fn exchange(&self, send: u64, path: &str, body: Vec<u8>) {
        let response = wire::call(self.caller, Method::POST, path, body).await;
        let answer = response.ok().and_then(|(_, body)| serde_json::from_slice(&body).ok());
        let event = match &answer {
            Some(answer) => {
                let answer: CallerAnswer = CallerAnswer::clone(answer);
                HistoryEvent::Answered { send, answer }
            }
            None => HistoryEvent::ConnectionLost { send },
        };
        self.history.record(event);
        if let Ok(mut report) = self.report.lock() {
            let at = self.history.now();
            report.count(answer.map(|answer| LoadAnswer { front: self.front.clone(), at, answer }));
        }
    }
}

impl LoadReport {
    fn count(&mut self, received: Option<LoadAnswer>) {
        let Some(received) = received else {
            self.disconnected += 1;
            return;
        };
        match received.answer.outcome {
            CallerOutcome::Answer if received.answer.coverage.is_none() => self.ran += 1,
            CallerOutcome::Answer if is_complete(&received.answer) => self.complete += 1,
            CallerOutcome::Answer => self.partial.push(received),
            CallerOutcome::NotRun(_) => self.rejected.push(received),
            CallerOutcome::Unknown(_) | CallerOutcome::Failed(_) => self.uncertain.push(received),
        }
    }

    /// Answers that are partial, rejected, uncertain or failed.
    fn degraded(&self) -> impl Iterator<Item = &LoadAnswer> {
        self.partial.iter().chain(&self.rejected).chain(&self.uncertain)
    }

    /// Fails unless every query was answered completely and every request ran.
    pub fn check_all_succeeded(&self) -> TestResult {
        let degraded: Vec<String> = self.degraded().map(ToString::to_string).collect();
        if self.disconnected == 0 && degraded.is_empty() {
            return Ok(());
        }
        let (complete, ran, disconnected) = (self.complete, self.ran, self.disconnected);
        let degraded = degraded.join("\n");
        Err(format!(
            "{complete} complete, {ran} ran, {disconnected} disconnected, and:\n{degraded}"
        )
        .into())
    }
}
