//! Named load patterns and disturbances of a run.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A load scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadScenario {
    /// A constant load well below capacity.
    #[strum(serialize = "calm")]
    Steady,
    /// Steady load with stragglers at every target.
    Stragglers,
    /// Steady load with one target many times slower than the others.
    OneSlowTarget,
    /// Steady load with short bursts far above capacity.
    Burst,
    /// One caller alone exceeds the capacity; the load of the others stays steady.
    Flood,
    /// All callers together permanently exceed the capacity.
    Saturation,
    /// Steady load during planned restarts of all daemons, one after the other.
    RollingRestart,
    /// Steady load with one availability zone partitioned during the middle third.
    ZoneCut,
}

/// Steady load as a fraction of the capacity.
const STEADY_LOAD: f64 = 0.4;
/// Load during a burst as a fraction of the capacity.
const BURST_LOAD: f64 = 3.0;
/// Duration of a burst as a fraction of [`BURST_PERIOD`].
const BURST_SHARE: f64 = 0.1;
/// Interval between the starts of bursts.
const BURST_PERIOD: Duration = Duration::from_secs(1);
/// Load of the flooding caller as a fraction of the capacity.
const FLOOD_LOAD: f64 = 2.0;
/// Load of all callers at saturation as a fraction of the capacity.
const SATURATION_LOAD: f64 = 1.5;

impl LoadScenario {
    /// Whether it restarts daemons or partitions zones, which requires daemon control.
    pub fn needs_daemons(self) -> bool {
        matches!(self, Self::RollingRestart | Self::ZoneCut)
    }

    /// The load that caller number `caller` of `callers` offers at time `at`, as a fraction
    /// of the capacity.
    pub fn load(self, caller: usize, callers: usize, at: Duration) -> f64 {
        let share = 1.0 / callers.max(1) as f64;
        let phase = at.as_secs_f64() % BURST_PERIOD.as_secs_f64() / BURST_PERIOD.as_secs_f64();
        match self {
            Self::Burst if phase < BURST_SHARE => BURST_LOAD * share,
            Self::Flood if caller == 0 => FLOOD_LOAD,
            Self::Saturation => SATURATION_LOAD * share,
            _ => STEADY_LOAD * share,
        }
    }

    /// The maximum of [`load`](Self::load) over time: its value at time zero, when a burst
    /// starts.
    pub(super) fn peak(self, caller: usize, callers: usize) -> f64 {
        self.load(caller, callers, Duration::ZERO)
    }
}
