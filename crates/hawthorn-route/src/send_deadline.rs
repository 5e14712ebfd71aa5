//! When an answer has to leave, so that it is in time for its caller.
//!
//! The load it is for: callers at any distance, on connections old and new,
//! before a host that is more or less busy. The harm it prevents: whole answers
//! that are late by a hair. A caller's clock runs from before its connection:
//! on a new one two round trips are gone when the answer is there, on a kept one
//! a single one, and the host's own turns come on top. All three are observed,
//! and everything that goes by the aim goes by the one time found here.

use std::time::Duration;

use serde::Deserialize;

/// Limits of the time at which answers leave.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The caller's distance and the host's lag are reckoned with; else only
    /// `round_trip` is.
    pub on: bool,
    /// The round trip to callers where the kernel tells none. A setting of callers.
    #[serde(skip)]
    pub round_trip: Duration,
    /// Whatever the distance and the lag, so much of the aim is used. An answer
    /// that can hardly be in time is worth gathering all the same.
    pub least_share: f64,
    /// The lag is reckoned with, for reading and sending, up to this share of the
    /// aim: after a single long stop of the process, answers would else leave with
    /// next to nothing.
    pub lag_share: f64,
    /// Share of this host's lags that may be longer than the one reckoned with.
    pub late_share: f64,
    /// Share of the aim by which an answer leaves earlier beside that, within `lag_share`. A
    /// part that would come in it is worth its share of the answer, and being late nearly all.
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

/// The way to a caller and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerRtt {
    /// How long it takes.
    pub round_trip: Duration,
    /// The mean deviation of that.
    pub deviation: Duration,
}

/// What is known of a caller's clock when its request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestArrival {
    /// When the request came, read or not.
    pub arrived: Duration,
    /// It is the first of its connection.
    pub new_connection: bool,
    /// The way to the caller and back, if it is known.
    pub rtt: Option<CallerRtt>,
}

/// Deviations of a round trip that an answer's own way may take longer: half of
/// the four that retransmission timers reckon with for the way there and back.
///
/// Without them answers that were due are late as often as not. Callers 3 ms away,
/// aims of 60 and 150 ms: 0.545 of worth with none, 0.693 with 3 ms, 0.687 with
/// 8 ms, mean of five days with trouble and two seeds.
const WAY_DEVIATIONS: u32 = 2;

/// How often the lag counts: a request is read as late as a timer fires, before its
/// coming can be noted, and its answer is sent as late as that.
///
/// Counted once, answers of hosts of an eighth of a core were late by 1 to 2 ms, one
/// in three of them: worth 0.630 with both, 0.537 with one, mean of three days with
/// trouble and two seeds on 78 such hosts. On hosts of a quarter of a core no
/// difference (0.744 and 0.746, five days, two seeds).
const LAGS: u32 = 2;

/// The latest time at which an answer leaves that is to be with its caller
/// within the aim. `lag` is how late this host does what is due.
pub fn send_deadline(
    clock: &RequestArrival,
    aim: Duration,
    lag: Duration,
    options: &Options,
) -> Duration {
    if !options.on {
        return clock.arrived + aim.saturating_sub(options.round_trip);
    }
    let unknown = CallerRtt { round_trip: options.round_trip, deviation: Duration::ZERO };
    let CallerRtt { round_trip, deviation } = clock.rtt.unwrap_or(unknown);
    let ways = if clock.new_connection { round_trip * 2 } else { round_trip };
    let margin = lag * LAGS + aim.mul_f64(options.margin_share);
    let margin = margin.min(aim.mul_f64(options.lag_share));
    let least = aim.mul_f64(options.least_share);
    clock.arrived + aim.saturating_sub(ways + deviation * WAY_DEVIATIONS + margin).max(least)
}

/// Round trips of one connection that count, the newest.
const PATH_SAMPLES: usize = 8;

/// The round trip of one caller's connection.
///
/// The least of the last few: one that holds a caller's delayed acknowledgement
/// is up to 40 ms too long, and the handshake's, which comes first, is not. After
/// [`PATH_SAMPLES`] requests the caller has moved.
#[derive(Clone, Copy, Debug, Default)]
pub struct RttMeter {
    samples: [Option<CallerRtt>; PATH_SAMPLES],
    next: usize,
}

impl RttMeter {
    /// The kernel told a round trip.
    pub fn learn(&mut self, path: CallerRtt) {
        self.samples[self.next] = Some(path);
        self.next = (self.next + 1) % PATH_SAMPLES;
    }

    /// The way to the caller, once a round trip was told.
    pub fn rtt(&self) -> Option<CallerRtt> {
        self.samples.iter().flatten().min_by_key(|path| path.round_trip).copied()
    }
}

/// Observations of the lag that count, the newest: three seconds of the ten a
/// second that a calm host makes.
const LAG_SAMPLES: usize = 32;
/// Share of these that may be longer than the lag reckoned with. A
/// single long turn would else have every answer of three seconds leave early.
const LAG_ABOVE: f64 = 0.1;

/// How late a host does what is due: timers that fire late, as the loop is at
/// other work or the system wakes it late, and the merging and writing after it.
///
/// Load: requests come faster than a small host takes them, and each turn of its
/// loop is long. Nine in ten count and not the mean, as an answer that is a little
/// early loses next to nothing, and one that is late nearly all.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMeter {
    samples: [Duration; LAG_SAMPLES],
    next: usize,
    sorted: [Duration; LAG_SAMPLES],
}

impl LagMeter {
    /// Something that was due happened so much later.
    pub fn learn(&mut self, late: Duration) {
        self.samples[self.next] = late;
        self.next = (self.next + 1) % LAG_SAMPLES;
        self.sorted = self.samples;
        self.sorted.sort_unstable();
    }

    /// The lag to be reckoned with.
    pub fn lag(&self) -> Duration {
        self.lag_within(LAG_ABOVE)
    }

    /// The lag that a share of the observations may exceed, and one in any case: a single
    /// stop of the process is no habit.
    pub fn lag_within(&self, late_share: f64) -> Duration {
        let above = (LAG_SAMPLES as f64 * late_share) as usize;
        self.sorted[LAG_SAMPLES - 1 - above.clamp(1, LAG_SAMPLES - 1)]
    }
}
