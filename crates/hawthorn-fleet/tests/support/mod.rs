//! An in-memory message switch on virtual time: it loses, delays, doubles and
//! cuts. The daemons at its ports run only the state machines of this crate.
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

/// When, in which order, for which daemon and its which life.
type Entry = (Duration, u64, usize, u32, Event);

pub struct Switch {
    pub now: Duration,
    pub daemons: Vec<Daemon>,
    pub store: Store,
    /// Shares of datagrams lost and doubled.
    pub loss: f64,
    pub doubled: f64,
    pub delay: (u64, u64),
    /// Pairs (from, to) that no datagram passes.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Wall time spent inside the state machines.
    pub work: Duration,
    /// Datagrams and bytes sent by all daemons.
    pub sent: (u64, u64),
    queue: BinaryHeap<Reverse<Entry>>,
    watches: BTreeMap<u64, (usize, u32)>,
    by_peer: BTreeMap<SocketAddr, usize>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Switch {
    pub fn new(seed: u64) -> Self {
        Self {
            now: ms(1_000),
            daemons: Vec::new(),
            store: Store { up: true, ..Store::default() },
            loss: 0.0,
            doubled: 0.0,
            delay: (500, 1_500),
            cuts: BTreeSet::new(),
            work: Duration::ZERO,
            sent: (0, 0),
            queue: BinaryHeap::new(),
            watches: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Daemons spread evenly over zones, all started now and knowing the first
    /// of each zone.
    pub fn with(seed: u64, count: usize, zones: usize) -> Self {
        let mut switch = Self::new(seed);
        for index in 0..count {
            switch.add(&format!("zone-{}", index % zones));
        }
        switch
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

    /// Does something at a daemon, and carries out what comes of it.
    pub fn act(&mut self, index: usize, action: impl FnOnce(&mut Daemon, Duration)) {
        let now = self.now;
        action(&mut self.daemons[index], now);
        self.drain(index);
    }

    /// Gives a daemon the address of another one, which must be down.
    pub fn take_address(&mut self, index: usize, other: usize) {
        let now = self.now.as_millis() as u64;
        self.take_address_at(index, other, now);
    }

    /// As [`Switch::take_address`], by a process whose own clock tells its incarnation.
    pub fn take_address_at(&mut self, index: usize, other: usize, incarnation: u64) {
        self.daemons[index].peer = self.daemons[other].peer;
        self.by_peer.insert(self.daemons[other].peer, index);
        self.restart(index, incarnation);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].up = false;
        self.daemons[index].life += 1;
    }

    /// A new process of the same host at the same address.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.kill(index);
        let daemon = &mut self.daemons[index];
        let (name, zone, peer) = (daemon.name.clone(), daemon.zone.clone(), daemon.peer);
        let life = daemon.life;
        let seed = u64::from(life) << 32 | index as u64;
        let old = std::mem::replace(daemon, Daemon::new(name, &zone, peer, incarnation, seed));
        daemon.life = life;
        daemon.events = old.events;
        daemon.alarms = old.alarms;
        daemon.adopted = old.adopted;
        self.seed(index);
    }

    /// Stops the process; what arrives is kept for it, as in a socket's buffer.
    pub fn pause(&mut self, index: usize) {
        self.daemons[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.daemons[index].paused = false;
        let held = std::mem::take(&mut self.daemons[index].held);
        for event in held {
            self.push(self.now, index, event);
        }
    }

    /// Cuts both ways between the two sides.
    pub fn cut(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            self.cuts.extend(right.iter().flat_map(|&b| [(a, b), (b, a)]));
        }
    }

    pub fn members_of(&self, zone: &str) -> Vec<usize> {
        (0..self.daemons.len()).filter(|&index| self.daemons[index].zone == zone).collect()
    }

    /// Writes to the store, whatever it held.
    pub fn write_store(&mut self, edition: ConfigEdition) {
        self.store.edition = Some(edition);
        for (watch, (index, life)) in self.watches.clone() {
            if life == self.daemons[index].life {
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
            let Some(Reverse((at, _, index, life, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(index, life, event);
        }
        self.now = end;
    }

    /// Runs in steps of 10 ms until `done`, at most `limit`; the time it took.
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
        let life = self.daemons[index].life;
        self.queue.push(Reverse((at, self.sequence, index, life, event)));
    }

    fn handle(&mut self, index: usize, life: u32, event: Event) {
        let daemon = &mut self.daemons[index];
        let packet = matches!(event, Event::Packet { .. });
        if !daemon.up || (life != daemon.life && !packet) {
            return;
        }
        if daemon.paused {
            daemon.held.push(event);
            return;
        }
        let begun = Instant::now();
        match event {
            Event::Wake => self.wake(index),
            Event::Packet { from, bytes } => {
                let _refused = self.daemons[index].table.receive(self.now, from, &bytes);
            }
            Event::Pulled { from } => self.pulled(index, from),
            Event::Stored { watch } => self.stored(index, watch),
        }
        self.drain(index);
        self.work += begun.elapsed();
    }

    fn transmit(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&target) = self.by_peer.get(&to) else { return };
        let from = self.daemons[index].peer;
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let copies = 1 + u32::from(self.rng.random_bool(self.doubled));
        for _ in 0..copies {
            let lost = self.rng.random_bool(self.loss) || self.cuts.contains(&(index, target));
            let delay = self.rng.random_range(self.delay.0..=self.delay.1);
            if !lost {
                let at = self.now + Duration::from_micros(delay);
                self.push(at, target, Event::Packet { from, bytes: bytes.clone() });
            }
        }
    }
}
