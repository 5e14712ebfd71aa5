//! The platform's store as `PROTOCOL.md` describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::http::Reader;
use crate::json;
use crate::json::Json;

const PAGE_ITEMS: usize = 500;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Revision and value of each key.
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// All changes, oldest first; `None` for deletions.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Whether every call is answered with 503.
    down: bool,
    leases: u64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let state = Mutex::new(State { revision: 40, ..State::default() });
        let store = Arc::new(Self { state, changed: Condvar::new() });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, as the operator or a server does; false while the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return false;
        }
        write(&mut state, key, Some(value.as_bytes().to_vec()));
        self.changed.notify_all();
        true
    }

    /// Has the store answer every call with 503, or serve again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else { return };
            // The time of an answer.
            thread::sleep(Duration::from_millis(4));
            let answer = self.call(&head, &body);
            if reader.send(&answer).is_err() {
                return;
            }
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        if self.state.lock().unwrap().down {
            return http::answer("503 Service Unavailable", &[], b"");
        }
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let rows = query.split('&').filter_map(|row| row.split_once('='));
            rows.filter(|(key, _)| *key == name).map(|(_, value)| decoded(value)).next()
        };
        let number = |name: &str| parameter(name).and_then(|text| text.parse::<u64>().ok());
        match (head.word(0), path) {
            ("GET", "/-/kv-key") => self.key(&parameter("key").unwrap_or_default()),
            ("GET", "/-/kv-range") => {
                self.range(&parameter("prefix").unwrap_or_default(), parameter("after"))
            }
            ("GET", "/-/kv-watch") => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let prefix = parameter("prefix").unwrap_or_default();
                self.watch(&prefix, number("after").unwrap_or(0), wait)
            }
            ("POST", "/-/kv-txn") => self.write(body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                let text = format!("{{\"lease\":{},\"ttlMs\":600000}}", state.leases);
                ok(&text)
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => ok("{\"ttlMs\":600000}"),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => ok("{}"),
            _ => http::answer("404 Not Found", &[], b""),
        }
    }

    fn key(&self, key: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some((revision, value)) => ok(&item(key, *revision, value)),
            None => http::answer("404 Not Found", &[], b""),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let after = after.unwrap_or_default();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && **key > after);
        let items: Vec<_> = items.take(PAGE_ITEMS + 1).collect();
        let rows = items.iter().take(PAGE_ITEMS);
        let rows: Vec<String> =
            rows.map(|(key, (revision, value))| item(key, *revision, value)).collect();
        let more = items.len() > PAGE_ITEMS;
        let rows = rows.join(",");
        ok(&format!("{{\"items\":[{rows}],\"hasMore\":{more},\"asOf\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.down {
                return http::answer("503 Service Unavailable", &[], b"");
            }
            let found = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let rows: Vec<String> = found
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, *revision, value),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, as_of) = (rows.join(","), state.revision);
                return ok(&format!("{{\"events\":[{rows}],\"asOf\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, body: &[u8]) -> Vec<u8> {
        let Some(call) = Json::parse(body) else {
            return http::answer("400 Bad Request", &[], b"");
        };
        let rows = |name: &str| call.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        let text = |row: &Json, name: &str| row.get(name).and_then(Json::text).map(str::to_owned);
        let mut state = self.state.lock().unwrap();
        for row in rows("precondition") {
            let key = text(&row, "key").unwrap_or_default();
            let wanted = row.get("revision").and_then(Json::number).unwrap_or(0.0) as u64;
            let found = state.items.get(&key).map_or(0, |(revision, _)| *revision);
            if found != wanted {
                let items = state.items.get(&key);
                let items = items.map(|(revision, value)| item(&key, *revision, value));
                let text = format!("{{\"items\":[{}]}}", items.unwrap_or_default());
                return json_answer("412 Precondition Failed", &text);
            }
        }
        for row in rows("writes") {
            let key = text(&row, "key").unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return http::answer("403 Forbidden", &[], b"");
            }
            let value = json::from_base64(&text(&row, "value").unwrap_or_default());
            write(&mut state, &key, Some(value));
        }
        for row in rows("deletes") {
            write(&mut state, row.text().unwrap_or_default(), None);
        }
        self.changed.notify_all();
        ok(&format!("{{\"revision\":{}}}", state.revision))
    }
}

fn write(state: &mut State, key: &str, value: Option<Vec<u8>>) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    match &value {
        Some(value) => {
            state.items.insert(key.to_owned(), (revision, value.clone()));
        }
        None => {
            state.items.remove(key);
        }
    }
    state.history.push((revision, key.to_owned(), value));
    revision
}

fn item(key: &str, revision: u64, value: &[u8]) -> String {
    let value = json::base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\
         \"lease\":0}}"
    )
}

fn ok(text: &str) -> Vec<u8> {
    json_answer("200 OK", text)
}

fn json_answer(status: &str, text: &str) -> Vec<u8> {
    http::answer(status, &[("Content-Type", "application/json")], text.as_bytes())
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let hex: String = rest.by_ref().take(2).map(char::from).collect();
        bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
