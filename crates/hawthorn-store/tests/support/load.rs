//! Claims at a constant rate in virtual time, and the store calls that they cost.

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

const TIMEOUT: Duration = Duration::from_secs(1);
/// Has as many digits as a typical random seed, so that values have a realistic size.
const TYPICAL_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const MICROS: u64 = 1_000_000;
const FIRST_SECOND: u64 = 1_700_000_040;

/// Cost of claims at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct ClaimCost {
    pub calls_per_hundred: f64,
    pub writes_per_second: f64,
    pub kilobytes_per_second: f64,
    pub median: Duration,
    pub slowest: Duration,
}

/// Rate and duration of claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLoad {
    pub rate: u64,
    pub seconds: u64,
    /// Number of hosts that claim in turn; 1 if each bucket has a single owner.
    pub hosts: u64,
}

/// Claims at a constant rate and dispatches each grant. Request ids have the time of the claim.
pub async fn steady(
    load: ClaimLoad,
    options: claim::Options,
    latency: Duration,
) -> Result<ClaimCost, Box<dyn Error>> {
    let store = FakeStore::new(latency);
    let ClaimLoad { rate, seconds, hosts } = load;
    let cancel = CancellationToken::new();
    let client = |host| {
        let seed = ProcessSeed(TYPICAL_SEED + host);
        ClaimClient::spawn(Arc::new(store.clone()), seed, &cancel, options)
    };
    let clients: Vec<ClaimClient> = (0..hosts).map(client).collect();
    let started = Instant::now();
    let mut claims = JoinSet::new();
    for number in 0..rate * seconds {
        let at = Duration::from_micros(number * MICROS / rate);
        sleep_until(started + at).await;
        let client = clients[(number % hosts) as usize].clone();
        claims.spawn(async move {
            let second = FIRST_SECOND + at.as_secs();
            let request = ClaimRequest {
                caller: "port-desk".to_owned(),
                request_id: format!("{second}-{number:06}"),
                deadline: Instant::now() + TIMEOUT,
                unix_now: Duration::from_secs(second),
            };
            let requested_at = Instant::now();
            match client.claim(request).await {
                Outcome::Granted(grant) => {
                    let latency = requested_at.elapsed();
                    let permit = grant.dispatch(Instant::now(), Duration::from_secs(second));
                    permit.map(|_| latency).map_err(|error| error.to_string())
                }
                other => Err(format!("not granted: {other:?}")),
            }
        });
    }
    let mut latencies = claims.join_all().await.into_iter().collect::<Result<Vec<_>, _>>()?;
    latencies.sort();
    let calls = store.calls();
    let written = clients.iter().map(|client| client.counts().get(ClaimEvent::BytesWritten));
    let written: u64 = written.sum();
    let elapsed = started.elapsed().as_secs_f64();
    Ok(ClaimCost {
        calls_per_hundred: (calls.puts + calls.gets) as f64 * 100.0 / latencies.len() as f64,
        writes_per_second: calls.puts as f64 / elapsed,
        kilobytes_per_second: written as f64 / 1000.0 / elapsed,
        median: latencies[latencies.len() / 2],
        slowest: latencies[latencies.len() - 1],
    })
}
