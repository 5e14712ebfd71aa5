//! Fairness between callers and urgencies, by what each caller gets.

mod support;

use std::error::Error;

use smallvec::smallvec;

use hawthorn_decide::AttemptResult;
use hawthorn_decide::OwnerState;
use hawthorn_decide::PieceKey;
use hawthorn_decide::QueuedPiece;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::TickTime;
use hawthorn_decide::owner;
use hawthorn_types::CallerKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::WantedState;
use hawthorn_types::caller::UrgencyClass;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::World;
use support::model::Model;

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

struct BoundCase {
    name: &'static str,
    /// Service time of each caller's pieces, in microseconds.
    services: [u64; 2],
}

/// Two members always have work waiting. However long it lasts, neither is
/// ahead of the other by more than the slots can hold of the longest work; a
/// drift would mean that one member's screenings are served first.
#[test]
fn neither_of_two_gets_ahead() -> Result<(), Box<dyn Error>> {
    let cases = [
        BoundCase { name: "alike", services: [5 * MILLI, 5 * MILLI] },
        BoundCase { name: "long and short", services: [MILLI, 20 * MILLI] },
        BoundCase { name: "longer than ever guessed", services: [MILLI, 300 * MILLI] },
    ];
    for case in cases {
        let worst = widest_lead(case.services)?;
        let longest = case.services[0].max(case.services[1]);
        let bound = u64::from(BOUND_SLOTS) * longest;
        println!("{}: {worst} of {bound} microseconds", case.name);
        assert!(worst <= bound, "{}: ahead by {worst}, bound {bound}", case.name);
    }
    Ok(())
}

const BOUND_SLOTS: u16 = 4;
/// Pieces that each caller keeps waiting.
const BACKLOG: usize = 8;
const STEP: u64 = 500;

/// The most slot time by which one caller was ever ahead of the other.
fn widest_lead(services: [u64; 2]) -> Result<u64, String> {
    let mut owner = OwnerState::new(owner::Options::default(), 1);
    let record = TargetRecord {
        key: TargetKey(0),
        slots: BOUND_SLOTS,
        wanted: WantedState::Serve,
        shards: smallvec![ShardKey(0)],
    };
    owner.set_targets(TickTime(0), &[record]);
    let mut model = Model::new(owner, BOUND_SLOTS);
    let mut taken = [0u64; 2];
    let mut number = 0;
    let mut worst = 0;
    while model.now.0 < 20 * SECOND {
        for caller in 0..2 {
            while waiting(&model, caller) < BACKLOG {
                number += 1;
                model.submit(endless(number, caller))?;
            }
        }
        model.advance(STEP)?;
        for index in model.open() {
            let caller = caller_of(&model, index);
            taken[caller as usize] += STEP;
            if model.now.0 - model.attempts[index].sent_at.0 >= services[caller as usize] {
                model.complete(index, AttemptResult::Answered)?;
            }
        }
        model.forget_ended();
        worst = worst.max(taken[0].abs_diff(taken[1]));
    }
    Ok(worst)
}

fn endless(number: u64, caller: u32) -> QueuedPiece {
    QueuedPiece {
        piece: PieceKey(number),
        caller: CallerKey(caller),
        urgency: UrgencyClass::Urgent,
        shard: ShardKey(0),
        version: IndexVersion(1),
        deadline: TickTime(1_000 * SECOND),
        expected_cost: None,
        at_most_once: true,
        relayable: false,
    }
}

fn caller_of(model: &Model, index: usize) -> u32 {
    model.pieces[&model.attempts[index].piece].0.caller.0
}

/// Pieces of the caller that have not been sent.
fn waiting(model: &Model, caller: u32) -> usize {
    let mine = model.pieces.values().filter(|(ask, end)| ask.caller.0 == caller && end.is_none());
    let open = model.open();
    mine.count() - open.iter().filter(|index| caller_of(model, **index) == caller).count()
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
