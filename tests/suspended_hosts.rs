//! Hosts that are suspended for seconds and then resume with outdated state.

mod support;

use std::time::Duration;

use hawthorn_daemon::request::status::FleetReport;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KeyRange;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::load::RunningLoad;

/// Sends between two steps of a scenario.
const STEP: usize = 60;

/// Shards of the desk service.
const SHARDS: u32 = 8;

/// How long a host is suspended: longer than the other hosts take to declare it dead.
const SUSPENSION: Duration = Duration::from_secs(3);

/// The log event of a process that detects that it was suspended.
const PAUSED: &str = "E303";

fn is_alive(report: &FleetReport, host: &str) -> bool {
    report.hosts.iter().any(|known| known.host == host && known.health == "alive")
}

/// A host's virtual machine is suspended for three seconds under load, and others take over its
/// targets. On resume it still believes that it owns them; if it used them, they would receive
/// twice the work that they have slots for and queue the excess, which no host sees. The host also
/// applies an edit made during the suspension, and never reverts to the older revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resumed_host_does_not_overload_targets() -> TestResult {
    let options = FleetOptions { hosts: vec![2, 1, 1], ..FleetOptions::small() };
    let fleet = TestFleet::start(options).await?;
    let suspended = &fleet.daemons[0];
    let load = RunningLoad::start(&fleet, &["agent-desk"]);
    load.wait_for_sends(STEP).await?;
    suspended.suspend()?;
    let started = tokio::time::Instant::now();
    for index in 1..fleet.daemons.len() {
        fleet
            .wait_for(index, "the suspended host's removal", |report| {
                !is_alive(report, &suspended.spec.host) && report.uncovered.is_empty()
            })
            .await?;
    }
    let rules = format!("{}# edited\n", fleet.deployment.rules_toml());
    fleet.apply(1, "while it is suspended", &rules).await?;
    tokio::time::sleep_until(started + SUSPENSION).await;
    suspended.resume()?;
    load.wait_for_sends(STEP).await?;
    fleet.wait_until_ready().await?;
    fleet.wait_for_revision(2).await?;
    load.wait_for_sends(STEP).await?;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    load.finish().await?.check_all_succeeded()?;
    assert!(suspended.logged(PAUSED) > 0, "{}", suspended.log_tail());
    for target in &fleet.deployment.targets {
        let counters = target.standin.control().counters();
        let service = fleet.deployment.options().services.iter();
        let slots = service.filter(|service| service.name == target.service);
        let slots = slots.map(|service| service.slots).max().unwrap_or_default();
        assert!(counters.peak_busy <= slots, "{}: {counters:?}", target.name);
        // Each of two owners has half of the slots, so the queue inside a target is at most as long
        // as its slot count, for cancelled work that has not ended.
        assert!(counters.peak_waiting <= slots, "{}: {counters:?}", target.name);
        assert_eq!(counters.connections_refused, 0, "{}: {counters:?}", target.name);
    }
    fleet.check()
}

/// A non-idempotent request waits for its claim while the store is slow, and the hosts that own its
/// shard are suspended past its deadline. On resume they hold the claimed request, or it is still
/// unread in their sockets. The caller has given up by then and may have acted otherwise, so the
/// request must not run, neither now nor when it is sent again later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_suspended_claim_holder_does_not_run_a_request_past_its_deadline() -> TestResult {
    const STORE_DELAY: Duration = Duration::from_millis(600);
    const SUSPEND_AFTER: Duration = Duration::from_millis(200);
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    // The shard's replicas are in the zones of the first two hosts.
    let mut request = fleet.once("agent-desk", KeyRange::part(0, SHARDS).start);
    request.deadline_ms = 1_000;
    let owners = &fleet.daemons[..2];
    let platform = fleet.deployment.platform.control();
    platform.set_faults(|faults| faults.extra_delay = STORE_DELAY);
    let scenario = async {
        tokio::time::sleep(SUSPEND_AFTER).await;
        owners.iter().try_for_each(|owner| owner.suspend())?;
        platform.set_faults(|faults| faults.extra_delay = Duration::ZERO);
        tokio::time::sleep(SUSPENSION).await;
        owners.iter().try_for_each(|owner| owner.resume())
    };
    let (answer, scenario) = tokio::join!(fleet.send_once(2, request.clone()), scenario);
    scenario?;
    let answer = answer?;
    assert!(matches!(answer.outcome, CallerOutcome::Unknown(_)), "{answer:?}");
    fleet.wait_until_ready().await?;
    // A later request to the same shard runs, which shows that the earlier one could have run.
    // Owners that were suspended use no slot until they know that no other owner does, so the
    // request may be rejected at first.
    let later = fleet.once("agent-desk", request.key);
    let ran = fleet.send_until_run(0, later).await?;
    assert_eq!(ran.outcome, CallerOutcome::Answer, "{ran:?}");
    let targets = &fleet.deployment.targets;
    let runs: u64 = targets.iter().map(|target| target.standin.control().counters().runs).sum();
    assert_eq!(runs, 1, "only the later request ran");
    fleet.check()
}
