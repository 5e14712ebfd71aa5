//! Deletes claims that no request can need any more.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_store::StoreClient;
use hawthorn_store::claim;
use tokio_util::sync::CancellationToken;

use crate::process::clock::unix_now;
use crate::request::front::FrontContext;

/// Claims are kept for a quarter of an hour; a minute more does no harm.
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
            // One host of each zone sweeps a bucket. Zones sweep the same keys;
            // a deletion done twice does no harm and costs one call.
            if fleet.claim_owner(&front.zone, bucket) == Some(fleet.me) {
                // What is left is deleted a minute later.
                let _swept = claim::sweep(&store, bucket, unix_now(), &options).await;
            }
        }
    }
}
