//! Updates the gauges once a second.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::request::front::FrontContext;

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until cancelled.
pub(crate) async fn run(front: Arc<FrontContext>, stop: CancellationToken) {
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => sample(&front),
        }
    }
}

fn sample(front: &FrontContext) {
    let gauges = front.owner.gauges();
    let fleet = front.fleet_view();
    let stamp = front.stamp();
    let metrics = front.metrics();
    metrics.set_gauge("owned-targets", gauges.targets);
    metrics.set_gauge("slots-in-use", gauges.slots_in_use);
    metrics.set_gauge("queued-pieces", gauges.queued);
    metrics.set_gauge("open-batches", gauges.batches);
    metrics.set_gauge("live-hosts", fleet.live() as u64);
    metrics.set_gauge("lost-zones", fleet.lost_zones.len() as u64);
    metrics.set_gauge("configuration-revision", stamp.revision.0);
    metrics.set_gauge("configuration-age-ms", stamp.age_ms);
    metrics.set_gauge("drift", front.drift.borrow().entries.len() as u64);
    let (alarms, traffic) = {
        let status = front.fleet.status.borrow();
        (status.alarms.len() as u64, status.traffic)
    };
    metrics.set_gauge("alarms", alarms);
    metrics.set_gauge("fleet-sent-bytes", traffic.sent_bytes);
    metrics.set_gauge("fleet-sent-datagrams", traffic.sent);
    metrics.set_gauge("fleet-received-datagrams", traffic.received);
}
