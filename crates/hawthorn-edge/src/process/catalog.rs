//! Applies changes of the store's items to the routing state.

use std::rc::Rc;

use hawthorn_platform::catalog;
use hawthorn_platform::catalog::CatalogKey;
use hawthorn_route::evacuation::EvacuationChange;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::mirror::MirrorUpdate;
use hawthorn_route::registry::TargetChange;
use hawthorn_route::table::RouteTable;
use log::Level;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::cold;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::quarantine;

/// Applies an update from the store or from a peer; true if anything changed.
pub fn apply(host: &RouteHost, update: MirrorUpdate) -> bool {
    let changed = host.mirror.borrow_mut().apply(update);
    for item in &changed {
        match catalog::key(&item.key) {
            CatalogKey::Document => apply_document(host, item),
            CatalogKey::Entry(id) => apply_entry(host, id, item),
            CatalogKey::Evacuation(zone) => apply_evacuation(host, zone, item),
            CatalogKey::ColdSlot(zone, slot) => cold::apply_slot(host, zone, slot, item),
            CatalogKey::Quarantine(fingerprint) => {
                quarantine::apply_stored(host, fingerprint, item.value.as_deref());
            }
            CatalogKey::Other => {}
        }
    }
    host.catalog_read.set(true);
    !changed.is_empty()
}

fn apply_document(host: &RouteHost, item: &MirrorItem) {
    let Some(value) = &item.value else { return };
    match catalog::document(value) {
        Ok(document) => host.routing.accept(RouteTable::new(document)),
        Err(error) => {
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
fn apply_entry(host: &RouteHost, id: &str, item: &MirrorItem) {
    let Some(value) = &item.value else {
        remove(host, id, item.revision);
        return;
    };
    match catalog::entry(id, value) {
        Ok(entry) => {
            let (service, zone) = (entry.service.clone(), entry.zone.clone());
            let change = host.routing.registry.borrow_mut().put(entry, item.revision, host_now());
            log_change(id, change, item.revision, &format!("service={service} zone={zone}"));
        }
        Err(error) => {
            edge_event!(Level::Warn, EdgeEvent::EntryBroken, "id={id} error=\"{error}\"");
            if !matches!(error, catalog::Error::Cold(_)) {
                remove(host, id, item.revision);
            }
        }
    }
}

/// Applies the start or end of a zone's evacuation. An unreadable one changes nothing.
fn apply_evacuation(host: &RouteHost, zone: &str, item: &MirrorItem) {
    let revision = item.revision;
    if let Some(Err(error)) = item.value.as_deref().map(catalog::evacuation) {
        edge_event!(
            Level::Error,
            EdgeEvent::EvacuationBroken,
            "zone={zone} revision={revision} error=\"{error}\""
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
            "zone={zone} change={change} revision={revision} targets={targets}"
        );
    }
}

fn remove(host: &RouteHost, id: &str, revision: u64) {
    let change = host.routing.registry.borrow_mut().remove(id, revision, host_now());
    log_change(id, change, revision, "");
}

fn log_change(id: &str, change: TargetChange, revision: u64, details: &str) {
    if change != TargetChange::None {
        edge_event!(
            Level::Info,
            EdgeEvent::TargetChanged,
            "target={id} change={change} revision={revision} {details}"
        );
    }
}
