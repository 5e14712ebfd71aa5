//! Fairness between callers and priority classes, measured by the slot time that each gets.

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
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::caller::UrgencyClass;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::Simulation;
use support::model::Model;

const SECONDS: u64 = 6;

fn run(loads: &[CallerLoad]) -> Simulation {
    let mut sim = Simulation::new(DAR_PORT, Policy::Owners(owner::Options::default()), 3);
    sim.add_load(loads);
    sim.run((SECONDS + 20) * SECOND);
    sim
}

fn load(caller: u32, share: f64) -> CallerLoad {
    CallerLoad {
        until: SECONDS * SECOND,
        deadline: 500 * MILLI,
        ..CallerLoad::new(caller, DAR_PORT.capacity() * share, &DAR_PORT)
    }
}

/// Slot time of a caller's queries that ended during the load, in units of the service time.
fn served(sim: &Simulation, caller: u32) -> f64 {
    let within = sim.queries.iter().filter(|query| query.end <= SECONDS * SECOND);
    let mine = within.filter(|query| query.caller == caller);
    mine.map(|query| f64::from(query.answered) * query.weight).sum()
}

struct NeighbourCase {
    name: &'static str,
    neighbour: CallerLoad,
    /// Maximum ratio of the light caller's p99 to its p99 without the neighbour.
    delay: f64,
}

/// One caller sends far more than its share, or work that takes far longer. Served in order of
/// arrival, all other callers would wait behind it; only that caller itself may wait.
#[test]
fn a_heavy_caller_delays_only_itself() -> Result<(), Box<dyn Error>> {
    let light = load(0, 0.1);
    let alone = run(&[light]);
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
            neighbour: CallerLoad { shards_per_query: 5, ..flood },
            delay: 3.0,
        },
    ];
    for case in cases {
        let sim = run(&[light, case.neighbour]);
        let before = alone.quantile(Some(0), 0.99) as f64;
        let after = sim.quantile(Some(0), 0.99) as f64;
        let all = sim.queries.iter().filter(|query| query.caller == 0).count();
        println!("{}: p99 {before} -> {after}", case.name);
        assert!(after / before <= case.delay, "{}: {before} -> {after}", case.name);
        assert_eq!(sim.completed(Some(0)), all, "{}: every one is answered in full", case.name);
        assert_eq!(sim.over_limit, 0, "{}", case.name);
    }
    Ok(())
}

struct ShareCase {
    name: &'static str,
    loads: Vec<CallerLoad>,
}

/// Callers that all exceed their share get equal slot time, whether they send many short pieces or
/// fewer long ones.
#[test]
fn slot_time_is_shared_equally() -> Result<(), Box<dyn Error>> {
    let with_weight = |caller, weight: f64, share: f64| CallerLoad {
        weight,
        deadline: SECOND,
        ..load(caller, share / weight)
    };
    let cases = [
        ShareCase {
            name: "equal",
            loads: vec![with_weight(0, 1.0, 1.0), with_weight(1, 1.0, 1.0)],
        },
        ShareCase {
            name: "one asks for more",
            loads: vec![with_weight(0, 1.0, 1.0), with_weight(1, 1.0, 4.0)],
        },
        ShareCase {
            name: "three lengths",
            loads: vec![
                with_weight(0, 1.0, 1.5),
                with_weight(1, 2.0, 1.5),
                with_weight(2, 3.0, 1.5),
            ],
        },
    ];
    for case in cases {
        let sim = run(&case.loads);
        let each: Vec<f64> = case.loads.iter().map(|load| served(&sim, load.caller)).collect();
        let min = each.iter().copied().fold(f64::INFINITY, f64::min);
        let max = each.iter().copied().fold(0.0, f64::max);
        println!("{}: {each:?}", case.name);
        assert!(max / min <= 1.15, "{}: {each:?}", case.name);
    }
    Ok(())
}

struct BoundCase {
    name: &'static str,
    /// Service time of each caller's pieces, in microseconds.
    services: [u64; 2],
}

/// Of two callers that are always backlogged, neither gets ahead of the other by more slot time
/// than the slots hold of the longest work. Guards against a lead that grows over time, by which
/// one caller is served first.
#[test]
fn lead_between_two_callers_is_bounded() -> Result<(), Box<dyn Error>> {
    let cases = [
        BoundCase { name: "equal lengths", services: [5 * MILLI, 5 * MILLI] },
        BoundCase { name: "different lengths", services: [MILLI, 20 * MILLI] },
        BoundCase { name: "longer than estimated", services: [MILLI, 300 * MILLI] },
    ];
    for case in cases {
        let max_lead = max_lead_between(case.services)?;
        let longest = case.services[0].max(case.services[1]);
        let bound = u64::from(BOUND_SLOTS) * longest;
        println!("{}: {max_lead} of {bound} microseconds", case.name);
        assert!(max_lead <= bound, "{}: ahead by {max_lead}, bound {bound}", case.name);
    }
    Ok(())
}

const BOUND_SLOTS: u16 = 4;
/// Number of pieces that each caller keeps queued.
const BACKLOG: usize = 8;
const STEP: u64 = 500;

/// The maximum slot time by which one caller was ahead of the other.
fn max_lead_between(services: [u64; 2]) -> Result<u64, String> {
    let mut owner = OwnerState::new(owner::Options::default(), 1);
    let record = TargetRecord {
        key: TargetKey(0),
        slots: BOUND_SLOTS,
        wanted: DesiredState::Serve,
        shards: smallvec![ShardKey(0)],
    };
    owner.set_targets(TickTime(0), &[record]);
    let mut model = Model::new(owner, BOUND_SLOTS);
    let mut slot_time = [0u64; 2];
    let mut number = 0;
    let mut max_lead = 0;
    while model.now.0 < 20 * SECOND {
        for caller in 0..2 {
            while waiting(&model, caller) < BACKLOG {
                number += 1;
                model.submit(backlog_piece(number, caller))?;
            }
        }
        model.advance(STEP)?;
        for index in model.open() {
            let caller = caller_of(&model, index);
            slot_time[caller as usize] += STEP;
            if model.now.0 - model.attempts[index].sent_at.0 >= services[caller as usize] {
                model.complete(index, AttemptResult::Answered)?;
            }
        }
        model.drop_finished();
        max_lead = max_lead.max(slot_time[0].abs_diff(slot_time[1]));
    }
    Ok(max_lead)
}

fn backlog_piece(number: u64, caller: u32) -> QueuedPiece {
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

/// Number of pieces of the caller that have not been sent.
fn waiting(model: &Model, caller: u32) -> usize {
    let mine = model
        .pieces
        .values()
        .filter(|(piece, result)| piece.caller.0 == caller && result.is_none());
    let open = model.open();
    mine.count() - open.iter().filter(|index| caller_of(model, **index) == caller).count()
}

/// Guards against sustained urgent load that takes every slot, so that normal work starves. Normal
/// work must get its eighth of the slot time, and each of its queries is either rejected at once or
/// answered.
#[test]
fn normal_work_keeps_its_share() -> Result<(), Box<dyn Error>> {
    let urgent = load(0, 2.0);
    let normal = CallerLoad { urgency: UrgencyClass::Normal, deadline: 5 * SECOND, ..load(1, 0.5) };
    let sim = run(&[urgent, normal]);
    let total_slot_time = DAR_PORT.capacity() * SECONDS as f64 * f64::from(DAR_PORT.shards);
    let share = served(&sim, 1) / total_slot_time;
    println!("normal share {share:.3}, urgent {:.3}", served(&sim, 0) / total_slot_time);
    assert!(share >= 0.9 * 0.125, "normal work got {share}");
    assert!(served(&sim, 0) / total_slot_time >= 0.75, "urgent work comes first");
    let mine = sim.queries.iter().filter(|query| query.caller == 1 && query.refused.is_none());
    for query in mine {
        assert_eq!(query.open, 0, "every piece is finished");
        assert!(query.is_complete(), "admitted queries are answered");
    }
    Ok(())
}
