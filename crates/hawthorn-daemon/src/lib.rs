//! The process: threads, sockets and life spans around the decisions.
//!
//! Modules are laid out by life span: [`process`], [`connection`].
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod connection;
pub mod process;
