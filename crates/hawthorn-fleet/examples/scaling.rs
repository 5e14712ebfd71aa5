//! Measures the cost per daemon of membership and configuration propagation, and their latency, for
//! several fleet sizes, on virtual time.
//!
//! `cargo run --release -p hawthorn-fleet --example scaling [SIZE...]`
//!
//! Bytes and datagrams are what a daemon sends, without UDP and IP headers. Processor time is wall
//! time spent inside the state machines of all daemons divided by daemon-seconds of virtual time.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::GroupId;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::ownership;
use hawthorn_fleet::ownership::OwnerCandidate;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use support::Simulation;
use support::ms;

const SIZES: [usize; 4] = [8, 64, 256, 1024];
/// Restarts per second in a fleet of 4,000: 18,000 a day.
const RESTARTS_PER_SECOND: f64 = 18_000.0 / 86_400.0;
const LOSS: f64 = 0.05;
const EDITS: u64 = 20;
const KILLS: usize = 5;
const GROUPS: u16 = 1_000;
const ZONE_SIZES: [usize; 5] = [2, 3, 8, 32, 160];
const BUCKETS: [u16; 3] = [64, 512, 4_096];

struct Cost {
    bytes: f64,
    datagrams: f64,
    cpu_percent: f64,
    deaths: u64,
}

fn main() {
    let requested: Vec<usize> =
        std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if requested.is_empty() { SIZES.to_vec() } else { requested };
    for hosts in ZONE_SIZES {
        print_balance(hosts);
    }
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let zones = (size / 128).clamp(3, 25);
    println!("{size} daemons in {zones} zones");
    let mut sim = Simulation::with(size as u64, size, zones);
    sim.write_store(edition(1));
    let converged = sim.run_until(ms(120_000), complete);
    println!("  all converged and ready after {}", seconds(converged));
    sim.run_for(ms(20_000));
    print_cost("20 s after the start", &cost(&mut sim, ms(20_000), None));
    let memory = sim.daemons[0].table.memory_bytes();
    println!("  memory: {memory} bytes, {} a member", memory / size);
    let every = Duration::from_secs_f64(1.0 / RESTARTS_PER_SECOND);
    print_cost("18,000 restarts a day", &cost(&mut sim, ms(60_000), Some(every)));
    sim.run_for(ms(10_000));
    sim.loss = LOSS;
    print_cost("5 % lost", &cost(&mut sim, ms(20_000), None));
    measure_propagation(&mut sim);
    sim.loss = 0.0;
    sim.run_for(ms(10_000));
    measure_kills(&mut sim);
    print_cost("at rest, long after the start", &cost(&mut sim, ms(20_000), None));
    print_movement(size / zones);
}

fn complete(sim: &Simulation) -> bool {
    let count = sim.daemons.len();
    sim.daemons
        .iter()
        .all(|daemon| daemon.table.records().filter(|record| record.may_own()).count() == count)
}

fn edition(revision: u64) -> ConfigEdition {
    ConfigEdition { revision: ConfigRevision(revision), edit: revision }
}

/// Runs for `time` and restarts a daemon at each interval.
fn cost(sim: &mut Simulation, time: Duration, every: Option<Duration>) -> Cost {
    let before = sim.sent;
    let busy_time = sim.busy_time;
    let dead = deaths(sim);
    let end = sim.now + time;
    let mut next = 0;
    while sim.now < end {
        let step = every.unwrap_or(time).min(end - sim.now);
        sim.run_for(step);
        if every.is_some() {
            next = (next + 7) % sim.daemons.len();
            // A planned restart: the daemon announces that it leaves before it stops.
            let now = sim.now;
            sim.act(next, |daemon, now| daemon.table.depart(now));
            sim.restart(next, now.as_millis() as u64);
        }
    }
    let daemon_seconds = sim.daemons.len() as f64 * time.as_secs_f64();
    Cost {
        bytes: (sim.sent.1 - before.1) as f64 / daemon_seconds,
        datagrams: (sim.sent.0 - before.0) as f64 / daemon_seconds,
        cpu_percent: 100.0 * (sim.busy_time - busy_time).as_secs_f64() / daemon_seconds,
        deaths: deaths(sim).saturating_sub(dead),
    }
}

fn deaths(sim: &Simulation) -> u64 {
    sim.daemons.iter().map(|daemon| daemon.table.counters().deaths).sum()
}

fn print_cost(name: &str, cost: &Cost) {
    println!(
        "  {name}: {:.0} bytes/s, {:.1} datagrams/s, {:.3} % of a core, {} deaths confirmed",
        cost.bytes, cost.datagrams, cost.cpu_percent, cost.deaths
    );
}

/// Writes editions to the store and records when each is in force everywhere.
fn measure_propagation(sim: &mut Simulation) {
    let mut times = Vec::new();
    let calls = sim.store.calls;
    for revision in 2..2 + EDITS {
        let start = sim.now;
        sim.write_store(edition(revision));
        sim.run_for(ms(9_000));
        for daemon in &sim.daemons {
            let adopted = daemon.adopted.iter().find(|entry| entry.1 == edition(revision));
            times.push(adopted.map_or(Duration::MAX, |entry| entry.0 - start));
        }
    }
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "  propagation at 5 % lost: median {} ms, p99.9 {} ms, last {} ms; {} store calls in {} s",
        at(0.5).as_millis(),
        at(0.999).as_millis(),
        at(1.0).as_millis(),
        sim.store.calls - calls,
        9 * EDITS
    );
}

fn measure_kills(sim: &mut Simulation) {
    let mut first = Vec::new();
    let mut zone = Vec::new();
    let mut fleet = Vec::new();
    for kill in 0..KILLS {
        let victim = sim.daemons.len() - 1 - kill;
        let id = MemberId::of(&sim.daemons[victim].name);
        let start = sim.now;
        sim.kill(victim);
        sim.run_for(ms(20_000));
        let mut same_zone = Vec::new();
        let mut all = Vec::new();
        for daemon in sim.daemons.iter().filter(|daemon| daemon.up) {
            let down = daemon.events.iter().find(|(at, event)| {
                *at > start
                    && matches!(event, FleetAction::MemberDown(key)
                        if daemon.table.record(*key).is_some_and(|record| record.id == id))
            });
            let time = down.map_or(Duration::MAX, |entry| entry.0 - start);
            all.push(time);
            if daemon.zone == sim.daemons[victim].zone {
                same_zone.push(time);
            }
        }
        first.extend(same_zone.iter().min());
        zone.extend(same_zone.iter().max());
        fleet.extend(all.iter().max());
    }
    println!(
        "  a kill is known after: first of its zone {}, whole zone {}, whole fleet {} (median of {KILLS})",
        median(first),
        median(zone),
        median(fleet)
    );
}

fn median(mut times: Vec<Duration>) -> String {
    times.sort();
    seconds(times.get(times.len() / 2).copied().filter(|&time| time < Duration::MAX))
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| format!("{:.2} s", time.as_secs_f64()))
}

fn candidates(hosts: usize) -> Vec<OwnerCandidate> {
    (0..hosts)
        .map(|index| OwnerCandidate {
            key: HostKey::from(index),
            id: MemberId::of(&format!("host-{index:04}")),
        })
        .collect()
}

/// The number of `buckets` that each host owns, and the time to compute all scores.
fn owned(hosts: usize, buckets: u16) -> (Vec<usize>, Duration) {
    let candidates = candidates(hosts);
    let mut counts = vec![0; hosts];
    let started = Instant::now();
    for bucket in 0..buckets {
        let group = GroupId::new("zone-0", bucket);
        if let Some(owner) = ownership::owner(group, candidates.iter().copied()) {
            counts[owner.index()] += 1;
        }
    }
    (counts, started.elapsed())
}

/// Prints the most buckets of a host relative to the mean, hosts without a bucket, and the time to
/// score all buckets once.
fn print_balance(hosts: usize) {
    for buckets in BUCKETS {
        let (counts, time) = owned(hosts, buckets);
        let max_owned = counts.iter().max().copied().unwrap_or_default();
        let none = counts.iter().filter(|&&count| count == 0).count();
        let share = (max_owned * hosts) as f64 / f64::from(buckets);
        println!(
            "{hosts} hosts, {buckets} buckets: fullest {share:.2} of the mean, {none} own none, {} us",
            time.as_micros()
        );
    }
}

/// Prints the share of groups that change owner when one host joins `hosts` others.
fn print_movement(hosts: usize) {
    let candidates = candidates(hosts + 1);
    let moved = (0..GROUPS)
        .filter(|&bucket| {
            let group = GroupId::new("zone-0", bucket);
            let before = ownership::owner(group, candidates[..hosts].iter().copied());
            before != ownership::owner(group, candidates.iter().copied())
        })
        .count();
    println!(
        "  a join moves {moved} of {GROUPS} groups; the least possible is {:.0}",
        f64::from(GROUPS) / (hosts + 1) as f64
    );
}
