//! The deadline for sending an answer so that its caller receives it in time.
//!
//! Handles callers at any distance, on new and kept connections, and hosts with little or much
//! free capacity. Without this deadline, complete answers would often be late by very little,
//! because a caller measures from before it connects: two round trips on a new connection and one
//! on a kept connection, plus the host's own scheduling delay. All of them are measured, and every
//! decision that depends on the target latency uses the deadline computed here.

use std::time::Duration;

use serde::Deserialize;

/// Settings of the send deadline.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether the measured round trip and scheduling delay are used; otherwise only
    /// `round_trip` is.
    pub on: bool,
    /// Default round trip, if the kernel reports none. A setting of callers.
    #[serde(skip)]
    pub round_trip: Duration,
    /// Minimum share of the target latency that is used, whatever the round trip and the
    /// scheduling delay. An answer that is likely to be late is still worth gathering.
    pub least_share: f64,
    /// Maximum share of the target latency that is reserved for the scheduling delay of reading
    /// and sending. Without it, answers after one long pause of the process would be sent
    /// almost empty.
    pub lag_share: f64,
    /// Share of this host's scheduling delays that may exceed the value used.
    pub late_share: f64,
    /// Additional margin as a share of the target latency, within `lag_share`. A part that
    /// arrives within the margin adds only its share of the answer, whereas a late answer loses
    /// nearly all its value.
    pub margin_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            on: true,
            round_trip: Duration::from_millis(4),
            least_share: 0.5,
            lag_share: 0.2,
            late_share: 0.03,
            margin_share: 0.02,
        }
    }
}

/// Round-trip time to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerRtt {
    /// The round-trip time.
    pub round_trip: Duration,
    /// Its mean deviation.
    pub deviation: Duration,
}

/// How a request arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestArrival {
    /// When the request arrived at the socket, possibly before it was read.
    pub arrived: Duration,
    /// Whether it is the first request of its connection.
    pub new_connection: bool,
    /// The round-trip time to the caller, if known.
    pub rtt: Option<CallerRtt>,
}

/// Number of mean deviations by which the answer's own latency may exceed half a round trip:
/// half of the four that TCP retransmission timers allow for both directions. Without them,
/// answers sent at the deadline are late half of the time.
const RTT_DEVIATIONS: u32 = 2;

/// Number of times that the scheduling delay is subtracted: the request is read late, before its
/// arrival can be recorded, and its answer is sent late. Counted once, one in three answers of
/// hosts with an eighth of a core is late by 1 to 2 ms; on a quarter of a core it makes no
/// difference.
const LAG_FACTOR: u32 = 2;

/// The time by which an answer must be sent to reach its caller within the target latency. `lag`
/// is the scheduling delay of this host.
pub fn send_deadline(
    arrival: &RequestArrival,
    target_latency: Duration,
    lag: Duration,
    options: &Options,
) -> Duration {
    if !options.on {
        return arrival.arrived + target_latency.saturating_sub(options.round_trip);
    }
    let default_rtt = CallerRtt { round_trip: options.round_trip, deviation: Duration::ZERO };
    let CallerRtt { round_trip, deviation } = arrival.rtt.unwrap_or(default_rtt);
    let network = if arrival.new_connection { round_trip * 2 } else { round_trip };
    let margin = lag * LAG_FACTOR + target_latency.mul_f64(options.margin_share);
    let margin = margin.min(target_latency.mul_f64(options.lag_share));
    let min = target_latency.mul_f64(options.least_share);
    arrival.arrived
        + target_latency.saturating_sub(network + deviation * RTT_DEVIATIONS + margin).max(min)
}

/// Number of round-trip samples per connection, the newest.
const RTT_SAMPLES: usize = 8;

/// Measures the round-trip time of one caller's connection.
///
/// Uses the minimum of the last samples: one that includes a delayed acknowledgement is up to
/// 40 ms too long, and the handshake's, which comes first, is not. A caller whose latency has
/// increased is detected after `RTT_SAMPLES` requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RttMeter {
    samples: [Option<CallerRtt>; RTT_SAMPLES],
    next: usize,
}

impl RttMeter {
    /// Records a sample reported by the kernel.
    pub fn record(&mut self, rtt: CallerRtt) {
        self.samples[self.next] = Some(rtt);
        self.next = (self.next + 1) % RTT_SAMPLES;
    }

    /// The round-trip time, once there is a sample.
    pub fn rtt(&self) -> Option<CallerRtt> {
        self.samples.iter().flatten().min_by_key(|rtt| rtt.round_trip).copied()
    }
}

/// Number of scheduling delay samples, the newest: about three seconds at the ten samples a
/// second that a host without overload takes.
const LAG_SAMPLES: usize = 32;
/// Share of the samples that may exceed the reported scheduling delay. With the maximum, a single
/// long delay would make all answers of three seconds leave early.
const LAG_ABOVE: f64 = 0.1;

/// Measures the scheduling delay of a host: timers fire late because the event loop is busy or
/// the operating system wakes it late, and merging and writing follow.
///
/// Handles requests that arrive faster than a small host processes them, which makes each
/// iteration of its event loop long. The 90th percentile is used instead of the mean, because
/// an answer that is slightly early loses next to nothing, and one that is late loses nearly
/// all its value.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMeter {
    samples: [Duration; LAG_SAMPLES],
    next: usize,
    sorted: [Duration; LAG_SAMPLES],
}

impl LagMeter {
    /// Records by how much something due happened late, such as a timer or an answer.
    pub fn record(&mut self, late: Duration) {
        self.samples[self.next] = late;
        self.next = (self.next + 1) % LAG_SAMPLES;
        self.sorted = self.samples;
        self.sorted.sort_unstable();
    }

    /// The 90th percentile of the scheduling delay.
    pub fn lag(&self) -> Duration {
        self.lag_within(LAG_ABOVE)
    }

    /// The scheduling delay that a share of the samples may exceed, and at least one: a single
    /// pause of the process is ignored.
    pub fn lag_within(&self, late_share: f64) -> Duration {
        let above = (LAG_SAMPLES as f64 * late_share) as usize;
        self.sorted[LAG_SAMPLES - 1 - above.clamp(1, LAG_SAMPLES - 1)]
    }
}
