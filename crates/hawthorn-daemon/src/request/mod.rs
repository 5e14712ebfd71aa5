//! What lives as long as a request.

pub mod api;
pub mod body;
pub mod describe;
pub mod front;
pub mod once;
pub mod query;
pub mod status;
