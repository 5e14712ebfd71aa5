//! Estimates the speed of one target from the latencies of this host's requests.
//!
//! Handles targets that are permanently slower than their peers, become ten times slower for
//! some seconds, or pause. A single moving average either marks a target after one noisy answer
//! or needs ten answers to follow a slowdown, and counts the pause that delayed an answer as
//! slowness. A late answer is therefore attributed only with the next one: if that is late too,
//! the target is slow, otherwise it had paused.

use std::time::Duration;

use smallvec::SmallVec;

/// Weight of the newest sample in the fast average: three answers cover most of a change.
const FAST_WEIGHT: f64 = 0.5;
/// Weight of the newest sample in the slow average, which shows lasting differences between
/// targets in spite of noise.
const SLOW_WEIGHT: f64 = 0.05;
/// The fast average is used instead of the slow one if they differ by this factor: the target
/// has changed.
const CHANGE_FACTOR: f64 = 1.5;
/// An answer that takes longer than this multiple of the expected latency is late. One ordinary
/// answer in a hundred takes as long.
const LATE_FACTOR: f64 = 3.0;
/// Minimum of expected latencies, so that delays of this host's scheduler do not count as late.
const MIN_LATENCY: Duration = Duration::from_millis(2);
/// Maximum of a sample.
const MAX_RATIO: f64 = 20.0;
/// Time since the last answer for which an estimate holds unchanged. Without it, the estimate of a
/// target with few requests would always be close to the typical speed.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Time after that in which the difference of an estimate from the typical speed halves without
/// answers. A target that gets no requests because it was slow is tried again after some seconds.
/// With 2 s, more requests go to a target that is still ten times slower, and with 4 s more answers
/// are late close to the capacity (model of `tests/uneven`).
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weights of a longer and of a shorter sample in the pause length. Most requests are sent
/// after a pause has begun and show only its rest, so the length follows the longer samples.
const LONGER_PAUSE_WEIGHT: f64 = 0.4;
const SHORTER_PAUSE_WEIGHT: f64 = 0.04;
/// Slowdown of a target with requests on all slots, in addition to 1: an assumption until it is
/// measured.
const FULL_SLOWDOWN: f64 = 0.5;

/// Factor on the service time at a target with `load` other requests.
pub fn occupancy_factor(load: f64, slots: f64) -> f64 {
    let occupancy = ((load + 1.0) / slots).min(1.0);
    1.0 + FULL_SLOWDOWN * occupancy * occupancy
}

/// Number of service times that a request waits at a target with `load` other requests.
pub fn queue_factor(load: f64, slots: f64) -> f64 {
    (load + 1.0 - slots).max(0.0) / slots
}

/// A request in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRequest {
    /// When it was sent.
    pub sent: Duration,
    /// Factor on its latency by the target's load when it was sent.
    pub load_factor: f64,
}

/// A late answer, or several that were delayed by the same stall.
#[derive(Clone, Copy, Debug)]
struct LateAnswer {
    ended: Duration,
    ratio: f64,
    /// Longest excess over the expected latency.
    excess: Duration,
}

/// Speed of a target as the ratio of its latency without queueing to the typical latency.
#[derive(Clone, Debug)]
pub struct TargetSpeed {
    fast: f64,
    slow: f64,
    /// When the last sample was taken.
    sampled: Duration,
    pending: SmallVec<[PendingRequest; 4]>,
    answered: Duration,
    late: Option<LateAnswer>,
    pause: Option<Duration>,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            fast: 1.0,
            slow: 1.0,
            sampled: Duration::ZERO,
            pending: SmallVec::new(),
            answered: Duration::ZERO,
            late: None,
            pause: None,
        }
    }
}

impl TargetSpeed {
    /// Records that a request was sent to the target while it had `load` others.
    pub fn record_sent(&mut self, now: Duration, load: f64, slots: f64) {
        let load_factor = occupancy_factor(load, slots) + queue_factor(load, slots);
        self.pending.push(PendingRequest { sent: now, load_factor });
    }

    /// Records the answer to a request that was sent at `sent`. `typical` is the typical latency
    /// of such a request.
    pub fn record_answer(&mut self, sent: Duration, now: Duration, typical: Duration) {
        let load_factor = self.remove(sent);
        self.answered = now;
        let expected = typical.mul_f64(load_factor * self.ratio(now)).max(MIN_LATENCY);
        let latency = now.saturating_sub(sent);
        let ratio = ratio_of(latency, typical, load_factor);
        if latency <= expected.mul_f64(LATE_FACTOR) {
            if let Some(late) = self.late.take() {
                self.record_pause(late.excess);
            }
            return self.sample(ratio, now);
        }
        let excess = latency.saturating_sub(expected);
        match self.late.take() {
            None => self.late = Some(LateAnswer { ended: now, ratio, excess }),
            // The answers to all requests that waited during a pause arrive together.
            Some(late) if now.saturating_sub(late.ended) < expected => {
                let excess = late.excess.max(excess);
                self.late = Some(LateAnswer { ended: now, ratio: late.ratio.max(ratio), excess });
            }
            Some(late) => {
                self.sample(late.ratio, now);
                self.sample(ratio, now);
            }
        }
    }

    /// Records that this host gave up on a request, whose age is a lower bound of its latency.
    pub fn record_abandoned(&mut self, sent: Duration, now: Duration, typical: Duration) {
        let load_factor = self.remove(sent);
        let ratio = ratio_of(now.saturating_sub(sent), typical, load_factor);
        if ratio > self.ratio(now) {
            self.sample(ratio, now);
        }
    }

    /// Records the end of a request that says nothing about the target's speed.
    pub fn record_unanswered(&mut self, sent: Duration) {
        self.remove(sent);
    }

    /// The expected ratio. Without answers it returns to 1, but not while the answer to a request
    /// is awaited: one request at a time tries whether a slow target has recovered.
    pub fn ratio(&self, now: Duration) -> f64 {
        let change = self.fast / self.slow;
        let changed = !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&change);
        let ratio = if changed { self.fast } else { self.slow };
        if self.pending.is_empty() { self.relaxed(ratio, now) } else { ratio }
    }

    /// A ratio after the time since the last sample.
    fn relaxed(&self, ratio: f64, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled + HOLD_TIME);
        1.0 + (ratio - 1.0) * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// The oldest request in flight.
    pub fn oldest_pending(&self) -> Option<PendingRequest> {
        self.pending.iter().copied().min_by_key(|request| request.sent)
    }

    /// How long the target has not answered although a request was in flight.
    pub fn silence(&self, now: Duration) -> Duration {
        let oldest = self.oldest_pending();
        oldest.map_or(Duration::ZERO, |request| now.saturating_sub(request.sent.max(self.answered)))
    }

    /// Lower bound of the present ratio by the age of the second oldest request in flight. A
    /// single overdue request may be noise.
    pub fn pending_ratio(&self, now: Duration, typical: Duration) -> f64 {
        let mut ratios: SmallVec<[f64; 4]> = self
            .pending
            .iter()
            .map(|request| ratio_of(now.saturating_sub(request.sent), typical, request.load_factor))
            .collect();
        ratios.sort_unstable_by(|a, b| b.total_cmp(a));
        ratios.get(1).copied().unwrap_or_default()
    }

    /// Length of the target's longer pauses, if any was observed.
    pub fn pause_length(&self) -> Option<Duration> {
        self.pause
    }

    fn remove(&mut self, sent: Duration) -> f64 {
        let index = self.pending.iter().position(|request| request.sent == sent);
        index.map_or(1.0, |index| self.pending.swap_remove(index).load_factor)
    }

    fn sample(&mut self, ratio: f64, now: Duration) {
        // The answer to the first request after a while counts for more than the old ones.
        self.fast = self.relaxed(self.fast, now);
        self.slow = self.relaxed(self.slow, now);
        self.fast += (ratio - self.fast) * FAST_WEIGHT;
        self.slow += (ratio - self.slow) * SLOW_WEIGHT;
        self.sampled = now;
    }

    fn record_pause(&mut self, length: Duration) {
        let Some(pause) = self.pause else {
            self.pause = Some(length);
            return;
        };
        let weight = if length > pause { LONGER_PAUSE_WEIGHT } else { SHORTER_PAUSE_WEIGHT };
        self.pause = Some(pause.mul_f64(1.0 - weight) + length.mul_f64(weight));
    }
}

fn ratio_of(latency: Duration, typical: Duration, load_factor: f64) -> f64 {
    let expected = typical.max(MIN_LATENCY).as_secs_f64() * load_factor;
    (latency.as_secs_f64() / expected).min(MAX_RATIO)
}
