//! What an owner promises whatever the order of events.

mod support;

use std::error::Error;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use smallvec::SmallVec;
use smallvec::smallvec;

use hawthorn_decide::AttemptResult;
use hawthorn_decide::LeavingSource;
use hawthorn_decide::Observation;
use hawthorn_decide::OwnerState;
use hawthorn_decide::PieceKey;
use hawthorn_decide::PieceResult;
use hawthorn_decide::QueuedPiece;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::TickTime;
use hawthorn_decide::admit;
use hawthorn_decide::owner;
use hawthorn_types::AttemptId;
use hawthorn_types::CallerKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::UnknownReason;
use hawthorn_types::WantedState;
use hawthorn_types::caller::UrgencyClass;
use hawthorn_types::target::TargetRefusal;
use support::MILLI;
use support::SECOND;
use support::model::Model;

const SLOTS: u16 = 2;

/// Two shards; targets 0 and 1 hold the first, 1 and 2 the second.
fn records(wanted: [WantedState; 3]) -> Vec<TargetRecord> {
    let shards: [SmallVec<[ShardKey; 2]>; 3] =
        [smallvec![ShardKey(0)], smallvec![ShardKey(0), ShardKey(1)], smallvec![ShardKey(1)]];
    let record = |(index, shards)| TargetRecord {
        key: TargetKey::from(index),
        slots: SLOTS,
        wanted: wanted[index],
        shards,
    };
    shards.into_iter().enumerate().map(record).collect()
}

fn model() -> Model {
    let mut owner = OwnerState::new(owner::Options::default(), 9);
    owner.set_targets(TickTime(0), &records([WantedState::Serve; 3]));
    Model::new(owner, SLOTS)
}

fn piece(number: u64, at_most_once: bool) -> QueuedPiece {
    QueuedPiece {
        piece: PieceKey(number),
        caller: CallerKey(0),
        urgency: UrgencyClass::Urgent,
        shard: ShardKey(0),
        version: IndexVersion(1),
        deadline: TickTime(SECOND),
        expected_cost: None,
        at_most_once,
        relayable: false,
    }
}

struct EndCase {
    result: AttemptResult,
    search: Option<PieceResult>,
    once: PieceResult,
}

/// An order confirmation is sent and its connection breaks. Sent again it could
/// put two barges to one vessel; called "not run" it could be lost. The one
/// attempt's end decides what may be said, and a search is tried elsewhere.
#[test]
fn the_end_of_an_attempt_is_told_truly() -> Result<(), Box<dyn Error>> {
    let not_run = PieceResult::NotRun(RefusalReason::TargetRefused);
    let lost = PieceResult::Unknown(UnknownReason::ConnectionLost);
    let refused = |refusal, search| EndCase {
        result: AttemptResult::Refused(refusal),
        search,
        once: not_run,
    };
    let cases = [
        refused(TargetRefusal::Shedding, None),
        refused(TargetRefusal::Draining, None),
        refused(TargetRefusal::Cold, None),
        refused(TargetRefusal::VersionRetired, None),
        refused(TargetRefusal::RangeMoved, None),
        refused(TargetRefusal::BadRequest, Some(PieceResult::Missing(MissingReason::BadAnswer))),
        EndCase {
            result: AttemptResult::ConnectionFailed { sent: false },
            search: None,
            once: PieceResult::NotRun(RefusalReason::NoTarget),
        },
        EndCase {
            result: AttemptResult::ConnectionFailed { sent: true },
            search: None,
            once: lost,
        },
        EndCase { result: AttemptResult::Crossed, search: None, once: lost },
        EndCase { result: AttemptResult::Cancelled, search: None, once: lost },
        EndCase {
            result: AttemptResult::TimedOut,
            search: Some(PieceResult::Missing(MissingReason::DeadlinePast)),
            once: PieceResult::Unknown(UnknownReason::DeadlinePast),
        },
        EndCase {
            result: AttemptResult::TooLarge,
            search: Some(PieceResult::Missing(MissingReason::AnswerTooLarge)),
            once: PieceResult::Failed(hawthorn_types::FailureReason::BadAnswer),
        },
    ];
    for case in cases {
        for once in [false, true] {
            let mut model = model();
            assert_eq!(model.submit(piece(1, once))?, admit::Outcome::Queued);
            model.advance(MILLI)?;
            model.complete(0, case.result)?;
            model.advance(10 * MILLI)?;
            let expected = if once { Some(case.once) } else { case.search };
            let end = model.pieces[&PieceKey(1)].1;
            assert_eq!(end, expected, "{:?}, once {once}", case.result);
            let tried_again = model.attempts.len() > 1;
            assert_eq!(tried_again, expected.is_none(), "{:?}, once {once}", case.result);
        }
    }
    Ok(())
}

/// The first attempt lags, the hedge answers, the front has its answer. Then
/// the first one's answer comes, then once more, then one of nobody's. Handed
/// on, a caller would receive an answer twice or another caller's.
#[test]
fn late_and_crossed_answers_are_dropped() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    model.submit(piece(1, false))?;
    model.advance(30 * MILLI)?;
    assert!(model.attempts.len() >= 2, "a hedge was made");
    model.complete(1, AttemptResult::Answered)?;
    assert!(matches!(model.pieces[&PieceKey(1)].1, Some(PieceResult::Answered { .. })));
    model.complete(0, AttemptResult::Answered)?;
    model.complete(0, AttemptResult::Answered)?;
    model.owner.complete(model.now, AttemptId(u64::MAX), AttemptResult::Answered);
    model.settle()?;
    let counters = model.owner.counters();
    assert_eq!((counters.late_answers, counters.unknown_attempts), (1, 2));
    assert_eq!(counters.answered, 1);
    Ok(())
}

/// A cancelled attempt is never acknowledged. Its slot freed at once, the
/// target would be overfilled; never freed, capacity would leak away.
#[test]
fn a_slot_comes_back_whatever_ends_the_attempt() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    model.submit(piece(1, true))?;
    let target = model.attempts[0].target;
    model.owner.cancel(model.now, PieceKey(1));
    model.settle()?;
    assert_eq!(model.pieces[&PieceKey(1)].1, Some(PieceResult::Cancelled { sent: true }));
    let grace = owner::Options::default().slots.cancel_grace;
    model.advance(grace.as_micros() as u64 - 1)?;
    assert_eq!(model.owner.slots_in_use(target), 1, "not before the grace is over");
    model.advance(1)?;
    assert_eq!(model.owner.slots_in_use(target), 0);
    assert!(model.attempts[0].closed, "the connection was closed");
    assert_eq!(model.owner.counters().unacknowledged, 1);
    Ok(())
}

/// Ownership of the targets moves to another host while pieces wait. Told that
/// no replica exists, a front would give up ranges that the new owner can search.
#[test]
fn pieces_of_a_moved_target_hear_that_it_moved() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    for number in 0..6 {
        model.submit(piece(number, number == 5))?;
    }
    model.owner.set_targets(model.now, &[]);
    model.settle()?;
    let missing = PieceResult::Missing(MissingReason::OwnerUnreachable);
    assert_eq!(model.pieces[&PieceKey(4)].1, Some(missing));
    let not_run = PieceResult::NotRun(RefusalReason::OwnerUnreachable);
    assert_eq!(model.pieces[&PieceKey(5)].1, Some(not_run));
    model.complete(0, AttemptResult::Answered)?;
    assert!(matches!(model.pieces[&PieceKey(0)].1, Some(PieceResult::Answered { .. })));
    let outcome = model.submit(piece(7, false))?;
    let reason = RefusalReason::OwnerUnreachable;
    assert!(matches!(outcome, admit::Outcome::Refused { reason: given, .. } if given == reason));
    Ok(())
}

/// All targets of a shard are switched off or leave while pieces wait. Left
/// waiting they would time out one by one; their fronts hear at once, and new
/// ones are refused with a time to come back.
#[test]
fn pieces_without_a_replica_hear_at_once() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    for number in 0..6 {
        model.submit(piece(number, number == 5))?;
    }
    assert_eq!(model.owner.counters().waiting, [2, 0], "four are on their way");
    let wanted = [WantedState::Off, WantedState::Serve, WantedState::Serve];
    model.owner.set_targets(model.now, &records(wanted));
    model.owner.observe(model.now, TargetKey(1), Observation::Leaving(LeavingSource::Platform));
    model.settle()?;
    let missing = PieceResult::Missing(MissingReason::NoReplica);
    assert_eq!(model.pieces[&PieceKey(4)].1, Some(missing));
    let not_run = PieceResult::NotRun(RefusalReason::NoTarget);
    assert_eq!(model.pieces[&PieceKey(5)].1, Some(not_run));
    assert_eq!(model.pieces[&PieceKey(0)].1, None, "what is on its way runs on");
    let outcome = model.submit(piece(7, false))?;
    let retry_after = Duration::from_secs(2);
    assert_eq!(outcome, admit::Outcome::Refused { reason: RefusalReason::NoTarget, retry_after });
    Ok(())
}

#[derive(Clone, Debug)]
enum Step {
    Submit { caller: u32, shard: u32, normal: bool, at_most_once: bool, wait: u64 },
    End { which: usize, how: usize },
    EndAgain { which: usize },
    Cancel { piece: u64 },
    Advance { span: u64 },
    Observe { target: u32, what: usize },
    SetTargets { wanted: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (0u32..3, 0u32..2, any::<bool>(), 0u32..4, 1u64..100 * MILLI).prop_map(
        |(caller, shard, normal, once, wait)| Step::Submit {
            caller,
            shard,
            normal,
            at_most_once: once == 0,
            wait,
        },
    );
    let end = (any::<usize>(), 0usize..24).prop_map(|(which, how)| Step::End { which, how });
    let observe = (0u32..3, 0usize..8).prop_map(|(target, what)| Step::Observe { target, what });
    prop_oneof![
        8 => submit,
        8 => end,
        1 => any::<usize>().prop_map(|which| Step::EndAgain { which }),
        1 => (0u64..64).prop_map(|piece| Step::Cancel { piece }),
        6 => (1u64..20 * MILLI).prop_map(|span| Step::Advance { span }),
        1 => (1u64..3 * SECOND).prop_map(|span| Step::Advance { span }),
        1 => observe,
        1 => (0usize..4).prop_map(|wanted| Step::SetTargets { wanted }),
    ]
}

fn how_it_ended(how: usize) -> AttemptResult {
    let refusals = [
        TargetRefusal::Shedding,
        TargetRefusal::Draining,
        TargetRefusal::Cold,
        TargetRefusal::VersionRetired,
        TargetRefusal::RangeMoved,
        TargetRefusal::Cancelled,
        TargetRefusal::BadRequest,
    ];
    match how {
        0..7 => AttemptResult::Refused(refusals[how]),
        7 => AttemptResult::ConnectionFailed { sent: false },
        8 => AttemptResult::ConnectionFailed { sent: true },
        9 => AttemptResult::TimedOut,
        10 => AttemptResult::Crossed,
        11 => AttemptResult::TooLarge,
        12 => AttemptResult::Cancelled,
        _ => AttemptResult::Answered,
    }
}

fn observed(what: usize) -> Observation {
    let reported = |phase| Observation::Reported { phase, held: SmallVec::new() };
    match what {
        0 => Observation::Unreachable,
        1 => Observation::Leaving(LeavingSource::Operators),
        2 => Observation::Staying(LeavingSource::Operators),
        3 => reported(TargetPhase::Draining),
        4 => reported(TargetPhase::Cold),
        _ => reported(TargetPhase::Ready),
    }
}

fn apply(model: &mut Model, number: u64, step: &Step) -> Result<(), String> {
    match *step {
        Step::Submit { caller, shard, normal, at_most_once, wait } => {
            let urgency = if normal { UrgencyClass::Normal } else { UrgencyClass::Urgent };
            let ask = QueuedPiece {
                caller: CallerKey(caller),
                shard: ShardKey(shard),
                urgency,
                deadline: TickTime(model.now.0 + wait),
                ..piece(number, at_most_once)
            };
            model.submit(ask)?;
        }
        Step::End { which, how } => {
            let open = model.open();
            if !open.is_empty() {
                model.complete(open[which % open.len()], how_it_ended(how))?;
            }
        }
        Step::EndAgain { which } if !model.attempts.is_empty() => {
            let index = which % model.attempts.len();
            if model.attempts[index].result.is_some() || model.attempts[index].closed {
                model.owner.complete(
                    model.now,
                    model.attempts[index].attempt,
                    AttemptResult::Answered,
                );
            }
        }
        Step::EndAgain { .. } => {}
        Step::Cancel { piece } => model.owner.cancel(model.now, PieceKey(piece)),
        Step::Advance { span } => model.advance(span)?,
        Step::Observe { target, what } => {
            model.owner.observe(model.now, TargetKey(target), observed(what));
        }
        Step::SetTargets { wanted } => {
            let mut states = [WantedState::Serve; 3];
            if let Some(state) = states.get_mut(wanted) {
                *state = WantedState::Drain;
            }
            let mut owned = records(states);
            if wanted == 2 {
                owned.pop();
            }
            model.owner.set_targets(model.now, &owned);
        }
    }
    model.settle()
}

/// Whatever comes in whatever order: no target holds more attempts than slots,
/// every piece taken in ends exactly once and truthfully, a non-idempotent one
/// is sent at most once, and an answer is delivered only for its own attempt.
#[test]
fn any_order_of_events_keeps_the_promises() -> Result<(), Box<dyn Error>> {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..200);
    runner.run(&steps, |steps| {
        let mut model = model();
        for (number, step) in steps.iter().enumerate() {
            apply(&mut model, number as u64, step).map_err(TestCaseError::fail)?;
        }
        model.advance(2 * SECOND).map_err(TestCaseError::fail)?;
        let unfinished = model.pieces.values().filter(|(_, end)| end.is_none()).count();
        if unfinished > 0 || model.owner.counters().slots_in_use > 0 {
            return Err(TestCaseError::fail(format!("{unfinished} pieces or a slot left")));
        }
        Ok(())
    })?;
    Ok(())
}
