//! Catches up with a peer whose heartbeat announces newer items of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::revision::StoreRevision;
use log::Level;
use tokio::time::sleep;

use crate::connection::message::CatalogUpdate;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::store_sync;

/// Delay before a host that learns of a newer revision from a heartbeat requests it from the
/// sender, so that its own source can deliver the update first.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);

/// Marks the host as catching up until it is dropped, however the task ends.
#[derive(Debug)]
pub struct CatchUpGuard {
    host: Rc<RouteHost>,
}

impl CatchUpGuard {
    /// Returns `None` if another task is catching up.
    pub fn acquire(host: &Rc<RouteHost>) -> Option<Self> {
        (!host.catching_up.replace(true)).then(|| Self { host: Rc::clone(host) })
    }
}

impl Drop for CatchUpGuard {
    fn drop(&mut self) {
        self.host.catching_up.set(false);
    }
}

/// Fetches newer items from a peer whose heartbeat announced them, if this host's own source
/// has not delivered them after a delay.
///
/// If the watcher of a zone loses the store without noticing, the zone would otherwise keep an
/// older configuration while others have a newer one.
pub(crate) async fn catch_up(host: Rc<RouteHost>, peer: SocketAddr, as_of: StoreRevision) {
    if as_of <= host.mirror.borrow().as_of() {
        return;
    }
    let Some(_guard) = CatchUpGuard::acquire(&host) else { return };
    sleep(CATCH_UP_DELAY).await;
    let after = host.mirror.borrow().wanted_after();
    let sent = host_now();
    if as_of > after
        && let Some(update) = store_sync::fetch_update(&host, peer, after, Duration::ZERO).await
        && update.as_of != StoreRevision::NONE
    {
        let CatalogUpdate { as_of, .. } = update;
        if store_sync::apply_from_peer(&host, peer, update, sent) {
            edge_event!(
                Level::Info,
                EdgeEvent::CaughtUp,
                "peer={peer} after={} as_of={} era={}",
                after.number,
                as_of.number,
                as_of.era
            );
        }
    }
}
