//! Processor time of the daemons for a query and for each of its shard
//! requests, at several widths of a query, and the line through them.

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
use hawthorn_standin::load::tier::HeardAnswer;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_types::SearchQuery;

use crate::figures;
use crate::machine;
use crate::report::CostReport;
use crate::setup;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::support::fleet::is_whole;

const WIDTHS: [u32; 5] = [1, 8, 24, 72, 270];
const DAEMONS: usize = 3;
/// The revision that a fleet starts with.
const FIRST_REVISION: u64 = 1;
/// Callers at once, each with one query at a time; the next step only while
/// the one before helped.
const CALLERS: [usize; 7] = [1, 2, 4, 8, 16, 32, 64];
const STEP: Duration = Duration::from_secs(1);
const REST: Duration = Duration::from_secs(3);
/// Of one core, at the busiest daemon: enough load.
const ENOUGH: f64 = 0.8;
/// More callers that bring less than this bring nothing.
const GAIN: f64 = 1.1;
/// Wide enough that slots are never the limit.
const SLOTS: u32 = 64;
const CONNECTIONS: u32 = 128;

/// What one step of the load came to.
struct LoadStep {
    callers: usize,
    whole: u64,
    other: u64,
    elapsed: Duration,
    /// Of each daemon.
    cpu: Vec<Duration>,
    /// Of this process: callers and targets.
    standins: Duration,
}

impl LoadStep {
    fn rate(&self) -> f64 {
        self.whole as f64 / self.elapsed.as_secs_f64()
    }

    fn busiest(&self) -> f64 {
        let most = self.cpu.iter().max().copied().unwrap_or_default();
        most.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    fn total(&self) -> f64 {
        self.cpu.iter().sum::<Duration>().as_secs_f64()
    }
}

/// Measures all widths on one fleet.
pub async fn run(report: &mut CostReport) -> TestResult {
    let services = WIDTHS.iter().map(|&width| service(width)).collect();
    let options = setup::fleet(setup::deployment(services), DAEMONS);
    let fleet = TestFleet::start_unready(options).await?;
    apply(&fleet).await?;
    fleet.wait_until_ready().await?;
    tokio::time::sleep(setup::SETTLE).await;
    let tier = setup::tier(&fleet);
    let rest = rest(&fleet).await?;
    report.add("throughput", "at rest", &[("core_percent_all", rest * 100.0)]);
    let mut points = Vec::new();
    for width in WIDTHS {
        let step = load(&fleet, &tier, width).await?;
        let work = step.total() - rest * step.elapsed.as_secs_f64();
        let cpu_us = work * 1e6 / step.whole.max(1) as f64;
        points.push((f64::from(width), cpu_us));
        print(report, width, &step, cpu_us);
    }
    let line = figures::fit(&points);
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

/// Brings the inventory into force with shard names as wide as a service of
/// more than 100 shards needs: the stand-ins write two digits always, which
/// daemons refuse.
async fn apply(fleet: &TestFleet) -> TestResult {
    let mut inventory = fleet.deployment.inventory_toml();
    for width in WIDTHS {
        for shard in 0..width {
            let name = name(width);
            let written = format!("\"{}\"", deployment::shard_name(&name, shard));
            let wanted = format!("\"{}\"", inventory::shard_name(&name, shard, width).0);
            inventory = inventory.replace(&written, &wanted);
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
        ..setup::even_service(&name(width), width, Duration::ZERO)
    }
}

fn name(width: u32) -> String {
    format!("wide-{width}")
}

fn print(report: &mut CostReport, width: u32, step: &LoadStep, cpu_us: f64) {
    let shards = f64::from(width);
    let enough = step.busiest() >= ENOUGH;
    let limit = if enough { "daemon at 0.8 core" } else { "callers, targets or machine" };
    report.add(
        "throughput",
        format!("{width} shards, {limit}"),
        &[
            ("callers", step.callers as f64),
            ("queries_per_s", step.rate()),
            ("shard_requests_per_s", step.rate() * shards),
            ("shard_requests_per_s_per_core", shards * 1e6 / cpu_us),
            ("cpu_us_per_query", cpu_us),
            ("busiest_daemon_cores", step.busiest()),
            ("standin_cores", step.standins.as_secs_f64() / step.elapsed.as_secs_f64()),
            ("not_whole", step.other as f64),
        ],
    );
}

/// Cores that all daemons together use without load: heartbeats, probes.
async fn rest(fleet: &TestFleet) -> TestResult<f64> {
    let before: Duration = cpu(fleet)?.iter().sum();
    let began = Instant::now();
    tokio::time::sleep(REST).await;
    let after: Duration = cpu(fleet)?.iter().sum();
    Ok((after - before).as_secs_f64() / began.elapsed().as_secs_f64())
}

fn cpu(fleet: &TestFleet) -> TestResult<Vec<Duration>> {
    fleet.daemons.iter().map(|daemon| machine::cpu_time(daemon.id())).collect()
}

/// More callers until a daemon has enough to do or more bring nothing.
async fn load(fleet: &TestFleet, tier: &Arc<HttpTier>, width: u32) -> TestResult<LoadStep> {
    let mut last: Option<LoadStep> = None;
    for callers in CALLERS {
        let step = drive(fleet, tier, &fleet.query(&name(width)), callers).await?;
        let helped = last.as_ref().is_none_or(|last| step.rate() > last.rate() * GAIN);
        if step.busiest() >= ENOUGH || !helped {
            return Ok(step);
        }
        last = Some(step);
    }
    last.ok_or_else(|| "there is at least one step".into())
}

async fn drive(
    fleet: &TestFleet,
    tier: &Arc<HttpTier>,
    query: &SearchQuery,
    callers: usize,
) -> TestResult<LoadStep> {
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let before = cpu(fleet)?;
    let standins = machine::cpu_time(std::process::id())?;
    let began = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let front = caller % fleet.daemons.len();
        tokio::spawn(ask(Arc::clone(tier), query.clone(), front, began + STEP, counts.clone()))
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await?;
    }
    let elapsed = began.elapsed();
    let cpu = cpu(fleet)?.into_iter().zip(before).map(|(after, before)| after - before);
    Ok(LoadStep {
        callers,
        whole: counts[0].load(Ordering::Relaxed),
        other: counts[1].load(Ordering::Relaxed),
        elapsed,
        cpu: cpu.collect(),
        standins: machine::cpu_time(std::process::id())? - standins,
    })
}

async fn ask(
    tier: Arc<HttpTier>,
    query: SearchQuery,
    front: usize,
    end: Instant,
    counts: Arc<[AtomicU64; 2]>,
) {
    while Instant::now() < end {
        let heard = tier.query(front, &query).await;
        let whole = matches!(heard, HeardAnswer::Answered(answer) if is_whole(&answer));
        counts[usize::from(!whole)].fetch_add(1, Ordering::Relaxed);
    }
}
