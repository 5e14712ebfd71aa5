//! Whether a request that does not fit the configuration may be rejected for good.
//!
//! Handles hosts that are cut off from the store or late with updates while operators add routes
//! and keys. Callers never retry a request that was rejected for good, and a version that this host
//! lacks may allow it.

use std::time::Duration;

/// What a host knows of the configuration when a request does not fit the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownVersions {
    /// How long ago the store confirmed the newest version that the host has received; `None` if it
    /// never did.
    pub confirmed_age: Option<Duration>,
    /// Whether that version allows the request. It may not be in force yet.
    pub newest_allows: bool,
}

/// What the host may state about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It does not fit any version that may be in force.
    Rejected,
    /// The newest version allows it and comes into force soon.
    NotInForce,
    /// A version that the host has not received may be in force and allow it.
    Unconfirmed,
}

/// Judges a request that does not fit the version in force. `apply_limit` is the time within which
/// a version that the store acknowledged is in force on every host that reaches the store.
pub fn judge(known: KnownVersions, apply_limit: Duration) -> Outcome {
    if known.newest_allows {
        return Outcome::NotInForce;
    }
    match known.confirmed_age {
        Some(age) if age < apply_limit => Outcome::Rejected,
        Some(_) | None => Outcome::Unconfirmed,
    }
}
