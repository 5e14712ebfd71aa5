//! Time from the loss of a host until other hosts own its targets and answers are complete
//! again, and the number of targets that move when a host leaves and rejoins.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::tier::TierResponse;
use hawthorn_types::SearchQuery;
use tokio::sync::watch;

use crate::report::CostReport;
use crate::setup;
use crate::stats;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::support::fleet::is_complete;

const KILLS: usize = 5;
const DAEMONS: usize = 8;
/// The host that is killed: the first of the three in the first zone.
const KILLED_HOST: usize = 0;
/// Daemons of the killed host's zone.
const ZONE: std::ops::Range<usize> = 0..3;
/// The entry host for the queries, in another zone.
const ENTRY_HOST: usize = 3;
const SHARDS: u32 = 60;
const SERVICE: &str = "agent-desk";
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which queries continue after other hosts own all targets.
const OBSERVED_AFTER: Duration = Duration::from_secs(1);
const DEADLINE_MS: u64 = 500;

/// Kills and restarts one host, several times.
pub async fn run(report: &mut CostReport) -> TestResult {
    let service = setup::constant_time_service(SERVICE, SHARDS, Duration::from_millis(2));
    let options = setup::fleet(setup::deployment(vec![service]), DAEMONS);
    let mut fleet = TestFleet::start(options).await?;
    tokio::time::sleep(setup::SETTLE_TIME).await;
    let zone_targets: u64 = owned_targets(&fleet, ZONE).await?.iter().sum();
    let mut samples = TakeoverSamples::default();
    for _ in 0..KILLS {
        kill(&mut fleet, zone_targets, &mut samples).await?;
        join(&mut fleet, zone_targets, &mut samples).await?;
    }
    let hosts = ZONE.len() as f64;
    report.add(
        "takeover",
        "1 of 3 hosts of a zone",
        &[
            ("kills", KILLS as f64),
            ("zone_targets", zone_targets as f64),
            ("owned_by_others_median_ms", stats::median(&samples.owned_by_others)),
            ("owned_by_others_max_ms", stats::max(&samples.owned_by_others)),
            ("last_incomplete_median_ms", stats::median(&samples.last_incomplete)),
            ("last_incomplete_max_ms", stats::max(&samples.last_incomplete)),
            ("incomplete_per_kill", stats::mean(&samples.incomplete)),
            ("queries_per_kill", stats::mean(&samples.queries)),
            ("moved_on_leave_mean", stats::mean(&samples.moved_on_leave)),
            ("moved_on_join_mean", stats::mean(&samples.moved_on_join)),
            ("ideal_moved", zone_targets as f64 / hosts),
        ],
    );
    Ok(())
}

/// One entry per kill; times in milliseconds.
#[derive(Default)]
struct TakeoverSamples {
    owned_by_others: Vec<f64>,
    last_incomplete: Vec<f64>,
    incomplete: Vec<f64>,
    queries: Vec<f64>,
    moved_on_leave: Vec<f64>,
    moved_on_join: Vec<f64>,
}

/// Number of targets that each of these daemons owns.
async fn owned_targets(fleet: &TestFleet, range: std::ops::Range<usize>) -> TestResult<Vec<u64>> {
    let mut counts = Vec::new();
    for index in range {
        counts.push(fleet.status(index).await?.owned_targets);
    }
    Ok(counts)
}

fn moved_targets(before: &[u64], after: &[u64]) -> f64 {
    let pairs = before.iter().zip(after);
    pairs.map(|(&before, &after)| after.saturating_sub(before)).sum::<u64>() as f64
}

async fn kill(
    fleet: &mut TestFleet,
    zone_targets: u64,
    samples: &mut TakeoverSamples,
) -> TestResult {
    let others = KILLED_HOST + 1..ZONE.end;
    let before = owned_targets(fleet, others.clone()).await?;
    let (stop, stopped) = watch::channel(false);
    let query = SearchQuery { deadline_ms: DEADLINE_MS, ..fleet.query(SERVICE) };
    let queries = tokio::spawn(run_queries(setup::tier(fleet), query, stopped));
    let started = Instant::now();
    fleet.daemons[KILLED_HOST].kill()?;
    let after = loop {
        let after = owned_targets(fleet, others.clone()).await?;
        if after.iter().sum::<u64>() >= zone_targets {
            break after;
        }
        if started.elapsed() > TIMEOUT {
            return Err(format!("the other hosts own {after:?} of {zone_targets} targets").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    samples.owned_by_others.push(stats::ms(started.elapsed()));
    samples.moved_on_leave.push(moved_targets(&before, &after));
    tokio::time::sleep(OBSERVED_AFTER).await;
    stop.send_replace(true);
    let answers = queries.await?;
    let incomplete = answers.iter().filter(|answer| !answer.1);
    let last = incomplete.clone().map(|answer| stats::ms(answer.0 - started)).fold(0.0, f64::max);
    samples.last_incomplete.push(last);
    samples.incomplete.push(incomplete.count() as f64);
    samples.queries.push(answers.len() as f64);
    Ok(())
}

/// Runs one query after another. Returns the time of each answer and whether it was complete.
async fn run_queries(
    tier: Arc<impl QueryTier>,
    query: SearchQuery,
    stopped: watch::Receiver<bool>,
) -> Vec<(Instant, bool)> {
    let mut answers = Vec::new();
    while !*stopped.borrow() {
        let response = tier.query(ENTRY_HOST, &query).await;
        let complete = matches!(response, TierResponse::Answered(answer) if is_complete(&answer));
        answers.push((Instant::now(), complete));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    answers
}

async fn join(
    fleet: &mut TestFleet,
    zone_targets: u64,
    samples: &mut TakeoverSamples,
) -> TestResult {
    fleet.restart(KILLED_HOST)?;
    let started = Instant::now();
    loop {
        let counts = owned_targets(fleet, ZONE).await?;
        let settled = counts[KILLED_HOST] > 0 && counts.iter().sum::<u64>() == zone_targets;
        if settled {
            samples.moved_on_join.push(counts[KILLED_HOST] as f64);
            break;
        }
        if started.elapsed() > TIMEOUT {
            return Err(format!(
                "after a join, the zone's hosts own {counts:?} of {zone_targets} targets"
            )
            .into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(OBSERVED_AFTER).await;
    Ok(())
}
