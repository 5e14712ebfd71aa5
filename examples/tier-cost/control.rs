//! Control overhead of an idle daemon: bytes between daemons, calls to the platform, CPU time
//! and memory.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::DeploymentOptions;

use crate::report::CostReport;
use crate::setup;
use crate::stats;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::system;

const DEFAULT_SIZES: [usize; 2] = [8, 64];
/// Time until daemons that watched the store only during start-up have ended their watches.
const SETTLE_TIME: Duration = Duration::from_secs(11);
const MEASURED_TIME: Duration = Duration::from_secs(12);
const MIB: f64 = 1_048_576.0;
const GAUGE_METRIC: &str = "hawthorn_gauge";

/// Measures each fleet size.
pub async fn run(daemons: &[usize], report: &mut CostReport) -> TestResult {
    let sizes = if daemons.is_empty() { &DEFAULT_SIZES } else { daemons };
    for &size in sizes {
        let case = format!("{size} daemons at rest");
        match system::skip_reason(size) {
            Some(reason) => report.skip("control", &case, &reason),
            None => measure(size, &case, report).await?,
        }
    }
    Ok(())
}

/// Resource use of all daemons together since their start.
struct ResourceTotals {
    at: Instant,
    cpu: Duration,
    udp_bytes: f64,
    datagrams: f64,
    tcp_bytes: Option<HashMap<String, u64>>,
    calls: u64,
}

async fn measure(size: usize, case: &str, report: &mut CostReport) -> TestResult {
    let services = DeploymentOptions::dar_port().services;
    let fleet = TestFleet::start(setup::fleet(setup::deployment(services), size)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = resource_totals(&fleet).await?;
    tokio::time::sleep(MEASURED_TIME).await;
    let after = resource_totals(&fleet).await?;
    let daemon_seconds = (after.at - before.at).as_secs_f64() * size as f64;
    let tcp_bytes = match (&before.tcp_bytes, &after.tcp_bytes) {
        (Some(before), Some(after)) => system::tcp_bytes_between(before, after) as f64,
        _ => f64::NAN,
    };
    let resident_mib: Vec<f64> = fleet
        .daemons
        .iter()
        .filter_map(|daemon| Some(system::resident_bytes(daemon.id())? as f64 / MIB))
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
                after.tcp_bytes.as_ref().map_or(f64::NAN, |connections| connections.len() as f64),
            ),
            ("platform_calls_per_s_all", {
                let calls = (after.calls - before.calls) as f64;
                calls / (after.at - before.at).as_secs_f64()
            }),
            ("core_percent", 100.0 * cpu / daemon_seconds),
            ("resident_mean_mib", stats::mean(&resident_mib)),
            ("resident_max_mib", stats::max(&resident_mib)),
        ],
    );
    Ok(())
}

async fn resource_totals(fleet: &TestFleet) -> TestResult<ResourceTotals> {
    let ports: HashSet<u16> = fleet.daemons.iter().map(|daemon| daemon.peer.port()).collect();
    let counters = fleet.deployment.platform.control().all_counters();
    let mut totals = ResourceTotals {
        at: Instant::now(),
        cpu: Duration::ZERO,
        udp_bytes: 0.0,
        datagrams: 0.0,
        tcp_bytes: system::tcp_bytes(&ports),
        calls: counters.values().map(|counter| counter.calls).sum(),
    };
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        totals.cpu += system::cpu_time(daemon.id())?;
        totals.udp_bytes += fleet.metric(index, GAUGE_METRIC, "\"fleet-sent-bytes\"").await?;
        totals.datagrams += fleet.metric(index, GAUGE_METRIC, "\"fleet-sent-datagrams\"").await?;
    }
    Ok(totals)
}
