//! The life of one query, told as stories of what goes wrong on its way.

mod support;

use std::error::Error;

use hawthorn_plan::ShardTable;
use hawthorn_plan::track::BatchId;
use hawthorn_plan::track::Event;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::PieceId;
use hawthorn_plan::track::PieceOutcome;
use hawthorn_plan::track::PieceSend;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RetryReason;

use support::Front;
use support::NEW;
use support::OLD;
use support::document;
use support::even_shards;
use support::even_table;
use support::found;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

fn retired() -> PieceOutcome {
    PieceOutcome::VersionRetired { versions: vec![NEW] }
}

/// The version is gone, and no other has come yet.
fn dropped() -> PieceOutcome {
    PieceOutcome::VersionRetired { versions: Vec::new() }
}

/// Answers piece `id` as retired and all others at the old version.
fn retired_at(id: u32) -> impl Fn(&PieceSend) -> PieceOutcome {
    move |piece| if piece.piece.0 == id { retired() } else { found(OLD, piece.range.into()) }
}

/// Six shards, of which the first `count` hold `versions` and the others the old one.
fn renewed(count: usize, zones: u32, versions: &[IndexVersion]) -> ShardTable {
    let mut shards = even_shards(6, zones, &[OLD]);
    for option in shards[..count].iter_mut().flat_map(|shard| &mut shard.options) {
        option.versions = versions.iter().copied().collect();
    }
    ShardTable::new(shards)
}

#[test]
fn a_query_is_whole_when_every_owner_answers() -> TestResult {
    let mut front = Front::start(even_table(6, 1, &[OLD]), 0);
    assert_eq!(front.sent.len(), 1);
    front.answer_all(4, 0)?;
    let answer = front.finished()?;
    assert_eq!((answer.version, answer.total), (Some(OLD), 6));
    assert_eq!(answer.coverage.fraction, 1.0);
    Ok(())
}

#[test]
fn nothing_to_search_is_answered_at_once() -> TestResult {
    let front = Front::start(even_table(6, 1, &[]), 6);
    let answer = front.finished()?;
    assert_eq!((answer.version, answer.coverage.fraction), (None, 0.0));
    assert_eq!(answer.coverage.missing[0].reason, MissingReason::NoReplica);
    Ok(())
}

struct FailureCase {
    reason: MissingReason,
    budget: u32,
    now: u64,
    /// Why another zone is asked, or what is told of the range if none is.
    then: Result<RetryReason, MissingReason>,
}

/// Everything fails in the own zone. Where another zone can help and is allowed
/// to, it is asked at the same version. Where it cannot, the caller gets its
/// answer at once and not at the deadline.
#[test]
fn a_failed_piece_falls_back_or_is_told_at_once() -> TestResult {
    use MissingReason::*;
    let case = |reason, then| FailureCase { reason, budget: 6, now: 10, then };
    let cases = [
        case(Shedding, Ok(RetryReason::Shedding)),
        case(QueuedPastDeadline, Ok(RetryReason::Shedding)),
        case(NoReplica, Ok(RetryReason::ConnectionFailed)),
        case(Unreachable, Ok(RetryReason::ConnectionFailed)),
        case(BadAnswer, Ok(RetryReason::CrossedAnswer)),
        // The same everywhere, too late already, and retried enough at the owner.
        case(AnswerTooLarge, Err(AnswerTooLarge)),
        case(DeadlinePast, Err(DeadlinePast)),
        case(BudgetSpent, Err(BudgetSpent)),
        // Retried enough at this front, and no time for the way there.
        FailureCase { budget: 0, ..case(Shedding, Err(BudgetSpent)) },
        FailureCase { now: 46, ..case(Shedding, Err(Shedding)) },
    ];
    for FailureCase { reason, budget, now, then } in cases {
        let mut front = Front::start(even_table(6, 2, &[OLD]), budget);
        front.answer(now, 0, |_| PieceOutcome::Missing(reason))?;
        match then {
            Ok(retry) => {
                let second = &front.sent[1];
                assert_eq!((second.host, second.version), (HostKey(1), OLD), "{reason}");
                front.answer_all(20, 1)?;
                let answer = front.finished()?;
                assert_eq!(answer.coverage.fraction, 1.0, "{reason}");
                assert_eq!(answer.counts.retried(retry), 6, "{reason}");
            }
            Err(told) => {
                let answer = front.finished().map_err(|error| format!("{reason}: {error}"))?;
                assert_eq!(answer.coverage.fraction, 0.0, "{reason}");
                let missing = &answer.coverage.missing;
                assert!(missing.iter().all(|it| it.reason == told), "{reason}: {missing:?}");
            }
        }
    }
    Ok(())
}

/// A clerk's conflict check runs while version 8 is published. The targets drop
/// version 7 with half of the answer in hand. Kept, that half would be merged
/// with the newer half, and a filing moved between them counted twice or never.
#[test]
fn a_version_retired_mid_query_starts_the_whole_query_over() -> TestResult {
    let two_owners = |versions| {
        let mut shards = even_shards(6, 1, versions);
        for shard in &mut shards[3..] {
            shard.options[0].owner = HostKey(5);
        }
        ShardTable::new(shards)
    };
    let mut front = Front::start(two_owners(&[OLD]), 6);
    front.answer_all(4, 0)?;
    front.table = two_owners(&[NEW]);
    front.answer(5, 1, |_| retired())?;
    let new = &front.sent[2..];
    assert!(new.iter().all(|send| send.version == NEW));
    assert_eq!(new.iter().map(|send| send.pieces.len()).sum::<usize>(), 6);
    // An answer of the old version that comes now is dropped.
    front.answer_all(6, 1)?;
    front.answer_all(9, 2)?;
    front.answer_all(9, 3)?;
    let answer = front.finished()?;
    assert_eq!((answer.version, answer.total), (Some(NEW), 6));
    assert_eq!(answer.coverage.fraction, 1.0);
    assert!(answer.matches.iter().all(|document| document.id.starts_with("IndexVersion(8)")));
    assert_eq!((answer.counts.replans, answer.counts.late), (1, 3));
    Ok(())
}

struct RetiredCase {
    name: &'static str,
    zones: u32,
    /// Shards that hold the new version by then.
    renewed: usize,
    budget: u32,
    now: u64,
    /// Whether all six pieces are retired, or only the first.
    all: bool,
    then: Then,
}

#[derive(Debug, PartialEq)]
enum Then {
    /// So many pieces go to another zone at the old version.
    FallBack(usize),
    PlanAnew,
    /// The old version is answered without the retired range.
    Missing,
}

/// Targets drop version 7 while queries run: one ahead of its peers, or all.
/// Going on to version 8 may answer from a sixth of the index; staying may ask
/// for what is gone everywhere. What covers more is done, what costs less first.
#[test]
fn a_retired_version_is_met_by_what_covers_most() -> TestResult {
    let case = |name, then| RetiredCase {
        name,
        zones: 1,
        renewed: 6,
        budget: 9,
        now: 5,
        all: false,
        then,
    };
    let cases = [
        case("all have the new one", Then::PlanAnew),
        RetiredCase { renewed: 1, ..case("only one has it", Then::Missing) },
        RetiredCase { renewed: 5, ..case("as many as the old one", Then::Missing) },
        RetiredCase { now: 41, ..case("no time is left", Then::Missing) },
        RetiredCase { budget: 4, ..case("no budget for what is thrown away", Then::Missing) },
        RetiredCase { zones: 2, ..case("another zone holds the old one", Then::FallBack(1)) },
        RetiredCase { zones: 2, all: true, ..case("dropped for all pieces", Then::PlanAnew) },
        RetiredCase {
            zones: 2,
            all: true,
            renewed: 3,
            ..case("dropped for all, half renewed", Then::FallBack(6))
        },
    ];
    for case in cases {
        let mut front = Front::start(even_table(6, case.zones, &[OLD]), case.budget);
        front.table = renewed(case.renewed, case.zones, &[OLD, NEW]);
        match case.all {
            // With half renewed, the targets asked are among the others.
            true if case.renewed < 6 => front.answer(case.now, 0, |_| dropped())?,
            true => front.answer(case.now, 0, |_| retired())?,
            false => front.answer(case.now, 0, retired_at(0))?,
        }
        let then = match front.sent.get(1) {
            Some(send) if send.version == NEW => Then::PlanAnew,
            Some(send) => Then::FallBack(send.pieces.len()),
            None => Then::Missing,
        };
        assert_eq!(then, case.then, "{}", case.name);
        if then == Then::Missing {
            let answer = front.finished().map_err(|error| format!("{}: {error}", case.name))?;
            assert_eq!((answer.version, answer.total), (Some(OLD), 5), "{}", case.name);
            let missing = &answer.coverage.missing;
            assert_eq!(missing.len(), 1, "{}", case.name);
            assert_eq!(missing[0].reason, MissingReason::VersionMissing, "{}", case.name);
            assert_eq!(missing[0].range, KeyRange::part(0, 6), "{}", case.name);
        }
    }
    Ok(())
}

/// The host that owns the zone's targets loses power with everything unanswered.
/// Its connection breaks; the caller would see an empty answer although every
/// shard has a replica in the other zone.
#[test]
fn a_lost_owner_is_replaced_by_another_zones() -> TestResult {
    let mut front = Front::start(even_table(6, 2, &[OLD]), 6);
    front.event(3, Event::OwnerLost(HostKey(0)))?;
    // It was not dead after all: its answer comes late and is not used twice.
    front.answer_all(4, 0)?;
    front.answer_all(8, 1)?;
    let answer = front.finished()?;
    assert_eq!((answer.total, answer.coverage.fraction), (6, 1.0));
    assert_eq!((answer.counts.retried(RetryReason::OwnerLost), answer.counts.late), (6, 6));
    Ok(())
}

/// A partition swallows every message to one zone. Nothing breaks, nothing
/// answers, and heartbeats take longer to tell than the caller waits.
#[test]
fn a_silent_owner_is_hedged_by_another_zone() -> TestResult {
    let mut front = Front::start(even_table(6, 2, &[OLD]), 6);
    assert_eq!(front.wake, ms(24));
    front.event(24, Event::Timer)?;
    assert_eq!(front.sent[1].host, HostKey(1));
    front.answer_all(30, 1)?;
    let answer = front.finished()?;
    assert_eq!((answer.total, answer.coverage.fraction), (6, 1.0));
    assert_eq!(front.cancelled, [BatchId(0)]);
    Ok(())
}

/// Nothing answers, in any zone. The caller still gets an answer in time, one
/// that claims nothing.
#[test]
fn everything_late_is_told_in_time() -> TestResult {
    let mut front = Front::start(even_table(6, 2, &[OLD]), 6);
    for now in [24, 36, 48] {
        front.event(now, Event::Timer)?;
    }
    let answer = front.finished()?;
    assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0));
    assert_eq!(answer.coverage.missing.len(), 1);
    assert_eq!(answer.coverage.missing[0].reason, MissingReason::DeadlinePast);
    assert_eq!(front.cancelled, [BatchId(0), BatchId(1)]);
    Ok(())
}

/// Two answers change places on their way. Merged, a ship agent would read
/// another agent's orders as its own.
#[test]
fn an_answer_to_something_else_is_dropped_and_counted() -> TestResult {
    for (name, batch, host, piece) in
        [("unknown batch", 9, 0, 0), ("another owner", 0, 1, 0), ("unknown piece", 0, 0, 9)]
    {
        let mut front = Front::start(even_table(1, 1, &[OLD]), 6);
        let outcome = found(OLD, KeyRange::FULL.into());
        let pieces = vec![PieceAnswer { piece: PieceId(piece), outcome }];
        let (batch, host) = (BatchId(batch), HostKey(host));
        front.event(5, Event::BatchAnswered { batch, host, pieces })?;
        if front.finished().is_err() {
            front.event(6, Event::Stop)?;
        }
        let answer = front.finished()?;
        assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0), "{name}");
        assert_eq!((answer.counts.crossed, answer.counts.late), (1, 0), "{name}");
    }
    Ok(())
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
        matches: vec![document(key, "a", 1.0)],
    };
    let cases = [
        ("another version", found(NEW, asked.into())),
        ("more than was asked", found(OLD, beyond)),
        ("a match outside", one_match(asked.end, 1)),
        ("more matches than total", one_match(0, 0)),
    ];
    for (name, outcome) in cases {
        let mut front = Front::start_for(asked, even_table(1, 1, &[OLD]), 6);
        front.answer(5, 0, |_| outcome.clone())?;
        let answer = front.finished()?;
        assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0), "{name}");
        assert_eq!(answer.coverage.missing[0].reason, MissingReason::BadAnswer, "{name}");
        assert_eq!(answer.counts.bad, 1, "{name}");
    }
    Ok(())
}
