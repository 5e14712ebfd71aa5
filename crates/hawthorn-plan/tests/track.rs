//! Tracking of one query through failures of owners, targets and answers.

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

/// The version is retired, and the target holds no other version yet.
fn dropped() -> PieceOutcome {
    PieceOutcome::VersionRetired { versions: Vec::new() }
}

/// Answers piece `id` as retired and all others at the old version.
fn retired_at(id: u32) -> impl Fn(&PieceSend) -> PieceOutcome {
    move |piece| if piece.piece.0 == id { retired() } else { found(OLD, piece.range.into()) }
}

/// Six shards: the first `count` hold `versions`, the others the old one.
fn upgraded(count: usize, zones: u32, versions: &[IndexVersion]) -> ShardTable {
    let mut shards = even_shards(6, zones, &[OLD]);
    for option in shards[..count].iter_mut().flat_map(|shard| &mut shard.options) {
        option.versions = versions.iter().copied().collect();
    }
    ShardTable::new(shards)
}

#[test]
fn query_completes_when_every_owner_answers() -> TestResult {
    let mut front = Front::start(even_table(6, 1, &[OLD]), 0);
    assert_eq!(front.sent.len(), 1);
    front.answer_all(4, 0)?;
    let answer = front.finished()?;
    assert_eq!((answer.version, answer.total), (Some(OLD), 6));
    assert_eq!(answer.coverage.fraction, 1.0);
    Ok(())
}

#[test]
fn empty_plan_is_answered_immediately() -> TestResult {
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
    /// The reason of the retry in another zone, or of the missing range without a retry.
    expected: Result<RetryReason, MissingReason>,
}

/// All pieces fail in the local zone. They fall back to another zone at the same
/// version where that can help and the limits allow it; otherwise the caller gets its
/// answer immediately instead of at the deadline.
#[test]
fn failed_piece_falls_back_or_is_reported_immediately() -> TestResult {
    use MissingReason::*;
    let case = |reason, expected| FailureCase { reason, budget: 6, now: 10, expected };
    let cases = [
        case(Shedding, Ok(RetryReason::Shedding)),
        case(QueuedPastDeadline, Ok(RetryReason::Shedding)),
        case(NoReplica, Ok(RetryReason::ConnectionFailed)),
        case(Unreachable, Ok(RetryReason::ConnectionFailed)),
        case(BadAnswer, Ok(RetryReason::CrossedAnswer)),
        // Not retried: same result everywhere, deadline past, budget spent at the owner.
        case(AnswerTooLarge, Err(AnswerTooLarge)),
        case(DeadlinePast, Err(DeadlinePast)),
        case(BudgetSpent, Err(BudgetSpent)),
        // Not retried: budget of this front spent, no time for the round trip.
        FailureCase { budget: 0, ..case(Shedding, Err(BudgetSpent)) },
        FailureCase { now: 46, ..case(Shedding, Err(Shedding)) },
    ];
    for FailureCase { reason, budget, now, expected } in cases {
        let mut front = Front::start(even_table(6, 2, &[OLD]), budget);
        front.answer(now, 0, |_| PieceOutcome::Missing(reason))?;
        match expected {
            Ok(retry) => {
                let second = &front.sent[1];
                assert_eq!((second.host, second.version), (HostKey(1), OLD), "{reason}");
                front.answer_all(20, 1)?;
                let answer = front.finished()?;
                assert_eq!(answer.coverage.fraction, 1.0, "{reason}");
                assert_eq!(answer.counts.retried(retry), 6, "{reason}");
            }
            Err(reported) => {
                let answer = front.finished().map_err(|error| format!("{reason}: {error}"))?;
                assert_eq!(answer.coverage.fraction, 0.0, "{reason}");
                let missing = &answer.coverage.missing;
                assert!(missing.iter().all(|it| it.reason == reported), "{reason}: {missing:?}");
            }
        }
    }
    Ok(())
}

/// The targets retire version 7 when half of the answer has arrived. Merging that half
/// with a half of version 8 would count documents that moved in between twice or never.
#[test]
fn version_retired_mid_query_restarts_the_query() -> TestResult {
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
    // A late answer of the old version is dropped.
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
    /// Shards that hold the new version when the event arrives.
    upgraded: usize,
    budget: u32,
    now: u64,
    /// Whether all six pieces are retired, or only the first.
    all: bool,
    expected: Recovery,
}

#[derive(Debug, PartialEq)]
enum Recovery {
    /// This many pieces go to another zone at the old version.
    FallBack(usize),
    Replan,
    /// The query finishes at the old version without the retired range.
    Missing,
}

/// Targets retire version 7 during queries, one ahead of its peers or all together.
/// Switching to version 8 may cover only a part of the index, and staying may request
/// what no target holds any more. Recovery prefers the higher coverage, then the lower
/// cost.
#[test]
fn retired_version_recovery_maximizes_coverage() -> TestResult {
    let case = |name, expected| RetiredCase {
        name,
        zones: 1,
        upgraded: 6,
        budget: 9,
        now: 5,
        all: false,
        expected,
    };
    let cases = [
        case("all have the new version", Recovery::Replan),
        RetiredCase { upgraded: 1, ..case("only one has the new version", Recovery::Missing) },
        RetiredCase {
            upgraded: 5,
            ..case("no more coverage than the old version", Recovery::Missing)
        },
        RetiredCase { now: 41, ..case("no time is left", Recovery::Missing) },
        RetiredCase { budget: 4, ..case("no budget for the parts discarded", Recovery::Missing) },
        RetiredCase {
            zones: 2,
            ..case("another zone holds the old version", Recovery::FallBack(1))
        },
        RetiredCase { zones: 2, all: true, ..case("dropped for all pieces", Recovery::Replan) },
        RetiredCase {
            zones: 2,
            all: true,
            upgraded: 3,
            ..case("dropped for all, half upgraded", Recovery::FallBack(6))
        },
    ];
    for case in cases {
        let mut front = Front::start(even_table(6, case.zones, &[OLD]), case.budget);
        front.table = upgraded(case.upgraded, case.zones, &[OLD, NEW]);
        match case.all {
            // With half upgraded, the targets asked hold no version at all.
            true if case.upgraded < 6 => front.answer(case.now, 0, |_| dropped())?,
            true => front.answer(case.now, 0, |_| retired())?,
            false => front.answer(case.now, 0, retired_at(0))?,
        }
        let actual = match front.sent.get(1) {
            Some(send) if send.version == NEW => Recovery::Replan,
            Some(send) => Recovery::FallBack(send.pieces.len()),
            None => Recovery::Missing,
        };
        assert_eq!(actual, case.expected, "{}", case.name);
        if actual == Recovery::Missing {
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

/// The host that owns the zone's targets fails before it has answered, and its
/// connection breaks. Without a fallback the answer would be empty although every
/// shard has a replica in the other zone.
#[test]
fn lost_owner_is_replaced_by_another_zone() -> TestResult {
    let mut front = Front::start(even_table(6, 2, &[OLD]), 6);
    front.event(3, Event::OwnerLost(HostKey(0)))?;
    // The owner was alive: its late answer must not be counted twice.
    front.answer_all(4, 0)?;
    front.answer_all(8, 1)?;
    let answer = front.finished()?;
    assert_eq!((answer.total, answer.coverage.fraction), (6, 1.0));
    assert_eq!((answer.counts.retried(RetryReason::OwnerLost), answer.counts.late), (6, 6));
    Ok(())
}

/// A partition drops every message to one zone: no connection breaks, no answer
/// arrives, and heartbeats detect it only after the deadline.
#[test]
fn silent_owner_is_hedged_by_another_zone() -> TestResult {
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

/// No owner answers in any zone. The caller still gets an answer before its deadline,
/// with no coverage.
#[test]
fn answers_in_time_when_no_owner_responds() -> TestResult {
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

/// Answers are delivered to the wrong request. Merging them would return one caller's
/// documents to another.
#[test]
fn unmatched_answers_are_dropped_and_counted() -> TestResult {
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

/// A target answers with a version, range or total that contradicts the request.
#[test]
fn invalid_answers_cover_nothing() -> TestResult {
    let requested = KeyRange::part(0, 2);
    let outside = RangeSet::from(KeyRange::new(0, requested.end + 1));
    let one_match = |key, total| PieceOutcome::Answered {
        version: OLD,
        searched: requested.into(),
        total,
        matches: vec![document(key, "a", 1.0)],
    };
    let cases = [
        ("another version", found(NEW, requested.into())),
        ("more than requested", found(OLD, outside)),
        ("a match outside the range", one_match(requested.end, 1)),
        ("more matches than total", one_match(0, 0)),
    ];
    for (name, outcome) in cases {
        let mut front = Front::start_for(requested, even_table(1, 1, &[OLD]), 6);
        front.answer(5, 0, |_| outcome.clone())?;
        let answer = front.finished()?;
        assert_eq!((answer.total, answer.coverage.fraction), (0, 0.0), "{name}");
        assert_eq!(answer.coverage.missing[0].reason, MissingReason::BadAnswer, "{name}");
        assert_eq!(answer.counts.bad, 1, "{name}");
    }
    Ok(())
}
