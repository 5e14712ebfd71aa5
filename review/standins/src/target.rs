//! A target (a backend in PROTOCOL.md): slots, a short queue, rejections that state that nothing
//! ran, an echoed attempt id and a stamp.

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
use crate::record::Record;

/// How a target works.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
}

/// The share of answers that are sent a second time, and until when.
#[derive(Clone, Copy, Debug)]
pub struct Extra {
    pub share: f64,
    pub from: Instant,
    pub until: Instant,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

#[derive(Default)]
pub struct Counts {
    /// Runs by attempt id.
    pub runs: BTreeMap<String, u32>,
    /// When each attempt first arrived.
    pub arrived: BTreeMap<String, Instant>,
    pub rejected: u32,
    /// Rejections by attempt id.
    pub rejected_ids: BTreeMap<String, u32>,
    pub extra_run: u32,
    pub extra_rejected: u32,
    random: u64,
}

pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub shape: Shape,
    load: Mutex<Load>,
    freed: Condvar,
    pub counts: Mutex<Counts>,
    pub extra: Mutex<Option<Extra>>,
    record: Arc<Record>,
}

impl Target {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        shape: Shape,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let random = id.bytes().fold(77, |sum: u64, byte| sum * 31 + u64::from(byte));
        let target = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            shape,
            load: Mutex::default(),
            freed: Condvar::new(),
            counts: Mutex::new(Counts { random, ..Counts::default() }),
            extra: Mutex::new(None),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&target);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                std::thread::spawn(move || {
                    let _ended = server.serve(stream);
                });
            }
        });
        Ok(target)
    }

    /// What it writes about itself into the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"configVersion\":\"v1\",\
             \"concurrency\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.shape.slots
        )
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = MessageReader::new(stream);
        // The second copy of an answer, which comes where the next answer is expected.
        let mut extra: Option<(Vec<u8>, String)> = None;
        while let Some(request) = reader.next()? {
            let attempt = request.header("hawthornroute-attempt-id").unwrap_or("-").to_owned();
            if let Some((bytes, of)) = extra.take()
                && self.window().is_some()
            {
                self.record.line(&format!(
                    "target {} sends the extra answer of attempt {of} where the answer of attempt \
                     {attempt} is due",
                    self.id
                ));
                http::send(&mut writer, &bytes)?;
            }
            let (bytes, ran) = self.answer(&request, &attempt);
            http::send(&mut writer, &bytes)?;
            if self.draws_extra() {
                let mut counts = self.counts.lock().expect("counts");
                match ran {
                    true => counts.extra_run += 1,
                    false => counts.extra_rejected += 1,
                }
                extra = Some((bytes, attempt));
            }
        }
        Ok(())
    }

    fn window(&self) -> Option<Extra> {
        let now = Instant::now();
        self.extra.lock().expect("extra").filter(|extra| extra.from <= now && now < extra.until)
    }

    fn draws_extra(&self) -> bool {
        let Some(extra) = self.window() else { return false };
        let mut counts = self.counts.lock().expect("counts");
        let next =
            counts.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        counts.random = next;
        ((next >> 33) as f64 / (1_u64 << 31) as f64) < extra.share
    }

    /// The answer to a request, and whether the request ran.
    fn answer(&self, request: &Message, attempt: &str) -> (Vec<u8>, bool) {
        let (_, path) = request.call();
        let instance = ("Hawthornroute-Instance-Id", self.id.clone());
        let load = |load: &Load| {
            let text = format!("{},{},{}", load.running, load.waiting, self.shape.slots);
            ("Hawthornroute-Server-Load", text)
        };
        if path == "/health" {
            let now = load(&self.load.lock().expect("load"));
            return (http::answer(200, &[instance, now], b""), false);
        }
        let echo = ("Hawthornroute-Attempt-Id", attempt.to_owned());
        let not_run = ("Hawthornroute-Not-Executed", "1".to_owned());
        if attempt == "-" {
            return (http::answer(400, &[not_run], b""), false);
        }
        let expected = request.header("hawthornroute-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return (http::answer(421, &[echo, instance, not_run], b""), false);
        }
        let now = Instant::now();
        let mut counts = self.counts.lock().expect("counts");
        counts.arrived.entry(attempt.to_owned()).or_insert(now);
        drop(counts);
        let left = request.header("hawthornroute-deadline-ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        let mut state = self.load.lock().expect("load");
        let rejected = |state: &Load| {
            let mut counts = self.counts.lock().expect("counts");
            counts.rejected += 1;
            *counts.rejected_ids.entry(attempt.to_owned()).or_default() += 1;
            drop(counts);
            self.record.line(&format!("target {} rejects attempt {attempt}", self.id));
            let headers = [echo.clone(), not_run.clone(), load(state)];
            (http::answer(503, &headers, b"full"), false)
        };
        if state.running >= self.shape.slots && state.waiting >= self.shape.queue {
            return rejected(&state);
        }
        state.waiting += 1;
        while state.running >= self.shape.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.waiting -= 1;
                return rejected(&state);
            }
            state = self.freed.wait_timeout(state, left).expect("load").0;
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        *self.counts.lock().expect("counts").runs.entry(attempt.to_owned()).or_default() += 1;
        self.record.line(&format!("target {} runs attempt {attempt}", self.id));
        std::thread::sleep(self.shape.work);
        let mut state = self.load.lock().expect("load");
        state.running -= 1;
        let now = load(&state);
        drop(state);
        self.freed.notify_one();
        let stamp = ("Hawthornroute-Response-Stamp", format!("{}.{attempt}", self.id));
        (http::answer(200, &[echo, stamp, now], format!("done {attempt}").as_bytes()), true)
    }
}
