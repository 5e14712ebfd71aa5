//! Cold targets: the rate limit over all hosts together, and when cold targets are selected.

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
use hawthorn_route::revision::StoreRevision;
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

/// Targets of service `s`, given their zones and whether each is cold for three seconds.
fn registry(targets: &[(&str, bool)], rate: Option<f64>) -> TargetRegistry {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    for (number, (zone, cold)) in targets.iter().enumerate() {
        let mut entry = support::entry(&format!("t{number}"), "s", zone);
        entry.cold = if *cold { ms(3000) } else { Duration::ZERO };
        registry.put(entry, support::revision(1), NOW);
    }
    registry.limit_cold(&[service("s", rate)], &OPTIONS);
    registry
}

fn select_one(registry: &TargetRegistry, now: Duration) -> Option<registry::TargetKey> {
    let view = support::view(registry, ms(15), ms(120), now);
    let mut rng = StdRng::seed_from_u64(3);
    placement::select_target(view, "s", &[], &mut rng, &placement::Options::default())
}

fn right(slot: u32) -> SlotRight {
    SlotRight { slot, until: NOW + ms(60_000) }
}

/// Guards against overloading a cold target.
#[test]
fn cold_targets_are_selected_only_with_a_slot_and_without_warm_ones() {
    struct Case {
        name: &'static str,
        targets: &'static [(&'static str, bool)],
        rate: Option<f64>,
        right: bool,
        /// The selected target.
        selected: Option<&'static str>,
        wanted: bool,
    }
    let cases = [
        Case {
            name: "warm target in another zone preferred",
            targets: &[("east", true), ("west", false)],
            rate: Some(12.0),
            right: true,
            selected: Some("t1"),
            wanted: false,
        },
        Case {
            name: "no slot held",
            targets: &[("east", true)],
            rate: Some(12.0),
            right: false,
            selected: None,
            wanted: true,
        },
        Case {
            name: "slot held",
            targets: &[("east", true)],
            rate: Some(12.0),
            right: true,
            selected: Some("t0"),
            wanted: true,
        },
        Case {
            name: "slot valid only for the own zone",
            targets: &[("west", true)],
            rate: Some(12.0),
            right: true,
            selected: None,
            wanted: false,
        },
        Case {
            name: "no limit configured",
            targets: &[("west", true)],
            rate: None,
            right: false,
            selected: Some("t0"),
            wanted: false,
        },
        Case {
            name: "rate of 0 is no limit",
            targets: &[("west", true)],
            rate: Some(0.0),
            right: false,
            selected: Some("t0"),
            wanted: false,
        },
    ];
    for case in cases {
        let mut registry = registry(case.targets, case.rate);
        registry.set_cold_right(case.right.then_some(right(0)));
        let key = select_one(&registry, NOW);
        let selected =
            key.and_then(|key| registry.get(key)).map(|state| state.entry.id.to_string());
        assert_eq!(selected.as_deref(), case.selected, "{}", case.name);
        assert_eq!(registry.cold().is_wanted(NOW), case.wanted, "{}", case.name);
    }
}

/// Guards against losing a limit through an invalid configuration, and against sending without
/// a limit to a service that the configuration does not name.
#[test]
fn an_invalid_rate_leaves_the_previous_limit_in_force() {
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
        Case { name: "different rate", rate: Some(3.0), kept: 0, limit: Some(9) },
        Case { name: "removed", rate: None, kept: 0, limit: None },
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
    assert_eq!(registry.cold().limit(state, NOW), Some(0), "service not in the configuration");
}

/// Guards against sending more requests in a second than the part of the held slot.
#[test]
fn a_slot_permits_its_part_of_the_limit_in_any_second() {
    let limit = OPTIONS.limit(12.0);
    let parts: u32 = (0..SLOTS).map(|slot| cold::part(limit, slot)).sum();
    assert_eq!((limit, parts), (23, 23), "the parts of all slots add up to the limit");
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
            Err(rejection) => assert_eq!(rejection, SendRejection::Cold),
        }
    }
    let max = cold::part(limit, 1) as usize;
    for (index, at) in sent.iter().enumerate() {
        let within = sent[index..].iter().filter(|other| **other < *at + ms(1000)).count();
        assert!(within <= max, "{within} requests in the second from {at:?}");
    }
    assert!(sent.len() > max, "the part is available again in the next second");
    assert!(sent.iter().all(|at| *at < right.until), "no request after the slot expired");
}

/// Guards against treating the targets of a zone as warm when its evacuation ends.
#[test]
fn targets_of_a_zone_are_presumed_cold_after_its_evacuation() {
    struct Case {
        name: &'static str,
        /// Rates in successive versions of the configuration.
        rates: &'static [Option<f64>],
        cold: &'static [&'static str],
    }
    let cases = [
        Case { name: "limited", rates: &[Some(12.0)], cold: &["t1"] },
        Case {
            name: "invalid rate after a valid one",
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

/// A write in flight to the store, or its answer.
struct InFlightWrite {
    host: usize,
    /// The process of the host that sent the write.
    process: u32,
    write: SlotWrite,
    executes: Duration,
    /// When the answer arrives; `None` if the answer is lost.
    answered: Option<Duration>,
    outcome: Option<WriteOutcome>,
}

struct SimHost {
    claim: SlotClaim,
    process: u32,
    waiting: bool,
    /// The process is suspended until then; its clock advances.
    suspended_until: Duration,
    /// The host is partitioned from the store until then.
    partitioned_until: Duration,
    /// Delay with which changes in the store are received.
    watch_delay: Duration,
    sent: cold::SendMeter,
}

/// Simulates the hosts of one zone, the zone's slots in the store, and one cold target.
struct Zone {
    hosts: Vec<SimHost>,
    revision: StoreRevision,
    slots: [u64; SLOTS as usize],
    /// Time, slot and revision of each write.
    history: Vec<(Duration, u32, StoreRevision)>,
    in_flight: Vec<InFlightWrite>,
    /// Times at which the cold target received requests.
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
            revision: support::revision(1),
            slots: [0; SLOTS as usize],
            history: Vec::new(),
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            rng,
        }
    }

    fn step(&mut self, now: Duration, limit: u32, faults: bool) {
        self.execute(now);
        if faults {
            self.inject_fault(now);
        }
        for index in 0..self.hosts.len() {
            self.run(index, now, limit, faults);
        }
    }

    /// Executes the writes that have reached the store.
    fn execute(&mut self, now: Duration) {
        for pending in &mut self.in_flight {
            if pending.outcome.is_none() && pending.executes <= now {
                let slot = &mut self.slots[pending.write.slot as usize];
                pending.outcome = Some(if *slot == pending.write.revision.number {
                    self.revision.number += 1;
                    *slot = self.revision.number;
                    self.history.push((now, pending.write.slot, self.revision));
                    WriteOutcome::Done(self.revision)
                } else {
                    WriteOutcome::NotDone
                });
            }
        }
    }

    /// Restores the store from a copy of its state at `copied`. The slots in the copy are written
    /// to the history, as hosts read them.
    fn restore(&mut self, now: Duration, copied: Duration) {
        let era = self.revision.era;
        let earlier = |(at, _, revision): &&(Duration, u32, StoreRevision)| {
            *at <= copied && revision.era == era
        };
        let kept: Vec<(u32, u64)> = self
            .history
            .iter()
            .filter(earlier)
            .map(|(_, slot, revision)| (*slot, revision.number))
            .collect();
        let number = kept.iter().map(|(_, number)| *number).max().unwrap_or(1);
        self.revision = StoreRevision::new(era + 1, number);
        self.slots = [0; SLOTS as usize];
        for (slot, number) in kept {
            self.slots[slot as usize] = self.slots[slot as usize].max(number);
        }
        for slot in 0..SLOTS {
            let revision = StoreRevision::new(era + 1, self.slots[slot as usize]);
            if revision.number > 0 {
                self.history.push((now, slot, revision));
            }
        }
    }

    fn inject_fault(&mut self, now: Duration) {
        let Self { hosts, rng, .. } = self;
        let index = rng.random_range(0..hosts.len());
        let host = &mut hosts[index];
        let duration = ms(rng.random_range(100..4000));
        match rng.random_range(0..40) {
            0 => *host = SimHost::start(now, host.process + 1, rng),
            1 => host.suspended_until = now + duration,
            2 => host.partitioned_until = now + duration,
            // All hosts are restarted at once.
            3 if rng.random_range(0..10) == 0 => {
                for host in hosts.iter_mut() {
                    *host = SimHost::start(now, host.process + 1, rng);
                }
            }
            _ => {}
        }
    }

    fn run(&mut self, index: usize, now: Duration, limit: u32, faults: bool) {
        let Self { hosts, in_flight, history, rng, arrivals, .. } = self;
        let host = &mut hosts[index];
        if now < host.suspended_until {
            return;
        }
        if now >= host.partitioned_until {
            let visible_until = now.saturating_sub(host.watch_delay);
            let changes = history.iter().rev().skip_while(|(at, ..)| *at > visible_until);
            for (_, slot, revision) in changes.take(SLOTS as usize * 4) {
                host.claim.note(*slot, *revision, now);
            }
        }
        in_flight.retain(|pending| {
            if pending.host != index {
                return true;
            }
            if pending.process != host.process {
                return pending.outcome.is_none();
            }
            let Some(at) = pending.answered else {
                // The answer was lost: the call times out.
                if now >= pending.write.sent + ms(500) && host.waiting {
                    host.waiting = false;
                    host.claim.record(pending.write, WriteOutcome::Unknown, now);
                }
                return pending.outcome.is_none();
            };
            let Some(outcome) = pending.outcome.filter(|_| now >= at) else { return true };
            host.waiting = false;
            host.claim.record(pending.write, outcome, now);
            false
        });
        if !host.waiting
            && let Some(write) = host.claim.due_write(now, rng)
        {
            host.waiting = true;
            in_flight.push(send_write(index, host, write, now, rng, faults));
        }
        // The host sends as many requests as its slot permits.
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
            suspended_until: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            watch_delay: ms(rng.random_range(5..800)),
            sent: cold::SendMeter::default(),
        }
    }
}

fn send_write(
    index: usize,
    host: &SimHost,
    write: SlotWrite,
    now: Duration,
    rng: &mut impl Rng,
    faults: bool,
) -> InFlightWrite {
    let (mut executes, mut answered) = (now + ms(4), Some(now + ms(8)));
    if now < host.partitioned_until {
        (executes, answered) = (Duration::MAX, None);
    } else if faults {
        match rng.random_range(0..12) {
            // The answer is lost, and the write may be executed up to six seconds later.
            0 => (executes, answered) = (now + ms(rng.random_range(0..6000)), None),
            // The store is slow to execute and to answer.
            1 | 2 => {
                let executed = rng.random_range(4..450);
                executes = now + ms(executed);
                answered = Some(executes + ms(rng.random_range(4..450)));
            }
            _ => {}
        }
    }
    InFlightWrite { host: index, process: host.process, write, executes, answered, outcome: None }
}

/// The maximum number of arrivals within any second.
fn max_per_second(arrivals: &[Duration]) -> usize {
    let mut first = 0;
    let mut max = 0;
    for (index, at) in arrivals.iter().enumerate() {
        while arrivals[first] + ms(1000) <= *at {
            first += 1;
        }
        max = max.max(index + 1 - first);
    }
    max
}

/// Guards against exceeding the limit of a cold target over all hosts together, while hosts are
/// restarted, suspended and partitioned, and the store is slow, loses answers or executes writes
/// late.
#[test]
fn all_hosts_together_stay_within_the_limit() {
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
            let max = max_per_second(&zone.arrivals);
            let Case { hosts, rate, .. } = case;
            assert!(max <= limit as usize, "{hosts} hosts, rate {rate}, seed {seed}: {max}");
        }
    }
}

/// Guards against two holders of one slot after a restore of the store, which loses claims that it
/// acknowledged and gives out their revisions again.
#[test]
fn a_restored_store_grants_no_slot_twice() {
    let limit = OPTIONS.limit(12.0);
    let mut requests = 0;
    for seed in 0..60 {
        let mut zone = Zone::new(8, seed);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut restore_at = NOW + ms(4000);
        for step in 0..3000 {
            let now = NOW + STEP * step;
            if now >= restore_at {
                zone.restore(now, now - ms(rng.random_range(0..4000)));
                restore_at = now + ms(rng.random_range(100..10_000));
            }
            zone.step(now, limit, true);
        }
        let max = max_per_second(&zone.arrivals);
        assert!(max <= limit as usize, "seed {seed}: {max} of {limit}");
        requests += zone.arrivals.len();
    }
    assert!(requests > 60 * 50, "slots are claimed between restores: {requests} requests");
}

/// Guards against staying within the limit only because cold targets are rarely used.
#[test]
fn most_of_the_limit_is_used_once_slots_are_claimed() {
    for hosts in [8, 200] {
        let limit = OPTIONS.limit(12.0);
        let mut zone = Zone::new(hosts, 5);
        for step in 0..1000 {
            zone.step(NOW + STEP * step, limit, false);
        }
        let first = zone.arrivals.first().map(|at| *at - NOW);
        assert!(
            first.is_some_and(|after| after < ms(2500)),
            "{hosts} hosts: first after {first:?}"
        );
        let recent = zone.arrivals.iter().filter(|at| **at >= NOW + ms(7000)).count();
        let used = recent as f64 / (3.0 * f64::from(limit));
        assert!(used > 0.9, "{hosts} hosts use {used:.2} of the limit");
    }
}
