//! Deletes expired claims.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::StoreClient;
use hawthorn_store::claim;
use tokio_util::sync::CancellationToken;

use crate::process::clock::unix_now;
use crate::request::front::FrontContext;

/// Interval between sweeps. Claims are kept for 15 minutes; a minute more is harmless.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Runs until cancelled.
pub(crate) async fn run(
    store: StoreClient,
    options: claim::Options,
    front: Arc<FrontContext>,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        let fleet = front.fleet_view();
        for bucket in 0..options.buckets {
            // One host per zone sweeps a bucket. Zones sweep the same keys; a second deletion is
            // harmless and costs one call.
            if fleet.claim_owner(&front.zone, bucket) == Some(fleet.me) {
                // Claims left after an error are deleted by the next sweep.
                let _swept = claim::sweep(&store, bucket, unix_now(), &options).await;
            }
        }
    }
}
