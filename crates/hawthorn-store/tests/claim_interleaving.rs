//! Random interleavings of claims by several hosts on a store with random faults.

mod support;

use std::cell::Cell;
use std::error::Error;
use std::time::Duration;

use hawthorn_store::ClaimClient;
use hawthorn_store::claim::Outcome;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use tokio::task::JoinSet;
use tokio::time::sleep;

use support::FakeStore;
use support::FaultRates;
use support::claims::LATENCY;
use support::claims::SETTLE_TIME;
use support::claims::client;
use support::claims::dispatch;
use support::claims::request;

type TestResult = Result<(), Box<dyn Error>>;

#[derive(Clone, Debug)]
struct Send {
    host: usize,
    id: u32,
    at: u64,
    dispatched: bool,
}

fn any_sends() -> impl Strategy<Value = (Vec<Send>, u64)> {
    let send = (0_usize..3, 0_u32..3, 0_u64..400, any::<bool>())
        .prop_map(|(host, id, at, dispatched)| Send { host, id, at, dispatched });
    (proptest::collection::vec(send, 1..16), any::<u64>())
}

/// Three hosts claim the same few ids at random times on a store that loses answers, delays
/// writes and fails. Dispatched grants are counted for each id. Once the store has recovered,
/// an id that never ran can still run once.
async fn interleave(sends: Vec<Send>, seed: u64) -> Result<u32, String> {
    let rates = FaultRates { outage: 12, lost_answer: 15, runs_later: 15, rate_limited: 5 };
    let store = FakeStore::seeded(LATENCY, rates, seed);
    let hosts: Vec<ClaimClient> = (0..3).map(|host| client(&store, host)).collect();
    let mut claims = JoinSet::new();
    for send in sends {
        let client = hosts[send.host].clone();
        claims.spawn(async move {
            sleep(Duration::from_millis(send.at)).await;
            let outcome = client.claim(request(&format!("1700000000-{}", send.id))).await;
            match outcome {
                Outcome::Granted(grant) if send.dispatched => {
                    dispatch(grant).is_ok().then_some(send.id)
                }
                _ => None,
            }
        });
    }
    let ran: Vec<u32> = claims.join_all().await.into_iter().flatten().collect();
    store.stop_random_faults();
    sleep(SETTLE_TIME * 4).await;
    for id in 0..3 {
        let runs = ran.iter().filter(|run| **run == id).count();
        let last = hosts[id as usize].claim(request(&format!("1700000000-{id}"))).await;
        let is_granted = matches!(last, Outcome::Granted(_));
        if runs > 1 || is_granted != (runs == 0) {
            return Err(format!("id {id} ran {runs} times, then {last:?}"));
        }
    }
    Ok(u32::try_from(ran.len()).unwrap_or(u32::MAX))
}

#[test]
fn no_interleaving_runs_an_id_twice_or_blocks_it() -> TestResult {
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let ran = Cell::new(0);
    TestRunner::new_with_rng(config, rng).run(&any_sends(), |(sends, seed)| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build();
        let runtime = runtime.map_err(|error| TestCaseError::fail(error.to_string()))?;
        let runs = runtime.block_on(interleave(sends, seed)).map_err(TestCaseError::fail)?;
        ran.set(ran.get() + runs);
        Ok(())
    })?;
    assert!(
        ran.get() > 300,
        "too few claims were dispatched for a meaningful result: {}",
        ran.get()
    );
    Ok(())
}
