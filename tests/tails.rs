//! Slow targets, and what callers see of them.

mod support;

use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;

/// How many queries go to each host.
const QUERIES: usize = 10;

/// A target says that it is healthy and takes a hundred times as long as its
/// peers. Its owner has no other replica of the shard in its zone, so every
/// query would wait for it; the owner of the replica in the next zone answers
/// instead, and the queries are whole.
#[tokio::test]
async fn the_other_zone_answers_for_a_target_that_hangs() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    fleet.deployment.targets[0].standin.control().set_faults(|faults| faults.slow_factor = 500.0);
    for index in 0..fleet.daemons.len() {
        for _ in 0..QUERIES {
            let answer = fleet.send(index, fleet.query("agent-desk")).await?;
            assert!(is_complete(&answer), "{answer:?}");
        }
    }
    let mut relayed = 0.0;
    for index in 0..fleet.daemons.len() {
        let label = "reason=\"hedge\",what=\"retried\"";
        relayed += fleet.metric(index, "hawthorn_owner_pieces", label).await?;
    }
    assert!(relayed > 0.0, "no owner asked another zone");
    fleet.check()
}
