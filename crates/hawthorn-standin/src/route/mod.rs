//! Stand-ins for the users' platform as hosts that route requests meet it: the
//! store that targets register in, and targets that run callers' requests.

pub mod operator;
pub mod store;
pub mod target;
mod wire;
pub mod headers;

pub use store::RouteStore;
pub use target::RouteTarget;
