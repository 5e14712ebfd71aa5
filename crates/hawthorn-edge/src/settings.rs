//! What a host that routes requests is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_route::cold;
use hawthorn_route::home::RegionMap;
use hawthorn_route::policy;
use hawthorn_route::policy::RoutePolicy;
use hawthorn_route::send_deadline;
use quick_error::quick_error;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationSeconds;
use serde_with::serde_as;

quick_error! {
    /// Why settings were not accepted.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not TOML, or a key is missing or of the wrong type.
        Toml(source: toml::de::Error) {
            display("{source}")
            from()
        }
        /// A value makes no sense.
        Value(key: &'static str, why: &'static str) {
            display("{key}: {why}")
        }
        /// A limit of the policy makes no sense.
        Policy(source: policy::Error) {
            display("{source}")
            from()
        }
    }
}

/// The largest factor, and number of requests, by which cold targets' rates may be exceeded.
const MOST_COLD: f64 = 1000.0;

/// All settings. Unknown keys are ignored, so that older hosts read newer files.
#[derive(Clone, Debug, Deserialize)]
pub struct RouteSettings {
    /// Who this host is.
    pub host: HostSettings,
    /// The region of each availability zone.
    #[serde(default)]
    pub zones: RegionMap,
    /// Where it listens.
    pub listen: ListenSettings,
    /// What holds of all callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// How it finds the others.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// Where the platform's store is.
    pub store: StoreSettings,
    /// What holds of all targets.
    pub targets: TargetSettings,
    /// How it stops.
    pub stop: StopSettings,
    /// Extra attempts.
    pub budget: BudgetSettings,
    /// What cold targets bear.
    #[serde(default, rename = "cold_targets")]
    pub cold: cold::Options,
    /// How requests are decided on. Here an unknown key is refused: a limit that is
    /// mistyped would hold nothing back.
    #[serde(default)]
    pub policy: RoutePolicy,
}

/// Who this host is.
#[derive(Clone, Debug, Deserialize)]
pub struct HostSettings {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Part of one core that it may use, and of how many; 1 where it is not said.
    #[serde(default = "one")]
    pub core_share: f64,
    /// See `core_share`.
    #[serde(default = "one")]
    pub cores: f64,
    /// Megabits a second of its link; bulk messages are not paced where it is not said.
    pub link_mbps: Option<f64>,
}

fn one() -> f64 {
    1.0
}

/// Where it listens.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Whether it takes callers.
    pub ready: SocketAddr,
    /// Other hosts of the fleet.
    pub peers: SocketAddr,
    /// Counters and histograms.
    pub metrics: SocketAddr,
}

/// What holds of all callers.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct CallerSettings {
    /// The way to a caller and back where the kernel does not tell it: a usual
    /// one within a region.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "round_trip_ms")]
    pub round_trip: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self { round_trip: send_deadline::Options::default().round_trip }
    }
}

/// How it finds the others.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct FleetSettings {
    /// Addresses of hosts that may be running; only the IP number counts, as
    /// all hosts listen for peers at the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Where the platform's store is.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// What holds of all targets.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct TargetSettings {
    /// How often a target tells the store that it is there.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "beat_ms")]
    pub beat: Duration,
    /// How long a target that leaves goes on serving.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leave_ms")]
    pub leave: Duration,
}

/// How it stops.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct StopSettings {
    /// Time between the order to stop and the end by force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "grace_ms")]
    pub grace: Duration,
}

/// Extra attempts, for each service.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct BudgetSettings {
    /// Extra attempts for each request of the window, over all hosts.
    pub share: f64,
    /// Length of the window that slides.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: Duration,
    /// Extra attempts beyond the share, of all hosts together.
    pub allowance: f64,
}

impl RouteSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// When the text is not TOML, or a value is missing or makes no sense.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let mut settings: Self = toml::from_str(text)?;
        settings.policy.check()?;
        settings.policy.departure.round_trip = settings.callers.round_trip;
        let share = settings.budget.share;
        if !(0.0..=1.0).contains(&share) {
            return Err(Error::Value("budget.share", "not between 0 and 1"));
        }
        let cold::Options { overshoot, slack } = settings.cold;
        if !(0.0..=MOST_COLD).contains(&overshoot) || !(0.0..=MOST_COLD).contains(&slack) {
            return Err(Error::Value("cold_targets", "overshoot or slack not within 0 to 1000"));
        }
        if settings.budget.window.is_zero() {
            return Err(Error::Value("budget.window_s", "is zero"));
        }
        if !(settings.host.core_share > 0.0 && settings.host.cores > 0.0) {
            return Err(Error::Value("host.core_share", "not above zero"));
        }
        if settings.host.link_mbps.is_some_and(|mbps| mbps <= 0.0) {
            return Err(Error::Value("host.link_mbps", "not above zero"));
        }
        if settings.host.name.is_empty() {
            return Err(Error::Value("host.name", "is empty"));
        }
        Ok(settings)
    }
}
