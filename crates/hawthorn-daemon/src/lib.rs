//! The process: threads, sockets and life spans around the decisions.
//!
//! Modules are laid out by life span: [`request`], [`connection`], [`version`],
//! [`process`]; [`owner`] is the duty that holds targets.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod connection;
pub mod owner;
pub mod process;
pub mod request;
pub mod version;
