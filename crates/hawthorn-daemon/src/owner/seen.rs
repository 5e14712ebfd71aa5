//! What the owner's duty sees of its targets, for the reconciler.

use std::collections::HashSet;

use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

/// What is seen of one target. Named, as keys differ between duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRecord {
    /// The target.
    pub target: String,
    /// The phase it last reported; none when it cannot be reached, or is
    /// switched off.
    pub phase: Option<TargetPhase>,
    /// Slots that this host's attempts hold there.
    pub in_flight: u32,
}

/// All targets owned here that were asked for their state at least once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeenReport {
    /// One for each target.
    pub targets: Vec<SeenRecord>,
}

/// One order for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetOrder {
    /// The target.
    pub target: String,
    /// What to tell it.
    pub tell: DesiredState,
}

/// What one round of the reconciler asks of the owner's duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IntentRound {
    /// The revision that it was worked out from.
    pub revision: ConfigRevision,
    /// Orders to give.
    pub orders: Vec<TargetOrder>,
    /// Targets that still take work although they are not wanted to serve.
    pub held: HashSet<String>,
}
