//! State with the lifetime of a connection, of a caller or a peer.

pub(crate) mod evictions;
pub(crate) mod head;
pub mod listen;
pub mod message;
mod open;
pub mod peer;
