//! Replies to peers that request updates of the store's items.

use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::mirror::HeldValue;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::revision::StoreRevision;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::message::CatalogUpdate;
use crate::process::clock::host_now;
use crate::process::host::RouteHost;

/// Interval at which a bulk message is retried while the link has no capacity for it.
const BULK_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A peer's request for changes of the store's items.
#[derive(Debug)]
pub(crate) struct UpdateRequest {
    /// The revision up to which the peer has all changes.
    pub(crate) after: StoreRevision,
    /// Large values that it holds.
    pub(crate) held: Vec<HeldValue>,
    /// How long it waits for a change.
    pub(crate) wait: Duration,
}

/// Replies to a peer when there is an update or its wait is over.
pub(crate) async fn answer_peer(
    host: Rc<RouteHost>,
    request: UpdateRequest,
    received: Duration,
    mut reply: oneshot::Sender<CatalogUpdate>,
) {
    let UpdateRequest { after, held, wait } = request;
    let until = host_now() + wait;
    if host.mirror.borrow().as_of() <= after {
        // Reply before this host's data becomes stale, so that the peer can change its source.
        let max_age = host.confirmation_plan().max_source_age;
        let age = host.confirmed_age().unwrap_or(max_age);
        let wait = wait.min(max_age.saturating_sub(age));
        let waited = timeout(wait, host.mirror_advanced.notified());
        tokio::select! {
            // The current state is the reply in either case.
            _ = waited => {}
            () = reply.closed() => return,
        }
    }
    let (mut response, confirmed) = loop {
        // A confirmation that arrives during the delay may be of a later revision.
        let confirmed = host.confirmed_at();
        let update = packed_update(&host, after, &held);
        let now = host_now();
        match host.reserve_bulk(now, update.bytes()) {
            Some(delay) => {
                sleep(delay).await;
                break (update, confirmed);
            }
            // The peer sends another request when its wait is over. A reply with its own revision
            // would confirm that there are no changes.
            None if now + BULK_POLL_INTERVAL > until => {
                break (CatalogUpdate::default(), confirmed);
            }
            None => sleep(BULK_POLL_INTERVAL).await,
        }
    };
    let now = host_now();
    let micros_since = |at| now.saturating_sub(at).as_micros() as u64;
    response.age_us = confirmed.map_or(u64::MAX, micros_since);
    response.held_us = micros_since(received);
    // The peer may have disconnected.
    let _gone = reply.send(response);
}

/// The changes after a revision, for a peer that holds some values.
fn packed_update(host: &RouteHost, after: StoreRevision, held: &[HeldValue]) -> CatalogUpdate {
    let mirror = host.mirror.borrow();
    let MirrorUpdate { items, as_of, complete, base } = mirror.since(after);
    let mut packer = host.packer.borrow_mut();
    let items = items.into_iter().map(|item| {
        let value = packer.pack(&mirror, &item, held);
        (item.key, item.revision, value)
    });
    CatalogUpdate { items: items.collect(), as_of, complete, base, age_us: 0, held_us: 0 }
}
