//! The platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::MessageReader;
use crate::json;
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { revision: self.revision, key: key.to_owned(), item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { revision: self.revision, key: key.to_owned(), item: None });
        }
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    pub address: SocketAddr,
}

/// How long the store takes to answer, as the site files state.
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let data = Data { revision: 100, next_lease: 1, ..Data::default() };
        let store = Self {
            data: Arc::new((Mutex::new(data), Condvar::new())),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        let expiry = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiry.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a target; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.0.lock().expect("store");
        data.revision += 1;
        data.put(key, value.as_bytes().to_vec(), 0);
        self.data.1.notify_all();
    }

    fn expire(&self) {
        let mut data = self.data.0.lock().expect("store");
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (since, ttl))| since.elapsed() >= *ttl)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(&mut data, id);
        }
    }

    fn end_lease(&self, data: &mut Data, id: u64) {
        data.leases.remove(&id);
        let keys: Vec<String> = data
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            data.revision += 1;
            for key in keys {
                data.delete(&key);
            }
            self.data.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _set = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            let (status, body) = self.answer(&request);
            std::thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json".to_owned())];
            if http::send(&mut writer, &http::answer(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.call();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/-/kv-key") => self.one(&text("key")),
            ("GET", "/-/kv-range") => self.range(&text("prefix"), &text("after")),
            ("GET", "/-/kv-watch") => {
                let wait = text("waitMs").parse().unwrap_or(0);
                self.watch(&text("prefix"), text("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/-/kv-txn") => self.transact(&request.body),
            ("POST", "/-/kv-lease") => self.lease(&request.body),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut data = self.data.0.lock().expect("store");
                self.end_lease(&mut data, id);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn one(&self, key: &str) -> (u16, String) {
        let data = self.data.0.lock().expect("store");
        match data.items.get(key) {
            Some(item) => (200, item_json(key, item, Some(data.revision))),
            None => (404, format!("{{\"asOf\":{}}}", data.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.data.0.lock().expect("store");
        let found: Vec<String> = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item, None))
            .collect();
        let more = found.len() > 500;
        let items = found[..found.len().min(500)].join(",");
        (200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"asOf\":{}}}", data.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut data = self.data.0.lock().expect("store");
        loop {
            let events: Vec<String> = data
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item, None),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"asOf\":{}}}", data.revision));
            }
            data = self.data.1.wait_timeout(data, left).expect("store").0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else { return (400, "{}".to_owned()) };
        let list = |name: &str| call.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
        };
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let mut data = self.data.0.lock().expect("store");
        let failed = list("precondition").iter().any(|row| {
            let revision = data.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            revision != number(row, "revision")
        });
        if failed {
            let now: Vec<String> = list("precondition")
                .iter()
                .filter_map(|row| {
                    let key = text(row, "key");
                    data.items.get(&key).map(|item| item_json(&key, item, None))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", now.join(",")));
        }
        let writes = list("writes");
        let unknown = |row: &Json| {
            let lease = number(row, "lease");
            lease != 0 && !data.leases.contains_key(&lease)
        };
        if writes.iter().any(unknown) {
            return (404, "{}".to_owned());
        }
        data.revision += 1;
        for row in &writes {
            let value = decode(&text(row, "value"));
            data.put(&text(row, "key"), value, number(row, "lease"));
        }
        for key in list("deletes") {
            data.delete(key.text().unwrap_or_default());
        }
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }

    fn lease(&self, body: &[u8]) -> (u16, String) {
        let asked = json::parse(body).and_then(|call| call.get("ttlMs").and_then(Json::number));
        let ttl = asked.unwrap_or(1000).clamp(1000, 600_000);
        let mut data = self.data.0.lock().expect("store");
        let id = data.next_lease;
        data.next_lease += 1;
        data.leases.insert(id, (Instant::now(), Duration::from_millis(ttl)));
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut data = self.data.0.lock().expect("store");
        match data.leases.get_mut(&id) {
            Some((since, ttl)) => {
                *since = Instant::now();
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let as_of = as_of.map(|as_of| format!(",\"asOf\":{as_of}")).unwrap_or_default();
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{as_of}}}",
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        if *first == b'%' && tail.len() >= 2 {
            let hex = std::str::from_utf8(&tail[..2]).unwrap_or("3F");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            if place <= part.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let number = part.iter().fold(0, |sum, digit| sum << 6 | digit) << (6 * (4 - part.len()));
        for place in 0..part.len().saturating_sub(1) {
            bytes.push((number >> (16 - 8 * place)) as u8);
        }
    }
    bytes
}
