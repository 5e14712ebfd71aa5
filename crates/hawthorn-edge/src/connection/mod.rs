//! What lives as long as a connection, of a caller or a peer.

pub mod listen;
pub mod message;
pub mod peer;
