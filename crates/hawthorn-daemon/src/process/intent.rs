//! One round of the reconciler in this process: what is seen goes in, what to
//! ask of the owner's duty and what to show operators comes out.
//!
//! Without sockets, threads or a clock.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use hawthorn_fleet::SlotShare;
use hawthorn_intent::catalog::FleetCatalog;
use hawthorn_intent::catalog::TargetRecord;
use hawthorn_intent::reconcile;
use hawthorn_intent::reconcile::DriftCause;
use hawthorn_intent::reconcile::DriftRecord;
use hawthorn_intent::reconcile::ReconcileMemory;
use hawthorn_intent::reconcile::SeenTarget;
use hawthorn_intent::reconcile::reconcile;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

use crate::owner::seen::IntentRound;
use crate::owner::seen::SeenReport;
use crate::owner::seen::TargetOrder;
use crate::version::owned::OwnedGroups;

/// One target that is not as wanted, named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriftEntry {
    /// The target.
    pub target: String,
    /// What is wanted.
    pub wanted: DesiredState,
    /// What is seen; none when it cannot be reached.
    pub seen: Option<TargetPhase>,
    /// For how long, at the time of the round.
    pub lasted: Duration,
    /// Why it lasts.
    pub cause: DriftCause,
    /// The shard that it still serves for want of another target.
    pub held_for: Option<ShardName>,
}

/// What a round looks at.
pub struct RoundInputs<'i> {
    /// The catalog in force.
    pub catalog: &'i FleetCatalog,
    /// The groups owned here.
    pub owned: &'i OwnedGroups,
    /// What the owner's duty sees.
    pub seen: &'i SeenReport,
    /// How many targets are ready for a shard at a group's owner elsewhere, as
    /// that owner says.
    pub elsewhere: &'i dyn Fn(&TargetRecord, &ShardName) -> u32,
    /// Time since any fixed moment.
    pub now: Duration,
}

/// What a round gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoundEnd {
    /// For the owner's duty.
    pub round: IntentRound,
    /// Every target owned here that is not as wanted.
    pub drift: Vec<DriftEntry>,
    /// Of them those that drift for a cause not told of before.
    pub news: Vec<DriftEntry>,
}

/// What is kept between rounds.
#[derive(Debug, Default)]
pub struct IntentKeeper {
    options: reconcile::Options,
    memory: ReconcileMemory,
    /// The causes that each drifting target was logged with.
    logged: HashMap<String, SmallVec<[DriftCause; 4]>>,
}

impl IntentKeeper {
    /// A keeper that has told and seen nothing yet.
    pub fn new(options: reconcile::Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Runs one round.
    pub fn round(&mut self, inputs: &RoundInputs<'_>) -> RoundEnd {
        let catalog = inputs.catalog;
        let mut seen = own_targets(inputs);
        let leaving = leaving_shards(catalog, &seen);
        seen.extend(other_targets(inputs, &leaving));
        let outcome = reconcile(catalog, &seen, &mut self.memory, inputs.now, &self.options);
        let name = |key: TargetKey| catalog.target(key).name.clone();
        let orders = outcome.orders.iter();
        let orders =
            orders.map(|order| TargetOrder { target: name(order.target), tell: order.tell });
        let round = IntentRound {
            revision: catalog.revision(),
            orders: orders.collect(),
            held: outcome.held().map(name).collect(),
        };
        let drift = outcome.drift.iter().map(|record| entry(catalog, record, inputs.now));
        let drift: Vec<DriftEntry> = drift.collect();
        let news = self.news(&drift);
        RoundEnd { round, drift, news }
    }

    /// What operators were not told of yet: each target and cause once, however
    /// many rounds it lasts, and again only after the target was as wanted.
    fn news(&mut self, drift: &[DriftEntry]) -> Vec<DriftEntry> {
        let drifting: HashSet<&str> = drift.iter().map(|entry| entry.target.as_str()).collect();
        self.logged.retain(|target, _| drifting.contains(target.as_str()));
        let mut news = Vec::new();
        for entry in drift {
            let causes = self.logged.entry(entry.target.clone()).or_default();
            if !causes.contains(&entry.cause) {
                causes.push(entry.cause);
                news.push(entry.clone());
            }
        }
        news
    }
}

fn entry(catalog: &FleetCatalog, record: &DriftRecord, now: Duration) -> DriftEntry {
    DriftEntry {
        target: catalog.target(record.target).name.clone(),
        wanted: record.wanted,
        seen: record.seen,
        lasted: now.saturating_sub(record.since),
        cause: record.cause,
        held_for: record.held_for.map(|shard| catalog.shard(shard).name.clone()),
    }
}

fn is_owned(inputs: &RoundInputs<'_>, target: &TargetRecord) -> bool {
    let catalog = inputs.catalog;
    let bucket = catalog.group(target.group).bucket;
    inputs.owned.share(&catalog.zone(target.zone).name, bucket) != SlotShare::None
}

/// Targets owned here, as the owner's duty sees them. The duty may be a moment
/// behind in configuration or ownership; what it says of others is passed over.
fn own_targets(inputs: &RoundInputs<'_>) -> Vec<SeenTarget> {
    let mut own = Vec::with_capacity(inputs.seen.targets.len());
    for record in &inputs.seen.targets {
        let Some(target) = inputs.catalog.target_named(&record.target) else { continue };
        if is_owned(inputs, inputs.catalog.target(target)) {
            let (phase, in_flight) = (record.phase, record.in_flight);
            own.push(SeenTarget { target, phase, in_flight, owned: true });
        }
    }
    own
}

/// Shards of targets that are ready and not wanted to serve.
///
/// Load: 73,000 targets, of which a host owns 20. Whether others are ready is
/// asked for these shards only, so that a round costs by what is owned and not
/// by the size of the fleet.
fn leaving_shards(catalog: &FleetCatalog, own: &[SeenTarget]) -> HashSet<ShardKey> {
    let ready = own.iter().filter(|seen| seen.phase == Some(TargetPhase::Ready));
    let records = ready.map(|seen| catalog.target(seen.target));
    let leaving = records.filter(|record| record.wanted() != DesiredState::Serve);
    leaving.flat_map(|record| record.shards.iter().copied()).collect()
}

/// Targets of other owners that hold one of `shards` and are wanted to serve.
///
/// Their owner says how many are ready, not which: so many of the zone's are
/// taken for ready, and a target of several shards only if it is among the
/// ready ones for each.
fn other_targets(inputs: &RoundInputs<'_>, shards: &HashSet<ShardKey>) -> Vec<SeenTarget> {
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
            is_ready &= *rank <= (inputs.elsewhere)(record, &catalog.shard(shard).name);
        }
        let phase = is_ready.then_some(TargetPhase::Ready);
        others.push(SeenTarget { target: key, phase, in_flight: 0, owned: false });
    }
    others
}
