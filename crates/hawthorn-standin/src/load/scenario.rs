//! What makes one run differ from another.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A named load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadScenario {
    /// An even load well below capacity.
    #[strum(serialize = "calm")]
    Steady,
    /// The same, with stragglers at every target.
    Stragglers,
    /// The same, with one target many times slower than its peers.
    OneSlowTarget,
    /// Calm with short bursts far above capacity.
    Burst,
    /// One caller alone asks for more than the capacity, the others stay calm.
    Flood,
    /// All callers together ask for more than the capacity all the time.
    Saturation,
    /// Calm, while every daemon is stopped as planned and started again.
    RollingRestart,
    /// Calm, while one availability zone is cut off for the middle third.
    ZoneCut,
}

/// The load of a calm run, of the capacity.
const CALM: f64 = 0.4;
/// The load inside a burst, of the capacity.
const BURST: f64 = 3.0;
/// A burst takes this part of each [`BURST_PERIOD`].
const BURST_PART: f64 = 0.1;
/// How often a burst comes.
const BURST_PERIOD: Duration = Duration::from_secs(1);
/// What the flooding caller alone asks for, of the capacity.
const FLOOD: f64 = 2.0;
/// What all callers ask for at saturation, of the capacity.
const SATURATION: f64 = 1.5;

impl LoadScenario {
    /// Whether it stops daemons or cuts zones, which needs control of them.
    pub fn needs_daemons(self) -> bool {
        matches!(self, Self::RollingRestart | Self::ZoneCut)
    }

    /// The load that caller number `caller` of `callers` offers at `at`, as a
    /// part of the capacity.
    pub fn load(self, caller: usize, callers: usize, at: Duration) -> f64 {
        let share = 1.0 / callers.max(1) as f64;
        let place = at.as_secs_f64() % BURST_PERIOD.as_secs_f64() / BURST_PERIOD.as_secs_f64();
        match self {
            Self::Burst if place < BURST_PART => BURST * share,
            Self::Flood if caller == 0 => FLOOD,
            Self::Saturation => SATURATION * share,
            _ => CALM * share,
        }
    }

    /// The most that [`load`](Self::load) gives.
    pub(super) fn peak(self, caller: usize, callers: usize) -> f64 {
        self.load(caller, callers, Duration::ZERO)
    }
}
