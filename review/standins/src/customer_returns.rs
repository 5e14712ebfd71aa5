//! A customer uses its burst, is taken out of the configuration by mistake and put back a second
//! later, and uses its burst again. Rule QUOTA.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
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

/// As `cierre-diario` of the site mitad-tarjetas-grown: six backends of four slots, a queue of 16. The
/// work is shorter, so that a burst runs within a second.
const SHAPE: Shape = Shape { slots: 4, queue: 16, work: Duration::from_millis(5) };
const TARGETS: usize = 6;
/// `retryBudgetSlack` of the site.
const SLACK: u32 = 186;
/// `quotaWindowS`, `quotaOvershoot` and `quotaSlack` of the site.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
/// The quota of the customer.
const RATE: f64 = 5.0;
const BURST: f64 = 200.0;
/// Callers of the customer, and the requests of each in one burst.
const CALLERS: usize = 30;
const REQUESTS: usize = 12;

fn configuration(version: u64, with_customer: bool) -> String {
    let customer = if with_customer {
        format!(
            r#"{{"name":"tienda-norte","apiKeys":["key-norte-1"],"ratePerS":{RATE},"burstSize":{BURST}}},"#
        )
    } else {
        String::new()
    };
    format!(
        r#"{{"configVersion":{version},"routes":[{{"name":"r-export","host":"pupu76.example","prefix":"/export/","routeType":"safe","timeoutMs":10000,"targetLatencyMs":1200,"priority":2,"service":"cierre-diario","maxAttempts":2}}],"services":[{{"name":"cierre-diario","healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{customer}{{"name":"tienda-sur","apiKeys":["key-sur-1"],"ratePerS":10,"burstSize":20}}]}}"#
    )
}

type Sent = Arc<Mutex<BTreeMap<String, (Instant, u16)>>>;

pub fn run(arguments: &Arguments) -> CaseResult {
    let record = Arc::new(Record::create(&arguments.record)?);
    let store = Store::start()?;
    store.put("op/config", &configuration(7, true));
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let id = format!("i-{number}");
        let target = Target::start(&id, "cierre-diario", ZONES[number % 3], SHAPE, &record)?;
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
        let quota = format!(
            "[quota]\nwindow_s = {}\novershoot = {OVERSHOOT}\nslack = {QUOTA_SLACK}\n",
            WINDOW.as_secs()
        );
        let settings = settings.replace("[quota]\n", &quota);
        hosts.push(Host::start(&arguments.program, &arguments.folder, &name, *ip, &settings)?);
    }
    for host in &hosts {
        if !host.wait_until_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", host.name).into());
        }
    }
    std::thread::sleep(Duration::from_secs(8));

    let sent: Sent = Arc::default();
    let fronts: Vec<SocketAddr> = hosts.iter().map(Host::front).collect();
    let began = Instant::now();
    record.say("first burst");
    burst(1, &fronts, &sent, &record);
    wait_until(began + Duration::from_millis(1000));
    if arguments.trouble {
        store.put("op/config", &configuration(9, false));
        record.say("the store has acknowledged version 9, without the customer");
    }
    wait_until(began + Duration::from_millis(2000));
    if arguments.trouble {
        store.put("op/config", &configuration(12, true));
        record.say("the store has acknowledged version 12, with the customer as before");
    }
    wait_until(began + Duration::from_millis(3300));
    record.say("second burst");
    burst(2, &fronts, &sent, &record);
    std::thread::sleep(Duration::from_secs(1));
    for host in &mut hosts {
        if host.has_ended() {
            return Err(format!("{} has ended", host.name).into());
        }
    }
    check(&record, &targets, &sent.lock().expect("sent"))
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// All callers of the customer send their requests, over all hosts.
fn burst(number: usize, fronts: &[SocketAddr], sent: &Sent, record: &Arc<Record>) {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (sent, record) = (Arc::clone(sent), Arc::clone(record));
            let host = caller % fronts.len();
            let front = fronts[host];
            std::thread::spawn(move || {
                for request in 0..REQUESTS {
                    let id = format!("{number}-{caller:02}-{request:02}");
                    record.line(&format!("caller: attempt {id} is sent to host {host}"));
                    let at = Instant::now();
                    let status = exchange(front, &id).unwrap_or(0);
                    record.line(&format!("caller: attempt {id} is answered {status}"));
                    sent.lock().expect("sent").insert(id, (at, status));
                }
            })
        })
        .collect();
    for caller in callers {
        let _joined = caller.join();
    }
}

fn exchange(front: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let request = format!(
        "GET /export/2f HTTP/1.1\r\nHost: pupu76.example\r\nHawthornroute-Attempt-Id: {id}\r\n\
         Hawthornroute-Deadline-Ms: 2000\r\nHawthornroute-Credential: key-norte-1\r\n\r\n"
    );
    http::send(&mut stream, request.as_bytes())?;
    let answer = MessageReader::new(stream).next()?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

fn check(
    record: &Record,
    targets: &[Arc<Target>],
    sent: &BTreeMap<String, (Instant, u16)>,
) -> CaseResult {
    let mut ran: Vec<(Instant, Instant)> = Vec::new();
    for target in targets {
        let counts = target.counts.lock().expect("counts");
        for (attempt, arrived) in &counts.arrived {
            if counts.runs.contains_key(attempt)
                && let Some((at, _)) = sent.get(attempt)
            {
                ran.push((*at, *arrived));
            }
        }
    }
    ran.sort();
    let inside = |from: &Instant| {
        let to = *from + WINDOW;
        ran.iter().filter(|(sent, arrived)| sent >= from && *arrived <= to).count()
    };
    let most = ran.iter().map(|(sent, _)| inside(sent)).max().unwrap_or(0);
    let limit = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + QUOTA_SLACK;
    let mut by_status: BTreeMap<String, u32> = BTreeMap::new();
    for (id, (_, status)) in sent {
        *by_status.entry(format!("burst {} status {status}", &id[..1])).or_default() += 1;
    }
    record.say(&format!("{by_status:?}"));
    let verdict = if most as f64 > limit { "broken" } else { "held" };
    record.say(&format!(
        "QUOTA {verdict}: at most {most} requests of the customer were sent, arrived and ran in \
         {} s; allowed are {limit}",
        WINDOW.as_secs()
    ));
    if most < 100 {
        return Err("too little ran for a verdict".into());
    }
    Ok(most as f64 <= limit)
}
