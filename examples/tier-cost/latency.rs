//! Latency that the tier adds to a direct call to the same targets, without contention: one
//! caller, one query at a time, alternately direct and through the tier.

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::load::NaiveTier;
use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::tier::TierResponse;
use hawthorn_types::SearchQuery;

use crate::report::CostReport;
use crate::setup;
use crate::stats;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::support::fleet::is_complete;

const PAIRS: usize = 1_000;
/// Queries before the measurement, to warm up connections and routes.
const WARM_UP_QUERIES: usize = 50;
const SEED: u64 = 1;
const SERVICE: &str = "agent-desk";

struct LatencyCase {
    name: &'static str,
    shards: u32,
    replicas: u32,
    daemons: usize,
    typical: Duration,
}

const CASES: [LatencyCase; 4] = [
    LatencyCase {
        name: "1 shard, 0 ms, 1 daemon",
        shards: 1,
        replicas: 1,
        daemons: 1,
        typical: Duration::ZERO,
    },
    LatencyCase {
        name: "1 shard, 5 ms, 1 daemon",
        shards: 1,
        replicas: 1,
        daemons: 1,
        typical: Duration::from_millis(5),
    },
    LatencyCase {
        name: "20 shards, 0 ms, 8 daemons",
        shards: 20,
        replicas: 2,
        daemons: 8,
        typical: Duration::ZERO,
    },
    LatencyCase {
        name: "20 shards, 5 ms, 8 daemons",
        shards: 20,
        replicas: 2,
        daemons: 8,
        typical: Duration::from_millis(5),
    },
];

/// Measures all cases.
pub async fn run(report: &mut CostReport) -> TestResult {
    for case in &CASES {
        measure(case, report).await?;
    }
    Ok(())
}

async fn measure(case: &LatencyCase, report: &mut CostReport) -> TestResult {
    let mut service = setup::constant_time_service(SERVICE, case.shards, case.typical);
    service.replicas = case.replicas;
    let options = setup::fleet(setup::deployment(vec![service]), case.daemons);
    let fleet = TestFleet::start(options).await?;
    tokio::time::sleep(setup::SETTLE_TIME).await;
    let tier = setup::tier(&fleet);
    let naive = NaiveTier::of_deployment(&fleet.deployment, SEED);
    let query = fleet.query(SERVICE);
    for _ in 0..WARM_UP_QUERIES {
        query_latency(&naive, &query).await?;
        query_latency(tier.as_ref(), &query).await?;
    }
    let (mut direct, mut through_tier) = (Vec::new(), Vec::new());
    for _ in 0..PAIRS {
        direct.push(query_latency(&naive, &query).await?);
        through_tier.push(query_latency(tier.as_ref(), &query).await?);
    }
    let at = |share: f64| (stats::quantile(&direct, share), stats::quantile(&through_tier, share));
    let ((direct_p50, tier_p50), (direct_p99, tier_p99)) = (at(0.5), at(0.99));
    report.add(
        "latency",
        case.name,
        &[
            ("pairs", PAIRS as f64),
            ("direct_p50_ms", direct_p50),
            ("tier_p50_ms", tier_p50),
            ("added_p50_ms", tier_p50 - direct_p50),
            ("direct_p99_ms", direct_p99),
            ("tier_p99_ms", tier_p99),
            ("added_p99_ms", tier_p99 - direct_p99),
        ],
    );
    Ok(())
}

/// Latency of one complete answer at the first entry host, in milliseconds.
async fn query_latency(tier: &dyn QueryTier, query: &SearchQuery) -> TestResult<f64> {
    let started = Instant::now();
    let response = tier.query(0, query).await;
    let elapsed = started.elapsed();
    match response {
        TierResponse::Answered(answer) if is_complete(&answer) => Ok(stats::ms(elapsed)),
        other => Err(format!("not a complete answer: {other:?}").into()),
    }
}
