//! Targets are full now and then, and six of eleven send some of their answers twice, the second
//! copy late. Rules TWICE and REFUSED.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Arguments;
use crate::CaseResult;
use crate::host;
use crate::host::Host;
use crate::host::ZONES;
use crate::http;
use crate::http::Message;
use crate::http::MessageReader;
use crate::record::Record;
use crate::store::Store;
use crate::target::Extra;
use crate::target::Shape;
use crate::target::Target;

/// As `billing` of the site tbsa-hawthorn: eleven backends of two slots, a queue of eight.
const SHAPE: Shape = Shape { slots: 2, queue: 8, work: Duration::from_millis(120) };
const TARGETS: usize = 11;
/// The site's dose of `garble` with `extra late`: share 0.6, x 0.03, for 5 s.
const GARBLED: usize = 6;
const SHARE: f64 = 0.03;
const LENGTH: Duration = Duration::from_secs(5);
/// `retryBudgetSlack` of the site.
const SLACK: u32 = 56;
/// Callers, and the longest pause of one between two requests. They ask for somewhat more than
/// the targets serve, so that targets are full at times and not for long.
const CALLERS: usize = 200;
const PAUSE_MS: u64 = 700;
/// Traffic before the disruption, and after it.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(2);
/// The deadline of invoice-get.
const DEADLINE: Duration = Duration::from_millis(3000);

const CONFIGURATION: &str = r#"{"configVersion":7,"routes":[{"name":"r-invoice","host":"pupu76.example","prefix":"/invoice/","routeType":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"billing","maxAttempts":2}],"services":[{"name":"billing","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

type Answers = Arc<Mutex<BTreeMap<String, u16>>>;

pub fn run(arguments: &Arguments) -> CaseResult {
    let record = Arc::new(Record::create(&arguments.record)?);
    let store = Store::start()?;
    store.put("op/config", CONFIGURATION);
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let id = format!("i-{number}");
        let target = Target::start(&id, "billing", ZONES[number % 3], SHAPE, &record)?;
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

    let from = Instant::now() + BEFORE;
    if arguments.trouble {
        let extra = Extra { share: SHARE, from, until: from + LENGTH };
        for target in targets.iter().take(GARBLED) {
            *target.extra.lock().expect("extra") = Some(extra);
        }
    }
    let answers: Answers = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = Caller {
                number,
                hosts: hosts.iter().map(Host::front).collect(),
                record: Arc::clone(&record),
                answers: Arc::clone(&answers),
                stop: Arc::clone(&stop),
                unanswered: Arc::clone(&unanswered),
            };
            std::thread::spawn(move || caller.run())
        })
        .collect();
    std::thread::sleep(BEFORE + LENGTH + AFTER);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    // A refused request must not run later either.
    std::thread::sleep(Duration::from_secs(4));
    for host in &mut hosts {
        if host.has_ended() {
            return Err(format!("{} has ended", host.name).into());
        }
    }
    check(&record, &targets, &answers.lock().expect("answers"), unanswered.load(Ordering::Relaxed))
}

fn check(
    record: &Record,
    targets: &[Arc<Target>],
    answers: &BTreeMap<String, u16>,
    unanswered: u32,
) -> CaseResult {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let (mut rejected, mut extra_run, mut extra_rejected) = (0, 0, 0);
    for target in targets {
        let counts = target.counts.lock().expect("counts");
        for (attempt, count) in &counts.runs {
            *runs.entry(attempt.clone()).or_default() += count;
        }
        rejected += counts.rejected;
        extra_run += counts.extra_run;
        extra_rejected += counts.extra_rejected;
    }
    let mut by_status: BTreeMap<u16, u32> = BTreeMap::new();
    for status in answers.values() {
        *by_status.entry(*status).or_default() += 1;
    }
    record.say(&format!(
        "attempts answered by status {by_status:?}, unanswered {unanswered}; attempts that ran \
         {}; rejections of full targets {rejected}; extra answers: {extra_run} of answers to \
         runs, {extra_rejected} of rejections",
        runs.len()
    ));
    if by_status.get(&200).copied().unwrap_or(0) < 100 || rejected < 20 {
        return Err("too little was served or rejected for a verdict".into());
    }
    let twice: Vec<&String> =
        runs.iter().filter(|(_, count)| **count > 1).map(|(attempt, _)| attempt).collect();
    let refused: Vec<&String> = answers
        .iter()
        .filter(|(attempt, status)| {
            [408, 421, 429, 503].contains(*status) && runs.contains_key(*attempt)
        })
        .map(|(attempt, _)| attempt)
        .collect();
    for attempt in &twice {
        let status = answers.get(*attempt);
        let count = runs[*attempt];
        record.say(&format!("TWICE: attempt {attempt} ran {count} times, answered {status:?}"));
    }
    for attempt in &refused {
        record
            .say(&format!("REFUSED: attempt {attempt} was answered {} and ran", answers[*attempt]));
    }
    // The callers repeat a refused order under a new id, as the status allows.
    let order = |attempt: &str| attempt.rsplit_once('-').map(|(order, _)| order.to_owned());
    let mut orders: BTreeMap<String, u32> = BTreeMap::new();
    for (attempt, count) in &runs {
        *orders.entry(order(attempt).unwrap_or_default()).or_default() += count;
    }
    let doubled = orders.values().filter(|count| **count > 1).count();
    record.say(&format!(
        "broken: REFUSED {}, TWICE {}; orders that ran more than once: {doubled} of {}",
        refused.len(),
        twice.len(),
        orders.len()
    ));
    Ok(twice.is_empty() && refused.is_empty())
}

struct Caller {
    number: usize,
    hosts: Vec<SocketAddr>,
    record: Arc<Record>,
    answers: Answers,
    stop: Arc<AtomicBool>,
    unanswered: Arc<AtomicU32>,
}

impl Caller {
    /// Sends one request after the other, each once more after a refusal, as PROTOCOL.md says.
    fn run(&self) {
        let mut connection: Option<(TcpStream, MessageReader)> = None;
        let mut number = 0;
        let mut random = self.number as u64 * 7919 + 1;
        while !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let began = Instant::now();
            for attempt in 0..2 {
                let id = format!("{:03}-{number:04}-{attempt}", self.number);
                let left = DEADLINE.saturating_sub(began.elapsed());
                if attempt > 0 {
                    connection = None;
                }
                let host = (self.number + attempt) % self.hosts.len();
                let answer = self.exchange(&mut connection, host, &id, left);
                let Ok(answer) = answer else {
                    connection = None;
                    self.record.line(&format!("caller: attempt {id} has no answer"));
                    self.unanswered.fetch_add(1, Ordering::Relaxed);
                    break;
                };
                let status = answer.status();
                self.record.line(&format!("caller: attempt {id} is answered {status}"));
                self.answers.lock().expect("answers").insert(id, status);
                if answer.header("connection") == Some("close") {
                    connection = None;
                }
                if !matches!(status, 429 | 503) {
                    break;
                }
                let after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
                let after = Duration::from_secs_f64(after.unwrap_or(0.05).max(0.0));
                let left = DEADLINE.saturating_sub(began.elapsed());
                std::thread::sleep(after.min(left / 3));
            }
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            std::thread::sleep(Duration::from_millis((random >> 33) % PAUSE_MS));
        }
    }

    fn exchange(
        &self,
        connection: &mut Option<(TcpStream, MessageReader)>,
        host: usize,
        id: &str,
        left: Duration,
    ) -> std::io::Result<Message> {
        if connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.hosts[host], Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(2)))?;
            *connection = Some((stream.try_clone()?, MessageReader::new(stream)));
        }
        let Some((stream, reader)) = connection else {
            return Err(std::io::ErrorKind::Other.into());
        };
        let body = format!("{{\"invoice\":\"{id}\"}}");
        let request = format!(
            "POST /invoice/2f HTTP/1.1\r\nHost: pupu76.example\r\nHawthornroute-Attempt-Id: {id}\r\n\
             Hawthornroute-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            left.as_millis(),
            body.len()
        );
        self.record.line(&format!("caller: attempt {id} is sent to host {host}"));
        http::send(stream, request.as_bytes())?;
        reader.next()?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }
}
