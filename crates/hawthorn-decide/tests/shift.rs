//! Targets that come, go and fail, by the outcome for callers.

mod support;

use std::error::Error;

use hawthorn_decide::LeavingSource;
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
use support::World;

const SECONDS: u64 = 10;
/// The target that misbehaves; the other replica of its shard is `TWIN`.
const ODD: u32 = 3;
const TWIN: u32 = ODD + DAR_PORT.shards;

fn world(load: f64) -> World {
    let mut world = World::new(DAR_PORT, Policy::Owners(owner::Options::default()), 5);
    let rate = DAR_PORT.capacity() * load;
    world
        .add_load(&[CallerLoad { until: SECONDS * SECOND, ..CallerLoad::new(0, rate, &DAR_PORT) }]);
    world
}

/// A quantile of the latency of queries that started within the span.
fn quantile(world: &World, from: u64, until: u64, share: f64) -> u64 {
    let within = world.queries.iter().filter(|query| query.start >= from && query.start < until);
    let mut times: Vec<u64> = within.map(|query| query.latency()).collect();
    times.sort_unstable();
    times[((times.len() as f64 * share) as usize).min(times.len() - 1)]
}

fn received(world: &World, target: u32, from: u64, until: u64) -> usize {
    world.received(target).iter().filter(|at| **at >= from && **at < until).count()
}

struct FaultCase {
    name: &'static str,
    behaviour: Behaviour,
    /// Most p99 from 3 s on over p99 without the fault.
    delay: f64,
    /// Most requests it gets from 3 s to 10 s.
    work: usize,
}

/// One target goes wrong while its state page goes on saying ready. Callers
/// would see every query as slow as it, or lose its shard. The owner sees its
/// own attempts go unanswered or lag, and takes the target out by itself.
#[test]
fn a_target_that_goes_wrong_is_ejected() -> Result<(), Box<dyn Error>> {
    let calm = {
        let mut world = world(0.3);
        world.run((SECONDS + 2) * SECOND);
        quantile(&world, 3 * SECOND, SECONDS * SECOND, 0.99) as f64
    };
    let cases = [
        FaultCase {
            name: "answers nothing",
            behaviour: Behaviour { hangs_from: 2 * SECOND, ..Behaviour::default() },
            delay: 2.0,
            work: 40,
        },
        FaultCase {
            name: "twenty times slower",
            behaviour: Behaviour { speed: 20.0, ..Behaviour::default() },
            delay: 2.0,
            work: 40,
        },
        FaultCase {
            name: "three times slower",
            behaviour: Behaviour { speed: 3.0, ..Behaviour::default() },
            delay: 2.0,
            work: 400,
        },
    ];
    for case in cases {
        let mut world = world(0.3);
        world.behaviours[ODD as usize] = case.behaviour;
        world.run((SECONDS + 2) * SECOND);
        let after = quantile(&world, 3 * SECOND, SECONDS * SECOND, 0.99) as f64;
        let work = received(&world, ODD, 3 * SECOND, SECONDS * SECOND);
        println!("{}: p99 {calm} -> {after}, work {work}, extra {:.4}", case.name, world.extra());
        assert!(after / calm <= case.delay, "{}: {calm} -> {after}", case.name);
        assert!(work <= case.work, "{}: {work} requests", case.name);
        assert_eq!(world.coverage(), 1.0, "{}", case.name);
        assert!(world.extra() <= 0.05, "{}: extra {}", case.name, world.extra());
    }
    Ok(())
}

/// A target hangs for two seconds and then works again. Left out for good it
/// would be capacity lost; sent full work at once, its next hang would cost
/// callers again. It comes back by probe and ramp.
#[test]
fn an_ejected_target_returns() -> Result<(), Box<dyn Error>> {
    let mut world = world(0.5);
    world.behaviours[ODD as usize] =
        Behaviour { hangs_from: 2 * SECOND, hangs_until: 4 * SECOND, ..Behaviour::default() };
    world.run((SECONDS + 2) * SECOND);
    assert!(world.fronts[0].counters().ejections >= 1);
    assert_eq!(world.fronts[0].phase(TargetKey(ODD)), Some(Phase::Serving));
    let back = received(&world, ODD, 8 * SECOND, SECONDS * SECOND);
    let twin = received(&world, TWIN, 8 * SECOND, SECONDS * SECOND);
    assert!(back * 3 >= twin, "{back} requests, its twin {twin}");
    assert_eq!(world.coverage(), 1.0);
    Ok(())
}

/// The owner's own network fails, so every target seems to answer nothing. All
/// ejected, nothing would be served even after it heals. Half of each shard's
/// replicas stay in service.
#[test]
fn at_most_half_of_a_shard_is_ejected() -> Result<(), Box<dyn Error>> {
    let mut world = world(0.2);
    for target in 0..DAR_PORT.targets() {
        world.behaviours[target as usize] =
            Behaviour { hangs_from: 2 * SECOND, hangs_until: 5 * SECOND, ..Behaviour::default() };
    }
    world.run(5 * SECOND);
    let owner = &world.fronts[0];
    for shard in 0..DAR_PORT.shards {
        let twins = [shard, shard + DAR_PORT.shards];
        let ejected =
            |target: &&u32| matches!(owner.phase(TargetKey(**target)), Some(Phase::Ejected { .. }));
        assert!(twins.iter().filter(ejected).count() <= 1, "shard {shard}");
    }
    assert!(owner.counters().ejections_spared > 0);
    world.run((SECONDS + 2) * SECOND);
    let late = world.queries.iter().filter(|query| query.start >= 8 * SECOND);
    assert!(late.clone().count() > 0 && late.clone().all(|query| query.is_whole()));
    Ok(())
}

struct LeavingCase {
    name: &'static str,
    sign: Option<LeavingSource>,
    drains: bool,
    /// Most requests that come to it after the sign.
    work: usize,
}

/// A host is about to be stopped. Work sent to it after the first sign would be
/// cut off or refused. Its state page still says ready, or its own refusal is
/// the first sign there is; either way no query loses a shard.
#[test]
fn a_leaving_target_gets_nothing_new() -> Result<(), Box<dyn Error>> {
    let at = 3 * SECOND;
    let signs = [LeavingSource::Platform, LeavingSource::Target, LeavingSource::Operators];
    let mut cases: Vec<LeavingCase> = signs
        .into_iter()
        .map(|sign| LeavingCase { name: "sign", sign: Some(sign), drains: false, work: 0 })
        .collect();
    cases.push(LeavingCase { name: "refusal", sign: None, drains: true, work: 3 });
    for case in cases {
        let mut world = world(0.4);
        if case.drains {
            world.behaviours[ODD as usize].drains_from = at;
        }
        if let Some(sign) = case.sign {
            world.observe_at(at, ODD, Observation::Leaving(sign));
        }
        world.run((SECONDS + 2) * SECOND);
        let work = received(&world, ODD, at + DAR_PORT.latency + 1, u64::MAX);
        assert!(work <= case.work, "{} {:?}: {work} requests", case.name, case.sign);
        assert_eq!(world.coverage(), 1.0, "{} {:?}", case.name, case.sign);
    }
    Ok(())
}

/// A target was switched on and is still loading: it refuses as cold, then
/// works. Full work at once would come back refused; it is tried one request at
/// a time and takes its part once it answers well.
#[test]
fn a_cold_target_ramps_up() -> Result<(), Box<dyn Error>> {
    let mut world = world(0.5);
    world.behaviours[ODD as usize].cold_until = 3 * SECOND;
    world.run((SECONDS + 2) * SECOND);
    let cold = received(&world, ODD, 0, 3 * SECOND);
    let first = received(&world, ODD, 3 * SECOND, 3 * SECOND + 200 * MILLI);
    let twin = received(&world, TWIN, 3 * SECOND, 3 * SECOND + 200 * MILLI);
    let full = received(&world, ODD, 5 * SECOND, SECONDS * SECOND);
    let full_twin = received(&world, TWIN, 5 * SECOND, SECONDS * SECOND);
    println!("cold {cold}, first {first} of {twin}, then {full} of {full_twin}");
    assert!(cold <= 2 + 30, "{cold} requests while cold: one in 100 ms");
    assert!(first * 2 <= twin, "{first} requests at first, its twin {twin}");
    assert!(full * 3 >= full_twin * 2, "{full} requests later, its twin {full_twin}");
    assert_eq!(world.coverage(), 1.0);
    Ok(())
}
