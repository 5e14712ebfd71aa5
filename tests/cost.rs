//! What control costs the platform's store: counts of calls, at rest and for a
//! change, from 8 real daemons in 3 zones.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::platform::CallKind;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::WAIT_TIMEOUT;

/// Pings, acks and the rest that all daemons send while calls are counted:
/// about ten seconds of a fleet at rest. A count, so that a machine which
/// starves the daemons stretches both sides of the bound.
const DATAGRAMS: f64 = 1_000.0;
/// Calls allowed meanwhile. Two watchers in each of three zones make one watch
/// in ten seconds and a read for every four, 8; each of eight daemons reads the
/// list of hosts every five, 16. Twice that: eight watchers in place of six
/// still pass, daemons that poll do not.
const CALLS_AT_REST: u64 = 48;

const CHANGES: u64 = 10;
/// Sent between two changes, in about half a second: all watchers watch again
/// by then. Without it one answer would tell them of several changes.
const DATAGRAMS_BETWEEN: f64 = 50.0;
/// Calls on the configuration allowed a change. Each of six watchers is
/// answered and watches again, and reads whole at every fourth call: 7.5. The
/// rest is for watches that end without a change while the test waits; eight
/// watchers would make 10.
const CALLS_PER_CHANGE: u64 = 9;

async fn datagrams(fleet: &TestFleet) -> TestResult<f64> {
    let mut sum = 0.0;
    for index in 0..fleet.daemons.len() {
        sum += fleet.metric(index, "hawthorn_gauge", "\"fleet-sent-datagrams\"").await?;
    }
    Ok(sum)
}

/// Waits until the daemons have sent so many more.
async fn wait_for_datagrams(fleet: &TestFleet, count: f64) -> TestResult {
    let (before, began) = (datagrams(fleet).await?, Instant::now());
    while datagrams(fleet).await? - before < count {
        assert!(began.elapsed() < 3 * WAIT_TIMEOUT, "daemons send no heartbeats");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

fn all_calls(fleet: &TestFleet) -> u64 {
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

/// Operators pay for each call on the platform's store, and a few hundred a
/// second are all it takes. If every daemon watched or polled it, a fleet that
/// does nothing would fill it, and the claims of requests that run once would
/// be answered 429.
#[tokio::test]
async fn daemons_at_rest_leave_the_store_alone() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::dar_port()).await?;
    // Daemons that watched before they knew the others are woken and let go.
    fleet.apply(1, "wake", &fleet.deployment.rules_toml()).await?;
    fleet.wait_for_revision(2).await?;
    let calls = all_calls(&fleet);
    wait_for_datagrams(&fleet, DATAGRAMS).await?;
    let made = all_calls(&fleet) - calls;
    assert!(made > 0, "the platform counts no calls");
    assert!(made <= CALLS_AT_REST, "{made} calls at rest");
    Ok(())
}

/// An operator makes one small edit after the other. Each must reach every daemon
/// through the few that watch: if each daemon read the store for itself, a
/// fleet of thousands would meet its own 429 with the first edit.
#[tokio::test]
async fn a_change_costs_the_store_a_few_calls() -> TestResult {
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
    assert!(made <= CHANGES * CALLS_PER_CHANGE, "{made} calls for {CHANGES} changes");
    Ok(())
}
