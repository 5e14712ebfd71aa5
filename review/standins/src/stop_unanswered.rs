//! A host is stopped with SIGTERM while targets are full at times. Rule LOST.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Arguments;
use crate::CaseResult;
use crate::host;
use crate::host::Host;
use crate::host::ZONES;
use crate::http;
use crate::http::MessageReader;
use crate::record::Record;
use crate::store::Store;
use crate::target::Shape;
use crate::target::Target;

/// As `league-board` of the site cascade-ascent: three backends of four slots, a queue of 16.
const SHAPE: Shape = Shape { slots: 4, queue: 16, work: Duration::from_millis(160) };
const TARGETS: usize = 3;
/// Callers that ask one after the other, and the longest pause of one between two requests.
const STEADY: usize = 10;
const PAUSE_MS: u64 = 700;
/// Callers that ask together, once in a period, on connections that they keep.
const BATCH: usize = 200;
const PERIOD: Duration = Duration::from_secs(10);
const CALLERS: usize = STEADY + BATCH;
/// Zones that have callers, each with one host: those of the third zone are quiet.
const CALLER_ZONES: usize = 2;
/// Traffic before the signal: the third batch comes 4.3 s after it.
const BEFORE: Duration = Duration::from_millis(15_700);
/// `retryBudgetSlack` of the site.
const SLACK: u32 = 54;
/// `graceS` of the site.
const GRACE: Duration = Duration::from_secs(6);
/// A request that was sent no later than this after the signal is excused if a target was still at
/// work on it at the end.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// The deadline of send-entry, and the timeout of its route.
const DEADLINE: Duration = Duration::from_millis(10_000);
/// `lossSlackMs` of the site.
const LOSS_SLACK: Duration = Duration::from_millis(200);

const CONFIGURATION: &str = r#"{"configVersion":7,"routes":[{"name":"r-entry","host":"pupu76.example","prefix":"/entry/","routeType":"unsafe","timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"league-board","maxAttempts":2}],"services":[{"name":"league-board","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered(u16),
    /// The connection ended without an answer.
    Cut,
}

struct Attempt {
    id: String,
    host: usize,
    sent: Instant,
    deadline: Instant,
    ended: Instant,
    end: End,
}

/// Which hosts get new connections, as the platform decides: two misses take a host out.
type Rotation = Arc<Mutex<Vec<bool>>>;

pub fn run(arguments: &Arguments) -> CaseResult {
    let record = Arc::new(Record::create(&arguments.record)?);
    let store = Store::start()?;
    store.put("op/config", CONFIGURATION);
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let id = format!("i-{number}");
        let target = Target::start(&id, "league-board", ZONES[number % 3], SHAPE, &record)?;
        store.put(&format!("servers/{id}"), &target.entry("ready", 1));
        targets.push(target);
    }
    let addresses = host::free_addresses(ZONES.len());
    if addresses.len() < ZONES.len() {
        return Err("no free ports".into());
    }
    let mut hosts = Vec::new();
    for (zone, ip) in ZONES.iter().zip(&addresses) {
        let name = format!("front-{zone}-1");
        let settings = host::settings(&name, zone, *ip, &addresses, store.address, SLACK);
        hosts.push(Host::start(&arguments.program, &arguments.folder, &name, *ip, &settings)?);
    }
    for host in &hosts {
        if !host.wait_until_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", host.name).into());
        }
    }
    std::thread::sleep(Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    let rotation: Rotation = Arc::new(Mutex::new(vec![true; hosts.len()]));
    let prober = {
        let (stop, rotation, record) =
            (Arc::clone(&stop), Arc::clone(&rotation), Arc::clone(&record));
        let ready: Vec<SocketAddr> = hosts.iter().map(Host::ready).collect();
        std::thread::spawn(move || probe(&ready, &stop, &rotation, &record))
    };
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller {
                number,
                fronts: hosts.iter().map(Host::front).collect(),
                rotation: Arc::clone(&rotation),
                record: Arc::clone(&record),
                attempts: Arc::clone(&attempts),
                stop: Arc::clone(&stop),
                started,
            };
            std::thread::spawn(move || caller.run())
        })
        .collect();
    std::thread::sleep(BEFORE);
    let signalled = Instant::now();
    if arguments.trouble {
        record.say(&format!("SIGTERM to {}", hosts[0].name));
        hosts[0].signal(host::SIGTERM);
    }
    let mut exited = None;
    while signalled.elapsed() < GRACE {
        if exited.is_none() && hosts[0].has_ended() {
            exited = Some(signalled.elapsed());
            record.say(&format!("{} has exited after {:?}", hosts[0].name, signalled.elapsed()));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    if arguments.trouble && exited.is_none() {
        record.say("the platform sends SIGKILL after graceS");
        hosts[0].kill();
    }
    for line in hosts[0].logged("host-stopped") {
        record.say(&format!("log of {}: {line}", hosts[0].name));
    }
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    prober.join().map_err(|_| "the prober panicked")?;
    for host in &mut hosts[1..] {
        if host.has_ended() {
            return Err(format!("{} has ended", host.name).into());
        }
    }
    check(&record, &targets, &attempts.lock().expect("attempts"), signalled)
}

fn check(
    record: &Record,
    targets: &[Arc<Target>],
    attempts: &[Attempt],
    signalled: Instant,
) -> CaseResult {
    let has_run = |id: &str| {
        targets.iter().any(|target| target.counts.lock().expect("counts").runs.contains_key(id))
    };
    let rejections = |id: &str| -> u32 {
        let of = |target: &Arc<Target>| {
            target.counts.lock().expect("counts").rejected_ids.get(id).copied().unwrap_or(0)
        };
        targets.iter().map(of).sum()
    };
    let mut by_end: BTreeMap<String, u32> = BTreeMap::new();
    let mut lost = 0;
    for attempt in attempts {
        if let End::Answered(status) = attempt.end {
            *by_end.entry(format!("answered {status}")).or_default() += 1;
            continue;
        }
        *by_end.entry("no answer".to_owned()).or_default() += 1;
        let waited = attempt.ended - attempt.sent;
        // Planned work lasts until 1 s after graceS.
        let planned =
            attempt.host == 0 && attempt.ended < signalled + GRACE + Duration::from_secs(1);
        let ran = has_run(&attempt.id);
        let in_time = attempt.ended < attempt.deadline;
        // Excused is one at which a target was still at work, if it was sent early.
        let excused = ran && attempt.sent <= signalled + EXCUSED_UNTIL;
        let counts = planned && in_time && !excused && (ran || waited > LOSS_SLACK);
        let after = attempt.sent.checked_duration_since(signalled);
        record.say(&format!(
            "{}attempt {} to host {}: sent {}, its connection ended without an answer {} ms later; \
             targets rejected it {} times, it ran: {ran}",
            if counts { "LOST: " } else { "not counted: " },
            attempt.id,
            attempt.host,
            match after {
                Some(after) => format!("{} ms after the signal", after.as_millis()),
                None => format!("{} ms before the signal", (signalled - attempt.sent).as_millis()),
            },
            waited.as_millis(),
            rejections(&attempt.id),
        ));
        lost += u32::from(counts);
    }
    record.say(&format!("attempts by end {by_end:?}; broken: LOST {lost}"));
    if by_end.get("answered 200").copied().unwrap_or(0) < 100 {
        return Err("too little was served for a verdict".into());
    }
    Ok(lost == 0)
}

/// Asks each host once a second whether it is ready.
fn probe(ready: &[SocketAddr], stop: &AtomicBool, rotation: &Rotation, record: &Record) {
    let mut misses = vec![0; ready.len()];
    while !stop.load(Ordering::Relaxed) {
        for (number, address) in ready.iter().enumerate() {
            misses[number] = if host::answers_ready(*address) { 0 } else { misses[number] + 1 };
            let mut rotation = rotation.lock().expect("rotation");
            let keep = misses[number] < 2;
            if rotation[number] != keep {
                record.line(&format!("platform: host {number} in rotation: {keep}"));
            }
            rotation[number] = keep;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

struct Caller {
    number: usize,
    fronts: Vec<SocketAddr>,
    rotation: Rotation,
    record: Arc<Record>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
    started: Instant,
}

struct Connection {
    host: usize,
    stream: TcpStream,
    reader: MessageReader,
}

impl Caller {
    /// Sends one request after the other, each once more after a refusal on a new connection to
    /// another host, as PROTOCOL.md says.
    fn run(&self) {
        let mut connection: Option<Connection> = None;
        let mut random = self.number as u64 * 7919 + 1;
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let deadline = Instant::now() + DEADLINE;
            for attempt in 0..2 {
                if attempt > 0 {
                    connection = None;
                }
                let id = format!("{:03}-{number:04}-{attempt}", self.number);
                let Some(after) = self.send(&mut connection, &id, attempt, deadline) else { break };
                let left = deadline.saturating_duration_since(Instant::now());
                std::thread::sleep(after.min(left / 3));
            }
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let pause = Duration::from_millis((random >> 33) % PAUSE_MS);
            self.pause(if self.number < STEADY { pause } else { self.until_batch() });
        }
    }

    fn until_batch(&self) -> Duration {
        let passed = self.started.elapsed().as_nanos() / PERIOD.as_nanos() + 1;
        let next = self.started + PERIOD * u32::try_from(passed).unwrap_or(u32::MAX);
        next.saturating_duration_since(Instant::now())
    }

    /// Waits, but no longer than the traffic lasts.
    fn pause(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until && !self.stop.load(Ordering::Relaxed) {
            let left = until.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(Duration::from_millis(100)));
        }
    }

    /// Sends an attempt; returns the time after which a refused one is to be repeated.
    fn send(
        &self,
        connection: &mut Option<Connection>,
        id: &str,
        attempt: usize,
        deadline: Instant,
    ) -> Option<Duration> {
        if connection.is_none() {
            *connection = self.connect(attempt);
        }
        let open = connection.as_mut()?;
        let left = deadline.saturating_duration_since(Instant::now());
        let body = format!("{{\"entry\":\"{id}\"}}");
        let request = format!(
            "POST /entry/2f HTTP/1.1\r\nHost: pupu76.example\r\nHawthornroute-Attempt-Id: {id}\r\n\
             Hawthornroute-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            left.as_millis(),
            body.len()
        );
        let host = open.host;
        if http::send(&mut open.stream, request.as_bytes()).is_err() {
            *connection = None;
            return None;
        }
        let sent = Instant::now();
        self.record.line(&format!("caller: attempt {id} is sent to host {host}"));
        let answer = open.reader.next();
        let ended = Instant::now();
        let (end, after, close) = match &answer {
            Ok(Some(answer)) => {
                let status = answer.status();
                let after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
                let after = Duration::from_secs_f64(after.unwrap_or(0.05).max(0.0));
                let close = answer.header("connection") == Some("close");
                (End::Answered(status), matches!(status, 429 | 503).then_some(after), close)
            }
            Ok(None) | Err(_) => (End::Cut, None, true),
        };
        self.record.line(&format!("caller: attempt {id} ends: {end:?}"));
        if close {
            *connection = None;
        }
        let attempt = Attempt { id: id.to_owned(), host, sent, deadline, ended, end };
        self.attempts.lock().expect("attempts").push(attempt);
        after
    }

    fn connect(&self, attempt: usize) -> Option<Connection> {
        let rotation = self.rotation.lock().expect("rotation").clone();
        // The host of its zone first, then the others; a repeat reaches another one.
        let home = self.number % CALLER_ZONES;
        let order = (0..rotation.len()).map(|step| (home + attempt + step) % rotation.len());
        let host = order.into_iter().find(|host| rotation[*host])?;
        let stream = TcpStream::connect_timeout(&self.fronts[host], Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(3))).ok()?;
        let reader = MessageReader::new(stream.try_clone().ok()?);
        Some(Connection { host, stream, reader })
    }
}
