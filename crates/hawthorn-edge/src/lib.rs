//! A host that routes requests, laid out by life span.
//!
//! | module | lives as long as |
//! |---|---|
//! | [`process`] | the process: start, stop, news from the store, logs, metrics |
//! | [`version`] | one version of routes and of beliefs about targets |
//! | [`connection`] | a caller's connection |
//! | [`request`] | a caller's request |
//! | [`settings`] | what a host is told at its start |
//!
//! All decisions are in `hawthorn-route`; here are the sockets around them. One
//! thread holds callers, targets and beliefs: a quarter of a core has no use
//! for a second, and each wake-up of one costs as much as a request's merge.
//! A second thread writes the log.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod connection;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;
