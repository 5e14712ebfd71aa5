//! From an operator's change to its being in force on every daemon, and the
//! calls on the platform's store that it takes, beside those at rest.

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::DeploymentOptions;

use crate::figures;
use crate::machine;
use crate::report::CostReport;
use crate::setup;
use crate::support::TestFleet;
use crate::support::TestResult;

const CHANGES: u64 = 50;
const USUAL: [usize; 1] = [8];
const LOOK: Duration = Duration::from_millis(1);
const LIMIT: Duration = Duration::from_secs(10);
/// Daemons that watched the store at their start have let go by then.
const SETTLE: Duration = Duration::from_secs(11);
const REST: Duration = Duration::from_secs(10);
/// Pauses between changes lie evenly below this, so that changes do not keep
/// step with a beat of the daemons.
const PAUSE_LIMIT: u64 = 300;
const PAUSE_STEP: u64 = 37;

/// Measures each size of the fleet.
pub async fn run(daemons: &[usize], report: &mut CostReport) -> TestResult {
    let sizes = if daemons.is_empty() { &USUAL } else { daemons };
    for &size in sizes {
        let case = format!("{size} daemons");
        match machine::refuses(size) {
            Some(cause) => report.skip("change", &case, &cause),
            None => measure(size, &case, report).await?,
        }
    }
    Ok(())
}

async fn measure(size: usize, case: &str, report: &mut CostReport) -> TestResult {
    let usual = DeploymentOptions::dar_port().services;
    let fleet = TestFleet::start(setup::fleet(setup::deployment(usual), size)).await?;
    tokio::time::sleep(SETTLE).await;
    let (before, began) = (calls(&fleet), Instant::now());
    tokio::time::sleep(REST).await;
    let rest = (calls(&fleet) - before) as f64 / began.elapsed().as_secs_f64();
    let (before, began) = (calls(&fleet), Instant::now());
    let mut samples = ChangeSamples::default();
    for change in 1..=CHANGES {
        make(&fleet, change, &mut samples).await?;
        tokio::time::sleep(Duration::from_millis(change * PAUSE_STEP % PAUSE_LIMIT)).await;
    }
    let all = (calls(&fleet) - before) as f64;
    let tier = all - samples.editor_calls as f64 - rest * began.elapsed().as_secs_f64();
    report.add(
        "change",
        case,
        &[
            ("changes", CHANGES as f64),
            ("median_ms", figures::median(&samples.each)),
            ("p99_ms", figures::quantile(&samples.each, 0.99)),
            ("max_ms", figures::most(&samples.each)),
            ("everywhere_median_ms", figures::median(&samples.everywhere)),
            ("editor_median_ms", figures::median(&samples.editor)),
            ("store_calls_per_change", tier / CHANGES as f64),
            ("editor_calls_per_change", samples.editor_calls as f64 / CHANGES as f64),
            ("store_calls_at_rest_per_s", rest),
        ],
    );
    Ok(())
}

/// Milliseconds from the start of the edit.
#[derive(Default)]
struct ChangeSamples {
    /// Until it is in force at one daemon.
    each: Vec<f64>,
    /// Until it is in force at the last one.
    everywhere: Vec<f64>,
    /// Until the operator's command has its answer.
    editor: Vec<f64>,
    editor_calls: u64,
}

/// All calls the platform has had.
fn calls(fleet: &TestFleet) -> u64 {
    let counters = fleet.deployment.platform.control().all_counters();
    counters.values().map(|counter| counter.calls).sum()
}

async fn make(fleet: &TestFleet, change: u64, samples: &mut ChangeSamples) -> TestResult {
    let rules = format!("{}\n# change {change}\n", fleet.deployment.rules_toml());
    // The first configuration is revision 1.
    let revision = change + 1;
    let line = format!("revision {revision} by ");
    let began = Instant::now();
    let edit = async {
        let counted = fleet.apply_counted(change, &format!("cost-{change}"), &rules).await;
        counted.map(|calls| (calls, figures::ms(began.elapsed())))
    };
    let (edited, times) = tokio::join!(edit, wait(fleet, &line, began));
    let (calls, elapsed) = edited?;
    let times = times?;
    samples.editor.push(elapsed);
    samples.editor_calls += calls;
    samples.everywhere.push(figures::most(&times));
    samples.each.extend(times);
    Ok(())
}

/// When each daemon's log said that the revision is in force.
async fn wait(fleet: &TestFleet, line: &str, began: Instant) -> TestResult<Vec<f64>> {
    let mut times: Vec<Option<f64>> = vec![None; fleet.daemons.len()];
    while times.iter().any(Option::is_none) {
        if began.elapsed() > LIMIT {
            return Err(format!("{line}did not come into force everywhere").into());
        }
        tokio::time::sleep(LOOK).await;
        let waiting = fleet.daemons.iter().zip(times.iter_mut()).filter(|(_, time)| time.is_none());
        for (daemon, time) in waiting {
            if daemon.has_logged(line) {
                *time = Some(figures::ms(began.elapsed()));
            }
        }
    }
    Ok(times.into_iter().flatten().collect())
}
