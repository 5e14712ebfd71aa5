//! Plans: one version, disjoint pieces, a reason for each missing key.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_plan::PlanInput;
use hawthorn_plan::QueryPlan;
use hawthorn_plan::ShardRecord;
use hawthorn_plan::ShardTable;
use hawthorn_plan::plan;
use hawthorn_plan::plan::VersionChoice;
use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardKey;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use support::NEW;
use support::OLD;
use support::OWN;
use support::even_shards;
use support::even_table;
use support::ms;
use support::replica;

type TestResult = Result<(), Box<dyn Error>>;

fn plan_of(table: &ShardTable) -> QueryPlan {
    let input = PlanInput::first(table, KeyRange::FULL, OWN, ms(50));
    plan::plan(&input, &plan::Options::default())
}

struct VersionCase {
    name: &'static str,
    /// For each of four shards, the versions in the local and in the other zone.
    held: [(&'static [IndexVersion], &'static [IndexVersion]); 4],
    choice: VersionChoice,
    version: Option<IndexVersion>,
    pieces: usize,
    missing: &'static [MissingReason],
}

const BOTH: &[IndexVersion] = &[OLD, NEW];
const ONLY_OLD: &[IndexVersion] = &[OLD];
const ONLY_NEW: &[IndexVersion] = &[NEW];
const NONE: &[IndexVersion] = &[];

#[test]
fn chooses_newest_version_with_highest_coverage() -> TestResult {
    let case = |name, held, version, pieces, missing| VersionCase {
        name,
        held,
        choice: VersionChoice::Any,
        version,
        pieces,
        missing,
    };
    let missing_version = &[MissingReason::VersionMissing];
    let no_replica = &[MissingReason::NoReplica];
    let arriving = [(BOTH, ONLY_OLD), (ONLY_OLD, ONLY_OLD), (BOTH, BOTH), (ONLY_OLD, BOTH)];
    let even = [(ONLY_OLD, BOTH), (ONLY_OLD, ONLY_OLD), (ONLY_NEW, ONLY_NEW), (BOTH, NONE)];
    let ahead = [(ONLY_OLD, ONLY_OLD), (ONLY_OLD, ONLY_OLD), (ONLY_NEW, ONLY_NEW), (BOTH, NONE)];
    let split = [(ONLY_NEW, NONE), (ONLY_OLD, ONLY_NEW), (ONLY_OLD, ONLY_NEW), (NONE, ONLY_NEW)];
    let one_off = [(ONLY_OLD, NONE), (NONE, NONE), (ONLY_OLD, NONE), (ONLY_OLD, NONE)];
    let cases = [
        case("both everywhere", [(BOTH, BOTH); 4], Some(NEW), 4, &[]),
        case("the new version is partially published", arriving, Some(OLD), 4, &[]),
        case("equal coverage: the newest version wins", even, Some(NEW), 3, missing_version),
        case("one shard is ahead in both zones", ahead, Some(OLD), 3, missing_version),
        case("the other zone completes the new version", split, Some(NEW), 4, &[]),
        case("a shard with no replica switched on", one_off, Some(OLD), 3, no_replica),
        case("no replica holds any version", [(NONE, NONE); 4], None, 0, no_replica),
        VersionCase {
            choice: VersionChoice::NewerThan(OLD),
            ..case("only newer versions are allowed", ahead, Some(NEW), 2, missing_version)
        },
    ];
    for case in cases {
        let shards = (0..).zip(case.held).map(|(number, (own, other))| {
            let options = [replica(0, own, Duration::ZERO), replica(1, other, Duration::ZERO)];
            ShardRecord::new(ShardKey(number), KeyRange::part(number, 4), options)
        });
        let table = ShardTable::new(shards.collect());
        let first = PlanInput::first(&table, KeyRange::FULL, OWN, ms(50));
        let input = PlanInput { version: case.choice, ..first };
        let plan = plan::plan(&input, &plan::Options::default());
        assert_eq!(plan.version, case.version, "{}", case.name);
        assert_eq!(plan.piece_count(), case.pieces, "{}", case.name);
        let mut reasons: Vec<_> = plan.missing.iter().map(|missing| missing.reason).collect();
        reasons.dedup();
        assert_eq!(reasons, case.missing, "{}", case.name);
    }
    Ok(())
}

struct ZoneCase {
    name: &'static str,
    own_wait: u64,
    other_wait: u64,
    /// Bounds on how many of 1000 shards go to the other zone.
    shifted: (usize, usize),
}

/// Guards against oscillation between zones: all fronts read the same lagging
/// report, and if each shifted all its pieces, the zones would be overloaded in turn
/// although together they can serve the load.
#[test]
fn load_shifts_partially_between_zones() -> TestResult {
    let case =
        |name, own_wait, other_wait, shifted| ZoneCase { name, own_wait, other_wait, shifted };
    let cases = [
        case("equal", 5, 5, (0, 0)),
        case("within the margin", 9, 5, (0, 0)),
        case("twice as long", 26, 10, (450, 550)),
        case("the local zone misses the deadline", 60, 10, (1000, 1000)),
        case("both zones miss the deadline", 60, 58, (0, 0)),
    ];
    for case in cases {
        let shards = (0..1000).map(|number| {
            let options = [
                replica(0, ONLY_OLD, ms(case.own_wait)),
                replica(1, ONLY_OLD, ms(case.other_wait)),
            ];
            ShardRecord::new(ShardKey(number), KeyRange::part(number, 1000), options)
        });
        let table = ShardTable::new(shards.collect());
        let first = PlanInput::first(&table, KeyRange::FULL, OWN, ms(50));
        let plan = plan::plan(&PlanInput { random: 11, ..first }, &plan::Options::default());
        let other = plan.batches.iter().find(|batch| batch.host == HostKey(1));
        let shifted = other.map_or(0, |batch| batch.pieces.len());
        let (min, max) = case.shifted;
        assert!((min..=max).contains(&shifted), "{}: {shifted}", case.name);
    }
    Ok(())
}

/// Half of a shard's keys have moved to its neighbour's targets, and the inventory is
/// not updated yet. If they were assigned to the old shard, every query would need a
/// second round trip for them.
#[test]
fn moved_keys_are_assigned_to_their_holders() -> TestResult {
    let mut shards = even_shards(2, 1, ONLY_OLD);
    let quarter = shards[0].range.len() / 2;
    let moved = KeyRange::new(quarter, shards[0].range.end);
    shards[0].held.remove(moved);
    shards[1].held.insert(moved);
    let plan = plan_of(&ShardTable::new(shards));
    let pieces: Vec<_> = plan.batches[0].pieces.iter().map(|it| (it.shard.0, it.range)).collect();
    let second = KeyRange::part(1, 2);
    assert_eq!(pieces, [(0, KeyRange::new(0, quarter)), (1, moved), (1, second)]);
    assert!(plan.missing.is_empty());
    Ok(())
}

#[test]
fn each_owner_gets_one_batch() -> TestResult {
    let plan = plan_of(&even_table(270, 3, BOTH));
    assert_eq!(plan.batches.len(), 1);
    assert_eq!(plan.piece_count(), 270);
    Ok(())
}

#[test]
fn reused_plan_equals_new_plan() -> TestResult {
    let mut reused = QueryPlan::default();
    for count in [7, 270, 1, 30] {
        let table = even_table(count, 3, BOTH);
        let input = PlanInput::first(&table, KeyRange::FULL, OWN, ms(50));
        plan::plan_into(&input, &mut reused, &plan::Options::default());
        let new = plan_of(&table);
        assert_eq!(
            (reused.version, &reused.batches, &reused.missing),
            (new.version, &new.batches, &new.missing)
        );
    }
    Ok(())
}

/// A test runner with a fixed seed.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Shards that may overlap, leave gaps and hold keys of others.
fn any_shards() -> impl Strategy<Value = Vec<ShardRecord>> {
    let part = || (0_u32..1000, 0_u32..300);
    let versions = || proptest::collection::vec(5_u64..8, 0..3);
    let shard = (part(), part(), proptest::collection::vec((0_u32..3, versions()), 0..4));
    proptest::collection::vec(shard, 0..12).prop_map(|shards| {
        let record = |(number, (range, extra, options)): (u32, AnyShard)| {
            let options = options.into_iter().map(|(zone, versions)| {
                let versions: Vec<_> = versions.into_iter().map(IndexVersion).collect();
                replica(zone, &versions, Duration::ZERO)
            });
            let span = |(start, length)| KeyRange::new(start, start + length);
            let mut record = ShardRecord::new(ShardKey(number), span(range), options);
            record.held.insert(span(extra));
            record
        };
        (0..).zip(shards).map(record).collect()
    })
}

type AnyShard = ((u32, u32), (u32, u32), Vec<(u32, Vec<u64>)>);

#[test]
fn pieces_and_missing_ranges_partition_the_request() -> TestResult {
    let requested = (0_u32..1200, 0_u32..1200).prop_map(|(a, b)| KeyRange::new(a.min(b), a.max(b)));
    runner(2000).run(&(any_shards(), requested), |(shards, requested)| {
        let table = ShardTable::new(shards);
        let input = PlanInput::first(&table, requested, OWN, ms(50));
        let plan = plan::plan(&input, &plan::Options::default());
        let mut union = RangeSet::default();
        let mut keys = 0_u64;
        let pieces = plan.batches.iter().flat_map(|batch| &batch.pieces);
        for piece in pieces.clone() {
            let record = table.shards().iter().find(|shard| shard.shard == piece.shard);
            let record = record.ok_or_else(|| TestCaseError::fail("a piece without a shard"))?;
            let rest = RangeSet::from(piece.range).difference(&record.held);
            prop_assert!(rest.is_empty(), "planned for keys that the shard does not hold");
            let version = plan.version.ok_or_else(|| TestCaseError::fail("no version"))?;
            prop_assert!(
                record
                    .options
                    .iter()
                    .any(|it| it.zone == piece.zone && it.versions.contains(&version))
            );
        }
        let ranges = pieces.map(|piece| piece.range).chain(plan.missing.iter().map(|it| it.range));
        for range in ranges {
            prop_assert!(!range.is_empty());
            keys += u64::from(range.len());
            union.insert(range);
        }
        prop_assert_eq!(keys, u64::from(union.len()), "pieces or missing ranges overlap");
        prop_assert_eq!(union, RangeSet::from(requested));
        Ok(())
    })?;
    Ok(())
}
