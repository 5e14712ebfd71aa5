//! State with the lifetime of a caller's request.

pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod commit;
pub(crate) mod context;
pub(crate) mod delegate;
pub(crate) mod dispatch;
pub(crate) mod forward;
pub(crate) mod gather;
mod head_size;
mod parts;
pub(crate) mod quota;
pub(crate) mod race;
pub(crate) mod rejection;
pub mod remainder;
pub(crate) mod request_log;
pub(crate) mod serve;
pub(crate) mod stopping;
