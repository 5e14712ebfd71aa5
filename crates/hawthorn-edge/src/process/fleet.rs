//! Which other hosts of the fleet live, by heartbeats over UDP.

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
use hawthorn_route::gatherers::ZoneHost;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use log::Level;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::feed;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::traffic::TrafficPurpose;
use crate::settings::RouteSettings;
use crate::version::beliefs::Beliefs;

/// Longer than any datagram of ours; the table refuses what is over its limit.
const DATAGRAM_BYTES: usize = 2_048;
/// Between pings to members of the own zone. Twice that of a host that owns
/// targets: here a member that died costs one query's time, not slots.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Between pings to other zones, at most: those of a zone's hosts together are what
/// tells whether another zone is there, and each of them is bytes between zones.
const ACROSS: Duration = Duration::from_secs(10);
/// A peer that is not pinged directly is looked at so often.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// What follows from membership is worked out anew so often: a tenth of the time
/// that membership needs to find a host dead, and some microseconds a zone.
const PEERS_PERIOD: Duration = Duration::from_millis(50);

/// A table that knows this host alone and its seeds.
///
/// The incarnation is the time since the host was switched on: the time of day
/// jumps, and after a jump back a process that started again would count as
/// older than the one before it. A host that lost power begins anew below its
/// earlier life, and takes a greater one as soon as a peer speaks of that.
pub(crate) fn table(settings: &RouteSettings) -> MemberTable {
    let place = MemberPlace {
        host: settings.host.name.clone(),
        zone: settings.host.zone.clone(),
        peer: settings.listen.peers,
        capacity: (settings.host.core_share * settings.host.cores * 1000.0) as u32,
    };
    let options = member::Options {
        heartbeat: HEARTBEAT,
        cross_zone_interval: ACROSS,
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

/// Exchanges heartbeats for as long as the process lives.
pub(crate) async fn run(host: Rc<RouteHost>, socket: UdpSocket) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let started = host_now();
    loop {
        let passed = host_now().saturating_sub(started);
        let wake = host.members.borrow().next_wake().saturating_sub(passed).min(LONGEST_SLEEP);
        let due = host_now() + wake;
        let heard = tokio::select! {
            () = host.quarantine.gossip_due.notified() => None,
            heard = socket.recv_from(&mut datagram) => heard.ok(),
            () = sleep(wake) => {
                host.lag.borrow_mut().learn(host_now().saturating_sub(due));
                None
            }
        };
        let now = host_now().saturating_sub(started);
        if let Some((len, from)) = heard
            && let Err(error) = host.members.borrow_mut().receive(now, from, &datagram[..len])
        {
            edge_event!(
                Level::Debug,
                EdgeEvent::PeerMessageBroken,
                "from={from} error=\"{error}\""
            );
        }
        tick(&host, now);
        for (peer, payload) in quarantine::gossip_messages(&host) {
            host.members.borrow_mut().send_payload(now, peer, payload);
        }
        act(&host, &socket, now).await;
    }
}

fn tick(host: &RouteHost, now: Duration) {
    let version = host.beliefs.table().map_or(0, |table| table.version());
    let digest = MemberDigest {
        revision: ConfigRevision(version),
        versions: host.mirror.borrow().as_of(),
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
    let rate = host.beliefs.query_rate();
    if host.gather_peers.borrow_mut().refresh(now, &members, rate) {
        note_members(&host.beliefs, &members, rate);
    }
}

/// What beliefs follow from membership.
fn note_members(beliefs: &Beliefs, members: &MemberTable, rate: f64) {
    let gathering = gathering_ids(members, &beliefs.settings.host.zone, rate);
    let me = MemberId::of(&beliefs.settings.host.name).0;
    beliefs.hosts.set(members.records().filter(|record| record.is_live()).count());
    beliefs.gatherers.set(gathering.len().max(1));
    beliefs.set_gathers(gathering.is_empty() || gathering.contains(&me), host_now());
    beliefs.fleet_zones.set(members.zones().count());
}

async fn act(host: &Rc<RouteHost>, socket: &UdpSocket, now: Duration) {
    loop {
        let action = host.members.borrow_mut().poll_action();
        match action {
            None => return,
            // A datagram may be lost anywhere; here is no different.
            Some(FleetAction::Send { to, bytes }) => {
                if let Some(zone) = host.members.borrow().zone_of_peer(to) {
                    host.traffic.count(TrafficPurpose::Membership, zone, bytes.len());
                }
                let _sent = socket.send_to(&bytes, to).await;
            }
            Some(FleetAction::MemberUp(key)) => note(host, key, "up"),
            Some(FleetAction::MemberDown(key)) => note(host, key, "down"),
            Some(FleetAction::MemberLeaving(key)) => note(host, key, "leaving"),
            Some(FleetAction::DigestReceived { peer, digest }) => {
                behind(host, peer, digest.versions);
                if let Some(request) = quarantine::sync_request(host, digest.quarantine) {
                    send_payload(host, peer, request, now);
                }
            }
            Some(FleetAction::PayloadReceived { from, payload }) => {
                for reply in quarantine::receive(host, from, &payload) {
                    host.members.borrow_mut().send_payload(now, from, reply);
                }
            }
            Some(_) => {}
        }
    }
}

fn send_payload(host: &RouteHost, peer: HostKey, payload: Vec<u8>, now: Duration) {
    let mut members = host.members.borrow_mut();
    if let Some(to) = members.record(peer).map(|record| record.place.peer) {
        members.send_payload(now, to, payload);
    }
}

/// A heartbeat tells how far its sender knows the store's items.
fn behind(host: &Rc<RouteHost>, peer: HostKey, as_of: u64) {
    if as_of <= host.mirror.borrow().as_of() {
        return;
    }
    let members = host.members.borrow();
    let Some(record) = members.record(peer) else { return };
    let (address, near) = (record.place.peer, record.place.zone == host.beliefs.settings.host.zone);
    drop(members);
    // One host of a zone reads what other zones know, and tells the others.
    if near || feed::reads_for_zone(host) {
        tokio::task::spawn_local(feed::catch_up(Rc::clone(host), address, as_of));
    }
}

fn note(host: &RouteHost, key: HostKey, change: &str) {
    let members = host.members.borrow();
    if let Some(record) = members.record(key) {
        let (name, zone) = (&record.place.host, &record.place.zone);
        edge_event!(Level::Info, EdgeEvent::PeerChanged, "host={name} zone={zone} change={change}");
    }
}

/// The hosts of a zone that stay, with what each is capable of.
pub(crate) fn staying_hosts(members: &MemberTable, zone: &str) -> Vec<ZoneHost> {
    members
        .active_hosts(zone)
        .filter_map(|candidate| {
            let capacity = members.record(candidate.key)?.place.capacity;
            Some(ZoneHost { id: candidate.id.0, capacity })
        })
        .collect()
}

/// The hosts of a zone that gather. Callers are spread over a zone's hosts, and
/// zones are alike, so that each knows a zone's queries by its own `rate`.
fn gathering_ids(members: &MemberTable, zone: &str, rate: f64) -> Vec<u64> {
    let hosts = staying_hosts(members, zone);
    gatherers::choose(&hosts, rate * hosts.len() as f64)
}

/// The other hosts that gather and take work, by zone: worked out with
/// membership and not with each query, as they change with it.
#[derive(Debug, Default)]
pub struct GatherPeers {
    due: Duration,
    zones: HashMap<String, Vec<SocketAddr>>,
}

impl GatherPeers {
    /// True when it was time.
    fn refresh(&mut self, now: Duration, members: &MemberTable, rate: f64) -> bool {
        if now < self.due {
            return false;
        }
        self.due = now + PEERS_PERIOD;
        self.zones = members
            .zones()
            .map(|zone| (zone.to_owned(), gathering_peers(members, zone, rate)))
            .collect();
        true
    }

    /// Those of a zone.
    pub(crate) fn of_zone(&self, zone: &str) -> &[SocketAddr] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
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
