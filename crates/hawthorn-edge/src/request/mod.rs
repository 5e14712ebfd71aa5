//! What lives as long as a caller's request.

pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod delegate;
pub(crate) mod gather;
pub(crate) mod order;
mod parts;
pub(crate) mod passing;
pub(crate) mod race;
pub(crate) mod remainder;
pub(crate) mod serve;
pub(crate) mod story;
