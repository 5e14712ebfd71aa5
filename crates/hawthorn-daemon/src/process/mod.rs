//! What lives as long as the process: logs, metrics, the threads of its duties.

pub mod events;
pub mod fleet;
pub mod logs;
pub mod metrics;
