//! HTTP interface of the platform.

use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::platform::LeaseGrant;
use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::Instant;

use super::control::CallKind;
use super::control::PlatformControl;
use super::control::Shared;
use super::faults::PlatformFaults;
use super::faults::StoreOutage;
use super::store::WriteError;
use crate::timer;
use crate::wire;
use crate::wire::Handler;
use crate::wire::Reply;
use crate::wire::Unanswered;

pub(super) struct PlatformHandler {
    shared: Arc<Shared>,
}

impl PlatformHandler {
    pub(super) fn new(control: PlatformControl) -> Self {
        Self { shared: control.shared }
    }
}

/// A parsed call.
#[derive(Debug)]
enum PlatformCall {
    Get { key: String },
    Put { key: String, put: StorePut },
    Delete { key: String, expect: u64 },
    List { prefix: String },
    Watch { key: String, after: u64, wait: Duration },
    Grant { ttl: Duration },
    Renew { lease: u64 },
    Hosts,
}

impl PlatformCall {
    fn kind(&self) -> CallKind {
        match self {
            Self::Get { .. } => CallKind::Get,
            Self::Put { .. } => CallKind::Put,
            Self::Delete { .. } => CallKind::Delete,
            Self::List { .. } => CallKind::List,
            Self::Watch { .. } => CallKind::Watch,
            Self::Grant { .. } => CallKind::Grant,
            Self::Renew { .. } => CallKind::Renew,
            Self::Hosts => CallKind::Hosts,
        }
    }
}

impl Handler for PlatformHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Unanswered> {
        let Some(call) = parse_call(request).await else {
            return Ok(wire::empty(StatusCode::BAD_REQUEST));
        };
        let kind = call.kind();
        if !self.try_admit(kind) {
            return Ok(wire::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        let faults = *self.shared.faults.borrow();
        timer::sleep(self.shared.delay + faults.extra_delay).await;
        if self.await_outage(kind).await {
            return Ok(wire::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let reply = self.answer(call).await;
        self.apply_write_faults(kind, reply)
    }
}

impl PlatformHandler {
    fn try_admit(&self, kind: CallKind) -> bool {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let allowed = match kind.is_write() {
            true => state.writes.try_take(now),
            false => state.reads.try_take(now),
        };
        let counters = state.counters.entry(kind).or_default();
        counters.calls += 1;
        counters.rate_limited += u64::from(!allowed);
        allowed
    }

    /// Returns whether there is an outage; waits for the end of one that hangs.
    async fn await_outage(&self, kind: CallKind) -> bool {
        let outage = self.shared.faults.borrow().outage;
        if outage == StoreOutage::None {
            return false;
        }
        self.shared.lock().counters.entry(kind).or_default().in_outage += 1;
        let mut faults = self.shared.faults.subscribe();
        let has_ended = |faults: &PlatformFaults| faults.outage != StoreOutage::Hang;
        // Cannot fail, as this handler holds the sender.
        faults.wait_for(has_ended).await.is_ok()
    }

    async fn answer(&self, call: PlatformCall) -> Reply {
        let now = self.shared.now();
        match call {
            PlatformCall::Get { key } => entry_reply(self.shared.lock().store.get(&key)),
            PlatformCall::List { prefix } => {
                wire::json(StatusCode::OK, &self.shared.lock().store.list(&prefix))
            }
            PlatformCall::Put { key, put } => self.put(&key, put),
            PlatformCall::Delete { key, expect } => self.delete(&key, expect),
            PlatformCall::Watch { key, after, wait } => self.watch(&key, after, wait).await,
            PlatformCall::Grant { ttl } => {
                wire::json(StatusCode::OK, &self.shared.lock().store.grant(ttl, now))
            }
            PlatformCall::Renew { lease } => match self.shared.lock().store.renew(lease, now) {
                Some(answer) => wire::json(StatusCode::OK, &answer),
                None => wire::empty(StatusCode::NOT_FOUND),
            },
            PlatformCall::Hosts => wire::json(StatusCode::OK, &self.shared.lock().hosts.at(now)),
        }
    }

    fn put(&self, key: &str, put: StorePut) -> Reply {
        let written = self.shared.lock().store.put(key, put);
        self.shared.notify_watches();
        match written {
            Ok(entry) => wire::json(StatusCode::OK, &entry),
            Err(err) => write_error_reply(&err),
        }
    }

    fn delete(&self, key: &str, expect: u64) -> Reply {
        let deleted = self.shared.lock().store.delete(key, expect);
        self.shared.notify_watches();
        match deleted {
            Ok(()) => wire::empty(StatusCode::OK),
            Err(err) => write_error_reply(&err),
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait.min(self.shared.watch_limit);
        let mut changes = self.shared.changes.subscribe();
        let mut faults = self.shared.faults.subscribe();
        loop {
            changes.mark_unchanged();
            let entry = self.shared.lock().store.get(key);
            if let Some(entry) = entry.filter(|entry| entry.revision > after) {
                return wire::json(StatusCode::OK, &entry);
            }
            tokio::select! {
                biased;
                // An outage also affects watches that are open when it starts.
                () = outage_starts(&mut faults) => {
                    self.await_outage(CallKind::Watch).await;
                    return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(deadline) => {
                    return wire::empty(StatusCode::NO_CONTENT);
                }
            }
        }
    }

    /// Applies the faults that replace the answer of a successful write.
    fn apply_write_faults(&self, kind: CallKind, reply: Reply) -> Result<Reply, Unanswered> {
        // Calls on leases are excluded, as background renewals would consume the count.
        let key_write = matches!(kind, CallKind::Put | CallKind::Delete);
        if !key_write || reply.status() != StatusCode::OK {
            return Ok(reply);
        }
        let mut lost = false;
        let mut unavailable = false;
        self.shared.faults.send_if_modified(|faults| {
            lost = take_one(&mut faults.lost_write_answers);
            unavailable = !lost && take_one(&mut faults.applied_unavailable);
            lost || unavailable
        });
        match (lost, unavailable) {
            (true, _) => Err(Unanswered::Lost),
            (_, true) => Ok(wire::empty(StatusCode::SERVICE_UNAVAILABLE)),
            _ => Ok(reply),
        }
    }
}

async fn outage_starts(faults: &mut watch::Receiver<PlatformFaults>) {
    let has_started = |faults: &PlatformFaults| faults.outage != StoreOutage::None;
    // An error means that the platform is being dropped, which ends the watch.
    drop(faults.wait_for(has_started).await);
}

fn take_one(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}

fn entry_reply(entry: Option<StoreEntry>) -> Reply {
    match entry {
        Some(entry) => wire::json(StatusCode::OK, &entry),
        None => wire::empty(StatusCode::NOT_FOUND),
    }
}

fn write_error_reply(err: &WriteError) -> Reply {
    match err {
        WriteError::Conflict(conflict) => wire::json(StatusCode::CONFLICT, conflict),
        WriteError::TooLarge => wire::empty(StatusCode::PAYLOAD_TOO_LARGE),
        WriteError::LeaseExpired | WriteError::Absent => wire::empty(StatusCode::NOT_FOUND),
    }
}

async fn parse_call(request: Request<Incoming>) -> Option<PlatformCall> {
    let method = request.method().clone();
    let path = percent_decode(request.uri().path())?;
    let query = request.uri().query().unwrap_or_default().to_owned();
    let number = |name: &str| parameter(&query, name).and_then(|text| text.parse::<u64>().ok());
    let body = request.into_body();
    let (endpoint, rest) = path.strip_prefix('/')?.split_once('/').unwrap_or((&path[1..], ""));
    let key = rest.to_owned();
    match (method, endpoint) {
        (Method::GET, "kv") => Some(PlatformCall::Get { key }),
        (Method::PUT, "kv") => Some(PlatformCall::Put { key, put: wire::read(body).await.ok()? }),
        (Method::DELETE, "kv") => Some(PlatformCall::Delete { key, expect: number("expect")? }),
        (Method::GET, "list") => Some(PlatformCall::List { prefix: key }),
        (Method::GET, "watch") => {
            let wait = Duration::from_millis(number("wait_ms")?);
            Some(PlatformCall::Watch { key, after: number("after")?, wait })
        }
        (Method::GET, "hosts") => Some(PlatformCall::Hosts),
        (Method::POST, "leases") if rest.is_empty() => {
            let grant: LeaseGrant = wire::read(body).await.ok()?;
            Some(PlatformCall::Grant { ttl: Duration::from_millis(grant.ttl_ms) })
        }
        (Method::POST, "leases") => {
            let lease = rest.strip_suffix("/renew")?.parse().ok()?;
            Some(PlatformCall::Renew { lease })
        }
        _ => None,
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}

/// Decodes `%XX` in a path; `None` when the result is not UTF-8.
fn percent_decode(path: &str) -> Option<String> {
    const HEX: u32 = 16;
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(HEX)?;
        let low = char::from(rest.next()?).to_digit(HEX)?;
        bytes.push(u8::try_from(high * HEX + low).ok()?);
    }
    String::from_utf8(bytes).ok()
}
