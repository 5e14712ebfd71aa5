//! The reconcile worker: compares the desired state of the owned targets with the observed one
//! every second, and sends the resulting round to the owner worker.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_intent::catalog::FleetCatalog;
use hawthorn_intent::catalog::TargetRecord;
use hawthorn_intent::reconcile;
use hawthorn_intent::reconcile::DriftCause;
use hawthorn_types::ShardName;
use log::Level;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::owner::OwnerHandle;
use crate::process::events::LogEvent;
use crate::process::intent::DriftEntry;
use crate::process::intent::Reconciler;
use crate::process::intent::RoundInputs;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::owned::OwnedGroups;
use crate::version::views::ViewTable;

/// Interval of rounds. Targets are probed once a second, so a shorter interval would observe
/// nothing new.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Age from which a view of another owner is ignored. Otherwise, when a zone is partitioned, a
/// target here could be switched off because of one that has been unreachable since. Views are
/// refreshed every half second, so expiry means that several refreshes failed.
const VIEW_TTL: Duration = Duration::from_secs(3);

/// Inputs of the worker.
#[derive(Clone, Debug)]
pub struct ReconcileInputs {
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<ConfigInForce>>>,
    /// Groups owned by this host.
    pub owned: watch::Receiver<Arc<OwnedGroups>>,
    /// The members of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Views of all owners.
    pub views: Arc<ViewTable>,
    /// Handle to the owner worker.
    pub owner: OwnerHandle,
}

/// Drift found by the last round.
#[derive(Clone, Debug)]
pub struct DriftSnapshot {
    /// When the round ran.
    pub at: Instant,
    /// Targets that are not in the desired state.
    pub entries: Vec<DriftEntry>,
}

/// Creates the worker; returns the receiver of its drift snapshots and its future.
pub fn start(
    options: reconcile::Options,
    inputs: ReconcileInputs,
    stop: CancellationToken,
) -> (watch::Receiver<Arc<DriftSnapshot>>, impl Future<Output = ()> + Send) {
    let empty = DriftSnapshot { at: Instant::now(), entries: Vec::new() };
    let (sender, drift) = watch::channel(Arc::new(empty));
    let reconciler = Reconciler::new(options);
    let worker = ReconcileWorker { reconciler, started: Instant::now(), drift: sender };
    (drift, worker.run(inputs, stop))
}

struct ReconcileWorker {
    reconciler: Reconciler,
    started: Instant,
    drift: watch::Sender<Arc<DriftSnapshot>>,
}

impl ReconcileWorker {
    async fn run(mut self, mut inputs: ReconcileInputs, stop: CancellationToken) {
        let mut interval = tokio::time::interval(ROUND_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                // Runs a round at once, so that the owner worker soon knows which targets to hold.
                Ok(()) = inputs.config.changed() => {}
                _ = interval.tick() => {}
            }
            let config = inputs.config.borrow_and_update().clone();
            if let Some(config) = config {
                self.round(&config.catalog, &inputs);
            }
        }
    }

    fn round(&mut self, catalog: &FleetCatalog, inputs: &ReconcileInputs) {
        let fleet = inputs.view.borrow().clone();
        let owned = inputs.owned.borrow().clone();
        let snapshot = inputs.owner.snapshot();
        let ready_elsewhere = |target: &TargetRecord, shard: &ShardName| {
            ready_at_owner(catalog, &fleet, &inputs.views, target, shard)
        };
        let outcome = self.reconciler.round(&RoundInputs {
            catalog,
            owned: &owned,
            observed: &snapshot,
            ready_elsewhere: &ready_elsewhere,
            now: self.started.elapsed(),
        });
        outcome.new_drift.iter().for_each(log_drift);
        self.drift
            .send_replace(Arc::new(DriftSnapshot { at: Instant::now(), entries: outcome.drift }));
        inputs.owner.apply_round(outcome.round);
    }
}

/// Number of targets that the owner of `target`'s group reports as ready for `shard`.
fn ready_at_owner(
    catalog: &FleetCatalog,
    fleet: &FleetView,
    views: &ViewTable,
    target: &TargetRecord,
    shard: &ShardName,
) -> u32 {
    let zone = &catalog.zone(target.zone).name;
    let owner = fleet.owner_of(zone, catalog.group(target.group).bucket);
    let owner = owner.filter(|&owner| owner != fleet.me);
    let host = owner.and_then(|owner| fleet.hosts.get(&owner));
    views.mark_needed(host.map(|host| host.id));
    let cached = host.and_then(|host| views.get(host.id));
    let recent = cached.filter(|cached| cached.at.elapsed() < VIEW_TTL);
    let ready = recent.and_then(|cached| Some(cached.view.shard(shard)?.ready));
    ready.unwrap_or(0)
}

fn log_drift(entry: &DriftEntry) {
    let level = match entry.cause {
        DriftCause::Unreachable => Level::Warn,
        _ => Level::Info,
    };
    let observed =
        entry.observed.map_or_else(|| "unreachable".to_owned(), |phase| phase.to_string());
    let DriftEntry { target, wanted, cause, .. } = entry;
    let text = format!("target {target} should be {wanted} but is {observed}: {cause}");
    match &entry.held_for {
        Some(shard) => crate::log_event!(level, LogEvent::TargetDrift, "{text} {shard}"),
        None => crate::log_event!(level, LogEvent::TargetDrift, "{text}"),
    }
}
