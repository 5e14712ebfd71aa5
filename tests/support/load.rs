//! A bounded number of queries and requests, sent while a test does harm.

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
use super::fleet::PATIENCE;
use super::fleet::is_whole;
use super::wire;

/// Between two sends to one host.
const GAP: Duration = Duration::from_millis(10);

/// Sends to one host at the most, should a test forget to stop.
const MOST_SENDS: usize = 3_000;

/// Every so many sends is a non-idempotent request.
const ONCE_EVERY: usize = 5;

/// A step between keys that visits all shards.
const KEY_STEP: u32 = KEY_SPACE / 8 + 7;

/// What became of the sends.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Whole answers to queries.
    pub whole: usize,
    /// Answers to queries that miss something.
    pub partial: Vec<CallerAnswer>,
    /// Requests that ran.
    pub ran: usize,
    /// Queries and requests refused.
    pub refused: Vec<CallerAnswer>,
    /// Requests whose outcome is not known, or that failed.
    pub doubtful: Vec<CallerAnswer>,
    /// Sends whose connection broke.
    pub cut: usize,
}

/// Load in the background, one sender for each host. A sender skips its host
/// while the host does not say that it is ready, as the balancer does.
#[derive(Debug)]
pub struct RunningLoad {
    report: Arc<Mutex<LoadReport>>,
    sent: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

struct HostSender {
    front: String,
    caller: SocketAddr,
    history: History,
    queries: Vec<SearchQuery>,
    once: OnceRequest,
    number: usize,
    report: Arc<Mutex<LoadReport>>,
    sent: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl RunningLoad {
    /// Starts queries of `services` and requests of the first to all hosts.
    pub fn start(fleet: &TestFleet, services: &[&str]) -> Self {
        let mut load = Self {
            report: Arc::default(),
            sent: Arc::default(),
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
                number: 0,
                report: Arc::clone(&load.report),
                sent: Arc::clone(&load.sent),
                stop: Arc::clone(&load.stop),
            };
            load.senders.push(tokio::spawn(sender.run()));
        }
        load
    }

    /// Waits until `more` further sends were answered or cut.
    pub async fn pass(&self, more: usize) -> TestResult {
        let goal = self.sent.load(Ordering::Relaxed) + more;
        let began = Instant::now();
        while self.sent.load(Ordering::Relaxed) < goal {
            if began.elapsed() > PATIENCE {
                return Err("the load stands still".into());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// What came back since the start or the last call.
    pub fn take(&self) -> LoadReport {
        self.report.lock().map(|mut report| std::mem::take(&mut *report)).unwrap_or_default()
    }

    /// Ends the load once every answer is in; tells what came since the last
    /// [`RunningLoad::take`].
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
        while self.number < MOST_SENDS && !self.stop.load(Ordering::Relaxed) {
            tokio::time::sleep(GAP).await;
            let ready = wire::page(self.caller, "/ready").await;
            if !ready.is_ok_and(|(status, _)| status.is_success()) {
                continue;
            }
            match self.number % ONCE_EVERY {
                0 => self.send_once().await,
                _ => self.send_query().await,
            }
            self.number += 1;
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn send_query(&mut self) {
        let send = self.history.next_send();
        let query = self.queries[self.number % self.queries.len()].clone();
        let body = serde_json::to_vec(&query).unwrap_or_default();
        let front = self.front.clone();
        self.history.record(HistoryEvent::QuerySent(SentQuery { send, front, query }));
        self.exchange(send, "/v1/query", body).await;
    }

    async fn send_once(&mut self) {
        let send = self.history.next_send();
        let mut request = self.once.clone();
        request.request_id = format!("{}-{}-{}", request.request_id, self.front, self.number);
        request.key = (self.number as u32).wrapping_mul(KEY_STEP) % KEY_SPACE;
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let front = self.front.clone();
        self.history.record(HistoryEvent::OnceSent(SentOnce { send, front, request }));
        self.exchange(send, "/v1/request", body).await;
    }

    async fn exchange(&self, send: u64, path: &str, body: Vec<u8>) {
        let heard = wire::call(self.caller, Method::POST, path, body).await;
        let answer = heard.ok().and_then(|(_, body)| serde_json::from_slice(&body).ok());
        let event = match &answer {
            Some(answer) => {
                let answer: CallerAnswer = CallerAnswer::clone(answer);
                HistoryEvent::Answered { send, answer }
            }
            None => HistoryEvent::Cut { send },
        };
        self.history.record(event);
        if let Ok(mut report) = self.report.lock() {
            report.count(answer);
        }
    }
}

impl LoadReport {
    fn count(&mut self, answer: Option<CallerAnswer>) {
        let Some(answer) = answer else {
            self.cut += 1;
            return;
        };
        match answer.outcome {
            CallerOutcome::Answer if answer.coverage.is_none() => self.ran += 1,
            CallerOutcome::Answer if is_whole(&answer) => self.whole += 1,
            CallerOutcome::Answer => self.partial.push(answer),
            CallerOutcome::NotRun(_) => self.refused.push(answer),
            CallerOutcome::Unknown(_) | CallerOutcome::Failed(_) => self.doubtful.push(answer),
        }
    }

    /// Fails unless every query was whole and every request ran.
    pub fn is_spotless(&self) -> TestResult {
        let spots = [&self.partial, &self.refused, &self.doubtful];
        if self.cut == 0 && spots.iter().all(|answers| answers.is_empty()) {
            return Ok(());
        }
        Err(format!("not all went well: {self:#?}").into())
    }
}
