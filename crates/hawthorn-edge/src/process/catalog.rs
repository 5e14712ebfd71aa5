//! Applies changes of the store's items to the routing state.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_platform::catalog;
use hawthorn_platform::catalog::CatalogKey;
use hawthorn_route::evacuation::EvacuationChange;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::registry::TargetChange;
use hawthorn_route::revision::StoreRevision;
use log::Level;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::cold;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::quota;

/// Time after a restore of the store in which its items are written again. The platform states
/// about two seconds for targets.
const REWRITE_TIME: Duration = Duration::from_millis(2500);

/// Where an update comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOrigin {
    /// The store.
    Store,
    /// A host of the fleet.
    Peer(SocketAddr),
}

impl fmt::Display for UpdateOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Peer(address) => address.fmt(formatter),
        }
    }
}

/// Applies an update from the store or from a peer; true if anything changed.
pub fn apply(host: &RouteHost, update: MirrorUpdate, origin: UpdateOrigin) -> bool {
    let before = host.mirror.borrow().as_of();
    let changed = host.mirror.borrow_mut().apply(update);
    let as_of = host.mirror.borrow().as_of();
    if before != StoreRevision::NONE && as_of.era > before.era {
        let unconfirmed = host.mirror.borrow().unconfirmed();
        edge_event!(
            Level::Warn,
            EdgeEvent::StoreRestored,
            "era={} after={} as_of={} changed={} unconfirmed={unconfirmed}",
            as_of.era,
            before.number,
            as_of.number,
            changed.len()
        );
        host.restored.set(Some(host_now()));
        cold::reset_slots(host);
        quota::reset_slots(host);
        quarantine::rewrite_lost(host);
    }
    host.routing.registry.borrow_mut().set_confirmed_at(host.confirmed_at());
    changed.iter().for_each(|item| apply_item(host, item, as_of.era, origin));
    host.catalog_read.set(true);
    !changed.is_empty()
}

/// Treats items as deleted that were not written again after a restore of the store, and updates
/// the gauges.
pub(crate) fn sweep(host: &RouteHost) {
    host.metrics.set_gauge("store-era", host.mirror.borrow().as_of().era);
    host.metrics.set_gauge("unconfirmed-items", host.mirror.borrow().unconfirmed() as u64);
    if host.restored.get().is_some_and(|restored| host_now() >= restored + REWRITE_TIME) {
        host.restored.set(None);
        let deleted = host.mirror.borrow_mut().expire_unconfirmed();
        let era = host.mirror.borrow().as_of().era;
        host.routing.registry.borrow_mut().set_confirmed_at(host.confirmed_at());
        deleted.iter().for_each(|item| apply_item(host, item, era, UpdateOrigin::Store));
    }
}

fn apply_item(host: &RouteHost, item: &MirrorItem, era: u64, origin: UpdateOrigin) {
    let revision = StoreRevision::new(era, item.revision);
    match catalog::key(&item.key) {
        CatalogKey::Document => apply_document(host, item, origin),
        CatalogKey::Entry(id) => apply_entry(host, id, item, revision),
        CatalogKey::Evacuation(zone) => apply_evacuation(host, zone, item, revision),
        CatalogKey::ColdSlot(zone, slot) => cold::apply_slot(host, zone, slot, item, revision),
        CatalogKey::QuotaSlot(slot) => quota::apply_slot(host, slot, item, revision),
        CatalogKey::Quarantine(fingerprint) => {
            quarantine::apply_stored(host, fingerprint, item.value.as_deref());
        }
        CatalogKey::Other => {}
    }
}

fn apply_document(host: &RouteHost, item: &MirrorItem, origin: UpdateOrigin) {
    let Some(value) = &item.value else { return };
    match catalog::document(value) {
        Ok(document) => {
            edge_event!(
                Level::Info,
                EdgeEvent::VersionReceived,
                "version={} revision={} from={origin}",
                document.version,
                item.revision
            );
            host.routing.newest_unreadable.set(false);
            host.routing.accept(document);
        }
        Err(error) => {
            host.routing.newest_unreadable.set(true);
            let revision = item.revision;
            edge_event!(
                Level::Error,
                EdgeEvent::RoutesBroken,
                "revision={revision} error=\"{error}\""
            );
        }
    }
}

/// Applies pending versions of the routes when they are due, until the process exits.
pub(crate) async fn apply_pending(host: Rc<RouteHost>) {
    loop {
        host.routing.table_pending.notified().await;
        while let Some(due) = host.routing.apply_pending(host_now()) {
            sleep(due.saturating_sub(host_now())).await;
        }
    }
}

/// Applies a target's entry. An unreadable entry removes its target. An entry whose only fault
/// is an invalid cold duration is ignored.
fn apply_entry(host: &RouteHost, id: &str, item: &MirrorItem, revision: StoreRevision) {
    let Some(value) = &item.value else {
        remove(host, id, revision);
        return;
    };
    match catalog::entry(id, value) {
        Ok(entry) => {
            let (service, zone) = (entry.service.clone(), entry.zone.clone());
            let change = host.routing.registry.borrow_mut().put(entry, revision, host_now());
            log_change(id, change, revision, &format!("service={service} zone={zone}"));
        }
        Err(error) => {
            edge_event!(Level::Warn, EdgeEvent::EntryBroken, "id={id} error=\"{error}\"");
            if !matches!(error, catalog::Error::Cold(_)) {
                remove(host, id, revision);
            }
        }
    }
}

/// Applies the start or end of a zone's evacuation. An unreadable one changes nothing.
fn apply_evacuation(host: &RouteHost, zone: &str, item: &MirrorItem, revision: StoreRevision) {
    let number = revision.number;
    if let Some(Err(error)) = item.value.as_deref().map(catalog::evacuation) {
        edge_event!(
            Level::Error,
            EdgeEvent::EvacuationBroken,
            "zone={zone} revision={number} error=\"{error}\""
        );
        return;
    }
    let evacuated = item.value.is_some();
    let change = host.routing.registry.borrow_mut().evacuate(zone, evacuated, revision);
    if change == EvacuationChange::Ended {
        host.routing.presume_cold(zone, host_now());
    }
    if change != EvacuationChange::None {
        let targets = host.routing.targets_in(zone);
        edge_event!(
            Level::Info,
            EdgeEvent::EvacuationChanged,
            "zone={zone} change={change} revision={number} targets={targets}"
        );
    }
}

fn remove(host: &RouteHost, id: &str, revision: StoreRevision) {
    let change = host.routing.registry.borrow_mut().remove(id, revision, host_now());
    log_change(id, change, revision, "");
}

fn log_change(id: &str, change: TargetChange, revision: StoreRevision, details: &str) {
    if change != TargetChange::None {
        edge_event!(
            Level::Info,
            EdgeEvent::TargetChanged,
            "target={id} change={change} revision={} {details}",
            revision.number
        );
    }
}
