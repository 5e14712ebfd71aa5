//! A granted claim, from the store's answer to the dispatch of the request.

use std::time::Duration;

use quick_error::quick_error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::cache::Nonce;

/// A nonce to abandon, and the span whose value contains it.
#[derive(Clone, Debug)]
pub(super) struct ReleasedNonce {
    pub(super) span: u64,
    pub(super) nonce: Nonce,
}

/// The right to dispatch one request once.
///
/// If it is dropped without [`ClaimGrant::dispatch`] the claim is released: its entry is
/// removed from the store, and the same request id may be sent again.
#[derive(Debug)]
pub struct ClaimGrant {
    pub(super) released: Option<ReleasedNonce>,
    pub(super) releases: UnboundedSender<ReleasedNonce>,
    pub(super) deadline: Instant,
    pub(super) expires_at: Duration,
}

/// A grant that has been used. Dropping the permit does not release the claim.
#[derive(Debug)]
#[must_use = "the claim is used: send the request now or report that it may have run"]
pub struct DispatchPermit {
    grant: ClaimGrant,
    nonce: Option<ReleasedNonce>,
}

impl DispatchPermit {
    /// Unix time after which the claim may be gone from the store. The request must not be
    /// forwarded later.
    pub fn expires_at(&self) -> Duration {
        self.grant.expires_at
    }

    /// Turns the permit into a grant again, after the request was forwarded but certainly did
    /// not run and will not. The grant can be dispatched elsewhere or released.
    pub fn not_run(mut self) -> ClaimGrant {
        self.grant.released = self.nonce.take();
        self.grant
    }
}

quick_error! {
    /// Why a grant can no longer be used. The request did not run.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum GrantExpired {
        /// The deadline has passed, so the caller no longer waits.
        DeadlinePast {
            display("the deadline passed between the claim and the dispatch")
        }
        /// The request id is older than the window in which claims are kept.
        TooOld {
            display("the request id is older than the window of claims")
        }
    }
}

impl ClaimGrant {
    /// Uses the grant. Call it immediately before the request is sent.
    ///
    /// If the process is paused between claim and dispatch and resumes after the caller has given
    /// up, an order would take effect that nobody expects. The monotonic clock detects this
    /// unless it stops while a virtual machine is paused; then Unix time shows that the id has
    /// left the window, after which the claim may have been swept.
    ///
    /// # Errors
    /// [`GrantExpired`] if the deadline has passed or the request id is too old. The claim is
    /// released.
    pub fn dispatch(
        mut self,
        now: Instant,
        unix_now: Duration,
    ) -> Result<DispatchPermit, GrantExpired> {
        if now >= self.deadline {
            return Err(GrantExpired::DeadlinePast);
        }
        if unix_now > self.expires_at {
            return Err(GrantExpired::TooOld);
        }
        let nonce = self.released.take();
        Ok(DispatchPermit { grant: self, nonce })
    }
}

impl Drop for ClaimGrant {
    fn drop(&mut self) {
        if let Some(released) = self.released.take() {
            // If the committer has stopped, the entry stays until its span is swept.
            let _ = self.releases.send(released);
        }
    }
}
