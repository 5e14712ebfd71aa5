//! Failing, draining and cold targets, measured by the effect on callers.

mod support;

use std::error::Error;

use hawthorn_decide::DrainSource;
use hawthorn_decide::Observation;
use hawthorn_decide::owner;
use hawthorn_decide::shift::Phase;
use hawthorn_types::TargetKey;
use support::Behaviour;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::Simulation;

const SECONDS: u64 = 10;
/// The target with the fault; `OTHER` is the other replica of its shard.
const FAULTY: u32 = 3;
const OTHER: u32 = FAULTY + DAR_PORT.shards;

fn sim(load: f64) -> Simulation {
    let mut sim = Simulation::new(DAR_PORT, Policy::Owners(owner::Options::default()), 5);
    let rate = DAR_PORT.capacity() * load;
    sim.add_load(&[CallerLoad { until: SECONDS * SECOND, ..CallerLoad::new(0, rate, &DAR_PORT) }]);
    sim
}

/// A quantile of the latency of queries that started within the span.
fn quantile(sim: &Simulation, from: u64, until: u64, share: f64) -> u64 {
    let within = sim.queries.iter().filter(|query| query.start >= from && query.start < until);
    let mut times: Vec<u64> = within.map(|query| query.latency()).collect();
    times.sort_unstable();
    times[((times.len() as f64 * share) as usize).min(times.len() - 1)]
}

fn received(sim: &Simulation, target: u32, from: u64, until: u64) -> usize {
    sim.received(target).iter().filter(|at| **at >= from && **at < until).count()
}

struct FaultCase {
    name: &'static str,
    behaviour: Behaviour,
    /// Maximum ratio of the p99 from 3 s on to the p99 without the fault.
    max_slowdown: f64,
    /// Maximum number of requests that the target gets from 3 s to 10 s.
    max_requests: usize,
}

/// Guards against a target that hangs or slows down while its state report still says ready, so
/// that every query becomes as slow as the target or misses its shard. The owner must eject it on
/// the evidence of its own attempts.
#[test]
fn a_failing_target_is_ejected() -> Result<(), Box<dyn Error>> {
    let healthy = {
        let mut sim = sim(0.3);
        sim.run((SECONDS + 2) * SECOND);
        quantile(&sim, 3 * SECOND, SECONDS * SECOND, 0.99) as f64
    };
    let cases = [
        FaultCase {
            name: "answers nothing",
            behaviour: Behaviour { hangs_from: 2 * SECOND, ..Behaviour::default() },
            max_slowdown: 2.0,
            max_requests: 40,
        },
        FaultCase {
            name: "twenty times slower",
            behaviour: Behaviour { slowdown: 20.0, ..Behaviour::default() },
            max_slowdown: 2.0,
            max_requests: 40,
        },
        FaultCase {
            name: "three times slower",
            behaviour: Behaviour { slowdown: 3.0, ..Behaviour::default() },
            max_slowdown: 2.0,
            max_requests: 400,
        },
    ];
    for case in cases {
        let mut sim = sim(0.3);
        sim.behaviours[FAULTY as usize] = case.behaviour;
        sim.run((SECONDS + 2) * SECOND);
        let after = quantile(&sim, 3 * SECOND, SECONDS * SECOND, 0.99) as f64;
        let requests = received(&sim, FAULTY, 3 * SECOND, SECONDS * SECOND);
        println!(
            "{}: p99 {healthy} -> {after}, requests {requests}, extra {:.4}",
            case.name,
            sim.extra_ratio()
        );
        assert!(after / healthy <= case.max_slowdown, "{}: {healthy} -> {after}", case.name);
        assert!(requests <= case.max_requests, "{}: {requests} requests", case.name);
        assert_eq!(sim.coverage(), 1.0, "{}", case.name);
        assert!(sim.extra_ratio() <= 0.05, "{}: extra {}", case.name, sim.extra_ratio());
    }
    Ok(())
}

/// Guards against lost capacity when an ejected target has recovered but stays unused. A target
/// that hangs for two seconds must return, by probe and ramp.
#[test]
fn an_ejected_target_returns() -> Result<(), Box<dyn Error>> {
    let mut sim = sim(0.5);
    sim.behaviours[FAULTY as usize] =
        Behaviour { hangs_from: 2 * SECOND, hangs_until: 4 * SECOND, ..Behaviour::default() };
    sim.run((SECONDS + 2) * SECOND);
    assert!(sim.fronts[0].counters().ejections >= 1);
    assert_eq!(sim.fronts[0].phase(TargetKey(FAULTY)), Some(Phase::Serving));
    let returned = received(&sim, FAULTY, 8 * SECOND, SECONDS * SECOND);
    let other = received(&sim, OTHER, 8 * SECOND, SECONDS * SECOND);
    assert!(returned * 3 >= other, "{returned} requests, the other replica {other}");
    assert_eq!(sim.coverage(), 1.0);
    Ok(())
}

/// When the owner's own network fails, no target seems to answer. If all were ejected, nothing
/// would be served even after recovery. Half of each shard's replicas must stay in service.
#[test]
fn at_most_half_of_a_shard_is_ejected() -> Result<(), Box<dyn Error>> {
    let mut sim = sim(0.2);
    for target in 0..DAR_PORT.targets() {
        sim.behaviours[target as usize] =
            Behaviour { hangs_from: 2 * SECOND, hangs_until: 5 * SECOND, ..Behaviour::default() };
    }
    sim.run(5 * SECOND);
    let owner = &sim.fronts[0];
    for shard in 0..DAR_PORT.shards {
        let replicas = [shard, shard + DAR_PORT.shards];
        let ejected =
            |target: &&u32| matches!(owner.phase(TargetKey(**target)), Some(Phase::Ejected { .. }));
        assert!(replicas.iter().filter(ejected).count() <= 1, "shard {shard}");
    }
    assert!(owner.counters().ejections_skipped > 0);
    sim.run((SECONDS + 2) * SECOND);
    let recovered = sim.queries.iter().filter(|query| query.start >= 8 * SECOND);
    assert!(recovered.clone().count() > 0 && recovered.clone().all(|query| query.is_complete()));
    Ok(())
}

struct DrainCase {
    name: &'static str,
    signal: Option<DrainSource>,
    drains: bool,
    /// Maximum number of requests that the target gets after the drain signal.
    max_requests: usize,
}

/// Guards against work that is sent to a target about to stop, and is aborted or rejected. The
/// state report may still say ready, and a rejection may be the first drain signal; no query may
/// miss a shard either way.
#[test]
fn a_draining_target_gets_no_new_work() -> Result<(), Box<dyn Error>> {
    let at = 3 * SECOND;
    let signals = [DrainSource::Platform, DrainSource::Target, DrainSource::Operators];
    let mut cases: Vec<DrainCase> = signals
        .into_iter()
        .map(|signal| DrainCase {
            name: "signal",
            signal: Some(signal),
            drains: false,
            max_requests: 0,
        })
        .collect();
    cases.push(DrainCase { name: "rejection", signal: None, drains: true, max_requests: 3 });
    for case in cases {
        let mut sim = sim(0.4);
        if case.drains {
            sim.behaviours[FAULTY as usize].drains_from = at;
        }
        if let Some(signal) = case.signal {
            sim.observe_at(at, FAULTY, Observation::DrainStarted(signal));
        }
        sim.run((SECONDS + 2) * SECOND);
        let requests = received(&sim, FAULTY, at + DAR_PORT.latency + 1, u64::MAX);
        assert!(
            requests <= case.max_requests,
            "{} {:?}: {requests} requests",
            case.name,
            case.signal
        );
        assert_eq!(sim.coverage(), 1.0, "{} {:?}", case.name, case.signal);
    }
    Ok(())
}

/// Guards against full traffic to a target that is still loading and rejects it as cold. The target
/// must get one request at a time, and its full share once it answers.
#[test]
fn a_cold_target_ramps_up() -> Result<(), Box<dyn Error>> {
    let mut sim = sim(0.5);
    sim.behaviours[FAULTY as usize].cold_until = 3 * SECOND;
    sim.run((SECONDS + 2) * SECOND);
    let cold = received(&sim, FAULTY, 0, 3 * SECOND);
    let first = received(&sim, FAULTY, 3 * SECOND, 3 * SECOND + 200 * MILLI);
    let other = received(&sim, OTHER, 3 * SECOND, 3 * SECOND + 200 * MILLI);
    let full = received(&sim, FAULTY, 5 * SECOND, SECONDS * SECOND);
    let full_other = received(&sim, OTHER, 5 * SECOND, SECONDS * SECOND);
    println!("cold {cold}, first {first} of {other}, then {full} of {full_other}");
    assert!(cold <= 2 + 30, "{cold} requests while cold, expected one in 100 ms");
    assert!(first * 2 <= other, "{first} requests at first, the other replica {other}");
    assert!(full * 3 >= full_other * 2, "{full} requests later, the other replica {full_other}");
    assert_eq!(sim.coverage(), 1.0);
    Ok(())
}
