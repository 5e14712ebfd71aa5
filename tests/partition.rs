//! Zones that are cut off from each other and from the platform.

mod support;

use hawthorn_standin::proxy::NetworkPlace;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;
use support::load::RunningLoad;

const SERVICE: &str = "agent-desk";

/// Shards of the service; shard N has its replicas in zones N and N + 1 of 3.
const SHARDS: u32 = 8;

/// The zone that is cut off, and its one host.
const LONE: usize = 2;

/// Shards without a replica in the zone that is cut off.
const UNSEEN: [u32; 3] = [0, 3, 6];

/// Sends between two steps of a story.
const STEP: usize = 30;

fn zone(fleet: &TestFleet, index: usize) -> NetworkPlace {
    NetworkPlace::zone(&fleet.deployment.options().zones[index])
}

/// Cuts the lone zone off from the others and from the platform.
fn cut_off(fleet: &TestFleet) -> TestResult {
    let network = fleet.network()?;
    let others = [zone(fleet, 0), zone(fleet, 1), NetworkPlace::Platform];
    network.partition(&[&[zone(fleet, LONE)], &others]);
    Ok(())
}

async fn until_noticed(fleet: &TestFleet) -> TestResult {
    let zones = &fleet.deployment.options().zones;
    for (index, lost) in [(0, 1), (1, 1), (LONE, 2)] {
        let report = fleet.wait_for(index, "a lost zone", |report| report.lost_zones.len() == lost);
        let report = report.await?;
        assert_eq!(report.lost_zones.contains(&zones[LONE]), index != LONE, "{report:?}");
    }
    Ok(())
}

async fn heal(fleet: &TestFleet) -> TestResult {
    fleet.network()?.heal();
    fleet.wait_until_ready().await?;
    for index in 0..fleet.daemons.len() {
        fleet.wait_for(index, "no lost zone", |report| report.lost_zones.is_empty()).await?;
        let answer = fleet.send(index, fleet.query(SERVICE)).await?;
        assert!(is_complete(&answer), "{answer:?}");
    }
    Ok(())
}

fn unseen() -> RangeSet {
    UNSEEN.into_iter().map(|shard| KeyRange::part(shard, SHARDS)).collect()
}

fn missing(answer: &CallerAnswer) -> RangeSet {
    let missing = answer.coverage.iter().flat_map(|coverage| &coverage.missing);
    missing.map(|missing| missing.range).collect()
}

fn assert_sees_its_own(answer: &CallerAnswer) {
    assert_eq!(answer.outcome, CallerOutcome::Answer, "{answer:?}");
    assert_eq!(missing(answer), unseen(), "{answer:?}");
    let reasons = [MissingReason::NoReplica, MissingReason::OwnerUnreachable];
    let ranges = answer.coverage.iter().flat_map(|coverage| &coverage.missing);
    for range in ranges {
        assert!(reasons.contains(&range.reason), "{answer:?}");
    }
}

/// The cable to a zone is cut, with the platform on the other side. An agent in
/// the zone who was told "no order found" for a shard that nobody asked would
/// book a second barge. The zone serves its own targets and names just what it
/// cannot see, and refuses confirmations as not run, since it cannot claim
/// them; the other side stays whole and goes on with both. The same id runs
/// once after the cut is mended.
#[tokio::test]
async fn a_zone_that_is_cut_off_serves_its_own_and_says_what_it_cannot_see() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    cut_off(&fleet)?;
    until_noticed(&fleet).await?;
    let answer = fleet.send(LONE, fleet.query(SERVICE)).await?;
    assert_sees_its_own(&answer);
    // A shard with replicas on both sides.
    let request = fleet.once(SERVICE, KeyRange::part(1, SHARDS).start);
    let refused = fleet.send_once(LONE, request.clone()).await?;
    assert!(matches!(refused.outcome, CallerOutcome::NotRun(_)), "{refused:?}");
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    for index in [0, 1] {
        let answer = fleet.send(index, fleet.query(SERVICE)).await?;
        assert!(is_complete(&answer), "{answer:?}");
        let other = fleet.once(SERVICE, KeyRange::part(1, SHARDS).start);
        let ran = fleet.send_once(index, other).await?;
        assert_eq!(ran.outcome, CallerOutcome::Answer, "{ran:?}");
    }
    heal(&fleet).await?;
    let ran = fleet.send_once(LONE, request).await?;
    assert_eq!(ran.outcome, CallerOutcome::Answer, "{ran:?}");
    fleet.check()
}

/// Operators edit the rules while a zone is cut off. It goes on with the old
/// revision and its answers say so and how old that is; once the cut is mended
/// it takes the new one, and never goes back.
#[tokio::test]
async fn an_edit_reaches_a_zone_after_it_was_cut_off() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    cut_off(&fleet)?;
    until_noticed(&fleet).await?;
    let rules = format!("{}# edited\n", fleet.deployment.rules_toml());
    fleet.apply(1, "second", &rules).await?;
    for index in [0, 1] {
        fleet.wait_for(index, "the edit", |report| report.configuration.revision.0 == 2).await?;
    }
    let old = fleet.send(LONE, fleet.query(SERVICE)).await?;
    assert_eq!(old.configuration.revision.0, 1, "{old:?}");
    let new = fleet.send(0, fleet.query(SERVICE)).await?;
    assert_eq!(new.configuration.revision.0, 2, "{new:?}");
    assert!(old.configuration.age_ms > new.configuration.age_ms, "{old:?} {new:?}");
    heal(&fleet).await?;
    fleet.wait_for_revision(2).await?;
    fleet.check()
}

/// A switch drops what one zone sends and delivers what it gets. The zone hears
/// the others and believes that all is well, and requests handed to it run but
/// their answers never come. Queries go on with true coverage, no request runs
/// twice or is falsely called not run, and all is whole once it is mended.
#[tokio::test]
async fn a_zone_that_hears_and_is_not_heard_breaks_no_promise() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    load.wait_for_sends(STEP).await?;
    let network = fleet.network()?;
    for other in [0, 1] {
        network.cut_one_way(&zone(&fleet, LONE), &zone(&fleet, other));
    }
    for index in [0, 1] {
        fleet.wait_for(index, "a lost zone", |report| !report.lost_zones.is_empty()).await?;
    }
    load.wait_for_sends(STEP).await?;
    for index in [0, 1] {
        let answer = fleet.send(index, fleet.query(SERVICE)).await?;
        assert!(is_complete(&answer), "{answer:?}");
    }
    load.wait_for_sends(STEP).await?;
    let report = load.finish().await?;
    assert!(report.complete > 0 && report.disconnected == 0, "{report:?}");
    heal(&fleet).await?;
    fleet.check()
}

/// Half of a shard leaves a target in the zone that is cut off for one on the
/// other side. The lone zone cannot know where it went: it must not take what
/// its target did not search for searched. Whole again after the cut.
#[tokio::test]
async fn a_shard_that_moves_out_of_a_lone_zone_is_missed_and_found_again() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    cut_off(&fleet)?;
    until_noticed(&fleet).await?;
    let lone = &fleet.deployment.options().zones[LONE];
    // Shard 1 has replicas in zones 1 and 2.
    let holds = |in_lone: bool| {
        let mut targets = fleet.deployment.targets.iter();
        targets.find(|target| {
            let here = (target.zone == *lone) == in_lone;
            target.service == SERVICE && target.shards.contains(&1) && here
        })
    };
    let from = holds(true).ok_or("a replica in the zone")?.standin.control();
    let to = holds(false).ok_or("a replica outside")?.standin.control();
    let half = KeyRange::part(2, 2 * SHARDS);
    from.repartition(SERVICE, half, to);
    let answer = fleet.send(LONE, fleet.query(SERVICE)).await?;
    let mut expected = unseen();
    expected.insert(half);
    assert_eq!(missing(&answer), expected, "{answer:?}");
    let answer = fleet.send(0, fleet.query(SERVICE)).await?;
    assert!(is_complete(&answer), "{answer:?}");
    heal(&fleet).await?;
    fleet.check()
}
