//! Query processing in the front: admission control, planning, tracking and coverage.
//!
//! The *front* is the host that received a query. It splits the query into
//! *pieces*, each a key range of one shard, and sends them in batches to the
//! *owners*, the hosts that own the shards' targets.
//!
//! The crate performs no I/O and uses no clock or threads. Points in time are
//! [`std::time::Duration`]s since the start of the process; the caller passes
//! random numbers in as `u64`.
//!
//! | module | purpose |
//! |---|---|
//! | [`load`] | queries in flight, in total and for each caller |
//! | [`admit`] | admission control, before anything is sent |
//! | [`table`] | the shards of a service and the owners of their replicas |
//! | [`plan`] | selects the index version and an owner for each piece |
//! | [`budget`] | retry budget for fallbacks and hedged requests |
//! | [`track`] | state machine of one query: events in, actions out |
//! | [`merge`] | merges and deduplicates matches |
//! | [`window`] | adaptive concurrency window of each caller |
//! | [`cover`] | coverage of an answer, with reasons for missing ranges |
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admit;
pub mod budget;
pub mod cover;
pub mod load;
pub mod merge;
pub mod plan;
pub mod table;
pub mod track;
pub mod window;

pub use budget::RetryBudget;
pub use load::FrontLoad;
pub use merge::MergedMatches;
pub use plan::OwnerBatch;
pub use plan::PlanInput;
pub use plan::PlannedPiece;
pub use plan::QueryPlan;
pub use table::ReplicaOption;
pub use table::ShardRecord;
pub use table::ShardTable;
pub use track::QueryTrack;
pub use window::CallerWindow;
