//! Actions and alarms of the configuration propagation.

use std::time::Duration;

use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;

/// An action for the daemon to execute, or an alarm to raise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationAction {
    /// Fetch the document of at least this revision from the peer, then call
    /// [`PropagationState::adopt`](crate::PropagationState::adopt) or
    /// [`PropagationState::pull_failed`](crate::PropagationState::pull_failed).
    Pull {
        /// The peer.
        peer: HostKey,
        /// The revision that the peer reported.
        revision: ConfigRevision,
    },
    /// Watch the store for a revision after this one, for at most `wait`, then call
    /// [`PropagationState::store_answered`](crate::PropagationState::store_answered).
    Watch {
        /// The revision in force.
        after: ConfigRevision,
        /// How long the store may hold the call.
        wait: Duration,
    },
    /// Read the document from the store, then call
    /// [`PropagationState::store_answered`](crate::PropagationState::store_answered).
    ReadStore,
    /// Raise an alarm.
    Alarm(PropagationAlarm),
}

/// A condition that requires an operator. Raised once for each edition that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PropagationAlarm {
    /// A peer or the store holds another edit of the revision in force. Rejected.
    Fork {
        /// The revision.
        revision: ConfigRevision,
        /// The edit in force here.
        mine: u64,
        /// The other edit.
        theirs: u64,
    },
    /// The store holds an older revision than the one in force. Rejected.
    StoreBehind {
        /// The revision in the store.
        store: ConfigRevision,
        /// The revision in force here.
        in_force: ConfigRevision,
    },
    /// The store lost the document while a revision is in force.
    StoreEmpty {
        /// The revision in force here.
        in_force: ConfigRevision,
    },
}
