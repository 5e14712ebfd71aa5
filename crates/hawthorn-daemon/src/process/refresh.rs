//! Refreshes the views of owners that no recent answer has refreshed.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_fleet::MemberId;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection::message::OwnerView;
use crate::connection::peer;
use crate::request::front::FrontContext;
use crate::request::query::fetch_missing_views;
use crate::version::fleet::HostRecord;

/// Interval at which views are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Age from which a view is fetched again: half of the time for which a reported wait is considered
/// valid.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// Age from which a view is fetched again if it lacks a shard of its owner: the owner has just
/// taken over the group and is probing its targets.
const INCOMPLETE_AFTER: Duration = POLL_INTERVAL;

/// Time after its last use for which a view is still refreshed.
const NEEDED_FOR: Duration = Duration::from_secs(10);

/// Timeout of fetching a view.
const VIEW_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum duration of the initial sync: a lost target must not keep a starting host from serving
/// callers.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which all targets must have been visible before the host is ready: within it, other
/// hosts fetch again a view that was still empty when they first got it.
const STABLE_FOR: Duration = STALE_AFTER.saturating_add(POLL_INTERVAL.saturating_mul(2));

/// Runs until cancelled.
pub(crate) async fn run(front: Arc<FrontContext>, stop: CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = async { tokio::join!(keep_fresh(&front), wait_for_sync(&front)); } => {}
    }
}

/// Marks the host as synced once all targets are visible.
///
/// A starting host is ready only when its table is complete and other hosts have had time to fetch
/// its view. In a rolling restart, a host that has a configuration but no views of the owners yet
/// would answer that no shard has a replica. If the next host stopped before others have received
/// the view of this one, their answers would lack the shards whose replicas are owned by these two.
async fn wait_for_sync(front: &FrontContext) {
    let mut started = None;
    let mut complete_since = None;
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        poll.tick().await;
        if !front.fleet.status.borrow().ready {
            continue;
        }
        let now = Instant::now();
        let started = *started.get_or_insert(now);
        complete_since = match fetch_all_views(front).await {
            true => complete_since.or(Some(now)),
            false => None,
        };
        let is_stable = complete_since.is_some_and(|since| now.duration_since(since) >= STABLE_FOR);
        if is_stable || now.duration_since(started) >= SYNC_TIMEOUT {
            return front.mark_synced();
        }
    }
}

/// Fetches missing views; returns whether the owners of every shard are known.
async fn fetch_all_views(front: &FrontContext) -> bool {
    let Some(config) = front.config() else { return false };
    let fleet = front.fleet_view();
    let mut complete = true;
    for (service, _) in config.catalog.services() {
        fetch_missing_views(front, service, &config).await;
        complete &= front.tables.is_complete(service, &config, &fleet, &front.views);
    }
    complete
}

async fn keep_fresh(front: &FrontContext) {
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        poll.tick().await;
        refresh(front).await;
    }
}

async fn refresh(front: &FrontContext) {
    let fleet = front.fleet_view();
    let me = fleet.hosts.get(&fleet.me).map(|host| host.id);
    if let Some(id) = me {
        front.views.update(id, (*front.owner.view()).clone());
    }
    let remote = fleet.all_owners().filter(|host| Some(host.id) != me);
    let needed = remote.filter(|host| front.views.is_needed(host.id, NEEDED_FOR));
    let stale = needed.filter(|host| {
        let max_age =
            if front.tables.is_incomplete(host.id) { INCOMPLETE_AFTER } else { STALE_AFTER };
        front.views.is_stale(host.id, max_age)
    });
    futures::future::join_all(stale.map(|host| refresh_view(front, host))).await;
    front.views.retain(|id| fleet.all_owners().any(|host| host.id == id));
    front.links.retain(|address| fleet.is_reachable(address));
}

/// Time after a timeout during which no view is requested from the owner. An owner that receives
/// requests but whose answers are lost would otherwise delay every query by the full timeout.
const TIMEOUT_BACKOFF: Duration = Duration::from_secs(5);

/// Fetches the views of owners that have none yet, concurrently.
///
/// Without this, a front that has just started, or that gets the first query to a service, would
/// have no views of the owners and report their shards as missing.
pub(crate) async fn fetch_views(front: &FrontContext, owners: &[MemberId]) {
    let fleet = front.fleet_view();
    let hosts = fleet.all_owners().filter(|host| owners.contains(&host.id));
    let (local, remote): (Vec<_>, Vec<_>) = hosts.partition(|host| host.key == fleet.me);
    for host in local {
        front.views.update(host.id, (*front.owner.view()).clone());
    }
    let hosts =
        remote.into_iter().filter(|host| !front.views.timed_out_within(host.id, TIMEOUT_BACKOFF));
    futures::future::join_all(hosts.map(|host| refresh_view(front, host))).await;
}

async fn refresh_view(front: &FrontContext, host: &HostRecord) {
    match fetch_view(front, host).await {
        Some(view) => front.views.update(host.id, view),
        None => front.views.record_timeout(host.id),
    }
}

async fn fetch_view(front: &FrontContext, host: &HostRecord) -> Option<OwnerView> {
    let client = front.links.client(host.peer).await.ok()?;
    let answer = client.view(peer::call_context(VIEW_TIMEOUT)).await;
    answer.map_err(|error| front.links.classify_error(host.peer, error)).ok()
}
