//! Claim clients on a fake store, and claim requests.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::ClaimClient;
use hawthorn_store::claim;
use hawthorn_store::claim::ClaimGrant;
use hawthorn_store::claim::ClaimRequest;
use hawthorn_store::claim::GrantExpired;
use hawthorn_store::claim::Outcome;
use hawthorn_store::claim::ProcessSeed;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::FakeStore;

pub const NOW: u64 = 1_700_000_000;
pub const LATENCY: Duration = Duration::from_millis(3);
/// Exceeds the delay of every write in flight and every released claim.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

pub fn unix(second: u64) -> Duration {
    Duration::from_secs(second)
}

pub fn options() -> claim::Options {
    claim::Options { buckets: 1, ..claim::Options::default() }
}

pub fn client(store: &FakeStore, seed: u64) -> ClaimClient {
    let cancel = CancellationToken::new();
    ClaimClient::spawn(Arc::new(store.clone()), ProcessSeed(seed), &cancel, options())
}

pub fn request(request_id: &str) -> ClaimRequest {
    ClaimRequest {
        caller: "port-desk".to_owned(),
        request_id: request_id.to_owned(),
        deadline: Instant::now() + Duration::from_millis(800),
        unix_now: unix(NOW),
    }
}

pub fn granted(outcome: Outcome) -> Result<ClaimGrant, String> {
    match outcome {
        Outcome::Granted(grant) => Ok(grant),
        other => Err(format!("not granted: {other:?}")),
    }
}

pub fn dispatch(grant: ClaimGrant) -> Result<(), GrantExpired> {
    grant.dispatch(Instant::now(), unix(NOW)).map(|_permit| ())
}
