//! State with the lifetime of a request.

pub mod api;
pub mod body;
pub mod describe;
pub mod front;
pub mod once;
pub mod query;
pub mod status;
