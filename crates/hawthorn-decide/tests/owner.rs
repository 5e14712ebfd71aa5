//! Invariants of an owner under any order of events.

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
use hawthorn_decide::DrainSource;
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
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::UnknownReason;
use hawthorn_types::caller::UrgencyClass;
use hawthorn_types::target::TargetRefusal;
use support::MILLI;
use support::SECOND;
use support::model::Model;

const SLOTS: u16 = 2;

/// Two shards; targets 0 and 1 hold the first, 1 and 2 the second.
fn records(wanted: [DesiredState; 3]) -> Vec<TargetRecord> {
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
    owner.set_targets(TickTime(0), &records([DesiredState::Serve; 3]));
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

struct OwnerRefusalCase {
    name: &'static str,
    piece: QueuedPiece,
    reason: RefusalReason,
}

/// Guards against a proper request that is rejected as wrong because of the owner's state.
#[test]
fn an_owner_rejects_no_request_as_wrong() {
    let caller_limit = owner::Options::default().queue.caller_limit;
    let late = QueuedPiece { deadline: TickTime(0), ..piece(1, true) };
    let further = QueuedPiece { caller: CallerKey(caller_limit), ..piece(2, true) };
    let case = |name, piece, reason| OwnerRefusalCase { name, piece, reason };
    let cases = [
        case("late", late, RefusalReason::ExpiredInQueue),
        case("more callers than the limit", further, RefusalReason::QueueFull),
    ];
    for case in cases {
        let mut owner = OwnerState::new(owner::Options::default(), 9);
        owner.set_targets(TickTime(0), &records([DesiredState::Serve; 3]));
        let outcome = owner.submit(TickTime(0), case.piece);
        let is_expected = matches!(outcome, admit::Outcome::Refused { reason, .. }
            if reason == case.reason);
        assert!(is_expected, "{}: {outcome:?}", case.name);
    }
}

struct EndCase {
    result: AttemptResult,
    search: Option<PieceResult>,
    at_most_once: PieceResult,
}

/// Guards against a non-idempotent request that is sent again when its connection breaks and runs
/// twice, or that is reported as not run although it ran. Its result must follow from the end of
/// its only attempt, while a search is retried at another replica.
#[test]
fn attempt_results_are_reported_correctly() -> Result<(), Box<dyn Error>> {
    let not_run = PieceResult::NotRun(RefusalReason::TargetRefused);
    let lost = PieceResult::Unknown(UnknownReason::ConnectionLost);
    let refused = |refusal, search| EndCase {
        result: AttemptResult::Refused(refusal),
        search,
        at_most_once: not_run,
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
            at_most_once: PieceResult::NotRun(RefusalReason::NoTarget),
        },
        EndCase {
            result: AttemptResult::ConnectionFailed { sent: true },
            search: None,
            at_most_once: lost,
        },
        EndCase { result: AttemptResult::Crossed, search: None, at_most_once: lost },
        EndCase { result: AttemptResult::Cancelled, search: None, at_most_once: lost },
        EndCase {
            result: AttemptResult::TimedOut,
            search: Some(PieceResult::Missing(MissingReason::DeadlinePast)),
            at_most_once: PieceResult::Unknown(UnknownReason::DeadlinePast),
        },
        EndCase {
            result: AttemptResult::TooLarge,
            search: Some(PieceResult::Missing(MissingReason::AnswerTooLarge)),
            at_most_once: PieceResult::Failed(hawthorn_types::FailureReason::BadAnswer),
        },
    ];
    for case in cases {
        for at_most_once in [false, true] {
            let mut model = model();
            assert_eq!(model.submit(piece(1, at_most_once))?, admit::Outcome::Queued);
            model.advance(MILLI)?;
            model.complete(0, case.result)?;
            model.advance(10 * MILLI)?;
            let expected = if at_most_once { Some(case.at_most_once) } else { case.search };
            let end = model.pieces[&PieceKey(1)].1;
            assert_eq!(end, expected, "{:?}, at_most_once {at_most_once}", case.result);
            let retried = model.attempts.len() > 1;
            assert_eq!(
                retried,
                expected.is_none(),
                "{:?}, at_most_once {at_most_once}",
                case.result
            );
        }
    }
    Ok(())
}

/// A late, repeated or unknown answer must not be delivered: a caller would get an answer twice, or
/// one that belongs to another caller. Here the hedge answers first, then the first attempt answers
/// twice, then an attempt that does not exist.
#[test]
fn late_and_crossed_answers_are_dropped() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    model.submit(piece(1, false))?;
    model.advance(30 * MILLI)?;
    assert!(model.attempts.len() >= 2, "a hedge was sent");
    model.complete(1, AttemptResult::Answered)?;
    assert!(matches!(model.pieces[&PieceKey(1)].1, Some(PieceResult::Answered { .. })));
    model.complete(0, AttemptResult::Answered)?;
    model.complete(0, AttemptResult::Answered)?;
    model.owner.complete(model.now, AttemptId(u64::MAX), AttemptResult::Answered);
    model.check_actions()?;
    let counters = model.owner.counters();
    assert_eq!((counters.late_answers, counters.unknown_attempts), (1, 2));
    assert_eq!(counters.answered, 1);
    Ok(())
}

/// A cancelled attempt is never acknowledged. If its slot were released at once, the target would
/// get more attempts than it has slots; if it were never released, the slot would leak.
#[test]
fn a_slot_is_released_after_an_unacknowledged_cancel() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    model.submit(piece(1, true))?;
    let target = model.attempts[0].target;
    model.owner.cancel(model.now, PieceKey(1));
    model.check_actions()?;
    assert_eq!(model.pieces[&PieceKey(1)].1, Some(PieceResult::Cancelled { sent: true }));
    let grace = owner::Options::default().slots.cancel_grace;
    model.advance(grace.as_micros() as u64 - 1)?;
    assert_eq!(model.owner.slots_in_use(target), 1, "not before the grace period ends");
    model.advance(1)?;
    assert_eq!(model.owner.slots_in_use(target), 0);
    assert!(model.attempts[0].closed, "the connection is closed");
    assert_eq!(model.owner.counters().unacknowledged, 1);
    Ok(())
}

/// Ownership of the targets moves to another host while pieces are queued. If they failed with "no
/// replica", fronts would give up ranges that the new owner can search.
#[test]
fn queued_pieces_fail_as_owner_unreachable_after_a_move() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    for number in 0..6 {
        model.submit(piece(number, number == 5))?;
    }
    model.owner.set_targets(model.now, &[]);
    model.check_actions()?;
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

/// Guards against pieces that time out one by one in the queue after all targets of their shard
/// were switched off or began to drain. They must fail at once, and new ones be rejected with a
/// retry-after time.
#[test]
fn queued_pieces_without_a_replica_fail_at_once() -> Result<(), Box<dyn Error>> {
    let mut model = model();
    for number in 0..6 {
        model.submit(piece(number, number == 5))?;
    }
    assert_eq!(model.owner.counters().waiting, [2, 0], "four are in flight");
    let wanted = [DesiredState::Off, DesiredState::Serve, DesiredState::Serve];
    model.owner.set_targets(model.now, &records(wanted));
    model.owner.observe(model.now, TargetKey(1), Observation::DrainStarted(DrainSource::Platform));
    model.check_actions()?;
    let missing = PieceResult::Missing(MissingReason::NoReplica);
    assert_eq!(model.pieces[&PieceKey(4)].1, Some(missing));
    let not_run = PieceResult::NotRun(RefusalReason::NoTarget);
    assert_eq!(model.pieces[&PieceKey(5)].1, Some(not_run));
    assert_eq!(model.pieces[&PieceKey(0)].1, None, "attempts in flight continue");
    let outcome = model.submit(piece(7, false))?;
    let retry_after = Duration::from_secs(2);
    assert_eq!(outcome, admit::Outcome::Refused { reason: RefusalReason::NoTarget, retry_after });
    Ok(())
}

#[derive(Clone, Debug)]
enum Step {
    Submit { caller: u32, shard: u32, normal: bool, at_most_once: bool, wait: u64 },
    End { index: usize, kind: usize },
    EndAgain { index: usize },
    Cancel { piece: u64 },
    Advance { span: u64 },
    Observe { target: u32, kind: usize },
    SetTargets { wanted: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (0u32..3, 0u32..2, any::<bool>(), 0u32..4, 1u64..100 * MILLI).prop_map(
        |(caller, shard, normal, draw, wait)| Step::Submit {
            caller,
            shard,
            normal,
            at_most_once: draw == 0,
            wait,
        },
    );
    let end = (any::<usize>(), 0usize..24).prop_map(|(index, kind)| Step::End { index, kind });
    let observe = (0u32..3, 0usize..8).prop_map(|(target, kind)| Step::Observe { target, kind });
    prop_oneof![
        8 => submit,
        8 => end,
        1 => any::<usize>().prop_map(|index| Step::EndAgain { index }),
        1 => (0u64..64).prop_map(|piece| Step::Cancel { piece }),
        6 => (1u64..20 * MILLI).prop_map(|span| Step::Advance { span }),
        1 => (1u64..3 * SECOND).prop_map(|span| Step::Advance { span }),
        1 => observe,
        1 => (0usize..4).prop_map(|wanted| Step::SetTargets { wanted }),
    ]
}

fn attempt_result(kind: usize) -> AttemptResult {
    let refusals = [
        TargetRefusal::Shedding,
        TargetRefusal::Draining,
        TargetRefusal::Cold,
        TargetRefusal::VersionRetired,
        TargetRefusal::RangeMoved,
        TargetRefusal::Cancelled,
        TargetRefusal::BadRequest,
    ];
    match kind {
        0..7 => AttemptResult::Refused(refusals[kind]),
        7 => AttemptResult::ConnectionFailed { sent: false },
        8 => AttemptResult::ConnectionFailed { sent: true },
        9 => AttemptResult::TimedOut,
        10 => AttemptResult::Crossed,
        11 => AttemptResult::TooLarge,
        12 => AttemptResult::Cancelled,
        _ => AttemptResult::Answered,
    }
}

fn observation(kind: usize) -> Observation {
    let reported = |phase| Observation::Reported { phase, held: SmallVec::new() };
    match kind {
        0 => Observation::Unreachable,
        1 => Observation::DrainStarted(DrainSource::Operators),
        2 => Observation::DrainCleared(DrainSource::Operators),
        3 => reported(TargetPhase::Draining),
        4 => reported(TargetPhase::Cold),
        _ => reported(TargetPhase::Ready),
    }
}

fn apply(model: &mut Model, number: u64, step: &Step) -> Result<(), String> {
    match *step {
        Step::Submit { caller, shard, normal, at_most_once, wait } => {
            let urgency = if normal { UrgencyClass::Normal } else { UrgencyClass::Urgent };
            let queued = QueuedPiece {
                caller: CallerKey(caller),
                shard: ShardKey(shard),
                urgency,
                deadline: TickTime(model.now.0 + wait),
                ..piece(number, at_most_once)
            };
            model.submit(queued)?;
        }
        Step::End { index, kind } => {
            let open = model.open();
            if !open.is_empty() {
                model.complete(open[index % open.len()], attempt_result(kind))?;
            }
        }
        Step::EndAgain { index } if !model.attempts.is_empty() => {
            let index = index % model.attempts.len();
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
        Step::Observe { target, kind } => {
            model.owner.observe(model.now, TargetKey(target), observation(kind));
        }
        Step::SetTargets { wanted } => {
            let mut states = [DesiredState::Serve; 3];
            if let Some(state) = states.get_mut(wanted) {
                *state = DesiredState::Drain;
            }
            let mut owned = records(states);
            if wanted == 2 {
                owned.pop();
            }
            model.owner.set_targets(model.now, &owned);
        }
    }
    model.check_actions()
}

/// In any order of events, no target holds more attempts than slots, each admitted piece finishes
/// exactly once with a correct result, a non-idempotent piece is sent at most once, and an answer
/// is delivered only for its own attempt.
#[test]
fn invariants_hold_in_any_order_of_events() -> Result<(), Box<dyn Error>> {
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
