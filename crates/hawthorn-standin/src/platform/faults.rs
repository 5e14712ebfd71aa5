//! What a test can make the platform do wrong.

use std::time::Duration;

/// Faults in force at the platform. The counted ones are used up one a
/// write or deletion of a key; leases leave them alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct PlatformFaults {
    /// Added to the time of each call.
    pub extra_delay: Duration,
    /// Whether it is down, and how that shows.
    pub outage: StoreOutage,
    /// The next so many writes take effect, and then the connection closes
    /// without an answer.
    pub lost_write_answers: u32,
    /// The next so many writes take effect and are answered 503.
    pub applied_unavailable: u32,
}

/// How an outage shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum StoreOutage {
    /// There is none.
    #[default]
    None,
    /// Every call is answered 503 and takes no effect.
    Unavailable,
    /// No call is answered as long as it lasts; none takes effect. A call that
    /// still waits when the outage ends is answered 503.
    Hang,
}
