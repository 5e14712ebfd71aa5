//! What lives as long as a version of the routes, or a belief about targets.

pub mod beliefs;
mod reach;
