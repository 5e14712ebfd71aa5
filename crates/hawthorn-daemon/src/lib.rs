//! The process: threads, sockets and life spans around the decisions.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
