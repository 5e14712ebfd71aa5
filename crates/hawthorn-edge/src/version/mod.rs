//! State with the lifetime of a version of the routes, and state of targets.

mod reachability;
pub mod state;
