//! Simulation of the reports of a zone with 30 hosts, without sockets. One datagram in 50 is lost.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use hawthorn_route::reachability;
use hawthorn_route::reachability::ZoneReachability;
use hawthorn_route::zone_report::Finding;
use hawthorn_route::zone_report::ReportSubject;
use hawthorn_route::zone_report::RequestDemand;
use hawthorn_route::zone_report::ZoneMessage;
use hawthorn_route::zone_report::book::OwnEvidence;
use hawthorn_route::zone_report::book::ReportBook;
use hawthorn_route::zone_report::book::Standing;
use hawthorn_route::zone_report::readiness;
use hawthorn_route::zone_report::readiness::ReturnGate;
use hawthorn_route::zone_report::readiness::ZoneView;
use hawthorn_route::zone_report::schedule::SendSchedule;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOSTS: usize = 30;
/// The other zones. With the hosts' own one there are three, of which these are most.
const ZONES: [&str; 2] = ["south", "west"];
/// All times are in milliseconds.
const TICK: u64 = 5;
const CHECK_PERIOD: u64 = 100;
const PROBE_TIMEOUT: u64 = 60;
/// A probe's round trip, rounded up to a tick.
const PROBE_ANSWER: u64 = TICK;
const SERVICE_TIME: u64 = 30;
const LOSS: f64 = 0.02;
/// Start and end of the fault.
const CUT: u64 = 2_000;
const HEALED: u64 = 8_000;
const END: u64 = 11_000;
/// Maximum time from the first host's evidence until all hosts know.
const KNOWN_WITHIN: u64 = 300;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 7000))
}

fn subject(zone: usize) -> ReportSubject {
    ReportSubject::Zone(ZONES[zone].to_owned())
}

/// The fault between [`CUT`] and [`HEALED`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The zone does not reach the other zones.
    ZoneCut,
    /// These hosts do not reach the other zones, and reach their own.
    BadLinks(usize),
    /// The first host receives nothing, and what it sends in its own zone arrives.
    DeafHost,
    /// The first host reaches nothing.
    LoneHost,
}

impl Fault {
    fn reaches_zones(self, host: usize, now: u64) -> bool {
        let is_affected = match self {
            Self::None => false,
            Self::ZoneCut => true,
            Self::BadLinks(hosts) => host < hosts,
            Self::DeafHost | Self::LoneHost => host == 0,
        };
        !is_affected || !(CUT..HEALED).contains(&now)
    }

    fn delivers(self, from: usize, to: usize, now: u64) -> bool {
        let is_lost = match self {
            Self::DeafHost => to == 0,
            Self::LoneHost => to == 0 || from == 0,
            _ => false,
        };
        !is_lost || !(CUT..HEALED).contains(&now)
    }
}

struct Host {
    index: usize,
    /// Requests per second to each other zone.
    rate: f64,
    zones: [ZoneReachability; 2],
    book: ReportBook,
    schedule: SendSchedule,
    gate: ReturnGate,
    fails_alone: bool,
    unready: bool,
    sequence: u64,
}

impl Host {
    fn answered(&mut self, zone: usize, now: u64) {
        self.zones[zone].answered(at(now));
        self.book.record_answer(&subject(zone), at(now));
    }

    fn confirmed(&self, now: u64) -> usize {
        self.book.confirmed(Finding::Suspected, at(now)).len()
    }

    fn knows(&self, zone: usize, now: u64) -> bool {
        let standing = self.book.standing(&subject(zone), Finding::Suspected, at(now));
        standing == Standing::Confirmed
    }

    fn demand(&self, lost_share: f64, zones: usize) -> RequestDemand {
        let total = (self.rate * 700.0) as u32;
        let lost = if zones > 0 { f64::from(total) * lost_share } else { 0.0 };
        RequestDemand { total, lost: lost as u32 }
    }

    /// Takes in the evidence of requests, as the periodic check does after its probes.
    fn check(&mut self, lost_share: f64, now: u64, rng: &mut StdRng) {
        let mut suspected = 0;
        for (zone, reachability) in self.zones.iter().enumerate() {
            if let Some(evidence) = OwnEvidence::of_zone(reachability, at(now)) {
                self.book.observe(&subject(zone), evidence);
                suspected += 1;
            }
        }
        let share = self.demand(lost_share, suspected).lost_share();
        self.fails_alone = reachability::should_fail_readiness(3, suspected, share);
        self.update(lost_share, now, rng);
        self.book.prune(at(now));
    }

    fn update(&mut self, lost_share: f64, now: u64, rng: &mut StdRng) {
        let confirmed = self.confirmed(now);
        let demand = self.demand(lost_share, confirmed);
        let fails_alone = self.fails_alone;
        let view = ZoneView { live: HOSTS, zones: 3, confirmed, fails_alone, demand };
        let cause = readiness::unready_cause(&view, &self.book, at(now));
        self.unready = self.gate.update(cause.is_some(), at(now), rng);
    }

    fn message(&mut self, lost_share: f64, now: u64) -> Option<ZoneMessage> {
        let reports = self.book.own_reports(at(now));
        self.sequence += 1;
        let own = self.demand(lost_share, reports.len());
        let message = ZoneMessage {
            sequence: self.sequence,
            fails_alone: self.fails_alone,
            demand: readiness::known_demand(own, &self.book, at(now)),
            reports,
        };
        self.schedule.take_due(&message, at(now)).then_some(message)
    }
}

enum Event {
    Answer { host: usize, zone: usize },
    ProbeEnd { host: usize, zone: usize, sent: u64, answered: bool },
    Datagram { from: usize, to: usize, message: ZoneMessage },
}

struct Fleet {
    fault: Fault,
    lost_share: f64,
    hosts: Vec<Host>,
    events: Vec<(u64, Event)>,
    probing: HashSet<(usize, usize)>,
    rng: StdRng,
    outcome: Outcome,
}

/// What was seen during a run.
#[derive(Default)]
struct Outcome {
    /// When the first host had evidence of each zone.
    evidence: [Option<u64>; 2],
    /// When all hosts knew that the zone is unreachable.
    known: [Option<u64>; 2],
    /// When the first and all hosts failed their probes.
    first_unready: Option<u64>,
    all_unready: Option<u64>,
    /// Hosts that ever confirmed a zone, and that ever failed their probes.
    confirmed: HashSet<usize>,
    unready: HashSet<usize>,
    /// When the last of them was ready again, and how many returned in the busiest 100 ms.
    last_return: Option<u64>,
    returns: Vec<u64>,
    datagrams: usize,
}

impl Fleet {
    fn new(fault: Fault, senders: usize, lost_share: f64, seed: u64) -> Self {
        let host = |index| Host {
            index,
            rate: if index < senders { 8.0 } else { 0.0 },
            zones: <[ZoneReachability; 2]>::default(),
            book: ReportBook::default(),
            schedule: SendSchedule::default(),
            gate: ReturnGate::default(),
            fails_alone: false,
            unready: false,
            sequence: 0,
        };
        Self {
            fault,
            lost_share,
            hosts: (0..HOSTS).map(host).collect(),
            events: Vec::new(),
            probing: HashSet::new(),
            rng: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now in (0..END).step_by(TICK as usize) {
            let (due, later) =
                std::mem::take(&mut self.events).into_iter().partition(|(time, _)| *time <= now);
            self.events = later;
            let due: Vec<(u64, Event)> = due;
            due.into_iter().for_each(|(_, event)| self.handle(event, now));
            for host in 0..HOSTS {
                self.send_requests(host, now);
                self.check(host, now);
                self.send_reports(host, now);
            }
            self.record(now);
        }
        self.outcome
    }

    fn send_requests(&mut self, host: usize, now: u64) {
        for zone in 0..ZONES.len() {
            if !self.rng.random_bool(self.hosts[host].rate * TICK as f64 / 1000.0) {
                continue;
            }
            self.hosts[host].zones[zone].sent(at(now), at(SERVICE_TIME));
            if self.fault.reaches_zones(host, now) {
                self.events.push((now + SERVICE_TIME, Event::Answer { host, zone }));
            }
        }
    }

    fn check(&mut self, host: usize, now: u64) {
        // Hosts check at different moments.
        if !(now + host as u64 * 35).is_multiple_of(CHECK_PERIOD) {
            return;
        }
        let reported = self.hosts[host].book.subjects(at(now));
        for zone in 0..ZONES.len() {
            let is_suspected = self.hosts[host].zones[zone].is_suspected(at(now));
            if is_suspected || reported.contains(&subject(zone)) {
                self.probe(host, zone, now);
            }
        }
        if self.probing.iter().all(|(prober, _)| *prober != host) {
            self.hosts[host].check(self.lost_share, now, &mut self.rng);
        }
    }

    fn probe(&mut self, host: usize, zone: usize, now: u64) {
        if !self.probing.insert((host, zone)) {
            return;
        }
        let answered = self.fault.reaches_zones(host, now);
        let took = if answered { PROBE_ANSWER } else { PROBE_TIMEOUT };
        self.events.push((now + took, Event::ProbeEnd { host, zone, sent: now, answered }));
    }

    fn send_reports(&mut self, from: usize, now: u64) {
        let Some(message) = self.hosts[from].message(self.lost_share, now) else { return };
        let peers = (0..HOSTS).filter(|to| *to != from).map(address).collect();
        for receiver in self.hosts[from].schedule.receivers(peers, address(from)) {
            let to = (0..HOSTS).find(|host| address(*host) == receiver).expect("a host");
            self.outcome.datagrams += 1;
            if self.fault.delivers(from, to, now) && !self.rng.random_bool(LOSS) {
                let message = message.clone();
                self.events.push((now + TICK, Event::Datagram { from, to, message }));
            }
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Answer { host, zone } if self.fault.reaches_zones(host, now) => {
                self.hosts[host].answered(zone, now);
            }
            Event::Answer { .. } => {}
            Event::ProbeEnd { host, zone, sent, answered } => {
                self.probing.remove(&(host, zone));
                let prober = &mut self.hosts[host];
                if answered {
                    prober.answered(zone, now);
                } else {
                    prober.book.record_failed_probe(&subject(zone), at(sent), at(now));
                }
                prober.check(self.lost_share, now, &mut self.rng);
            }
            Event::Datagram { from, to, message } => {
                let unknown = self.hosts[to].book.receive(address(from), &message, at(now));
                for zone in (0..ZONES.len()).filter(|zone| unknown.contains(&subject(*zone))) {
                    self.probe(to, zone, now);
                }
            }
        }
    }

    fn record(&mut self, now: u64) {
        let outcome = &mut self.outcome;
        for zone in 0..ZONES.len() {
            if self.hosts.iter().any(|host| host.zones[zone].is_suspected(at(now))) {
                outcome.evidence[zone].get_or_insert(now);
            }
            let is_open = outcome.evidence[zone].is_some() && outcome.known[zone].is_none();
            if is_open && self.hosts.iter().all(|host| host.knows(zone, now)) {
                outcome.known[zone] = Some(now);
            }
        }
        if now.is_multiple_of(5 * TICK) {
            let confirmed = self.hosts.iter().filter(|host| host.confirmed(now) > 0);
            outcome.confirmed.extend(confirmed.map(|host| host.index));
        }
        for host in self.hosts.iter().filter(|host| host.unready) {
            outcome.unready.insert(host.index);
            outcome.first_unready.get_or_insert(now);
            outcome.last_return = Some(now);
        }
        if self.hosts.iter().all(|host| host.unready) {
            outcome.all_unready.get_or_insert(now);
        }
        outcome.returns.push(self.hosts.iter().filter(|host| host.unready).count() as u64);
    }
}

/// Guards against a partition that hosts of a zone find out one after the other, and against a zone
/// that leaves although its hosts can serve.
#[test]
fn all_hosts_of_a_zone_know_a_partition_at_once() {
    struct Case {
        name: &'static str,
        /// Number of hosts that send requests.
        senders: usize,
        lost_share: f64,
        leaves: bool,
    }
    let cases = [
        Case { name: "without targets", senders: HOSTS, lost_share: 0.9, leaves: true },
        Case { name: "few hosts send", senders: 3, lost_share: 0.9, leaves: true },
        Case { name: "one host sends", senders: 1, lost_share: 0.9, leaves: true },
        Case { name: "with copies", senders: HOSTS, lost_share: 0.0, leaves: false },
    ];
    for Case { name, senders, lost_share, leaves } in cases {
        let mut slowest = 0;
        for seed in 0..10 {
            let outcome = Fleet::new(Fault::ZoneCut, senders, lost_share, seed).run();
            for (evidence, known) in outcome.evidence.into_iter().zip(outcome.known) {
                let evidence = evidence.expect("a host finds the partition");
                let known = known.unwrap_or(END);
                slowest = slowest.max(known - evidence);
                assert!(known <= evidence + KNOWN_WITHIN, "{name}, {seed}: {evidence} to {known}");
            }
            assert_eq!(outcome.unready.len(), if leaves { HOSTS } else { 0 }, "{name}, {seed}");
            if leaves {
                let first = outcome.first_unready.expect("a host fails its probe");
                let all = outcome.all_unready.unwrap_or(END);
                assert!(all <= first + KNOWN_WITHIN, "{name}, {seed}: {first} to {all}");
                let last = outcome.last_return.expect("a host returns");
                assert!((HEALED + 500..=HEALED + 1500).contains(&last), "{name}, {seed}: {last}");
                let unready = |time: u64| outcome.returns[(time / TICK) as usize];
                let most = (HEALED..END - 100)
                    .step_by(TICK as usize)
                    .map(|time| unready(time).saturating_sub(unready(time + 100)))
                    .max();
                assert!(most.is_some_and(|most| most <= HOSTS as u64 / 2), "{name}: {most:?}");
            }
        }
        println!("{name}: known after at most {slowest} ms");
    }
}

/// Guards against false reports that move a zone: of hosts with a bad link, of one that receives
/// nothing, and of one that is cut off.
#[test]
fn false_reports_move_no_other_host() {
    struct Case {
        fault: Fault,
        affected: usize,
        senders: usize,
    }
    let cases = [
        Case { fault: Fault::None, affected: 0, senders: HOSTS },
        Case { fault: Fault::BadLinks(1), affected: 1, senders: HOSTS },
        Case { fault: Fault::BadLinks(1), affected: 1, senders: 1 },
        Case { fault: Fault::BadLinks(3), affected: 3, senders: HOSTS },
        Case { fault: Fault::BadLinks(3), affected: 3, senders: 3 },
        Case { fault: Fault::DeafHost, affected: 1, senders: HOSTS },
        Case { fault: Fault::DeafHost, affected: 1, senders: 1 },
        Case { fault: Fault::LoneHost, affected: 1, senders: HOSTS },
    ];
    for Case { fault, affected, senders } in cases {
        for seed in 0..6 {
            let outcome = Fleet::new(fault, senders, 0.9, seed).run();
            let moved = |hosts: &HashSet<usize>| hosts.iter().any(|host| *host >= affected);
            assert!(!moved(&outcome.unready), "{fault:?}, {senders}, {seed}");
            assert!(!moved(&outcome.confirmed), "{fault:?}, {senders}, {seed}");
            if fault == Fault::None {
                assert_eq!(outcome.datagrams, 0);
            }
        }
    }
}
