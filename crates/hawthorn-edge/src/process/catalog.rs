//! News from the store: the operators' configuration and targets' entries.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_platform::catalog;
use hawthorn_platform::store;
use hawthorn_platform::store::StoreItem;
use hawthorn_platform::store::StoreItems;
use hawthorn_route::registry::TargetChange;
use hawthorn_route::table::RouteTable;
use hawthorn_store::ReadError;
use hawthorn_store::StoreClient;
use hawthorn_store::UncertainCause;
use hawthorn_store::client::CallKind;
use http::StatusCode;
use log::Level;
use rand::RngExt;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;

/// How long a watch waits for news. An answer that is lost on the way shows
/// only when the watch should have ended, and news is due in force within 3 s
/// of the time after a disturbance; longer saves few calls.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// After news the next watch is made so much later: targets of one release or
/// one repartition come within a second, and each watch is a call that costs.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Pause after a call that brought nothing: short, as a store that is back
/// should be heard of within half a second, and drawn, so that hosts return apart.
const LEAST_PAUSE: f64 = 0.2;
const MOST_PAUSE: f64 = 0.5;

/// What is followed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogPart {
    /// The operators' configuration.
    Document,
    /// Targets' entries.
    Entries,
}

impl CatalogPart {
    fn prefix(self) -> &'static str {
        match self {
            Self::Document => catalog::DOCUMENT_KEY,
            Self::Entries => catalog::ENTRY_PREFIX,
        }
    }
}

enum WatchEnd {
    News(StoreItems),
    HistoryGone,
    Lost(ReadError),
}

/// Follows one part of the store for as long as the process lives.
pub(crate) async fn follow(host: Rc<RouteHost>, client: StoreClient, part: CatalogPart) {
    let mut reachable = true;
    loop {
        match read_all(&client, part).await {
            Ok(items) => {
                note_store(&mut reachable, part, None);
                edge_event!(
                    Level::Debug,
                    EdgeEvent::StoreNews,
                    "part={part:?} read_all as_of={} items={}",
                    items.as_of,
                    items.items.len()
                );
                take_all(&host, part, &items);
                watch_on(&host, &client, part, items.as_of, &mut reachable).await;
            }
            Err(error) => {
                note_store(&mut reachable, part, Some(&error));
                pause().await;
            }
        }
    }
}

/// Returns when the history that the watch needs is gone.
async fn watch_on(
    host: &RouteHost,
    client: &StoreClient,
    part: CatalogPart,
    mut after: u64,
    reachable: &mut bool,
) {
    loop {
        match watch(client, part, after).await {
            WatchEnd::News(news) => {
                note_store(reachable, part, None);
                edge_event!(
                    Level::Debug,
                    EdgeEvent::StoreNews,
                    "part={part:?} after={after} as_of={} items={}",
                    news.as_of,
                    news.items.len()
                );
                after = after.max(news.as_of);
                for item in &news.items {
                    take(host, part, item);
                }
                if !news.items.is_empty() {
                    sleep(SETTLE_TIME).await;
                }
            }
            WatchEnd::HistoryGone => return,
            WatchEnd::Lost(error) => {
                note_store(reachable, part, Some(&error));
                pause().await;
            }
        }
    }
}

async fn pause() {
    let seconds = rand::rng().random_range(LEAST_PAUSE..MOST_PAUSE);
    sleep(Duration::from_secs_f64(seconds)).await;
}

/// One line when the store is lost, one when it is back.
fn note_store(reachable: &mut bool, part: CatalogPart, error: Option<&ReadError>) {
    match error {
        Some(error) if *reachable => {
            *reachable = false;
            edge_event!(Level::Warn, EdgeEvent::StoreLost, "part={part:?} error=\"{error:?}\"");
        }
        None if !*reachable => {
            *reachable = true;
            edge_event!(Level::Info, EdgeEvent::StoreBack, "part={part:?}");
        }
        _ => {}
    }
}

fn readable(body: &Bytes) -> Result<StoreItems, ReadError> {
    store::items(body).map_err(|_| ReadError::NoAnswer(UncertainCause::BadAnswer))
}

async fn watch(client: &StoreClient, part: CatalogPart, after: u64) -> WatchEnd {
    let path = store::watch_path(part.prefix(), after, WATCH_WAIT);
    match client.read_path(CallKind::Watch, path, WATCH_WAIT).await {
        Ok((StatusCode::OK, body)) => match readable(&body) {
            Ok(news) => WatchEnd::News(news),
            Err(error) => WatchEnd::Lost(error),
        },
        Ok((StatusCode::GONE, _)) => WatchEnd::HistoryGone,
        Ok(_) => WatchEnd::Lost(ReadError::NoAnswer(UncertainCause::BadAnswer)),
        Err(error) => WatchEnd::Lost(error),
    }
}

/// All items of a part. Pages are no snapshot: the revision of the first is
/// kept, so that the watch brings again what changed while later ones were read.
async fn read_all(client: &StoreClient, part: CatalogPart) -> Result<StoreItems, ReadError> {
    let mut all = StoreItems { items: Vec::new(), more: true, as_of: 0 };
    let mut first = true;
    while all.more {
        let after = all.items.last().map(|item| item.key.clone());
        let path = store::page_path(part.prefix(), after.as_deref());
        let page = match client.read_path(CallKind::List, path, Duration::ZERO).await? {
            (StatusCode::OK, body) => readable(&body)?,
            _ => return Err(ReadError::NoAnswer(UncertainCause::BadAnswer)),
        };
        if first {
            all.as_of = page.as_of;
            first = false;
        }
        all.more = page.more && !page.items.is_empty();
        all.items.extend(page.items);
    }
    Ok(all)
}

/// Takes in a whole reading: what is not in it is gone.
pub fn take_all(host: &RouteHost, part: CatalogPart, all: &StoreItems) {
    for item in &all.items {
        take(host, part, item);
    }
    if part == CatalogPart::Entries {
        let present: HashSet<&str> =
            all.items.iter().filter_map(|item| catalog::entry_id(&item.key).ok()).collect();
        // Taken first: what is done for each id borrows the registry again.
        let known = host.beliefs.registry.borrow().ids();
        for id in known {
            if !present.contains(id.as_str()) {
                remove(host, &id, all.as_of);
            }
        }
        host.catalog_read.set(true);
    }
}

fn take(host: &RouteHost, part: CatalogPart, item: &StoreItem) {
    match part {
        CatalogPart::Document if item.key == catalog::DOCUMENT_KEY => take_document(host, item),
        CatalogPart::Document => {}
        CatalogPart::Entries => take_entry(host, item),
    }
}

fn take_document(host: &RouteHost, item: &StoreItem) {
    let Some(value) = &item.value else { return };
    match catalog::document(value) {
        Ok(document) => {
            let (version, routes) = (document.version, document.routes.len());
            if host.beliefs.install(RouteTable::new(document)) {
                let revision = item.revision;
                edge_event!(
                    Level::Info,
                    EdgeEvent::RoutesInForce,
                    "version={version} routes={routes} revision={revision} from=store"
                );
            }
        }
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

/// An entry that cannot be read names no target: what it named before is gone.
fn take_entry(host: &RouteHost, item: &StoreItem) {
    let Ok(id) = catalog::entry_id(&item.key) else { return };
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
            remove(host, id, item.revision);
        }
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
