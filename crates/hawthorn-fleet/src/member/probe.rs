//! What is due by the clock: heartbeats, probes, suspicions, repairs.

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

/// Between looks at which zones are reachable.
const ZONE_REVIEW: Duration = Duration::from_millis(500);

/// Between sweeps for records to forget.
const FORGET_SWEEP: Duration = Duration::from_secs(30);

/// How often a ping without an ack is sent again, directly and through others.
const PROBE_ROUNDS: u32 = 2;

/// A ping that waits for its ack.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u32,
    pub(super) key: HostKey,
    pub(super) peer: SocketAddr,
    sent: Duration,
    /// How often it was sent again, directly and through others.
    rounds: u32,
    /// Whether failing makes the target suspect: a member of the own zone.
    judged: bool,
}

/// A ping passed on for another.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) number: u32,
    /// Whom it was meant for.
    pub(super) target: MemberId,
    pub(super) origin: SocketAddr,
    pub(super) origin_number: u32,
    pub(super) expires: Duration,
}

/// A suspect's time to refute.
#[derive(Debug)]
pub(super) struct Suspicion {
    pub(super) key: HostKey,
    pub(super) stamp: MemberStamp,
    pub(super) deadline: Duration,
    /// Begun by this daemon's own probe, which then keeps pinging.
    pub(super) own: bool,
}

impl Suspicion {
    /// How long the suspect may refute. A daemon that only heard of the
    /// suspicion waits longer: the refutation may still be on its way.
    fn wait(&self, options: &Options) -> Duration {
        if self.own { options.suspicion_timeout } else { options.remote_suspicion_timeout }
    }
}

/// How long after a ping it is sent again, or given up.
///
/// With 5 % of datagrams lost, a ping with its ack fails one time in ten and
/// one through others one time in five; after two rounds about one probe in
/// 100,000 of a live member fails.
fn again_at(rounds: u32, options: &Options) -> Duration {
    if rounds < PROBE_ROUNDS { options.ack_timeout * (rounds + 1) } else { options.probe_timeout }
}

impl MemberTable {
    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.note_time(now);
        self.relays.retain(|relay| relay.expires > now);
        self.review_probes(now);
        self.review_suspicions(now);
        if now >= self.due.heartbeat {
            self.due.heartbeat = now + self.options.heartbeat;
            self.ping_next(now);
            self.ping_suspects(now);
        }
        if now >= self.due.across {
            self.due.across = now + self.across_wait();
            self.ping_across(now);
        }
        if now >= self.due.retry {
            self.due.retry = now + self.options.rejoin_interval;
            self.ping_dead(now);
        }
        if now >= self.due.hint {
            self.try_hints(now);
        }
        if now >= self.due.repair {
            self.due.repair = now + self.options.repair_interval;
            self.ask_repair(now);
        }
        if now >= self.due.zones {
            self.due.zones = now + ZONE_REVIEW;
            self.review_zones(now);
        }
        if now >= self.due.forget {
            self.due.forget = now + FORGET_SWEEP;
            self.forget(now);
        }
        self.retry_sync(now);
    }

    /// When `tick` is worth calling next; never later than a heartbeat, so
    /// that a longer gap shows that the process stood still.
    pub fn next_wake(&self) -> Duration {
        let probes =
            self.probes.iter().map(|probe| probe.sent + again_at(probe.rounds, &self.options));
        let suspicions = self.suspicions.iter().map(|suspicion| suspicion.deadline);
        probes.chain(suspicions).fold(self.due.heartbeat, Duration::min)
    }

    /// Notices that this process stood still. Failure: a paused process wakes
    /// with every timer overdue and would hold its whole zone for dead, while
    /// the zone holds it for dead. The gap between calls shows it. All waiting
    /// probes are void, suspicions begin again, and the host announces itself
    /// anew before it hears what was said of it.
    pub(super) fn note_time(&mut self, now: Duration) {
        let gap = self.last_call.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_call = Some(now);
        if gap <= self.options.pause_threshold {
            return;
        }
        self.counters.pauses += 1;
        self.probes.clear();
        self.relays.clear();
        self.last_heard = now;
        self.zones.shift(gap);
        self.restart_suspicions(now);
        self.refute(now, 0);
        self.sync = None;
        self.start_sync(now);
        self.view_changed = true;
        self.actions.push_back(FleetAction::ProcessPaused(gap));
    }

    /// Gives all suspects their full time again.
    pub(super) fn restart_suspicions(&mut self, now: Duration) {
        for suspicion in &mut self.suspicions {
            let wait = suspicion.wait(&self.options);
            suspicion.deadline = now + wait;
        }
    }

    /// Gives members that this daemon alone holds for dead time to refute.
    /// Failure: a zone's last host hears nobody while a mate dies, and keeps
    /// the death to itself for ever, so that other zones send work to the dead.
    pub(super) fn review_private(&mut self, now: Duration) {
        let deadline = now + self.options.suspicion_timeout;
        for record in self.arena.iter().filter(|record| record.private && !record.is_live()) {
            let (key, stamp) = (record.key, record.stamp);
            self.suspicions.retain(|suspicion| suspicion.key != key);
            self.suspicions.push(Suspicion { key, stamp, deadline, own: true });
        }
    }

    pub(super) fn take_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Pings the next member of the zone. Each round goes through all members
    /// once, in a new order, so that none waits longer than two rounds. The
    /// last of its zone pings other zones instead: it must go on hearing often
    /// to know that it is not the one cut off.
    fn ping_next(&mut self, now: Duration) {
        for _ in 0..self.ring.len() {
            if self.ring_next >= self.ring.len() {
                self.begin_round();
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
        self.ping_across(now);
    }

    fn begin_round(&mut self) {
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
        judged: bool,
        front: &[MemberUpdate],
    ) {
        let Some(record) = self.arena.get(key) else { return };
        let peer = record.place.peer;
        let number = self.take_number();
        self.probes.push(Probe { number, key, peer, sent: now, rounds: 0, judged });
        self.send(now, peer, FleetBody::Ping { number }, front);
    }

    /// Pings again those that this daemon suspects, telling them so: a live one
    /// refutes in its ack.
    fn ping_suspects(&mut self, now: Duration) {
        let keys: Vec<HostKey> =
            self.suspicions.iter().filter(|found| found.own).map(|found| found.key).collect();
        for key in keys {
            let Some(record) = self.arena.get(key) else { continue };
            let (peer, private, rumor) = (record.place.peer, record.private, record.rumor());
            let number = self.take_number();
            let front = if private { &[][..] } else { std::slice::from_ref(&rumor) };
            self.send(now, peer, FleetBody::Ping { number }, front);
            self.ask_to_ping(now, key, number, 1);
        }
    }

    /// Pings one dead member of the own zone, telling it so if others hold it
    /// for dead too. Failure: two parts
    /// of a zone that were cut off from each other hold each other for dead and
    /// would stay apart for ever. A live one refutes and both lists meet.
    fn ping_dead(&mut self, now: Duration) {
        let dead: Vec<(SocketAddr, Option<MemberUpdate>)> = self
            .arena
            .iter()
            .filter(|record| record.health == MemberHealth::Dead)
            .filter(|record| record.phase != MemberPhase::Left)
            .filter(|record| record.zone == self.my_zone)
            .map(|record| (record.place.peer, (!record.private).then(|| record.rumor())))
            .collect();
        if dead.is_empty() {
            return;
        }
        let (peer, rumor) = &dead[self.rng.random_range(0..dead.len())];
        let number = self.take_number();
        self.send(now, *peer, FleetBody::Ping { number }, rumor.as_slice());
    }

    fn review_probes(&mut self, now: Duration) {
        let mut index = 0;
        while index < self.probes.len() {
            let probe = &self.probes[index];
            let waited = now.saturating_sub(probe.sent);
            if waited >= self.options.probe_timeout {
                let probe = self.probes.swap_remove(index);
                self.probe_failed(now, &probe);
                continue;
            }
            if waited >= again_at(probe.rounds, &self.options) {
                let (key, peer, number) = (probe.key, probe.peer, probe.number);
                self.probes[index].rounds += 1;
                self.send(now, peer, FleetBody::Ping { number }, &[]);
                self.ask_to_ping(now, key, number, self.options.relays);
            }
            index += 1;
        }
    }

    /// Asks others to ping. Failure: the way from here to the target is cut in
    /// one direction, or one datagram was lost, while the target is well.
    /// Relays are of the target's zone, which knows best; if that has no
    /// others, of any zone.
    fn ask_to_ping(&mut self, now: Duration, key: HostKey, number: u32, count: usize) {
        let Some(record) = self.arena.get(key) else { return };
        let (id, peer, zone) = (record.id, record.place.peer, record.zone);
        let mut relays = self.pick(count, |record| {
            record.key != key && record.zone == zone && record.health == MemberHealth::Alive
        });
        if relays.len() < count {
            let rest = count - relays.len();
            relays.extend(self.pick(rest, |record| record.zone != zone));
        }
        for relay in relays {
            let Some(to) = self.arena.get(relay).map(|record| record.place.peer) else { continue };
            self.counters.indirect_pings += 1;
            let body = FleetBody::PingRequest { number, target: id, peer };
            self.send(now, to, body, &[]);
        }
    }

    fn probe_failed(&mut self, now: Duration, probe: &Probe) {
        let alive =
            self.arena.get(probe.key).is_some_and(|record| record.health == MemberHealth::Alive);
        if !probe.judged || !alive {
            return;
        }
        self.counters.suspicions += 1;
        // Relays answer at once: hearing nothing at all since they were asked
        // means that the fault is on this side, or that there is nobody else.
        let asked = probe.sent + self.options.ack_timeout;
        let private = self.last_heard < asked || self.is_isolated(now);
        self.set_health(now, probe.key, MemberHealth::Suspect, private);
        if let Some(suspicion) = self.suspicions.iter_mut().find(|found| found.key == probe.key) {
            suspicion.own = true;
            if !private {
                suspicion.deadline = now + self.options.suspicion_timeout;
            }
        }
    }

    fn review_suspicions(&mut self, now: Duration) {
        let due: Vec<(HostKey, MemberStamp)> = self
            .suspicions
            .iter()
            .filter(|suspicion| suspicion.deadline <= now)
            .map(|suspicion| (suspicion.key, suspicion.stamp))
            .collect();
        for (key, stamp) in due {
            self.confirm(now, key, stamp);
        }
    }

    /// A suspect did not refute. A daemon that hears nobody can't know whether
    /// it did: it waits longer and then keeps the verdict to itself.
    fn confirm(&mut self, now: Duration, key: HostKey, stamp: MemberStamp) {
        let silent = now.saturating_sub(self.last_heard);
        let isolated = self.is_isolated(now);
        if isolated && silent < self.options.isolated_suspicion_timeout {
            let deadline = self.last_heard + self.options.isolated_suspicion_timeout;
            for suspicion in self.suspicions.iter_mut().filter(|found| found.key == key) {
                suspicion.deadline = deadline;
            }
            return;
        }
        self.suspicions.retain(|suspicion| suspicion.key != key);
        let Some(record) = self.arena.get(key) else { return };
        let doubtful = record.health == MemberHealth::Suspect || record.private;
        if record.stamp == stamp && doubtful {
            self.counters.deaths += u64::from(record.is_live());
            self.set_health(now, key, MemberHealth::Dead, isolated);
        }
    }

    /// Drops records nobody needs any more.
    fn forget(&mut self, now: Duration) {
        let old: Vec<HostKey> = self
            .arena
            .iter()
            .filter(|record| record.key != self.me && !record.is_live())
            .filter(|record| {
                let left = record.phase == MemberPhase::Left;
                let kept =
                    if left { self.options.left_retention } else { self.options.dead_retention };
                now.saturating_sub(record.changed_at) > kept
            })
            .map(|record| record.key)
            .collect();
        for key in old {
            self.ring.retain(|&member| member != key);
            self.arena.remove(key);
            self.actions.push_back(FleetAction::MemberRemoved(key));
        }
    }
}
