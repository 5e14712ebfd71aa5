//! Overload decisions of an owner: admission, queueing, replica selection, hedging, and shifting
//! traffic between targets. The crate has no sockets, no clock and no threads.
//!
//! An *owner* is the process that sends all attempts to a target. It is selected by rendezvous
//! hashing over the hosts of the target's zone; when the hosts change, a handover protocol divides
//! the target's slots between the former and the new owner. A *front* is the process that receives
//! a caller's query and splits it into *pieces*, one for each shard. An *attempt* is one
//! transmission of a piece to a target.
//!
//! [`owner::OwnerState`] is the entry point: a state machine that takes events and returns
//! actions. Each of the other modules holds one decision and its limits.
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
pub use message::DrainSource;
pub use message::HeldShard;
pub use message::Observation;
pub use message::OwnerAction;
pub use message::PieceKey;
pub use message::PieceResult;
pub use message::QueuedPiece;
pub use message::TargetRecord;
pub use owner::OwnerState;
pub use time::TickTime;
