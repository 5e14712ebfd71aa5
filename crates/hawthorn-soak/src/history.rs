//! What callers, targets and the store saw in one run.
//!
//! All times are durations since the start of the run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::catalog::RouteKind;
use crate::catalog::SoakVersion;
use crate::plan::FaultKind;

/// One request of a caller; a retry is another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u32);

/// One host; it keeps its key when it is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostKey(pub u16);

/// One incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(pub u16);

impl RequestKey {
    /// The attempt id that names the request on the wire.
    pub fn attempt_id(self) -> String {
        format!("r{:07}", self.0)
    }

    /// The request that an attempt id names, if it has the form of one.
    pub fn parse(attempt_id: &str) -> Option<Self> {
        let number = attempt_id.strip_prefix('r')?.parse().ok()?;
        (Self(number).attempt_id() == attempt_id).then_some(Self(number))
    }
}

impl TargetKey {
    /// The id under which the target is registered.
    pub fn id(self) -> String {
        format!("i{:04}", self.0)
    }

    /// The target that an id names, if it has the form of one.
    pub fn parse(id: &str) -> Option<Self> {
        let number = id.strip_prefix('i')?.parse().ok()?;
        (Self(number).id() == id).then_some(Self(number))
    }
}

/// Everything that was seen in one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SoakHistory {
    /// The start of the run in seconds by the clock of the hosts' logs.
    pub log_start: f64,
    /// Requests in the order of their keys.
    pub requests: Vec<SentRequest>,
    /// Arrivals of requests at targets, in the order of their times.
    pub arrivals: Vec<TargetArrival>,
    /// Targets in the order of their keys.
    pub targets: Vec<TargetRecord>,
    /// Names of the hosts in the order of their keys.
    pub hosts: Vec<String>,
    /// Changes of the hosts' processes, in the order of their times.
    pub host_events: Vec<HostEvent>,
    /// Versions of the configuration in the order of their writing.
    pub versions: Vec<WrittenVersion>,
    /// Evacuations of zones, in the order of their beginning.
    pub evacuations: Vec<Evacuation>,
    /// Times at which hosts were not in touch.
    pub disruptions: Vec<Disruption>,
    /// Bytes that arrived on connections without a request.
    pub stray_bytes: Vec<StrayBytes>,
    /// Readiness probes, in the order of their times.
    pub probes: Vec<ReadinessProbe>,
    /// Memory and descriptors of the hosts, before the first fault and after the last.
    pub usage: Vec<HostUsage>,
    /// How often each kind of fault was applied.
    pub faults: BTreeMap<FaultKind, usize>,
    /// When the faults began.
    pub faults_began: Duration,
}

/// A request that a caller began to send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentRequest {
    /// Its route.
    pub route: RouteKind,
    /// The host that it was sent to.
    pub host: HostKey,
    /// The caller's key; `None` if the route needs none.
    pub api_key: Option<String>,
    /// When its first byte was sent.
    pub sent: Duration,
    /// When its last byte was sent; `None` if it was not.
    pub sent_whole: Option<Duration>,
    /// How long its caller waits.
    pub time_left: Duration,
    /// Whether the connection had been used before.
    pub kept: bool,
    /// How it ended; `None` if it did not.
    pub end: Option<RequestEnd>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// When.
    pub at: Duration,
    /// How.
    pub kind: EndKind,
}

/// The kinds of ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndKind {
    /// A complete answer arrived.
    Answered(ReceivedAnswer),
    /// The connection ended before a complete answer.
    Closed,
    /// Bytes arrived that are no answer.
    Malformed(String),
    /// The caller left before the answer.
    Left,
    /// The caller's time ended before the answer.
    TimedOut,
}

/// An answer as its caller received it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReceivedAnswer {
    /// HTTP status.
    pub status: u16,
    /// The attempt id that it states.
    pub attempt_id: Option<String>,
    /// The receipt of the target that ran the request.
    pub receipt: Option<String>,
    /// The receipts of the parts of a merged answer.
    pub part_receipts: Vec<String>,
    /// The number of parts that it states to lack.
    pub missing: Option<usize>,
    /// Seconds after which the caller may return.
    pub retry_after: Option<f64>,
    /// Whether the body is the one of the target that the receipt names.
    pub body_intact: bool,
    /// The body of a merged answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub merged_body: Vec<u8>,
}

/// A request that reached a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetArrival {
    /// The target.
    pub target: TargetKey,
    /// When it arrived.
    pub at: Duration,
    /// The request; `None` if no caller sent one with its id.
    pub request: Option<RequestKey>,
    /// Whether method, path or body differ from what the caller sent.
    pub altered: bool,
    /// The time that is left, in milliseconds, as the host states it.
    pub time_left_ms: Option<u64>,
    /// The customer as the host states it.
    pub customer: Option<String>,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
    /// What the target did with it.
    pub outcome: ArrivalOutcome,
}

/// What a target did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ArrivalOutcome {
    /// It waits for a slot.
    Waiting,
    /// It was meant for another target and did not run.
    Misdirected,
    /// It did not run.
    Rejected,
    /// It left the queue because its connection ended, and did not run.
    Dropped,
    /// It ran.
    Ran {
        /// When its work began.
        at: Duration,
        /// The status of the answer; `None` if the target answered nothing.
        status: Option<u16>,
    },
}

impl ArrivalOutcome {
    /// When the request began to run, if it did.
    pub fn ran_at(self) -> Option<Duration> {
        match self {
            Self::Ran { at, .. } => Some(at),
            Self::Waiting | Self::Misdirected | Self::Rejected | Self::Dropped => None,
        }
    }
}

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// When it started.
    pub started: Duration,
    /// When the store acknowledged that it drains, or the removal of its entry.
    pub leaving: Option<Duration>,
    /// When it ended.
    pub ended: Option<Duration>,
    /// When faults of it or its links began and ended; such a target is not sound.
    pub troubles: Vec<(Duration, Duration)>,
}

/// A change of a host's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEvent {
    /// The host.
    pub host: HostKey,
    /// When.
    pub at: Duration,
    /// What changed.
    pub kind: HostEventKind,
}

/// The kinds of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostEventKind {
    /// The process was started.
    Started,
    /// It was told to stop.
    StopSent,
    /// It was killed.
    Killed,
    /// It was suspended.
    Suspended,
    /// It was resumed.
    Resumed,
    /// It was told to read its settings again.
    Reloaded,
    /// It ended, with this exit code; `None` if a signal ended it.
    Exited(Option<i32>),
    /// One of its tasks panicked, and it went on.
    Panicked,
}

/// A version of the configuration, and when the store acknowledged it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WrittenVersion {
    /// When the store acknowledged it.
    pub at: Duration,
    /// The version.
    pub version: SoakVersion,
}

/// The evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: String,
    /// When the store acknowledged it.
    pub from: Duration,
    /// When it was taken back; `None` if it was not.
    pub until: Option<Duration>,
}

/// A time at which hosts were not in touch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Disruption {
    /// The host; `None` for all.
    pub host: Option<HostKey>,
    /// Its beginning.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
    /// Whether it is planned work: a stop or a reload.
    pub planned: bool,
    /// What it was.
    pub cause: String,
}

/// Bytes that a host sent on a connection on which no request waited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StrayBytes {
    /// The host.
    pub host: HostKey,
    /// When they were seen.
    pub at: Duration,
    /// Their beginning.
    pub text: String,
}

/// A probe of a host's readiness.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadinessProbe {
    /// The host.
    pub host: HostKey,
    /// When it was sent.
    pub at: Duration,
    /// The status; `None` if there was no answer in time.
    pub status: Option<u16>,
}

/// Memory and descriptors of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostUsage {
    /// The host.
    pub host: HostKey,
    /// When they were read.
    pub at: Duration,
    /// Id of the process.
    pub process: u32,
    /// Resident memory in kibibytes.
    pub memory_kib: u64,
    /// Open file descriptors besides the connections of callers and probes, which these determine,
    /// and those to peers and the store, which are opened on demand and kept.
    pub descriptors: u64,
}

impl SoakHistory {
    /// Whether a host was in touch at `at`: neither it nor the whole fleet was disrupted for the
    /// time `stability` before.
    pub fn in_touch(&self, host: HostKey, at: Duration, stability: Duration) -> bool {
        !self.is_disrupted(Some(host), at.saturating_sub(stability), at)
    }

    /// Whether a host was disrupted between two times, or any host if `host` is `None`.
    pub fn is_disrupted(&self, host: Option<HostKey>, from: Duration, until: Duration) -> bool {
        self.disruptions.iter().any(|disruption| {
            let concerns = host.is_none() || disruption.host.is_none() || disruption.host == host;
            concerns && disruption.from <= until && disruption.until >= from
        })
    }

    /// Whether a target was sound between two times: it ran, and neither it nor its links had
    /// faults.
    pub fn is_sound(&self, target: TargetKey, from: Duration, until: Duration) -> bool {
        let Some(record) = self.targets.get(usize::from(target.0)) else { return false };
        let in_trouble = record.troubles.iter().any(|(begin, end)| *begin <= until && *end >= from);
        record.ended.is_none_or(|ended| ended > until) && !in_trouble
    }

    /// The service of a target.
    pub fn service(&self, target: TargetKey) -> &str {
        self.targets.get(usize::from(target.0)).map_or("", |record| &record.service)
    }

    /// The request of a key.
    pub fn request(&self, key: RequestKey) -> Option<&SentRequest> {
        self.requests.get(key.0 as usize)
    }
}

/// Records the history of a run. Clones share it.
#[derive(Clone, Debug)]
pub struct HistoryRecorder {
    started: Instant,
    history: Arc<Mutex<SoakHistory>>,
}

impl Default for HistoryRecorder {
    fn default() -> Self {
        // Hosts log the time since the machine's boot.
        let log_start = rustix::time::clock_gettime(ClockId::Boottime);
        let log_start = log_start.tv_sec as f64 + log_start.tv_nsec as f64 / 1e9;
        let history = SoakHistory { log_start, ..SoakHistory::default() };
        Self { started: Instant::now(), history: Arc::new(Mutex::new(history)) }
    }
}

impl HistoryRecorder {
    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Reads or changes the history.
    pub fn with<T>(&self, with: impl FnOnce(&mut SoakHistory) -> T) -> T {
        with(&mut self.lock())
    }

    /// Records a request and returns its key.
    pub fn send(&self, request: SentRequest) -> RequestKey {
        self.with(|history| {
            history.requests.push(request);
            RequestKey(history.requests.len() as u32 - 1)
        })
    }

    /// Changes the record of a request.
    pub fn change(&self, key: RequestKey, change: impl FnOnce(&mut SentRequest)) {
        self.with(|history| history.requests.get_mut(key.0 as usize).map(change));
    }

    /// Records how a request ended.
    pub fn end(&self, key: RequestKey, kind: EndKind) {
        let at = self.now();
        self.change(key, |request| request.end = Some(RequestEnd { at, kind }));
    }

    /// Records an arrival and returns its index.
    pub fn arrive(&self, arrival: TargetArrival) -> usize {
        self.with(|history| {
            history.arrivals.push(arrival);
            history.arrivals.len() - 1
        })
    }

    /// Changes what a target did with an arrival; does nothing once the history has been taken.
    pub fn decide(&self, arrival: usize, outcome: ArrivalOutcome) {
        self.with(|history| {
            if let Some(arrival) = history.arrivals.get_mut(arrival) {
                arrival.outcome = outcome;
            }
        });
    }

    /// Records the start of a target and returns its key.
    pub fn start_target(&self, service: &str, zone: &str) -> TargetKey {
        let started = self.now();
        self.with(|history| {
            history.targets.push(TargetRecord {
                service: service.to_owned(),
                zone: zone.to_owned(),
                started,
                leaving: None,
                ended: None,
                troubles: Vec::new(),
            });
            TargetKey(history.targets.len() as u16 - 1)
        })
    }

    /// Changes the record of a target.
    pub fn change_target(&self, target: TargetKey, change: impl FnOnce(&mut TargetRecord)) {
        self.with(|history| history.targets.get_mut(usize::from(target.0)).map(change));
    }

    /// Records a change of a host's process.
    pub fn host_event(&self, host: HostKey, kind: HostEventKind) {
        let at = self.now();
        self.with(|history| history.host_events.push(HostEvent { host, at, kind }));
    }

    /// Records a disruption that began at `from` and ends now.
    pub fn disrupt(&self, host: Option<HostKey>, from: Duration, planned: bool, cause: FaultKind) {
        let until = self.now();
        let cause = cause.to_string();
        let disruption = Disruption { host, from, until, planned, cause };
        self.with(|history| history.disruptions.push(disruption));
    }

    /// Takes the history.
    pub fn take(&self) -> SoakHistory {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, SoakHistory> {
        self.history.lock().expect("no holder of the lock panics")
    }
}
