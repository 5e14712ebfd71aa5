//! The life of one query, told as stories of what goes wrong on its way.

mod support;

use std::error::Error;

use hawthorn_plan::RetryBudget;
use hawthorn_plan::ShardTable;
use hawthorn_plan::track;
use hawthorn_plan::track::Action;
use hawthorn_plan::track::BatchId;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Event;
use hawthorn_plan::track::Options;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::PieceId;
use hawthorn_plan::track::PieceOutcome;
use hawthorn_types::HostKey;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RetryReason;

use support::NEW;
use support::OLD;
use support::all_found;
use support::all_missing;
use support::answer_each;
use support::budget_of;
use support::context;
use support::even_shards;
use support::even_table;
use support::finished;
use support::found;
use support::ms;
use support::query;
use support::sends;
use support::waiting;

type TestResult = Result<(), Box<dyn Error>>;

fn answered(send: &BatchSend, pieces: Vec<PieceAnswer>) -> Event {
    Event::BatchAnswered { batch: send.batch, host: send.host, pieces }
}

fn retired(send: &BatchSend) -> Event {
    let outcome = || PieceOutcome::VersionRetired { versions: vec![NEW] };
    answered(send, answer_each(send, |_| outcome()))
}

/// Six shards with a replica in each of two zones; the own zone is asked first.
fn two_zones() -> ShardTable {
    even_table(6, 2, &[OLD])
}

#[test]
fn a_query_is_whole_when_every_owner_answers() -> TestResult {
    let table = even_table(6, 1, &[OLD]);
    let mut budget = RetryBudget::default();
    let mut at = context(ms(0), &table, &mut budget);
    let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
    let sends = sends(&actions);
    assert_eq!(sends.len(), 1);
    let event = answered(&sends[0], all_found(&sends[0]));
    let (answer, _) = finished(track.step(event, &mut context(ms(4), &table, &mut budget)))?;
    assert_eq!(answer.coverage.fraction, 1.0);
    assert_eq!(answer.version, Some(OLD));
    assert_eq!(answer.total, 6);
    Ok(())
}

struct FailureCase {
    name: &'static str,
    reason: MissingReason,
    budget: u32,
    now: u64,
    /// Why another zone is asked, if one is.
    retry: Option<RetryReason>,
    /// What is told of the range if none is.
    told: MissingReason,
}

/// One piece fails in the own zone. Where another zone can help and is allowed
/// to, it is asked at the same version. Where it cannot, the caller gets its
/// answer at once and not at the deadline.
#[test]
fn a_failed_piece_falls_back_or_is_told_at_once() -> TestResult {
    let help = |name, reason, retry| FailureCase {
        name,
        reason,
        budget: 6,
        now: 10,
        retry: Some(retry),
        told: reason,
    };
    let told =
        |name, reason| FailureCase { name, reason, budget: 6, now: 10, retry: None, told: reason };
    let cases = [
        help("shedding", MissingReason::Shedding, RetryReason::Shedding),
        help("queue too long", MissingReason::QueuedPastDeadline, RetryReason::Shedding),
        help("no replica on", MissingReason::NoReplica, RetryReason::ConnectionFailed),
        help("cut off", MissingReason::Unreachable, RetryReason::ConnectionFailed),
        help("crossed at the owner", MissingReason::BadAnswer, RetryReason::CrossedAnswer),
        told("same answer everywhere", MissingReason::AnswerTooLarge),
        told("too late already", MissingReason::DeadlinePast),
        told("the owner has retried enough", MissingReason::BudgetSpent),
        FailureCase {
            budget: 0,
            told: MissingReason::BudgetSpent,
            ..told("the front has retried enough", MissingReason::Shedding)
        },
        FailureCase { now: 46, ..told("no time for the way there", MissingReason::Shedding) },
    ];
    for case in cases {
        let table = two_zones();
        let mut budget = budget_of(case.budget);
        let mut at = context(ms(0), &table, &mut budget);
        let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
        let send = &sends(&actions)[0];
        let event = answered(send, all_missing(send, case.reason));
        let mut at = context(ms(case.now), &table, &mut budget);
        let step = track.step(event, &mut at);
        let Some(retry) = case.retry else {
            let (answer, _) = finished(step).map_err(|error| format!("{}: {error}", case.name))?;
            let told: Vec<_> = answer.coverage.missing.iter().map(|it| it.reason).collect();
            assert!(told.iter().all(|reason| *reason == case.told), "{}: {told:?}", case.name);
            assert_eq!(answer.coverage.fraction, 0.0, "{}", case.name);
            continue;
        };
        let (track, actions) = waiting(step).map_err(|error| format!("{}: {error}", case.name))?;
        let second = &sends(&actions)[0];
        assert_eq!((second.host, second.version), (HostKey(1), OLD), "{}", case.name);
        let event = answered(second, all_found(second));
        let (answer, _) = finished(track.step(event, &mut context(ms(20), &table, &mut budget)))?;
        assert_eq!(answer.coverage.fraction, 1.0, "{}", case.name);
        assert_eq!(answer.counts.retried(retry), 6, "{}", case.name);
    }
    Ok(())
}

/// A clerk's conflict check runs while version 8 is published. The targets drop
/// version 7 with half of the answer in hand. Kept, that half would be merged
/// with the newer half, and a filing moved between them counted twice or never.
#[test]
fn a_version_retired_mid_query_starts_the_whole_query_over() -> TestResult {
    let mut shards = even_shards(6, 1, &[OLD]);
    for shard in &mut shards[3..] {
        shard.options[0].owner = HostKey(5);
    }
    let before = ShardTable::new(shards.clone());
    for shard in &mut shards {
        shard.options[0].versions = [NEW].into_iter().collect();
    }
    let after = ShardTable::new(shards);
    let mut budget = budget_of(6);
    let mut at = context(ms(0), &before, &mut budget);
    let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
    let old = sends(&actions);
    assert_eq!(old.len(), 2);
    let first = answered(&old[0], all_found(&old[0]));
    let (track, _) = waiting(track.step(first, &mut context(ms(4), &before, &mut budget)))?;
    let step = track.step(retired(&old[1]), &mut context(ms(5), &after, &mut budget));
    let (mut track, actions) = waiting(step)?;
    let new = sends(&actions);
    assert!(new.iter().all(|send| send.version == NEW));
    assert_eq!(new.iter().map(|send| send.pieces.len()).sum::<usize>(), 6);

    // An answer of the old version that comes now is dropped.
    let late = answered(&old[1], all_found(&old[1]));
    (track, _) = waiting(track.step(late, &mut context(ms(6), &after, &mut budget)))?;
    let event = answered(&new[0], all_found(&new[0]));
    (track, _) = waiting(track.step(event, &mut context(ms(9), &after, &mut budget)))?;
    let event = answered(&new[1], all_found(&new[1]));
    let (answer, _) = finished(track.step(event, &mut context(ms(9), &after, &mut budget)))?;
    assert_eq!((answer.version, answer.total), (Some(NEW), 6));
    assert_eq!(answer.coverage.fraction, 1.0);
    assert!(answer.matches.iter().all(|document| document.id.starts_with("IndexVersion(8)")));
    assert_eq!((answer.counts.replans, answer.counts.late), (1, 3));
    Ok(())
}

struct RetiredCase {
    name: &'static str,
    /// Shards that hold the new version by the time the old one retires at one of six.
    renewed: usize,
    budget: u32,
    now: u64,
    replans: u32,
}

/// One target is ahead of its peers and has dropped version 7. Going to
/// version 8 would answer from a sixth of the index; staying answers from five
/// sixths and says what is missing.
#[test]
fn planning_anew_needs_coverage_time_and_budget() -> TestResult {
    let cases = [
        RetiredCase { name: "all have the new one", renewed: 6, budget: 9, now: 5, replans: 1 },
        RetiredCase { name: "only one has it", renewed: 1, budget: 9, now: 5, replans: 0 },
        RetiredCase { name: "as many as the old one", renewed: 5, budget: 9, now: 5, replans: 0 },
        RetiredCase { name: "no time is left", renewed: 6, budget: 9, now: 41, replans: 0 },
        RetiredCase { name: "no budget is left", renewed: 6, budget: 4, now: 5, replans: 0 },
    ];
    for case in cases {
        let before = even_table(6, 1, &[OLD]);
        let mut shards = even_shards(6, 1, &[OLD]);
        for shard in &mut shards[..case.renewed] {
            shard.options[0].versions.push(NEW);
        }
        let after = ShardTable::new(shards);
        let mut budget = budget_of(case.budget);
        let mut at = context(ms(0), &before, &mut budget);
        let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
        let send = &sends(&actions)[0];
        let pieces = answer_each(send, |piece| match piece.piece {
            PieceId(0) => PieceOutcome::VersionRetired { versions: vec![NEW] },
            _ => found(OLD, piece.range.into()),
        });
        let step =
            track.step(answered(send, pieces), &mut context(ms(case.now), &after, &mut budget));
        if case.replans == 1 {
            let (_, actions) = waiting(step).map_err(|error| format!("{}: {error}", case.name))?;
            assert_eq!(sends(&actions)[0].version, NEW, "{}", case.name);
            continue;
        }
        let (answer, _) = finished(step).map_err(|error| format!("{}: {error}", case.name))?;
        assert_eq!((answer.version, answer.total), (Some(OLD), 5), "{}", case.name);
        let missing = &answer.coverage.missing;
        assert_eq!(missing.len(), 1, "{}", case.name);
        assert_eq!(missing[0].reason, MissingReason::VersionMissing, "{}", case.name);
        assert_eq!(missing[0].range, KeyRange::part(0, 6), "{}", case.name);
    }
    Ok(())
}

/// One target dropped version 7 early, another zone's replica still holds it.
/// One piece more keeps the snapshot; planning anew would cost all of them.
#[test]
fn another_zone_that_still_holds_the_version_is_asked_first() -> TestResult {
    let table = two_zones();
    let mut budget = budget_of(9);
    let mut at = context(ms(0), &table, &mut budget);
    let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
    let send = &sends(&actions)[0];
    let pieces = answer_each(send, |piece| match piece.piece {
        PieceId(2) => PieceOutcome::VersionRetired { versions: vec![NEW] },
        _ => found(OLD, piece.range.into()),
    });
    let step = track.step(answered(send, pieces), &mut context(ms(5), &table, &mut budget));
    let (_, actions) = waiting(step)?;
    let second = &sends(&actions)[0];
    assert_eq!((second.host, second.version, second.pieces.len()), (HostKey(1), OLD, 1));
    Ok(())
}

/// The host that owns the zone's targets loses power with everything unanswered.
/// Its connection breaks; the caller would see an empty answer although every
/// shard has a replica in the other zone.
#[test]
fn a_lost_owner_is_replaced_by_another_zones() -> TestResult {
    let table = two_zones();
    let mut budget = budget_of(6);
    let mut at = context(ms(0), &table, &mut budget);
    let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
    let first = sends(&actions)[0].clone();
    let lost = Event::OwnerLost(first.host);
    let (track, actions) = waiting(track.step(lost, &mut context(ms(3), &table, &mut budget)))?;
    let second = sends(&actions)[0].clone();
    // It was not dead after all: its answer comes late and is not used twice.
    let late = answered(&first, all_found(&first));
    let (track, _) = waiting(track.step(late, &mut context(ms(4), &table, &mut budget)))?;
    let event = answered(&second, all_found(&second));
    let (answer, _) = finished(track.step(event, &mut context(ms(8), &table, &mut budget)))?;
    assert_eq!((answer.total, answer.coverage.fraction), (6, 1.0));
    assert_eq!((answer.counts.retried(RetryReason::OwnerLost), answer.counts.late), (6, 6));
    Ok(())
}

/// A partition swallows every message to one zone. Nothing breaks, nothing
/// answers, and heartbeats take longer to tell than the caller waits.
#[test]
fn a_silent_owner_is_hedged_by_another_zone() -> TestResult {
    let table = two_zones();
    let mut budget = budget_of(6);
    let mut at = context(ms(0), &table, &mut budget);
    let (track, actions) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
    assert!(actions.contains(&Action::Wake(ms(24))), "{actions:?}");
    let first = sends(&actions)[0].clone();
    let step = track.step(Event::Timer, &mut context(ms(24), &table, &mut budget));
    let (track, actions) = waiting(step)?;
    let second = sends(&actions)[0].clone();
    assert_eq!(second.host, HostKey(1));
    let event = answered(&second, all_found(&second));
    let (answer, actions) = finished(track.step(event, &mut context(ms(30), &table, &mut budget)))?;
    assert_eq!((answer.total, answer.coverage.fraction), (6, 1.0));
    assert!(actions.contains(&Action::Cancel { batch: first.batch, host: first.host }));
    Ok(())
}

/// Nothing answers, in any zone. The caller still gets an answer in time, one
/// that claims nothing.
#[test]
fn everything_late_is_told_in_time() -> TestResult {
    let table = two_zones();
    let mut budget = budget_of(6);
    let mut at = context(ms(0), &table, &mut budget);
    let (mut track, _) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
    for now in [24, 36] {
        (track, _) = waiting(track.step(Event::Timer, &mut context(ms(now), &table, &mut budget)))?;
    }
    let step = track.step(Event::Timer, &mut context(ms(48), &table, &mut budget));
    let (answer, actions) = finished(step)?;
    assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0));
    assert_eq!(answer.coverage.missing.len(), 1);
    assert_eq!(answer.coverage.missing[0].reason, MissingReason::DeadlinePast);
    assert_eq!(actions.len(), 2, "both batches are cancelled: {actions:?}");
    Ok(())
}

struct CrossedCase {
    name: &'static str,
    batch: u32,
    host: u32,
    piece: u32,
    crossed: u32,
    late: u32,
}

/// Two answers change places on their way. Merged, a ship agent would read
/// another agent's orders as its own.
#[test]
fn an_answer_to_something_else_is_dropped_and_counted() -> TestResult {
    let cases = [
        CrossedCase { name: "unknown batch", batch: 9, host: 0, piece: 0, crossed: 1, late: 0 },
        CrossedCase { name: "another owner", batch: 0, host: 1, piece: 0, crossed: 1, late: 0 },
        CrossedCase { name: "unknown piece", batch: 0, host: 0, piece: 9, crossed: 1, late: 0 },
    ];
    for case in cases {
        let table = even_table(1, 1, &[OLD]);
        let mut budget = budget_of(6);
        let mut at = context(ms(0), &table, &mut budget);
        let (track, _) = waiting(track::start(query(ms(50)), &mut at, Options::default()))?;
        let event = Event::BatchAnswered {
            batch: BatchId(case.batch),
            host: HostKey(case.host),
            pieces: vec![PieceAnswer {
                piece: PieceId(case.piece),
                outcome: found(OLD, KeyRange::WHOLE.into()),
            }],
        };
        let step = track.step(event, &mut context(ms(5), &table, &mut budget));
        let answer = match step {
            track::Step::Finished(answer, _) => *answer,
            track::Step::Waiting(track, _) => {
                finished(track.step(Event::Stop, &mut context(ms(6), &table, &mut budget)))?.0
            }
        };
        assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0), "{}", case.name);
        assert_eq!(answer.counts.crossed, case.crossed, "{}", case.name);
        assert_eq!(answer.counts.late, case.late, "{}", case.name);
    }
    Ok(())
}

struct UnsoundCase {
    name: &'static str,
    outcome: PieceOutcome,
}

/// A target answers its own request with something that cannot be true of it.
#[test]
fn an_answer_that_cannot_be_true_covers_nothing() -> TestResult {
    let asked = KeyRange::part(0, 2);
    let beyond = RangeSet::from(KeyRange::new(0, asked.end + 1));
    let one_match = |key, total| PieceOutcome::Answered {
        version: OLD,
        searched: asked.into(),
        total,
        matches: vec![support::document(key, "a", 1.0)],
    };
    let cases = [
        UnsoundCase { name: "another version", outcome: found(NEW, asked.into()) },
        UnsoundCase { name: "more than was asked", outcome: found(OLD, beyond) },
        UnsoundCase { name: "a match outside", outcome: one_match(asked.end, 1) },
        UnsoundCase { name: "more matches than total", outcome: one_match(0, 0) },
    ];
    for case in cases {
        let table = even_table(1, 1, &[OLD]);
        let mut budget = budget_of(6);
        let mut at = context(ms(0), &table, &mut budget);
        let query = track::TrackedQuery { range: asked, ..query(ms(50)) };
        let (track, actions) = waiting(track::start(query, &mut at, Options::default()))?;
        let send = &sends(&actions)[0];
        let event = answered(send, answer_each(send, |_| case.outcome.clone()));
        let (answer, _) = finished(track.step(event, &mut context(ms(5), &table, &mut budget)))?;
        assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0), "{}", case.name);
        assert_eq!(answer.coverage.missing[0].reason, MissingReason::BadAnswer, "{}", case.name);
        assert_eq!(answer.counts.bad, 1, "{}", case.name);
    }
    Ok(())
}

#[test]
fn nothing_to_search_is_answered_at_once() -> TestResult {
    let table = even_table(6, 1, &[]);
    let mut budget = budget_of(6);
    let mut at = context(ms(0), &table, &mut budget);
    let (answer, _) = finished(track::start(query(ms(50)), &mut at, Options::default()))?;
    assert_eq!((answer.version, answer.coverage.fraction), (None, 0.0));
    assert_eq!(answer.coverage.missing[0].reason, MissingReason::NoReplica);
    Ok(())
}
