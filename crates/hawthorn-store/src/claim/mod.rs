//! At most one run for each caller and request id.
//!
//! A claim is an entry in a value of the store, written by compare-and-swap
//! before anything is dispatched. Claims of one bucket that wait together are
//! written together. No claim depends on a lease. The reasoning is in
//! `docs/design/at-most-once.md`.

mod committer;
mod count;
mod grant;
mod group;
mod client;
mod ledger;
mod stamp;
mod sweep;

use std::time::Duration;

use hawthorn_types::CallerOutcome;
use hawthorn_types::RefusalReason;
use hawthorn_types::UnknownReason;
use tokio::time::Instant;

pub use self::client::ClaimClient;
pub use self::client::bucket_of;
pub use self::count::ClaimCounts;
pub use self::count::ClaimEvent;
pub use self::grant::ClaimGrant;
pub use self::grant::DispatchPermit;
pub use self::grant::GrantExpired;
pub use self::stamp::ParseError;
pub use self::stamp::RequestStamp;
pub use self::sweep::SweepOutcome;
pub use self::sweep::sweep;

/// Makes the nonces of two processes differ: a random number, drawn anew at
/// each start of a process. Two processes with the same one would each take
/// the other's claims for their own, so there is no default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessSeed(pub u64);

/// Limits of the claims.
///
/// `buckets`, `span`, `window` and `margin` are the same on all hosts, and
/// `buckets` and `span` of a fleet never change while ids of their window are
/// in use: two hosts that look for one claim under two keys both grant it.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Values that the claims of one span are spread over.
    pub buckets: u32,
    /// Seconds of request ids that share a value. Each write repeats the whole
    /// value, so a long span costs bytes: see `docs/design/at-most-once.md`.
    pub span: u64,
    /// How old a request id may be. Claims are kept at least as long.
    pub window: Duration,
    /// How much longer claims are kept than `window`. Has to exceed the
    /// difference between any two hosts' clocks, or a slow clock would accept
    /// an id whose claim is already gone.
    pub margin: Duration,
    /// How far in the future a request id may be stamped.
    pub skew: Duration,
    /// Shortest time between two writes of a bucket. With `buckets` it bounds
    /// the writes a second, `buckets / min_interval`, whatever the load.
    pub min_interval: Duration,
    /// Pause after a write that failed.
    pub pause: Duration,
    /// Exchanges with the store for one group of claims.
    pub max_attempts: u32,
    /// Claims in one write.
    pub max_group: usize,
    /// Claims waiting in one bucket.
    pub max_waiting: usize,
    /// Largest value written, in bytes; below the megabyte the store takes.
    pub max_value: usize,
    /// How long a claim given back waits for a write to go along with.
    pub release_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            buckets: 8,
            span: 10,
            window: Duration::from_secs(600),
            margin: Duration::from_secs(300),
            skew: Duration::from_secs(5),
            min_interval: Duration::from_millis(25),
            pause: Duration::from_millis(20),
            max_attempts: 8,
            max_group: 1024,
            max_waiting: 4096,
            max_value: 900_000,
            release_delay: Duration::from_millis(250),
        }
    }
}

/// A request that wants to run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The caller.
    pub caller: String,
    /// The caller's own request id.
    pub request_id: String,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Unix time now, by this host's clock.
    pub unix_now: Duration,
}

/// What became of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// Recorded; this send alone may run the request.
    Granted(ClaimGrant),
    /// Another send holds the claim and may have run the request.
    HeldEarlier,
    /// Certainly not recorded: this send did not run and will not.
    Unavailable(UnavailableCause),
    /// Perhaps recorded, and never to be dispatched: this send did not run and
    /// will not. The entry is taken out in the background, if it is there.
    Uncertain,
    /// The request id or the deadline does not allow a claim.
    Refused(RefusalReason),
}

impl Outcome {
    /// What the caller is told; `None` when the request may run.
    ///
    /// An uncertain claim is `not-run`: nothing was dispatched, and the keeper
    /// never will. `unknown` would be no lie, but would have the caller look
    /// for an order that cannot exist. All `not-run` speak of this send; what
    /// an earlier send of the same id was told stands.
    pub fn refusal(&self) -> Option<CallerOutcome> {
        let reason = match self {
            Self::Granted(_) => return None,
            Self::HeldEarlier => {
                return Some(CallerOutcome::Unknown(UnknownReason::ClaimedEarlier));
            }
            Self::Unavailable(cause) => cause.reason(),
            Self::Uncertain => RefusalReason::ClaimUnavailable,
            Self::Refused(reason) => *reason,
        };
        Some(CallerOutcome::NotRun(reason))
    }
}

impl UnavailableCause {
    fn reason(self) -> RefusalReason {
        match self {
            Self::QueueFull => RefusalReason::QueueFull,
            Self::Expired => RefusalReason::ExpiredInQueue,
            Self::Stopping => RefusalReason::Stopping,
            Self::Store | Self::SpanFull => RefusalReason::ClaimUnavailable,
        }
    }
}

/// Why a claim was certainly not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UnavailableCause {
    /// Too many claims wait in the bucket.
    QueueFull,
    /// The deadline passed before it was the claim's turn.
    Expired,
    /// The store did not run the writes.
    Store,
    /// The value has no room for further claims of this span.
    SpanFull,
    /// The keeper is stopping.
    Stopping,
}
