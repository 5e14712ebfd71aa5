//! Settings of one daemon, `daemon.toml`.
//!
//! A process learns its addresses and availability zone from here; everything
//! that operators change while it runs is in the inventory and the rules.
//! All addresses are IP numbers with a port. Durations carry their unit.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;
use serde_with::serde_as;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::field::FieldValue;
use crate::inventory::check_name;
use crate::source::ConfigSource;
use crate::source::TableReader;
use crate::unit::UnitDuration;

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
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimSettings {
    /// How long a claim is kept; older request ids are refused.
    #[serde_as(as = "UnitDuration")]
    pub window: Duration,
    /// Into how many values of the store the claims of one minute are spread.
    pub buckets: u32,
    /// How long claims are gathered before they are written together.
    #[serde_as(as = "UnitDuration")]
    pub gather: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { window: Duration::from_secs(600), buckets: 16, gather: Duration::from_millis(2) }
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
        Self { heartbeat: Duration::from_millis(500), suspect_after: Duration::from_secs(2) }
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

/// Reads `text` to its end, whatever faults it has.
pub fn read(text: &str) -> Outcome {
    let mut faults = Vec::new();
    let source = ConfigSource::parse(ConfigFile::Settings, text, &mut faults);
    let mut reader = source.reader(&mut faults);
    let settings = read_settings(&mut reader);
    reader.finish();
    check_order(&source, &settings, &mut faults);
    Outcome { settings, faults }
}

/// Stands for an address that could not be read.
pub(crate) const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

fn read_settings(reader: &mut TableReader<'_, '_>) -> DaemonSettings {
    DaemonSettings {
        host: name(reader, "host"),
        zone: name(reader, "zone"),
        region: name(reader, "region"),
        caller_address: listen_address(reader, "caller_address"),
        peer_address: listen_address(reader, "peer_address"),
        platform: peer_of(reader, "platform"),
        seeds: seeds(reader),
        limits: reader.table("limits", limits),
        hedge: reader.table("hedge", hedge),
        stop: reader.table("stop", stop),
        probe: reader.table("probe", probe),
        claims: reader.table("claims", claims),
        fleet: reader.table("fleet", fleet),
    }
}

fn name(reader: &mut TableReader<'_, '_>, key: &'static str) -> String {
    let name: String = reader.required(key, String::new());
    check_name(reader, key, &name);
    name
}

/// An address that this process listens on and that others are told: port 0
/// is resolved once it listens, an unspecified IP number never is.
fn listen_address(reader: &mut TableReader<'_, '_>, key: &'static str) -> SocketAddr {
    let address = reader.required(key, NO_ADDRESS);
    if address != NO_ADDRESS && address.ip().is_unspecified() {
        reject_address(reader, key, address);
    }
    address
}

fn peer_of(reader: &mut TableReader<'_, '_>, key: &'static str) -> SocketAddr {
    let address = reader.required(key, NO_ADDRESS);
    if address != NO_ADDRESS && !is_reachable(address) {
        reject_address(reader, key, address);
    }
    address
}

/// Whether a connection to `address` could ever be made.
pub(crate) fn is_reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}

fn reject_address(reader: &mut TableReader<'_, '_>, key: &str, address: SocketAddr) {
    let expected = "an address that others can connect to".to_owned();
    reader.reject(key, FaultKind::BadAddress, address.to_string(), expected);
}

fn seeds(reader: &mut TableReader<'_, '_>) -> Vec<SocketAddr> {
    let seeds = reader.list::<SocketAddr>("seeds");
    for &(index, seed) in &seeds {
        if !is_reachable(seed) {
            reject_address(reader, &format!("seeds[{index}]"), seed);
        }
    }
    seeds.into_iter().map(|(_, seed)| seed).collect()
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn limits(reader: &mut TableReader<'_, '_>) -> LimitSettings {
    let usual = LimitSettings::default();
    LimitSettings {
        max_body_bytes: reader.within("max_body_bytes", usual.max_body_bytes, KIB..=16 * MIB),
        max_answer_bytes: reader.within("max_answer_bytes", usual.max_answer_bytes, KIB..=64 * MIB),
        max_limit: reader.within("max_limit", usual.max_limit, 1..=100_000),
        max_request_id_bytes: reader.within(
            "max_request_id_bytes",
            usual.max_request_id_bytes,
            16..=1_024,
        ),
        max_deadline: reader.within("max_deadline", usual.max_deadline, ms(1)..=secs(600)),
        slow_client: reader.within("slow_client", usual.slow_client, ms(10)..=secs(60)),
        front_queue: reader.within("front_queue", usual.front_queue, 1..=1_000_000),
        group_queue: reader.within("group_queue", usual.group_queue, 1..=1_000_000),
        caller_queue: reader.within("caller_queue", usual.caller_queue, 1..=1_000_000),
    }
}

fn hedge(reader: &mut TableReader<'_, '_>) -> HedgeSettings {
    let usual = HedgeSettings::default();
    HedgeSettings {
        budget_percent: reader.within("budget_percent", usual.budget_percent, 0..=100),
        min_delay: reader.within("min_delay", usual.min_delay, Duration::ZERO..=secs(10)),
    }
}

fn stop(reader: &mut TableReader<'_, '_>) -> StopSettings {
    let usual = StopSettings::default();
    StopSettings { grace: reader.within("grace", usual.grace, ms(100)..=secs(600)) }
}

fn probe(reader: &mut TableReader<'_, '_>) -> ProbeSettings {
    let usual = ProbeSettings::default();
    ProbeSettings {
        interval: reader.within("interval", usual.interval, ms(20)..=secs(60)),
        timeout: reader.within("timeout", usual.timeout, ms(1)..=secs(60)),
    }
}

fn claims(reader: &mut TableReader<'_, '_>) -> ClaimSettings {
    let usual = ClaimSettings::default();
    ClaimSettings {
        window: reader.within("window", usual.window, secs(60)..=secs(86_400)),
        buckets: reader.within("buckets", usual.buckets, 1..=256),
        gather: reader.within("gather", usual.gather, Duration::ZERO..=ms(100)),
    }
}

fn fleet(reader: &mut TableReader<'_, '_>) -> FleetSettings {
    let usual = FleetSettings::default();
    FleetSettings {
        heartbeat: reader.within("heartbeat", usual.heartbeat, ms(20)..=secs(10)),
        suspect_after: reader.within("suspect_after", usual.suspect_after, ms(60)..=secs(60)),
    }
}

/// Heartbeats that may be lost in a row before a peer is suspected.
const LOST_HEARTBEATS: u32 = 3;

/// Faults between two keys that are each good alone.
fn check_order(
    source: &ConfigSource<'_>,
    settings: &DaemonSettings,
    faults: &mut Vec<ConfigFault>,
) {
    let fleet = &settings.fleet;
    // One lost datagram must not move the ownership of targets: that shows as
    // a wave of new connections, 6 ms each. Three in a row are not chance.
    let least = fleet.heartbeat * LOST_HEARTBEATS;
    if fleet.suspect_after < least {
        let expected = format!("at least {LOST_HEARTBEATS} heartbeats, {}", least.show());
        let found = fleet.suspect_after.show();
        let path = "fleet.suspect_after".to_owned();
        faults.push(source.fault(path, FaultKind::OutOfRange, found, expected));
    }
    let probe = &settings.probe;
    if probe.timeout > probe.interval {
        let expected = format!("at most the interval, {}", probe.interval.show());
        let path = "probe.timeout".to_owned();
        let found = probe.timeout.show();
        faults.push(source.fault(path, FaultKind::OutOfRange, found, expected));
    }
    let callers = settings.caller_address;
    if callers == settings.peer_address && callers.port() != 0 {
        let expected = "an address other than caller_address".to_owned();
        let path = "peer_address".to_owned();
        faults.push(source.fault(path, FaultKind::Duplicate, callers.to_string(), expected));
    }
}
