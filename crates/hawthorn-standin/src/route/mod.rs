//! Stand-ins for the users' platform as seen by hosts that route requests: the store
//! in which targets register, and targets that run callers' requests.

pub mod operator;
pub mod store;
pub mod target;
pub mod wire;
pub mod headers;

pub use store::RouteStore;
pub use target::RouteTarget;
