//! The owner worker's observations of its targets, and the reconciler's rounds in return.

use std::collections::HashSet;

use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

/// Observed state of one target. Identified by name, as keys differ between workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSnapshot {
    /// The target.
    pub target: String,
    /// Last reported phase; `None` if the target is unreachable or switched off.
    pub phase: Option<TargetPhase>,
    /// Slots in use by this host's attempts.
    pub in_flight: u32,
}

/// All owned targets that have been probed at least once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerSnapshot {
    /// One entry per target.
    pub targets: Vec<TargetSnapshot>,
}

/// One order for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetOrder {
    /// The target.
    pub target: String,
    /// The state ordered.
    pub state: DesiredState,
}

/// Result of one reconciler round, applied by the owner worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IntentRound {
    /// Revision that the round is based on.
    pub revision: ConfigRevision,
    /// Orders to send.
    pub orders: Vec<TargetOrder>,
    /// Targets that keep serving although they should not.
    pub held: HashSet<String>,
}
