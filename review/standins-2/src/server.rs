//! Servers (the pages: backends) of a service, as `PROTOCOL.md` and the later pages describe them.

use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
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
use crate::store::Store;
use crate::world::Random;
use crate::world::Run;
use crate::world::World;

/// Requests that wait for a slot.
const QUEUE: usize = 12;
/// Part by which work takes longer while a server is cold, in percent.
const COLD_WORK: u32 = 160;
/// Time after which a server tries again to write its entry.
const RETRY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    cold_until: Option<Instant>,
    /// Requests of the last second while cold.
    recent: VecDeque<Instant>,
    crashed: bool,
}

/// What is fixed for a server.
#[derive(Clone, Debug)]
pub struct Traits {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    /// Records of an answer.
    pub records: u64,
    /// Requests in a second at which a cold server crashes.
    pub crash_at: usize,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    pub traits: Traits,
    address: SocketAddr,
    world: Arc<World>,
    state: Mutex<State>,
    freed: Condvar,
}

impl Server {
    pub fn start(world: &Arc<World>, traits: Traits, ip: IpAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0))?;
        let server = Arc::new(Self {
            traits,
            address: listener.local_addr()?,
            world: Arc::clone(world),
            state: Mutex::default(),
            freed: Condvar::new(),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ended = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    /// Becomes cold, and reports it to the store until the store takes it.
    pub fn turn_cold(self: &Arc<Self>, store: &Arc<Store>, time: Duration) {
        self.state.lock().unwrap().cold_until = Some(Instant::now() + time);
        self.world.note(format!("server {} is cold for {time:?}", self.traits.id));
        let (server, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            while !server.register(&store) {
                thread::sleep(RETRY);
            }
            server.world.note(format!("the store has the entry of server {}", server.traits.id));
        });
    }

    fn cold_ms(&self) -> u128 {
        let until = self.state.lock().unwrap().cold_until;
        until.map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis())
    }

    /// Writes the server's entry; false if the store did not take it.
    pub fn register(&self, store: &Store) -> bool {
        let Traits { id, service, zone, slots, .. } = &self.traits;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"configVersion\":\"v1\",\"concurrency\":{slots},\"state\":\"ready\",\
             \"coldRemainingMs\":{},\"sequence\":{}}}",
            self.address,
            self.cold_ms(),
            self.world.number()
        );
        store.put(&format!("servers/{id}"), &text)
    }

    pub fn has_crashed(&self) -> bool {
        self.state.lock().unwrap().crashed
    }

    /// Counts a request of a cold server, which crashes at a rate well above the one it tolerates.
    fn count(&self, head: &Head, id: &str) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_cold = state.cold_until.is_some_and(|until| now < until);
        if !is_cold || state.crashed {
            return;
        }
        self.world.note(format!("server {} cold attempt={id} {}", self.traits.id, head.word(1)));
        state.recent.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        state.recent.push_back(now);
        if state.recent.len() >= self.traits.crash_at {
            state.crashed = true;
            let work = state.running + state.waiting;
            self.world.note(format!("server {} crashes with {work} at work", self.traits.id));
            self.freed.notify_all();
        }
    }

    /// Takes a slot; false if the queue is full or the server has crashed.
    fn enter(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.waiting >= QUEUE {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.traits.slots && !state.crashed {
            state = self.freed.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn leave(&self) {
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{},{},{}", state.running, state.waiting, self.traits.slots)
    }

    /// Serves a connection until it ends; one of a crashed server ends without an answer.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut random = Random::new(self.world.number());
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            reader.body(&head, false)?;
            let answer = self.answer(&head, &mut random);
            if self.has_crashed() {
                return Ok(());
            }
            reader.send(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, random: &mut Random) -> Vec<u8> {
        let own = &self.traits.id;
        if head.word(1) == "/health" {
            let (cold, load) = (self.cold_ms().to_string(), self.load());
            let headers = [
                ("Hawthornroute-Instance-Id", &**own),
                ("Hawthornroute-Server-Load", &load),
                ("Hawthornroute-Cold-Ms", &cold),
            ];
            return http::answer("200 OK", &headers, b"");
        }
        let id = head.header("hawthornroute-attempt-id").unwrap_or("").to_owned();
        if id.is_empty() {
            return http::answer("400 Bad Request", &[("Hawthornroute-Not-Executed", "1")], b"");
        }
        if head.header("hawthornroute-expected-instance").is_some_and(|want| want != own) {
            let headers =
                [("Hawthornroute-Instance-Id", &**own), ("Hawthornroute-Attempt-Id", &id)];
            return http::answer("421 Misdirected Request", &headers, b"");
        }
        self.count(head, &id);
        if !self.enter() {
            let headers = [("Hawthornroute-Not-Executed", "1"), ("Hawthornroute-Attempt-Id", &id)];
            return http::answer("503 Service Unavailable", &headers, b"");
        }
        self.world.note(format!("server {own} runs attempt={id}"));
        let percent = if self.cold_ms() > 0 { COLD_WORK } else { 100 };
        thread::sleep(self.traits.work * percent / 100);
        let size = self.traits.records * 16;
        let body: Vec<u8> = (0..size).map(|_| random.below(256) as u8).collect();
        let stamp = format!("{own}.{}", self.world.number());
        let run = Run { body: body.clone() };
        self.world.add_run(&stamp, run);
        self.leave();
        let load = self.load();
        let headers = [
            ("Hawthornroute-Attempt-Id", &*id),
            ("Hawthornroute-Response-Stamp", &stamp),
            ("Hawthornroute-Server-Load", &load),
        ];
        http::answer("200 OK", &headers, &body)
    }
}
