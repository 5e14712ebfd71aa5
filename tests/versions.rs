//! Index versions and shards that change while queries run.

mod support;

use std::time::Duration;

use hawthorn_standin::check;
use hawthorn_standin::target::TargetControl;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::load::RunningLoad;

const SERVICE: &str = "agent-desk";

/// Sends between two steps of a scenario.
const STEP: usize = 30;

/// Shards of the service.
const SHARDS: u32 = 8;

/// Time until every host knows a change of what a target holds: the probe interval (1 s), the
/// timeout of one lost probe (500 ms), and another 500 ms for the view to reach the fronts. The
/// load continues meanwhile: in 32 runs, eight at a time on eight cores, answers lacked a moved
/// range for up to 1.27 s.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Time after which a target that was ordered to leave receives no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

fn controls(fleet: &TestFleet) -> Vec<&TargetControl> {
    let targets = fleet.deployment.targets.iter();
    targets.filter(|target| target.service == SERVICE).map(|t| t.standin.control()).collect()
}

/// A new index version is published to one target after the other, and the old one retired
/// likewise, under load. An answer merged from both versions would hold a record twice or not at
/// all. Every answer must be of one version with accurate coverage, and complete at the new version
/// in the end.
#[tokio::test]
async fn answers_are_of_one_index_version_during_a_rollout() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    for version in 2..=3 {
        for target in controls(&fleet) {
            target.publish_next(SERVICE, IndexVersion(version));
            load.wait_for_sends(STEP / 10).await?;
        }
        load.wait_for_sends(STEP).await?;
        for target in controls(&fleet) {
            target.retire(SERVICE, IndexVersion(version - 1));
            load.wait_for_sends(STEP / 10).await?;
        }
    }
    fleet.wait_until_ready().await?;
    tokio::time::sleep(PROPAGATION_TIME).await;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    load.finish().await?.check_all_succeeded()?;
    for index in 0..fleet.daemons.len() {
        let answer = fleet.send(index, fleet.query(SERVICE)).await?;
        assert_eq!(answer.index_version, Some(IndexVersion(3)), "{answer:?}");
    }
    fleet.check()
}

/// Half of a shard moves from one replica to the other, and later back, under load. A search that
/// covers only a part of the range must not be taken for the full range: the missing part is
/// searched at the other replica, and answers are complete again after each move.
#[tokio::test]
async fn coverage_is_accurate_while_a_shard_moves() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    let targets = controls(&fleet);
    let half = KeyRange::part(0, 2 * SHARDS);
    load.wait_for_sends(STEP).await?;
    for (from, to) in [(0, 1), (1, 0)] {
        targets[from].repartition(SERVICE, half, targets[to]);
        load.wait_for_sends(STEP).await?;
        fleet.wait_until_ready().await?;
        tokio::time::sleep(PROPAGATION_TIME).await;
        load.take_report();
        load.wait_for_sends(STEP).await?;
        load.take_report()
            .check_all_succeeded()
            .map_err(|error| format!("{from} to {to}: {error}"))?;
    }
    load.finish().await?;
    fleet.check()
}

/// One replica of a shard is slow while the other is ordered to leave. Hedged requests would send
/// all work to the leaving target, which aborts it on leaving, or every answer would lack the
/// shard. The leaving target must receive no new work after its grace period, and the slow one must
/// still answer within the deadline.
#[tokio::test]
async fn a_slow_target_beside_a_leaving_replica_still_answers() -> TestResult {
    const SLOWDOWN: f64 = 10.0;
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    let targets = controls(&fleet);
    load.wait_for_sends(STEP).await?;
    targets[0].set_faults(|faults| faults.slow_factor = SLOWDOWN);
    targets[1].set_draining(true);
    tokio::time::sleep(LEAVING_GRACE).await;
    load.wait_for_sends(STEP).await?;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    tokio::time::sleep(LEAVING_GRACE).await;
    let report = load.take_report();
    assert!(report.complete > 0 && report.disconnected == 0, "{report:?}");
    report.check_all_succeeded()?;
    load.finish().await?;
    let options =
        check::Options { drain_grace: LEAVING_GRACE, corpora: fleet.deployment.corpora.clone() };
    let violations = check::check(&fleet.history.records(), &options);
    assert!(violations.is_empty(), "{violations:?}");
    Ok(())
}
