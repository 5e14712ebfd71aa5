//! Membership of the fleet: heartbeats, failure detection and gossip.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala 2002): with every heartbeat a daemon pings one
//! member of its own zone. A member that does not answer is pinged through relays, then suspected,
//! and declared dead unless it refutes. Updates are piggybacked on heartbeats. Two things differ
//! from SWIM:
//!
//! - **Only a zone determines the health of its members.** Other zones keep the last known health
//!   and mark the zone as lost when they receive nothing from it. A partition between zones
//!   declares no host dead, so nothing needs refuting when it heals.
//! - **A daemon suspects itself first.** While it is isolated, or after a pause, it does not gossip
//!   its suspicions and waits longer before it confirms them.
//!
//! The cost per daemon does not grow with the fleet: a fixed number of datagrams per second, each
//! with a bounded number of bytes for updates.

mod cross_zone;
mod apply;
mod arena;
mod options;
mod probe;
mod receive;
mod gossip;
mod send;
mod sync;
mod zone;

pub use arena::MemberRecord;
pub use options::MemberCounters;
pub use options::Options;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;

use hawthorn_types::HostKey;
use hawthorn_types::ZoneKey;
use hawthorn_types::platform::HostEntry;

use crate::action::FleetAction;
use crate::handover::HostStatus;
use crate::handover::ZoneView;
use crate::message::HandoverMessage;
use crate::message::MemberDigest;
use crate::message::MemberHealth;
use crate::message::MemberId;
use crate::message::MemberPhase;
use crate::message::MemberPlace;
use crate::message::MemberStamp;
use crate::message::MemberUpdate;
use crate::message::SenderHeader;
use crate::ownership::OwnerCandidate;
use arena::MemberArena;
use gossip::GossipQueue;
use probe::Probe;
use probe::Relay;
use probe::Suspicion;
use sync::SyncProgress;
use zone::ZoneTable;

/// Range of start offsets in the rotation through other zones, so that daemons start at different
/// zones.
const ZONE_OFFSETS: usize = 1_024;

/// When each periodic task is next due.
#[derive(Debug, Default)]
struct DueTimes {
    heartbeat: Duration,
    cross_zone: Duration,
    rejoin: Duration,
    seeds: Duration,
    repair: Duration,
    zones: Duration,
    expiry: Duration,
}

/// This daemon's view of the fleet. Exists once per process.
#[derive(Debug)]
pub struct MemberTable {
    options: Options,
    rng: StdRng,
    me: HostKey,
    my_id: MemberId,
    my_zone: ZoneKey,
    arena: MemberArena,
    zones: ZoneTable,
    gossip: GossipQueue,
    /// Members of this daemon's zone, in the order of this round's pings.
    ring: Vec<HostKey>,
    ring_next: usize,
    next_zone: usize,
    probes: SmallVec<[Probe; 8]>,
    relays: SmallVec<[Relay; 8]>,
    suspicions: Vec<Suspicion>,
    next_number: u32,
    configured_seeds: BTreeSet<SocketAddr>,
    platform_seeds: BTreeSet<SocketAddr>,
    next_seed: usize,
    sync: Option<SyncProgress>,
    synced: bool,
    repair_peer: Option<SocketAddr>,
    repair_after: u64,
    digest: MemberDigest,
    digest_updated: Duration,
    last_activity: Option<Duration>,
    last_received: Duration,
    /// When the configured seeds were last set.
    seeded_at: Duration,
    due: DueTimes,
    actions: VecDeque<FleetAction>,
    generation: u64,
    view_changed: bool,
    counters: MemberCounters,
}

impl MemberTable {
    /// A table that contains only this host.
    ///
    /// `incarnation` must grow with each restart of the host, as the start time in milliseconds
    /// does. An incarnation that is too low is raised when peers report a later one. `seed` is
    /// anything that differs between processes.
    pub fn new(place: MemberPlace, incarnation: u64, options: Options, seed: u64) -> Self {
        let start = Duration::ZERO;
        let mut zones = ZoneTable::default();
        let (my_zone, _) = zones.add(start, &place.zone);
        let update = MemberUpdate {
            id: MemberId::of(&place.host),
            stamp: MemberStamp { incarnation, sequence: 0 },
            phase: MemberPhase::Joining,
            health: MemberHealth::Alive,
            place: None,
        };
        let mut arena = MemberArena::default();
        let me = arena.insert(start, &update, place, my_zone);
        let mut gossip = GossipQueue::new(update.id.0 ^ seed);
        gossip.push(update.id);
        Self {
            options,
            rng: StdRng::seed_from_u64(seed),
            me,
            my_id: update.id,
            my_zone,
            arena,
            zones,
            gossip,
            ring: Vec::new(),
            ring_next: 0,
            next_zone: (update.id.0 ^ seed) as usize % ZONE_OFFSETS,
            probes: SmallVec::new(),
            relays: SmallVec::new(),
            suspicions: Vec::new(),
            next_number: 0,
            configured_seeds: BTreeSet::new(),
            platform_seeds: BTreeSet::new(),
            next_seed: 0,
            sync: None,
            synced: false,
            repair_peer: None,
            repair_after: 0,
            digest: MemberDigest::default(),
            digest_updated: start,
            last_activity: None,
            last_received: start,
            seeded_at: start,
            due: DueTimes::default(),
            actions: VecDeque::new(),
            generation: 0,
            view_changed: true,
            counters: MemberCounters::default(),
        }
    }

    /// Adds the configured seed addresses. They are asked for the member list on the next tick, and
    /// again while no live member is known at the address.
    pub fn seed(&mut self, now: Duration, peers: &[SocketAddr]) {
        self.due.seeds = now;
        self.seeded_at = now;
        self.configured_seeds.extend(peers);
    }

    /// Replaces the platform's list of hosts.
    ///
    /// The list lags: it contains hosts that are gone and lacks live ones. Its addresses are only
    /// contacted, so it neither removes a live member nor revives a dead one.
    pub fn seed_platform(&mut self, now: Duration, hosts: &[HostEntry]) {
        self.due.seeds = self.due.seeds.min(now);
        self.platform_seeds = hosts.iter().map(|entry| entry.peer).collect();
    }

    /// Sets the digest for heartbeats. Once `ready` is set, this host moves from joining to serving
    /// and stays there: a daemon that pulls a newer configuration keeps serving with the older one.
    /// A greater revision is pushed to a few members immediately instead of waiting for heartbeats.
    pub fn set_digest(&mut self, now: Duration, digest: MemberDigest) {
        let newer = digest.revision > self.digest.revision;
        self.digest = digest;
        self.digest_updated = now;
        if digest.ready && self.record_of_self().phase == MemberPhase::Joining {
            self.announce(now, MemberPhase::Serving);
        } else if newer {
            self.push_update(now);
        }
    }

    /// Announces that this host finishes its requests in flight and accepts no new ones.
    pub fn leave(&mut self, now: Duration) {
        if self.record_of_self().phase < MemberPhase::Leaving {
            self.announce(now, MemberPhase::Leaving);
        }
    }

    /// Announces that this process stops now. Sent to several members, because the process will not
    /// be there to repeat it.
    pub fn depart(&mut self, now: Duration) {
        self.announce(now, MemberPhase::Left);
        self.push_update(now);
    }

    /// Sends a handover message to a member.
    pub fn send_handover(&mut self, now: Duration, to: MemberId, message: HandoverMessage) {
        let Some(peer) = self.arena.by_id(to).map(|record| record.place.peer) else { return };
        self.send(now, peer, crate::message::FleetBody::Handover(message), &[]);
    }

    /// Sends a payload of another subsystem to a host. Payloads longer than
    /// [`PAYLOAD_LIMIT`](crate::message::PAYLOAD_LIMIT) are dropped.
    pub fn send_payload(&mut self, now: Duration, to: SocketAddr, payload: Vec<u8>) {
        if payload.len() <= crate::message::PAYLOAD_LIMIT {
            self.send(now, to, crate::message::FleetBody::Payload(payload), &[]);
        }
    }

    /// The next action, or `None` if there is none.
    pub fn poll_action(&mut self) -> Option<FleetAction> {
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        if !self.view_changed {
            return None;
        }
        self.view_changed = false;
        self.generation += 1;
        Some(FleetAction::ViewChanged(self.generation))
    }

    /// The record of a key, or `None` if it was removed.
    pub fn record(&self, key: HostKey) -> Option<&MemberRecord> {
        self.arena.get(key)
    }

    /// The record of a host by the hash of its name.
    pub fn record_by_id(&self, id: MemberId) -> Option<&MemberRecord> {
        self.arena.by_id(id)
    }

    /// The zone of the host with this peer address.
    pub fn zone_of_peer(&self, peer: SocketAddr) -> Option<&str> {
        self.arena.by_peer(peer).map(|record| record.place.zone.as_str())
    }

    /// The key of this host.
    pub fn me(&self) -> HostKey {
        self.me
    }

    /// All known members of the fleet, including this host and dead ones.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.arena.iter()
    }

    /// Number of other live members of the fleet.
    pub fn live_peers(&self) -> usize {
        self.records().filter(|record| record.key != self.me && record.is_live()).count()
    }

    /// The live members of a zone, including this host; also those of a lost zone.
    pub fn hosts(&self, zone: &str) -> impl Iterator<Item = &MemberRecord> + use<'_> {
        let zone = self.zones.key(zone);
        self.arena.iter().filter(move |record| record.is_live() && Some(record.zone) == zone)
    }

    /// The members of a zone that may own groups, for
    /// [`ownership::owner`](crate::ownership::owner). Empty if the zone is lost, because its hosts
    /// can't be reached from here.
    pub fn owners(&self, zone: &str) -> impl Iterator<Item = OwnerCandidate> + use<'_> {
        let reachable = self.zone_reachable(zone);
        self.hosts(zone)
            .filter(move |record| reachable && record.may_own())
            .map(|record| OwnerCandidate { key: record.key, id: record.id })
    }

    /// The members of a zone that are joining or serving, for
    /// [`PropagationState::set_zone`](crate::PropagationState::set_zone). Joining members are
    /// included: otherwise every host of a zone that starts at once would call the store.
    pub fn active_hosts(&self, zone: &str) -> impl Iterator<Item = OwnerCandidate> + use<'_> {
        self.hosts(zone)
            .filter(|record| record.phase < MemberPhase::Leaving)
            .map(|record| OwnerCandidate { key: record.key, id: record.id })
    }

    /// Names of all zones that have or had members.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(|zone| self.zones.name(zone))
    }

    /// Whether anything was received from the zone within the zone timeout.
    pub fn zone_reachable(&self, zone: &str) -> bool {
        let reachable = |zone| zone == self.my_zone || self.zones.reachable(zone);
        self.zones.key(zone).is_some_and(reachable)
    }

    /// Whether anything was received from any other zone within the zone timeout.
    pub fn other_zones_reachable(&self) -> bool {
        self.other_zones().any(|zone| self.zones.reachable(zone))
    }

    /// Whether this daemon has received nothing for the isolation timeout although other members
    /// should be running.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let silent = now.saturating_sub(self.last_received) > self.options.isolation_timeout;
        silent && self.arena.iter().any(|record| record.key != self.me && expects_traffic(record))
    }

    /// The view of this daemon's zone, for
    /// [`Handover::observe`](crate::handover::Handover::observe).
    pub fn zone_view(&self, now: Duration) -> ZoneView {
        let hosts = self
            .arena
            .iter()
            .filter(|record| record.zone == self.my_zone)
            .map(|record| (record.id, host_status(record)))
            .collect();
        ZoneView {
            zone: self.zones.name(self.my_zone).to_owned(),
            hosts,
            isolated: self.is_isolated(now),
            other_zones_reachable: self.other_zones_reachable(),
        }
    }

    /// Whether the full member list was read from a peer once.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Counts since the start.
    pub fn counters(&self) -> MemberCounters {
        self.counters
    }

    /// An estimate of this table's heap usage in bytes.
    pub fn memory_bytes(&self) -> usize {
        const INDEX_BYTES: usize = 96;
        let names: usize = self
            .arena
            .iter()
            .map(|record| record.place.host.capacity() + record.place.zone.capacity())
            .sum();
        let fixed = std::mem::size_of::<Option<MemberRecord>>() + INDEX_BYTES;
        names + self.arena.len() * fixed + self.gossip.len() * INDEX_BYTES
    }

    fn record_of_self(&self) -> &MemberRecord {
        self.arena.get(self.me).expect("this host's record is never removed")
    }

    fn header(&self, now: Duration) -> SenderHeader {
        let record = self.record_of_self();
        SenderHeader {
            id: record.id,
            stamp: record.stamp,
            phase: record.phase,
            digest: self.digest_at(now),
            fingerprint: self.arena.fingerprint(),
        }
    }

    /// The digest with its age as of `now`.
    fn digest_at(&self, now: Duration) -> MemberDigest {
        let elapsed = now.saturating_sub(self.digest_updated).as_millis();
        let elapsed = u32::try_from(elapsed).unwrap_or(u32::MAX);
        let confirmed_ms = self.digest.confirmed_ms.saturating_add(elapsed);
        MemberDigest { confirmed_ms, ..self.digest }
    }
}

fn host_status(record: &MemberRecord) -> HostStatus {
    match (record.phase, record.health) {
        (MemberPhase::Left, _) => HostStatus::Left,
        (_, MemberHealth::Dead) => HostStatus::Dead(record.changed_at),
        (MemberPhase::Serving, _) => HostStatus::Serving,
        _ => HostStatus::Idle,
    }
}

/// Whether silence from this member is significant: it was believed to run until this daemon
/// stopped receiving.
fn expects_traffic(record: &MemberRecord) -> bool {
    record.is_live() || record.local_only
}
