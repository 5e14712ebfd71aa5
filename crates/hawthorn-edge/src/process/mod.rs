//! What lives as long as the process.

pub mod catalog;
pub mod clock;
pub(crate) mod cold;
pub mod events;
pub mod feed;
pub mod fleet;
pub mod host;
pub mod logs;
pub mod metrics;
pub mod quarantine;
pub mod reach;
pub mod traffic;
pub mod turns;
