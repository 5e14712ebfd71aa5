//! Limits on what the clients of a process can make it hold: memory and open connections.
//!
//! [`budget`] decides, without sockets or a clock; [`table`] applies it to the tasks that serve
//! connections; [`body`] collects what they receive.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod body;
pub mod budget;
pub mod table;
