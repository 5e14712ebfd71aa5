//! Decisions under load: admit, queue, place, hedge, shift. No sockets, no clock, no threads.
//!
//! [`owner::OwnerState`] is the whole: an owner's daemon tells it what happened
//! and does what it says. The other modules each hold one decision and the
//! limits it keeps to.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admit;
pub mod budget;
pub mod counter;
pub mod hedge;
pub mod latency;
pub mod message;
pub mod owner;
pub mod place;
pub mod queue;
pub mod relay;
pub mod shift;
pub mod slots;
pub mod time;

mod arena;
mod piece;
mod timer;

pub use counter::OwnerCounters;
pub use message::AttemptResult;
pub use message::HeldShard;
pub use message::LeavingSource;
pub use message::Observation;
pub use message::OwnerAction;
pub use message::PieceKey;
pub use message::PieceResult;
pub use message::QueuedPiece;
pub use message::TargetRecord;
pub use owner::OwnerState;
pub use time::TickTime;
