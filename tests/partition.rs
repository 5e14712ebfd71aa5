//! Zones that are partitioned from each other and from the platform.

mod support;

use hawthorn_daemon::request::status::FleetReport;
use hawthorn_standin::proxy::NetworkLocation;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;
use hawthorn_types::RefusalReason;
use hyper::Method;
use hyper::StatusCode;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;
use support::load::RunningLoad;
use support::wire;

const SERVICE: &str = "agent-desk";

/// Shards of the service; shard N has its replicas in zones N and N + 1 of 3.
const SHARDS: u32 = 8;

/// Index of the partitioned zone, and of its only host.
const ISOLATED: usize = 2;

/// Shards without a replica in the partitioned zone.
const UNREACHABLE_SHARDS: [u32; 3] = [0, 3, 6];

/// Time within which an accepted configuration is to be in force on every host.
const IN_FORCE_WITHIN_MS: u64 = 8_000;

/// Sends between two steps of a scenario.
const STEP: usize = 30;

fn zone(fleet: &TestFleet, index: usize) -> NetworkLocation {
    NetworkLocation::zone(&fleet.deployment.options().zones[index])
}

/// Partitions the isolated zone from the other zones and from the platform.
fn isolate(fleet: &TestFleet) -> TestResult {
    let network = fleet.network()?;
    let others = [zone(fleet, 0), zone(fleet, 1), NetworkLocation::Platform];
    network.partition(&[&[zone(fleet, ISOLATED)], &others]);
    Ok(())
}

async fn wait_until_detected(fleet: &TestFleet) -> TestResult {
    let zones = &fleet.deployment.options().zones;
    for (index, lost) in [(0, 1), (1, 1), (ISOLATED, 2)] {
        let report = fleet.wait_for(index, "a lost zone", |report| report.lost_zones.len() == lost);
        let report = report.await?;
        assert_eq!(report.lost_zones.contains(&zones[ISOLATED]), index != ISOLATED, "{report:?}");
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

fn unreachable_ranges() -> RangeSet {
    UNREACHABLE_SHARDS.into_iter().map(|shard| KeyRange::part(shard, SHARDS)).collect()
}

fn missing(answer: &CallerAnswer) -> RangeSet {
    let missing = answer.coverage.iter().flat_map(|coverage| &coverage.missing);
    missing.map(|missing| missing.range).collect()
}

fn assert_serves_local_shards(answer: &CallerAnswer) {
    assert_eq!(answer.outcome, CallerOutcome::Answer, "{answer:?}");
    assert_eq!(missing(answer), unreachable_ranges(), "{answer:?}");
    let reasons = [MissingReason::NoReplica, MissingReason::OwnerUnreachable];
    let ranges = answer.coverage.iter().flat_map(|coverage| &coverage.missing);
    for range in ranges {
        assert!(reasons.contains(&range.reason), "{answer:?}");
    }
}

/// A zone cut off from the other zones and the platform reports exactly the unreachable shards as
/// missing; otherwise a caller would take existing records for absent and place an order twice. It
/// cannot claim non-idempotent requests, so it rejects them as not run; their ids run once after
/// the partition heals. The other side answers queries completely and runs requests.
#[tokio::test]
async fn a_partitioned_zone_serves_its_shards_and_reports_the_rest_missing() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    isolate(&fleet)?;
    wait_until_detected(&fleet).await?;
    let answer = fleet.send(ISOLATED, fleet.query(SERVICE)).await?;
    assert_serves_local_shards(&answer);
    // A shard with replicas on both sides of the partition.
    let request = fleet.once(SERVICE, KeyRange::part(1, SHARDS).start);
    let rejected = fleet.send_once(ISOLATED, request.clone()).await?;
    assert!(matches!(rejected.outcome, CallerOutcome::NotRun(_)), "{rejected:?}");
    assert!(rejected.retry_after_ms.is_some(), "{rejected:?}");
    for index in [0, 1] {
        let answer = fleet.send(index, fleet.query(SERVICE)).await?;
        assert!(is_complete(&answer), "{answer:?}");
        let other = fleet.once(SERVICE, KeyRange::part(1, SHARDS).start);
        let answer = fleet.send_once(index, other).await?;
        assert_eq!(answer.outcome, CallerOutcome::Answer, "{answer:?}");
    }
    heal(&fleet).await?;
    let answer = fleet.send_once(ISOLATED, request).await?;
    assert_eq!(answer.outcome, CallerOutcome::Answer, "{answer:?}");
    fleet.check()
}

/// Operators edit the rules while a zone is partitioned. Its answers carry the old revision and its
/// age. Once the partition heals it applies the new revision, and never reverts.
#[tokio::test]
async fn an_edit_reaches_a_zone_after_its_partition_heals() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    isolate(&fleet)?;
    wait_until_detected(&fleet).await?;
    let rules = format!("{}# edited\n", fleet.deployment.rules_toml());
    fleet.apply(1, "second", &rules).await?;
    for index in [0, 1] {
        fleet.wait_for(index, "the edit", |report| report.configuration.revision.0 == 2).await?;
    }
    let old = fleet.send(ISOLATED, fleet.query(SERVICE)).await?;
    assert_eq!(old.configuration.revision.0, 1, "{old:?}");
    let new = fleet.send(0, fleet.query(SERVICE)).await?;
    assert_eq!(new.configuration.revision.0, 2, "{new:?}");
    assert!(old.configuration.age_ms > new.configuration.age_ms, "{old:?} {new:?}");
    heal(&fleet).await?;
    fleet.wait_for_revision(2).await?;
    fleet.check()
}

struct AbsentNameCase {
    name: &'static str,
    path: &'static str,
    body: serde_json::Value,
}

/// Guards against a final refusal of a caller that operators added while this zone was cut off.
#[tokio::test]
async fn a_partitioned_zone_does_not_reject_an_unknown_name_for_good() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    isolate(&fleet)?;
    wait_until_detected(&fleet).await?;
    let rules = format!("{}[[caller]]\nname = \"new-desk\"\n", fleet.deployment.rules_toml());
    fleet.apply(1, "second", &rules).await?;
    let is_stale = |report: &FleetReport| report.configuration.age_ms > IN_FORCE_WITHIN_MS;
    fleet.wait_for(ISOLATED, "an old configuration", is_stale).await?;
    let mut query = fleet.query(SERVICE);
    query.caller = "new-desk".into();
    let mut once = fleet.once(SERVICE, 7);
    once.caller = "new-desk".into();
    let absent_query = fleet.query("new-service");
    let absent_once = fleet.once("new-service", 7);
    let case = |name, path, body| AbsentNameCase { name, path, body };
    let cases = [
        case("caller of a query", "/v1/query", serde_json::to_value(&query)?),
        case("caller of a request", "/v1/request", serde_json::to_value(&once)?),
        case("service of a query", "/v1/query", serde_json::to_value(&absent_query)?),
        case("service of a request", "/v1/request", serde_json::to_value(&absent_once)?),
    ];
    for case in cases {
        let at = fleet.daemons[ISOLATED].caller;
        let body = serde_json::to_vec(&case.body)?;
        let (status, body) = wire::call(at, Method::POST, case.path, body).await?;
        let answer: CallerAnswer = serde_json::from_slice(&body)?;
        let expected = CallerOutcome::NotRun(RefusalReason::StaleConfiguration);
        assert_eq!(answer.outcome, expected, "{}: {answer:?}", case.name);
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{}", case.name);
        assert!(answer.retry_after_ms.is_some(), "{}: {answer:?}", case.name);
    }
    heal(&fleet).await?;
    fleet.wait_for_revision(2).await?;
    let answer = fleet.send(ISOLATED, query).await?;
    assert!(is_complete(&answer), "{answer:?}");
    fleet.check()
}

/// The network drops what one zone sends but delivers what it is sent. The zone receives the
/// others' heartbeats and sees no fault; requests forwarded to it run, but their answers are lost.
/// Queries report accurate coverage, no request runs twice or is falsely reported as not run, and
/// answers are complete once the partition heals.
#[tokio::test]
async fn a_one_way_partition_violates_no_invariant() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    load.wait_for_sends(STEP).await?;
    let network = fleet.network()?;
    for other in [0, 1] {
        network.cut_one_way(&zone(&fleet, ISOLATED), &zone(&fleet, other));
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

/// Half of a shard moves from a target in the partitioned zone to one on the other side. The
/// isolated zone cannot know where it moved, and must report the range that its target did not
/// search as missing. Answers are complete after the partition heals.
#[tokio::test]
async fn a_shard_that_leaves_a_partitioned_zone_is_missing_until_it_heals() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::linked()).await?;
    isolate(&fleet)?;
    wait_until_detected(&fleet).await?;
    let isolated = &fleet.deployment.options().zones[ISOLATED];
    // Shard 1 has replicas in zones 1 and 2.
    let holds = |in_isolated: bool| {
        let mut targets = fleet.deployment.targets.iter();
        targets.find(|target| {
            let here = (target.zone == *isolated) == in_isolated;
            target.service == SERVICE && target.shards.contains(&1) && here
        })
    };
    let from = holds(true).ok_or("a replica in the zone")?.standin.control();
    let to = holds(false).ok_or("a replica outside")?.standin.control();
    let half = KeyRange::part(2, 2 * SHARDS);
    from.repartition(SERVICE, half, to);
    let answer = fleet.send(ISOLATED, fleet.query(SERVICE)).await?;
    let mut expected = unreachable_ranges();
    expected.insert(half);
    assert_eq!(missing(&answer), expected, "{answer:?}");
    let answer = fleet.send(0, fleet.query(SERVICE)).await?;
    assert!(is_complete(&answer), "{answer:?}");
    heal(&fleet).await?;
    fleet.check()
}
