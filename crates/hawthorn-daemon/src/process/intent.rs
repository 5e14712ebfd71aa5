//! One reconciler round: derives orders for the owner worker and drift reports for operators from
//! the observed targets.
//!
//! Performs no I/O and uses no threads or clock.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use hawthorn_fleet::SlotShare;
use hawthorn_intent::catalog::FleetCatalog;
use hawthorn_intent::catalog::TargetRecord;
use hawthorn_intent::reconcile;
use hawthorn_intent::reconcile::DriftCause;
use hawthorn_intent::reconcile::DriftRecord;
use hawthorn_intent::reconcile::ReconcileState;
use hawthorn_intent::reconcile::TargetObservation;
use hawthorn_intent::reconcile::reconcile;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

use crate::owner::snapshot::IntentRound;
use crate::owner::snapshot::OwnerSnapshot;
use crate::owner::snapshot::TargetOrder;
use crate::version::owned::OwnedGroups;

/// A target that is not in the desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriftEntry {
    /// The target.
    pub target: String,
    /// Desired state.
    pub wanted: DesiredState,
    /// Observed phase; `None` if unreachable.
    pub observed: Option<TargetPhase>,
    /// Duration of the drift at the time of the round.
    pub duration: Duration,
    /// Cause of the drift.
    pub cause: DriftCause,
    /// Shard that the target must keep serving because no other target can.
    pub held_for: Option<ShardName>,
}

/// Inputs of a round.
pub struct RoundInputs<'i> {
    /// The catalog in force.
    pub catalog: &'i FleetCatalog,
    /// Groups owned by this host.
    pub owned: &'i OwnedGroups,
    /// Snapshot of the owned targets from the owner worker.
    pub observed: &'i OwnerSnapshot,
    /// Number of targets that another group's owner reports as ready for a shard.
    pub ready_elsewhere: &'i dyn Fn(&TargetRecord, &ShardName) -> u32,
    /// Time since an arbitrary fixed point.
    pub now: Duration,
}

/// Outcome of a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoundOutcome {
    /// Round to apply in the owner worker.
    pub round: IntentRound,
    /// All owned targets that are not in the desired state.
    pub drift: Vec<DriftEntry>,
    /// Those of them whose cause has not been logged yet.
    pub new_drift: Vec<DriftEntry>,
}

/// State kept between rounds.
#[derive(Debug, Default)]
pub struct Reconciler {
    options: reconcile::Options,
    state: ReconcileState,
    /// Causes already logged, by target.
    logged_causes: HashMap<String, SmallVec<[DriftCause; 4]>>,
}

impl Reconciler {
    /// Creates a reconciler without state.
    pub fn new(options: reconcile::Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Runs one round.
    pub fn round(&mut self, inputs: &RoundInputs<'_>) -> RoundOutcome {
        let catalog = inputs.catalog;
        let mut observed = own_targets(inputs);
        let leaving = leaving_shards(catalog, &observed);
        observed.extend(other_targets(inputs, &leaving));
        let outcome = reconcile(catalog, &observed, &mut self.state, inputs.now, &self.options);
        let name = |key: TargetKey| catalog.target(key).name.clone();
        let orders = outcome.orders.iter();
        let orders =
            orders.map(|order| TargetOrder { target: name(order.target), state: order.state });
        let round = IntentRound {
            revision: catalog.revision(),
            orders: orders.collect(),
            held: outcome.held().map(name).collect(),
        };
        let drift = outcome.drift.iter().map(|record| entry(catalog, record, inputs.now));
        let drift: Vec<DriftEntry> = drift.collect();
        let new_drift = self.new_drift(&drift);
        RoundOutcome { round, drift, new_drift }
    }

    /// Returns the entries that have not been logged yet. Each target and cause is logged once,
    /// regardless of how many rounds it lasts, and again only after the target was in the desired
    /// state.
    fn new_drift(&mut self, drift: &[DriftEntry]) -> Vec<DriftEntry> {
        let drifting: HashSet<&str> = drift.iter().map(|entry| entry.target.as_str()).collect();
        self.logged_causes.retain(|target, _| drifting.contains(target.as_str()));
        let mut new_drift = Vec::new();
        for entry in drift {
            let causes = self.logged_causes.entry(entry.target.clone()).or_default();
            if !causes.contains(&entry.cause) {
                causes.push(entry.cause);
                new_drift.push(entry.clone());
            }
        }
        new_drift
    }
}

fn entry(catalog: &FleetCatalog, record: &DriftRecord, now: Duration) -> DriftEntry {
    DriftEntry {
        target: catalog.target(record.target).name.clone(),
        wanted: record.desired,
        observed: record.observed,
        duration: now.saturating_sub(record.since),
        cause: record.cause,
        held_for: record.held_for.map(|shard| catalog.shard(shard).name.clone()),
    }
}

fn is_owned(inputs: &RoundInputs<'_>, target: &TargetRecord) -> bool {
    let catalog = inputs.catalog;
    let bucket = catalog.group(target.group).bucket;
    inputs.owned.share(&catalog.zone(target.zone).name, bucket) != SlotShare::None
}

/// Owned targets as observed by the owner worker. The worker's configuration or ownership may be
/// slightly older; entries for targets that are not owned are skipped.
fn own_targets(inputs: &RoundInputs<'_>) -> Vec<TargetObservation> {
    let mut owned = Vec::with_capacity(inputs.observed.targets.len());
    for record in &inputs.observed.targets {
        let Some(target) = inputs.catalog.target_named(&record.target) else { continue };
        if is_owned(inputs, inputs.catalog.target(target)) {
            let (phase, in_flight) = (record.phase, record.in_flight);
            owned.push(TargetObservation { target, phase, in_flight, owned: true });
        }
    }
    owned
}

/// Shards of targets that are ready but should not serve.
///
/// Of 73,000 targets a host owns about 20. Readiness elsewhere is looked up for these shards only,
/// so that the cost of a round depends on the owned targets and not on the size of the fleet.
fn leaving_shards(catalog: &FleetCatalog, owned: &[TargetObservation]) -> HashSet<ShardKey> {
    let ready = owned.iter().filter(|observed| observed.phase == Some(TargetPhase::Ready));
    let records = ready.map(|observed| catalog.target(observed.target));
    let leaving = records.filter(|record| record.desired_state() != DesiredState::Serve);
    leaving.flat_map(|record| record.shards.iter().copied()).collect()
}

/// Targets of other owners that hold one of `shards` and should serve.
///
/// Their owner reports how many are ready but not which, so that number of the zone's targets is
/// assumed to be ready. A target of several shards counts only if it is among the ready ones for
/// each of them.
fn other_targets(inputs: &RoundInputs<'_>, shards: &HashSet<ShardKey>) -> Vec<TargetObservation> {
    let catalog = inputs.catalog;
    let mut keys: Vec<TargetKey> =
        shards.iter().flat_map(|&shard| catalog.serving_targets_of(shard)).collect();
    keys.sort_unstable();
    keys.dedup();
    let mut ranks: HashMap<(ZoneKey, ShardKey), u32> = HashMap::new();
    let mut others = Vec::new();
    for key in keys {
        let record = catalog.target(key);
        if is_owned(inputs, record) {
            continue;
        }
        let mut is_ready = true;
        for &shard in record.shards.iter().filter(|shard| shards.contains(shard)) {
            let rank = ranks.entry((record.zone, shard)).or_default();
            *rank += 1;
            is_ready &= *rank <= (inputs.ready_elsewhere)(record, &catalog.shard(shard).name);
        }
        let phase = is_ready.then_some(TargetPhase::Ready);
        others.push(TargetObservation { target: key, phase, in_flight: 0, owned: false });
    }
    others
}
