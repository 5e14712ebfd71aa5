//! Crowds of clients that do not complete what they send, against a real `serve` process. The tests
//! run one at a time.

mod support;

use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::crowd;
use support::crowd::Crowd;
use support::crowd::Framing;
use support::crowd::PeakUse;
use support::crowd::UsageWatch;
use support::crowd::unfinished;
use support::fleet::is_complete;
use tokio::sync::Mutex;

/// Memory of the smallest machine, for the process's memory and what its sockets hold unread.
const MACHINE_MB: u64 = 112;
const BODY_BYTES: usize = 1 << 20;
const LIMITS: &str = "[limits]\nmax_body_bytes = 1048576\nslow_client = \"30s\"\n";

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Sends a crowd to a daemon; returns what is wrong if it does not serve others or does not stay
/// within its machine.
async fn meet_crowd(name: &str, clients: usize, bytes: &[u8]) -> TestResult<Option<String>> {
    let _turn = ONE_AT_A_TIME.lock().await;
    let options = FleetOptions::small();
    let extra_settings = format!("{}{LIMITS}", options.extra_settings);
    let mut fleet = TestFleet::start(FleetOptions { extra_settings, ..options }).await?;
    let at = fleet.daemons[0].caller;
    let watch = UsageWatch::start(fleet.daemons[0].id(), at);
    let crowd = Crowd::send(at, clients, bytes).await;
    let answer = fleet.send(0, fleet.query("agent-desk")).await?;
    let used = watch.finish().await?;
    println!("{name}: {used:?}");
    let PeakUse { resident_kb, unread_kb, .. } = used;
    let fits = resident_kb + unread_kb <= MACHINE_MB * 1024;
    drop(crowd);
    fleet.daemons[0].kill()?;
    let failed = !fits || !is_complete(&answer);
    Ok(failed.then(|| format!("{name}: {used:?}, {:?}", answer.outcome)))
}

/// Guards against a daemon that runs out of memory by bodies that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_stay_within_the_memory_of_a_daemon() -> TestResult {
    const CROWD: usize = 200;
    let mut failures = Vec::new();
    for framing in [Framing::Length, Framing::Chunks(4096)] {
        let bytes = unfinished(crowd::query(framing, BODY_BYTES));
        failures.extend(meet_crowd(&format!("{framing:?}"), CROWD, &bytes).await?);
    }
    assert!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a daemon that runs out of memory by heads that do not end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_stay_within_the_memory_of_a_daemon() -> TestResult {
    const CROWD: usize = 400;
    let failure = meet_crowd("heads", CROWD, &crowd::endless_head(300_000)).await?;
    assert_eq!(failure, None);
    Ok(())
}
