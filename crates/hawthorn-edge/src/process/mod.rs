//! State and tasks with the lifetime of the process.

pub mod catalog;
pub mod catch_up;
pub mod clock;
pub(crate) mod cold;
pub mod events;
pub mod fleet;
pub mod host;
pub mod logs;
pub mod loop_clock;
pub mod metrics;
pub mod panics;
pub(crate) mod peer_updates;
pub mod quarantine;
pub(crate) mod quota;
pub mod reachability;
pub mod store_sync;
pub mod traffic;
pub mod zone_reports;
