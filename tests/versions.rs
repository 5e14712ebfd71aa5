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

/// Sends between two steps of a story.
const STEP: usize = 30;

/// Shards of the service.
const SHARDS: u32 = 8;

/// What a target holds is known to every host so long after a change: the
/// interval of probes (1 s), the time-out of one that is lost (500 ms), and as
/// long again for the view to reach the fronts. The load goes on meanwhile.
/// The last answer that lacked a moved range came 1.27 s after the move, in 32
/// runs, eight at a time on eight cores.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// Nothing new reaches a target so long after it was told to leave.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

fn controls(fleet: &TestFleet) -> Vec<&TargetControl> {
    let targets = fleet.deployment.targets.iter();
    targets.filter(|target| target.service == SERVICE).map(|t| t.standin.control()).collect()
}

/// A new index version reaches one target after the other and the old one is
/// taken away the same way, while stem checks run. An answer put together from
/// both would show one barge slot twice or not at all. Every answer is of one
/// version and says truly what it covers, and in the end all are whole at the
/// new one.
#[tokio::test]
async fn answers_are_of_one_version_while_versions_change() -> TestResult {
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
    tokio::time::sleep(KNOWN_WITHIN).await;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    load.finish().await?.check_all_succeeded()?;
    for index in 0..fleet.daemons.len() {
        let answer = fleet.send(index, fleet.query(SERVICE)).await?;
        assert_eq!(answer.index_version, Some(IndexVersion(3)), "{answer:?}");
    }
    fleet.check()
}

/// Half of a shard moves away from one replica, and later from the other back
/// to the first, while stem checks run. A search that a target did only in part
/// would be taken for all of it. What is missing is searched at the other
/// replica, and in the end every answer is whole again.
#[tokio::test]
async fn coverage_is_true_while_a_shard_moves() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    let targets = controls(&fleet);
    let half = KeyRange::part(0, 2 * SHARDS);
    load.wait_for_sends(STEP).await?;
    for (from, to) in [(0, 1), (1, 0)] {
        targets[from].repartition(SERVICE, half, targets[to]);
        load.wait_for_sends(STEP).await?;
        fleet.wait_until_ready().await?;
        tokio::time::sleep(KNOWN_WITHIN).await;
        load.take_report();
        load.wait_for_sends(STEP).await?;
        load.take_report()
            .check_all_succeeded()
            .map_err(|error| format!("{from} to {to}: {error}"))?;
    }
    load.finish().await?;
    fleet.check()
}

/// One replica of a shard straggles and the other is told to leave, together.
/// The tail would push all work to the one that leaves, which cuts it off, or
/// every answer would lack the shard. The leaving one gets nothing new after its
/// grace, and the straggler's shard is still answered within the deadline.
#[tokio::test]
async fn a_straggler_beside_a_leaving_target_still_answers() -> TestResult {
    const SLOW: f64 = 10.0;
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let load = RunningLoad::start(&fleet, &[SERVICE]);
    let targets = controls(&fleet);
    load.wait_for_sends(STEP).await?;
    targets[0].set_faults(|faults| faults.slow_factor = SLOW);
    targets[1].set_leaving(true);
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
        check::Options { leaving_grace: LEAVING_GRACE, corpora: fleet.deployment.corpora.clone() };
    let broken = check::check(&fleet.history.records(), &options);
    assert!(broken.is_empty(), "{broken:?}");
    Ok(())
}
