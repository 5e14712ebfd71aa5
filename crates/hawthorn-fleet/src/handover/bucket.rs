//! The life of one bucket at one host.

use std::time::Duration;

use super::SlotShare;
use crate::message::MemberId;

/// Where a bucket stands: foreign, taking, owned, yielding, draining, foreign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BucketState {
    /// Another host owns it; nothing of it runs here.
    Foreign,
    /// Owned, but another host may still use it.
    Taking(TakingState),
    /// Owned alone.
    Owned {
        /// Another host claims it until then; past when nobody does.
        contested: Duration,
    },
    /// Another host owns it; fronts that have not heard are still served.
    Yielding {
        /// The new owner.
        to: Option<MemberId>,
        /// When it was lost.
        since: Duration,
    },
    /// Nothing new is started; what runs may finish.
    Draining {
        /// The new owner, told when nothing runs any more.
        to: Option<MemberId>,
        /// Not told before this time.
        until: Duration,
    },
}

/// A bucket that is being taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TakingState {
    /// Who owned it before, if known.
    pub(super) former: Option<MemberId>,
    /// When it was gained.
    pub(super) since: Duration,
    /// When `former` was last asked to let go, or found to be gone.
    pub(super) asked: Option<Duration>,
    /// Whether `former` uses at most half by now: it said so, or is gone.
    pub(super) noted: bool,
}

impl BucketState {
    /// Owned alone and claimed by nobody.
    pub(super) const OWNED: Self = Self::Owned { contested: Duration::ZERO };

    /// Just gained.
    pub(super) fn taking(now: Duration, former: Option<MemberId>) -> Self {
        Self::Taking(TakingState { former, since: now, asked: None, noted: false })
    }

    /// The share in this state. A daemon that may be the cut-off one never
    /// uses more than half: the others may have taken over already.
    pub(super) fn share(self, now: Duration, quorate: bool) -> SlotShare {
        match self {
            Self::Foreign | Self::Draining { .. } => SlotShare::None,
            Self::Taking(taking) if !taking.noted => SlotShare::None,
            Self::Taking(_) | Self::Yielding { .. } => SlotShare::Half,
            Self::Owned { contested } if contested > now || !quorate => SlotShare::Half,
            Self::Owned { .. } => SlotShare::Full,
        }
    }
}
