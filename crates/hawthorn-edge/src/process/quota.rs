//! Slots and tokens for customers' quotas.
//!
//! Which slots are claimed and how many tokens are granted is decided in
//! `hawthorn_route::quota`.

use std::cell::Cell;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_fleet::MemberId;
use hawthorn_platform::catalog;
use hawthorn_platform::catalog::CatalogKey;
use hawthorn_platform::store;
use hawthorn_route::customer::CustomerQuota;
use hawthorn_route::customer::log_name;
use hawthorn_route::mirror::MirrorItem;
use hawthorn_route::quota::QuotaLimits;
use hawthorn_route::quota::QuotaShare;
use hawthorn_route::quota::asker::TokenAsker;
use hawthorn_route::quota::slots::Candidacy;
use hawthorn_route::quota::slots::QuotaSlots;
use hawthorn_route::quota::slots::QuotaWrite;
use hawthorn_route::quota::slots::SlotRecord;
use hawthorn_route::revision::StoreRevision;
use hawthorn_route::share::WriteOutcome;
use hawthorn_route::table::RouteTable;
use hawthorn_store::StoreClient;
use hawthorn_store::client::CallKind;
use hawthorn_store::client::StoreAnswer;
use hawthorn_store::store::ReadError;
use http::StatusCode;
use log::Level;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::connection::message::TokenReply;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::fleet;
use crate::process::host::RouteHost;
use crate::process::metrics::TokenEnd;
use crate::settings::RouteSettings;

/// Interval at which claims are checked while a customer has a quota.
const CLAIM_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two log lines on the same customer.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of customers whose last log line is remembered.
const MAX_LOGGED: usize = 1024;

/// A host's slots and tokens.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub(crate) limits: QuotaLimits,
    pub(crate) asker: RefCell<TokenAsker>,
    /// Notified when a peer granted tokens.
    pub(crate) granted: Notify,
    slots: RefCell<QuotaSlots>,
    /// Version of the routes that the buckets are configured for.
    version: Cell<Option<u64>>,
    /// When each customer that exceeded its quota was last logged.
    logged: RefCell<HashMap<Rc<str>, Duration>>,
}

impl QuotaState {
    /// The state of a host that has read nothing from the store yet.
    pub(crate) fn new(settings: &RouteSettings) -> Self {
        let me = SlotRecord {
            host: settings.host.name.clone(),
            zone: settings.host.zone.clone(),
            peer: settings.listen.peer_address(),
            instance: rand::rng().random(),
            era: 0,
            changes: 0,
            released: false,
        };
        let limits = settings.quota.limits();
        let count = settings.zones.zones().len().max(1) as u32;
        Self {
            limits,
            asker: RefCell::default(),
            granted: Notify::new(),
            slots: RefCell::new(QuotaSlots::new(me, limits, count, host_now())),
            version: Cell::new(None),
            logged: RefCell::default(),
        }
    }

    /// The holders of shares of a customer's quota, nearest first.
    pub(crate) fn holders(&self, customer: &str, quota: CustomerQuota) -> Vec<SocketAddr> {
        let slots = self.slots.borrow();
        let share = QuotaShare::of(quota, &self.limits, slots.count());
        slots.holders(customer, &share).iter().map(|record| record.peer).collect()
    }

    /// Logs that a customer exceeds its quota, at most once a second.
    pub(crate) fn log_exceeded(&self, customer: &Rc<str>, next: Duration) {
        let now = host_now();
        let mut logged = self.logged.borrow_mut();
        if logged.get(customer).is_some_and(|at| now < *at + LOG_INTERVAL) {
            return;
        }
        if logged.len() >= MAX_LOGGED {
            logged.retain(|_, at| now < *at + LOG_INTERVAL);
        }
        logged.insert(Rc::clone(customer), now);
        let next = next.as_millis();
        let name = log_name(customer);
        edge_event!(Level::Warn, EdgeEvent::QuotaExceeded, "customer=\"{name}\" next_ms={next}");
    }
}

/// The quota of a customer that is enforced now, in the version in force.
pub(crate) fn quota_of(host: &RouteHost, customer: &str) -> Option<CustomerQuota> {
    if !host.routing.policy.get().quota.on {
        return None;
    }
    host.routing.table()?.customers().named(customer)?.quota
}

/// Claims slots while a customer has a quota, until the process exits.
pub(crate) async fn claim_slots(host: Rc<RouteHost>, client: StoreClient) {
    while !host.stopping.is_cancelled() {
        if !is_wanted(&host) {
            host.metrics.set_gauge("quota-slots", 0);
            tokio::select! {
                () = host.routing.table_installed.notified() => {}
                () = host.stopping.cancelled() => {}
            }
            continue;
        }
        configure(&host);
        while let Some(write) = due_write(&host) {
            let outcome = write_slot(&client, &write).await;
            log_write(&write, outcome);
            host.quota.slots.borrow_mut().record(write, outcome, host_now());
        }
        let held = host.quota.slots.borrow().held(host_now());
        host.metrics.set_gauge("quota-slots", held as u64);
        sleep(CLAIM_PERIOD).await;
    }
    let releases = host.quota.slots.borrow_mut().release(host_now());
    host.metrics.set_gauge("quota-slots", 0);
    for write in releases {
        let outcome = write_slot(&client, &write).await;
        log_write(&write, outcome);
    }
    future::pending().await
}

/// Whether this host can claim slots and the version in force has a customer with a quota.
fn is_wanted(host: &RouteHost) -> bool {
    let has_quota =
        |table: Rc<RouteTable>| table.customers().iter().any(|customer| customer.quota.is_some());
    host.routing.policy.get().quota.on && host.routing.table().is_some_and(has_quota)
}

/// Applies the quotas of the version in force to the buckets, if they are not applied yet.
fn configure(host: &RouteHost) {
    let Some(table) = host.routing.table() else { return };
    let state = &host.quota;
    if state.version.replace(Some(table.version())) == Some(table.version()) {
        return;
    }
    let mut slots = state.slots.borrow_mut();
    let count = slots.count();
    let share = |quota| QuotaShare::of(quota, &state.limits, count);
    let shares = table
        .customers()
        .iter()
        .filter_map(|customer| Some((Rc::clone(&customer.name), share(customer.quota?))))
        .collect();
    slots.configure(shares, host_now());
    state.asker.borrow_mut().forget_denials();
}

fn due_write(host: &RouteHost) -> Option<QuotaWrite> {
    let zones = host.routing.settings.zones.zones();
    let zone = host.routing.settings.host.zone.as_str();
    let is_first = is_first_of_zone(host);
    let home = zones.iter().position(|other| *other == zone);
    let candidacy = |slot: u32| match Some(slot as usize) == home || zones.is_empty() {
        _ if !is_first => Candidacy::None,
        true => Candidacy::First,
        false => Candidacy::Backup,
    };
    host.quota.slots.borrow_mut().due_write(host_now(), candidacy, &mut rand::rng())
}

/// Whether this host is the one of its zone that claims vacant slots: the live host with the
/// greatest capacity.
fn is_first_of_zone(host: &RouteHost) -> bool {
    let members = host.members.borrow();
    let settings = &host.routing.settings.host;
    let me = MemberId::of(&settings.name).0;
    let hosts = fleet::zone_hosts(&members, &settings.zone);
    let first = hosts.iter().min_by_key(|other| (Reverse(other.capacity), other.id));
    first.is_none_or(|first| first.id == me)
}

async fn write_slot(client: &StoreClient, write: &QuotaWrite) -> WriteOutcome {
    let key = catalog::quota_slot_key(write.slot);
    let value = catalog::quota_slot_value(&write.record);
    let body = store::claim_body(&key, write.condition.revision, &value);
    let answer = client.post_path(CallKind::Put, store::WRITE_PATH.to_owned(), body).await;
    match answer {
        Ok(StoreAnswer { status: StatusCode::OK, headers, body }) => {
            store::write_revision(&headers, &body).map_or(WriteOutcome::Unknown, WriteOutcome::Done)
        }
        Ok(_) | Err(ReadError::NotRun(_)) => WriteOutcome::NotDone,
        Err(_) => WriteOutcome::Unknown,
    }
}

fn log_write(write: &QuotaWrite, outcome: WriteOutcome) {
    let kind = match (write.record.released, write.start) {
        (true, _) => "release".to_owned(),
        (false, None) => "renewal".to_owned(),
        (false, Some(start)) => format!("claim start={start}"),
    };
    let level = match outcome {
        WriteOutcome::Done(_) if write.start.is_none() && !write.record.released => Level::Debug,
        WriteOutcome::Done(_) => Level::Info,
        WriteOutcome::NotDone | WriteOutcome::Unknown => Level::Warn,
    };
    edge_event!(
        level,
        EdgeEvent::QuotaSlotWritten,
        "slot={} revision={} outcome={outcome} kind={kind}",
        write.slot,
        write.condition.revision.number
    );
}

/// Reads the slots again from the mirror, as the store was restored.
pub(crate) fn reset_slots(host: &RouteHost) {
    let as_of = host.mirror.borrow().as_of();
    host.quota.slots.borrow_mut().enter_era(as_of.era, host_now());
    for item in host.mirror.borrow().with_prefix(catalog::QUOTA_SLOT_PREFIX) {
        if let CatalogKey::QuotaSlot(slot) = catalog::key(&item.key) {
            let revision = StoreRevision::new(as_of.era, item.revision);
            apply_slot(host, slot, &item, revision);
        }
    }
}

/// Records that a slot changed in the store. The slot of a value that is not readable has a
/// holder all the same.
pub(crate) fn apply_slot(host: &RouteHost, slot: u32, item: &MirrorItem, revision: StoreRevision) {
    let mut slots = host.quota.slots.borrow_mut();
    match &item.value {
        Some(value) => {
            slots.note(slot, revision, catalog::quota_slot(value).ok(), host_now());
        }
        None => slots.note_absent(slot, revision, host_now()),
    }
}

/// Grants tokens to a peer or to this host.
pub(crate) fn grant(host: &RouteHost, customer: &str, count: u32) -> TokenReply {
    configure(host);
    let grant = host.quota.slots.borrow_mut().take(customer, count, host_now());
    let Some(grant) = grant else { return TokenReply::default() };
    host.metrics.count_tokens(TokenEnd::Issued, u64::from(grant.granted));
    TokenReply {
        holds: true,
        granted: grant.granted,
        next_us: grant.next.as_micros() as u64,
        pause_us: grant.pause.as_micros() as u64,
    }
}
