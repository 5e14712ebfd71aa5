//! At-most-once execution for each caller and request id.
//!
//! A claim is an entry in a value of the store, written by compare-and-swap before the request
//! is dispatched. Pending claims of one bucket are written in batches. Claims do not depend on
//! leases. The design is explained in `docs/design/at-most-once.md`.

mod batch;
mod cache;
mod client;
mod committer;
mod count;
mod grant;
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

/// Random number that makes nonces unique to a process, drawn at each start. There is no
/// default: two processes with the same seed would each treat the other's claims as their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessSeed(pub u64);

/// Limits of claims.
///
/// `buckets`, `span`, `window` and `margin` must be the same on all hosts. `buckets` and
/// `span` must not change while ids of the window are in use: two hosts that store the same
/// claim under different keys both grant it.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of values over which the claims of one span are distributed.
    pub buckets: u32,
    /// Seconds of request ids that share a value. Each write contains the complete value, so
    /// a longer span costs more bytes: see `docs/design/at-most-once.md`.
    pub span: u64,
    /// Maximum age of a request id. Claims are kept at least as long.
    pub window: Duration,
    /// How much longer than `window` claims are kept. Must exceed the difference between any
    /// two hosts' clocks: otherwise a host with a slow clock accepts an id whose claim is
    /// already deleted.
    pub margin: Duration,
    /// How far in the future the timestamp of a request id may lie.
    pub skew: Duration,
    /// Minimum interval between two writes of a bucket. Limits the writes per second to
    /// `buckets / min_interval` at any load.
    pub min_interval: Duration,
    /// Delay after a failed read or write.
    pub retry_delay: Duration,
    /// Maximum number of exchanges with the store for one batch.
    pub max_attempts: u32,
    /// Maximum number of claims in one write.
    pub max_batch: usize,
    /// Maximum number of pending claims in one bucket.
    pub max_pending: usize,
    /// Maximum size of a written value in bytes; below the megabyte that the store accepts.
    pub max_value: usize,
    /// How long a released claim waits for a write that can also remove it.
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
            retry_delay: Duration::from_millis(20),
            max_attempts: 8,
            max_batch: 1024,
            max_pending: 4096,
            max_value: 900_000,
            release_delay: Duration::from_millis(250),
        }
    }
}

/// A request for a claim.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The caller.
    pub caller: String,
    /// The request id, made by the caller.
    pub request_id: String,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Current Unix time, by this host's clock.
    pub unix_now: Duration,
}

/// Outcome of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// Recorded: only this send may run the request.
    Granted(ClaimGrant),
    /// Another send holds the claim and may have run the request.
    HeldEarlier,
    /// Certainly not recorded: this send did not run the request and will not.
    Unavailable(UnavailableCause),
    /// Possibly recorded, but never dispatched: this send did not run the request and will
    /// not. If there is an entry, it is removed in the background.
    Uncertain,
    /// The request id is not valid for a claim.
    Refused(RefusalReason),
}

impl Outcome {
    /// The outcome returned to the caller; `None` if the request may run.
    ///
    /// An uncertain claim is `not-run`, as nothing was dispatched or ever will be. `unknown`
    /// would also be correct, but would have the caller search for an order that cannot
    /// exist. `not-run` refers to this send only; it does not replace the outcome of an
    /// earlier send of the same id.
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
    /// Too many claims are pending in the bucket.
    QueueFull,
    /// The deadline passed before the claim was recorded.
    Expired,
    /// The store did not apply the writes.
    Store,
    /// The value of this span has reached its maximum size.
    SpanFull,
    /// The bucket task is stopping.
    Stopping,
}
