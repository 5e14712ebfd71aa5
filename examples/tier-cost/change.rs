//! Time until a configuration change is in force on every daemon, and its calls to the
//! platform's store beyond those of an idle fleet.

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::DeploymentOptions;

use crate::report::CostReport;
use crate::setup;
use crate::stats;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::system;

const CHANGES: u64 = 50;
const DEFAULT_SIZES: [usize; 1] = [8];
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time until daemons that watched the store only during start-up have ended their watches.
const SETTLE_TIME: Duration = Duration::from_secs(11);
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Pauses between changes are spread evenly below this value, so that changes do not
/// synchronise with periodic work of the daemons.
const MAX_PAUSE_MS: u64 = 300;
const PAUSE_STEP_MS: u64 = 37;

/// Measures each fleet size.
pub async fn run(daemons: &[usize], report: &mut CostReport) -> TestResult {
    let sizes = if daemons.is_empty() { &DEFAULT_SIZES } else { daemons };
    for &size in sizes {
        let case = format!("{size} daemons");
        match system::skip_reason(size) {
            Some(reason) => report.skip("change", &case, &reason),
            None => measure(size, &case, report).await?,
        }
    }
    Ok(())
}

async fn measure(size: usize, case: &str, report: &mut CostReport) -> TestResult {
    let services = DeploymentOptions::dar_port().services;
    let fleet = TestFleet::start(setup::fleet(setup::deployment(services), size)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (before, started) = (calls(&fleet), Instant::now());
    tokio::time::sleep(IDLE_TIME).await;
    let idle_rate = (calls(&fleet) - before) as f64 / started.elapsed().as_secs_f64();
    let (before, started) = (calls(&fleet), Instant::now());
    let mut samples = ChangeSamples::default();
    for change in 1..=CHANGES {
        apply_change(&fleet, change, &mut samples).await?;
        tokio::time::sleep(Duration::from_millis(change * PAUSE_STEP_MS % MAX_PAUSE_MS)).await;
    }
    let total_calls = (calls(&fleet) - before) as f64;
    let tier_calls =
        total_calls - samples.editor_calls as f64 - idle_rate * started.elapsed().as_secs_f64();
    report.add(
        "change",
        case,
        &[
            ("changes", CHANGES as f64),
            ("median_ms", stats::median(&samples.each)),
            ("p99_ms", stats::quantile(&samples.each, 0.99)),
            ("max_ms", stats::max(&samples.each)),
            ("everywhere_median_ms", stats::median(&samples.everywhere)),
            ("editor_median_ms", stats::median(&samples.editor)),
            ("store_calls_per_change", tier_calls / CHANGES as f64),
            ("editor_calls_per_change", samples.editor_calls as f64 / CHANGES as f64),
            ("store_calls_at_rest_per_s", idle_rate),
        ],
    );
    Ok(())
}

/// Times in milliseconds, from the start of the edit.
#[derive(Default)]
struct ChangeSamples {
    /// Until the change is in force on a daemon; one entry per daemon and change.
    each: Vec<f64>,
    /// Until the change is in force on all daemons.
    everywhere: Vec<f64>,
    /// Until the operator's command completes.
    editor: Vec<f64>,
    editor_calls: u64,
}

/// Total number of calls to the platform.
fn calls(fleet: &TestFleet) -> u64 {
    let counters = fleet.deployment.platform.control().all_counters();
    counters.values().map(|counter| counter.calls).sum()
}

async fn apply_change(fleet: &TestFleet, change: u64, samples: &mut ChangeSamples) -> TestResult {
    let rules = format!("{}\n# change {change}\n", fleet.deployment.rules_toml());
    // The first configuration is revision 1.
    let revision = change + 1;
    let line = format!("revision {revision} by ");
    let started = Instant::now();
    let edit = async {
        let counted = fleet.apply_counted(change, &format!("cost-{change}"), &rules).await;
        counted.map(|calls| (calls, stats::ms(started.elapsed())))
    };
    let (edited, times) = tokio::join!(edit, wait_in_force(fleet, &line, started));
    let (calls, elapsed) = edited?;
    let times = times?;
    samples.editor.push(elapsed);
    samples.editor_calls += calls;
    samples.everywhere.push(stats::max(&times));
    samples.each.extend(times);
    Ok(())
}

/// The time at which each daemon logged that the revision is in force, in milliseconds.
async fn wait_in_force(fleet: &TestFleet, line: &str, started: Instant) -> TestResult<Vec<f64>> {
    let mut times: Vec<Option<f64>> = vec![None; fleet.daemons.len()];
    while times.iter().any(Option::is_none) {
        if started.elapsed() > TIMEOUT {
            return Err(format!("{line}did not come into force on all daemons").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        let pending = fleet.daemons.iter().zip(times.iter_mut()).filter(|(_, time)| time.is_none());
        for (daemon, time) in pending {
            if daemon.has_logged(line) {
                *time = Some(stats::ms(started.elapsed()));
            }
        }
    }
    Ok(times.into_iter().flatten().collect())
}
