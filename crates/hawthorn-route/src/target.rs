//! What is believed of one target: its entry, load, speed and failures.

use std::time::Duration;

use crate::cold::SendMeter;
use crate::document::TargetEntry;
use crate::outcome::AttemptEnd;

/// A load that a target told is worth this long; older, only own requests count.
/// A slot of work takes 5 to 150 ms, so what was told is another load after 100 ms.
const LOAD_LIFE: Duration = Duration::from_millis(100);
/// A queue that a target told of is believed for so long: a full one of a dozen
/// requests on two slots is worked off in about twice that.
const QUEUE_LIFE: Duration = Duration::from_millis(300);
/// Weight of the newest answer in the learnt speed: 10 answers follow a target
/// that turned slow within about a second of its share of the traffic.
const SPEED_WEIGHT: f64 = 0.15;
/// First time a target is passed over after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest time a target is passed over before it is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A target whose connections ended may have crashed; it counts as down for so long, about
/// as long as a restart takes, unless it answers.
const CRASH_MEMORY: Duration = Duration::from_secs(3);
/// Failures in a row after which the pause no longer grows.
const MOST_DOUBLINGS: u32 = 4;

/// How far the target is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// Takes work.
    Ready,
    /// Leaves, or its entry is gone: takes work only while nobody else does,
    /// until the time given.
    Leaving {
        /// Time after which nothing is sent.
        until: Duration,
    },
    /// Takes nothing more.
    Gone,
}

/// One target and what is believed of it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// As it registered.
    pub entry: TargetEntry,
    /// How far it is in its life.
    pub phase: TargetPhase,
    /// Revision of the store at which the entry was written.
    pub revision: u64,
    /// When the entry was last heard of.
    pub last_seen: Duration,
    /// When it stops being slow after its start.
    pub cold_until: Duration,
    /// Requests that this host sent it while it was cold.
    pub cold_sends: SendMeter,
    /// Starts of own requests that it has not answered.
    pub in_flight: Vec<Duration>,
    told: Option<ReportedLoad>,
    speed: f64,
    failures: u32,
    paused_until: Duration,
    /// Share of recent requests that it ran and failed, or that broke.
    failing: f64,
    /// When a request last ended with its connection, if nothing was answered since.
    crashed: Option<Duration>,
}

/// A load as the target told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it can work on at a time.
    pub slots: u32,
    /// When it was told.
    pub at: Duration,
}

impl TargetState {
    /// A target that has just been heard of.
    pub fn new(entry: TargetEntry, revision: u64, now: Duration) -> Self {
        let cold_until = now + entry.cold;
        Self {
            entry,
            phase: TargetPhase::Ready,
            revision,
            last_seen: now,
            cold_until,
            cold_sends: SendMeter::default(),
            in_flight: Vec::new(),
            told: None,
            speed: 1.0,
            failures: 0,
            paused_until: Duration::ZERO,
            failing: 0.0,
            crashed: None,
        }
    }

    /// A request was sent at `now`.
    pub fn send(&mut self, now: Duration) {
        self.in_flight.push(now);
    }

    /// The target told its load.
    pub fn report_load(&mut self, load: ReportedLoad) {
        self.told = Some(load);
    }

    /// A request sent at `sent` ended. `usual` is the usual time of such a request.
    pub fn end(&mut self, sent: Duration, now: Duration, end: AttemptEnd, usual: Duration) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(index);
        }
        match end {
            AttemptEnd::Answered => {
                self.learn(now.saturating_sub(sent), usual);
                self.failures = 0;
                self.crashed = None;
                self.paused_until = Duration::ZERO;
                self.failing *= 1.0 - SPEED_WEIGHT;
            }
            AttemptEnd::Failed | AttemptEnd::Broken => {
                self.failing += (1.0 - self.failing) * SPEED_WEIGHT;
            }
            AttemptEnd::NotRun => {
                self.failing += (1.0 - self.failing) * SPEED_WEIGHT / 2.0;
            }
            AttemptEnd::NotSent | AttemptEnd::Silent => self.pause(now),
            AttemptEnd::Misdirected => self.phase = TargetPhase::Gone,
        }
    }

    /// A connection ended while a request was in progress on it.
    pub fn crash(&mut self, now: Duration) {
        self.crashed = Some(now);
    }

    /// It takes work now, and has not crashed recently as far as this host knows.
    pub fn is_healthy(&self, now: Duration) -> bool {
        self.is_available(now) && self.crashed.is_none_or(|at| now >= at + CRASH_MEMORY)
    }

    /// A request was let go unanswered after some time: the target is at least as slow.
    pub fn abandon(&mut self, sent: Duration, now: Duration, usual: Duration) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent) {
            self.in_flight.swap_remove(index);
        }
        let waited = now.saturating_sub(sent);
        if waited > usual {
            self.learn(waited, usual);
        }
    }

    fn learn(&mut self, took: Duration, usual: Duration) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(0.001);
        self.speed += (ratio.min(20.0) - self.speed) * SPEED_WEIGHT;
    }

    fn pause(&mut self, now: Duration) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        self.paused_until = now + (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
    }

    /// It takes work now: neither leaving nor passed over after failures.
    pub fn is_available(&self, now: Duration) -> bool {
        self.phase == TargetPhase::Ready && now >= self.paused_until
    }

    /// Passed over until then, after failures.
    pub fn paused_until(&self) -> Duration {
        self.paused_until
    }

    /// Share of its recent answers that were failures, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failing
    }

    /// How many times longer than usual it takes.
    pub fn slowdown(&self) -> f64 {
        self.speed
    }

    /// Requests that run or wait there, as far as is known.
    pub fn load(&self, now: Duration) -> u32 {
        let own = self.in_flight.len() as u32;
        match self.told {
            Some(told) if now.saturating_sub(told.at) < LOAD_LIFE => {
                own.max(told.running + told.waiting)
            }
            _ => own,
        }
    }

    /// A request sent now would be worked on at once, as far as is known.
    pub fn has_free_slot(&self, now: Duration) -> bool {
        self.load(now) < self.entry.slots.max(1)
    }

    /// Requests that wait there for each of its slots, as it told not long ago.
    pub fn queue(&self, now: Duration) -> f64 {
        match self.told {
            Some(told) if now.saturating_sub(told.at) < QUEUE_LIFE => {
                f64::from(told.waiting) / f64::from(told.slots.max(1))
            }
            _ => 0.0,
        }
    }

    /// How long the oldest own request has waited.
    pub fn oldest_wait(&self, now: Duration) -> Duration {
        let oldest = self.in_flight.iter().min();
        oldest.map_or(Duration::ZERO, |sent| now.saturating_sub(*sent))
    }
}
