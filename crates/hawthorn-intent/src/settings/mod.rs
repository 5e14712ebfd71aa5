//! Settings of one daemon, `daemon.toml`.
//!
//! A process learns its addresses and availability zone from here; everything
//! that operators change while it runs is in the inventory and the rules.
//! All addresses are IP numbers with a port. Durations carry their unit.

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

/// Everything one daemon is told at its start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DaemonSettings {
    /// The name of this host, unique in the fleet.
    pub host: String,
    /// The availability zone it runs in, as named in the inventory.
    pub zone: String,
    /// The region of that zone, as named in the inventory.
    pub region: String,
    /// Where callers and operators reach it, HTTP. Port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// Where other daemons reach it, TCP and UDP. Port 0 takes a free one.
    pub peer_address: SocketAddr,
    /// The address that other daemons are told, when they reach `peer_address`
    /// by another one.
    pub peer_advertised: Option<SocketAddr>,
    /// The platform's service, HTTP.
    pub platform: SocketAddr,
    /// Peer addresses to ask first when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Bounds on what one request, caller or queue may take.
    pub limits: LimitSettings,
    /// Second attempts at slow targets.
    pub hedge: HedgeSettings,
    /// Planned stop.
    pub stop: StopSettings,
    /// How targets are watched.
    pub probe: ProbeSettings,
    /// How non-idempotent requests are kept to one run.
    pub claims: ClaimSettings,
    /// How daemons watch each other.
    pub fleet: FleetSettings,
}

/// Bounds on what one request, caller or queue may take.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest answer taken from one target, in bytes.
    pub max_answer_bytes: u64,
    /// Most matches that one query may ask for.
    pub max_limit: u32,
    /// Longest request id of a caller, in bytes.
    pub max_request_id_bytes: u32,
    /// Longest deadline that a caller may ask for.
    #[serde_as(as = "UnitDuration")]
    pub max_deadline: Duration,
    /// How long a client may take to send its request.
    #[serde_as(as = "UnitDuration")]
    pub slow_client: Duration,
    /// Most queries in work at once in one front.
    pub front_queue: u32,
    /// Most pieces waiting in one owner's group of targets.
    pub group_queue: u32,
    /// Most pieces of one caller waiting in one group of targets.
    pub caller_queue: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 64 * KIB,
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

/// Second attempts at slow targets.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HedgeSettings {
    /// Most extra attempts for 100 first attempts.
    pub budget_percent: u32,
    /// No second attempt before this long, whatever the latencies seen.
    #[serde_as(as = "UnitDuration")]
    pub min_delay: Duration,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self { budget_percent: 5, min_delay: Duration::from_millis(1) }
    }
}

/// Planned stop.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StopSettings {
    /// How long requests in work may go on after the order to stop.
    #[serde_as(as = "UnitDuration")]
    pub grace: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace: Duration::from_secs(30) }
    }
}

/// How targets are watched.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProbeSettings {
    /// Between two questions to one target.
    #[serde_as(as = "UnitDuration")]
    pub interval: Duration,
    /// How long one question may take.
    #[serde_as(as = "UnitDuration")]
    pub timeout: Duration,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self { interval: Duration::from_secs(1), timeout: Duration::from_millis(500) }
    }
}

/// How non-idempotent requests are kept to one run.
///
/// How long claims are kept and how they are spread is no setting: two hosts
/// that differed in it would look for one claim in two places, and a request
/// could run twice while a change of settings rolls through the fleet.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimSettings {
    /// How long claims are gathered before they are written together.
    #[serde_as(as = "UnitDuration")]
    pub gather: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { gather: Duration::from_millis(25) }
    }
}

/// How daemons watch each other.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSettings {
    /// Between two heartbeats to one peer.
    #[serde_as(as = "UnitDuration")]
    pub heartbeat: Duration,
    /// Silence after which a peer no longer owns targets.
    #[serde_as(as = "UnitDuration")]
    pub suspect_after: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self { heartbeat: Duration::from_millis(200), suspect_after: Duration::from_secs(1) }
    }
}

/// What reading the settings gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The settings, with placeholders where `faults` has an error.
    pub settings: DaemonSettings,
    /// Every fault.
    pub faults: Vec<ConfigFault>,
}

quick_error! {
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// At least one fault is an error.
        Faulty(faults: Vec<ConfigFault>) {
            display("{}", crate::settings::lines(faults))
        }
    }
}

pub(crate) fn lines(faults: &[ConfigFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ConfigFault::to_string).collect();
    lines.join("\n")
}

impl DaemonSettings {
    /// The settings in `text`, or every fault of it.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let outcome = read(text);
        if outcome.faults.iter().any(ConfigFault::is_error) {
            return Err(Error::Faulty(outcome.faults));
        }
        Ok(outcome.settings)
    }
}
