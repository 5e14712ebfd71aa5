//! A host that routes requests. Modules are grouped by the lifetime of what they hold.
//!
//! | module | lives as long as |
//! |---|---|
//! | [`process`] | the process: start, shutdown, updates from the store, logs, metrics |
//! | [`version`] | a version of the routes, and state of targets |
//! | [`connection`] | a caller's connection |
//! | [`request`] | a caller's request |
//! | [`settings`] | the process; read at the start and on reload |
//!
//! Routing decisions are made in `hawthorn-route`; this crate adds sockets, timers and tasks.
//! One thread holds connections, targets and routing state: a host has about a quarter of a
//! core, so a second thread would not add throughput, and waking it costs as much processor
//! time as merging the parts of one request. A separate thread writes the log.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod connection;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;
