//! A single run of a schedule.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_types::CallerOutcome;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use quick_error::quick_error;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout;

use super::environment::DaemonControl;
use super::environment::LoadEnvironment;
use super::report::LoadReport;
use super::report::Sample;
use super::report::SampleOutcome;
use super::scenario::LoadScenario;
use super::schedule;
use super::schedule::PlannedKind;
use super::schedule::PlannedRequest;
use super::schedule::ScheduleOptions;
use super::tier::QueryTier;
use super::tier::TierResponse;
use crate::check;
use crate::corpus::Corpus;
use crate::history::History;
use crate::history::HistoryEvent;
use crate::history::SentOnce;
use crate::history::SentQuery;
use crate::timer;

/// Time beyond the deadline after which a caller times out.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Pause between the restarts of two daemons in a rolling restart.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// A zone is partitioned during the second of this many equal parts of the run.
const PARTITION_PARTS: u32 = 3;

quick_error! {
    /// Errors of starting a run.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The scenario stops daemons, but no daemon control is available.
        NeedsDaemons(scenario: LoadScenario) {
            display("scenario {scenario} requires daemon control")
        }
        /// The tier has no entry host.
        NoFront {
            display("the tier has no entry host")
        }
    }
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The schedule.
    pub schedule: ScheduleOptions,
    /// The service to search.
    pub service: String,
    /// Deadline of each request in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of matches per search.
    pub limit: u32,
    /// Maximum number of requests in flight; further ones are not sent and counted as
    /// not offered.
    pub in_flight: usize,
    /// Whether a non-idempotent request whose answer was lost is resent once, unchanged,
    /// to the next entry host.
    pub resend_lost: bool,
    /// The history of the run, shared with the targets.
    pub history: History,
    /// The documents to check answers against.
    pub corpora: Vec<Arc<Corpus>>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            schedule: ScheduleOptions::default(),
            service: "agent-desk".to_owned(),
            deadline_ms: 500,
            limit: 20,
            in_flight: 4096,
            resend_lost: true,
            history: History::default(),
            corpora: Vec::new(),
        }
    }
}

/// Runs the schedule against `tier` and reports the results.
pub async fn run(
    policy: &str,
    tier: Arc<dyn QueryTier>,
    environment: &dyn LoadEnvironment,
    daemons: Option<&dyn DaemonControl>,
    options: &Options,
) -> Result<LoadReport, Error> {
    let scenario = options.schedule.scenario;
    let fronts = tier.fronts();
    if fronts.is_empty() {
        return Err(Error::NoFront);
    }
    if scenario.needs_daemons() && daemons.is_none() {
        return Err(Error::NeedsDaemons(scenario));
    }
    let attempts_before = environment.attempts(&options.service).await;
    let start = options.history.now();
    environment.begin(scenario).await;
    let load = Load { tier, fronts, options: options.clone(), start: Instant::now() };
    let (samples, ()) =
        tokio::join!(send_schedule(Arc::new(load)), inject_daemon_faults(daemons, options));
    environment.end().await;
    let attempts = environment.attempts(&options.service).await.saturating_sub(attempts_before);
    let check_options =
        check::Options { corpora: options.corpora.clone(), ..check::Options::default() };
    // The entire history is checked, as a target may have started draining before the run.
    let mut violations = check::check(&options.history.records(), &check_options);
    violations.retain(|violation| violation.at >= start);
    let shards = environment.shards(&options.service);
    Ok(LoadReport::new(policy, &options.schedule, &samples, attempts, shards, &violations))
}

/// Applies the daemon faults of the scenario during the run.
async fn inject_daemon_faults(daemons: Option<&dyn DaemonControl>, options: &Options) {
    let Some(daemons) = daemons else { return };
    let duration = options.schedule.duration;
    match options.schedule.scenario {
        LoadScenario::RollingRestart => {
            for daemon in daemons.daemons() {
                options.history.record(HistoryEvent::StopStarted { daemon: daemon.clone() });
                daemons.restart(&daemon).await;
                options.history.record(HistoryEvent::Started { daemon });
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        }
        LoadScenario::ZoneCut => {
            tokio::time::sleep(duration / PARTITION_PARTS).await;
            daemons.cut_zone(true).await;
            tokio::time::sleep(duration / PARTITION_PARTS).await;
            daemons.cut_zone(false).await;
        }
        _ => {}
    }
}

struct Load {
    tier: Arc<dyn QueryTier>,
    fronts: Vec<String>,
    options: Options,
    start: Instant,
}

/// Sends each request at its scheduled time, regardless of earlier ones (open loop).
async fn send_schedule(load: Arc<Load>) -> Vec<Sample> {
    let planned = schedule::schedule(&load.options.schedule);
    let mut samples = Vec::with_capacity(planned.len());
    let mut in_flight = JoinSet::new();
    for (number, request) in planned.into_iter().enumerate() {
        let due = load.start + request.at;
        timer::sleep_until(due.into_std()).await;
        while let Some(sample) = in_flight.try_join_next() {
            samples.push(sample);
        }
        // Bounds memory and sockets. Requests that are not sent are counted, so that the
        // report shows them.
        if in_flight.len() >= load.options.in_flight {
            samples.push(Ok(sample(&request, due, SampleOutcome::NotOffered)));
            continue;
        }
        let load = Arc::clone(&load);
        in_flight.spawn(async move { load.send(number, &request, due).await });
    }
    while let Some(sample) = in_flight.join_next().await {
        samples.push(sample);
    }
    samples.into_iter().map(|sample| sample.expect("sends neither panic nor are aborted")).collect()
}

impl Load {
    async fn send(&self, number: usize, request: &PlannedRequest, due: Instant) -> Sample {
        let outcome = match &request.kind {
            PlannedKind::Search { .. } => self.search(number, request).await,
            PlannedKind::Once { key } => self.once(number, request, *key).await,
        };
        // Measured from the scheduled time, so that a slow generator shows as latency.
        sample(request, due, outcome)
    }

    /// Sends a search. If connecting fails, nothing was sent, and the next entry host is
    /// tried, as a load balancer does.
    async fn search(&self, number: usize, request: &PlannedRequest) -> SampleOutcome {
        for front in self.fronts_from(number) {
            let send = self.options.history.next_send();
            let query = self.search_query(send, request);
            let sent = SentQuery { send, front: self.fronts[front].clone(), query };
            self.options.history.record(HistoryEvent::QuerySent(sent.clone()));
            let response =
                timeout(self.response_timeout(), self.tier.query(front, &sent.query)).await;
            let outcome =
                self.record_response(send, response.unwrap_or(TierResponse::ConnectionLost));
            if outcome != SampleOutcome::NotSent {
                return outcome;
            }
        }
        SampleOutcome::NotSent
    }

    async fn once(&self, number: usize, request: &PlannedRequest, key: u32) -> SampleOutcome {
        let once = self.once_request(request, key);
        let outcome = self.send_once(number, &once).await;
        if self.options.resend_lost && outcome == SampleOutcome::ConnectionLost {
            return self.send_once(number + 1, &once).await;
        }
        outcome
    }

    /// Sends a non-idempotent request, as [`search`](Self::search) does.
    async fn send_once(&self, number: usize, once: &OnceRequest) -> SampleOutcome {
        for front in self.fronts_from(number) {
            let send = self.options.history.next_send();
            let name = self.fronts[front].clone();
            let sent = SentOnce { send, front: name, request: once.clone() };
            self.options.history.record(HistoryEvent::OnceSent(sent));
            let response = timeout(self.response_timeout(), self.tier.once(front, once)).await;
            let outcome =
                self.record_response(send, response.unwrap_or(TierResponse::ConnectionLost));
            if outcome != SampleOutcome::NotSent {
                return outcome;
            }
        }
        SampleOutcome::NotSent
    }

    /// The indices of all entry hosts, starting at `first`.
    fn fronts_from(&self, first: usize) -> impl Iterator<Item = usize> {
        let count = self.fronts.len();
        (0..count).map(move |offset| (first + offset) % count)
    }

    fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.options.deadline_ms) + CALLER_TIMEOUT_MARGIN
    }

    fn record_response(&self, send: u64, response: TierResponse) -> SampleOutcome {
        match response {
            TierResponse::Answered(answer) => {
                let coverage = answer.coverage.as_ref().map_or(1.0, |coverage| coverage.fraction);
                let outcome = match answer.outcome {
                    CallerOutcome::Answer => SampleOutcome::Answered { coverage },
                    CallerOutcome::NotRun(reason) => SampleOutcome::NotRun(reason),
                    CallerOutcome::Unknown(_) => SampleOutcome::Unknown,
                    CallerOutcome::Failed(_) => SampleOutcome::Failed,
                };
                self.options.history.record(HistoryEvent::Answered { send, answer: *answer });
                outcome
            }
            TierResponse::ConnectionLost => {
                self.options.history.record(HistoryEvent::ConnectionLost { send });
                SampleOutcome::ConnectionLost
            }
            TierResponse::NotSent => SampleOutcome::NotSent,
        }
    }

    fn search_query(&self, send: u64, request: &PlannedRequest) -> SearchQuery {
        let (text, urgency) = match &request.kind {
            PlannedKind::Search { text, urgency } => (text.clone(), *urgency),
            PlannedKind::Once { .. } => Default::default(),
        };
        SearchQuery {
            caller: self.options.schedule.callers[request.caller].clone(),
            service: self.options.service.clone(),
            text,
            range: None,
            limit: self.options.limit,
            deadline_ms: self.options.deadline_ms,
            urgency,
            request_id: Some(format!("{}-{send}", unix_seconds())),
        }
    }

    fn once_request(&self, request: &PlannedRequest, key: u32) -> OnceRequest {
        let number = self.options.history.next_send();
        OnceRequest {
            caller: self.options.schedule.callers[request.caller].clone(),
            service: self.options.service.clone(),
            key,
            body: format!("confirm order {number}"),
            deadline_ms: self.options.deadline_ms,
            request_id: format!("{}-order-{number}", unix_seconds()),
        }
    }
}

fn sample(request: &PlannedRequest, due: Instant, outcome: SampleOutcome) -> Sample {
    let search = matches!(request.kind, PlannedKind::Search { .. });
    Sample { caller: request.caller, search, latency: due.elapsed(), outcome }
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
