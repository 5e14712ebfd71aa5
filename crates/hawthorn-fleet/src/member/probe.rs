//! Periodic tasks: heartbeats, probes, suspicions and expiry.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;

use hawthorn_types::HostKey;

use super::MemberRecord;
use super::MemberTable;
use super::Options;
use crate::action::FleetAction;
use crate::message::FleetBody;
use crate::message::MemberHealth;
use crate::message::MemberId;
use crate::message::MemberPhase;
use crate::message::MemberStamp;
use crate::message::MemberUpdate;

/// Interval between checks of which zones are reachable.
const ZONE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between scans for expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);

/// How often an unacknowledged ping is retried, directly and through relays.
const PROBE_RETRIES: u32 = 2;

/// A ping that has not been acknowledged yet.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u32,
    pub(super) key: HostKey,
    pub(super) peer: SocketAddr,
    sent: Duration,
    /// How often it was retried, directly and through relays.
    retries: u32,
    /// Whether a failure makes the target suspect: true for members of this daemon's zone.
    suspect_on_failure: bool,
}

/// A ping sent on behalf of another member.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) number: u32,
    /// The member to ping.
    pub(super) target: MemberId,
    pub(super) origin: SocketAddr,
    pub(super) origin_number: u32,
    pub(super) expires: Duration,
}

/// A suspect and the deadline for its refutation.
#[derive(Debug)]
pub(super) struct Suspicion {
    pub(super) key: HostKey,
    pub(super) stamp: MemberStamp,
    pub(super) deadline: Duration,
    /// Started by this daemon's own probe; this daemon keeps pinging the suspect.
    pub(super) local: bool,
}

impl Suspicion {
    /// How long the suspect may refute. A daemon that learned of the suspicion by gossip waits
    /// longer: the refutation may still be in transit.
    fn timeout(&self, options: &Options) -> Duration {
        if self.local { options.suspicion_timeout } else { options.remote_suspicion_timeout }
    }
}

/// Time after a ping when it is retried, or has failed.
///
/// With 5 % of datagrams lost, a ping with its ack fails one time in ten and a relayed ping one
/// time in five; after two retries about one probe in 100,000 of a live member fails.
fn retry_after(retries: u32, options: &Options) -> Duration {
    if retries < PROBE_RETRIES {
        options.ack_timeout * (retries + 1)
    } else {
        options.probe_timeout
    }
}

impl MemberTable {
    /// Runs all tasks that are due.
    pub fn tick(&mut self, now: Duration) {
        self.detect_pause(now);
        self.relays.retain(|relay| relay.expires > now);
        self.check_probes(now);
        self.check_suspicions(now);
        if now >= self.due.heartbeat {
            self.due.heartbeat = now + self.options.heartbeat;
            self.ping_next(now);
            self.ping_suspects(now);
        }
        if now >= self.due.cross_zone {
            self.due.cross_zone = now + self.cross_zone_interval();
            self.ping_other_zone(now);
        }
        if now >= self.due.rejoin {
            self.due.rejoin = now + self.options.rejoin_interval;
            self.ping_dead(now);
        }
        if now >= self.due.seeds {
            self.contact_seeds(now);
        }
        if now >= self.due.repair {
            self.due.repair = now + self.options.repair_interval;
            self.request_repair(now);
        }
        if now >= self.due.zones {
            self.due.zones = now + ZONE_CHECK_INTERVAL;
            self.check_zones(now);
        }
        if now >= self.due.expiry {
            self.due.expiry = now + EXPIRY_INTERVAL;
            self.remove_expired(now);
        }
        self.retry_sync(now);
    }

    /// When to call `tick` next; never later than a heartbeat, so that a longer gap indicates a
    /// pause of the process.
    pub fn next_wake(&self) -> Duration {
        let probes =
            self.probes.iter().map(|probe| probe.sent + retry_after(probe.retries, &self.options));
        let suspicions = self.suspicions.iter().map(|suspicion| suspicion.deadline);
        probes.chain(suspicions).fold(self.due.heartbeat, Duration::min)
    }

    /// Detects that this process was paused. A paused process resumes with every timer expired and
    /// would declare its whole zone dead, while the zone has declared it dead. The gap between
    /// calls reveals the pause. Pending probes are discarded, suspicions restart, and the host
    /// announces itself again before it processes what others reported about it.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        let gap = self.last_activity.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_activity = Some(now);
        if gap <= self.options.pause_threshold {
            return;
        }
        self.counters.pauses += 1;
        self.probes.clear();
        self.relays.clear();
        self.last_received = now;
        self.zones.shift(gap);
        self.restart_suspicions(now);
        self.refute(now, 0);
        self.sync = None;
        self.start_sync(now);
        self.view_changed = true;
        self.actions.push_back(FleetAction::ProcessPaused(gap));
    }

    /// Restarts the refutation timeout of all suspects.
    pub(super) fn restart_suspicions(&mut self, now: Duration) {
        for suspicion in &mut self.suspicions {
            let timeout = suspicion.timeout(&self.options);
            suspicion.deadline = now + timeout;
        }
    }

    /// Gives members that only this daemon considers dead time to refute. Without this, the last
    /// host of a zone, if it is isolated when another member dies, would never gossip the death,
    /// and other zones would keep sending requests to the dead host.
    pub(super) fn recheck_local_only(&mut self, now: Duration) {
        let deadline = now + self.options.suspicion_timeout;
        for record in self.arena.iter().filter(|record| record.local_only && !record.is_live()) {
            let (key, stamp) = (record.key, record.stamp);
            self.suspicions.retain(|suspicion| suspicion.key != key);
            self.suspicions.push(Suspicion { key, stamp, deadline, local: true });
        }
    }

    pub(super) fn allocate_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Pings the next member of the zone. Each round visits all members once, in a new order, so
    /// that none waits longer than two rounds. The last host of a zone pings other zones instead:
    /// it must keep receiving to know that it is not isolated.
    fn ping_next(&mut self, now: Duration) {
        for _ in 0..self.ring.len() {
            if self.ring_next >= self.ring.len() {
                self.start_round();
            }
            let Some(&key) = self.ring.get(self.ring_next) else { break };
            self.ring_next += 1;
            let pingable = |record: &MemberRecord| {
                record.is_live()
                    && record.zone == self.my_zone
                    && record.health == MemberHealth::Alive
            };
            if self.arena.get(key).is_some_and(pingable) {
                return self.ping(now, key, true, &[]);
            }
        }
        self.ping_other_zone(now);
    }

    fn start_round(&mut self) {
        self.ring_next = 0;
        let arena = &self.arena;
        let zone = self.my_zone;
        self.ring.retain(|&key| {
            arena.get(key).is_some_and(|record| record.is_live() && record.zone == zone)
        });
        self.ring.shuffle(&mut self.rng);
    }

    pub(super) fn ping(
        &mut self,
        now: Duration,
        key: HostKey,
        suspect_on_failure: bool,
        priority_updates: &[MemberUpdate],
    ) {
        let Some(record) = self.arena.get(key) else { return };
        let peer = record.place.peer;
        let number = self.allocate_number();
        self.probes.push(Probe { number, key, peer, sent: now, retries: 0, suspect_on_failure });
        self.send(now, peer, FleetBody::Ping { number }, priority_updates);
    }

    /// Pings the members that this daemon suspects and includes the suspicion, so that a live
    /// member refutes it in its ack.
    fn ping_suspects(&mut self, now: Duration) {
        let keys: Vec<HostKey> =
            self.suspicions.iter().filter(|found| found.local).map(|found| found.key).collect();
        for key in keys {
            let Some(record) = self.arena.get(key) else { continue };
            let (peer, local_only, update) =
                (record.place.peer, record.local_only, record.to_update());
            let number = self.allocate_number();
            let priority_updates = if local_only { &[][..] } else { std::slice::from_ref(&update) };
            self.send(now, peer, FleetBody::Ping { number }, priority_updates);
            self.request_pings(now, key, number, 1);
        }
    }

    /// Pings one dead member of this daemon's zone, including the verdict if other members share
    /// it. Without this, the sides of a partitioned zone would consider each other dead and never
    /// rejoin. A live member refutes, and both lists converge.
    fn ping_dead(&mut self, now: Duration) {
        let dead: Vec<(SocketAddr, Option<MemberUpdate>)> = self
            .arena
            .iter()
            .filter(|record| record.health == MemberHealth::Dead)
            .filter(|record| record.phase != MemberPhase::Left)
            .filter(|record| record.zone == self.my_zone)
            .map(|record| (record.place.peer, (!record.local_only).then(|| record.to_update())))
            .collect();
        if dead.is_empty() {
            return;
        }
        let (peer, update) = &dead[self.rng.random_range(0..dead.len())];
        let number = self.allocate_number();
        self.send(now, *peer, FleetBody::Ping { number }, update.as_slice());
    }

    fn check_probes(&mut self, now: Duration) {
        let mut index = 0;
        while index < self.probes.len() {
            let probe = &self.probes[index];
            let waited = now.saturating_sub(probe.sent);
            if waited >= self.options.probe_timeout {
                let probe = self.probes.swap_remove(index);
                self.fail_probe(now, &probe);
                continue;
            }
            if waited >= retry_after(probe.retries, &self.options) {
                let (key, peer, number) = (probe.key, probe.peer, probe.number);
                self.probes[index].retries += 1;
                self.send(now, peer, FleetBody::Ping { number }, &[]);
                self.request_pings(now, key, number, self.options.relays);
            }
            index += 1;
        }
    }

    /// Asks relays to ping, because the target may be healthy while the path from here to it is
    /// broken in one direction, or a datagram was lost. Relays are members of the target's zone,
    /// which determines its health; if there are not enough, members of any zone.
    fn request_pings(&mut self, now: Duration, key: HostKey, number: u32, count: usize) {
        let Some(record) = self.arena.get(key) else { return };
        let (id, peer, zone) = (record.id, record.place.peer, record.zone);
        let mut relays = self.pick(count, |record| {
            record.key != key && record.zone == zone && record.health == MemberHealth::Alive
        });
        if relays.len() < count {
            let remaining = count - relays.len();
            relays.extend(self.pick(remaining, |record| record.zone != zone));
        }
        for relay in relays {
            let Some(to) = self.arena.get(relay).map(|record| record.place.peer) else { continue };
            self.counters.indirect_pings += 1;
            let body = FleetBody::PingRequest { number, target: id, peer };
            self.send(now, to, body, &[]);
        }
    }

    fn fail_probe(&mut self, now: Duration, probe: &Probe) {
        let alive =
            self.arena.get(probe.key).is_some_and(|record| record.health == MemberHealth::Alive);
        if !probe.suspect_on_failure || !alive {
            return;
        }
        self.counters.suspicions += 1;
        // Relays answer immediately: receiving nothing since they were asked means that this host
        // is at fault, or that there is no other member.
        let requested_at = probe.sent + self.options.ack_timeout;
        let local_only = self.last_received < requested_at || self.is_isolated(now);
        self.set_health(now, probe.key, MemberHealth::Suspect, local_only);
        if let Some(suspicion) = self.suspicions.iter_mut().find(|found| found.key == probe.key) {
            suspicion.local = true;
            if !local_only {
                suspicion.deadline = now + self.options.suspicion_timeout;
            }
        }
    }

    fn check_suspicions(&mut self, now: Duration) {
        let due: Vec<(HostKey, MemberStamp)> = self
            .suspicions
            .iter()
            .filter(|suspicion| suspicion.deadline <= now)
            .map(|suspicion| (suspicion.key, suspicion.stamp))
            .collect();
        for (key, stamp) in due {
            self.confirm_death(now, key, stamp);
        }
    }

    /// Declares a suspect dead that did not refute. An isolated daemon can't know whether it did:
    /// it waits longer and then does not gossip the verdict.
    fn confirm_death(&mut self, now: Duration, key: HostKey, stamp: MemberStamp) {
        let silence = now.saturating_sub(self.last_received);
        let isolated = self.is_isolated(now);
        if isolated && silence < self.options.isolated_suspicion_timeout {
            let deadline = self.last_received + self.options.isolated_suspicion_timeout;
            for suspicion in self.suspicions.iter_mut().filter(|found| found.key == key) {
                suspicion.deadline = deadline;
            }
            return;
        }
        self.suspicions.retain(|suspicion| suspicion.key != key);
        let Some(record) = self.arena.get(key) else { return };
        let unrefuted = record.health == MemberHealth::Suspect || record.local_only;
        if record.stamp == stamp && unrefuted {
            self.counters.deaths += u64::from(record.is_live());
            self.set_health(now, key, MemberHealth::Dead, isolated);
        }
    }

    /// Removes records whose retention has expired.
    fn remove_expired(&mut self, now: Duration) {
        let expired: Vec<HostKey> = self
            .arena
            .iter()
            .filter(|record| record.key != self.me && !record.is_live())
            .filter(|record| {
                let left = record.phase == MemberPhase::Left;
                let retention =
                    if left { self.options.left_retention } else { self.options.dead_retention };
                now.saturating_sub(record.changed_at) > retention
            })
            .map(|record| record.key)
            .collect();
        for key in expired {
            self.ring.retain(|&member| member != key);
            self.arena.remove(key);
            self.actions.push_back(FleetAction::MemberRemoved(key));
        }
    }
}
