//! Claims one of the zone's slots while requests find only cold targets.
//!
//! The rate that a slot permits, and when it may be used, are decided in
//! `hawthorn_route::cold`.

use std::rc::Rc;
use std::time::Duration;

use hawthorn_platform::catalog;
use hawthorn_platform::catalog::CatalogKey;
use hawthorn_platform::store;
use hawthorn_route::cold::claim::SlotWrite;
use hawthorn_route::cold::claim::WriteOutcome;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::revision::StoreRevision;
use hawthorn_store::StoreClient;
use hawthorn_store::client::CallKind;
use hawthorn_store::client::StoreAnswer;
use hawthorn_store::store::ReadError;
use http::StatusCode;
use log::Level;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;

/// Interval at which a claim is checked while one is needed.
const CLAIM_PERIOD: Duration = Duration::from_millis(100);

/// Claims a slot whenever one is needed, until the process exits.
pub(crate) async fn claim_slots(host: Rc<RouteHost>, client: StoreClient) {
    loop {
        host.routing.cold_wanted.notified().await;
        while host.routing.registry.borrow().cold().is_wanted(host_now()) {
            let write = host.cold_claim.borrow_mut().due_write(host_now(), &mut rand::rng());
            if let Some(write) = write {
                let outcome = write_slot(&host, &client, write).await;
                host.cold_claim.borrow_mut().record(write, outcome, host_now());
                log_write(write, outcome);
                apply(&host);
            }
            sleep(CLAIM_PERIOD).await;
        }
        host.cold_claim.borrow_mut().release();
        apply(&host);
    }
}

/// Applies the state of the claim to the registry and the gauge.
fn apply(host: &RouteHost) {
    let right = host.cold_claim.borrow().right();
    host.routing.registry.borrow_mut().set_cold_right(right);
    host.metrics.set_gauge("cold-slots", u64::from(right.is_some()));
}

/// Forgets what this host knows of the slots, as the store was restored, and reads them again
/// from the mirror.
pub(crate) fn reset_slots(host: &RouteHost) {
    let as_of = host.mirror.borrow().as_of();
    host.cold_claim.borrow_mut().enter_era(as_of.era, host_now());
    for item in host.mirror.borrow().with_prefix(catalog::COLD_SLOT_PREFIX) {
        if let CatalogKey::ColdSlot(of_zone, slot) = catalog::key(&item.key) {
            let revision = StoreRevision::new(as_of.era, item.revision);
            apply_slot(host, of_zone, slot, &item, revision);
        }
    }
    apply(host);
}

/// Records that a slot changed in the store.
pub(crate) fn apply_slot(
    host: &RouteHost,
    zone: &str,
    slot: u32,
    item: &MirrorItem,
    revision: StoreRevision,
) {
    if zone != host.routing.settings.host.zone {
        return;
    }
    let mut claim = host.cold_claim.borrow_mut();
    match item.value {
        Some(_) => claim.note(slot, revision, host_now()),
        None => claim.note_absent(slot, revision, host_now()),
    }
}

async fn write_slot(host: &RouteHost, client: &StoreClient, write: SlotWrite) -> WriteOutcome {
    let settings = &host.routing.settings.host;
    let key = catalog::cold_slot_key(&settings.zone, write.slot);
    let body = store::claim_body(&key, write.revision, settings.name.as_bytes());
    match client.post_path(CallKind::Put, store::WRITE_PATH.to_owned(), body).await {
        Ok(StoreAnswer { status: StatusCode::OK, headers, body }) => {
            store::write_revision(&headers, &body).map_or(WriteOutcome::Unknown, WriteOutcome::Done)
        }
        Ok(_) | Err(ReadError::NotRun(_)) => WriteOutcome::NotDone,
        Err(_) => WriteOutcome::Unknown,
    }
}

fn log_write(write: SlotWrite, outcome: WriteOutcome) {
    let SlotWrite { slot, revision, .. } = write;
    let level = if matches!(outcome, WriteOutcome::Done(_)) { Level::Info } else { Level::Warn };
    edge_event!(
        level,
        EdgeEvent::ColdSlotWritten,
        "slot={slot} revision={} outcome={outcome}",
        revision.number
    );
}
