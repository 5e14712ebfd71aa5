//! Keeps the views of owners fresh that no answer refreshes.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_fleet::MemberId;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection::message::OwnerView;
use crate::connection::peer;
use crate::request::front::FrontContext;
use crate::request::query::hear_owners;
use crate::version::fleet::HostRecord;

/// How often views are looked through.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A view not heard of for so long is asked for: half of how long a wait told
/// by an owner is believed.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// A view that lacks a shard of its owner is asked for so soon: the owner has
/// just got the group and asks its targets.
const BARE_AFTER: Duration = LOOK_INTERVAL;

/// A view that nobody here has wanted for so long is asked for no more.
const WANTED_FOR: Duration = Duration::from_secs(10);

/// How long an owner may take to tell its view.
const VIEW_TIMEOUT: Duration = Duration::from_millis(250);

/// A starting host is not waited for longer: a target that is lost must not
/// keep it from its callers.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);

/// How long all targets have to be seen before callers come: the time in which
/// other hosts ask again for a view that they heard while it was empty.
const SEEN_FOR: Duration = STALE_AFTER.saturating_add(LOOK_INTERVAL.saturating_mul(2));

/// Runs until cancelled.
pub(crate) async fn run(front: Arc<FrontContext>, stop: CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = async { tokio::join!(keep_fresh(&front), settle(&front)); } => {}
    }
}

/// Lets callers come once all targets are seen.
///
/// Failure: hosts restart one after the other. One that has a configuration but
/// has not heard of the owners yet answers that no shard has a replica; and
/// when the next one stops before others have heard what this one owns, their
/// answers lack the shards whose replicas these two own. So a host that starts
/// says that it is ready only when its table is complete, and others' too.
async fn settle(front: &FrontContext) {
    let mut began = None;
    let mut seen_since = None;
    let mut look = tokio::time::interval(LOOK_INTERVAL);
    loop {
        look.tick().await;
        if !front.fleet.status.borrow().ready {
            continue;
        }
        let now = Instant::now();
        let began = *began.get_or_insert(now);
        seen_since = match see_all(front).await {
            true => seen_since.or(Some(now)),
            false => None,
        };
        let seen_long = seen_since.is_some_and(|since| now.duration_since(since) >= SEEN_FOR);
        if seen_long || now.duration_since(began) >= SETTLE_LIMIT {
            return front.settle();
        }
    }
}

/// Asks owners that were not heard; tells whether each shard's are all known.
async fn see_all(front: &FrontContext) -> bool {
    let Some(config) = front.config() else { return false };
    let fleet = front.fleet_view();
    let mut complete = true;
    for (service, _) in config.catalog.services() {
        hear_owners(front, service, &config).await;
        complete &= front.tables.is_complete(service, &config, &fleet, &front.views);
    }
    complete
}

async fn keep_fresh(front: &FrontContext) {
    let mut look = tokio::time::interval(LOOK_INTERVAL);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        look.tick().await;
        refresh(front).await;
    }
}

async fn refresh(front: &FrontContext) {
    let fleet = front.fleet_view();
    let me = fleet.hosts.get(&fleet.me).map(|host| host.id);
    if let Some(id) = me {
        front.views.hear(id, (*front.owner.view()).clone());
    }
    let others = fleet.all_owners().filter(|host| Some(host.id) != me);
    let wanted = others.filter(|host| front.views.is_wanted(host.id, WANTED_FOR));
    let stale = wanted.filter(|host| {
        let age = if front.tables.is_bare(host.id) { BARE_AFTER } else { STALE_AFTER };
        front.views.is_stale(host.id, age)
    });
    futures::future::join_all(stale.map(|host| ask(front, host))).await;
    front.views.keep(|id| fleet.all_owners().any(|host| host.id == id));
    front.links.keep(|address| fleet.is_reachable(address));
}

/// An owner that did not answer is not waited for again for so long: one that
/// hears but is not heard would delay every query by the whole timeout.
const SILENT_FOR: Duration = Duration::from_secs(5);

/// Asks the service's owners that were never heard, all at once.
///
/// Failure: a front just started, or the first query to a service, finds owners
/// it knows nothing of and would say that their shards are missing.
pub(crate) async fn ask_unheard(front: &FrontContext, owners: &[MemberId]) {
    let fleet = front.fleet_view();
    let hosts = fleet.all_owners().filter(|host| owners.contains(&host.id));
    let (own, others): (Vec<_>, Vec<_>) = hosts.partition(|host| host.key == fleet.me);
    for host in own {
        front.views.hear(host.id, (*front.owner.view()).clone());
    }
    let hosts = others.into_iter().filter(|host| !front.views.was_silent(host.id, SILENT_FOR));
    futures::future::join_all(hosts.map(|host| ask(front, host))).await;
}

async fn ask(front: &FrontContext, host: &HostRecord) {
    match ask_view(front, host).await {
        Some(view) => front.views.hear(host.id, view),
        None => front.views.note_silent(host.id),
    }
}

async fn ask_view(front: &FrontContext, host: &HostRecord) -> Option<OwnerView> {
    let client = front.links.client(host.peer).await.ok()?;
    let answer = client.view(peer::call_context(VIEW_TIMEOUT)).await;
    answer.map_err(|error| front.links.judge(host.peer, error)).ok()
}
