//! Claims at a steady rate, in virtual time, and what they cost the store.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::ClaimClient;
use hawthorn_store::claim;
use hawthorn_store::claim::ClaimEvent;
use hawthorn_store::claim::ClaimRequest;
use hawthorn_store::claim::Outcome;
use hawthorn_store::claim::ProcessSeed;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::FakeStore;

const PATIENCE: Duration = Duration::from_secs(1);
/// As long in a value as a random one.
const TYPICAL_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const MICROS: u64 = 1_000_000;
const FIRST_SECOND: u64 = 1_700_000_040;

/// What a steady rate of claims cost.
#[derive(Clone, Copy, Debug)]
pub struct ClaimCost {
    pub calls_per_hundred: f64,
    pub writes_per_second: f64,
    pub kilobytes_per_second: f64,
    pub median: Duration,
    pub slowest: Duration,
}

/// Who claims how much.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLoad {
    pub rate: u64,
    pub seconds: u64,
    /// Hosts that claim in turn; one when each bucket has one owner.
    pub hosts: u64,
}

/// Claims at a steady rate, each stamped when it is made, granted and used.
pub async fn steady(
    load: ClaimLoad,
    options: claim::Options,
    latency: Duration,
) -> Result<ClaimCost, Box<dyn Error>> {
    let store = FakeStore::new(latency);
    let ClaimLoad { rate, seconds, hosts } = load;
    let cancel = CancellationToken::new();
    let keeper = |host| {
        let seed = ProcessSeed(TYPICAL_SEED + host);
        ClaimClient::spawn(Arc::new(store.clone()), seed, &cancel, options)
    };
    let keepers: Vec<ClaimClient> = (0..hosts).map(keeper).collect();
    let started = Instant::now();
    let mut claims = JoinSet::new();
    for number in 0..rate * seconds {
        let at = Duration::from_micros(number * MICROS / rate);
        sleep_until(started + at).await;
        let keeper = keepers[(number % hosts) as usize].clone();
        claims.spawn(async move {
            let second = FIRST_SECOND + at.as_secs();
            let ask = ClaimRequest {
                caller: "port-desk".to_owned(),
                request_id: format!("{second}-{number:06}"),
                deadline: Instant::now() + PATIENCE,
                unix_now: Duration::from_secs(second),
            };
            let asked = Instant::now();
            match keeper.claim(ask).await {
                Outcome::Granted(grant) => {
                    let waited = asked.elapsed();
                    let permit = grant.dispatch(Instant::now(), Duration::from_secs(second));
                    permit.map(|_| waited).map_err(|error| error.to_string())
                }
                other => Err(format!("not granted: {other:?}")),
            }
        });
    }
    let mut waits = claims.join_all().await.into_iter().collect::<Result<Vec<_>, _>>()?;
    waits.sort();
    let calls = store.calls();
    let written = keepers.iter().map(|keeper| keeper.counts().get(ClaimEvent::BytesWritten));
    let written: u64 = written.sum();
    let took = started.elapsed().as_secs_f64();
    Ok(ClaimCost {
        calls_per_hundred: (calls.puts + calls.gets) as f64 * 100.0 / waits.len() as f64,
        writes_per_second: calls.puts as f64 / took,
        kilobytes_per_second: written as f64 / 1000.0 / took,
        median: waits[waits.len() / 2],
        slowest: waits[waits.len() - 1],
    })
}
