//! Settings of a host that routes requests.

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_connections::budget;
use hawthorn_route::cold;
use hawthorn_route::confirmation;
use hawthorn_route::home::RegionMap;
use hawthorn_route::policy;
use hawthorn_route::policy::RoutePolicy;
use hawthorn_route::quota::QuotaLimits;
use hawthorn_route::send_deadline;
use quick_error::quick_error;
use rustix::process::Resource;
use rustix::process::getrlimit;
use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationSeconds;
use serde_with::serde_as;

quick_error! {
    /// The reason why settings were rejected.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not TOML, or a key is missing or of the wrong type.
        Toml(source: toml::de::Error) {
            display("{source}")
            from()
        }
        /// A value is out of range.
        Value(key: &'static str, why: &'static str) {
            display("{key}: {why}")
        }
        /// A value of the policy is out of range.
        Policy(source: policy::Error) {
            display("{source}")
            from()
        }
    }
}

/// Least memory and descriptors with which a host can serve.
const MIN_MEMORY_MB: u64 = 32;
const MAX_MEMORY_MB: u64 = 1 << 20;
const MIN_DESCRIPTORS: u64 = 256;
const MAX_DESCRIPTORS: u64 = 1 << 20;
/// Descriptors that are not for connections.
const RESERVED_DESCRIPTORS: usize = 200;
/// Memory of an open connection without a request.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Memory of an open request with its attempts.
const REQUEST_BYTES: usize = 32 * 1024;
/// Number of answers of the maximum size that fit into the memory.
const MIN_BUFFERED_ANSWERS: usize = 256;

/// The maximum of `overshoot` and `slack` in the settings of cold targets.
const MAX_COLD_EXCESS: f64 = 1000.0;

/// Shortest and longest time within which versions are in force: a value outside is probably a
/// mistaken unit.
const MIN_APPLY_LIMIT: Duration = Duration::from_millis(500);
const MAX_APPLY_LIMIT: Duration = Duration::from_secs(600);
/// The maximum window of quotas: as for the times of the policy, an hour.
const MAX_QUOTA_WINDOW: Duration = Duration::from_secs(3600);
/// The maximum share by which a quota may be exceeded; with more it would limit nothing.
const MAX_QUOTA_OVERSHOOT: f64 = 10.0;
/// The maximum number of requests by which a quota may be exceeded.
const MAX_QUOTA_SLACK: f64 = 100_000.0;

/// All settings. Unknown keys are ignored, so that older hosts can read newer files.
#[derive(Clone, Debug, Deserialize)]
pub struct RouteSettings {
    /// The identity and capacity of this host.
    pub host: HostSettings,
    /// The region of each availability zone.
    #[serde(default)]
    pub zones: RegionMap,
    /// The addresses on which the host listens.
    pub listen: ListenSettings,
    /// Settings that apply to all callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Discovery of the other hosts of the fleet.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// When versions of the configuration come into force.
    #[serde(default)]
    pub configuration: ConfigurationSettings,
    /// Settings that apply to all targets.
    pub targets: TargetSettings,
    /// Settings of the shutdown.
    pub stop: StopSettings,
    /// The budget of extra attempts.
    pub budget: BudgetSettings,
    /// Limits on requests to cold targets.
    #[serde(default, rename = "cold_targets")]
    pub cold: cold::Options,
    /// Strict revocation of callers' keys; if missing, keys are checked against the newest known
    /// configuration, however old it is.
    #[serde(default)]
    pub revocation: Option<RevocationSettings>,
    /// Limits on customers' requests.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// The routing policy. Unlike elsewhere, an unknown key is an error here: a limit with a
    /// misspelled key would not be enforced.
    #[serde(default)]
    pub policy: RoutePolicy,
}

/// The identity and capacity of this host.
#[derive(Clone, Debug, Deserialize)]
pub struct HostSettings {
    /// Host name, unique in the fleet.
    pub name: String,
    /// The host's availability zone.
    pub zone: String,
    /// Share of each core that the host may use; 1 if not given.
    #[serde(default = "one")]
    pub core_share: f64,
    /// Number of cores; 1 if not given.
    #[serde(default = "one")]
    pub cores: f64,
    /// Memory of the machine in MiB; limits what callers' connections and requests hold.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Maximum number of open descriptors; limits the number of connections. The limit of the
    /// process if not given.
    #[serde(default = "process_descriptors")]
    pub max_fds: u64,
    /// Link bandwidth in Mbit/s; bulk messages are not paced if not given.
    pub link_mbps: Option<f64>,
}

fn one() -> f64 {
    1.0
}

fn default_memory() -> u64 {
    256
}

fn process_descriptors() -> u64 {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(MAX_DESCRIPTORS);
    limit.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS)
}

impl HostSettings {
    fn memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20)
    }

    /// Descriptors for connections. The rest is for files, listeners and the runtime.
    fn connection_descriptors(&self) -> usize {
        usize::try_from(self.max_fds).unwrap_or(usize::MAX).saturating_sub(RESERVED_DESCRIPTORS)
    }

    /// Limits on callers' connections: half of the descriptors, an eighth of the memory for the
    /// connections themselves and another for requests and answers.
    pub fn caller_connections(&self) -> budget::Options {
        let by_memory = self.memory_bytes() / 8 / CONNECTION_BYTES;
        budget::Options {
            max_connections: (self.connection_descriptors() / 2).min(by_memory),
            max_bytes: self.memory_bytes() / 8,
            ..budget::Options::default()
        }
    }

    /// Limits on connections of other hosts: a quarter of the descriptors.
    pub fn peer_connections(&self) -> budget::Options {
        budget::Options::with_max_connections(self.connection_descriptors() / 4)
    }

    /// Maximum number of bytes of the bodies of other hosts' queries: an eighth of the memory.
    pub fn max_peer_bodies(&self) -> usize {
        self.memory_bytes() / 8
    }

    /// Maximum number of open requests: a quarter of the memory.
    pub fn max_open_requests(&self) -> usize {
        self.memory_bytes() / 4 / REQUEST_BYTES
    }

    /// Maximum number of bytes of an answer that are buffered, whatever the policy.
    pub fn max_buffered_answer(&self) -> usize {
        self.memory_bytes() / MIN_BUFFERED_ANSWERS
    }
}

/// The addresses on which the host listens.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    /// Address for other hosts of the fleet.
    pub peers: SocketAddr,
    /// The address at which other hosts reach `peers`, if it differs.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
}

impl ListenSettings {
    /// The address at which other hosts of the fleet reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers_advertised.unwrap_or(self.peers)
    }
}

/// Settings that apply to all callers.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct CallerSettings {
    /// Round-trip time to a caller, used if the kernel has no measurement: a typical value
    /// within a region.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "round_trip_ms")]
    pub round_trip: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self { round_trip: send_deadline::Options::default().round_trip }
    }
}

/// Discovery of the other hosts of the fleet.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct FleetSettings {
    /// Addresses of hosts that may be running. Only the IP address is used, as all hosts listen
    /// for peers on the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
}

/// When versions of the configuration come into force.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ConfigurationSettings {
    /// Time after the store acknowledged a version, within which it is in force on every host that
    /// reaches the store.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "apply_ms")]
    pub apply_limit: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self { apply_limit: Duration::from_secs(3) }
    }
}

/// Settings that apply to all targets.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct TargetSettings {
    /// Interval of a target's heartbeats to the store.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "beat_ms")]
    pub heartbeat: Duration,
    /// Time for which a draining target continues to serve.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "leave_ms")]
    pub drain_time: Duration,
}

/// Settings of the shutdown.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct StopSettings {
    /// Time between the stop signal and forced termination.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "grace_ms")]
    pub grace: Duration,
}

/// The budget of extra attempts, for each service.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct BudgetSettings {
    /// Extra attempts per request in the window, over all hosts.
    pub share: f64,
    /// Length of the sliding window.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: Duration,
    /// Extra attempts beyond the share, over all hosts.
    pub allowance: f64,
}

/// Strict revocation of callers' keys.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RevocationSettings {
    /// Time after the store acknowledged a version without a key, from which no request with the
    /// key may run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "within_ms")]
    pub within: Duration,
}

/// How far customers' quotas may be exceeded.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: Duration,
    /// Share of the quota by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.0, slack: 0.0 }
    }
}

impl QuotaSettings {
    /// The settings as the decisions use them.
    pub fn limits(&self) -> QuotaLimits {
        let Self { window, overshoot, slack } = *self;
        QuotaLimits { window, overshoot, slack }
    }
}

impl RouteSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    /// When the text is not TOML, or a value is missing or makes no sense.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let mut settings: Self = toml::from_str(text)?;
        settings.policy.check()?;
        settings.policy.departure.round_trip = settings.callers.round_trip;
        let share = settings.budget.share;
        if !(0.0..=1.0).contains(&share) {
            return Err(Error::Value("budget.share", "must be between 0 and 1"));
        }
        let cold::Options { overshoot, slack } = settings.cold;
        if !(0.0..=MAX_COLD_EXCESS).contains(&overshoot)
            || !(0.0..=MAX_COLD_EXCESS).contains(&slack)
        {
            return Err(Error::Value(
                "cold_targets",
                "overshoot and slack must be between 0 and 1000",
            ));
        }
        let QuotaSettings { window, overshoot, slack } = settings.quota;
        if window.is_zero() || window > MAX_QUOTA_WINDOW {
            return Err(Error::Value("quota.window_s", "must be between 1 and 3600"));
        }
        if !(0.0..=MAX_QUOTA_OVERSHOOT).contains(&overshoot) {
            return Err(Error::Value("quota.overshoot", "must be between 0 and 10"));
        }
        if !(0.0..=MAX_QUOTA_SLACK).contains(&slack) {
            return Err(Error::Value("quota.slack", "must be between 0 and 100000"));
        }
        if settings.budget.window.is_zero() {
            return Err(Error::Value("budget.window_s", "must not be zero"));
        }
        if !(settings.host.core_share > 0.0 && settings.host.cores > 0.0) {
            return Err(Error::Value("host.core_share", "must be positive"));
        }
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&settings.host.memory_mb) {
            return Err(Error::Value("host.memory_mb", "must be between 32 and 1048576"));
        }
        if !(MIN_DESCRIPTORS..=MAX_DESCRIPTORS).contains(&settings.host.max_fds) {
            return Err(Error::Value("host.max_fds", "must be between 256 and 1048576"));
        }
        if settings.host.link_mbps.is_some_and(|mbps| mbps <= 0.0) {
            return Err(Error::Value("host.link_mbps", "must be positive"));
        }
        if let Some(RevocationSettings { within }) = settings.revocation {
            if within < confirmation::MIN_REVOCATION {
                let why = "must be at least 3200: the configuration is confirmed every 1.2 s, and \
                           0.5 s for the store, 1.2 s for a peer and 0.3 s of margin are needed";
                return Err(Error::Value("revocation.within_ms", why));
            }
            if within > confirmation::MAX_REVOCATION {
                return Err(Error::Value("revocation.within_ms", "must be at most 600000"));
            }
        }
        if !(MIN_APPLY_LIMIT..=MAX_APPLY_LIMIT).contains(&settings.configuration.apply_limit) {
            return Err(Error::Value("configuration.apply_ms", "must be between 500 and 600000"));
        }
        if settings.host.name.is_empty() {
            return Err(Error::Value("host.name", "must not be empty"));
        }
        Ok(settings)
    }
}
