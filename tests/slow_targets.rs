//! Tail latency: slow targets, and what callers see of them.

mod support;

use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;

/// Queries sent to each host.
const QUERIES: usize = 10;

/// A target reports that it is healthy but is hundreds of times slower than its peers. Its owner
/// has no other replica of the shard in its zone, so every query would wait for it. A hedged
/// request to the owner of a replica in another zone completes the queries instead.
#[tokio::test]
async fn another_zone_answers_for_a_slow_target() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    fleet.deployment.targets[0].standin.control().set_faults(|faults| faults.slow_factor = 500.0);
    for index in 0..fleet.daemons.len() {
        for _ in 0..QUERIES {
            let answer = fleet.send(index, fleet.query("agent-desk")).await?;
            assert!(is_complete(&answer), "{answer:?}");
        }
    }
    let mut hedged = 0.0;
    for index in 0..fleet.daemons.len() {
        let label = "reason=\"hedge\",what=\"retried\"";
        hedged += fleet.metric(index, "hawthorn_owner_pieces", label).await?;
    }
    assert!(hedged > 0.0, "no owner sent a hedged request to another zone");
    fleet.check()
}
