//! Settings of one daemon, `daemon.toml`.
//!
//! Contains the addresses and the availability zone of the process. Configuration that can change
//! while it runs is in the inventory and the rules. Addresses are IP addresses with a port,
//! durations have a unit.

mod read;

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;
use serde_with::serde_as;

use crate::fault::ConfigFault;
use crate::unit::UnitDuration;

pub(crate) use read::NO_ADDRESS;
pub(crate) use read::is_reachable;
pub use read::read;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// Settings of one daemon, read at its start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DaemonSettings {
    /// The name of this host, unique in the fleet.
    pub host: String,
    /// The availability zone it runs in, as named in the inventory.
    pub zone: String,
    /// The region of that zone, as named in the inventory.
    pub region: String,
    /// HTTP address for callers and operators. Port 0 selects a free port.
    pub caller_address: SocketAddr,
    /// TCP and UDP address for other daemons. Port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// The address advertised to other daemons, if it differs from `peer_address`.
    pub peer_advertised: Option<SocketAddr>,
    /// HTTP address of the platform's service.
    pub platform: SocketAddr,
    /// Peer addresses to contact first if the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Limits for requests, callers and queues.
    pub limits: LimitSettings,
    /// Hedged requests to slow targets.
    pub hedge: HedgeSettings,
    /// Graceful shutdown.
    pub stop: StopSettings,
    /// Probes of targets.
    pub probe: ProbeSettings,
    /// Claims, which ensure that non-idempotent requests run at most once.
    pub claims: ClaimSettings,
    /// Failure detection between daemons.
    pub fleet: FleetSettings,
}

/// Limits for requests, callers and queues.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of all request bodies in memory, in bytes.
    pub body_memory_bytes: u64,
    /// Maximum size of an answer from one target, in bytes.
    pub max_answer_bytes: u64,
    /// Maximum number of matches that a query may request.
    pub max_limit: u32,
    /// Maximum length of a caller's request id, in bytes.
    pub max_request_id_bytes: u32,
    /// Maximum deadline that a caller may request.
    #[serde_as(as = "UnitDuration")]
    pub max_deadline: Duration,
    /// Maximum time for a client to send its request.
    #[serde_as(as = "UnitDuration")]
    pub slow_client: Duration,
    /// Maximum number of queries in flight in one front.
    pub front_queue: u32,
    /// Maximum number of queued pieces in one owner's group of targets.
    pub group_queue: u32,
    /// Maximum number of queued pieces of one caller in one group of targets.
    pub caller_queue: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 64 * KIB,
            body_memory_bytes: 16 * MIB,
            max_answer_bytes: MIB,
            max_limit: 1_000,
            max_request_id_bytes: 128,
            max_deadline: Duration::from_secs(30),
            slow_client: Duration::from_secs(5),
            front_queue: 1_024,
            group_queue: 512,
            caller_queue: 128,
        }
    }
}

/// Hedged requests to slow targets.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HedgeSettings {
    /// Maximum number of hedged attempts per 100 first attempts.
    pub budget_percent: u32,
    /// Minimum delay before a hedged attempt, regardless of measured latencies.
    #[serde_as(as = "UnitDuration")]
    pub min_delay: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self { budget_percent: 5, min_delay: Duration::from_millis(1) }
    }
}

/// Graceful shutdown.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StopSettings {
    /// Maximum time for requests in flight to finish after shutdown has begun.
    #[serde_as(as = "UnitDuration")]
    pub grace: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace: Duration::from_secs(30) }
    }
}

/// Probes of targets.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProbeSettings {
    /// Interval between probes of one target.
    #[serde_as(as = "UnitDuration")]
    pub interval: Duration,
    /// Timeout of a probe.
    #[serde_as(as = "UnitDuration")]
    pub timeout: Duration,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self { interval: Duration::from_secs(1), timeout: Duration::from_millis(500) }
    }
}

/// Claims, which ensure that non-idempotent requests run at most once.
///
/// Retention and partitioning of claims are deliberately not configurable: while a change is rolled
/// out, hosts with different values would look for the same claim in different places, and a
/// request could run twice.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimSettings {
    /// Time during which claims are batched before they are written together.
    #[serde_as(as = "UnitDuration")]
    pub gather: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { gather: Duration::from_millis(25) }
    }
}

/// Failure detection between daemons.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSettings {
    /// Interval between heartbeats to one peer.
    #[serde_as(as = "UnitDuration")]
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a peer is suspected and no longer owns targets.
    #[serde_as(as = "UnitDuration")]
    pub suspect_after: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self { heartbeat: Duration::from_millis(200), suspect_after: Duration::from_secs(1) }
    }
}

/// Result of [`read`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The settings; faulty values are replaced by placeholders.
    pub settings: DaemonSettings,
    /// All faults.
    pub faults: Vec<ConfigFault>,
}

quick_error! {
    /// Errors of [`DaemonSettings::from_toml`].
    #[derive(Debug)]
    pub enum Error {
        /// At least one fault is an error.
        Faulty(faults: Vec<ConfigFault>) {
            display("{}", crate::settings::format_faults(faults))
        }
    }
}

pub(crate) fn format_faults(faults: &[ConfigFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ConfigFault::to_string).collect();
    lines.join("\n")
}

impl DaemonSettings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// All faults, if at least one is an error.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let outcome = read(text);
        if outcome.faults.iter().any(ConfigFault::is_error) {
            return Err(Error::Faulty(outcome.faults));
        }
        Ok(outcome.settings)
    }
}
