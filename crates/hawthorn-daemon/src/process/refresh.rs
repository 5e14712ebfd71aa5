//! Keeps the views of owners fresh that no answer refreshes.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_fleet::MemberId;
use tokio_util::sync::CancellationToken;

use crate::connection::peer;
use crate::request::front::FrontContext;
use crate::version::fleet::HostRecord;

/// How often views are looked through.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A view not heard of for so long is asked for: half of how long a wait told
/// by an owner is believed.
const STALE_AFTER: Duration = Duration::from_millis(500);

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
    let stale = others.filter(|host| front.views.is_stale(host.id, STALE_AFTER));
    futures::future::join_all(stale.map(|host| ask(front, host))).await;
    front.views.keep(|id| fleet.all_owners().any(|host| host.id == id));
    front.links.keep(|address| fleet.is_reachable(address));
}

async fn ask(front: &FrontContext, host: &HostRecord) -> Option<MemberId> {
    let client = front.links.client(host.peer).await.ok()?;
    let answer = client.view(peer::call_context(VIEW_TIMEOUT)).await;
    let view = answer.map_err(|error| front.links.judge(host.peer, error)).ok()?;
    front.views.hear(host.id, view);
    Some(host.id)
}
