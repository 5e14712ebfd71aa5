//! Simulation in virtual time of one shard with three targets of different speed, and of the hosts
//! that send requests to it. Arrivals, pauses, slow phases and noise depend only on the seed, so
//! that two policies are compared on the same events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthorn_decide::latency::ServiceTimes;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::placement;
use hawthorn_route::placement::PlacementView;
use hawthorn_route::registry;
use hawthorn_route::registry::TargetKey;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::target::ReportedLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support;

pub const TARGETS: usize = 3;
const SLOTS: u32 = 2;
const MAX_QUEUE: usize = 16;
const ZONES: [&str; TARGETS] = ["east", "west", "south"];
const SERVICE_TIME: Duration = Duration::from_millis(15);
const NETWORK_LATENCY: Duration = Duration::from_micros(500);
const ZONE_LATENCY: Duration = Duration::from_millis(2);
/// The phase in which the last target is ten times slower.
const TENFOLD_START: Duration = Duration::from_secs(10);
const TENFOLD_END: Duration = Duration::from_secs(18);
/// Time after which the hosts should know of that phase.
const DETECTION_TIME: Duration = Duration::from_secs(1);
const DURATION: Duration = Duration::from_secs(40);

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Factors on the service time.
    pub factors: [f64; TARGETS],
    /// Whether each target is in a zone of its own; the hosts are divided among the zones.
    pub zoned: bool,
    pub hosts: usize,
    /// Requests per second.
    pub rate: f64,
    pub target_latency: Duration,
    /// Slowdown of a full target, in addition to 1.
    pub near_full: f64,
    /// Whether targets pause, and are two and a half times slower for a seventh of the time.
    pub troubled: bool,
    /// Whether the last target is ten times slower for 8 s.
    pub tenfold: bool,
}

/// Requests by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub requests: u32,
    /// Answered after the target latency, or rejected.
    pub late: u32,
    /// Late requests while a target was ten times slower.
    pub tenfold_late: u32,
    /// Requests sent to the target that was ten times slower, after the time of detection.
    pub tenfold_sent: u32,
    /// Requests sent to another zone.
    pub remote: u32,
    pub by_target: [u32; TARGETS],
}

impl Outcome {
    /// Requests of the busiest target as a multiple of the mean.
    pub fn busiest_share(&self) -> f64 {
        let busiest = self.by_target.iter().max().copied().unwrap_or_default();
        f64::from(busiest) * TARGETS as f64 / f64::from(self.requests)
    }

    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.late += other.late;
        self.tenfold_late += other.tenfold_late;
        self.tenfold_sent += other.tenfold_sent;
        self.remote += other.remote;
        self.by_target.iter_mut().zip(other.by_target).for_each(|(sum, count)| *sum += count);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send,
    Arrive,
    Executed,
    Reply,
}

/// Start and end of each phase of one kind, in order.
type Phases = Vec<(Duration, Duration)>;

fn phase_at(phases: &Phases, now: Duration) -> Option<(Duration, Duration)> {
    phases.iter().copied().find(|(start, end)| (*start..*end).contains(&now))
}

struct Target {
    factor: f64,
    pauses: Phases,
    slow: Phases,
    running: u32,
    waiting: VecDeque<usize>,
}

struct Host {
    zone: &'static str,
    registry: TargetRegistry,
    keys: Vec<TargetKey>,
    times: ServiceTimes,
}

struct Request {
    host: usize,
    sent: Duration,
    noise: f64,
    target: usize,
    end: AttemptEnd,
    reported: Option<ReportedLoad>,
}

struct Model<'a> {
    scenario: &'a Scenario,
    options: &'a placement::Options,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    rng: StdRng,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Runs a simulation; the outcome is determined by the arguments.
pub fn simulate(scenario: &Scenario, options: &placement::Options, seed: u64) -> Outcome {
    let mut model = Model::new(scenario, options, seed);
    while let Some(Reverse((at, request, event))) = model.events.pop() {
        model.now = at;
        match event {
            Event::Send => model.send(request),
            Event::Arrive => model.arrive(request),
            Event::Executed => model.executed(request),
            Event::Reply => model.reply(request),
        }
    }
    model.outcome
}

/// Phases of `length_ms` that begin `gap_ms` after the end of the previous one.
fn phases(rng: &mut StdRng, gap_ms: [u64; 2], length_ms: [u64; 2]) -> Phases {
    let mut draw = |[min, max]: [u64; 2]| Duration::from_millis(rng.random_range(min..=max));
    let mut phases = Phases::new();
    let mut at = draw(gap_ms);
    while at < DURATION {
        let end = at + draw(length_ms);
        phases.push((at, end));
        at = end + draw(gap_ms);
    }
    phases
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, options: &'a placement::Options, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut targets = Vec::new();
        for factor in scenario.factors {
            let (pauses, slow) = if scenario.troubled {
                let pauses = phases(&mut rng, [3000, 6000], [120, 250]);
                (pauses, phases(&mut rng, [2000, 4800], [600, 600]))
            } else {
                (Phases::new(), Phases::new())
            };
            targets.push(Target { factor, pauses, slow, running: 0, waiting: VecDeque::new() });
        }
        let mut model = Self {
            scenario,
            options,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            targets,
            hosts: (0..scenario.hosts).map(|host| Host::new(host, scenario.zoned)).collect(),
            requests: Vec::new(),
            outcome: Outcome::default(),
            rng: StdRng::seed_from_u64(seed + 1),
        };
        let mut at = Duration::ZERO;
        while at < DURATION {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / scenario.rate);
            let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
            let noise = rng.random_range(0.5..1.5) * tail;
            let host = rng.random_range(0..scenario.hosts);
            let (target, end, reported) = (0, AttemptEnd::Answered, None);
            model.events.push(Reverse((at, model.requests.len(), Event::Send)));
            model.requests.push(Request { host, sent: at, noise, target, end, reported });
        }
        model
    }

    fn schedule(&mut self, delay: Duration, request: usize, event: Event) {
        self.events.push(Reverse((self.now + delay, request, event)));
    }

    fn is_tenfold(&self) -> bool {
        self.scenario.tenfold && (TENFOLD_START..TENFOLD_END).contains(&self.now)
    }

    fn network_latency(&self, request: &Request) -> Duration {
        let remote = self.scenario.zoned && self.hosts[request.host].zone != ZONES[request.target];
        if remote { ZONE_LATENCY } else { NETWORK_LATENCY }
    }

    fn send(&mut self, request: usize) {
        let host = &mut self.hosts[self.requests[request].host];
        let service_time = Duration::from_micros(host.times.median());
        let latency = self.scenario.target_latency;
        let view = support::view(&host.registry, service_time, latency, self.now);
        let view = PlacementView { zone: host.zone, ..view };
        let key = placement::select_target(view, "s", &[], &mut self.rng, self.options);
        let key = key.expect("a target is always available");
        host.registry.get_mut(key).expect("it was selected").record_sent(self.now);
        let target = host.keys.iter().position(|known| *known == key).expect("it is known");
        let remote = self.scenario.zoned && host.zone != ZONES[target];
        self.requests[request].target = target;
        self.outcome.requests += 1;
        self.outcome.by_target[target] += 1;
        self.outcome.remote += u32::from(remote);
        let detected = self.is_tenfold() && self.now >= TENFOLD_START + DETECTION_TIME;
        self.outcome.tenfold_sent += u32::from(detected && target == TARGETS - 1);
        self.schedule(self.network_latency(&self.requests[request]), request, Event::Arrive);
    }

    fn arrive(&mut self, request: usize) {
        let target = &mut self.targets[self.requests[request].target];
        if target.running < SLOTS {
            self.execute(request);
        } else if target.waiting.len() < MAX_QUEUE {
            target.waiting.push_back(request);
        } else {
            self.answer(request, AttemptEnd::NotRun);
        }
    }

    fn execute(&mut self, request: usize) {
        let (index, noise) = (self.requests[request].target, self.requests[request].noise);
        let tenfold = self.is_tenfold() && index == TARGETS - 1;
        let target = &mut self.targets[index];
        target.running += 1;
        let occupancy = f64::from(target.running) / f64::from(SLOTS);
        let mut factor =
            target.factor * noise * (1.0 + self.scenario.near_full * occupancy.powi(2));
        if phase_at(&target.slow, self.now).is_some() {
            factor *= 2.5;
        }
        if tenfold {
            factor *= 10.0;
        }
        let paused = phase_at(&target.pauses, self.now);
        let start = paused.map_or(self.now, |(_, end)| end);
        let mut end = start + SERVICE_TIME.mul_f64(factor);
        let next = target.pauses.iter().find(|(begin, _)| (start..end).contains(begin));
        end += next.map_or(Duration::ZERO, |(begin, until)| *until - *begin);
        self.schedule(end - self.now, request, Event::Executed);
    }

    fn executed(&mut self, request: usize) {
        let target = &mut self.targets[self.requests[request].target];
        target.running -= 1;
        if let Some(next) = target.waiting.pop_front() {
            self.execute(next);
        }
        self.answer(request, AttemptEnd::Answered);
    }

    fn answer(&mut self, request: usize, end: AttemptEnd) {
        let target = &self.targets[self.requests[request].target];
        let (running, waiting) = (target.running, target.waiting.len() as u32);
        let load = ReportedLoad { running, waiting, slots: SLOTS, at: self.now };
        self.requests[request].end = end;
        self.requests[request].reported = Some(load);
        self.schedule(self.network_latency(&self.requests[request]), request, Event::Reply);
    }

    fn reply(&mut self, request: usize) {
        let now = self.now;
        let Request { host, sent, target, end, reported, .. } = self.requests[request];
        let latency = now.saturating_sub(sent);
        let host = &mut self.hosts[host];
        let service_time = Duration::from_micros(host.times.median());
        let state = host.registry.get_mut(host.keys[target]).expect("targets are never removed");
        if let Some(load) = reported {
            state.report_load(ReportedLoad { at: now, ..load });
        }
        state.record_end(sent, now, end, service_time);
        if end == AttemptEnd::Answered {
            host.times.record(latency.as_micros() as u64);
        }
        if end != AttemptEnd::Answered || latency > self.scenario.target_latency {
            self.outcome.late += 1;
            let tenfold = self.scenario.tenfold && (TENFOLD_START..TENFOLD_END).contains(&sent);
            self.outcome.tenfold_late += u32::from(tenfold);
        }
    }
}

impl Host {
    fn new(index: usize, zoned: bool) -> Self {
        let zone = if zoned { ZONES[index % TARGETS] } else { "east" };
        let mut registry =
            TargetRegistry::new(registry::Options::default(), zone, support::DRAIN_TIME);
        for (target, own_zone) in ZONES.iter().enumerate() {
            let zone = if zoned { own_zone } else { "east" };
            let entry = support::entry(&format!("t{target}"), "s", zone);
            registry.put(entry, support::revision(1), Duration::ZERO);
        }
        let keys = registry.of_service("s").to_vec();
        let times = ServiceTimes::new(SERVICE_TIME.as_micros() as u64);
        Self { zone, registry, keys, times }
    }
}
