//! Time from the start of a process until its `/ready` probe succeeds while the platform is
//! available: alone, and joining a fleet.

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::DeploymentOptions;
use rustix::process::Signal;

use crate::report::CostReport;
use crate::setup;
use crate::stats;
use crate::support::FleetOptions;
use crate::support::TestFleet;
use crate::support::TestResult;

const STARTS: usize = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const TIMEOUT: Duration = Duration::from_secs(10);
const DAEMONS: usize = 3;

/// Measures both cases.
pub async fn run(report: &mut CostReport) -> TestResult {
    let services = DeploymentOptions::dar_port().services;
    let alone =
        FleetOptions { hosts: Vec::new(), ..setup::fleet(setup::deployment(services.clone()), 0) };
    let mut fleet = TestFleet::start_unready(alone).await?;
    measure("alone", &mut fleet, report).await?;
    drop(fleet);
    let mut fleet = TestFleet::start(setup::fleet(setup::deployment(services), DAEMONS)).await?;
    measure("joining 3 daemons", &mut fleet, report).await
}

async fn measure(case: &str, fleet: &mut TestFleet, report: &mut CostReport) -> TestResult {
    let zone = fleet.deployment.options().zones[0].clone();
    let mut times = Vec::new();
    // Keeps stopping daemons until they have finished: dropping a daemon kills it.
    let mut stopping = Vec::new();
    for number in 0..STARTS {
        let spec = fleet.spec(&format!("starter-{number}"), &zone);
        let index = fleet.daemons.len();
        let started = Instant::now();
        fleet.start_daemon(spec)?;
        while !fleet.is_ready(index).await? {
            if started.elapsed() > TIMEOUT {
                return Err(format!("not ready:\n{}", fleet.daemons[index].log_tail()).into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        times.push(stats::ms(started.elapsed()));
        fleet.daemons[index].signal(Signal::TERM)?;
        stopping.extend(fleet.daemons.pop());
    }
    report.add(
        "ready",
        case,
        &[
            ("starts", times.len() as f64),
            ("median_ms", stats::median(&times)),
            ("max_ms", stats::max(&times)),
        ],
    );
    Ok(())
}
