//! The number of calls that 8 real daemons in 3 zones make to the platform's store, while idle and
//! for a configuration change.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::platform::CallKind;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::WAIT_TIMEOUT;

/// Datagrams that all daemons send while calls are counted, which an idle fleet takes about ten
/// seconds to send. Measuring in datagrams instead of time keeps the bound valid on a machine that
/// starves the daemons, as both counts then grow more slowly.
const IDLE_DATAGRAMS: f64 = 1_000.0;
/// Maximum calls during that period, twice the expected 24: two watchers in each of three zones
/// make one watch in ten seconds and a read for every four watches, 8 calls; each of eight daemons
/// reads the list of hosts every five seconds, 16 calls. Eight watchers in place of six stay below
/// the bound; daemons that poll exceed it.
const MAX_IDLE_CALLS: u64 = 48;

const CHANGES: u64 = 10;
/// Datagrams sent between two changes, which takes about half a second: by then all watchers watch
/// again. Without this pause one answer would report several changes.
const DATAGRAMS_BETWEEN: f64 = 50.0;
/// Maximum calls on the configuration per change. Each of six watchers is answered, watches again,
/// and reads the full configuration at every fourth call: 7.5 calls. The rest allows for watches
/// that end without a change during the test; eight watchers would make 10 calls.
const MAX_CALLS_PER_CHANGE: u64 = 9;

async fn datagrams_sent(fleet: &TestFleet) -> TestResult<f64> {
    let mut sum = 0.0;
    for index in 0..fleet.daemons.len() {
        sum += fleet.metric(index, "hawthorn_gauge", "\"fleet-sent-datagrams\"").await?;
    }
    Ok(sum)
}

/// Waits until the daemons have sent `count` more datagrams.
async fn wait_for_datagrams(fleet: &TestFleet, count: f64) -> TestResult {
    let (before, started) = (datagrams_sent(fleet).await?, Instant::now());
    while datagrams_sent(fleet).await? - before < count {
        assert!(started.elapsed() < 3 * WAIT_TIMEOUT, "daemons do not send heartbeats");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

fn total_calls(fleet: &TestFleet) -> u64 {
    let counters = fleet.deployment.platform.control().all_counters();
    counters.values().map(|counter| counter.calls).sum()
}

fn configuration_calls(fleet: &TestFleet) -> u64 {
    let control = fleet.deployment.platform.control();
    [CallKind::Get, CallKind::Watch, CallKind::Put]
        .into_iter()
        .map(|kind| control.counters(kind).calls)
        .sum()
}

/// Operators pay for each call to the platform's store, and it accepts only a few hundred a second.
/// If every daemon watched or polled it, an idle fleet would use up that rate, and the claims of
/// non-idempotent requests would be answered 429.
#[tokio::test]
async fn idle_daemons_make_few_store_calls() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::dar_port()).await?;
    // Ends the watches of daemons that started to watch before they knew the others.
    fleet.apply(1, "wake", &fleet.deployment.rules_toml()).await?;
    fleet.wait_for_revision(2).await?;
    let calls = total_calls(&fleet);
    wait_for_datagrams(&fleet, IDLE_DATAGRAMS).await?;
    let made = total_calls(&fleet) - calls;
    assert!(made > 0, "the platform counts no calls");
    assert!(made <= MAX_IDLE_CALLS, "{made} calls while idle");
    Ok(())
}

/// An edit must reach the daemons through the few that watch. If each daemon read it from the store
/// itself, a fleet of thousands would exceed the store's rate limit (429) with the first edit.
#[tokio::test]
async fn an_edit_costs_few_store_calls() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::dar_port()).await?;
    let rules = fleet.deployment.rules_toml();
    fleet.apply(1, "wake", &rules).await?;
    fleet.wait_for_revision(2).await?;
    let calls = configuration_calls(&fleet);
    let mut edits = 0;
    for change in 0..CHANGES {
        let (base, text) = (change + 2, format!("{rules}\n# change {change}\n"));
        edits += fleet.apply_counted(base, &format!("edit-{change}"), &text).await?;
        fleet.wait_for_revision(base + 1).await?;
        wait_for_datagrams(&fleet, DATAGRAMS_BETWEEN).await?;
    }
    let made = configuration_calls(&fleet) - calls - edits;
    assert!(made > 0, "the platform counts no calls");
    assert!(made <= CHANGES * MAX_CALLS_PER_CHANGE, "{made} calls for {CHANGES} changes");
    Ok(())
}
