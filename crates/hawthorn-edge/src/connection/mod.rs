//! What lives as long as a caller's connection.

pub mod listen;
