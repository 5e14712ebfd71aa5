//! Faults that a test can inject into the platform.

use std::time::Duration;

/// Active faults of the platform. Each write or deletion of a key consumes one of a
/// counted fault; calls on leases do not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct PlatformFaults {
    /// Additional delay of each call.
    pub extra_delay: Duration,
    /// The outage, if any.
    pub outage: StoreOutage,
    /// Number of next writes that take effect and whose connection is closed without
    /// an answer.
    pub lost_write_answers: u32,
    /// Number of next writes that take effect and are answered with status 503.
    pub applied_unavailable: u32,
}

/// Kinds of outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum StoreOutage {
    /// No outage.
    #[default]
    None,
    /// Every call is answered with status 503 and has no effect.
    Unavailable,
    /// No call is answered during the outage, and none has an effect. Calls that still
    /// wait at its end are answered with status 503.
    Hang,
}
