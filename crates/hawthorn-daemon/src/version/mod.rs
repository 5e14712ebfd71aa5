//! What lives as long as a version: of the configuration, of ownership, of
//! what owners hold.

pub mod config;
pub mod owned;
