//! Cold targets: what all hosts together send them, and when they are used at all.

mod support;

use std::time::Duration;

use hawthorn_route::cold;
use hawthorn_route::cold::SLOTS;
use hawthorn_route::cold::SlotRight;
use hawthorn_route::cold::claim::SlotClaim;
use hawthorn_route::cold::claim::SlotWrite;
use hawthorn_route::cold::claim::WriteOutcome;
use hawthorn_route::document::ServiceRule;
use hawthorn_route::placement;
use hawthorn_route::registry;
use hawthorn_route::registry::SendRejection;
use hawthorn_route::registry::TargetRegistry;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Duration = Duration::from_secs(10);
const OPTIONS: cold::Options = cold::Options { overshoot: 1.5, slack: 5.0 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service(name: &str, cold_rate: Option<f64>) -> ServiceRule {
    ServiceRule {
        name: name.to_owned(),
        health_path: String::new(),
        max_connections: 20,
        cold_start: ms(3000),
        cold_rate,
    }
}

/// Targets of service `s`: their zones, and whether each is cold for three seconds.
fn registry(targets: &[(&str, bool)], rate: Option<f64>) -> TargetRegistry {
    let mut registry = TargetRegistry::new(registry::Options::default(), "east");
    for (number, (zone, cold)) in targets.iter().enumerate() {
        let mut entry = support::entry(&format!("t{number}"), "s", zone);
        entry.cold = if *cold { ms(3000) } else { Duration::ZERO };
        registry.put(entry, 1, NOW);
    }
    registry.limit_cold(&[service("s", rate)], &OPTIONS);
    registry
}

fn place_one(registry: &TargetRegistry, now: Duration) -> Option<registry::TargetKey> {
    let view = support::view(registry, ms(15), ms(120), now);
    let mut rng = StdRng::seed_from_u64(3);
    placement::select_target(view, "s", &[], &mut rng, &placement::Options::default())
}

fn right(slot: u32) -> SlotRight {
    SlotRight { slot, until: NOW + ms(60_000) }
}

/// Guards against a cold target that receives requests which it cannot bear.
#[test]
fn a_cold_target_is_used_only_with_a_right_and_where_no_warm_one_is() {
    struct Case {
        name: &'static str,
        targets: &'static [(&'static str, bool)],
        rate: Option<f64>,
        right: bool,
        /// The target chosen.
        chosen: Option<&'static str>,
        wanted: bool,
    }
    let cases = [
        Case {
            name: "a warm one elsewhere goes first",
            targets: &[("east", true), ("west", false)],
            rate: Some(12.0),
            right: true,
            chosen: Some("t1"),
            wanted: false,
        },
        Case {
            name: "no right yet",
            targets: &[("east", true)],
            rate: Some(12.0),
            right: false,
            chosen: None,
            wanted: true,
        },
        Case {
            name: "with a right",
            targets: &[("east", true)],
            rate: Some(12.0),
            right: true,
            chosen: Some("t0"),
            wanted: true,
        },
        Case {
            name: "a right holds for the own zone only",
            targets: &[("west", true)],
            rate: Some(12.0),
            right: true,
            chosen: None,
            wanted: false,
        },
        Case {
            name: "no limit stated",
            targets: &[("west", true)],
            rate: None,
            right: false,
            chosen: Some("t0"),
            wanted: false,
        },
        Case {
            name: "a rate of 0 is none",
            targets: &[("west", true)],
            rate: Some(0.0),
            right: false,
            chosen: Some("t0"),
            wanted: false,
        },
    ];
    for case in cases {
        let mut registry = registry(case.targets, case.rate);
        registry.set_cold_right(case.right.then_some(right(0)));
        let key = place_one(&registry, NOW);
        let chosen = key.and_then(|key| registry.get(key)).map(|state| state.entry.id.to_string());
        assert_eq!(chosen.as_deref(), case.chosen, "{}", case.name);
        assert_eq!(registry.cold().is_wanted(NOW), case.wanted, "{}", case.name);
    }
}

/// Guards against a limit that is forgotten with an edit, or never known.
#[test]
fn a_rate_that_makes_no_sense_leaves_the_one_before() {
    struct Case {
        name: &'static str,
        rate: Option<f64>,
        kept: usize,
        limit: Option<u32>,
    }
    let cases = [
        Case { name: "0", rate: Some(0.0), kept: 1, limit: Some(23) },
        Case { name: "negative", rate: Some(-1.0), kept: 1, limit: Some(23) },
        Case { name: "not a number", rate: Some(f64::NAN), kept: 1, limit: Some(23) },
        Case { name: "another", rate: Some(3.0), kept: 0, limit: Some(9) },
        Case { name: "none", rate: None, kept: 0, limit: None },
    ];
    for case in cases {
        let mut registry = registry(&[("east", true)], Some(12.0));
        let kept = registry.limit_cold(&[service("s", case.rate)], &OPTIONS);
        assert_eq!(kept.len(), case.kept, "{}", case.name);
        let (_, state) = registry.iter().next().expect("one target");
        assert_eq!(registry.cold().limit(state, NOW), case.limit, "{}", case.name);
    }
    let mut registry = registry(&[("east", true)], Some(12.0));
    registry.limit_cold(&[service("other", Some(12.0))], &OPTIONS);
    let (_, state) = registry.iter().next().expect("one target");
    assert_eq!(registry.cold().limit(state, NOW), Some(0), "a service that is not named");
}

/// Guards against more requests in one second than this host's part.
#[test]
fn a_slot_is_worth_its_part_in_any_second() {
    let limit = OPTIONS.limit(12.0);
    let parts: u32 = (0..SLOTS).map(|slot| cold::part(limit, slot)).sum();
    assert_eq!((limit, parts), (23, 23), "the parts of all slots are the whole");
    let mut registry = registry(&[("east", true)], Some(12.0));
    let mut right = right(1);
    right.until = NOW + ms(2500);
    registry.set_cold_right(Some(right));
    let (key, _) = registry.iter().next().expect("one target");
    let mut sent = Vec::new();
    for step in 0..300 {
        let now = NOW + ms(step * 10);
        match registry.admit(key, now) {
            Ok(()) => sent.push(now),
            Err(bar) => assert_eq!(bar, SendRejection::Cold),
        }
    }
    let most = cold::part(limit, 1) as usize;
    for (place, at) in sent.iter().enumerate() {
        let within = sent[place..].iter().filter(|other| **other < *at + ms(1000)).count();
        assert!(within <= most, "{within} requests in the second from {at:?}");
    }
    assert!(sent.len() > most, "the next second has its own part");
    assert!(sent.iter().all(|at| *at < right.until), "nothing after the right's end");
}

/// Guards against a zone's targets that are cold when its evacuation ends, and unknown to be.
#[test]
fn targets_of_a_zone_are_presumed_cold_after_its_evacuation() {
    struct Case {
        name: &'static str,
        /// The rates that successive versions state.
        rates: &'static [Option<f64>],
        cold: &'static [&'static str],
    }
    let cases = [
        Case { name: "limited", rates: &[Some(12.0)], cold: &["t1"] },
        Case {
            name: "a bad rate after a good one",
            rates: &[Some(12.0), Some(0.0)],
            cold: &["t1"],
        },
        Case { name: "not limited", rates: &[None], cold: &[] },
        Case { name: "no longer limited", rates: &[Some(12.0), None], cold: &[] },
    ];
    let cold = |registry: &TargetRegistry, now| {
        let cold = registry.iter().filter(|(_, state)| now < state.cold_until);
        cold.map(|(_, state)| state.entry.id.to_string()).collect::<Vec<_>>()
    };
    for case in cases {
        let mut registry = registry(&[("east", false), ("west", false)], None);
        for rate in case.rates {
            registry.limit_cold(&[service("s", *rate)], &OPTIONS);
        }
        registry.presume_cold("west", NOW, |_| ms(3000));
        assert_eq!(cold(&registry, NOW), case.cold, "{}", case.name);
        let limited =
            registry.iter().filter(|(_, state)| registry.cold().limit(state, NOW).is_some());
        assert_eq!(limited.count(), case.cold.len(), "{}", case.name);
        assert!(cold(&registry, NOW + ms(3000)).is_empty(), "{}", case.name);
    }
}

/// A write on its way to the store, or its answer on the way back.
struct Flight {
    host: usize,
    /// Which process of the host sent it.
    process: u32,
    write: SlotWrite,
    executes: Duration,
    /// When the answer arrives; `None` if it is lost.
    answered: Option<Duration>,
    outcome: Option<WriteOutcome>,
}

struct SimHost {
    claim: SlotClaim,
    process: u32,
    waiting: bool,
    /// The process stands still until then; its clock goes on.
    frozen_until: Duration,
    /// Nothing reaches it from the store until then.
    cut_until: Duration,
    /// How old the news is that reaches it.
    lag: Duration,
    sent: cold::SendMeter,
}

/// One zone's hosts, its slots in the store, and one cold target.
struct Zone {
    hosts: Vec<SimHost>,
    revision: u64,
    slots: [u64; SLOTS as usize],
    history: Vec<(Duration, u32, u64)>,
    flights: Vec<Flight>,
    arrivals: Vec<Duration>,
    rng: StdRng,
}

const STEP: Duration = Duration::from_millis(10);

impl Zone {
    fn new(hosts: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..hosts).map(|_| SimHost::start(NOW, 0, &mut rng)).collect();
        Self {
            hosts,
            revision: 1,
            slots: [0; SLOTS as usize],
            history: Vec::new(),
            flights: Vec::new(),
            arrivals: Vec::new(),
            rng,
        }
    }

    fn step(&mut self, now: Duration, limit: u32, faults: bool) {
        self.execute(now);
        if faults {
            self.break_something(now);
        }
        for index in 0..self.hosts.len() {
            self.run(index, now, limit, faults);
        }
    }

    /// Executes writes that have reached the store, in any order.
    fn execute(&mut self, now: Duration) {
        for flight in &mut self.flights {
            if flight.outcome.is_none() && flight.executes <= now {
                let slot = &mut self.slots[flight.write.slot as usize];
                flight.outcome = Some(if *slot == flight.write.revision {
                    self.revision += 1;
                    *slot = self.revision;
                    self.history.push((now, flight.write.slot, self.revision));
                    WriteOutcome::Done(self.revision)
                } else {
                    WriteOutcome::NotDone
                });
            }
        }
    }

    fn break_something(&mut self, now: Duration) {
        let Self { hosts, rng, .. } = self;
        let index = rng.random_range(0..hosts.len());
        let host = &mut hosts[index];
        let span = ms(rng.random_range(100..4000));
        match rng.random_range(0..40) {
            0 => *host = SimHost::start(now, host.process + 1, rng),
            1 => host.frozen_until = now + span,
            2 => host.cut_until = now + span,
            // All processes are killed at the same moment.
            3 if rng.random_range(0..10) == 0 => {
                for host in hosts.iter_mut() {
                    *host = SimHost::start(now, host.process + 1, rng);
                }
            }
            _ => {}
        }
    }

    fn run(&mut self, index: usize, now: Duration, limit: u32, faults: bool) {
        let Self { hosts, flights, history, rng, arrivals, .. } = self;
        let host = &mut hosts[index];
        if now < host.frozen_until {
            return;
        }
        if now >= host.cut_until {
            let heard = now.saturating_sub(host.lag);
            let news = history.iter().rev().skip_while(|(at, ..)| *at > heard);
            for (_, slot, revision) in news.take(SLOTS as usize * 4) {
                host.claim.note(*slot, *revision, now);
            }
        }
        flights.retain(|flight| {
            if flight.host != index {
                return true;
            }
            if flight.process != host.process {
                return flight.outcome.is_none();
            }
            let Some(at) = flight.answered else {
                // No answer: the call is given up after its time-out.
                if now >= flight.write.sent + ms(500) && host.waiting {
                    host.waiting = false;
                    host.claim.record(flight.write, WriteOutcome::Unknown, now);
                }
                return flight.outcome.is_none();
            };
            let Some(outcome) = flight.outcome.filter(|_| now >= at) else { return true };
            host.waiting = false;
            host.claim.record(flight.write, outcome, now);
            false
        });
        if !host.waiting
            && let Some(write) = host.claim.due_write(now, rng)
        {
            host.waiting = true;
            flights.push(flight(index, host, write, now, rng, faults));
        }
        // The host sends as much as it may.
        let right = host.claim.right().filter(|right| now < right.until);
        if let Some(right) = right {
            while host.sent.count(now) < cold::part(limit, right.slot) {
                host.sent.record(now);
                arrivals.push(now);
            }
        }
    }
}

impl SimHost {
    fn start(now: Duration, process: u32, rng: &mut impl Rng) -> Self {
        Self {
            claim: SlotClaim::new(now),
            process,
            waiting: false,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            lag: ms(rng.random_range(5..800)),
            sent: cold::SendMeter::default(),
        }
    }
}

fn flight(
    index: usize,
    host: &SimHost,
    write: SlotWrite,
    now: Duration,
    rng: &mut impl Rng,
    faults: bool,
) -> Flight {
    let (mut executes, mut answered) = (now + ms(4), Some(now + ms(8)));
    if now < host.cut_until {
        (executes, answered) = (Duration::MAX, None);
    } else if faults {
        match rng.random_range(0..12) {
            // The answer is lost, and the write may be executed seconds later.
            0 => (executes, answered) = (now + ms(rng.random_range(0..6000)), None),
            // The store is slow.
            1 | 2 => {
                let executed = rng.random_range(4..450);
                executes = now + ms(executed);
                answered = Some(executes + ms(rng.random_range(4..450)));
            }
            _ => {}
        }
    }
    Flight { host: index, process: host.process, write, executes, answered, outcome: None }
}

/// Most arrivals within any second.
fn busiest_second(arrivals: &[Duration]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (place, at) in arrivals.iter().enumerate() {
        while arrivals[first] + ms(1000) <= *at {
            first += 1;
        }
        most = most.max(place + 1 - first);
    }
    most
}

/// Guards against hosts that together send a cold target more than it bears, while hosts
/// are killed, frozen and cut off and the store is slow, loses answers or acts late.
#[test]
fn all_hosts_together_keep_within_the_limit() {
    struct Case {
        hosts: usize,
        rate: f64,
        seeds: u64,
    }
    let cases = [
        Case { hosts: 8, rate: 12.0, seeds: 40 },
        Case { hosts: 8, rate: 0.1, seeds: 20 },
        Case { hosts: 200, rate: 12.0, seeds: 4 },
        Case { hosts: 4000, rate: 3.0, seeds: 1 },
    ];
    for case in cases {
        let limit = OPTIONS.limit(case.rate);
        for seed in 0..case.seeds {
            let mut zone = Zone::new(case.hosts, seed);
            for step in 0..2000 {
                zone.step(NOW + STEP * step, limit, true);
            }
            let most = busiest_second(&zone.arrivals);
            let Case { hosts, rate, .. } = case;
            assert!(most <= limit as usize, "{hosts} hosts, rate {rate}, seed {seed}: {most}");
        }
    }
}

/// Guards against a limit that is kept because cold targets are hardly ever used.
#[test]
fn most_of_the_limit_is_used_once_slots_are_claimed() {
    for hosts in [8, 200] {
        let limit = OPTIONS.limit(12.0);
        let mut zone = Zone::new(hosts, 5);
        for step in 0..1000 {
            zone.step(NOW + STEP * step, limit, false);
        }
        let begun = zone.arrivals.first().map(|at| *at - NOW);
        assert!(begun.is_some_and(|after| after < ms(2500)), "{hosts} hosts begin after {begun:?}");
        let late = zone.arrivals.iter().filter(|at| **at >= NOW + ms(7000)).count();
        let used = late as f64 / (3.0 * f64::from(limit));
        assert!(used > 0.9, "{hosts} hosts use {used:.2} of the limit");
    }
}
