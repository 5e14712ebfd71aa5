//! The operators' configuration: parses and checks inventory and rules, derives the desired state
//! of each target and plans the orders that bring the fleet to it.
//!
//! Performs no I/O and reads no clock: files are passed as `&str`, and faults and decisions are
//! returned as values.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | parses `daemon.toml`, the settings of one process |
//! | [`inventory`] | parses `inventory.toml`: zones, services, targets |
//! | [`rules`] | parses `rules.toml`: callers and rules |
//! | [`check`] | validates all three files and reports every fault |
//! | [`desired_state`] | derives the desired state of each target |
//! | [`catalog`] | immutable arenas of one revision, with integer keys |
//! | [`document`] | the configuration as stored in the platform's store |
//! | [`explain`] | which rules determine the desired state of a target |
//! | [`diff`] | changes between two configurations |
//! | [`import`] | converts the asset register (CSV) to an inventory |
//! | [`reconcile`] | plans orders that bring targets to their desired state |
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod catalog;
pub mod check;
pub mod desired_state;
pub mod diff;
pub mod document;
pub mod explain;
pub mod fault;
pub mod field;
pub mod glob;
pub mod group;
pub mod import;
pub mod inventory;
pub mod reconcile;
pub mod rules;
pub mod settings;
pub mod source;
pub mod unit;

pub use catalog::FleetCatalog;
pub use document::ConfigDocument;
pub use fault::ConfigFault;
pub use inventory::Inventory;
pub use rules::RuleSet;
pub use settings::DaemonSettings;
