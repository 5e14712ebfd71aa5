//! Hosts that crash, and what callers see of it.

mod support;

use std::time::Instant;

use hawthorn_daemon::request::status::FleetReport;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KeyRange;
use hawthorn_types::UnknownReason;
use rustix::process::Signal;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::WAIT_TIMEOUT;
use support::load::RunningLoad;

/// Sends between two steps of a scenario, enough to reach every host.
const STEP: usize = 60;

/// Shards of the desk service.
const SHARDS: u32 = 8;

/// A shard without a replica in the zone of the first host.
const REMOTE_SHARD: u32 = 1;

fn is_alive(report: &FleetReport, host: &str) -> bool {
    report.hosts.iter().any(|known| known.host == host && known.health == "alive")
}

fn kill(fleet: &TestFleet, index: usize) -> TestResult {
    let daemon = fleet.daemons[index].spec.host.clone();
    fleet.history.record(HistoryEvent::Killed { daemon });
    fleet.daemons[index].signal(Signal::KILL)
}

async fn wait_until_declared_dead(fleet: &TestFleet, index: usize) -> TestResult {
    let host = fleet.daemons[index].spec.host.clone();
    for other in (0..fleet.daemons.len()).filter(|&other| other != index) {
        fleet
            .wait_for(other, "the dead host's removal", |report| {
                let is_declared_dead = !is_alive(report, &host) || !report.lost_zones.is_empty();
                is_declared_dead && report.uncovered.is_empty()
            })
            .await?;
    }
    Ok(())
}

/// Kills one host under load. Expects complete answers from the others once they have declared it
/// dead, and from all hosts once it has restarted.
async fn kill_under_load(hosts: Vec<usize>, victim: usize) -> TestResult {
    let mut fleet = TestFleet::start(FleetOptions { hosts, ..FleetOptions::small() }).await?;
    let load = RunningLoad::start(&fleet, &["agent-desk", "port-feed"]);
    load.wait_for_sends(STEP).await?;
    kill(&fleet, victim)?;
    wait_until_declared_dead(&fleet, victim).await?;
    load.wait_for_sends(STEP).await?;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    load.take_report().check_all_succeeded()?;
    fleet.daemons[victim].kill()?;
    fleet.restart(victim)?;
    fleet.wait_until_ready().await?;
    load.wait_for_sends(STEP).await?;
    load.take_report();
    load.wait_for_sends(STEP).await?;
    load.finish().await?.check_all_succeeded()?;
    fleet.check()
}

/// One of several hosts in a zone loses power under load. Some answers lack the ranges of its
/// targets and report them missing. Once the others have declared it dead, its targets have a new
/// owner and every answer is complete, also after it returns. No non-idempotent request runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_are_complete_once_a_dead_hosts_targets_moved() -> TestResult {
    kill_under_load(vec![3, 3, 2], 1).await
}

/// When the only host in a zone loses power, no host owns the zone's targets. Replicas in the other
/// zones answer until it returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn other_zones_answer_for_a_zone_without_a_host() -> TestResult {
    kill_under_load(vec![1, 1, 1], 2).await
}

#[derive(Clone, Copy, Debug)]
enum VictimRole {
    Owner,
    Front,
}

/// The index of the host that owns the target that runs the request: there is one host per zone,
/// in the order of the zones.
async fn running_host(fleet: &TestFleet) -> TestResult<usize> {
    let started = Instant::now();
    let zones = &fleet.deployment.options().zones;
    loop {
        let mut targets = fleet.deployment.targets.iter();
        if let Some(target) = targets.find(|target| target.standin.control().counters().runs > 0) {
            let index = zones.iter().position(|zone| *zone == target.zone);
            return Ok(index.ok_or("the target's zone is in the deployment")?);
        }
        if started.elapsed() > WAIT_TIMEOUT {
            return Err("no target runs the request".into());
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

fn set_targets_paused(fleet: &TestFleet, paused: bool) {
    for target in &fleet.deployment.targets {
        target.standin.control().set_paused(paused);
    }
}

fn runs(fleet: &TestFleet) -> u64 {
    fleet.deployment.targets.iter().map(|target| target.standin.control().counters().runs).sum()
}

fn is_uncertain(result: &TestResult<CallerAnswer>) -> bool {
    match result {
        Ok(answer) => matches!(answer.outcome, CallerOutcome::Unknown(_)),
        Err(_) => true,
    }
}

/// Guards against a second run of a non-idempotent request that is at its target when the target's
/// owner, or the host that the caller is connected to, crashes. The caller gets no answer or an
/// unknown outcome and retries at the other hosts. The claim in the store outlives the host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_whose_host_crashes_does_not_run_twice() -> TestResult {
    for victim in [VictimRole::Owner, VictimRole::Front] {
        let fleet = TestFleet::start(FleetOptions::small()).await?;
        set_targets_paused(&fleet, true);
        let request = fleet.once("agent-desk", KeyRange::part(REMOTE_SHARD, SHARDS).start);
        let scenario = async {
            let owner = running_host(&fleet).await?;
            let index = match victim {
                VictimRole::Owner => owner,
                VictimRole::Front => 0,
            };
            kill(&fleet, index)?;
            TestResult::Ok(index)
        };
        let (result, killed) = tokio::join!(fleet.send_once(0, request.clone()), scenario);
        let killed = killed?;
        assert!(is_uncertain(&result), "{victim:?}: {result:?}");
        set_targets_paused(&fleet, false);
        for index in (0..fleet.daemons.len()).filter(|&index| index != killed) {
            let retry = fleet.send_once(index, request.clone()).await?;
            let is_owner_lost = retry.outcome == CallerOutcome::Unknown(UnknownReason::OwnerLost);
            let claimed = CallerOutcome::Unknown(UnknownReason::ClaimedEarlier);
            assert!(is_owner_lost || retry.outcome == claimed, "{victim:?}: {retry:?}");
        }
        wait_until_declared_dead(&fleet, killed).await?;
        for index in (0..fleet.daemons.len()).filter(|&index| index != killed) {
            let retry = fleet.send_once(index, request.clone()).await?;
            let claimed = CallerOutcome::Unknown(UnknownReason::ClaimedEarlier);
            assert_eq!(retry.outcome, claimed, "{victim:?}: {retry:?}");
        }
        assert_eq!(runs(&fleet), 1, "{victim:?}");
        fleet.check()?;
    }
    Ok(())
}
