//! Fairness between callers and urgencies, by what each caller gets.

mod support;

use std::error::Error;

use hawthorn_decide::owner;
use hawthorn_types::caller::UrgencyClass;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::World;

const SECONDS: u64 = 6;

fn run(loads: &[CallerLoad]) -> World {
    let mut world = World::new(DAR_PORT, Policy::Owners(owner::Options::default()), 3);
    world.add_load(loads);
    world.run((SECONDS + 20) * SECOND);
    world
}

fn load(caller: u32, share: f64) -> CallerLoad {
    CallerLoad {
        until: SECONDS * SECOND,
        deadline: 500 * MILLI,
        ..CallerLoad::new(caller, DAR_PORT.capacity() * share, &DAR_PORT)
    }
}

/// Slot time of a caller's queries that ended while the load lasted, in units
/// of service times.
fn served(world: &World, caller: u32) -> f64 {
    let within = world.queries.iter().filter(|query| query.end <= SECONDS * SECOND);
    let mine = within.filter(|query| query.caller == caller);
    mine.map(|query| f64::from(query.answered) * query.weight).sum()
}

struct NeighbourCase {
    name: &'static str,
    neighbour: CallerLoad,
    /// Most p99 of the modest caller over its p99 alone.
    delay: f64,
}

/// One member sends far more than its share, or work that takes far longer.
/// Served in order of arrival, every other member would wait behind it and
/// their screenings would come too late. Here only the member itself waits.
#[test]
fn a_member_delays_only_itself() -> Result<(), Box<dyn Error>> {
    let modest = load(0, 0.1);
    let alone = run(&[modest]);
    let flood = load(1, 4.0);
    let cases = [
        NeighbourCase { name: "flood", neighbour: flood, delay: 3.0 },
        NeighbourCase {
            name: "flood in bursts",
            neighbour: CallerLoad {
                rate: flood.rate * 2.0,
                from: SECOND,
                until: 2 * SECOND,
                ..flood
            },
            delay: 3.0,
        },
        NeighbourCase {
            name: "long work",
            neighbour: CallerLoad { weight: 20.0, deadline: 5 * SECOND, ..load(1, 0.1) },
            delay: 4.0,
        },
        NeighbourCase {
            name: "flood on five shards",
            neighbour: CallerLoad { breadth: 5, ..flood },
            delay: 3.0,
        },
    ];
    for case in cases {
        let world = run(&[modest, case.neighbour]);
        let before = alone.quantile(Some(0), 0.99) as f64;
        let after = world.quantile(Some(0), 0.99) as f64;
        let all = world.queries.iter().filter(|query| query.caller == 0).count();
        println!("{}: p99 {before} -> {after}", case.name);
        assert!(after / before <= case.delay, "{}: {before} -> {after}", case.name);
        assert_eq!(world.good(Some(0)), all, "{}: every one is answered whole", case.name);
        assert_eq!(world.overfilled, 0, "{}", case.name);
    }
    Ok(())
}

struct ShareCase {
    name: &'static str,
    loads: Vec<CallerLoad>,
}

/// Members that all ask for more than there is get equal slot time, whether
/// they send many short pieces or fewer long ones.
#[test]
fn slot_time_is_shared_equally() -> Result<(), Box<dyn Error>> {
    let heavy = |caller, weight: f64, share: f64| CallerLoad {
        weight,
        deadline: SECOND,
        ..load(caller, share / weight)
    };
    let cases = [
        ShareCase { name: "equal", loads: vec![heavy(0, 1.0, 1.0), heavy(1, 1.0, 1.0)] },
        ShareCase {
            name: "one asks for more",
            loads: vec![heavy(0, 1.0, 1.0), heavy(1, 1.0, 4.0)],
        },
        ShareCase {
            name: "three lengths",
            loads: vec![heavy(0, 1.0, 1.5), heavy(1, 2.0, 1.5), heavy(2, 3.0, 1.5)],
        },
    ];
    for case in cases {
        let world = run(&case.loads);
        let each: Vec<f64> = case.loads.iter().map(|load| served(&world, load.caller)).collect();
        let least = each.iter().copied().fold(f64::INFINITY, f64::min);
        let most = each.iter().copied().fold(0.0, f64::max);
        println!("{}: {each:?}", case.name);
        assert!(most / least <= 1.15, "{}: {each:?}", case.name);
    }
    Ok(())
}

/// Stem checks alone would take every slot for minutes. Invoice lookups may
/// wait but must not starve or be lost: they get their eighth of the slot time,
/// and every query either hears a refusal at once or gets its answer.
#[test]
fn normal_work_keeps_its_share() -> Result<(), Box<dyn Error>> {
    let urgent = load(0, 2.0);
    let normal = CallerLoad { urgency: UrgencyClass::Normal, deadline: 5 * SECOND, ..load(1, 0.5) };
    let world = run(&[urgent, normal]);
    let whole = DAR_PORT.capacity() * SECONDS as f64 * f64::from(DAR_PORT.shards);
    let share = served(&world, 1) / whole;
    println!("normal share {share:.3}, urgent {:.3}", served(&world, 0) / whole);
    assert!(share >= 0.9 * 0.125, "normal work got {share}");
    assert!(served(&world, 0) / whole >= 0.75, "urgent work comes first");
    let mine = world.queries.iter().filter(|query| query.caller == 1 && query.refused.is_none());
    for query in mine {
        assert_eq!(query.open, 0, "every piece has its outcome");
        assert!(query.is_whole(), "what was taken in is answered");
    }
    Ok(())
}
