//! Invariants under arbitrary replies and delays: one index version, no overstated
//! coverage, an answer before the deadline. The seed is fixed.

mod support;

use std::cell::RefCell;
use std::error::Error;
use std::time::Duration;

use hawthorn_plan::ShardTable;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Options;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::PieceId;
use hawthorn_plan::track::PieceOutcome;
use hawthorn_plan::track::RepartitionPolicy;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use support::NEW;
use support::OLD;
use support::answer_each;
use support::budget_of;
use support::even_shards;
use support::found;
use support::ms;
use support::query;
use support::virtual_front;

type TestResult = Result<(), Box<dyn Error>>;

const CASES: u32 = 3000;
const SHARDS: u32 = 8;
const DEADLINE: u64 = 50;

/// How an owner replies to a piece.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Search,
    SearchHalf,
    SearchNothing,
    WrongVersion,
    Retire,
    Miss(MissingReason),
    /// Answered under the id of another piece.
    Cross,
    /// Omitted from the answer.
    Omit,
}

fn any_reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        24 => Just(Reply::Search),
        2 => Just(Reply::SearchHalf),
        1 => Just(Reply::SearchNothing),
        1 => Just(Reply::WrongVersion),
        2 => Just(Reply::Retire),
        1 => Just(Reply::Miss(MissingReason::Shedding)),
        1 => Just(Reply::Miss(MissingReason::Unreachable)),
        1 => Just(Reply::Miss(MissingReason::DeadlinePast)),
        1 => Just(Reply::Cross),
        1 => Just(Reply::Omit),
    ]
}

#[derive(Clone, Debug)]
struct Scenario {
    replies: Vec<Reply>,
    /// Milliseconds until each batch in turn is answered; never for 60 and more.
    delays: Vec<u64>,
    publish_at: u64,
    /// Targets retire the old version when the new one is published.
    retires: bool,
    budget: u32,
    moved: Vec<u32>,
    retry_piece: bool,
}

fn any_scenario() -> impl Strategy<Value = Scenario> {
    let replies = proptest::collection::vec(any_reply(), 1..40);
    let delays = proptest::collection::vec(0_u64..70, 1..10);
    let moved = proptest::collection::vec(0..SHARDS - 1, 0..4);
    let choices = (any::<bool>(), any::<bool>());
    (replies, delays, 0_u64..30, 0_u32..40, moved, choices).prop_map(
        |(replies, delays, publish_at, budget, moved, (retires, retry_piece))| Scenario {
            replies,
            delays,
            publish_at,
            retires,
            budget,
            moved,
            retry_piece,
        },
    )
}

fn tables(scenario: &Scenario) -> (ShardTable, ShardTable) {
    let mut shards = even_shards(SHARDS, 3, &[OLD]);
    for (number, shard) in (0..).zip(&mut shards) {
        for option in &mut shard.options {
            option.owner = HostKey(option.owner.0 * 2 + number % 2);
        }
    }
    let before = ShardTable::new(shards.clone());
    for &number in &scenario.moved {
        let range = shards[number as usize].range;
        let half = KeyRange::new(range.start + range.len() / 2, range.end);
        shards[number as usize].held.remove(half);
        shards[number as usize + 1].held.insert(half);
    }
    for shard in &mut shards {
        for option in &mut shard.options {
            option.versions.retain(|_| !scenario.retires);
            option.versions.push(NEW);
        }
    }
    (before, ShardTable::new(shards))
}

/// The ranges that were actually searched, by version.
#[derive(Debug, Default)]
struct SearchLog {
    searched: Vec<(IndexVersion, RangeSet)>,
    next: usize,
}

impl SearchLog {
    fn search(&mut self, version: IndexVersion, range: KeyRange) -> PieceOutcome {
        self.searched.push((version, range.into()));
        found(version, range.into())
    }

    fn at(&self, version: IndexVersion) -> RangeSet {
        let mut union = RangeSet::default();
        let parts = self.searched.iter().filter(|(searched, _)| *searched == version);
        parts.for_each(|(_, ranges)| union.extend(ranges));
        union
    }

    fn answer(&mut self, scenario: &Scenario, send: &BatchSend, at: Duration) -> Vec<PieceAnswer> {
        let mut omitted = Vec::new();
        let mut crossed = Vec::new();
        let mut answers = answer_each(send, |piece| {
            let is_retired =
                scenario.retires && send.version == OLD && at >= ms(scenario.publish_at);
            let reply = match scenario.replies[self.next % scenario.replies.len()] {
                Reply::Search | Reply::SearchHalf if is_retired => Reply::Retire,
                reply => reply,
            };
            self.next += 1;
            let range = piece.range;
            match reply {
                Reply::Search => self.search(send.version, range),
                Reply::SearchHalf => {
                    let half = KeyRange::new(range.start, range.start + range.len() / 2);
                    self.search(send.version, half)
                }
                Reply::SearchNothing => found(send.version, RangeSet::default()),
                Reply::WrongVersion => found(IndexVersion(send.version.0 + 1), range.into()),
                Reply::Retire => PieceOutcome::VersionRetired { versions: vec![OLD, NEW] },
                Reply::Miss(reason) => PieceOutcome::Missing(reason),
                Reply::Cross => {
                    crossed.push(piece.piece);
                    PieceOutcome::Missing(MissingReason::BadAnswer)
                }
                Reply::Omit => {
                    omitted.push(piece.piece);
                    PieceOutcome::Missing(MissingReason::BadAnswer)
                }
            }
        });
        answers.retain(|answer| !omitted.contains(&answer.piece));
        for answer in answers.iter_mut().filter(|answer| crossed.contains(&answer.piece)) {
            answer.piece = PieceId(answer.piece.0 + 1000);
            answer.outcome = found(send.version, KeyRange::FULL.into());
        }
        answers
    }
}

#[test]
fn answers_never_mix_versions_or_overstate_coverage() -> TestResult {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let tally = RefCell::new((0_u32, 0_u32, 0_u32));
    TestRunner::new_with_rng(config, rng).run(&any_scenario(), |scenario| {
        let (before, after) = tables(&scenario);
        let repartition = match scenario.retry_piece {
            true => RepartitionPolicy::RetryPiece,
            false => RepartitionPolicy::SearchRemainder,
        };
        let options = Options { repartition, ..Options::default() };
        let mut budget = budget_of(scenario.budget);
        let mut log = SearchLog::default();
        let run = virtual_front::run(
            query(ms(DEADLINE)),
            options,
            &mut budget,
            |now| if now < ms(scenario.publish_at) { before.clone() } else { after.clone() },
            &mut |send, now| {
                let delay = scenario.delays[send.batch.0 as usize % scenario.delays.len()];
                let pieces = log.answer(&scenario, send, now + ms(delay));
                (delay < 60).then_some((Duration::from_millis(delay), pieces))
            },
        );
        let answer = run.query;
        prop_assert!(run.at <= ms(DEADLINE), "late: {:?}", run.at);
        prop_assert!(run.sent <= SHARDS as usize * 2 + scenario.budget as usize + SHARDS as usize);
        let version = answer.version.ok_or_else(|| TestCaseError::fail("no version"))?;
        let name = format!("{version:?}-");
        prop_assert!(answer.matches.iter().all(|it| it.id.starts_with(&name)), "mixed versions");

        let covered: RangeSet = answer.coverage.covered.iter().copied().collect();
        let overstated = covered.difference(&log.at(version));
        prop_assert!(overstated.is_empty(), "not searched: {:?}", overstated);
        prop_assert!(answer.matches.iter().all(|it| covered.contains(it.key)));
        let missing: RangeSet = answer.coverage.missing.iter().map(|it| it.range).collect();
        prop_assert!(covered.difference(&missing) == covered, "covered and missing");
        prop_assert_eq!(covered.len() + missing.len(), KeyRange::FULL.len());
        prop_assert_eq!(answer.coverage.fraction == 1.0, missing.is_empty());
        prop_assert!(answer.total <= u64::from(run.sent as u32));

        let mut tally = tally.borrow_mut();
        tally.0 += u32::from(missing.is_empty());
        tally.1 += answer.counts.replans;
        tally.2 += u32::from(answer.counts.crossed > 0);
        Ok(())
    })?;
    let (complete, replanned, crossed) = *tally.borrow();
    // The generated scenarios must reach the cases under test.
    assert!(complete > 50 && replanned > 50 && crossed > 50, "{complete} {replanned} {crossed}");
    Ok(())
}
