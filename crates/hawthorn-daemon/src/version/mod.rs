//! What lives as long as a version: of the configuration, of the fleet, of
//! ownership, of what owners hold.

pub mod config;
pub mod fleet;
pub mod owned;
pub mod tables;
pub mod views;
