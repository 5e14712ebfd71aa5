//! State of one bucket at one host.

use std::time::Duration;

use super::SlotShare;
use crate::message::MemberId;

/// Ownership state of a bucket, which usually passes through remote, acquiring, owned, yielding,
/// draining and remote again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BucketState {
    /// Another host owns it; no request of it runs here.
    Remote,
    /// Owned, but another host may still use it.
    Acquiring(AcquiringState),
    /// Owned exclusively.
    Owned {
        /// Until when another host's ownership request counts; in the past if there is none.
        contested: Duration,
    },
    /// Another host owns it; fronts that don't know yet are still served.
    Yielding {
        /// The new owner.
        to: Option<MemberId>,
        /// When ownership was lost.
        since: Duration,
    },
    /// No request is started; those in flight may finish.
    Draining {
        /// The new owner, notified when no request runs any more.
        to: Option<MemberId>,
        /// The earliest time to notify it.
        until: Duration,
    },
}

/// A bucket that is being acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AcquiringState {
    /// The previous owner, if known.
    pub(super) former: Option<MemberId>,
    /// When ownership was gained.
    pub(super) since: Duration,
    /// When `former` was last asked to release it, or found to be gone.
    pub(super) requested_at: Option<Duration>,
    /// Whether `former` uses at most half by now: it acknowledged, or is gone.
    pub(super) acknowledged: bool,
}

impl BucketState {
    /// Owned exclusively, without an ownership request from another host.
    pub(super) const OWNED: Self = Self::Owned { contested: Duration::ZERO };

    /// The state of a bucket that was just gained.
    pub(super) fn acquiring(now: Duration, former: Option<MemberId>) -> Self {
        Self::Acquiring(AcquiringState {
            former,
            since: now,
            requested_at: None,
            acknowledged: false,
        })
    }

    /// The share in this state. A daemon that may be isolated never uses more than half, because
    /// the others may have taken over already.
    pub(super) fn share(self, now: Duration, quorate: bool) -> SlotShare {
        match self {
            Self::Remote | Self::Draining { .. } => SlotShare::None,
            Self::Acquiring(acquiring) if !acquiring.acknowledged => SlotShare::None,
            Self::Acquiring(_) | Self::Yielding { .. } => SlotShare::Half,
            Self::Owned { contested } if contested > now || !quorate => SlotShare::Half,
            Self::Owned { .. } => SlotShare::Full,
        }
    }
}
