//! Client of the platform's key-value service, configuration edits and at-most-once claims.
//!
//! | module | purpose |
//! |---|---|
//! | [`store`] | store interface and outcomes of its calls |
//! | [`client`] | HTTP client with bounded connections and counters |
//! | [`edit`] | configuration edits by compare-and-swap |
//! | [`claim`] | at-most-once execution for each caller and request id |
//!
//! Outcomes are values. A write whose answer was lost is `Uncertain`, not a failure: it may
//! have taken effect, or may still do so.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod claim;
pub mod client;
pub mod edit;
pub mod store;

pub use claim::ClaimClient;
pub use client::StoreClient;
pub use store::DeleteOutcome;
pub use store::NotRunCause;
pub use store::ReadError;
pub use store::Store;
pub use store::UncertainCause;
pub use store::WriteOutcome;
