//! What a daemon at rest spends on control: bytes between daemons, calls on
//! the platform, processor time and memory.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::DeploymentOptions;

use crate::figures;
use crate::machine;
use crate::report::CostReport;
use crate::setup;
use crate::support::TestFleet;
use crate::support::TestResult;

const USUAL: [usize; 2] = [8, 64];
/// Daemons that watched the store at their start have let go by then.
const SETTLE: Duration = Duration::from_secs(11);
const WINDOW: Duration = Duration::from_secs(12);
const MIB: f64 = 1_048_576.0;
const GAUGE: &str = "hawthorn_gauge";

/// Measures each size of the fleet.
pub async fn run(daemons: &[usize], report: &mut CostReport) -> TestResult {
    let sizes = if daemons.is_empty() { &USUAL } else { daemons };
    for &size in sizes {
        let case = format!("{size} daemons at rest");
        match machine::refuses(size) {
            Some(cause) => report.skip("control", &case, &cause),
            None => measure(size, &case, report).await?,
        }
    }
    Ok(())
}

/// What all daemons together have spent so far.
struct SpentTotals {
    at: Instant,
    cpu: Duration,
    udp_bytes: f64,
    datagrams: f64,
    tcp_bytes: Option<HashMap<String, u64>>,
    calls: u64,
}

async fn measure(size: usize, case: &str, report: &mut CostReport) -> TestResult {
    let usual = DeploymentOptions::dar_port().services;
    let fleet = TestFleet::start(setup::fleet(setup::deployment(usual), size)).await?;
    tokio::time::sleep(SETTLE).await;
    let before = spent(&fleet).await?;
    tokio::time::sleep(WINDOW).await;
    let after = spent(&fleet).await?;
    let daemon_seconds = (after.at - before.at).as_secs_f64() * size as f64;
    let tcp_bytes = match (&before.tcp_bytes, &after.tcp_bytes) {
        (Some(before), Some(after)) => machine::tcp_growth(before, after) as f64,
        _ => f64::NAN,
    };
    let resident: Vec<f64> = fleet
        .daemons
        .iter()
        .filter_map(|daemon| Some(machine::resident_bytes(daemon.id())? as f64 / MIB))
        .collect();
    let cpu = (after.cpu - before.cpu).as_secs_f64();
    report.add(
        "control",
        case,
        &[
            ("udp_bytes_per_s", (after.udp_bytes - before.udp_bytes) / daemon_seconds),
            ("datagrams_per_s", (after.datagrams - before.datagrams) / daemon_seconds),
            ("tcp_bytes_per_s", tcp_bytes / daemon_seconds),
            (
                "tcp_connections_all",
                after.tcp_bytes.as_ref().map_or(f64::NAN, |all| all.len() as f64),
            ),
            ("platform_calls_per_s_all", {
                let calls = (after.calls - before.calls) as f64;
                calls / (after.at - before.at).as_secs_f64()
            }),
            ("core_percent", 100.0 * cpu / daemon_seconds),
            ("resident_mean_mib", figures::mean(&resident)),
            ("resident_max_mib", figures::most(&resident)),
        ],
    );
    Ok(())
}

async fn spent(fleet: &TestFleet) -> TestResult<SpentTotals> {
    let ports: HashSet<u16> = fleet.daemons.iter().map(|daemon| daemon.peer.port()).collect();
    let counters = fleet.deployment.platform.control().all_counters();
    let mut totals = SpentTotals {
        at: Instant::now(),
        cpu: Duration::ZERO,
        udp_bytes: 0.0,
        datagrams: 0.0,
        tcp_bytes: machine::tcp_bytes(&ports),
        calls: counters.values().map(|counter| counter.calls).sum(),
    };
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        totals.cpu += machine::cpu_time(daemon.id())?;
        totals.udp_bytes += fleet.metric(index, GAUGE, "\"fleet-sent-bytes\"").await?;
        totals.datagrams += fleet.metric(index, GAUGE, "\"fleet-sent-datagrams\"").await?;
    }
    Ok(totals)
}
