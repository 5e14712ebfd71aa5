//! A soak: seeded faults against a fleet of real `route` processes, under the load of callers whose
//! requests may run once at most, may be repeated, or are gathered over shards.
//!
//! | module | holds |
//! |---|---|
//! | [`settings`] | size of the fleet, load and permitted faults, from TOML |
//! | [`plan`] | what a seed does: hosts, load and faults |
//! | [`catalog`] | versions of the configuration, and what each allows |
//! | [`run`], [`campaign`] | one run of a plan, and several of them |
//! | [`fleet`], [`host`], [`target`] | the processes and stand-ins of a run |
//! | [`callers`], [`balancer`], [`wire`] | load on the hosts' callers' ports |
//! | [`faults`] | how each kind of fault is applied |
//! | [`history`] | what callers, targets and the store saw |
//! | [`check`] | the promises that the history must keep |
//! | [`report`] | the files that a run leaves behind |
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod balancer;
pub mod callers;
pub mod campaign;
pub mod catalog;
pub mod check;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod host;
pub mod plan;
pub mod report;
pub mod run;
pub mod settings;
pub mod target;
pub mod wire;
