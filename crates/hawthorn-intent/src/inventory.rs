//! The inventory, `inventory.toml`: zones, services and targets, drawn from the
//! asset register.

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

/// Most shards of one service.
pub const MAX_SHARDS: u32 = 65_536;
/// Most slots of one target.
pub const MAX_SLOTS: u32 = 4_096;
/// Most connections that one target takes.
pub const MAX_CONNECTIONS: u32 = 65_536;
/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Everything operators own, whether it is switched on or not.
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
    /// Its name.
    pub name: String,
    /// The region that it is in.
    pub region: String,
}

/// One service, which is one sharded index.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// How many shards it has.
    pub shards: u32,
    /// How many requests one of its targets works on at once.
    pub slots: u32,
    /// How many connections one of its targets takes, from all hosts together.
    pub connections: u32,
    /// What a new connection costs.
    #[serde_as(as = "UnitDuration")]
    pub connect_cost: Duration,
    /// How long a target takes from switched on to warm.
    #[serde_as(as = "UnitDuration")]
    pub cold_start: Duration,
    /// How much a late answer hurts, when a query doesn't say.
    pub urgency: UrgencyClass,
}

/// One target, which is one server holding replicas of shards.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetEntry {
    /// Its name.
    pub name: String,
    /// Its number in the asset register.
    pub asset: String,
    /// The service whose shards it holds.
    pub service: String,
    /// The availability zone it stands in.
    pub zone: String,
    /// Where it is reached, HTTP.
    pub address: SocketAddr,
    /// The shards it holds.
    pub shards: SmallVec<[ShardName; 2]>,
    /// Slots, when other than its service's.
    pub slots: Option<u32>,
    /// Connections, when other than its service's.
    pub connections: Option<u32>,
    /// Kept switched off unless a rule says otherwise.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub spare: bool,
}

/// The name of shard `number` of a service with `count` shards: two digits, or
/// as many as the last one needs.
pub fn shard_name(service: &str, number: u32, count: u32) -> ShardName {
    let width = count.saturating_sub(1).to_string().len().max(2);
    ShardName(format!("{service}/{number:0width$}"))
}

/// The number of the shard named `name`, when `service` has it.
pub fn shard_number(service: &ServiceEntry, name: &ShardName) -> Option<u32> {
    let (_, digits) = name.0.rsplit_once('/')?;
    let number: u32 = digits.parse().ok()?;
    let exact =
        number < service.shards && shard_name(&service.name, number, service.shards) == *name;
    exact.then_some(number)
}

/// What reading the inventory gave.
pub struct Outcome<'i> {
    /// The inventory, with placeholders where `faults` has an error.
    pub inventory: Inventory,
    /// Every fault that can be seen in one entry alone.
    pub faults: Vec<ConfigFault>,
    /// The parsed text, for the lines of further faults.
    pub source: ConfigSource<'i>,
}

/// Reads `text` to its end, whatever faults it has.
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

/// What a new connection costs when the inventory doesn't say.
const USUAL_CONNECT_COST: Duration = Duration::from_millis(6);
/// How long a cold start takes when the inventory doesn't say.
const USUAL_COLD_START: Duration = Duration::from_secs(30);
/// Longest cold start that is not a slip of the pen.
const MAX_COLD_START: Duration = Duration::from_secs(3_600);
/// Longest connect cost that is not a slip of the pen.
const MAX_CONNECT_COST: Duration = Duration::from_secs(10);

fn service(reader: &mut TableReader<'_, '_>) -> ServiceEntry {
    ServiceEntry {
        name: name(reader, "name"),
        shards: reader.required_within("shards", 1..=MAX_SHARDS),
        slots: reader.required_within("slots", 1..=MAX_SLOTS),
        connections: reader.required_within("connections", 1..=MAX_CONNECTIONS),
        connect_cost: reader.within(
            "connect_cost",
            USUAL_CONNECT_COST,
            Duration::ZERO..=MAX_CONNECT_COST,
        ),
        cold_start: reader.within("cold_start", USUAL_COLD_START, Duration::ZERO..=MAX_COLD_START),
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

/// Whether names may have `c`: names go into paths, hashes and logs unescaped.
fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

/// Whether `name` can be a name.
pub(crate) fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_name_char)
}

/// Notes a fault when `name` at `key` can't be a name; an absent one was noted before.
pub(crate) fn check_name(reader: &mut TableReader<'_, '_>, key: &str, name: &str) {
    if !is_name(name) && reader.has_text(key) {
        let expected = format!("1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, -, _ and .");
        reader.reject(key, FaultKind::BadName, format!("{name:?}"), expected);
    }
}
