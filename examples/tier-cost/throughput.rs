//! CPU time of the daemons per query and per shard request: measured at several numbers of
//! shards per query, with a linear fit.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hawthorn_intent::inventory;
use hawthorn_standin::deployment;
use hawthorn_standin::deployment::ServiceDescription;
use hawthorn_standin::load::HttpTier;
use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::tier::TierResponse;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_types::SearchQuery;

use crate::report::CostReport;
use crate::setup;
use crate::stats;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::support::fleet::is_complete;
use crate::system;

const WIDTHS: [u32; 5] = [1, 8, 24, 72, 270];
const DAEMONS: usize = 3;
/// The revision of a fleet's first configuration.
const FIRST_REVISION: u64 = 1;
/// Numbers of concurrent callers, each with one query in flight. Steps continue while they
/// increase the throughput.
const CALLER_STEPS: [usize; 7] = [1, 2, 4, 8, 16, 32, 64];
const STEP_TIME: Duration = Duration::from_secs(1);
const IDLE_TIME: Duration = Duration::from_secs(3);
/// CPU use of the busiest daemon, in cores, at which the load is high enough.
const TARGET_CORES: f64 = 0.8;
/// Minimum ratio of throughput between steps; below it, more callers do not help.
const MIN_GAIN: f64 = 1.1;
/// High enough that slots never limit the throughput.
const SLOTS: u32 = 64;
const CONNECTIONS: u32 = 128;

/// Result of one load step.
struct LoadStep {
    callers: usize,
    complete: u64,
    other: u64,
    elapsed: Duration,
    /// CPU time of each daemon.
    cpu: Vec<Duration>,
    /// CPU time of this process, which runs the callers and the targets.
    standin_cpu: Duration,
}

impl LoadStep {
    fn query_rate(&self) -> f64 {
        self.complete as f64 / self.elapsed.as_secs_f64()
    }

    fn busiest_cores(&self) -> f64 {
        let max = self.cpu.iter().max().copied().unwrap_or_default();
        max.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    fn total_cpu_s(&self) -> f64 {
        self.cpu.iter().sum::<Duration>().as_secs_f64()
    }
}

/// Measures all query widths on one fleet.
pub async fn run(report: &mut CostReport) -> TestResult {
    let services = WIDTHS.iter().map(|&width| service(width)).collect();
    let options = setup::fleet(setup::deployment(services), DAEMONS);
    let fleet = TestFleet::start_unready(options).await?;
    apply(&fleet).await?;
    fleet.wait_until_ready().await?;
    tokio::time::sleep(setup::SETTLE_TIME).await;
    let tier = setup::tier(&fleet);
    let idle_cores = idle_cores(&fleet).await?;
    report.add("throughput", "at rest", &[("core_percent_all", idle_cores * 100.0)]);
    let mut points = Vec::new();
    for width in WIDTHS {
        let step = find_limit(&fleet, &tier, width).await?;
        let query_cpu_s = step.total_cpu_s() - idle_cores * step.elapsed.as_secs_f64();
        let cpu_us = query_cpu_s * 1e6 / step.complete.max(1) as f64;
        points.push((f64::from(width), cpu_us));
        add_row(report, width, &step, cpu_us);
    }
    let line = stats::fit(&points);
    report.add(
        "throughput",
        "line through the widths",
        &[
            ("cpu_us_per_query", line.intercept),
            ("cpu_us_per_shard_request", line.slope),
            ("r_squared", line.r_squared),
        ],
    );
    Ok(())
}

/// Applies the inventory with shard numbers of the width that daemons expect. The stand-ins
/// always write two digits, which daemons reject for services of more than 100 shards.
async fn apply(fleet: &TestFleet) -> TestResult {
    let mut inventory = fleet.deployment.inventory_toml();
    for width in WIDTHS {
        for shard in 0..width {
            let name = name(width);
            let standin_name = format!("\"{}\"", deployment::shard_name(&name, shard));
            let expected_name = format!("\"{}\"", inventory::shard_name(&name, shard, width).0);
            inventory = inventory.replace(&standin_name, &expected_name);
        }
    }
    let proposed = ProposedEdit {
        base: FIRST_REVISION,
        edit_id: "wide".into(),
        author: "cost".into(),
        changed_at: 0,
        inventory,
        rules: fleet.deployment.rules_toml(),
    };
    edit::edit(&fleet.store(), &proposed, &edit::Options::default()).await?;
    Ok(())
}

fn service(width: u32) -> ServiceDescription {
    ServiceDescription {
        replicas: 1,
        slots: SLOTS,
        connections: CONNECTIONS,
        connect_cost: Duration::ZERO,
        ..setup::constant_time_service(&name(width), width, Duration::ZERO)
    }
}

fn name(width: u32) -> String {
    format!("wide-{width}")
}

fn add_row(report: &mut CostReport, width: u32, step: &LoadStep, cpu_us: f64) {
    let shards = f64::from(width);
    let daemon_limited = step.busiest_cores() >= TARGET_CORES;
    let limit = if daemon_limited { "daemon at 0.8 core" } else { "callers, targets or machine" };
    report.add(
        "throughput",
        format!("{width} shards, {limit}"),
        &[
            ("callers", step.callers as f64),
            ("queries_per_s", step.query_rate()),
            ("shard_requests_per_s", step.query_rate() * shards),
            ("shard_requests_per_s_per_core", shards * 1e6 / cpu_us),
            ("cpu_us_per_query", cpu_us),
            ("busiest_daemon_cores", step.busiest_cores()),
            ("standin_cores", step.standin_cpu.as_secs_f64() / step.elapsed.as_secs_f64()),
            ("not_whole", step.other as f64),
        ],
    );
}

/// CPU use of all daemons together without load, in cores: heartbeats and probes.
async fn idle_cores(fleet: &TestFleet) -> TestResult<f64> {
    let before: Duration = cpu(fleet)?.iter().sum();
    let started = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let after: Duration = cpu(fleet)?.iter().sum();
    Ok((after - before).as_secs_f64() / started.elapsed().as_secs_f64())
}

fn cpu(fleet: &TestFleet) -> TestResult<Vec<Duration>> {
    fleet.daemons.iter().map(|daemon| system::cpu_time(daemon.id())).collect()
}

/// Adds callers until a daemon reaches [`TARGET_CORES`] or the throughput stops growing.
async fn find_limit(fleet: &TestFleet, tier: &Arc<HttpTier>, width: u32) -> TestResult<LoadStep> {
    let mut last: Option<LoadStep> = None;
    for callers in CALLER_STEPS {
        let step = run_step(fleet, tier, &fleet.query(&name(width)), callers).await?;
        let helped =
            last.as_ref().is_none_or(|last| step.query_rate() > last.query_rate() * MIN_GAIN);
        if step.busiest_cores() >= TARGET_CORES || !helped {
            return Ok(step);
        }
        last = Some(step);
    }
    last.ok_or_else(|| "no load steps".into())
}

async fn run_step(
    fleet: &TestFleet,
    tier: &Arc<HttpTier>,
    query: &SearchQuery,
    callers: usize,
) -> TestResult<LoadStep> {
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let before = cpu(fleet)?;
    let standin_cpu = system::cpu_time(std::process::id())?;
    let started = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let entry_host = caller % fleet.daemons.len();
        tokio::spawn(run_queries(
            Arc::clone(tier),
            query.clone(),
            entry_host,
            started + STEP_TIME,
            counts.clone(),
        ))
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await?;
    }
    let elapsed = started.elapsed();
    let cpu = cpu(fleet)?.into_iter().zip(before).map(|(after, before)| after - before);
    Ok(LoadStep {
        callers,
        complete: counts[0].load(Ordering::Relaxed),
        other: counts[1].load(Ordering::Relaxed),
        elapsed,
        cpu: cpu.collect(),
        standin_cpu: system::cpu_time(std::process::id())? - standin_cpu,
    })
}

async fn run_queries(
    tier: Arc<HttpTier>,
    query: SearchQuery,
    entry_host: usize,
    end: Instant,
    counts: Arc<[AtomicU64; 2]>,
) {
    while Instant::now() < end {
        let response = tier.query(entry_host, &query).await;
        let complete = matches!(response, TierResponse::Answered(answer) if is_complete(&answer));
        counts[usize::from(!complete)].fetch_add(1, Ordering::Relaxed);
    }
}
