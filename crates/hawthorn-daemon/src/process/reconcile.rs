//! The reconciler's duty: once a second it compares what operators want of the
//! targets owned here with what is seen, and asks the owner's duty for the rest.

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
use crate::process::intent::IntentKeeper;
use crate::process::intent::RoundInputs;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::owned::OwnedGroups;
use crate::version::views::ViewTable;

/// Targets report and are probed once a second; a shorter round sees nothing new.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// A view of another owner that was not confirmed for so long counts for
/// nothing. Failure guarded against: a zone is cut off, and a target here is
/// switched off for the sake of one that nobody has heard of since. Views are
/// asked for every half second, so this is several lost answers.
const VIEW_TRUST: Duration = Duration::from_secs(3);

/// What the duty reads, and whom it asks.
#[derive(Clone, Debug)]
pub struct ReconcileInputs {
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<ConfigInForce>>>,
    /// The groups owned.
    pub owned: watch::Receiver<Arc<OwnedGroups>>,
    /// The fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Views of all owners.
    pub views: Arc<ViewTable>,
    /// The owner's duty.
    pub owner: OwnerHandle,
}

/// The drift found by the last round.
#[derive(Clone, Debug)]
pub struct DriftSnapshot {
    /// When the round ran.
    pub at: Instant,
    /// The targets that are not as wanted.
    pub entries: Vec<DriftEntry>,
}

/// Starts the duty on the current runtime.
pub fn start(
    options: reconcile::Options,
    inputs: ReconcileInputs,
    stop: CancellationToken,
) -> (watch::Receiver<Arc<DriftSnapshot>>, impl Future<Output = ()> + Send) {
    let empty = DriftSnapshot { at: Instant::now(), entries: Vec::new() };
    let (sender, drift) = watch::channel(Arc::new(empty));
    let keeper = IntentKeeper::new(options);
    let duty = ReconcileDuty { keeper, started: Instant::now(), drift: sender };
    (drift, duty.run(inputs, stop))
}

struct ReconcileDuty {
    keeper: IntentKeeper,
    started: Instant,
    drift: watch::Sender<Arc<DriftSnapshot>>,
}

impl ReconcileDuty {
    async fn run(mut self, mut inputs: ReconcileInputs, stop: CancellationToken) {
        let mut beat = tokio::time::interval(ROUND_INTERVAL);
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                // At once, so that the owner's duty soon knows what to hold.
                Ok(()) = inputs.config.changed() => {}
                _ = beat.tick() => {}
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
        let seen = inputs.owner.seen();
        let elsewhere = |target: &TargetRecord, shard: &ShardName| {
            ready_elsewhere(catalog, &fleet, &inputs.views, target, shard)
        };
        let end = self.keeper.round(&RoundInputs {
            catalog,
            owned: &owned,
            seen: &seen,
            elsewhere: &elsewhere,
            now: self.started.elapsed(),
        });
        end.news.iter().for_each(log);
        self.drift.send_replace(Arc::new(DriftSnapshot { at: Instant::now(), entries: end.drift }));
        inputs.owner.intend(end.round);
    }
}

/// How many targets the owner of `target`'s group says are ready for `shard`.
fn ready_elsewhere(
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
    views.want(host.map(|host| host.id));
    let heard = host.and_then(|host| views.get(host.id));
    let fresh = heard.filter(|heard| heard.at.elapsed() < VIEW_TRUST);
    let ready = fresh.and_then(|heard| Some(heard.view.shard(shard)?.ready));
    ready.unwrap_or(0)
}

fn log(entry: &DriftEntry) {
    let level = match entry.cause {
        DriftCause::Unreachable => Level::Warn,
        _ => Level::Info,
    };
    let seen = entry.seen.map_or_else(|| "unreachable".to_owned(), |phase| phase.to_string());
    let DriftEntry { target, wanted, cause, .. } = entry;
    let text = format!("target {target} is wanted {wanted} and is {seen}: {cause}");
    match &entry.held_for {
        Some(shard) => crate::log_event!(level, LogEvent::TargetDrift, "{text} {shard}"),
        None => crate::log_event!(level, LogEvent::TargetDrift, "{text}"),
    }
}
