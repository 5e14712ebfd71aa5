//! Inventory and rules, the wanted state of each target, and every fault found in them.
//!
//! Everything here is a pure function of its arguments: no sockets, no clock,
//! no files. Texts come in as `&str`, faults and decisions go out as values.
//!
//! | module | what it does |
//! |---|---|
//! | [`settings`] | reads `daemon.toml`, the settings of one process |
//! | [`inventory`] | reads `inventory.toml`: zones, services, targets |
//! | [`rules`] | reads `rules.toml`: callers and rules |
//! | [`check`] | finds every fault of all three in one run |
//! | [`wanted`] | works out the wanted state of each target |
//! | [`catalog`] | the arenas that a daemon serves from, for one revision |
//! | [`document`] | the value that the platform's store holds |
//! | [`explain`] | says which rule decided a target, and what else matched |
//! | [`diff`] | what changes from one configuration to another |
//! | [`import`] | asset register (CSV) to inventory |
//! | [`reconcile`] | what to tell targets so that the fleet matches the intent |
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod catalog;
pub mod check;
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
pub mod wanted;

pub use catalog::FleetCatalog;
pub use document::ConfigDocument;
pub use fault::ConfigFault;
pub use inventory::Inventory;
pub use rules::RuleSet;
pub use settings::DaemonSettings;
