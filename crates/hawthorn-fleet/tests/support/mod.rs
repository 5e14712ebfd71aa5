//! A simulated network on virtual time that loses, delays, duplicates and blocks datagrams. Its
//! daemons run only the state machines of this crate.
#![allow(dead_code, reason = "each test uses a part")]

mod daemon;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use hawthorn_fleet::propagation::ConfigEdition;

pub use daemon::Daemon;
use daemon::STORE_DELAY;
use daemon::Store;

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake,
    Packet { from: SocketAddr, bytes: Vec<u8> },
    Pulled { from: usize },
    Stored { watch: Option<u64> },
}

/// Time, sequence number, index of the daemon, its process generation, and the event.
type Entry = (Duration, u64, usize, u32, Event);

pub struct Simulation {
    pub now: Duration,
    pub daemons: Vec<Daemon>,
    pub store: Store,
    /// Ratios of datagrams lost and duplicated.
    pub loss: f64,
    pub duplication: f64,
    pub delay: (u64, u64),
    /// Pairs (from, to) between which all datagrams are dropped.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Wall time spent inside the state machines.
    pub busy_time: Duration,
    /// Datagrams and bytes sent by all daemons.
    pub sent: (u64, u64),
    queue: BinaryHeap<Reverse<Entry>>,
    watches: BTreeMap<u64, (usize, u32)>,
    by_peer: BTreeMap<SocketAddr, usize>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self {
            now: ms(1_000),
            daemons: Vec::new(),
            store: Store { up: true, ..Store::default() },
            loss: 0.0,
            duplication: 0.0,
            delay: (500, 1_500),
            blocked: BTreeSet::new(),
            busy_time: Duration::ZERO,
            sent: (0, 0),
            queue: BinaryHeap::new(),
            watches: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// A simulation of daemons distributed evenly over zones, all started now with the first
    /// daemons as seeds.
    pub fn with(seed: u64, count: usize, zones: usize) -> Self {
        let mut sim = Self::new(seed);
        for index in 0..count {
            sim.add(&format!("zone-{}", index % zones));
        }
        sim
    }

    pub fn address(index: usize) -> SocketAddr {
        let [_, _, high, low] = u32::try_from(index).unwrap_or_default().to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7_000)
    }

    pub fn add(&mut self, zone: &str) -> usize {
        let index = self.daemons.len();
        let name = format!("host-{index:04}");
        let peer = Self::address(index);
        self.by_peer.insert(peer, index);
        let incarnation = self.now.as_millis() as u64;
        let daemon = Daemon::new(name, zone, peer, incarnation, index as u64);
        self.daemons.push(daemon);
        self.seed(index);
        index
    }

    fn seed(&mut self, index: usize) {
        let seeds: Vec<SocketAddr> = (0..3).map(Self::address).collect();
        self.daemons[index].table.seed(self.now, &seeds);
        let start = self.now + ms(self.rng.random_range(0..200));
        self.push(start, index, Event::Wake);
    }

    /// Runs `action` on a daemon and executes the resulting actions.
    pub fn act(&mut self, index: usize, action: impl FnOnce(&mut Daemon, Duration)) {
        let now = self.now;
        action(&mut self.daemons[index], now);
        self.execute_actions(index);
    }

    /// Gives a daemon the address of another one, which must be down.
    pub fn take_address(&mut self, index: usize, other: usize) {
        let now = self.now.as_millis() as u64;
        self.take_address_at(index, other, now);
    }

    /// As [`Simulation::take_address`], with an incarnation by the new process's own clock.
    pub fn take_address_at(&mut self, index: usize, other: usize, incarnation: u64) {
        self.daemons[index].peer = self.daemons[other].peer;
        self.by_peer.insert(self.daemons[other].peer, index);
        self.restart(index, incarnation);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].up = false;
        self.daemons[index].generation += 1;
    }

    /// A new process of the same host at the same address.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.kill(index);
        let daemon = &mut self.daemons[index];
        let (name, zone, peer) = (daemon.name.clone(), daemon.zone.clone(), daemon.peer);
        let generation = daemon.generation;
        let seed = u64::from(generation) << 32 | index as u64;
        let old = std::mem::replace(daemon, Daemon::new(name, &zone, peer, incarnation, seed));
        daemon.generation = generation;
        daemon.events = old.events;
        daemon.alarms = old.alarms;
        daemon.adopted = old.adopted;
        self.seed(index);
    }

    /// Pauses the process; incoming events are queued, as in a socket's buffer.
    pub fn pause(&mut self, index: usize) {
        self.daemons[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.daemons[index].paused = false;
        let queued = std::mem::take(&mut self.daemons[index].queued);
        for event in queued {
            self.push(self.now, index, event);
        }
    }

    /// Blocks both directions between the two sides.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            self.blocked.extend(right.iter().flat_map(|&b| [(a, b), (b, a)]));
        }
    }

    pub fn members_of(&self, zone: &str) -> Vec<usize> {
        (0..self.daemons.len()).filter(|&index| self.daemons[index].zone == zone).collect()
    }

    /// Writes to the store, regardless of its content.
    pub fn write_store(&mut self, edition: ConfigEdition) {
        self.store.edition = Some(edition);
        for (watch, (index, generation)) in self.watches.clone() {
            if generation == self.daemons[index].generation {
                self.push(self.now + STORE_DELAY, index, Event::Stored { watch: Some(watch) });
            }
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, index, generation, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(index, generation, event);
        }
        self.now = end;
    }

    /// Runs in steps of 10 ms until `done`, for at most `limit`; returns the elapsed time.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run_for(ms(10));
        }
        None
    }

    fn push(&mut self, at: Duration, index: usize, event: Event) {
        self.sequence += 1;
        let generation = self.daemons[index].generation;
        self.queue.push(Reverse((at, self.sequence, index, generation, event)));
    }

    fn handle(&mut self, index: usize, generation: u32, event: Event) {
        let daemon = &mut self.daemons[index];
        let packet = matches!(event, Event::Packet { .. });
        if !daemon.up || (generation != daemon.generation && !packet) {
            return;
        }
        if daemon.paused {
            daemon.queued.push(event);
            return;
        }
        let started = Instant::now();
        match event {
            Event::Wake => self.wake(index),
            Event::Packet { from, bytes } => {
                let _rejected = self.daemons[index].table.receive(self.now, from, &bytes);
            }
            Event::Pulled { from } => self.pulled(index, from),
            Event::Stored { watch } => self.stored(index, watch),
        }
        self.execute_actions(index);
        self.busy_time += started.elapsed();
    }

    fn transmit(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&target) = self.by_peer.get(&to) else { return };
        let from = self.daemons[index].peer;
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let copies = 1 + u32::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            let lost = self.rng.random_bool(self.loss) || self.blocked.contains(&(index, target));
            let delay = self.rng.random_range(self.delay.0..=self.delay.1);
            if !lost {
                let at = self.now + Duration::from_micros(delay);
                self.push(at, target, Event::Packet { from, bytes: bytes.clone() });
            }
        }
    }
}
