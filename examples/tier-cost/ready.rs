//! From the start of a process to `/ready` saying yes, while the platform
//! answers: alone, and joining a fleet.

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::DeploymentOptions;
use rustix::process::Signal;

use crate::figures;
use crate::report::CostReport;
use crate::setup;
use crate::support::FleetOptions;
use crate::support::TestFleet;
use crate::support::TestResult;

const STARTS: usize = 20;
const LOOK: Duration = Duration::from_millis(2);
const LIMIT: Duration = Duration::from_secs(10);
const FLEET: usize = 3;

/// Measures both cases.
pub async fn run(report: &mut CostReport) -> TestResult {
    let usual = DeploymentOptions::dar_port().services;
    let alone =
        FleetOptions { hosts: Vec::new(), ..setup::fleet(setup::deployment(usual.clone()), 0) };
    let mut fleet = TestFleet::start_unready(alone).await?;
    measure("alone", &mut fleet, report).await?;
    drop(fleet);
    let mut fleet = TestFleet::start(setup::fleet(setup::deployment(usual), FLEET)).await?;
    measure("joining 3 daemons", &mut fleet, report).await
}

async fn measure(case: &str, fleet: &mut TestFleet, report: &mut CostReport) -> TestResult {
    let zone = fleet.deployment.options().zones[0].clone();
    let mut times = Vec::new();
    // Those that stop do so meanwhile; a daemon that is dropped is killed.
    let mut stopping = Vec::new();
    for number in 0..STARTS {
        let spec = fleet.spec(&format!("starter-{number}"), &zone);
        let index = fleet.daemons.len();
        let began = Instant::now();
        fleet.start_daemon(spec)?;
        while !fleet.is_ready(index).await? {
            if began.elapsed() > LIMIT {
                return Err(format!("not ready:\n{}", fleet.daemons[index].tail()).into());
            }
            tokio::time::sleep(LOOK).await;
        }
        times.push(figures::ms(began.elapsed()));
        fleet.daemons[index].signal(Signal::TERM)?;
        stopping.extend(fleet.daemons.pop());
    }
    report.add(
        "ready",
        case,
        &[
            ("starts", times.len() as f64),
            ("median_ms", figures::median(&times)),
            ("max_ms", figures::most(&times)),
        ],
    );
    Ok(())
}
