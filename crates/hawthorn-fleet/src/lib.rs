//! Membership, ownership of target groups, and propagation of configuration, as pure state
//! machines.
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Time is a
//! [`Duration`](std::time::Duration) since any fixed instant of the process and only moves forward;
//! randomness comes from a seed. The daemon passes in datagrams and the time, and executes the
//! actions that it polls.
//!
//! - [`member`]: which hosts are live, by heartbeats over UDP.
//! - [`ownership`]: which host owns a group of targets, by rendezvous hashing.
//! - [`handover`]: how many slots an owner may use while ownership changes.
//! - [`propagation`]: which configuration revision is in force, and where to fetch a newer one.
//! - [`message`]: the datagrams between daemons.
//!
//! # Driving the state machines
//!
//! For each datagram: `table.receive`. At `table.next_wake` and `handover.next_wake`, whichever is
//! earlier: `table.tick`, `handover.observe` with `table.zone_view`, `handover.tick`,
//! `propagation.set_zone` with `table.active_hosts` of its own zone, `propagation.tick`. After each
//! of these: `table.set_digest` with `propagation.digest`, then poll the actions of all three until
//! none is left. A process that may have been paused does this before it grants any slot, because
//! its shares date from before the pause.
//!
//! | action of the table | goes to |
//! |---|---|
//! | `DigestReceived` | `propagation.receive_digest` |
//! | `HandoverReceived` | `handover.observe`, then `handover.receive` |
//! | `ProcessPaused`, `DeathRefuted` | `handover.reacquire` |
//! | `ViewChanged` | `handover.observe`, and fronts choose owners again |
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod action;
pub mod handover;
pub mod member;
pub mod message;
pub mod ownership;
pub mod propagation;

pub use action::FleetAction;
pub use handover::SlotShare;
pub use member::MemberRecord;
pub use member::MemberTable;
pub use message::FleetMessage;
pub use message::MemberDigest;
pub use message::MemberHealth;
pub use message::MemberId;
pub use message::MemberPhase;
pub use message::MemberPlace;
pub use message::MemberStamp;
pub use ownership::GroupId;
pub use propagation::PropagationState;
