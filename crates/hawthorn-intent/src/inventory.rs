//! The inventory, `inventory.toml`: zones, services and targets. It can be generated from the asset
//! register.

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_types::ShardName;
use hawthorn_types::UrgencyClass;
use serde::Serialize;
use serde_with::serde_as;
use serde_with::skip_serializing_none;
use smallvec::SmallVec;

use crate::fault::ConfigFault;
use crate::fault::ConfigFile;
use crate::fault::FaultKind;
use crate::settings::NO_ADDRESS;
use crate::settings::is_reachable;
use crate::source::ConfigSource;
use crate::source::TableReader;
use crate::unit::UnitDuration;

/// Maximum number of shards of a service.
pub const MAX_SHARDS: u32 = 65_536;
/// Maximum number of slots of a target.
pub const MAX_SLOTS: u32 = 4_096;
/// Maximum number of connections to a target.
pub const MAX_CONNECTIONS: u32 = 65_536;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// All zones, services and targets, whether switched on or off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Inventory {
    /// The availability zones.
    #[serde(rename = "zone")]
    pub zones: Vec<ZoneEntry>,
    /// The services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceEntry>,
    /// The targets.
    #[serde(rename = "target")]
    pub targets: Vec<TargetEntry>,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneEntry {
    /// The name.
    pub name: String,
    /// The region that the zone is in.
    pub region: String,
}

/// A service, which is a sharded index.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceEntry {
    /// The name.
    pub name: String,
    /// Number of shards.
    pub shards: u32,
    /// Maximum number of concurrent requests of a target.
    pub slots: u32,
    /// Maximum number of connections to a target from all hosts together.
    pub connections: u32,
    /// Time to open a new connection.
    #[serde_as(as = "UnitDuration")]
    pub connect_cost: Duration,
    /// Time that a target takes from power-on until it is warm.
    #[serde_as(as = "UnitDuration")]
    pub cold_start: Duration,
    /// Urgency of queries that do not set one.
    pub urgency: UrgencyClass,
}

/// A target, which is a server that holds replicas of shards.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetEntry {
    /// The name.
    pub name: String,
    /// Asset number in the asset register.
    pub asset: String,
    /// The service whose shards it holds.
    pub service: String,
    /// The availability zone that it is in.
    pub zone: String,
    /// The HTTP address.
    pub address: SocketAddr,
    /// The shards that it holds.
    pub shards: SmallVec<[ShardName; 2]>,
    /// Overrides [`ServiceEntry::slots`].
    pub slots: Option<u32>,
    /// Overrides [`ServiceEntry::connections`].
    pub connections: Option<u32>,
    /// Whether it is spare hardware, which is off unless a rule sets another state.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub spare: bool,
}

/// Name of shard `number` of a service with `count` shards. The number is padded to the width of
/// the last shard's number and to at least two digits.
pub fn shard_name(service: &str, number: u32, count: u32) -> ShardName {
    let width = count.saturating_sub(1).to_string().len().max(2);
    ShardName(format!("{service}/{number:0width$}"))
}

/// Number of the shard with this name, if it belongs to `service`.
pub fn shard_number(service: &ServiceEntry, name: &ShardName) -> Option<u32> {
    let (_, digits) = name.0.rsplit_once('/')?;
    let number: u32 = digits.parse().ok()?;
    let is_canonical =
        number < service.shards && shard_name(&service.name, number, service.shards) == *name;
    is_canonical.then_some(number)
}

/// Result of [`read`].
pub struct Outcome<'i> {
    /// The inventory; faulty values are replaced by placeholders.
    pub inventory: Inventory,
    /// All faults that do not involve other entries.
    pub faults: Vec<ConfigFault>,
    /// The parsed file, which provides the lines of faults found later.
    pub source: ConfigSource<'i>,
}

/// Parses an inventory and reports all its faults.
pub fn read(text: &str) -> Outcome<'_> {
    let mut faults = Vec::new();
    let source = ConfigSource::parse(ConfigFile::Inventory, text, &mut faults);
    let mut reader = source.reader(&mut faults);
    let inventory = Inventory {
        zones: reader.tables("zone", zone),
        services: reader.tables("service", service),
        targets: reader.tables("target", target),
    };
    reader.finish();
    Outcome { inventory, faults, source }
}

fn zone(reader: &mut TableReader<'_, '_>) -> ZoneEntry {
    ZoneEntry { name: name(reader, "name"), region: name(reader, "region") }
}

/// Default of [`ServiceEntry::connect_cost`].
const DEFAULT_CONNECT_COST: Duration = Duration::from_millis(6);
/// Default of [`ServiceEntry::cold_start`].
const DEFAULT_COLD_START: Duration = Duration::from_secs(30);
/// Maximum cold start. Longer ones are assumed to be typing errors.
const MAX_COLD_START: Duration = Duration::from_secs(3_600);
/// Maximum connect cost. Larger ones are assumed to be typing errors.
const MAX_CONNECT_COST: Duration = Duration::from_secs(10);

fn service(reader: &mut TableReader<'_, '_>) -> ServiceEntry {
    ServiceEntry {
        name: name(reader, "name"),
        shards: reader.required_within("shards", 1..=MAX_SHARDS),
        slots: reader.required_within("slots", 1..=MAX_SLOTS),
        connections: reader.required_within("connections", 1..=MAX_CONNECTIONS),
        connect_cost: reader.within(
            "connect_cost",
            DEFAULT_CONNECT_COST,
            Duration::ZERO..=MAX_CONNECT_COST,
        ),
        cold_start: reader.within(
            "cold_start",
            DEFAULT_COLD_START,
            Duration::ZERO..=MAX_COLD_START,
        ),
        urgency: reader.or_default("urgency", UrgencyClass::default()),
    }
}

fn target(reader: &mut TableReader<'_, '_>) -> TargetEntry {
    TargetEntry {
        name: name(reader, "name"),
        asset: name(reader, "asset"),
        service: name(reader, "service"),
        zone: name(reader, "zone"),
        address: address(reader),
        shards: shards(reader),
        slots: reader.optional_within("slots", 1..=MAX_SLOTS),
        connections: reader.optional_within("connections", 1..=MAX_CONNECTIONS),
        spare: reader.or_default("spare", false),
    }
}

fn name(reader: &mut TableReader<'_, '_>, key: &'static str) -> String {
    let name: String = reader.required(key, String::new());
    check_name(reader, key, &name);
    name
}

fn address(reader: &mut TableReader<'_, '_>) -> SocketAddr {
    let address = reader.required("address", NO_ADDRESS);
    if address != NO_ADDRESS && !is_reachable(address) {
        let expected = "an address that can be connected to".to_owned();
        reader.reject("address", FaultKind::BadAddress, address.to_string(), expected);
    }
    address
}

fn shards(reader: &mut TableReader<'_, '_>) -> SmallVec<[ShardName; 2]> {
    let shards = reader.list::<String>("shards");
    if shards.is_empty() {
        let expected = "at least one shard, such as [\"agent-desk/03\"]".to_owned();
        reader.reject("shards", FaultKind::MissingKey, "no shards".to_owned(), expected);
    }
    shards.into_iter().map(|(_, shard)| ShardName(shard)).collect()
}

/// Whether `c` is allowed in names, which are used unescaped in paths, hashes and logs.
fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

/// Whether `name` is a valid name.
pub(crate) fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_name_char)
}

/// Reports a fault if the name at `key` is invalid. An absent key is reported elsewhere.
pub(crate) fn check_name(reader: &mut TableReader<'_, '_>, key: &str, name: &str) {
    if !is_name(name) && reader.is_string(key) {
        let expected = format!("1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, -, _ and .");
        reader.reject(key, FaultKind::BadName, format!("{name:?}"), expected);
    }
}
