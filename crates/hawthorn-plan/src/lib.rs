//! Decisions of the front: admit a query whole, plan it at one version, state its coverage.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
