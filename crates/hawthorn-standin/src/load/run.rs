//! One run of a schedule.

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
use super::report::SampleEnd;
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

/// How much longer than its deadline a caller waits before it gives up.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);
/// Pause between two daemons of a rolling restart.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// A zone is cut off from one third of the run to two thirds.
const CUT_PARTS: u32 = 3;

quick_error! {
    /// Why a run could not be made.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The scenario stops daemons, and there is no control of them.
        NeedsDaemons(scenario: LoadScenario) {
            display("{scenario} needs control of the daemons")
        }
        /// There is nobody to ask.
        NoFront {
            display("the tier has no entry point")
        }
    }
}

/// How to make a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The schedule.
    pub schedule: ScheduleOptions,
    /// The service to search.
    pub service: String,
    /// Milliseconds each caller waits.
    pub deadline_ms: u64,
    /// Matches asked for.
    pub limit: u32,
    /// Requests under way at once; more are not offered and are counted.
    pub in_flight: usize,
    /// Whether a non-idempotent request whose answer was lost is sent once more,
    /// unchanged, to the next entry host.
    pub resend_lost: bool,
    /// Where the run is recorded; the same as the targets'.
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

/// Runs the schedule against `tier` and reports what came of it.
pub async fn run(
    policy: &str,
    tier: Arc<dyn QueryTier>,
    stage: &dyn LoadEnvironment,
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
    let attempts = stage.attempts(&options.service).await;
    let began = options.history.now();
    stage.begin(scenario).await;
    let load = Load { tier, fronts, options: options.clone(), start: Instant::now() };
    let (samples, ()) = tokio::join!(offer(Arc::new(load)), disturb(daemons, options));
    stage.end().await;
    let attempts = stage.attempts(&options.service).await.saturating_sub(attempts);
    let check_options =
        check::Options { corpora: options.corpora.clone(), ..check::Options::default() };
    // The whole history is read, since a target may have begun to leave before.
    let mut broken = check::check(&options.history.records(), &check_options);
    broken.retain(|violation| violation.at >= began);
    let shards = stage.shards(&options.service);
    Ok(LoadReport::new(policy, &options.schedule, &samples, attempts, shards, &broken))
}

/// What a scenario does to daemons while the load runs.
async fn disturb(daemons: Option<&dyn DaemonControl>, options: &Options) {
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
            tokio::time::sleep(duration / CUT_PARTS).await;
            daemons.cut_zone(true).await;
            tokio::time::sleep(duration / CUT_PARTS).await;
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

/// Sends each request when its time has come, however slow earlier ones are.
async fn offer(load: Arc<Load>) -> Vec<Sample> {
    let planned = schedule::schedule(&load.options.schedule);
    let mut samples = Vec::with_capacity(planned.len());
    let mut under_way = JoinSet::new();
    for (number, request) in planned.into_iter().enumerate() {
        let due = load.start + request.at;
        timer::sleep_until(due.into_std()).await;
        while let Some(sample) = under_way.try_join_next() {
            samples.push(sample);
        }
        // Memory and sockets of one machine are bounded; what is not offered
        // is counted, so that a report never hides it.
        if under_way.len() >= load.options.in_flight {
            samples.push(Ok(sample(&request, due, SampleEnd::NotOffered)));
            continue;
        }
        let load = Arc::clone(&load);
        under_way.spawn(async move { load.send(number, &request, due).await });
    }
    while let Some(sample) = under_way.join_next().await {
        samples.push(sample);
    }
    samples
        .into_iter()
        .map(|sample| sample.expect("a send neither panics nor is aborted"))
        .collect()
}

impl Load {
    async fn send(&self, number: usize, request: &PlannedRequest, due: Instant) -> Sample {
        let end = match &request.kind {
            PlannedKind::Search { .. } => self.search(number, request).await,
            PlannedKind::Once { key } => self.once(number, request, *key).await,
        };
        // Measured from when it was due, so that a slow generator shows as latency.
        sample(request, due, end)
    }

    /// Sends a search, to the next entry host as long as none could be
    /// connected to: a balancer does the same, and nothing was sent.
    async fn search(&self, number: usize, request: &PlannedRequest) -> SampleEnd {
        for front in self.fronts_from(number) {
            let send = self.options.history.next_send();
            let query = self.search_query(send, request);
            let sent = SentQuery { send, front: self.fronts[front].clone(), query };
            self.options.history.record(HistoryEvent::QuerySent(sent.clone()));
            let heard = timeout(self.patience(), self.tier.query(front, &sent.query)).await;
            let end = self.hear(send, heard.unwrap_or(TierResponse::ConnectionLost));
            if end != SampleEnd::NotSent {
                return end;
            }
        }
        SampleEnd::NotSent
    }

    async fn once(&self, number: usize, request: &PlannedRequest, key: u32) -> SampleEnd {
        let once = self.once_request(request, key);
        let end = self.send_once(number, &once).await;
        if self.options.resend_lost && end == SampleEnd::Cut {
            return self.send_once(number + 1, &once).await;
        }
        end
    }

    /// Sends a non-idempotent request, as [`search`](Self::search) does.
    async fn send_once(&self, number: usize, once: &OnceRequest) -> SampleEnd {
        for front in self.fronts_from(number) {
            let send = self.options.history.next_send();
            let name = self.fronts[front].clone();
            let sent = SentOnce { send, front: name, request: once.clone() };
            self.options.history.record(HistoryEvent::OnceSent(sent));
            let heard = timeout(self.patience(), self.tier.once(front, once)).await;
            let end = self.hear(send, heard.unwrap_or(TierResponse::ConnectionLost));
            if end != SampleEnd::NotSent {
                return end;
            }
        }
        SampleEnd::NotSent
    }

    /// Every entry host once, from number `first` on.
    fn fronts_from(&self, first: usize) -> impl Iterator<Item = usize> {
        let count = self.fronts.len();
        (0..count).map(move |offset| (first + offset) % count)
    }

    fn patience(&self) -> Duration {
        Duration::from_millis(self.options.deadline_ms) + CALLER_PATIENCE
    }

    fn hear(&self, send: u64, heard: TierResponse) -> SampleEnd {
        match heard {
            TierResponse::Answered(answer) => {
                let coverage = answer.coverage.as_ref().map_or(1.0, |coverage| coverage.fraction);
                let end = match answer.outcome {
                    CallerOutcome::Answer => SampleEnd::Answered { coverage },
                    CallerOutcome::NotRun(reason) => SampleEnd::NotRun(reason),
                    CallerOutcome::Unknown(_) => SampleEnd::Unknown,
                    CallerOutcome::Failed(_) => SampleEnd::Failed,
                };
                self.options.history.record(HistoryEvent::Answered { send, answer: *answer });
                end
            }
            TierResponse::ConnectionLost => {
                self.options.history.record(HistoryEvent::ConnectionLost { send });
                SampleEnd::Cut
            }
            TierResponse::NotSent => SampleEnd::NotSent,
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

fn sample(request: &PlannedRequest, due: Instant, end: SampleEnd) -> Sample {
    let search = matches!(request.kind, PlannedKind::Search { .. });
    Sample { caller: request.caller, search, latency: due.elapsed(), end }
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
