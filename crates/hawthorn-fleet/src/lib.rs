//! Membership, ownership of target groups, and the spread of configuration, as pure state machines.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
