//! The daemon process: the threads, sockets and state around the decision crates.
//!
//! Modules are grouped by the lifetime of their state: [`request`], [`connection`], [`version`] and
//! [`process`]. [`owner`] is the worker thread that holds the targets.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod connection;
pub mod owner;
pub mod process;
pub mod request;
pub mod version;
