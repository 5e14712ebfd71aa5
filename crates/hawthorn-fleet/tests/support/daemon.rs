//! A daemon that consists only of the state machines, and an in-memory store.

use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::PropagationState;
use hawthorn_fleet::SlotShare;
use hawthorn_fleet::handover;
use hawthorn_fleet::handover::Handover;
use hawthorn_fleet::handover::HandoverAction;
use hawthorn_fleet::member;
use hawthorn_fleet::propagation;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_fleet::propagation::PropagationAction;
use hawthorn_fleet::propagation::PropagationAlarm;
use hawthorn_fleet::propagation::StoreAnswer;

use super::Event;
use super::Simulation;
use super::ms;

pub const STORE_DELAY: Duration = Duration::from_millis(5);
pub const PULL_DELAY: Duration = Duration::from_millis(20);

pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub peer: SocketAddr,
    pub table: MemberTable,
    pub handover: Handover,
    pub propagation: PropagationState,
    pub up: bool,
    pub paused: bool,
    pub ready: bool,
    pub events: Vec<(Duration, FleetAction)>,
    pub alarms: Vec<PropagationAlarm>,
    pub adopted: Vec<(Duration, ConfigEdition)>,
    pub(super) queued: Vec<Event>,
    pub(super) wake_at: Duration,
    pub(super) generation: u32,
}

impl Daemon {
    pub fn new(name: String, zone: &str, peer: SocketAddr, incarnation: u64, seed: u64) -> Self {
        let place = MemberPlace { host: name.clone(), zone: zone.to_owned(), peer, capacity: 0 };
        Self {
            table: MemberTable::new(place, incarnation, member::Options::default(), seed),
            handover: Handover::new(MemberId::of(&name), handover::Options::default()),
            propagation: PropagationState::new(propagation::Options::default()),
            name,
            zone: zone.to_owned(),
            peer,
            up: true,
            paused: false,
            ready: false,
            events: Vec::new(),
            alarms: Vec::new(),
            adopted: Vec::new(),
            queued: Vec::new(),
            wake_at: Duration::MAX,
            generation: 0,
        }
    }
}

#[derive(Default)]
pub struct Store {
    pub edition: Option<ConfigEdition>,
    pub up: bool,
    pub calls: u64,
}

impl Simulation {
    /// Whether daemon `index` considers `other` live.
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

    pub(super) fn wake(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.wake_at = Duration::MAX;
        daemon.table.tick(now);
        daemon.handover.observe(now, daemon.table.zone_view(now));
        daemon.handover.tick(now, |_| false);
        let zone = daemon.zone.clone();
        daemon.propagation.set_zone(
            &zone,
            MemberId::of(&daemon.name),
            daemon.table.active_hosts(&zone),
        );
        daemon.propagation.tick(now);
        let live = daemon.table.records().filter(|record| record.is_live()).count();
        let ready = daemon.propagation.is_ready(live.saturating_sub(1));
        daemon.ready |= ready && (daemon.table.is_synced() || live == 1);
    }

    pub(super) fn execute_actions(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.table.set_digest(now, daemon.propagation.digest(now, daemon.ready, 0));
        loop {
            let daemon = &mut self.daemons[index];
            if let Some(action) = daemon.table.poll_action() {
                self.handle_action(index, action);
            } else if let Some(action) = daemon.handover.poll_action() {
                if let HandoverAction::Send { to, message } = action {
                    daemon.table.send_handover(now, to, message);
                }
            } else if let Some(action) = daemon.propagation.poll_action() {
                self.handle_propagation_action(index, action);
            } else {
                break;
            }
        }
        let daemon = &self.daemons[index];
        let wake = daemon.handover.next_wake(now).unwrap_or(Duration::MAX);
        let wake = wake.min(daemon.table.next_wake()).max(now + ms(1));
        if wake < self.daemons[index].wake_at {
            self.daemons[index].wake_at = wake;
            self.push(wake, index, Event::Wake);
        }
    }

    fn handle_action(&mut self, index: usize, action: FleetAction) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        match action {
            FleetAction::Send { to, bytes } => self.transmit(index, to, bytes),
            FleetAction::DigestReceived { peer, digest } => {
                daemon.propagation.receive_digest(now, peer, digest)
            }
            FleetAction::HandoverReceived { peer, message } => {
                daemon.handover.observe(now, daemon.table.zone_view(now));
                daemon.handover.receive(now, peer, message);
            }
            action => {
                if matches!(action, FleetAction::ProcessPaused(_) | FleetAction::DeathRefuted) {
                    daemon.handover.reacquire(now);
                }
                if matches!(action, FleetAction::ViewChanged(_)) {
                    daemon.handover.observe(now, daemon.table.zone_view(now));
                } else {
                    daemon.events.push((now, action));
                }
            }
        }
    }

    fn handle_propagation_action(&mut self, index: usize, action: PropagationAction) {
        match action {
            PropagationAction::Alarm(alarm) => self.daemons[index].alarms.push(alarm),
            PropagationAction::Pull { peer, .. } => {
                let record = self.daemons[index].table.record(peer);
                let from = record.and_then(|record| self.by_peer.get(&record.place.peer)).copied();
                let Some(from) = from else { return };
                self.push(self.now + PULL_DELAY, index, Event::Pulled { from });
            }
            PropagationAction::ReadStore => {
                self.store.calls += 1;
                self.push(self.now + STORE_DELAY, index, Event::Stored { watch: None });
            }
            PropagationAction::Watch { after, wait } => {
                self.store.calls += 1;
                let newer = self.store.edition.is_some_and(|held| held.revision > after);
                let at = if newer || !self.store.up { STORE_DELAY } else { wait };
                self.sequence += 1;
                let watch = self.sequence;
                self.push(self.now + at, index, Event::Stored { watch: Some(watch) });
                self.watches.insert(watch, (index, self.daemons[index].generation));
            }
        }
    }

    pub(super) fn pulled(&mut self, index: usize, from: usize) {
        let is_blocked =
            self.blocked.contains(&(from, index)) || self.blocked.contains(&(index, from));
        let source = &self.daemons[from];
        let edition =
            source.propagation.in_force().filter(|_| source.up && !source.paused && !is_blocked);
        // Without an edition the connection hangs, and the state machine times out.
        if let Some(edition) = edition {
            self.adopt(index, edition);
        }
    }

    pub fn adopt(&mut self, index: usize, edition: ConfigEdition) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if daemon.propagation.adopt(now, edition) == propagation::Outcome::Adopted {
            daemon.adopted.push((now, edition));
        }
    }

    pub(super) fn stored(&mut self, index: usize, watch: Option<u64>) {
        let (now, up, edition) = (self.now, self.store.up, self.store.edition);
        // Already answered, by a write or by its timeout.
        if watch.is_some_and(|watch| self.watches.remove(&watch).is_none()) {
            return;
        }
        let in_force = self.daemons[index].propagation.in_force().unwrap_or_default();
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
        self.daemons[index].propagation.store_answered(now, answer);
    }
}
