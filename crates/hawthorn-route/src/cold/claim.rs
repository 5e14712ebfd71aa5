//! Claims of a zone's slots for cold targets; see [`crate::share`].

use std::time::Duration;

use super::SLOTS;
use crate::share;
use crate::share::ClaimTerms;

pub use crate::share::SlotWrite;
pub use crate::share::WriteOutcome;

/// How long a slot may be used after the write that confirmed it was sent.
pub const TERM: Duration = Duration::from_secs(1);
/// Part of the term after which the holder writes the slot again.
const RENEW_SHARE: f64 = 0.4;
/// A slot that has not changed for this long has no holder, and the requests of the last one no
/// longer count: the term, the second in which requests are counted, and a margin.
const STALE_TIME: Duration = Duration::from_millis(2200);

/// The terms of slots for cold targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdTerms;

impl ClaimTerms for ColdTerms {
    fn slots(&self) -> u32 {
        SLOTS
    }

    fn term(&self) -> Duration {
        TERM
    }

    fn renewal(&self) -> Duration {
        TERM.mul_f64(RENEW_SHARE)
    }

    fn stale_time(&self) -> Duration {
        STALE_TIME
    }
}

/// One host's claim on a slot of its zone.
pub type SlotClaim = share::SlotClaim<ColdTerms>;
