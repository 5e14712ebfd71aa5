//! What lives as long as a connection: to targets and between daemons.

pub mod message;
pub mod peer;
pub mod serve;
