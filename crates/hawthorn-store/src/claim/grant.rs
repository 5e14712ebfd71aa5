//! A claim that was granted, from the answer of the store to the dispatch.

use std::time::Duration;

use quick_error::quick_error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::ledger::Nonce;

/// A nonce to give up, and the span whose value holds it.
#[derive(Clone, Debug)]
pub(super) struct ReleasedNonce {
    pub(super) span: u64,
    pub(super) nonce: Nonce,
}

/// The right to dispatch one request once.
///
/// Dropped without [`ClaimGrant::dispatch`], it is given back: the entry is
/// taken out of the store, and the same request id may be sent again.
#[derive(Debug)]
pub struct ClaimGrant {
    pub(super) released: Option<ReleasedNonce>,
    pub(super) releases: UnboundedSender<ReleasedNonce>,
    pub(super) deadline: Instant,
    pub(super) expires_at: Duration,
}

/// The right to send the request once, spent. Dropped, it stays spent.
#[derive(Debug)]
#[must_use = "the claim is spent: send the request now or report that it may have run"]
pub struct DispatchPermit {
    spent: ClaimGrant,
    held: Option<ReleasedNonce>,
}

impl DispatchPermit {
    /// When the claim may be gone from the store, as Unix time: whoever sends
    /// the request on must not do so later.
    pub fn expires_at(&self) -> Duration {
        self.spent.expires_at
    }

    /// The request was sent on and certainly did not run and will not: the
    /// claim is unspent again, to be sent elsewhere or given back.
    pub fn not_run(mut self) -> ClaimGrant {
        self.spent.released = self.held.take();
        self.spent
    }
}

quick_error! {
    /// Why a grant can no longer be used. The request was not run.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum GrantExpired {
        /// The caller no longer waits.
        DeadlinePast {
            display("the deadline passed between the claim and the dispatch")
        }
        /// The request id is older than ids for which claims are kept.
        TooOld {
            display("the request id is older than the window of claims")
        }
    }
}

impl ClaimGrant {
    /// Spends the grant. To be called right before the request is sent.
    ///
    /// Failure: the process is paused between claim and dispatch and wakes
    /// after the caller has given up; the caller sees a barge it no longer
    /// expects. The monotonic clock tells that, except where it stands still
    /// while a virtual machine is paused; then Unix time tells that the id has
    /// left the window, beyond which the claim may be swept.
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
        let held = self.released.take();
        Ok(DispatchPermit { spent: self, held })
    }
}

impl Drop for ClaimGrant {
    fn drop(&mut self) {
        if let Some(released) = self.released.take() {
            // The keeper is gone: the entry stays until claims of its span are swept.
            let _ = self.releases.send(released);
        }
    }
}
