//! A piece's second chance at another zone's owner.
//!
//! The decisions when and whether are in [`hawthorn_decide::relay`]; here they
//! meet the messages. A relay is one search of one piece, marked so that the
//! other owner does not pass it on again. Whichever answers first wins; the
//! other is withdrawn.

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
use super::duty::OwnerDuty;
use super::duty::TaskEnd;
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

/// Kept back of a piece's time for the way back from the other zone.
const RELAY_RESERVE: Duration = Duration::from_millis(3);

/// The ways to other zones' owners.
#[derive(Clone, Debug)]
pub struct RelayLinks {
    /// Who owns what.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Connections to them.
    pub links: Arc<PeerLinks>,
    /// What they last said they hold.
    pub views: Arc<ViewTable>,
    /// This host's zone.
    pub zone: String,
}

/// Relays due and on their way.
pub(super) struct RelayTable {
    links: RelayLinks,
    options: relay::Options,
    due: BinaryHeap<Reverse<(TickTime, PieceKey)>>,
    sent: HashMap<PieceKey, RelaySent>,
}

/// One relay on its way.
struct RelaySent {
    task: tokio::task::AbortHandle,
    /// How the piece ended here meanwhile, when it ended without an answer.
    ended_here: Option<MissingReason>,
}

impl Drop for RelaySent {
    fn drop(&mut self) {
        // Ends the call, with which the other owner withdraws the piece.
        self.task.abort();
    }
}

/// The end of a relay.
pub(super) struct RelayEnd {
    piece: PieceKey,
    outcome: Option<PieceOutcome>,
}

impl RelayTable {
    pub(super) fn new(links: RelayLinks, options: relay::Options) -> Self {
        Self { links, options, due: BinaryHeap::new(), sent: HashMap::new() }
    }

    /// When the next relay is due.
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

    /// Forgets a piece that has its answer, or that nobody waits for.
    pub(super) fn forget(&mut self, piece: PieceKey) {
        self.sent.remove(&piece);
    }
}

impl OwnerDuty {
    /// Whether another zone holds replicas of the shard.
    pub(super) fn has_relay(&self, shard: &ShardName) -> bool {
        self.config
            .as_ref()
            .is_some_and(|config| !other_zones(config, shard, &self.relays.links).is_empty())
    }

    /// What a search of the shard takes in the best other zone; zero when unknown.
    fn time_elsewhere(&self, shard: &ShardName) -> Duration {
        let Some(config) = &self.config else { return Duration::ZERO };
        let views = &self.relays.links.views;
        let others = other_zones(config, shard, &self.relays.links);
        let times = others.iter().filter_map(|other| {
            let heard = views.get(other.id)?;
            Some(heard.view.shard(shard)?.service_us).filter(|&time| time > 0)
        });
        Duration::from_micros(times.min().unwrap_or(0))
    }

    /// Sets when the piece is relayed unless it has ended by then.
    pub(super) fn arm_relay(&mut self, piece: PieceKey, shard: ShardKey) {
        let here = self.state.p90_service_time(shard);
        let elsewhere = self.time_elsewhere(self.shard_names.name(shard.0));
        let delay = relay::delay(here, elsewhere, &self.relays.options);
        self.relays.due.push(Reverse((self.now().after(delay), piece)));
    }

    /// Whether a piece that another owner relays may be worked on here.
    pub(super) fn may_take_relayed(&self, shard: ShardKey) -> bool {
        relay::may_accept(self.state.expected_wait(shard, hawthorn_types::UrgencyClass::Normal))
    }

    /// Relays what is due.
    pub(super) fn relay_due(&mut self) {
        while let Some(piece) = self.relays.pop_due(self.now()) {
            self.relay(piece, RetryReason::Hedge);
        }
    }

    /// Holds back how a piece ended here if another zone may yet answer it.
    ///
    /// Failure: the only replica of a zone dies while the other zone's lives.
    /// Told at once, the front would ask there itself, a round trip later and
    /// on another budget.
    pub(super) fn relay_instead(&mut self, piece: PieceKey, reason: MissingReason) -> bool {
        if !self.relays.sent.contains_key(&piece) && !self.relay(piece, retry_for(reason)) {
            return false;
        }
        match self.relays.sent.get_mut(&piece) {
            Some(sent) => {
                sent.ended_here = Some(reason);
                true
            }
            None => false,
        }
    }

    /// Sends the piece to another zone's owner; false when there is none that
    /// holds the version, no time, or no budget.
    fn relay(&mut self, piece: PieceKey, reason: RetryReason) -> bool {
        if self.relays.sent.contains_key(&piece) {
            return false;
        }
        let Some((peer, batch)) = self.relay_batch(piece) else { return false };
        if !self.state.spend_relay(reason) {
            return false;
        }
        let links = Arc::clone(&self.relays.links.links);
        let ends = self.ends.clone();
        let task = tokio::spawn(async move {
            let outcome = ask(&links, peer, batch).await;
            let _stopped = ends.send(TaskEnd::Relay(RelayEnd { piece, outcome })).await;
        });
        let sent = RelaySent { task: task.abort_handle(), ended_here: None };
        self.relays.sent.insert(piece, sent);
        true
    }

    fn relay_batch(&self, piece: PieceKey) -> Option<(SocketAddr, SearchBatch)> {
        let open = self.table.pieces.get(&piece)?;
        let Some(OpenBatch::Search(search)) = self.table.batches.get(&open.batch) else {
            return None;
        };
        let left = self.left(open.deadline).checked_sub(RELAY_RESERVE)?;
        if search.batch.hop == BatchHop::Owner || left.is_zero() {
            return None;
        }
        let config = self.config.as_ref()?;
        let others = other_zones(config, &open.shard, &self.relays.links);
        self.relays.links.views.want(others.iter().map(|other| other.id));
        let peer = others
            .into_iter()
            .find(|other| other.holds(&open.shard, open.version, &self.relays.links.views))?
            .peer;
        let batch = SearchBatch {
            left_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
            hop: BatchHop::Owner,
            // No view is wanted with the answer: fronts hear it themselves.
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

    /// Takes the end of a relay: an answer wins over what is still under way here.
    pub(super) fn take_relay(&mut self, end: RelayEnd) {
        let Some(sent) = self.relays.sent.remove(&end.piece) else { return };
        let here = sent.ended_here;
        match end.outcome {
            Some(outcome @ PieceOutcome::Answered { .. }) => {
                let now = self.now();
                self.end_search_piece(end.piece, outcome);
                if here.is_none() {
                    self.state.cancel(now, end.piece);
                }
            }
            _ => {
                if let Some(reason) = here {
                    self.end_search_piece(end.piece, PieceOutcome::Missing(reason));
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
        let Some(heard) = views.get(self.id) else { return false };
        let shards = &heard.view.shards;
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
        // A zone whose targets are all on their way out counts as long as its
        // owner still uses one.
        let is_held =
            || links.views.get(host.id).is_some_and(|heard| heard.view.shard(shard).is_some());
        let is_usable = serving.contains(&zone) || is_held();
        is_usable.then_some(OtherOwner { id: host.id, peer: host.peer })
    });
    owners.collect()
}

async fn ask(links: &PeerLinks, peer: SocketAddr, batch: SearchBatch) -> Option<PieceOutcome> {
    let client = links.client(peer).await.ok()?;
    let request = batch.request;
    let context = peer::call_context(Duration::from_micros(batch.left_us));
    let answer: BatchAnswer =
        client.search(context, batch).await.map_err(|error| links.judge(peer, error)).ok()?;
    if answer.request != request {
        return None;
    }
    answer.parts.into_iter().next().map(|(_, outcome)| outcome)
}

/// What a piece's end here is counted as when it is tried elsewhere.
fn retry_for(reason: MissingReason) -> RetryReason {
    match reason {
        MissingReason::Shedding => RetryReason::Shedding,
        MissingReason::BadAnswer => RetryReason::CrossedAnswer,
        _ => RetryReason::ConnectionFailed,
    }
}
