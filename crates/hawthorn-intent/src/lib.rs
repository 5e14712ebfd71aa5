//! Inventory and rules, the wanted state of each target, and every fault found in them.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
