//! Cost of both repartition policies when a shard is split during a query.

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
/// Time a target needs to search a shard; proportional for a part of it.
const SEARCH: Duration = Duration::from_millis(8);
/// Round trip to an owner and its target.
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Each shard has its own owner, so that a batch takes as long as its only piece.
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

/// Answers as the targets do after the repartition.
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
    let shard = KeyRange::part(0, SHARDS).len();
    (ROUND_TRIP + SEARCH.mul_f64(f64::from(keys) / f64::from(shard)), pieces)
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
    /// Extra shard requests when the remainder or the piece is searched again.
    remainder: usize,
    piece: usize,
}

/// A shard is split during a query, and its target answers only for the keys that it
/// kept. Without comparing ranges, an answer with missing keys would count as
/// complete. Both policies cover everything; searching only the remainder needs half
/// the requests and repeats nothing.
#[test]
fn searching_the_remainder_costs_less_than_the_piece() -> TestResult {
    let cases = [
        MoveCase { name: "half of one shard", moving: 1, divisor: 2, remainder: 1, piece: 2 },
        MoveCase { name: "a tenth of one shard", moving: 1, divisor: 10, remainder: 1, piece: 2 },
        MoveCase { name: "half of 20 shards", moving: 20, divisor: 2, remainder: 20, piece: 40 },
    ];
    let mut figures = String::new();
    for case in cases {
        let (remainder, remainder_keys) =
            run(RepartitionPolicy::SearchRemainder, case.moving, case.divisor);
        let (piece, piece_keys) = run(RepartitionPolicy::RetryPiece, case.moving, case.divisor);
        for answer in [&remainder.query, &piece.query] {
            assert_eq!(answer.coverage.fraction, 1.0, "{}: {:?}", case.name, answer.coverage);
            assert_eq!(answer.version, Some(OLD), "{}", case.name);
        }
        assert_eq!(remainder.sent - SHARDS as usize, case.remainder, "{}", case.name);
        assert_eq!(piece.sent - SHARDS as usize, case.piece, "{}", case.name);
        assert!(remainder.at <= piece.at, "{}: {:?} {:?}", case.name, remainder.at, piece.at);
        assert!(remainder_keys < piece_keys, "{}", case.name);
        let retried = remainder.query.counts.retried(RetryReason::Repartitioned);
        assert_eq!(retried as usize, case.remainder, "{}", case.name);
        let shard = f64::from(KeyRange::part(0, SHARDS).len());
        figures += &format!(
            "{}: rest {} requests, {:.2} shards searched again, done at {:.1} ms; whole {}, {:.2}, {:.1} ms\n",
            case.name,
            case.remainder,
            f64::from(remainder_keys) / shard,
            remainder.at.as_secs_f64() * 1e3,
            case.piece,
            f64::from(piece_keys) / shard,
            piece.at.as_secs_f64() * 1e3,
        );
    }
    insta::assert_snapshot!(figures, @r"
    half of one shard: rest 1 requests, 0.50 shards searched again, done at 14.0 ms; whole 2, 1.00, 14.0 ms
    a tenth of one shard: rest 1 requests, 0.10 shards searched again, done at 14.0 ms; whole 2, 1.00, 20.4 ms
    half of 20 shards: rest 20 requests, 10.00 shards searched again, done at 14.0 ms; whole 40, 20.00, 14.0 ms
    ");
    Ok(())
}

/// No known target holds the moved keys: they are reported as missing instead of
/// being retried until the deadline.
#[test]
fn keys_without_holder_are_missing_as_repartitioned() -> TestResult {
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
    assert_eq!(run.at, ms(5), "answered immediately");
    Ok(())
}
