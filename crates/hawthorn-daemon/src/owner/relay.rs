//! Relays a piece to another zone's owner.
//!
//! [`hawthorn_decide::relay`] decides whether and when; this module sends the messages. A relay is
//! a search of one piece, marked so that the other owner does not relay it again. The first answer
//! wins and the other attempt is cancelled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_decide::message::PieceKey;
use hawthorn_decide::relay;
use hawthorn_decide::time::TickTime;
use hawthorn_types::MissingReason;
use hawthorn_types::RetryReason;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use smallvec::SmallVec;
use tokio::sync::watch;

use super::batch::OpenBatch;
use super::worker::OwnerWorker;
use super::worker::TaskCompletion;
use crate::connection::message::BatchAnswer;
use crate::connection::message::BatchHop;
use crate::connection::message::BatchPiece;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;
use crate::connection::peer;
use crate::connection::peer::PeerLinks;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::views::ViewTable;

/// Time reserved for the answer's return from the other zone.
const RELAY_RESERVE: Duration = Duration::from_millis(3);

/// Links to owners in other zones.
#[derive(Clone, Debug)]
pub struct RelayLinks {
    /// The fleet, with the owner of each group.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Connections to other daemons.
    pub links: Arc<PeerLinks>,
    /// Last known views of the owners.
    pub views: Arc<ViewTable>,
    /// This host's zone.
    pub zone: String,
}

/// Scheduled relays and relays in flight.
pub(super) struct RelayTable {
    links: RelayLinks,
    options: relay::Options,
    due: BinaryHeap<Reverse<(TickTime, PieceKey)>>,
    sent: HashMap<PieceKey, RelaySent>,
}

/// One relay in flight.
struct RelaySent {
    task: tokio::task::AbortHandle,
    /// Reason why the piece got no answer from this owner, if it has ended here.
    local_reason: Option<MissingReason>,
}

impl Drop for RelaySent {
    fn drop(&mut self) {
        // Aborts the call, upon which the other owner cancels the piece.
        self.task.abort();
    }
}

/// Completion of a relay.
pub(super) struct RelayCompletion {
    piece: PieceKey,
    outcome: Option<PieceOutcome>,
}

impl RelayTable {
    pub(super) fn new(links: RelayLinks, options: relay::Options) -> Self {
        Self { links, options, due: BinaryHeap::new(), sent: HashMap::new() }
    }

    /// Time at which the next relay is due.
    pub(super) fn next_wake(&self) -> Option<TickTime> {
        self.due.peek().map(|Reverse((at, _))| *at)
    }

    fn pop_due(&mut self, now: TickTime) -> Option<PieceKey> {
        let Reverse((at, piece)) = self.due.peek().copied()?;
        if at > now {
            return None;
        }
        self.due.pop();
        Some(piece)
    }

    /// Cancels the relay of a piece that is finished or no longer needed.
    pub(super) fn remove(&mut self, piece: PieceKey) {
        self.sent.remove(&piece);
    }
}

impl OwnerWorker {
    /// Whether another zone holds replicas of the shard.
    pub(super) fn has_relay(&self, shard: &ShardName) -> bool {
        self.config
            .as_ref()
            .is_some_and(|config| !other_zones(config, shard, &self.relays.links).is_empty())
    }

    /// Service time of the shard in the fastest other zone; zero if unknown.
    fn other_zone_service_time(&self, shard: &ShardName) -> Duration {
        let Some(config) = &self.config else { return Duration::ZERO };
        let views = &self.relays.links.views;
        let others = other_zones(config, shard, &self.relays.links);
        let times = others.iter().filter_map(|other| {
            let cached = views.get(other.id)?;
            Some(cached.view.shard(shard)?.service_us).filter(|&time| time > 0)
        });
        Duration::from_micros(times.min().unwrap_or(0))
    }

    /// Schedules the relay of a piece, sent unless the piece has ended by then.
    pub(super) fn schedule_relay(&mut self, piece: PieceKey, shard: ShardKey) {
        let local = self.state.p90_service_time(shard);
        let other_zone = self.other_zone_service_time(self.shard_names.name(shard.0));
        let delay = relay::delay(local, other_zone, &self.relays.options);
        self.relays.due.push(Reverse((self.now().after(delay), piece)));
    }

    /// Whether to accept a piece that another owner relays.
    pub(super) fn accepts_relayed(&self, shard: ShardKey) -> bool {
        relay::may_accept(self.state.expected_wait(shard, hawthorn_types::UrgencyClass::Normal))
    }

    /// Sends the relays that are due.
    pub(super) fn send_due_relays(&mut self) {
        while let Some(piece) = self.relays.pop_due(self.now()) {
            self.relay(piece, RetryReason::Hedge);
        }
    }

    /// Defers the failure of a piece if another zone may still answer it.
    ///
    /// When the only replica in this zone fails while another zone's works, reporting the failure
    /// at once would make the front retry there itself, a round trip later and from a different
    /// budget.
    pub(super) fn defer_to_relay(&mut self, piece: PieceKey, reason: MissingReason) -> bool {
        if !self.relays.sent.contains_key(&piece) && !self.relay(piece, retry_reason(reason)) {
            return false;
        }
        match self.relays.sent.get_mut(&piece) {
            Some(sent) => {
                sent.local_reason = Some(reason);
                true
            }
            None => false,
        }
    }

    /// Sends the piece to another zone's owner. Returns false if no such owner holds the version,
    /// or if time or budget is exhausted.
    fn relay(&mut self, piece: PieceKey, reason: RetryReason) -> bool {
        if self.relays.sent.contains_key(&piece) {
            return false;
        }
        let Some((peer, batch)) = self.relay_batch(piece) else { return false };
        if !self.state.spend_relay(reason) {
            return false;
        }
        let links = Arc::clone(&self.relays.links.links);
        let completions = self.completions.clone();
        let task = tokio::spawn(async move {
            let outcome = send_relay(&links, peer, batch).await;
            let _stopped =
                completions.send(TaskCompletion::Relay(RelayCompletion { piece, outcome })).await;
        });
        let sent = RelaySent { task: task.abort_handle(), local_reason: None };
        self.relays.sent.insert(piece, sent);
        true
    }

    fn relay_batch(&self, piece: PieceKey) -> Option<(SocketAddr, SearchBatch)> {
        let open = self.table.pieces.get(&piece)?;
        let Some(OpenBatch::Search(search)) = self.table.batches.get(&open.batch) else {
            return None;
        };
        let remaining = self.remaining(open.deadline).checked_sub(RELAY_RESERVE)?;
        if search.batch.hop == BatchHop::Owner || remaining.is_zero() {
            return None;
        }
        let config = self.config.as_ref()?;
        let others = other_zones(config, &open.shard, &self.relays.links);
        self.relays.links.views.mark_needed(others.iter().map(|other| other.id));
        let peer = others
            .into_iter()
            .find(|other| other.holds(&open.shard, open.version, &self.relays.links.views))?
            .peer;
        let batch = SearchBatch {
            left_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            hop: BatchHop::Owner,
            // No view is needed with the answer: fronts receive views directly.
            view: u64::MAX,
            pieces: vec![BatchPiece {
                number: 0,
                shard: open.shard.clone(),
                version: open.version,
                range: open.range,
            }],
            ..search.batch.clone()
        };
        Some((peer, batch))
    }

    /// Handles a completed relay: its answer takes precedence over attempts in flight here.
    pub(super) fn handle_relay(&mut self, completion: RelayCompletion) {
        let Some(sent) = self.relays.sent.remove(&completion.piece) else { return };
        let local = sent.local_reason;
        match completion.outcome {
            Some(outcome @ PieceOutcome::Answered { .. }) => {
                let now = self.now();
                self.end_search_piece(completion.piece, outcome);
                if local.is_none() {
                    self.state.cancel(now, completion.piece);
                }
            }
            _ => {
                if let Some(reason) = local {
                    self.end_search_piece(completion.piece, PieceOutcome::Missing(reason));
                }
            }
        }
    }
}

/// An owner in another zone.
struct OtherOwner {
    id: hawthorn_fleet::MemberId,
    peer: SocketAddr,
}

impl OtherOwner {
    fn holds(
        &self,
        shard: &ShardName,
        version: hawthorn_types::IndexVersion,
        views: &ViewTable,
    ) -> bool {
        let Some(cached) = views.get(self.id) else { return false };
        let shards = &cached.view.shards;
        let index = shards.binary_search_by(|view| view.shard.cmp(shard));
        index.is_ok_and(|index| shards[index].versions.contains(&version))
    }
}

/// Owners of the shard's replicas in other zones.
fn other_zones(
    config: &ConfigInForce,
    shard: &ShardName,
    links: &RelayLinks,
) -> SmallVec<[OtherOwner; 3]> {
    let catalog = &config.catalog;
    let Some(key) = catalog.shard_named(shard) else { return SmallVec::new() };
    let fleet = links.fleet.borrow();
    let serving: SmallVec<[_; 4]> =
        catalog.serving_targets_of(key).map(|target| catalog.target(target).zone).collect();
    let mut zones: SmallVec<[_; 4]> =
        catalog.targets_of(key).iter().map(|&target| catalog.target(target).zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let owners = zones.into_iter().filter_map(|zone| {
        let name = &catalog.zone(zone).name;
        if *name == links.zone {
            return None;
        }
        let bucket = catalog.group(catalog.group_of(key, zone)?).bucket;
        let host = fleet.hosts.get(&fleet.owner_of(name, bucket)?)?;
        // A zone in which no target should serve still counts while its owner uses one.
        let is_held =
            || links.views.get(host.id).is_some_and(|cached| cached.view.shard(shard).is_some());
        let is_usable = serving.contains(&zone) || is_held();
        is_usable.then_some(OtherOwner { id: host.id, peer: host.peer })
    });
    owners.collect()
}

async fn send_relay(
    links: &PeerLinks,
    peer: SocketAddr,
    batch: SearchBatch,
) -> Option<PieceOutcome> {
    let client = links.client(peer).await.ok()?;
    let request = batch.request;
    let context = peer::call_context(Duration::from_micros(batch.left_us));
    let answer: BatchAnswer = client
        .search(context, batch)
        .await
        .map_err(|error| links.classify_error(peer, error))
        .ok()?;
    if answer.request != request {
        return None;
    }
    answer.parts.into_iter().next().map(|(_, outcome)| outcome)
}

/// Retry reason under which a relay is counted after a piece failed here.
fn retry_reason(reason: MissingReason) -> RetryReason {
    match reason {
        MissingReason::Shedding => RetryReason::Shedding,
        MissingReason::BadAnswer => RetryReason::CrossedAnswer,
        _ => RetryReason::ConnectionFailed,
    }
}
