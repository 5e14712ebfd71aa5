//! Claims: at most one run for a request id, whatever the store does.

mod support;

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::ClaimKeeper;
use hawthorn_store::claim;
use hawthorn_store::claim::ClaimAsk;
use hawthorn_store::claim::ClaimGrant;
use hawthorn_store::claim::GrantExpired;
use hawthorn_store::claim::Outcome;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use support::FakeStore;

type TestResult = Result<(), Box<dyn Error>>;

const NOW: u64 = 1_700_000_000;
const LATENCY: Duration = Duration::from_millis(3);

fn unix(second: u64) -> Duration {
    Duration::from_secs(second)
}

fn options(seed: u64) -> claim::Options {
    claim::Options { buckets: 1, seed, ..claim::Options::default() }
}

fn keeper(store: &FakeStore, seed: u64) -> ClaimKeeper {
    ClaimKeeper::spawn(Arc::new(store.clone()), options(seed), &CancellationToken::new())
}

fn ask(request_id: &str) -> ClaimAsk {
    ClaimAsk {
        caller: "port-desk".to_owned(),
        request_id: request_id.to_owned(),
        deadline: Instant::now() + Duration::from_millis(800),
        unix_now: unix(NOW),
    }
}

fn granted(outcome: Outcome) -> Result<ClaimGrant, String> {
    match outcome {
        Outcome::Granted(grant) => Ok(grant),
        other => Err(format!("not granted: {other:?}")),
    }
}

fn dispatch(grant: ClaimGrant) -> Result<(), GrantExpired> {
    grant.dispatch(Instant::now(), unix(NOW)).map(|_permit| ())
}

#[tokio::test(start_paused = true)]
async fn the_second_send_of_an_id_finds_it_held() -> TestResult {
    let store = FakeStore::new(LATENCY);
    let first = keeper(&store, 1);
    let second = keeper(&store, 2);
    dispatch(granted(first.claim(ask("1700000000-a")).await)?)?;
    for keeper in [&first, &second] {
        let outcome = keeper.claim(ask("1700000000-a")).await;
        assert!(matches!(outcome, Outcome::HeldEarlier), "{outcome:?}");
    }
    Ok(())
}
