//! Simulation of quarantine gossip in a fleet, without sockets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hawthorn_route::fingerprint::RequestFingerprint;
use hawthorn_route::quarantine;
use hawthorn_route::quarantine::AttemptKind;
use hawthorn_route::quarantine::AttemptOutcome;
use hawthorn_route::quarantine::Exposure;
use hawthorn_route::quarantine::Options;
use hawthorn_route::quarantine::Permit;
use hawthorn_route::quarantine::QuarantineTable;
use hawthorn_route::quarantine::RequestIdentity;
use hawthorn_route::quarantine::Verdict;
use hawthorn_route::quarantine::gossip;
use hawthorn_route::quarantine::gossip::QuarantineMessage;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// All times are in microseconds.
const GOSSIP_DELAY: u64 = 3_000;
const SAME_ZONE_DELAY: u64 = 500;
const OTHER_ZONE_DELAY: u64 = 1_500;
const HEARTBEAT_PERIOD: u64 = 400_000;
/// The time from an attempt to the crash of its target.
const CRASH_DELAY: u64 = 2_000;
/// How long a crashed target is down.
const DOWNTIME: u64 = 3_000_000;
const SHARDS: usize = 20;
/// The number of hosts among which the shards of one query are divided.
const GROUPS: usize = 4;
const MAX_ATTEMPTS: usize = 2;
const LOSS: f64 = 0.1;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends the request to a host; `number` counts its tries.
    Try {
        host: usize,
        number: usize,
    },
    /// An attempt crashes its target.
    Crash {
        group: usize,
        target: usize,
    },
    /// The host of a group of shards sends the attempts that are permitted.
    Poll {
        group: usize,
    },
    Gossip {
        host: usize,
    },
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Heartbeat {
        host: usize,
    },
    /// A heartbeat with a digest arrives.
    Digest {
        from: usize,
        to: usize,
        digest: u64,
    },
}

struct ShardGroup {
    host: usize,
    number: usize,
    shards: Vec<usize>,
    /// The number of attempts by shard.
    attempts: Vec<usize>,
    exposure: Exposure,
}

struct Fleet {
    rng: StdRng,
    shards: usize,
    /// Targets of each shard.
    replicas: usize,
    /// Whether suspected requests are not sent to the last target of a shard.
    protects_last_target: bool,
    zones: usize,
    hosts: Vec<QuarantineTable>,
    gossip_scheduled: Vec<bool>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    groups: Vec<ShardGroup>,
    /// The time from which each target is up, shard by shard.
    up_at: Vec<u64>,
    /// The time and try number of each crash.
    crashes: Vec<(u64, usize)>,
    /// The time and try number of each attempt.
    sent: Vec<(u64, usize)>,
    /// A zone that is partitioned from all others.
    partitioned: Option<usize>,
    messages: usize,
    /// The maximum number of shards without a target at any time.
    max_unavailable: usize,
}

fn crashing(from: u8) -> RequestIdentity {
    let fingerprint = RequestFingerprint::of("GET", "a.example", "/crash", b"");
    RequestIdentity::new(fingerprint, Some([10, 0, 0, from].into()), "r")
}

impl Fleet {
    fn new(hosts: usize, zones: usize, seed: u64) -> Self {
        Self::with_shards(hosts, zones, seed, SHARDS, 2)
    }

    fn with_shards(hosts: usize, zones: usize, seed: u64, shards: usize, replicas: usize) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            shards,
            replicas,
            protects_last_target: true,
            zones,
            hosts: vec![QuarantineTable::default(); hosts],
            gossip_scheduled: vec![false; hosts],
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            groups: Vec::new(),
            up_at: vec![0; shards * replicas],
            crashes: Vec::new(),
            sent: Vec::new(),
            partitioned: None,
            messages: 0,
            max_unavailable: 0,
        };
        for host in 0..hosts {
            let first = fleet.rng.random_range(0..HEARTBEAT_PERIOD);
            fleet.push(first, Event::Heartbeat { host });
        }
        fleet
    }

    fn push(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn clock(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn zone(&self, host: usize) -> usize {
        host % self.zones
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        let cross_zone = self.zone(from) != self.zone(to);
        let partitioned = |zone| self.partitioned == Some(zone);
        if cross_zone && (partitioned(self.zone(from)) || partitioned(self.zone(to))) {
            return;
        }
        if !self.rng.random_bool(LOSS) {
            self.push(if cross_zone { OTHER_ZONE_DELAY } else { SAME_ZONE_DELAY }, event);
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Try { host, number } => self.begin(host, number),
            Event::Poll { group } => self.poll(group),
            Event::Crash { group, target } => self.crash(group, target),
            Event::Gossip { host } => self.gossip(host),
            Event::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
            Event::Heartbeat { host } => self.heartbeat(host),
            Event::Digest { from, to, digest } => {
                if digest != 0 && digest != self.hosts[to].digest() {
                    self.send_message(to, from, &QuarantineMessage::RequestNotices);
                }
            }
        }
    }

    /// Splits a query among hosts of several zones.
    fn begin(&mut self, host: usize, number: usize) {
        let verdict = self.hosts[host].verdict(&crashing(1), self.clock(), &Options::default());
        let shards: Vec<usize> = (0..self.shards).collect();
        let chunk_size = match verdict {
            Verdict::Refuse(_) => return,
            Verdict::Trial => self.shards,
            Verdict::Send => self.shards.div_ceil(GROUPS),
        };
        for (index, chunk) in shards.chunks(chunk_size).enumerate() {
            // Hosts in a partitioned zone receive no shards from peers.
            let peer = (host + index) % self.hosts.len();
            let host = if self.partitioned == Some(self.zone(peer)) { host } else { peer };
            let attempts = vec![0; chunk.len()];
            let exposure = Exposure::default();
            self.groups.push(ShardGroup {
                host,
                number,
                shards: chunk.to_vec(),
                attempts,
                exposure,
            });
            let group = self.groups.len() - 1;
            self.push(if index == 0 { 0 } else { OTHER_ZONE_DELAY }, Event::Poll { group });
        }
    }

    /// Sends all attempts that are permitted now.
    fn poll(&mut self, group_id: usize) {
        let now = self.clock();
        for index in 0..self.groups[group_id].shards.len() {
            let group = &mut self.groups[group_id];
            let (shard, tries) = (group.shards[index], group.attempts[index]);
            let replicas = shard * self.replicas..(shard + 1) * self.replicas;
            let mut up = replicas.filter(|target| self.up_at[*target] <= self.now);
            let target = up.next();
            let is_last = up.next().is_none();
            let Some(target) = target.filter(|_| tries < MAX_ATTEMPTS) else { continue };
            // A further attempt at the shard waits until those in flight have ended.
            if tries > 0 && group.exposure.in_flight() > 0 {
                continue;
            }
            let kind = if tries == 0 { AttemptKind::First } else { AttemptKind::Extra };
            let table = &self.hosts[group.host];
            let options = Options::default();
            let permit =
                quarantine::decide(table, &crashing(1), &group.exposure, kind, now, &options);
            let is_protected = self.protects_last_target
                && is_last
                && quarantine::protects_last_target(
                    table,
                    &crashing(1),
                    &group.exposure,
                    now,
                    &options,
                );
            if permit != Permit::Send || is_protected {
                continue;
            }
            group.exposure.record_sent(tries > 0);
            group.attempts[index] += 1;
            self.sent.push((self.now, group.number));
            self.push(CRASH_DELAY, Event::Crash { group: group_id, target });
        }
    }

    fn crash(&mut self, group_id: usize, target: usize) {
        let outcome = if self.up_at[target] <= self.now {
            self.up_at[target] = self.now + DOWNTIME;
            self.crashes.push((self.now, self.groups[group_id].number));
            AttemptOutcome::Crashed
        } else {
            AttemptOutcome::Other
        };
        let group = &mut self.groups[group_id];
        let (host, struck) = (group.host, group.exposure.record_end(outcome));
        self.max_unavailable = self.max_unavailable.max(self.unavailable());
        if struck {
            let now = self.clock();
            self.hosts[host].strike(&crashing(1), now, &Options::default());
            self.schedule_gossip(host);
        }
        self.push(0, Event::Poll { group: group_id });
    }

    fn schedule_gossip(&mut self, host: usize) {
        if self.hosts[host].has_unsent() && !self.gossip_scheduled[host] {
            self.gossip_scheduled[host] = true;
            self.push(GOSSIP_DELAY, Event::Gossip { host });
        }
    }

    fn gossip(&mut self, host: usize) {
        self.gossip_scheduled[host] = false;
        let now = self.clock();
        let notices = self.hosts[host].take_unsent(gossip::MAX_NOTICES, now);
        let zone = self.zone(host);
        let of_zone = |zone: usize| -> Vec<usize> {
            (zone..self.hosts.len()).step_by(self.zones).filter(|peer| *peer != host).collect()
        };
        let own = of_zone(zone);
        let others: Vec<Vec<usize>> =
            (0..self.zones).filter(|other| *other != zone).map(of_zone).collect();
        let receivers = gossip::receivers(&own, &others, &mut self.rng);
        let message = QuarantineMessage::Notices(notices);
        for peer in receivers {
            self.send_message(host, peer, &message);
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: &QuarantineMessage) {
        let bytes = postcard::to_stdvec(message).expect("plain data encodes");
        assert!(bytes.len() <= 1_150, "a message of {} bytes", bytes.len());
        self.send(from, to, Event::Deliver { from, to, bytes });
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock();
        match postcard::from_bytes(bytes).expect("it was encoded") {
            QuarantineMessage::RequestNotices => {
                let notices = self.hosts[to].notices(now);
                for message in gossip::messages(notices, &mut self.rng) {
                    self.send_message(to, from, &message);
                }
            }
            QuarantineMessage::Notices(notices) => {
                for notice in notices {
                    self.hosts[to].merge(&notice, now, &Options::default());
                }
                self.schedule_gossip(to);
            }
        }
    }

    /// Exchanges digests with a host of the own zone, and sometimes with any other host.
    fn heartbeat(&mut self, host: usize) {
        let own = self.hosts.len() / self.zones;
        let neighbor =
            (host + self.zones * self.rng.random_range(1..own.max(2))) % self.hosts.len();
        let mut peers = vec![neighbor];
        // Pings to other zones are shared between the hosts of a zone.
        if self.rng.random_bool(0.8 / own as f64) {
            peers.push(self.rng.random_range(0..self.hosts.len()));
        }
        for peer in peers.into_iter().filter(|peer| *peer != host) {
            for (from, to) in [(host, peer), (peer, host)] {
                let digest = self.hosts[from].digest();
                self.send(from, to, Event::Digest { from, to, digest });
            }
        }
        self.push(HEARTBEAT_PERIOD, Event::Heartbeat { host });
    }

    /// The number of shards that have no target now.
    fn unavailable(&self) -> usize {
        let down = |targets: &&[u64]| targets.iter().all(|up_at| *up_at > self.now);
        self.up_at.chunks(self.replicas).filter(down).count()
    }

    fn refusing(&self) -> usize {
        let (now, options) = (self.clock(), Options::default());
        let refuses = |table: &&QuarantineTable| {
            matches!(table.verdict(&crashing(1), now, &options), Verdict::Refuse(_))
        };
        self.hosts.iter().filter(refuses).count()
    }
}

struct Case {
    hosts: usize,
    zones: usize,
}

const CASES: [Case; 3] =
    [Case { hosts: 8, zones: 3 }, Case { hosts: 200, zones: 5 }, Case { hosts: 4000, zones: 25 }];

/// Guards against a request that crashes targets through one host after another.
#[test]
fn a_request_that_crashes_targets_is_refused_by_the_whole_fleet() {
    for Case { hosts, zones } in CASES {
        for seed in 0..3 {
            let mut fleet = Fleet::new(hosts, zones, seed);
            for number in 0..12 {
                let host = fleet.rng.random_range(0..hosts);
                fleet.push(
                    1_000_000 + number * 3_500_000,
                    Event::Try { host, number: number as usize },
                );
            }
            // Each try is a strike; the third one refuses the request.
            fleet.run_until(8_100_000);
            let early = fleet.refusing();
            fleet.run_until(10_000_000);
            assert_eq!(fleet.refusing(), hosts, "{hosts} hosts, seed {seed}: {early} at once");
            assert!(early * 10 >= hosts * 9, "{hosts} hosts, seed {seed}: {early} at once");
            fleet.run_until(45_000_000);
            let crashes = fleet.crashes.len();
            // The first attempts at all shards, and one for each of two trials.
            assert!(crashes <= SHARDS + 2, "{hosts} hosts, seed {seed}: {crashes} crashes");
            assert_eq!(
                fleet.max_unavailable, 0,
                "{hosts} hosts, seed {seed}: shards without a target"
            );
            let later = fleet.sent.iter().filter(|(_, number)| *number > 2).count();
            assert_eq!(later, 0, "{hosts} hosts, seed {seed}: attempts of later tries");
        }
    }
}

/// Guards against concurrent tries at hosts that have not yet exchanged records.
#[test]
fn concurrent_tries_at_many_hosts_are_bounded() {
    for Case { hosts, zones } in CASES {
        let mut fleet = Fleet::new(hosts, zones, 7);
        for number in 0..8 {
            let host = fleet.rng.random_range(0..hosts);
            fleet.push(1_000_000 + number * 500, Event::Try { host, number: number as usize });
        }
        for number in 8..14 {
            let host = fleet.rng.random_range(0..hosts);
            fleet
                .push(1_000_000 + number * 1_000_000, Event::Try { host, number: number as usize });
        }
        fleet.run_until(20_000_000);
        // Concurrent tries may leave one or two of the three strikes to later ones.
        let mut late: Vec<usize> = Vec::new();
        late.extend(fleet.sent.iter().filter(|(at, _)| *at > 2_000_000).map(|(_, number)| *number));
        late.dedup();
        assert!(late.len() <= 2, "{hosts} hosts: attempts of tries {late:?}");
        assert_eq!(fleet.refusing(), hosts);
    }
}

/// Guards against a zone after a partition, or a restarted host, that still sends requests
/// that all other hosts refuse.
#[test]
fn hosts_that_missed_gossip_converge_within_four_seconds() {
    for Case { hosts, zones } in CASES {
        for seed in 0..3 {
            let mut fleet = Fleet::new(hosts, zones, seed);
            fleet.partitioned = Some(0);
            for number in 0..3 {
                let at = 1_000_000 + number * 3_500_000;
                fleet.push(at, Event::Try { host: 1, number: number as usize });
            }
            fleet.run_until(12_000_000);
            assert!(fleet.refusing() < hosts, "the zone is partitioned");
            fleet.partitioned = None;
            fleet.hosts[2] = QuarantineTable::default();
            fleet.run_until(16_000_000);
            assert_eq!(fleet.refusing(), hosts, "{hosts} hosts, seed {seed}");
        }
    }
}

/// Guards against gossip that continues after all hosts have converged, or whose volume per
/// host grows with the fleet.
#[test]
fn messages_of_a_host_do_not_grow_with_the_fleet() {
    for Case { hosts, zones } in CASES {
        let mut fleet = Fleet::new(hosts, zones, 1);
        fleet.run_until(1_000_000);
        let baseline = fleet.messages;
        fleet.push(0, Event::Try { host: 0, number: 0 });
        fleet.run_until(4_000_000);
        let extra = fleet.messages.saturating_sub(baseline * 4);
        assert!(extra <= hosts * 60, "{hosts} hosts: {extra} messages");
        let before = fleet.messages;
        fleet.run_until(5_000_000);
        let after = fleet.messages - before;
        assert!(
            after <= baseline + baseline / 5 + 20,
            "{hosts} hosts: {after} messages, baseline {baseline}"
        );
    }
}

/// Guards against a request that crashes the last targets of shards, so that unrelated queries
/// fail. The same content is tried eight times at random hosts, a second apart or concurrently.
#[test]
fn a_request_that_crashes_targets_leaves_one_target_per_shard() {
    struct Case {
        hosts: usize,
        zones: usize,
        shards: usize,
        replicas: usize,
        /// Time between two tries, in microseconds.
        gap: u64,
    }
    let cases = [
        Case { hosts: 8, zones: 3, shards: 20, replicas: 2, gap: 1_100_000 },
        Case { hosts: 8, zones: 3, shards: 90, replicas: 3, gap: 1_100_000 },
        Case { hosts: 200, zones: 5, shards: 20, replicas: 2, gap: 1_100_000 },
        Case { hosts: 200, zones: 5, shards: 90, replicas: 3, gap: 1_100_000 },
        Case { hosts: 8, zones: 3, shards: 20, replicas: 2, gap: 90_000 },
        Case { hosts: 200, zones: 5, shards: 90, replicas: 3, gap: 90_000 },
    ];
    for Case { hosts, zones, shards, replicas, gap } in cases {
        let mut unavailable = [0; 2];
        for (protects_last_target, max) in [false, true].into_iter().zip(&mut unavailable) {
            for seed in 0..5 {
                let mut fleet = Fleet::with_shards(hosts, zones, seed, shards, replicas);
                fleet.protects_last_target = protects_last_target;
                for number in 0..8 {
                    let host = fleet.rng.random_range(0..hosts);
                    let event = Event::Try { host, number: number as usize };
                    fleet.push(1_000_000 + number * gap, event);
                }
                fleet.run_until(15_000_000);
                *max = (*max).max(fleet.max_unavailable);
            }
        }
        println!(
            "{hosts} hosts, {shards} x {replicas}, every {gap} us: {unavailable:?} unavailable"
        );
        assert_eq!(
            unavailable[1], 0,
            "{hosts} hosts, {shards} shards of {replicas}: {unavailable:?}"
        );
    }
}
