//! Hosts that stand still for seconds and go on as if nothing had happened.

mod support;

use std::time::Duration;

use hawthorn_daemon::request::status::FleetReport;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KeyRange;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::load::RunningLoad;

/// Sends between two steps of a story.
const STEP: usize = 60;

/// Shards of the desk service.
const SHARDS: u32 = 8;

/// How long a host stands still: longer than it takes to be given up.
const STANDSTILL: Duration = Duration::from_secs(3);

/// The log event of a process that noticed that it stood still.
const PAUSED: &str = "E303";

fn is_alive(report: &FleetReport, host: &str) -> bool {
    report.hosts.iter().any(|known| known.host == host && known.health == "alive")
}

/// A host's virtual machine is suspended for three seconds under load and
/// meanwhile operators edit the rules. Others take its targets over. When it
/// goes on it still believes that it owns them: if it used them, targets would
/// get twice the work that they have slots for, and queue it in the dark. Each
/// of two owners has half of the slots, so what waits inside a target beyond
/// its slots is at most as much as its slots once more, for what was cancelled
/// and has not ended. The host takes the edit up and never goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_that_was_suspended_does_not_overfill_targets() -> TestResult {
    let options = FleetOptions { hosts: vec![2, 1, 1], ..FleetOptions::small() };
    let fleet = TestFleet::start(options).await?;
    let frozen = &fleet.daemons[0];
    let load = RunningLoad::start(&fleet, &["agent-desk"]);
    load.wait_for_sends(STEP).await?;
    frozen.suspend()?;
    let began = tokio::time::Instant::now();
    for index in 1..fleet.daemons.len() {
        fleet
            .wait_for(index, "the end of the frozen host", |report| {
                !is_alive(report, &frozen.spec.host) && report.uncovered.is_empty()
            })
            .await?;
    }
    let rules = format!("{}# edited\n", fleet.deployment.rules_toml());
    fleet.apply(1, "while it stands still", &rules).await?;
    tokio::time::sleep_until(began + STANDSTILL).await;
    frozen.resume()?;
    load.wait_for_sends(STEP).await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_revision(2).await?;
    load.wait_for_sends(STEP).await?;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    load.finish().await?.check_all_succeeded()?;
    assert!(frozen.logged(PAUSED) > 0, "{}", frozen.log_tail());
    for target in &fleet.deployment.targets {
        let counters = target.standin.control().counters();
        let service = fleet.deployment.options().services.iter();
        let slots = service.filter(|service| service.name == target.service);
        let slots = slots.map(|service| service.slots).max().unwrap_or_default();
        assert!(counters.peak_busy <= slots, "{}: {counters:?}", target.name);
        assert!(counters.peak_waiting <= slots, "{}: {counters:?}", target.name);
        assert_eq!(counters.connections_refused, 0, "{}: {counters:?}", target.name);
    }
    fleet.check()
}

/// An order confirmation waits for its claim while the store is slow. The hosts
/// that own its shard are suspended past the agent's deadline and go on with the
/// claimed request in hand, or unread in their sockets. The agent has given up and may have called the barge by
/// telephone; the order must not be sent now, nor when it is sent again late.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_suspended_claim_holder_does_not_run_a_request_past_its_deadline() -> TestResult {
    const SLOW: Duration = Duration::from_millis(600);
    const CLAIMING: Duration = Duration::from_millis(200);
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    // The shard's replicas stand in the zones of the first two hosts.
    let mut request = fleet.once("agent-desk", KeyRange::part(0, SHARDS).start);
    request.deadline_ms = 1_000;
    let owners = &fleet.daemons[..2];
    let platform = fleet.deployment.platform.control();
    platform.set_faults(|faults| faults.extra_delay = SLOW);
    let story = async {
        tokio::time::sleep(CLAIMING).await;
        owners.iter().try_for_each(|owner| owner.suspend())?;
        platform.set_faults(|faults| faults.extra_delay = Duration::ZERO);
        tokio::time::sleep(STANDSTILL).await;
        owners.iter().try_for_each(|owner| owner.resume())
    };
    let (heard, story) = tokio::join!(fleet.send_once(2, request.clone()), story);
    story?;
    let heard = heard?;
    assert!(matches!(heard.outcome, CallerOutcome::Unknown(_)), "{heard:?}");
    fleet.wait_until_ready().await?;
    // A later request of the same shard runs, so the earlier one would have.
    // Owners that stood still use no slot until they know that nobody else
    // does, so it may be refused at first.
    let later = fleet.once("agent-desk", request.key);
    let ran = fleet.send_until_run(0, later).await?;
    assert_eq!(ran.outcome, CallerOutcome::Answer, "{ran:?}");
    let targets = &fleet.deployment.targets;
    let runs: u64 = targets.iter().map(|target| target.standin.control().counters().runs).sum();
    assert_eq!(runs, 1, "only the later one ran");
    fleet.check()
}
