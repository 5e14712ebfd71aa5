//! Keeps the views of owners fresh that no answer refreshes.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_fleet::MemberId;
use tokio_util::sync::CancellationToken;

use crate::connection::message::OwnerView;
use crate::connection::peer;
use crate::request::front::FrontContext;
use crate::version::fleet::HostRecord;

/// How often views are looked through.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A view not heard of for so long is asked for: half of how long a wait told
/// by an owner is believed.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// A view that nobody here has wanted for so long is asked for no more.
const WANTED_FOR: Duration = Duration::from_secs(10);

/// How long an owner may take to tell its view.
const VIEW_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs until cancelled.
pub(crate) async fn run(front: Arc<FrontContext>, stop: CancellationToken) {
    let mut look = tokio::time::interval(LOOK_INTERVAL);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = look.tick() => refresh(&front).await,
        }
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
    let stale = wanted.filter(|host| front.views.is_stale(host.id, STALE_AFTER));
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
