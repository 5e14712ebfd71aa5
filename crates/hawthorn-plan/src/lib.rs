//! Decisions of the front: admit a query whole, plan it at one version, state its coverage.
//!
//! Nothing here knows a socket, a clock or a thread. Moments are
//! [`std::time::Duration`] since the start of the process, randomness comes in
//! as a `u64` drawn by whoever calls.
//!
//! | module | its one job |
//! |---|---|
//! | [`load`] | what the front has in flight, for each caller |
//! | [`admit`] | take or refuse a whole query before anything is sent |
//! | [`table`] | the shards of a service and who can search them |
//! | [`plan`] | one version, one owner for each piece |
//! | [`budget`] | how much extra work fallbacks may cause |
//! | [`track`] | the life of one query, events in and actions out |
//! | [`merge`] | the best matches, each document once |
//! | [`window`] | how much of a caller's load is let in at once |
//! | [`cover`] | what the answer covers and what it does not |
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
