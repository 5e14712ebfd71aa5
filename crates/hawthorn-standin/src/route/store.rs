//! The platform's store: paging, watches, leases, history compaction, outages and restores from a
//! copy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::wire;
use super::wire::WireRequest;

/// Items per page; few, so that small tests cover paging.
const PAGE_ITEMS: usize = 3;

/// Header with the number of the store's restores, in every answer.
const ERA_HEADER: &str = "Store-Era";
const LEASE_PATH: &str = "/-/kv-lease";

/// Kinds of outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteOutage {
    /// No outage.
    #[default]
    None,
    /// Every call is answered with status 503.
    Unavailable,
    /// Every call is answered with status 429.
    OverRate,
    /// Calls are accepted and never answered.
    Hang,
    /// Calls are handled, and their connections closed without an answer.
    LostAnswers,
}

/// A copy of the store's contents, for a later restore.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Granted leases; they never expire.
    leases: BTreeSet<u64>,
}

#[derive(Debug, Default)]
struct StoreState {
    contents: StoreCopy,
    /// Number of restores.
    era: u64,
    /// Changes, oldest first; the value is `None` for deletions.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Changes up to this revision have been compacted.
    compacted: u64,
    outage: RouteOutage,
    calls: usize,
    /// Number of linearizable reads; watches do not count.
    linearizable_reads: usize,
    /// IP addresses of the waiting watches.
    watchers: Vec<IpAddr>,
    /// What serializable reads return, if not the current contents.
    stale: Option<StoreCopy>,
    /// IP addresses whose calls are never answered.
    hung: HashSet<IpAddr>,
    /// The copy to restore when the next lease has been granted.
    restore_after_lease: Option<StoreCopy>,
    /// The lease of the last write of each key that had one.
    key_leases: BTreeMap<String, u64>,
}

impl StoreState {
    fn restore(&mut self, copy: &StoreCopy) {
        self.contents = copy.clone();
        self.era += 1;
        self.history.retain(|(revision, _, _)| *revision <= copy.revision);
    }

    fn grant_lease(&mut self) -> u64 {
        let lease = self.contents.leases.last().map_or(1, |last| last + 1);
        self.contents.leases.insert(lease);
        lease
    }

    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.contents.revision += 1;
        let revision = self.contents.revision;
        self.contents.items.insert(key.to_owned(), (revision, value.clone()));
        self.history.push((revision, key.to_owned(), Some(value)));
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<StoreState>,
    changed: Notify,
}

/// A running store. Dropping it stops the store.
#[derive(Debug)]
pub struct RouteStore {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

impl RouteStore {
    /// Starts the store on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let stop = CancellationToken::new();
        let server = serve(listener, Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(server));
        Ok(Self { address, shared, _stop: stop.drop_guard() })
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn update(&self, apply: impl FnOnce(&mut StoreState)) {
        apply(&mut self.shared.state.lock().expect("no holder of the lock panics"));
        self.shared.changed.notify_waiters();
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.update(|state| state.put(key, value.to_vec()));
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        self.update(|state| {
            state.contents.revision += 1;
            state.contents.items.remove(key);
            state.history.push((state.contents.revision, key.to_owned(), None));
        });
    }

    /// Copies the contents.
    pub fn copy(&self) -> StoreCopy {
        self.shared.state.lock().expect("no holder of the lock panics").contents.clone()
    }

    /// Replaces the contents with an earlier copy: all later changes are lost, their revisions are
    /// given out again, and waiting watches are disconnected.
    pub fn restore(&self, copy: &StoreCopy) {
        self.update(|state| state.restore(copy));
    }

    /// Restores a copy as soon as the next lease has been granted, before its holder knows it. The
    /// lease's id is then given out again, to a caller that is not simulated.
    pub fn restore_after_next_lease(&self, copy: StoreCopy) {
        self.update(|state| state.restore_after_lease = Some(copy));
    }

    /// The lease of the last write of a key; `None` if it had none.
    pub fn lease_of(&self, key: &str) -> Option<u64> {
        let state = self.shared.state.lock().expect("no holder of the lock panics");
        state.key_leases.get(key).copied()
    }

    /// All keys that start with `prefix`.
    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.state.lock().expect("no holder of the lock panics");
        state.contents.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Discards the history; watches from an earlier revision are answered with 410.
    pub fn compact(&self) {
        self.update(|state| {
            state.compacted = state.contents.revision;
            state.history.clear();
        });
    }

    /// Serves an earlier copy to serializable reads, or the current contents.
    pub fn set_stale_reads(&self, copy: Option<StoreCopy>) {
        self.update(|state| state.stale = copy);
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: RouteOutage) {
        self.update(|state| state.outage = outage);
    }

    /// Stops answering the IP addresses that have a waiting watch; others are served.
    pub fn hang_watchers(&self) {
        self.update(|state| state.hung = state.watchers.iter().copied().collect());
    }

    /// Stops answering these IP addresses, also the calls that wait; others are served.
    pub fn hang(&self, addresses: &[IpAddr]) {
        self.update(|state| state.hung = addresses.iter().copied().collect());
    }

    /// IP addresses of the waiting watches.
    pub fn watchers(&self) -> Vec<IpAddr> {
        self.shared.state.lock().expect("no holder of the lock panics").watchers.clone()
    }

    /// Number of linearizable reads since the start.
    pub fn linearizable_reads(&self) -> usize {
        self.shared.state.lock().expect("no holder of the lock panics").linearizable_reads
    }

    /// Number of waiting watches.
    pub fn waiting_watches(&self) -> usize {
        self.shared.state.lock().expect("no holder of the lock panics").watchers.len()
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> usize {
        self.shared.state.lock().expect("no holder of the lock panics").calls
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
    }
}

async fn serve_connection(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    let caller = stream.peer_addr().ok().map(|address| address.ip());
    while let Ok(Some(request)) = wire::read(&mut stream, &mut buffer).await {
        let mut watching = false;
        let outage = {
            let mut state = shared.state.lock().expect("no holder of the lock panics");
            state.calls += 1;
            let is_read = ["/-/kv-range", "/-/kv-key"].contains(&request.path());
            if is_read && request.query("serializable").is_none() {
                state.linearizable_reads += 1;
            }
            if request.path() == "/-/kv-watch" {
                state.watchers.extend(caller);
                watching = true;
            }
            let hung = caller.is_some_and(|caller| state.hung.contains(&caller));
            if hung { RouteOutage::Hang } else { state.outage }
        };
        let answer = match outage {
            RouteOutage::None => respond(&request, &shared).await,
            RouteOutage::Unavailable => Some((503, json!({}))),
            RouteOutage::OverRate => Some((429, json!({}))),
            RouteOutage::Hang => std::future::pending().await,
            RouteOutage::LostAnswers => {
                let _lost = respond(&request, &shared).await;
                None
            }
        };
        let hung = {
            let mut state = shared.state.lock().expect("no holder of the lock panics");
            let position = state.watchers.iter().position(|watcher| Some(*watcher) == caller);
            if let Some(position) = position.filter(|_| watching) {
                state.watchers.swap_remove(position);
            }
            caller.is_some_and(|caller| state.hung.contains(&caller))
        };
        if hung {
            std::future::pending::<()>().await;
        }
        let Some((status, body)) = answer else { return };
        let era = {
            let mut state = shared.state.lock().expect("no holder of the lock panics");
            let era = state.era;
            if request.path() == LEASE_PATH
                && let Some(copy) = state.restore_after_lease.take()
            {
                state.restore(&copy);
                state.grant_lease();
                shared.changed.notify_waiters();
            }
            era
        };
        let headers =
            [("Content-Type", "application/json".to_owned()), (ERA_HEADER, era.to_string())];
        let answer = wire::answer(status, &headers, body.to_string().as_bytes());
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// The answer to a request; `None` disconnects the caller.
async fn respond(request: &WireRequest, shared: &Shared) -> Option<(u16, Value)> {
    match request.path() {
        "/-/kv-range" => Some((200, page(request, shared))),
        "/-/kv-watch" => watch(request, shared).await,
        "/-/kv-key" => Some((200, item(request, shared))),
        LEASE_PATH => Some((200, grant_lease(shared))),
        "/-/kv-txn" => Some(write(request, shared)),
        _ => Some((404, json!({}))),
    }
}

fn grant_lease(shared: &Shared) -> Value {
    let mut state = shared.state.lock().expect("no holder of the lock panics");
    json!({ "lease": state.grant_lease(), "ttlMs": 600_000 })
}

fn encode_item(key: &str, revision: u64, value: &[u8]) -> Value {
    json!({ "key": key, "revision": revision, "created": revision, "lease": 0,
            "value": BASE64_STANDARD.encode(value) })
}

/// The contents that a read returns.
fn contents<'a>(request: &WireRequest, state: &'a StoreState) -> &'a StoreCopy {
    let is_serializable = request.query("serializable").is_some();
    state.stale.as_ref().filter(|_| is_serializable).unwrap_or(&state.contents)
}

fn page(request: &WireRequest, shared: &Shared) -> Value {
    let state = shared.state.lock().expect("no holder of the lock panics");
    let contents = contents(request, &state);
    let after = request.query("after").unwrap_or_default().replace("%2F", "/");
    let prefix = request.query("prefix").unwrap_or_default().replace("%2F", "/");
    let mut items: Vec<Value> = contents
        .items
        .iter()
        .filter(|(key, _)| key.as_str() > after.as_str() && key.starts_with(&prefix))
        .take(PAGE_ITEMS + 1)
        .map(|(key, (revision, value))| encode_item(key, *revision, value))
        .collect();
    let more = items.len() > PAGE_ITEMS;
    items.truncate(PAGE_ITEMS);
    json!({ "items": items, "hasMore": more, "asOf": contents.revision })
}

/// Applies the writes of a transaction if all its preconditions hold.
fn write(request: &WireRequest, shared: &Shared) -> (u16, Value) {
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else { return (400, json!({})) };
    let mut state = shared.state.lock().expect("no holder of the lock panics");
    for condition in body["precondition"].as_array().into_iter().flatten() {
        let key = condition["key"].as_str().unwrap_or_default();
        let revision = state.contents.items.get(key).map_or(0, |(revision, _)| *revision);
        if condition["revision"].as_u64() != Some(revision) {
            return (412, json!({ "items": [] }));
        }
    }
    for entry in body["writes"].as_array().into_iter().flatten() {
        let (Some(key), Some(text)) = (entry["key"].as_str(), entry["value"].as_str()) else {
            return (400, json!({}));
        };
        let lease = entry["lease"].as_u64().unwrap_or_default();
        if lease != 0 && !state.contents.leases.contains(&lease) {
            return (404, json!({}));
        }
        if lease != 0 {
            state.key_leases.insert(key.to_owned(), lease);
        }
        let Ok(value) = BASE64_STANDARD.decode(text) else { return (400, json!({})) };
        state.put(key, value);
    }
    let revision = state.contents.revision;
    drop(state);
    shared.changed.notify_waiters();
    (200, json!({ "revision": revision }))
}

fn item(request: &WireRequest, shared: &Shared) -> Value {
    let state = shared.state.lock().expect("no holder of the lock panics");
    let key = request.query("key").unwrap_or_default().replace("%2F", "/");
    let contents = contents(request, &state);
    let mut found = match contents.items.get(&key) {
        Some((revision, value)) => encode_item(&key, *revision, value),
        None => json!({}),
    };
    found["asOf"] = json!(contents.revision);
    found
}

/// The changes after a revision; `None` if the store is restored meanwhile.
async fn watch(request: &WireRequest, shared: &Shared) -> Option<(u16, Value)> {
    let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let lock = || shared.state.lock().expect("no holder of the lock panics");
    let position = || {
        let state = lock();
        (state.era, state.contents.revision)
    };
    let (era, latest) = position();
    if after > latest {
        return Some((410, json!({})));
    }
    let wait = async {
        loop {
            let changed = shared.changed.notified();
            let (current_era, revision) = position();
            if revision > after || current_era != era {
                return;
            }
            changed.await;
        }
    };
    // After a change and after a timeout alike, the answer contains the current events.
    let _elapsed = timeout(Duration::from_millis(number("waitMs")), wait).await;
    let state = lock();
    if state.era != era {
        return None;
    }
    if after < state.compacted {
        return Some((410, json!({})));
    }
    let events: Vec<Value> = state
        .history
        .iter()
        .filter(|(revision, _, _)| *revision > after)
        .map(|(revision, key, value)| match value {
            Some(value) => encode_item(key, *revision, value),
            None => json!({ "key": key, "revision": revision, "deleted": true }),
        })
        .collect();
    Some((200, json!({ "events": events, "asOf": state.contents.revision })))
}
