//! The platform's key-value service: client, configuration edits and at-most-once claims.
//!
//! | module | its one job |
//! |---|---|
//! | [`store`] | what the rest needs of a store, and the outcomes of a call |
//! | [`client`] | that over HTTP, bounded and counted |
//! | [`edit`] | one configuration edit by compare-and-swap |
//! | [`claim`] | at most one run for each caller and request id |
//!
//! Outcomes are values. A write whose answer was lost is `Uncertain`, never a
//! failure: it may have taken effect, or still may.
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
