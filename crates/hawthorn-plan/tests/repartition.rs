//! Repartition while a query runs: what a second search costs, both ways.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_plan::ShardTable;
use hawthorn_plan::track::BatchSend;
use hawthorn_plan::track::Options;
use hawthorn_plan::track::PieceAnswer;
use hawthorn_plan::track::RepartitionPolicy;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RetryReason;

use support::OLD;
use support::answer_each;
use support::budget_of;
use support::even_shards;
use support::found;
use support::ms;
use support::query;
use support::virtual_front;
use support::virtual_front::Run;

type TestResult = Result<(), Box<dyn Error>>;

const SHARDS: u32 = 270;
/// A target searches a whole shard in so long, a part of it in its part.
const SEARCH: Duration = Duration::from_millis(8);
/// The way to an owner, its target, and back.
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Each shard has its own owner, so that each batch takes what its piece takes.
fn tables(moving: u32, divisor: u32) -> (ShardTable, ShardTable) {
    let mut shards = even_shards(SHARDS, 1, &[OLD]);
    for (number, shard) in (0..).zip(&mut shards) {
        shard.options[0].owner = HostKey(number);
    }
    let before = ShardTable::new(shards.clone());
    for number in 0..moving as usize {
        let from = 2 * number;
        let range = shards[from].range;
        let moved = KeyRange::new(range.end - range.len() / divisor, range.end);
        shards[from].held.remove(moved);
        shards[from + 1].held.insert(moved);
    }
    (before, ShardTable::new(shards))
}

/// What the targets hold after the repartition.
fn search(table: &ShardTable, send: &BatchSend) -> (Duration, Vec<PieceAnswer>) {
    let held = |host: HostKey| {
        let record = table.shards().iter().find(|shard| shard.options[0].owner == host);
        record.map(|shard| shard.held.clone()).unwrap_or_default()
    };
    let mut keys = 0;
    let pieces = answer_each(send, |piece| {
        let searched = held(send.host).clip(piece.range);
        keys += searched.len();
        found(IndexVersion(send.version.0), searched)
    });
    let whole = KeyRange::part(0, SHARDS).len();
    (ROUND_TRIP + SEARCH.mul_f64(f64::from(keys) / f64::from(whole)), pieces)
}

fn run(policy: RepartitionPolicy, moving: u32, divisor: u32) -> (Run, u32) {
    let (before, after) = tables(moving, divisor);
    let options = Options { repartition: policy, ..Options::default() };
    let mut budget = budget_of(1000);
    let mut extra = 0;
    let run = virtual_front::run(
        query(ms(50)),
        options,
        &mut budget,
        |now| if now.is_zero() { before.clone() } else { after.clone() },
        &mut |send, now| {
            if !now.is_zero() {
                extra += send.pieces.iter().map(|piece| piece.range.len()).sum::<u32>();
            }
            Some(search(&after, send))
        },
    );
    (run, extra)
}

struct MoveCase {
    name: &'static str,
    moving: u32,
    divisor: u32,
    /// Extra shard requests: the rest searched, and the whole piece.
    rest: usize,
    whole: usize,
}

/// A shard is split while a query runs: its target answers for the half it
/// kept. The caller would see half of a shard's filings missing from an answer
/// that says it is complete, if ranges were not compared. Both remedies cover
/// everything; searching the rest asks half as often and repeats nothing.
#[test]
fn searching_the_rest_costs_less_than_the_whole_piece() -> TestResult {
    let cases = [
        MoveCase { name: "half of one shard", moving: 1, divisor: 2, rest: 1, whole: 2 },
        MoveCase { name: "a tenth of one shard", moving: 1, divisor: 10, rest: 1, whole: 2 },
        MoveCase { name: "half of 20 shards", moving: 20, divisor: 2, rest: 20, whole: 40 },
    ];
    let mut figures = String::new();
    for case in cases {
        let (rest, rest_keys) = run(RepartitionPolicy::SearchRest, case.moving, case.divisor);
        let (whole, whole_keys) = run(RepartitionPolicy::WholePiece, case.moving, case.divisor);
        for answer in [&rest.query, &whole.query] {
            assert_eq!(answer.coverage.fraction, 1.0, "{}: {:?}", case.name, answer.coverage);
            assert_eq!(answer.version, Some(OLD), "{}", case.name);
        }
        assert_eq!(rest.sent - SHARDS as usize, case.rest, "{}", case.name);
        assert_eq!(whole.sent - SHARDS as usize, case.whole, "{}", case.name);
        assert!(rest.at <= whole.at, "{}: {:?} {:?}", case.name, rest.at, whole.at);
        assert!(rest_keys < whole_keys, "{}", case.name);
        let retried = rest.query.counts.retried(RetryReason::Repartitioned);
        assert_eq!(retried as usize, case.rest, "{}", case.name);
        let shard = f64::from(KeyRange::part(0, SHARDS).len());
        figures += &format!(
            "{}: rest {} requests, {:.2} shards searched again, done at {:.1} ms; whole {}, {:.2}, {:.1} ms\n",
            case.name,
            case.rest,
            f64::from(rest_keys) / shard,
            rest.at.as_secs_f64() * 1e3,
            case.whole,
            f64::from(whole_keys) / shard,
            whole.at.as_secs_f64() * 1e3,
        );
    }
    insta::assert_snapshot!(figures, @r"
    half of one shard: rest 1 requests, 0.50 shards searched again, done at 14.0 ms; whole 2, 1.00, 14.0 ms
    a tenth of one shard: rest 1 requests, 0.10 shards searched again, done at 14.0 ms; whole 2, 1.00, 20.4 ms
    half of 20 shards: rest 20 requests, 10.00 shards searched again, done at 14.0 ms; whole 40, 20.00, 14.0 ms
    ");
    Ok(())
}

/// The keys that moved are at no target that the front knows of. The answer
/// says so instead of circling.
#[test]
fn keys_that_nobody_holds_are_missing_as_repartitioned() -> TestResult {
    let table = ShardTable::new(even_shards(4, 1, &[OLD]));
    let kept = RangeSet::from(KeyRange::new(0, 1000));
    let mut budget = budget_of(100);
    let run = virtual_front::run(
        query(ms(50)),
        Options::default(),
        &mut budget,
        |_| table.clone(),
        &mut |send, _| {
            let pieces = answer_each(send, |piece| match piece.range.start {
                0 => found(OLD, kept.clip(piece.range)),
                _ => found(OLD, piece.range.into()),
            });
            Some((ms(5), pieces))
        },
    );
    let missing = &run.query.coverage.missing;
    assert_eq!(missing.len(), 1);
    assert_eq!(missing[0].range, KeyRange::new(1000, KeyRange::part(0, 4).end));
    assert_eq!(missing[0].reason, MissingReason::Repartitioned);
    assert_eq!(run.at, ms(5), "told at once");
    Ok(())
}
