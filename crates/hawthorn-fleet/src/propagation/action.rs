//! What the spread asks of the daemon.

use std::time::Duration;

use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;

/// What the daemon must do or tell its operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationAction {
    /// Fetch the document of at least this revision from the peer, then call
    /// [`PropagationState::adopt`](crate::PropagationState::adopt), or [`PropagationState::pull_failed`](crate::PropagationState::pull_failed).
    Pull {
        /// The peer.
        peer: HostKey,
        /// The revision it stated.
        revision: ConfigRevision,
    },
    /// Watch the store for a revision after this one, for at most `wait`, then
    /// call [`PropagationState::store_answered`](crate::PropagationState::store_answered).
    Watch {
        /// The revision in force.
        after: ConfigRevision,
        /// How long the store may hold the call.
        wait: Duration,
    },
    /// Read the document from the store, then call [`PropagationState::store_answered`](crate::PropagationState::store_answered).
    ReadStore,
    /// Tell the operators.
    Alarm(PropagationAlarm),
}

/// Something operators must look at. Raised once for each edition it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PropagationAlarm {
    /// A peer or the store holds another edit of the revision in force. Refused.
    Fork {
        /// The revision.
        revision: ConfigRevision,
        /// The edit in force here.
        mine: u64,
        /// The other edit.
        theirs: u64,
    },
    /// The store holds an older revision than the one in force. Refused.
    StoreBehind {
        /// What the store holds.
        store: ConfigRevision,
        /// What is in force here.
        in_force: ConfigRevision,
    },
    /// The store lost the document while a revision is in force.
    StoreEmpty {
        /// What is in force here.
        in_force: ConfigRevision,
    },
}
