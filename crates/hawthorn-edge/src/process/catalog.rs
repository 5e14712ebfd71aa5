//! What news of the store's items changes in this host's beliefs.

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

/// Takes in news, from the store or from a peer; true when something changed.
pub fn take(host: &RouteHost, news: MirrorUpdate) -> bool {
    let changed = host.mirror.borrow_mut().apply(news);
    for item in &changed {
        match catalog::key(&item.key) {
            CatalogKey::Document => take_document(host, item),
            CatalogKey::Entry(id) => take_entry(host, id, item),
            CatalogKey::Evacuation(zone) => take_evacuation(host, zone, item),
            CatalogKey::ColdSlot(zone, slot) => cold::take_slot(host, zone, slot, item),
            CatalogKey::Quarantine(fingerprint) => {
                quarantine::take_stored(host, fingerprint, item.value.as_deref());
            }
            CatalogKey::Other => {}
        }
    }
    host.catalog_read.set(true);
    !changed.is_empty()
}

fn take_document(host: &RouteHost, item: &MirrorItem) {
    let Some(value) = &item.value else { return };
    match catalog::document(value) {
        Ok(document) => host.beliefs.accept(RouteTable::new(document)),
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

/// Brings versions of the routes into force when they are due, until the process exits.
pub(crate) async fn apply_held(host: Rc<RouteHost>) {
    loop {
        host.beliefs.table_held.notified().await;
        while let Some(due) = host.beliefs.apply_held(host_now()) {
            sleep(due.saturating_sub(host_now())).await;
        }
    }
}

/// An entry that cannot be read names no target: what it named before is gone. One that is
/// only wrong about how long its target stays cold changes nothing.
fn take_entry(host: &RouteHost, id: &str, item: &MirrorItem) {
    let Some(value) = &item.value else {
        remove(host, id, item.revision);
        return;
    };
    match catalog::entry(id, value) {
        Ok(entry) => {
            let (service, zone) = (entry.service.clone(), entry.zone.clone());
            let change = host.beliefs.registry.borrow_mut().put(entry, item.revision, host_now());
            note_change(id, change, item.revision, &format!("service={service} zone={zone}"));
        }
        Err(error) => {
            edge_event!(Level::Warn, EdgeEvent::EntryBroken, "id={id} error=\"{error}\"");
            if !matches!(error, catalog::Error::Cold(_)) {
                remove(host, id, item.revision);
            }
        }
    }
}

/// Applies the evacuation of a zone, or its end. One that cannot be read changes nothing.
fn take_evacuation(host: &RouteHost, zone: &str, item: &MirrorItem) {
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
    let change = host.beliefs.registry.borrow_mut().evacuate(zone, evacuated, revision);
    if change == EvacuationChange::Ended {
        host.beliefs.presume_cold(zone, host_now());
    }
    if change != EvacuationChange::None {
        let targets = host.beliefs.targets_in(zone);
        edge_event!(
            Level::Info,
            EdgeEvent::EvacuationChanged,
            "zone={zone} change={change} revision={revision} targets={targets}"
        );
    }
}

fn remove(host: &RouteHost, id: &str, revision: u64) {
    let change = host.beliefs.registry.borrow_mut().remove(id, revision, host_now());
    note_change(id, change, revision, "");
}

fn note_change(id: &str, change: TargetChange, revision: u64, more: &str) {
    if change != TargetChange::None {
        edge_event!(
            Level::Info,
            EdgeEvent::TargetChanged,
            "target={id} change={change} revision={revision} {more}"
        );
    }
}
