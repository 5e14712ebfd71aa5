//! From the loss of a host to its groups being owned by others and queries
//! being whole again; and how many targets move when a host leaves and joins.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::tier::HeardAnswer;
use hawthorn_types::SearchQuery;
use tokio::sync::watch;

use crate::figures;
use crate::report::CostReport;
use crate::setup;
use crate::support::TestFleet;
use crate::support::TestResult;
use crate::support::fleet::is_whole;

const KILLS: usize = 5;
const DAEMONS: usize = 8;
/// The first host of the first zone, which has three.
const VICTIM: usize = 0;
/// Daemons of the victim's zone.
const ZONE: std::ops::Range<usize> = 0..3;
/// A front of another zone.
const FRONT: usize = 3;
const SHARDS: u32 = 60;
const SERVICE: &str = "agent-desk";
const LOOK: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(15);
/// Queries go on for so long after others own everything.
const AFTER: Duration = Duration::from_secs(1);
const DEADLINE_MS: u64 = 500;

/// Kills and brings back one host, several times.
pub async fn run(report: &mut CostReport) -> TestResult {
    let service = setup::even_service(SERVICE, SHARDS, Duration::from_millis(2));
    let options = setup::fleet(setup::deployment(vec![service]), DAEMONS);
    let mut fleet = TestFleet::start(options).await?;
    tokio::time::sleep(setup::SETTLE).await;
    let all: u64 = owned(&fleet, ZONE).await?.iter().sum();
    let mut seen = TakeoverSamples::default();
    for _ in 0..KILLS {
        kill(&mut fleet, all, &mut seen).await?;
        join(&mut fleet, all, &mut seen).await?;
    }
    let hosts = ZONE.len() as f64;
    report.add(
        "takeover",
        "1 of 3 hosts of a zone",
        &[
            ("kills", KILLS as f64),
            ("zone_targets", all as f64),
            ("owned_by_others_median_ms", figures::median(&seen.owned)),
            ("owned_by_others_max_ms", figures::most(&seen.owned)),
            ("last_incomplete_median_ms", figures::median(&seen.incomplete)),
            ("last_incomplete_max_ms", figures::most(&seen.incomplete)),
            ("incomplete_per_kill", figures::mean(&seen.missed)),
            ("queries_per_kill", figures::mean(&seen.asked)),
            ("moved_on_leave_mean", figures::mean(&seen.left)),
            ("moved_on_join_mean", figures::mean(&seen.joined)),
            ("ideal_moved", all as f64 / hosts),
        ],
    );
    Ok(())
}

/// One entry for each kill; times in milliseconds.
#[derive(Default)]
struct TakeoverSamples {
    owned: Vec<f64>,
    incomplete: Vec<f64>,
    missed: Vec<f64>,
    asked: Vec<f64>,
    left: Vec<f64>,
    joined: Vec<f64>,
}

/// Targets that each of these daemons owns.
async fn owned(fleet: &TestFleet, range: std::ops::Range<usize>) -> TestResult<Vec<u64>> {
    let mut counts = Vec::new();
    for index in range {
        counts.push(fleet.status(index).await?.owned_targets);
    }
    Ok(counts)
}

fn gained(before: &[u64], after: &[u64]) -> f64 {
    let pairs = before.iter().zip(after);
    pairs.map(|(&before, &after)| after.saturating_sub(before)).sum::<u64>() as f64
}

async fn kill(fleet: &mut TestFleet, all: u64, seen: &mut TakeoverSamples) -> TestResult {
    let others = VICTIM + 1..ZONE.end;
    let before = owned(fleet, others.clone()).await?;
    let (stop, stopped) = watch::channel(false);
    let query = SearchQuery { deadline_ms: DEADLINE_MS, ..fleet.query(SERVICE) };
    let asking = tokio::spawn(ask(setup::tier(fleet), query, stopped));
    let began = Instant::now();
    fleet.daemons[VICTIM].kill()?;
    let after = loop {
        let after = owned(fleet, others.clone()).await?;
        if after.iter().sum::<u64>() >= all {
            break after;
        }
        if began.elapsed() > LIMIT {
            return Err(format!("the others own {after:?} of {all} targets").into());
        }
        tokio::time::sleep(LOOK).await;
    };
    seen.owned.push(figures::ms(began.elapsed()));
    seen.left.push(gained(&before, &after));
    tokio::time::sleep(AFTER).await;
    stop.send_replace(true);
    let answers = asking.await?;
    let missed = answers.iter().filter(|answer| !answer.1);
    let last = missed.clone().map(|answer| figures::ms(answer.0 - began)).fold(0.0, f64::max);
    seen.incomplete.push(last);
    seen.missed.push(missed.count() as f64);
    seen.asked.push(answers.len() as f64);
    Ok(())
}

/// Asks one query after the other; when each answer came and whether it was whole.
async fn ask(
    tier: Arc<impl QueryTier>,
    query: SearchQuery,
    stopped: watch::Receiver<bool>,
) -> Vec<(Instant, bool)> {
    let mut answers = Vec::new();
    while !*stopped.borrow() {
        let heard = tier.query(FRONT, &query).await;
        let whole = matches!(heard, HeardAnswer::Answered(answer) if is_whole(&answer));
        answers.push((Instant::now(), whole));
        tokio::time::sleep(LOOK).await;
    }
    answers
}

async fn join(fleet: &mut TestFleet, all: u64, seen: &mut TakeoverSamples) -> TestResult {
    fleet.restart(VICTIM)?;
    let began = Instant::now();
    loop {
        let counts = owned(fleet, ZONE).await?;
        let settled = counts[VICTIM] > 0 && counts.iter().sum::<u64>() == all;
        if settled {
            seen.joined.push(counts[VICTIM] as f64);
            break;
        }
        if began.elapsed() > LIMIT {
            return Err(format!("after a join the zone owns {counts:?} of {all}").into());
        }
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(AFTER).await;
    Ok(())
}
