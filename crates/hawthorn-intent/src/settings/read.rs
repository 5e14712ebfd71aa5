//! Parses the settings key by key and checks their limits.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::field::FieldValue;
use crate::inventory::check_name;
use crate::settings::ClaimSettings;
use crate::settings::DaemonSettings;
use crate::settings::FleetSettings;
use crate::settings::HedgeSettings;
use crate::settings::KIB;
use crate::settings::LimitSettings;
use crate::settings::MIB;
use crate::settings::Outcome;
use crate::settings::ProbeSettings;
use crate::settings::StopSettings;
use crate::source::ConfigSource;
use crate::source::TableReader;

/// Parses settings and reports all their faults.
pub fn read(text: &str) -> Outcome {
    let mut faults = Vec::new();
    let source = ConfigSource::parse(ConfigFile::Settings, text, &mut faults);
    let mut reader = source.reader(&mut faults);
    let settings = read_settings(&mut reader);
    reader.finish();
    check_constraints(&source, &settings, &mut faults);
    Outcome { settings, faults }
}

/// Placeholder for an address that is absent or invalid.
pub(crate) const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

fn read_settings(reader: &mut TableReader<'_, '_>) -> DaemonSettings {
    DaemonSettings {
        host: name(reader, "host"),
        zone: name(reader, "zone"),
        region: name(reader, "region"),
        caller_address: listen_address(reader, "caller_address"),
        peer_address: listen_address(reader, "peer_address"),
        peer_advertised: advertised_address(reader),
        platform: remote_address(reader, "platform"),
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

/// Reads an address that this process listens on and advertises. Port 0 is allowed, since it is
/// resolved when listening; an unspecified IP address is not, since it never is.
fn listen_address(reader: &mut TableReader<'_, '_>, key: &'static str) -> SocketAddr {
    let address = reader.required(key, NO_ADDRESS);
    if address != NO_ADDRESS && address.ip().is_unspecified() {
        reject_address(reader, key, address);
    }
    address
}

fn remote_address(reader: &mut TableReader<'_, '_>, key: &'static str) -> SocketAddr {
    let address = reader.required(key, NO_ADDRESS);
    if address != NO_ADDRESS && !is_reachable(address) {
        reject_address(reader, key, address);
    }
    address
}

fn advertised_address(reader: &mut TableReader<'_, '_>) -> Option<SocketAddr> {
    let address = reader.optional("peer_advertised");
    if let Some(address) = address.filter(|&address| !is_reachable(address)) {
        reject_address(reader, "peer_advertised", address);
    }
    address
}

/// Whether `address` can be the destination of a connection.
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
    let defaults = LimitSettings::default();
    LimitSettings {
        max_body_bytes: reader.within("max_body_bytes", defaults.max_body_bytes, KIB..=16 * MIB),
        body_memory_bytes: reader.within(
            "body_memory_bytes",
            defaults.body_memory_bytes,
            MIB..=1024 * MIB,
        ),
        max_answer_bytes: reader.within(
            "max_answer_bytes",
            defaults.max_answer_bytes,
            KIB..=64 * MIB,
        ),
        max_limit: reader.within("max_limit", defaults.max_limit, 1..=100_000),
        max_request_id_bytes: reader.within(
            "max_request_id_bytes",
            defaults.max_request_id_bytes,
            16..=1_024,
        ),
        max_deadline: reader.within("max_deadline", defaults.max_deadline, ms(1)..=secs(600)),
        slow_client: reader.within("slow_client", defaults.slow_client, ms(10)..=secs(60)),
        front_queue: reader.within("front_queue", defaults.front_queue, 1..=1_000_000),
        group_queue: reader.within("group_queue", defaults.group_queue, 1..=1_000_000),
        caller_queue: reader.within("caller_queue", defaults.caller_queue, 1..=1_000_000),
    }
}

fn hedge(reader: &mut TableReader<'_, '_>) -> HedgeSettings {
    let defaults = HedgeSettings::default();
    HedgeSettings {
        budget_percent: reader.within("budget_percent", defaults.budget_percent, 0..=100),
        min_delay: reader.within("min_delay", defaults.min_delay, Duration::ZERO..=secs(10)),
    }
}

fn stop(reader: &mut TableReader<'_, '_>) -> StopSettings {
    let defaults = StopSettings::default();
    StopSettings { grace: reader.within("grace", defaults.grace, ms(100)..=secs(600)) }
}

fn probe(reader: &mut TableReader<'_, '_>) -> ProbeSettings {
    let defaults = ProbeSettings::default();
    ProbeSettings {
        interval: reader.within("interval", defaults.interval, ms(20)..=secs(60)),
        timeout: reader.within("timeout", defaults.timeout, ms(1)..=secs(60)),
    }
}

fn claims(reader: &mut TableReader<'_, '_>) -> ClaimSettings {
    let defaults = ClaimSettings::default();
    ClaimSettings { gather: reader.within("gather", defaults.gather, ms(5)..=ms(1_000)) }
}

fn fleet(reader: &mut TableReader<'_, '_>) -> FleetSettings {
    let defaults = FleetSettings::default();
    FleetSettings {
        heartbeat: reader.within("heartbeat", defaults.heartbeat, ms(20)..=secs(10)),
        suspect_after: reader.within("suspect_after", defaults.suspect_after, ms(60)..=secs(60)),
    }
}

/// Minimum of `suspect_after`, in heartbeat intervals.
const MIN_SUSPECT_HEARTBEATS: u32 = 3;

/// Checks constraints between keys.
fn check_constraints(
    source: &ConfigSource<'_>,
    settings: &DaemonSettings,
    faults: &mut Vec<ConfigFault>,
) {
    let fleet = &settings.fleet;
    // With a lower limit, a single lost datagram could move the ownership of targets, which
    // causes a wave of new connections of 6 ms each. Three consecutive losses are unlikely to be
    // coincidence.
    let min = fleet.heartbeat * MIN_SUSPECT_HEARTBEATS;
    if fleet.suspect_after < min {
        let expected = format!("at least {MIN_SUSPECT_HEARTBEATS} heartbeats, {}", min.show());
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
