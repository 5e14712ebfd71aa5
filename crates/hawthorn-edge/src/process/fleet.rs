//! Membership of the fleet, by heartbeats over UDP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberDigest;
use hawthorn_fleet::MemberHealth;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPhase;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::member;
use hawthorn_route::gatherers;
use hawthorn_route::gatherers::GathererOrder;
use hawthorn_route::gatherers::ZoneHost;
use hawthorn_route::payload;
use hawthorn_route::payload::PayloadKind;
use hawthorn_route::revision::StoreRevision;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use log::Level;
use rand::RngExt;
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::catch_up;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::store_sync;
use crate::process::traffic::TrafficPurpose;
use crate::process::zone_reports;
use crate::settings::RouteSettings;
use crate::version::state::RoutingState;

/// Receive buffer, larger than any datagram of the protocol; the member table rejects datagrams
/// over its own limit.
const DATAGRAM_BYTES: usize = 2_048;
/// Interval between pings within the zone. Twice that of a host that owns targets: a member
/// that failed unnoticed costs the time of one query here, and no slots.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Maximum interval between pings to another zone. The pings of all hosts of a zone together
/// show whether another zone is reachable, and each one is cross-zone traffic.
const CROSS_ZONE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time between two ticks of the member table, for peers that are not pinged directly.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Interval at which the lists derived from membership are recomputed: a tenth of the failure
/// detection time. It takes some microseconds for each zone.
const REFRESH_PERIOD: Duration = Duration::from_millis(50);

/// Creates a member table with this host and its seeds.
///
/// The incarnation is the time since boot. Wall-clock time can jump back, and a restarted
/// process would then count as older than its predecessor. A host that rebooted starts with a
/// lower incarnation than before, and adopts a higher one as soon as a peer reports the earlier
/// one.
pub(crate) fn table(settings: &RouteSettings) -> MemberTable {
    let place = MemberPlace {
        host: settings.host.name.clone(),
        zone: settings.host.zone.clone(),
        peer: settings.listen.peer_address(),
        capacity: (settings.host.core_share * settings.host.cores * 1000.0) as u32,
    };
    let options = member::Options {
        heartbeat: HEARTBEAT,
        cross_zone_interval: CROSS_ZONE_INTERVAL,
        ..member::Options::default()
    };
    let incarnation = u64::try_from(host_now().as_millis()).unwrap_or(u64::MAX);
    let mut table = MemberTable::new(place, incarnation, options, rand::rng().random());
    let port = settings.listen.peers.port();
    let seeds: Vec<SocketAddr> = settings
        .fleet
        .seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port))
        .filter(|seed| *seed != settings.listen.peers)
        .collect();
    table.seed(Duration::ZERO, &seeds);
    table
}

/// Exchanges heartbeats until the process exits.
pub(crate) async fn run(host: Rc<RouteHost>, socket: UdpSocket) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let started = host_now();
    loop {
        let elapsed = host_now().saturating_sub(started);
        let wake = host.members.borrow().next_wake().saturating_sub(elapsed).min(MAX_SLEEP);
        let due = host_now() + wake;
        let received = tokio::select! {
            () = host.quarantine.gossip_due.notified() => None,
            () = host.zone_reports.send_due.notified() => None,
            received = socket.recv_from(&mut datagram) => received.ok(),
            () = sleep(wake) => {
                host.lag.borrow_mut().record(host_now().saturating_sub(due));
                None
            }
        };
        let now = host_now().saturating_sub(started);
        if let Some((len, from)) = received
            && let Err(error) = host.members.borrow_mut().receive(now, from, &datagram[..len])
        {
            edge_event!(
                Level::Debug,
                EdgeEvent::PeerMessageBroken,
                "from={from} error=\"{error}\""
            );
        }
        tick(&host, now);
        let reports = host.zone_reports.take_outgoing();
        for (peer, payload) in quarantine::gossip_messages(&host).into_iter().chain(reports) {
            host.members.borrow_mut().send_payload(now, peer, payload);
        }
        run_actions(&host, &socket, now).await;
    }
}

fn tick(host: &RouteHost, now: Duration) {
    let version = host.routing.table().map_or(0, |table| table.version());
    let as_of = host.mirror.borrow().as_of();
    let digest = MemberDigest {
        revision: ConfigRevision(version),
        era: as_of.era,
        versions: as_of.number,
        ready: host.is_ready(),
        quarantine: quarantine::digest(host),
        ..MemberDigest::default()
    };
    let mut members = host.members.borrow_mut();
    members.tick(now);
    members.set_digest(now, digest);
    if host.stopping.is_cancelled() {
        members.leave(now);
    }
    let rate = host.routing.query_rate();
    if host.gather_peers.borrow_mut().refresh(now, &members, rate) {
        apply_membership(&host.routing, &members, rate);
    }
}

/// Updates the routing state from membership.
fn apply_membership(routing: &RoutingState, members: &MemberTable, rate: f64) {
    let gathering = gathering_ids(members, &routing.settings.host.zone, rate);
    let me = MemberId::of(&routing.settings.host.name).0;
    routing.hosts.set(members.records().filter(|record| record.is_live()).count());
    routing.gatherers.set(gathering.len().max(1));
    routing.set_gatherer(gathering.is_empty() || gathering.contains(&me), host_now());
    routing.fleet_zones.set(members.zones().count());
}

async fn run_actions(host: &Rc<RouteHost>, socket: &UdpSocket, now: Duration) {
    loop {
        let action = host.members.borrow_mut().poll_action();
        match action {
            None => return,
            // Datagrams may be lost anyway, so a failed send is ignored.
            Some(FleetAction::Send { to, bytes }) => {
                if let Some(zone) = host.members.borrow().zone_of_peer(to) {
                    host.traffic.count(TrafficPurpose::Membership, zone, bytes.len());
                }
                let _sent = socket.send_to(&bytes, to).await;
            }
            Some(FleetAction::MemberUp(key)) => log_member(host, key, "up"),
            Some(FleetAction::MemberDown(key)) => log_member(host, key, "down"),
            Some(FleetAction::MemberLeaving(key)) => log_member(host, key, "leaving"),
            Some(FleetAction::DigestReceived { peer, digest }) => {
                let as_of = StoreRevision::new(digest.era, digest.versions);
                catch_up_if_behind(host, peer, as_of);
                if let Some(request) = quarantine::sync_request(host, digest.quarantine) {
                    send_payload(host, peer, request, now);
                }
            }
            Some(FleetAction::PayloadReceived { from, payload }) => {
                for reply in receive_payload(host, from, &payload) {
                    host.members.borrow_mut().send_payload(now, from, reply);
                }
            }
            Some(_) => {}
        }
    }
}

/// Handles a payload by its kind and returns the replies.
fn receive_payload(host: &Rc<RouteHost>, from: SocketAddr, payload: &[u8]) -> Vec<Vec<u8>> {
    let error = match payload::open(payload) {
        Ok((PayloadKind::Quarantine, message)) => return quarantine::receive(host, from, message),
        Ok((PayloadKind::ZoneReports, message)) => {
            zone_reports::receive(host, from, message);
            return Vec::new();
        }
        Ok((kind, _)) => format!("payload kind {kind:?} is not handled"),
        Err(error) => error.to_string(),
    };
    // Hosts of a later version send further kinds during a rolling update.
    edge_event!(Level::Debug, EdgeEvent::PeerMessageBroken, "from={from} error=\"{error}\"");
    Vec::new()
}

fn send_payload(host: &RouteHost, peer: HostKey, payload: Vec<u8>, now: Duration) {
    let mut members = host.members.borrow_mut();
    if let Some(to) = members.record(peer).map(|record| record.place.peer) {
        members.send_payload(now, to, payload);
    }
}

/// Starts to catch up if a heartbeat announces a newer revision of the store.
fn catch_up_if_behind(host: &Rc<RouteHost>, peer: HostKey, as_of: StoreRevision) {
    if as_of <= host.mirror.borrow().as_of() {
        return;
    }
    let members = host.members.borrow();
    let Some(record) = members.record(peer) else { return };
    let (address, same_zone) =
        (record.place.peer, record.place.zone == host.routing.settings.host.zone);
    drop(members);
    // Only the watchers of a zone fetch from other zones; the others get it from them.
    if same_zone || store_sync::watches_store(host) {
        tokio::task::spawn_local(catch_up::catch_up(Rc::clone(host), address, as_of));
    }
}

fn log_member(host: &RouteHost, key: HostKey, change: &str) {
    let members = host.members.borrow();
    if let Some(record) = members.record(key) {
        let (name, zone) = (&record.place.host, &record.place.zone);
        edge_event!(Level::Info, EdgeEvent::PeerChanged, "host={name} zone={zone} change={change}");
    }
}

/// The hosts of a zone that are not leaving, with their capacity.
pub(crate) fn zone_hosts(members: &MemberTable, zone: &str) -> Vec<ZoneHost> {
    members
        .active_hosts(zone)
        .filter_map(|candidate| {
            let capacity = members.record(candidate.key)?.place.capacity;
            Some(ZoneHost { id: candidate.id.0, capacity })
        })
        .collect()
}

/// The hosts of a zone that gather. Load balancing spreads callers evenly over hosts and zones,
/// so each host estimates a zone's queries from its own `rate`.
fn gathering_ids(members: &MemberTable, zone: &str, rate: f64) -> Vec<u64> {
    let hosts = zone_hosts(members, zone);
    gatherers::choose(&hosts, rate * hosts.len() as f64)
}

/// The other hosts that gather and accept work, by zone. Recomputed from membership
/// periodically and not for each query.
#[derive(Debug, Default)]
pub struct GatherPeers {
    due: Duration,
    zones: HashMap<String, Vec<SocketAddr>>,
    orders: HashMap<String, GathererOrder>,
}

impl GatherPeers {
    /// Recomputes the lists if they are due; true if it did.
    fn refresh(&mut self, now: Duration, members: &MemberTable, rate: f64) -> bool {
        if now < self.due {
            return false;
        }
        self.due = now + REFRESH_PERIOD;
        self.zones = members
            .zones()
            .map(|zone| (zone.to_owned(), gathering_peers(members, zone, rate)))
            .collect();
        true
    }

    /// Selects the next gatherer of a zone to ask, among those for which `is_usable` holds.
    pub(crate) fn select(
        &self,
        zone: &str,
        is_usable: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let gatherers = self.zones.get(zone)?.iter().filter(|gatherer| is_usable(**gatherer));
        let gatherers: SmallVec<[SocketAddr; 8]> = gatherers.copied().collect();
        let mut rng = rand::rng();
        match self.orders.get(zone) {
            Some(order) => order.select(&gatherers, &mut rng),
            None => GathererOrder::default().select(&gatherers, &mut rng),
        }
    }

    /// Records that a gatherer of a zone is asked.
    pub(crate) fn record(&mut self, zone: &str, gatherer: SocketAddr) {
        self.orders.entry(zone.to_owned()).or_default().record(gatherer);
    }
}

fn gathering_peers(members: &MemberTable, zone: &str, rate: f64) -> Vec<SocketAddr> {
    let me = members.me();
    let ids = gathering_ids(members, zone, rate);
    members
        .hosts(zone)
        .filter(|record| record.key != me && record.phase == MemberPhase::Serving)
        .filter(|record| record.health == MemberHealth::Alive)
        .filter(|record| ids.contains(&record.id.0))
        .map(|record| record.place.peer)
        .collect()
}
