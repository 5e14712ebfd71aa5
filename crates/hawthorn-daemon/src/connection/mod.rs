//! State with the lifetime of a connection between daemons.

pub mod message;
pub mod peer;
pub mod serve;
