//! Decisions under load: admit, queue, place, hedge, shift. No sockets, no clock, no threads.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
