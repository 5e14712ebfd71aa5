//! State with the lifetime of the process: logs, metrics and worker threads.

pub(crate) mod clock;
pub mod daemon;
pub mod events;
pub mod fleet;
pub mod intent;
pub mod logs;
pub mod metrics;
pub mod options;
pub mod reconcile;
pub mod refresh;
pub mod sample;
pub mod store;
pub mod sweep;
pub mod worker;
