//! State with the lifetime of a version: of the configuration, the fleet, ownership and the owners'
//! views.

pub mod config;
pub mod fleet;
pub mod owned;
pub mod tables;
pub mod views;
