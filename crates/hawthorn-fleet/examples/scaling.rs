//! Measures what membership and the spread of configuration cost one daemon,
//! and how fast they are, at several sizes of the fleet, on virtual time.
//!
//! `cargo run --release -p hawthorn-fleet --example slopes [SIZE...]`
//!
//! Bytes and datagrams are what a daemon sends, without UDP and IP headers.
//! Processor time is wall time spent inside the state machines of all daemons
//! over daemon-seconds of virtual time.

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
use support::Switch;
use support::ms;

const SIZES: [usize; 4] = [8, 64, 256, 1024];
/// Restarts a second in a fleet of 4,000: 18,000 a day.
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
    let asked: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if asked.is_empty() { SIZES.to_vec() } else { asked };
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
    let mut switch = Switch::with(size as u64, size, zones);
    switch.write_store(edition(1));
    let met = switch.run_until(ms(120_000), complete);
    println!("  all met and ready after {}", seconds(met));
    switch.run_for(ms(20_000));
    print_cost("20 s after the start", &cost(&mut switch, ms(20_000), None));
    let memory = switch.daemons[0].table.memory_bytes();
    println!("  memory: {memory} bytes, {} a member", memory / size);
    let every = Duration::from_secs_f64(1.0 / RESTARTS_PER_SECOND);
    print_cost("18,000 restarts a day", &cost(&mut switch, ms(60_000), Some(every)));
    switch.run_for(ms(10_000));
    switch.loss = LOSS;
    print_cost("5 % lost", &cost(&mut switch, ms(20_000), None));
    measure_propagation(&mut switch);
    switch.loss = 0.0;
    switch.run_for(ms(10_000));
    measure_kills(&mut switch);
    print_cost("at rest, long after the start", &cost(&mut switch, ms(20_000), None));
    print_movement(size / zones);
}

fn complete(switch: &Switch) -> bool {
    let count = switch.daemons.len();
    switch
        .daemons
        .iter()
        .all(|daemon| daemon.table.records().filter(|record| record.may_own()).count() == count)
}

fn edition(revision: u64) -> ConfigEdition {
    ConfigEdition { revision: ConfigRevision(revision), edit: revision }
}

/// Runs for `time`, restarting a daemon every so often.
fn cost(switch: &mut Switch, time: Duration, every: Option<Duration>) -> Cost {
    let before = switch.sent;
    let work = switch.work;
    let dead = deaths(switch);
    let end = switch.now + time;
    let mut next = 0;
    while switch.now < end {
        let step = every.unwrap_or(time).min(end - switch.now);
        switch.run_for(step);
        if every.is_some() {
            next = (next + 7) % switch.daemons.len();
            // Planned: it says that it leaves before it stops.
            let now = switch.now;
            switch.act(next, |daemon, now| daemon.table.depart(now));
            switch.restart(next, now.as_millis() as u64);
        }
    }
    let daemon_seconds = switch.daemons.len() as f64 * time.as_secs_f64();
    Cost {
        bytes: (switch.sent.1 - before.1) as f64 / daemon_seconds,
        datagrams: (switch.sent.0 - before.0) as f64 / daemon_seconds,
        cpu_percent: 100.0 * (switch.work - work).as_secs_f64() / daemon_seconds,
        deaths: deaths(switch).saturating_sub(dead),
    }
}

fn deaths(switch: &Switch) -> u64 {
    switch.daemons.iter().map(|daemon| daemon.table.counters().deaths).sum()
}

fn print_cost(name: &str, cost: &Cost) {
    println!(
        "  {name}: {:.0} bytes/s, {:.1} datagrams/s, {:.3} % of a core, {} deaths confirmed",
        cost.bytes, cost.datagrams, cost.cpu_percent, cost.deaths
    );
}

/// Writes editions to the store and notes when each is in force everywhere.
fn measure_propagation(switch: &mut Switch) {
    let mut times = Vec::new();
    let calls = switch.store.calls;
    for revision in 2..2 + EDITS {
        let start = switch.now;
        switch.write_store(edition(revision));
        switch.run_for(ms(9_000));
        for daemon in &switch.daemons {
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
        switch.store.calls - calls,
        9 * EDITS
    );
}

fn measure_kills(switch: &mut Switch) {
    let mut first = Vec::new();
    let mut zone = Vec::new();
    let mut fleet = Vec::new();
    for kill in 0..KILLS {
        let victim = switch.daemons.len() - 1 - kill;
        let id = MemberId::of(&switch.daemons[victim].name);
        let start = switch.now;
        switch.kill(victim);
        switch.run_for(ms(20_000));
        let mut near = Vec::new();
        let mut all = Vec::new();
        for daemon in switch.daemons.iter().filter(|daemon| daemon.up) {
            let down = daemon.events.iter().find(|(at, event)| {
                *at > start
                    && matches!(event, FleetAction::MemberDown(key)
                        if daemon.table.record(*key).is_some_and(|record| record.id == id))
            });
            let time = down.map_or(Duration::MAX, |entry| entry.0 - start);
            all.push(time);
            if daemon.zone == switch.daemons[victim].zone {
                near.push(time);
            }
        }
        first.extend(near.iter().min());
        zone.extend(near.iter().max());
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

/// How many of `buckets` each host owns, and how long all scores took.
fn owned(hosts: usize, buckets: u16) -> (Vec<usize>, Duration) {
    let candidates = candidates(hosts);
    let mut counts = vec![0; hosts];
    let begun = Instant::now();
    for bucket in 0..buckets {
        let group = GroupId::new("zone-0", bucket);
        if let Some(owner) = ownership::owner(group, candidates.iter().copied()) {
            counts[owner.index()] += 1;
        }
    }
    (counts, begun.elapsed())
}

/// The fullest host over the mean, hosts without a bucket, and the time that
/// one look at all buckets takes.
fn print_balance(hosts: usize) {
    for buckets in BUCKETS {
        let (counts, time) = owned(hosts, buckets);
        let most = counts.iter().max().copied().unwrap_or_default();
        let none = counts.iter().filter(|&&count| count == 0).count();
        let share = (most * hosts) as f64 / f64::from(buckets);
        println!(
            "{hosts} hosts, {buckets} buckets: fullest {share:.2} of the mean, {none} own none, {} us",
            time.as_micros()
        );
    }
}

/// The share of groups that change owner when one host joins `hosts` others.
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
