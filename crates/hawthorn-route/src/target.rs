//! State of one target as this host knows it: registration, load, speed and failures.

use std::time::Duration;

use crate::cold::SendMeter;
use crate::document::TargetEntry;
use crate::outcome::AttemptEnd;
use crate::revision::StoreRevision;
use crate::speed::TargetSpeed;

/// How long a reported load is valid; afterwards only this host's own requests count. A request
/// takes 5 to 150 ms, so the load is a different one after 100 ms.
const LOAD_VALIDITY: Duration = Duration::from_millis(100);
/// How long a reported queue is assumed to last: a full queue of a dozen requests on two slots
/// drains in about twice that time.
const QUEUE_VALIDITY: Duration = Duration::from_millis(300);
/// Weight of the newest sample in the moving averages of slowdown and failure rate. The averages
/// reflect a target that became slow after ten answers, about a second of its share of the
/// traffic.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Backoff after the first failure; doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// A target whose connection closed while a request was in progress may have crashed. It counts
/// as down for this long, about the time of a restart, unless it answers.
const CRASH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Life cycle of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// Accepts requests.
    Ready,
    /// Draining, or its entry was removed: receives requests only while no other target of its
    /// service is available.
    Leaving {
        /// Time after which it receives no more requests.
        until: Duration,
    },
    /// Accepts no requests.
    Gone,
}

/// One target and its state.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Registration of the target.
    pub entry: TargetEntry,
    /// Life cycle phase.
    pub phase: TargetPhase,
    /// Revision of the store at which the entry was written.
    pub revision: StoreRevision,
    /// When the entry was last received.
    pub last_seen: Duration,
    /// End of the cold phase after its start.
    pub cold_until: Duration,
    /// Requests that this host sent while the target was cold.
    pub cold_sends: SendMeter,
    /// Send times of this host's requests in flight.
    pub in_flight: Vec<Duration>,
    reported: Option<ReportedLoad>,
    slowdown: f64,
    speed: TargetSpeed,
    failures: u32,
    backoff_until: Duration,
    /// Moving average of requests that failed, or whose connection broke.
    failure_rate: f64,
    /// When a connection last closed during a request, unless a request was answered since.
    crashed: Option<Duration>,
}

/// Load as reported by the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests being executed.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Maximum number of requests executed concurrently.
    pub slots: u32,
    /// When the report was received.
    pub at: Duration,
}

impl TargetState {
    /// Creates the state of a newly registered target.
    pub fn new(entry: TargetEntry, revision: StoreRevision, now: Duration) -> Self {
        let cold_until = now + entry.cold;
        Self {
            entry,
            phase: TargetPhase::Ready,
            revision,
            last_seen: now,
            cold_until,
            cold_sends: SendMeter::default(),
            in_flight: Vec::new(),
            reported: None,
            slowdown: 1.0,
            speed: TargetSpeed::default(),
            failures: 0,
            backoff_until: Duration::ZERO,
            failure_rate: 0.0,
            crashed: None,
        }
    }

    /// Records that a request was sent at `now`.
    pub fn record_sent(&mut self, now: Duration) {
        let slots = f64::from(self.entry.slots.max(1));
        self.speed.record_sent(now, self.outstanding(now), slots);
        self.in_flight.push(now);
    }

    /// Records a load reported by the target.
    pub fn report_load(&mut self, load: ReportedLoad) {
        self.reported = Some(load);
    }

    /// Records the end of a request that was sent at `sent`. `typical` is the typical latency of
    /// such a request.
    pub fn record_end(
        &mut self,
        sent: Duration,
        now: Duration,
        end: AttemptEnd,
        typical: Duration,
    ) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(index);
        }
        match end {
            AttemptEnd::Answered => self.speed.record_answer(sent, now, typical),
            _ => self.speed.record_unanswered(sent),
        }
        match end {
            AttemptEnd::Answered => {
                self.record_latency(now.saturating_sub(sent), typical);
                self.failures = 0;
                self.crashed = None;
                self.backoff_until = Duration::ZERO;
                self.failure_rate *= 1.0 - SAMPLE_WEIGHT;
            }
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Mismatched => {
                self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
            }
            AttemptEnd::NotRun => {
                self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT / 2.0;
            }
            AttemptEnd::NotSent | AttemptEnd::Silent => self.back_off(now),
            // Says nothing about the target.
            AttemptEnd::Expired | AttemptEnd::KeyRefused => {}
            AttemptEnd::Misdirected => self.phase = TargetPhase::Gone,
        }
    }

    /// Records that a connection closed while a request was in progress on it.
    pub fn record_crash(&mut self, now: Duration) {
        self.crashed = Some(now);
    }

    /// Whether the target is available and is not known to have crashed recently.
    pub fn is_healthy(&self, now: Duration) -> bool {
        self.is_available(now) && self.crashed.is_none_or(|at| now >= at + CRASH_TIMEOUT)
    }

    /// Records that this host gave up on a request. The time waited is a lower bound of its
    /// latency.
    pub fn record_abandoned(&mut self, sent: Duration, now: Duration, typical: Duration) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(index);
        }
        self.speed.record_abandoned(sent, now, typical);
        let waited = now.saturating_sub(sent);
        if waited > typical {
            self.record_latency(waited, typical);
        }
    }

    fn record_latency(&mut self, latency: Duration, typical: Duration) {
        let ratio = latency.as_secs_f64() / typical.as_secs_f64().max(0.001);
        self.slowdown += (ratio.min(20.0) - self.slowdown) * SAMPLE_WEIGHT;
    }

    fn back_off(&mut self, now: Duration) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.backoff_until = now + (MIN_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
    }

    /// Whether the target accepts requests: it is ready and not backed off after failures.
    pub fn is_available(&self, now: Duration) -> bool {
        self.phase == TargetPhase::Ready && now >= self.backoff_until
    }

    /// End of the backoff after failures.
    pub fn backoff_until(&self) -> Duration {
        self.backoff_until
    }

    /// Share of recent requests that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Ratio of the target's latency to the typical latency, a moving average.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Speed of the target, as observed by this host.
    pub fn speed(&self) -> &TargetSpeed {
        &self.speed
    }

    /// Number of requests that the target executes or queues, including those that this host
    /// sent since the last report. The queue of an older report drains until the report expires.
    pub fn outstanding(&self, now: Duration) -> f64 {
        let own = self.in_flight.len() as f64;
        let Some(reported) = self.reported else { return own };
        let age = now.saturating_sub(reported.at);
        let waiting = f64::from(reported.waiting);
        let load = if age < LOAD_VALIDITY {
            f64::from(reported.running) + waiting
        } else if age < QUEUE_VALIDITY && reported.waiting > 0 {
            let left = (QUEUE_VALIDITY - age).as_secs_f64();
            let drained = left / (QUEUE_VALIDITY - LOAD_VALIDITY).as_secs_f64();
            f64::from(reported.running) + waiting * drained
        } else {
            0.0
        };
        let sent_since = self.in_flight.iter().filter(|sent| **sent > reported.at).count() as f64;
        own.max(load + sent_since)
    }

    /// Number of requests that the target executes or queues, as far as known.
    pub fn load(&self, now: Duration) -> u32 {
        let own = self.in_flight.len() as u32;
        match self.reported {
            Some(reported) if now.saturating_sub(reported.at) < LOAD_VALIDITY => {
                own.max(reported.running + reported.waiting)
            }
            _ => own,
        }
    }

    /// Whether a request sent now would be executed without queueing, as far as known.
    pub fn has_free_slot(&self, now: Duration) -> bool {
        self.load(now) < self.entry.slots.max(1)
    }

    /// Queued requests per slot according to a recent report, otherwise 0.
    pub fn queue(&self, now: Duration) -> f64 {
        match self.reported {
            Some(reported) if now.saturating_sub(reported.at) < QUEUE_VALIDITY => {
                f64::from(reported.waiting) / f64::from(reported.slots.max(1))
            }
            _ => 0.0,
        }
    }

    /// Age of this host's oldest request in flight.
    pub fn oldest_wait(&self, now: Duration) -> Duration {
        let oldest = self.in_flight.iter().min();
        oldest.map_or(Duration::ZERO, |sent| now.saturating_sub(*sent))
    }
}
