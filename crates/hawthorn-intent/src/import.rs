//! Converts the asset register (CSV) to an inventory: the register lists the hardware, a base
//! inventory defines zones and services.
//!
//! An invalid row is skipped and reported with all reasons; the other rows are imported. Missing
//! values are never guessed.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

use csv::StringRecord;
use hawthorn_types::ShardName;
use quick_error::quick_error;
use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

use crate::inventory::Inventory;
use crate::inventory::MAX_CONNECTIONS;
use crate::inventory::MAX_SLOTS;
use crate::inventory::TargetEntry;
use crate::inventory::is_name;
use crate::inventory::shard_number;
use crate::settings::is_reachable;

/// Names of the register's columns and of the statuses that are imported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Column of the asset number.
    pub asset: String,
    /// Column of the target name.
    pub name: String,
    /// Column of the service.
    pub service: String,
    /// Column of the zone.
    pub zone: String,
    /// Column of the address, as `IP:PORT`.
    pub address: String,
    /// Column of the shards, separated by spaces.
    pub shards: String,
    /// Column of the asset status.
    pub status: String,
    /// Column of the slots. Optional.
    pub slots: String,
    /// Column of the connections. Optional.
    pub connections: String,
    /// Status of assets in use.
    pub in_use: String,
    /// Status of spare assets.
    pub spare: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            asset: "asset".to_owned(),
            name: "name".to_owned(),
            service: "service".to_owned(),
            zone: "zone".to_owned(),
            address: "address".to_owned(),
            shards: "shards".to_owned(),
            status: "status".to_owned(),
            slots: "slots".to_owned(),
            connections: "connections".to_owned(),
            in_use: "in-use".to_owned(),
            spare: "spare".to_owned(),
        }
    }
}

/// Why a row was skipped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum SkipReason {
    /// The row is not valid CSV.
    #[strum(to_string = "not CSV: {0}")]
    Malformed(String),
    /// The asset is neither in use nor spare.
    #[strum(to_string = "status {0:?}")]
    Status(String),
    /// A required column is empty.
    #[strum(to_string = "no {0}")]
    Missing(String),
    /// Not a valid name.
    #[strum(to_string = "not a name: {0:?}")]
    BadName(String),
    /// The base inventory has no such zone.
    #[strum(to_string = "no zone {0:?} in the inventory")]
    UnknownZone(String),
    /// The base inventory has no such service.
    #[strum(to_string = "no service {0:?} in the inventory")]
    UnknownService(String),
    /// The service has no such shard.
    #[strum(to_string = "the service has no shard {0:?}")]
    UnknownShard(String),
    /// The row names a shard twice.
    #[strum(to_string = "shard {0:?} twice")]
    RepeatedShard(String),
    /// Not a valid `IP:PORT`.
    #[strum(to_string = "not an IP number with a port: {0:?}")]
    BadAddress(String),
    /// Not a number within the limits.
    #[strum(to_string = "not a number within the limits: {0:?}")]
    BadNumber(String),
    /// An earlier row has the same name, asset or address.
    #[strum(to_string = "{0:?} is in an earlier row")]
    Duplicate(String),
}

/// A skipped row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SkippedRow {
    /// The line in the register, counted from 1.
    pub line: u64,
    /// The asset number as read; empty if it is absent or the row is not valid CSV.
    pub asset: String,
    /// All reasons.
    pub reasons: Vec<SkipReason>,
}

impl fmt::Display for SkippedRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reasons: Vec<String> = self.reasons.iter().map(SkipReason::to_string).collect();
        write!(f, "line {}: asset {:?} skipped: {}", self.line, self.asset, reasons.join("; "))
    }
}

/// Result of an import.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Zones and services of the base inventory with the targets of the register.
    pub inventory: Inventory,
    /// The inventory as `inventory.toml`.
    pub toml: String,
    /// The skipped rows.
    pub skipped: Vec<SkippedRow>,
    /// Columns of the register that were ignored.
    pub ignored_columns: Vec<String>,
}

quick_error! {
    /// Errors that prevent an import.
    #[derive(Debug)]
    pub enum Error {
        /// The header row is invalid.
        Header(err: csv::Error) {
            display("the register's header can't be read: {err}")
            source(err)
        }
        /// Required columns are absent.
        MissingColumns(names: Vec<String>) {
            display("the register has no column {}", names.join(", "))
        }
        /// The inventory could not be serialized.
        Toml(err: toml::ser::Error) {
            display("the inventory can't be written: {err}")
            source(err)
            from()
        }
    }
}

/// Imports the register in `csv`. Zones and services are taken from `base`.
///
/// # Errors
///
/// If the header is invalid or lacks a required column, or if the inventory cannot be serialized.
/// Invalid rows are not errors.
pub fn import(csv: &str, base: &Inventory, options: &Options) -> Result<Outcome, Error> {
    let mut reader =
        csv::ReaderBuilder::new().flexible(true).trim(csv::Trim::All).from_reader(csv.as_bytes());
    let header = reader.headers().map_err(Error::Header)?.clone();
    check_header(&header, options)?;
    let mut importer = RowImporter { base, options, header: &header, used_values: HashSet::new() };
    let mut inventory = Inventory { targets: Vec::new(), ..base.clone() };
    let mut skipped = Vec::new();
    for row in reader.records() {
        match row.map_err(|err| malformed(&err)).and_then(|row| importer.target(&row)) {
            Ok(target) => inventory.targets.push(target),
            Err(row) => skipped.push(row),
        }
    }
    let toml = toml::to_string(&inventory)?;
    let ignored_columns = ignored_columns(&header, options);
    Ok(Outcome { inventory, toml, skipped, ignored_columns })
}

fn malformed(err: &csv::Error) -> SkippedRow {
    SkippedRow {
        line: err.position().map_or(0, csv::Position::line),
        asset: String::new(),
        reasons: vec![SkipReason::Malformed(err.to_string())],
    }
}

impl Options {
    fn required_columns(&self) -> [&String; 7] {
        [
            &self.asset,
            &self.name,
            &self.service,
            &self.zone,
            &self.address,
            &self.shards,
            &self.status,
        ]
    }

    fn optional_columns(&self) -> [&String; 2] {
        [&self.slots, &self.connections]
    }
}

fn check_header(header: &StringRecord, options: &Options) -> Result<(), Error> {
    let is_absent = |name: &&String| !header.iter().any(|column| column == **name);
    let required = options.required_columns().into_iter();
    let missing: Vec<String> = required.filter(is_absent).cloned().collect();
    if missing.is_empty() { Ok(()) } else { Err(Error::MissingColumns(missing)) }
}

fn ignored_columns(header: &StringRecord, options: &Options) -> Vec<String> {
    let required = options.required_columns();
    let known: Vec<&String> = required.into_iter().chain(options.optional_columns()).collect();
    let ignored = header.iter().filter(|column| !known.iter().any(|name| *name == column));
    ignored.map(str::to_owned).collect()
}

/// Converts rows; keeps the unique values of earlier ones to detect duplicates.
struct RowImporter<'r> {
    base: &'r Inventory,
    options: &'r Options,
    header: &'r StringRecord,
    used_values: HashSet<(&'r str, String)>,
}

impl<'r> RowImporter<'r> {
    fn target(&mut self, row: &StringRecord) -> Result<TargetEntry, SkippedRow> {
        let options = self.options;
        let mut cells = RowCells { header: self.header, row, reasons: Vec::new() };
        let spare = cells.status(options);
        let target = TargetEntry {
            name: cells.name(&options.name),
            asset: cells.name(&options.asset),
            service: cells.required(&options.service).to_owned(),
            zone: cells.required(&options.zone).to_owned(),
            address: cells.address(&options.address),
            shards: cells.shards(&options.shards),
            slots: cells.number(&options.slots, MAX_SLOTS),
            connections: cells.number(&options.connections, MAX_CONNECTIONS),
            spare,
        };
        let mut reasons = cells.reasons;
        self.check_names(&target, &mut reasons);
        if reasons.is_empty() {
            self.check_unique(&target, &mut reasons);
        }
        if reasons.is_empty() {
            return Ok(target);
        }
        let line = row.position().map_or(0, csv::Position::line);
        Err(SkippedRow { line, asset: target.asset, reasons })
    }

    fn check_names(&self, target: &TargetEntry, reasons: &mut Vec<SkipReason>) {
        let zone = &target.zone;
        if !zone.is_empty() && !self.base.zones.iter().any(|entry| entry.name == *zone) {
            reasons.push(SkipReason::UnknownZone(zone.clone()));
        }
        let name = &target.service;
        let Some(service) = self.base.services.iter().find(|entry| entry.name == *name) else {
            if !name.is_empty() {
                reasons.push(SkipReason::UnknownService(name.clone()));
            }
            return;
        };
        let unknown = target.shards.iter().filter(|shard| shard_number(service, shard).is_none());
        reasons.extend(unknown.map(|shard| SkipReason::UnknownShard(shard.0.clone())));
    }

    /// Checks that name, asset and address are not used by an earlier row. Those of skipped rows
    /// are not recorded.
    fn check_unique(&mut self, target: &TargetEntry, reasons: &mut Vec<SkipReason>) {
        let options = self.options;
        let values = [
            (&*options.asset, target.asset.clone()),
            (&*options.name, target.name.clone()),
            (&*options.address, target.address.to_string()),
        ];
        let duplicates = values.iter().filter(|value| self.used_values.contains(*value));
        reasons.extend(duplicates.map(|(_, value)| SkipReason::Duplicate(value.clone())));
        if reasons.is_empty() {
            self.used_values.extend(values);
        }
    }
}

/// Reads the cells of a row by column and collects reasons to skip it.
struct RowCells<'r> {
    header: &'r StringRecord,
    row: &'r StringRecord,
    reasons: Vec<SkipReason>,
}

impl<'r> RowCells<'r> {
    fn cell(&self, column: &str) -> &'r str {
        let index = self.header.iter().position(|name| name == column);
        index.and_then(|index| self.row.get(index)).unwrap_or_default()
    }

    fn required(&mut self, column: &str) -> &'r str {
        let cell = self.cell(column);
        if cell.is_empty() {
            self.reasons.push(SkipReason::Missing(column.to_owned()));
        }
        cell
    }

    fn status(&mut self, options: &Options) -> bool {
        let status = self.cell(&options.status);
        if status != options.in_use && status != options.spare {
            self.reasons.push(SkipReason::Status(status.to_owned()));
        }
        status == options.spare
    }

    fn name(&mut self, column: &str) -> String {
        let name = self.required(column);
        if !name.is_empty() && !is_name(name) {
            self.reasons.push(SkipReason::BadName(name.to_owned()));
        }
        name.to_owned()
    }

    fn address(&mut self, column: &str) -> SocketAddr {
        let cell = self.required(column);
        match cell.parse().ok().filter(|&address| is_reachable(address)) {
            Some(address) => address,
            None => {
                if !cell.is_empty() {
                    self.reasons.push(SkipReason::BadAddress(cell.to_owned()));
                }
                crate::settings::NO_ADDRESS
            }
        }
    }

    fn shards(&mut self, column: &str) -> SmallVec<[ShardName; 2]> {
        let cell = self.required(column);
        let mut shards = SmallVec::new();
        for shard in cell.split_whitespace().map(|shard| ShardName(shard.to_owned())) {
            if shards.contains(&shard) {
                self.reasons.push(SkipReason::RepeatedShard(shard.0.clone()));
            }
            shards.push(shard);
        }
        shards
    }

    fn number(&mut self, column: &str, max: u32) -> Option<u32> {
        let cell = self.cell(column);
        let number = cell.parse().ok().filter(|number| (1..=max).contains(number));
        if number.is_none() && !cell.is_empty() {
            self.reasons.push(SkipReason::BadNumber(cell.to_owned()));
        }
        number
    }
}
