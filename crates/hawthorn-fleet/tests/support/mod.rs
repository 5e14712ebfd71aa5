//! An in-memory message switch on virtual time, for daemons that run only the
//! state machines of this crate. It loses, delays, doubles and cuts.
#![allow(dead_code, reason = "each test uses a part")]

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

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::SlotShare;
use hawthorn_fleet::SpreadState;
use hawthorn_fleet::handover;
use hawthorn_fleet::handover::Handover;
use hawthorn_fleet::handover::HandoverAction;
use hawthorn_fleet::member;
use hawthorn_fleet::spread;
use hawthorn_fleet::spread::ConfigEdition;
use hawthorn_fleet::spread::SpreadAction;
use hawthorn_fleet::spread::SpreadAlarm;
use hawthorn_fleet::spread::StoreAnswer;

pub const STORE_DELAY: Duration = Duration::from_millis(5);
pub const PULL_DELAY: Duration = Duration::from_millis(20);

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub peer: SocketAddr,
    pub table: MemberTable,
    pub handover: Handover,
    pub spread: SpreadState,
    pub up: bool,
    pub paused: bool,
    pub ready: bool,
    pub events: Vec<(Duration, FleetAction)>,
    pub alarms: Vec<SpreadAlarm>,
    pub adopted: Vec<(Duration, ConfigEdition)>,
    held: Vec<Event>,
    wake_at: Duration,
    life: u32,
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

#[derive(Default)]
pub struct Store {
    pub edition: Option<ConfigEdition>,
    pub up: bool,
    pub calls: u64,
}

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
    pub member_options: member::Options,
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
            member_options: member::Options::default(),
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
        let place = MemberPlace { host: name.clone(), zone: zone.to_owned(), peer };
        self.by_peer.insert(peer, index);
        let incarnation = self.now.as_millis() as u64;
        let table = MemberTable::new(place, incarnation, self.member_options.clone(), index as u64);
        self.daemons.push(Daemon {
            handover: Handover::new(MemberId::of(&name), handover::Options::default()),
            name,
            zone: zone.to_owned(),
            peer,
            table,
            spread: SpreadState::new(spread::Options::default()),
            up: true,
            paused: false,
            ready: false,
            events: Vec::new(),
            alarms: Vec::new(),
            adopted: Vec::new(),
            held: Vec::new(),
            wake_at: Duration::MAX,
            life: 0,
        });
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
        self.daemons[index].peer = self.daemons[other].peer;
        self.by_peer.insert(self.daemons[other].peer, index);
        let now = self.now.as_millis() as u64;
        self.restart(index, now);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].up = false;
        self.daemons[index].life += 1;
    }

    /// A new process of the same host at the same address.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.kill(index);
        let daemon = &mut self.daemons[index];
        let place =
            MemberPlace { host: daemon.name.clone(), zone: daemon.zone.clone(), peer: daemon.peer };
        let id = MemberId::of(&daemon.name);
        let seed = u64::from(daemon.life) << 32 | index as u64;
        daemon.table = MemberTable::new(place, incarnation, self.member_options.clone(), seed);
        daemon.handover = Handover::new(id, handover::Options::default());
        daemon.spread = SpreadState::new(spread::Options::default());
        daemon.up = true;
        daemon.paused = false;
        daemon.ready = false;
        daemon.held.clear();
        daemon.wake_at = Duration::MAX;
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

    /// Whether `index` holds `other` for live.
    pub fn sees(&self, index: usize, other: usize) -> bool {
        let id = MemberId::of(&self.daemons[other].name);
        let table = &self.daemons[index].table;
        table.record_by_id(id).is_some_and(|record| record.is_live())
    }

    /// The sum of all shares of a bucket among running daemons of a zone, in halves.
    pub fn halves(&self, zone: &str, bucket: u16) -> u32 {
        let daemons = self.daemons.iter().filter(|daemon| daemon.up && !daemon.paused);
        let share = |daemon: &Daemon| match daemon.handover.share(bucket) {
            SlotShare::None => 0,
            SlotShare::Half => 1,
            SlotShare::Full => 2,
        };
        daemons.filter(|daemon| daemon.zone == zone).map(share).sum()
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

    fn wake(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.wake_at = Duration::MAX;
        daemon.table.tick(now);
        daemon.handover.observe(now, daemon.table.zone_view(now));
        daemon.handover.tick(now, |_| false);
        let zone = daemon.zone.clone();
        daemon.spread.set_zone(&zone, MemberId::of(&daemon.name), daemon.table.staying(&zone));
        daemon.spread.tick(now);
        let live = daemon.table.records().filter(|record| record.is_live()).count();
        let ready = daemon.spread.is_ready(live.saturating_sub(1));
        daemon.ready = ready && (daemon.table.is_synced() || live == 1);
    }

    fn drain(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.table.set_digest(now, daemon.spread.digest(now, daemon.ready, 0));
        loop {
            let daemon = &mut self.daemons[index];
            if let Some(action) = daemon.table.poll_action() {
                self.carry_out(index, action);
            } else if let Some(action) = daemon.handover.poll_action() {
                if let HandoverAction::Send { to, message } = action {
                    daemon.table.send_handover(now, to, message);
                }
            } else if let Some(action) = daemon.spread.poll_action() {
                self.carry_out_spread(index, action);
            } else {
                break;
            }
        }
        let wake = self.daemons[index].table.next_wake().max(now + ms(1));
        if wake < self.daemons[index].wake_at {
            self.daemons[index].wake_at = wake;
            self.push(wake, index, Event::Wake);
        }
    }

    fn carry_out(&mut self, index: usize, action: FleetAction) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        match action {
            FleetAction::Send { to, bytes } => self.transmit(index, to, bytes),
            FleetAction::DigestHeard { peer, digest } => daemon.spread.heard(now, peer, digest),
            FleetAction::HandoverHeard { peer, message } => {
                daemon.handover.observe(now, daemon.table.zone_view(now));
                daemon.handover.receive(now, peer, message);
            }
            action => {
                if matches!(action, FleetAction::SelfPaused(_) | FleetAction::SelfDoubted) {
                    daemon.handover.resumed(now);
                }
                if matches!(action, FleetAction::ViewChanged(_)) {
                    daemon.handover.observe(now, daemon.table.zone_view(now));
                } else {
                    daemon.events.push((now, action));
                }
            }
        }
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

    fn carry_out_spread(&mut self, index: usize, action: SpreadAction) {
        match action {
            SpreadAction::Alarm(alarm) => self.daemons[index].alarms.push(alarm),
            SpreadAction::Pull { peer, .. } => {
                let record = self.daemons[index].table.record(peer);
                let from = record.and_then(|record| self.by_peer.get(&record.place.peer)).copied();
                let Some(from) = from else { return };
                self.push(self.now + PULL_DELAY, index, Event::Pulled { from });
            }
            SpreadAction::ReadStore => {
                self.store.calls += 1;
                self.push(self.now + STORE_DELAY, index, Event::Stored { watch: None });
            }
            SpreadAction::Watch { after, wait } => {
                self.store.calls += 1;
                let newer = self.store.edition.is_some_and(|held| held.revision > after);
                let at = if newer || !self.store.up { STORE_DELAY } else { wait };
                self.sequence += 1;
                let watch = self.sequence;
                self.push(self.now + at, index, Event::Stored { watch: Some(watch) });
                self.watches.insert(watch, (index, self.daemons[index].life));
            }
        }
    }

    fn pulled(&mut self, index: usize, from: usize) {
        let cut = self.cuts.contains(&(from, index)) || self.cuts.contains(&(index, from));
        let source = &self.daemons[from];
        let edition = source.spread.in_force().filter(|_| source.up && !source.paused && !cut);
        // Without one the connection hangs, and the state machine times out.
        if let Some(edition) = edition {
            self.adopt(index, edition);
        }
    }

    pub fn adopt(&mut self, index: usize, edition: ConfigEdition) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if daemon.spread.adopt(now, edition) == spread::Outcome::Adopted {
            daemon.adopted.push((now, edition));
        }
    }

    fn stored(&mut self, index: usize, watch: Option<u64>) {
        let (now, up, edition) = (self.now, self.store.up, self.store.edition);
        // Answered already, by a write or by the end of its wait.
        if watch.is_some_and(|watch| self.watches.remove(&watch).is_none()) {
            return;
        }
        let in_force = self.daemons[index].spread.in_force().unwrap_or_default();
        let answer = match edition {
            _ if !up => StoreAnswer::Failed,
            None => StoreAnswer::Empty,
            Some(held) if watch.is_some() && held.revision <= in_force.revision => {
                StoreAnswer::Unchanged
            }
            Some(held) => StoreAnswer::Holds(held),
        };
        if let StoreAnswer::Holds(edition) = answer {
            self.adopt(index, edition);
        }
        self.daemons[index].spread.store_answered(now, answer);
    }
}
