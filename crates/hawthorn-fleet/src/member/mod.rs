//! Which hosts are live: heartbeats, suspicion, rumors.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala 2002): every heartbeat a
//! daemon pings one member of its own zone; one that does not answer is pinged
//! through others, then suspected, and dead unless it refutes. What is found
//! travels on heartbeats. Two things differ:
//!
//! - **Only a zone judges its members.** Other zones keep what it last said and
//!   mark the zone lost as a whole when nothing is heard from it. A partition
//!   between zones kills nobody, so nothing needs refuting when it heals.
//! - **A daemon doubts itself first.** One that heard nobody for a while, or
//!   stood still, keeps its suspicions to itself and takes longer over them.
//!
//! Cost per daemon does not grow with the fleet: a fixed number of datagrams a
//! second, each with a bounded part of rumors.

mod across;
mod apply;
mod arena;
mod options;
mod probe;
mod receive;
mod rumor;
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
use probe::Probe;
use probe::Relay;
use probe::Suspicion;
use rumor::RumorQueue;
use sync::SyncProgress;
use zone::ZoneTable;

/// Where daemons begin their rounds through other zones: each elsewhere.
const ZONE_START: usize = 1_024;

/// When each periodic duty is next due.
#[derive(Debug, Default)]
struct DutyTimes {
    heartbeat: Duration,
    across: Duration,
    retry: Duration,
    hint: Duration,
    repair: Duration,
    zones: Duration,
    forget: Duration,
}

/// This daemon's view of the fleet. One lives as long as the process.
#[derive(Debug)]
pub struct MemberTable {
    options: Options,
    rng: StdRng,
    me: HostKey,
    my_id: MemberId,
    my_zone: ZoneKey,
    arena: MemberArena,
    zones: ZoneTable,
    rumors: RumorQueue,
    /// Members of the own zone, in the order of this round's pings.
    ring: Vec<HostKey>,
    ring_next: usize,
    across_next: usize,
    probes: SmallVec<[Probe; 8]>,
    relays: SmallVec<[Relay; 8]>,
    suspicions: Vec<Suspicion>,
    next_number: u32,
    settings_hints: BTreeSet<SocketAddr>,
    platform_hints: BTreeSet<SocketAddr>,
    hint_next: usize,
    sync: Option<SyncProgress>,
    synced: bool,
    repair_peer: Option<SocketAddr>,
    repair_after: u64,
    digest: MemberDigest,
    digest_set: Duration,
    last_call: Option<Duration>,
    last_heard: Duration,
    /// When the settings named whom to ask first.
    started: Duration,
    due: DutyTimes,
    actions: VecDeque<FleetAction>,
    generation: u64,
    view_changed: bool,
    counters: MemberCounters,
}

impl MemberTable {
    /// A table that knows this host alone.
    ///
    /// `incarnation` grows from one life of the host to the next, as its start
    /// in milliseconds of some clock does; one that does not is raised when peers
    /// tell of a later life. `seed` is anything that differs between processes.
    pub fn new(place: MemberPlace, incarnation: u64, options: Options, seed: u64) -> Self {
        let start = Duration::ZERO;
        let mut zones = ZoneTable::default();
        let (my_zone, _) = zones.add(start, &place.zone);
        let rumor = MemberUpdate {
            id: MemberId::of(&place.host),
            stamp: MemberStamp { incarnation, sequence: 0 },
            phase: MemberPhase::Joining,
            health: MemberHealth::Alive,
            place: None,
        };
        let mut arena = MemberArena::default();
        let me = arena.insert(start, &rumor, place, my_zone);
        let mut rumors = RumorQueue::new(rumor.id.0 ^ seed);
        rumors.push(rumor.id);
        Self {
            options,
            rng: StdRng::seed_from_u64(seed),
            me,
            my_id: rumor.id,
            my_zone,
            arena,
            zones,
            rumors,
            ring: Vec::new(),
            ring_next: 0,
            across_next: (rumor.id.0 ^ seed) as usize % ZONE_START,
            probes: SmallVec::new(),
            relays: SmallVec::new(),
            suspicions: Vec::new(),
            next_number: 0,
            settings_hints: BTreeSet::new(),
            platform_hints: BTreeSet::new(),
            hint_next: 0,
            sync: None,
            synced: false,
            repair_peer: None,
            repair_after: 0,
            digest: MemberDigest::default(),
            digest_set: start,
            last_call: None,
            last_heard: start,
            started: start,
            due: DutyTimes::default(),
            actions: VecDeque::new(),
            generation: 0,
            view_changed: true,
            counters: MemberCounters::default(),
        }
    }

    /// Takes the addresses of the settings. They are asked for the member list
    /// on the next tick, and again while no live member is behind them.
    pub fn seed(&mut self, now: Duration, peers: &[SocketAddr]) {
        self.due.hint = now;
        self.started = now;
        self.settings_hints.extend(peers);
    }

    /// Takes the platform's list of hosts, in place of the one before.
    ///
    /// The list lags: it names hosts that are gone and omits live ones. Its
    /// addresses are only tried, so it neither kills a live member nor revives
    /// a dead one.
    pub fn seed_platform(&mut self, now: Duration, hosts: &[HostEntry]) {
        self.due.hint = self.due.hint.min(now);
        self.platform_hints = hosts.iter().map(|entry| entry.peer).collect();
    }

    /// Says what heartbeats should carry. Once `ready` is set, this host moves
    /// from joining to serving and stays there: a daemon that pulls a newer
    /// configuration serves by the older one meanwhile. A greater revision is
    /// pushed to a few members at once rather than waiting for heartbeats.
    pub fn set_digest(&mut self, now: Duration, digest: MemberDigest) {
        let newer = digest.revision > self.digest.revision;
        self.digest = digest;
        self.digest_set = now;
        if digest.ready && self.record_of_self().phase == MemberPhase::Joining {
            self.announce(now, MemberPhase::Serving);
        } else if newer {
            self.push_notice(now);
        }
    }

    /// Announces that this host finishes what it has and takes nothing new.
    pub fn leave(&mut self, now: Duration) {
        if self.record_of_self().phase < MemberPhase::Leaving {
            self.announce(now, MemberPhase::Leaving);
        }
    }

    /// Announces that this process stops now. Sent to several members, since
    /// the process will not be there to repeat it.
    pub fn depart(&mut self, now: Duration) {
        self.announce(now, MemberPhase::Left);
        self.push_notice(now);
    }

    /// Sends a hand-over message to a member.
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

    /// The next thing to do, none when all is done.
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

    /// The record behind a key, none when it was forgotten.
    pub fn record(&self, key: HostKey) -> Option<&MemberRecord> {
        self.arena.get(key)
    }

    /// The record of a host by its name's hash.
    pub fn record_by_id(&self, id: MemberId) -> Option<&MemberRecord> {
        self.arena.by_id(id)
    }

    /// The zone of the host behind a peer interface.
    pub fn zone_of_peer(&self, peer: SocketAddr) -> Option<&str> {
        self.arena.by_peer(peer).map(|record| record.place.zone.as_str())
    }

    /// This host.
    pub fn me(&self) -> HostKey {
        self.me
    }

    /// All known members of the fleet, this host and dead ones included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.arena.iter()
    }

    /// The live members of a zone, this host included; those of a lost zone too.
    pub fn hosts(&self, zone: &str) -> impl Iterator<Item = &MemberRecord> + use<'_> {
        let zone = self.zones.key(zone);
        self.arena.iter().filter(move |record| record.is_live() && Some(record.zone) == zone)
    }

    /// The members of a zone that may own groups, for [`ownership::owner`](crate::ownership::owner).
    /// None when the zone is lost: its hosts can't be reached from here.
    pub fn owners(&self, zone: &str) -> impl Iterator<Item = OwnerCandidate> + use<'_> {
        let reachable = self.zone_reachable(zone);
        self.hosts(zone)
            .filter(move |record| reachable && record.may_own())
            .map(|record| OwnerCandidate { key: record.key, id: record.id })
    }

    /// The members of a zone that stay, ready or not, for
    /// [`PropagationState::set_zone`](crate::PropagationState::set_zone): those that join
    /// count too, or a whole zone that starts at once would ask the store.
    pub fn active_hosts(&self, zone: &str) -> impl Iterator<Item = OwnerCandidate> + use<'_> {
        self.hosts(zone)
            .filter(|record| record.phase < MemberPhase::Leaving)
            .map(|record| OwnerCandidate { key: record.key, id: record.id })
    }

    /// Names of all zones that have or had members.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(|zone| self.zones.name(zone))
    }

    /// Whether the zone has been heard from within the zone timeout.
    pub fn zone_reachable(&self, zone: &str) -> bool {
        let reachable = |zone| zone == self.my_zone || self.zones.reachable(zone);
        self.zones.key(zone).is_some_and(reachable)
    }

    /// Whether any other zone has been heard from within the zone timeout.
    pub fn other_zones_reachable(&self) -> bool {
        self.other_zones().any(|zone| self.zones.reachable(zone))
    }

    /// Whether this daemon has heard nobody lately although others should be there.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let silent = now.saturating_sub(self.last_heard) > self.options.isolation_timeout;
        silent && self.arena.iter().any(|record| record.key != self.me && expects_word(record))
    }

    /// The own zone, for [`Handover::observe`](crate::handover::Handover::observe).
    pub fn zone_view(&self, now: Duration) -> ZoneView {
        let hosts = self
            .arena
            .iter()
            .filter(|record| record.zone == self.my_zone)
            .map(|record| (record.id, standing(record)))
            .collect();
        ZoneView {
            zone: self.zones.name(self.my_zone).to_owned(),
            hosts,
            isolated: self.is_isolated(now),
            other_zones_reachable: self.other_zones_reachable(),
        }
    }

    /// Whether the whole list was read from a peer once.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Counts since the start.
    pub fn counters(&self) -> MemberCounters {
        self.counters
    }

    /// An estimate of the bytes this table holds on the heap.
    pub fn memory_bytes(&self) -> usize {
        const INDEX_BYTES: usize = 96;
        let names: usize = self
            .arena
            .iter()
            .map(|record| record.place.host.capacity() + record.place.zone.capacity())
            .sum();
        let fixed = std::mem::size_of::<Option<MemberRecord>>() + INDEX_BYTES;
        names + self.arena.len() * fixed + self.rumors.len() * INDEX_BYTES
    }

    fn record_of_self(&self) -> &MemberRecord {
        self.arena.get(self.me).expect("the own record is never removed")
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

    /// The digest with its age as of now.
    fn digest_at(&self, now: Duration) -> MemberDigest {
        let passed = now.saturating_sub(self.digest_set).as_millis();
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        let confirmed_ms = self.digest.confirmed_ms.saturating_add(passed);
        MemberDigest { confirmed_ms, ..self.digest }
    }
}

fn standing(record: &MemberRecord) -> HostStatus {
    match (record.phase, record.health) {
        (MemberPhase::Left, _) => HostStatus::Left,
        (_, MemberHealth::Dead) => HostStatus::Dead(record.changed_at),
        (MemberPhase::Serving, _) => HostStatus::Serving,
        _ => HostStatus::Idle,
    }
}

/// Whether silence from this member means something: it was believed to run
/// until this daemon stopped hearing.
fn expects_word(record: &MemberRecord) -> bool {
    record.is_live() || record.private
}
