//! Answers of targets that end early, at each byte, in each framing, by a close or a reset.

mod support;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures::future;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::records;
use hawthorn_standin::route::wire;
use hawthorn_standin::route::wire::WireRequest;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_types::CallerOutcome;
use serde_json::Value;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;
use support::route;
use support::route::RouteAnswer;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time between the last byte and the end of its connection, in which the byte is read.
const END_DELAY: Duration = Duration::from_millis(3);
/// Exceeds the length of an answer of a `route` target.
const MAX_ANSWER_BYTES: usize = 320;
/// Requests at a time to one host.
const CONCURRENCY: usize = 4;
/// Step between the cuts of a `serve` target's answers, whose hosts are slower to ask.
const SERVE_STEP: usize = 5;

/// How the end of an answer is stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFraming {
    Length,
    Chunked,
    /// It ends with its connection.
    Unstated,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// An answer of which only the first bytes are sent.
#[derive(Clone, Copy, Debug)]
struct AnswerCut {
    status: u16,
    framing: AnswerFraming,
    end: ConnectionEnd,
    bytes: usize,
}

/// Where an answer was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutPlace {
    /// Before the first byte of the body.
    Head,
    Body,
    /// Not at all.
    Complete,
}

impl AnswerCut {
    /// Whether the bytes that were sent may be taken for a complete answer: if its end is not stated,
    /// a close of its connection is its end.
    fn may_be_complete(&self, place: CutPlace) -> bool {
        match (self.framing, self.end) {
            (AnswerFraming::Unstated, ConnectionEnd::Close) => place != CutPlace::Head,
            (AnswerFraming::Unstated, ConnectionEnd::Reset) => false,
            (AnswerFraming::Length | AnswerFraming::Chunked, _) => place == CutPlace::Complete,
        }
    }

    fn must_be_complete(&self, place: CutPlace) -> bool {
        place == CutPlace::Complete && self.end == ConnectionEnd::Close
    }

    fn encode(&self, answer: &RouteAnswer) -> (Vec<u8>, usize) {
        let mut head = format!("HTTP/1.1 {:03} -\r\n", self.status);
        let fields: BTreeMap<_, _> = answer.headers.iter().collect();
        for (name, value) in fields.into_iter().filter(|(name, _)| *name != "content-length") {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let (first, second) = answer.body.split_at(answer.body.len() / 2);
        let chunk =
            |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        let (field, body) = match self.framing {
            AnswerFraming::Length => {
                (format!("content-length: {}\r\n", answer.body.len()), answer.body.clone())
            }
            AnswerFraming::Chunked => (
                "transfer-encoding: chunked\r\n".to_owned(),
                [chunk(first), chunk(second), b"0\r\n\r\n".to_vec()].concat(),
            ),
            AnswerFraming::Unstated => (String::new(), answer.body.clone()),
        };
        let head = [head, field, "\r\n".to_owned()].concat();
        let head_bytes = head.len();
        ([head.into_bytes(), body].concat(), head_bytes)
    }
}

/// Selects which answers are cut, by the request.
type SelectCut = dyn Fn(&WireRequest) -> Option<AnswerCut> + Send + Sync;

/// Passes requests to a target, and cuts some answers.
struct CuttingRelay {
    address: SocketAddr,
    /// Where answers were cut, by path and number of bytes.
    places: Arc<Mutex<HashMap<(String, usize), CutPlace>>>,
}

impl CuttingRelay {
    async fn start(upstream: SocketAddr, select: Arc<SelectCut>) -> TestResult<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let places = Arc::new(Mutex::new(HashMap::new()));
        let recorded = Arc::clone(&places);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, upstream, Arc::clone(&select), Arc::clone(&recorded)));
            }
        });
        Ok(Self { address, places })
    }

    fn place(&self, path: &str, bytes: usize) -> Option<CutPlace> {
        let places = self.places.lock().expect("no holder of the lock panics");
        places.get(&(path.to_owned(), bytes)).copied()
    }

    fn cuts(&self) -> usize {
        self.places.lock().expect("no holder of the lock panics").len()
    }

    fn forget_places(&self) {
        self.places.lock().expect("no holder of the lock panics").clear();
    }
}

async fn relay(
    mut stream: TcpStream,
    upstream: SocketAddr,
    select: Arc<SelectCut>,
    places: Arc<Mutex<HashMap<(String, usize), CutPlace>>>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = wire::read(&mut stream, &mut buffer).await? {
        let answer = ask(upstream, &request).await?;
        let Some(cut) = select(&request) else {
            let complete = AnswerCut {
                status: answer.status,
                framing: AnswerFraming::Length,
                end: ConnectionEnd::Close,
                bytes: 0,
            };
            stream.write_all(&complete.encode(&answer).0).await?;
            continue;
        };
        let (bytes, head_bytes) = cut.encode(&answer);
        let place = match cut.bytes {
            sent if sent >= bytes.len() => CutPlace::Complete,
            sent if sent > head_bytes => CutPlace::Body,
            _ => CutPlace::Head,
        };
        let sent = cut.bytes.min(bytes.len());
        places
            .lock()
            .expect("no holder of the lock panics")
            .insert((request.path().to_owned(), cut.bytes), place);
        stream.write_all(&bytes[..sent]).await?;
        sleep(END_DELAY).await;
        if cut.end == ConnectionEnd::Reset {
            stream.set_zero_linger()?;
        }
        return Ok(());
    }
    Ok(())
}

async fn ask(upstream: SocketAddr, request: &WireRequest) -> io::Result<RouteAnswer> {
    let mut stream = TcpStream::connect(upstream).await?;
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    // All targets of the relay are one.
    let fields = request.all_headers.iter().filter(|(name, _)| name != headers::EXPECTED_TARGET);
    fields.for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    stream.write_all(&[head.as_bytes(), b"\r\n", &request.body].concat()).await?;
    route::read_answer(&mut stream).await.map_err(|error| io::Error::other(error.to_string()))
}

/// Sends requests to a host of `route`, each to a target whose answer is cut at another byte, alone
/// and beside a shard that answers. Returns what callers got and should not have.
async fn play(status: u16, framing: AnswerFraming, end: ConnectionEnd) -> TestResult<Vec<String>> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t", "s").await?;
    let good = RouteTarget::start("good", "good").await?;
    let cut = move |bytes| AnswerCut { status, framing, end, bytes };
    let select = move |request: &WireRequest| {
        let path = request.path().trim_matches('/');
        Some(cut(path.get(1..)?.parse().ok()?))
    };
    let upstream = address(&target)?;
    let relay = CuttingRelay::start(upstream, Arc::new(select)).await?;
    operator::register(&store, "good", &good, "east");
    let mut routes: Vec<Value> = Vec::new();
    let mut services = vec!["good".to_owned()];
    for bytes in 0..MAX_ANSWER_BYTES {
        let (single, gathered) = (format!("s{bytes}"), format!("g{bytes}"));
        routes.push(operator::single(&format!("/{single}/"), &single, "safe"));
        let shards = [gathered.as_str(), "good"];
        routes.push(operator::scatter_gather(&format!("/{gathered}/"), &shards, 0.5));
        for service in [single, gathered] {
            let entry = operator::entry(&service, relay.address, "east", "ready");
            operator::put_raw_entry(&store, &format!("t-{service}"), entry.as_bytes());
            services.push(service);
        }
    }
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    operator::configure(&store, 1, &routes, &services);
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    let mut faults = Vec::new();
    let cuts: Vec<usize> = (0..MAX_ANSWER_BYTES).collect();
    for group in cuts.chunks(CONCURRENCY) {
        let checks = group.iter().map(|bytes| check(&host, &relay, cut(*bytes)));
        faults.extend(future::join_all(checks).await.into_iter().flatten());
    }
    Ok(faults)
}

fn address(target: &RouteTarget) -> TestResult<SocketAddr> {
    let entry: Value = serde_json::from_slice(&target.entry("east", "ready"))?;
    Ok(entry["address"].as_str().ok_or("no address")?.parse()?)
}

async fn check(host: &RouteHost, relay: &CuttingRelay, cut: AnswerCut) -> Vec<String> {
    let mut faults = Vec::new();
    for kind in ["s", "g"] {
        let path = format!("/{kind}{}/", cut.bytes);
        let answer = host.send("GET", &path, &format!("id{:04}", cut.bytes), "").await;
        let Some(place) = relay.place(&path, cut.bytes) else {
            faults.push(format!("{cut:?}: not sent to the target: {answer:?}"));
            continue;
        };
        let check = if kind == "s" { check_single } else { check_gathered };
        if let Some(fault) = check(&answer, cut, place) {
            faults.push(format!("{path} {cut:?} {place:?}: {fault}: {answer:?}"));
        }
    }
    faults
}

fn check_single(
    answer: &TestResult<RouteAnswer>,
    cut: AnswerCut,
    place: CutPlace,
) -> Option<&'static str> {
    let Ok(answer) = answer else { return Some("no answer") };
    let is_delivered = answer.headers.contains_key(headers::RECEIPT);
    let body = records("s");
    match (is_delivered, cut.may_be_complete(place)) {
        (true, false) => Some("taken for a complete answer"),
        (true, true) if answer.status != cut.status => Some("another status"),
        (true, true) if !body.starts_with(&answer.body) => Some("another body"),
        (true, true) if place == CutPlace::Complete && answer.body != body => Some("a short body"),
        (false, _) if cut.must_be_complete(place) => Some("not delivered"),
        (false, _) if !matches!(answer.status, 502 | 504) => Some("not an unknown outcome"),
        _ => None,
    }
}

fn check_gathered(
    answer: &TestResult<RouteAnswer>,
    cut: AnswerCut,
    place: CutPlace,
) -> Option<&'static str> {
    let Ok(answer) = answer else { return Some("no answer") };
    if answer.status != 200 {
        return Some("the other shard is lost, too");
    }
    let receipts = answer.headers.get(headers::PART_RECEIPTS).map_or("", String::as_str);
    let parts = receipts.split(',').count();
    let missing = answer.headers.get(headers::MISSING_PARTS).map_or("0", String::as_str);
    match (parts, missing) {
        (1, "1") if cut.status == 200 && cut.must_be_complete(place) => Some("not merged"),
        (1, "1") if !receipts.starts_with("good.") => Some("another part"),
        (1, "1") => None,
        (2, "0") if cut.status != 200 => Some("a failure is merged"),
        (2, "0") if cut.may_be_complete(place) => None,
        (2, "0") => Some("merged as a complete part"),
        _ => Some("wrong coverage"),
    }
}

/// Guards against an answer that ends early and is taken for a complete one by `route`.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_never_complete() -> TestResult {
    let framings = [AnswerFraming::Length, AnswerFraming::Chunked, AnswerFraming::Unstated];
    let mut plays = Vec::new();
    for status in [200, 404] {
        for framing in framings {
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                plays.push(play(status, framing, end));
            }
        }
    }
    let faults: Vec<String> = future::try_join_all(plays).await?.concat();
    let shown: Vec<&String> = faults.iter().take(20).collect();
    assert!(faults.is_empty(), "{} faults, the first: {shown:#?}", faults.len());
    Ok(())
}

/// Hosts of `serve`, and relays that cut an answer of their targets on one path.
struct CutFleet {
    fleet: TestFleet,
    relays: HashMap<SocketAddr, CuttingRelay>,
    /// The cut of the next answer.
    armed: Arc<Mutex<Option<AnswerCut>>>,
}

impl CutFleet {
    async fn start(path: &'static str) -> TestResult<Self> {
        let options = FleetOptions { hosts: vec![1, 1, 1], ..FleetOptions::poland() };
        let fleet = TestFleet::start(options).await?;
        let armed: Arc<Mutex<Option<AnswerCut>>> = Arc::default();
        let mut relays = HashMap::new();
        for target in &fleet.deployment.targets {
            let armed = Arc::clone(&armed);
            let select = move |request: &WireRequest| {
                let mut armed = armed.lock().expect("no holder of the lock panics");
                if request.path() == path { armed.take() } else { None }
            };
            let upstream = target.standin.address();
            relays.insert(upstream, CuttingRelay::start(upstream, Arc::new(select)).await?);
        }
        let inventory =
            fleet.deployment.inventory_toml_via(|target| relays[&target.standin.address()].address);
        let proposed = ProposedEdit {
            base: 1,
            edit_id: "relays".to_owned(),
            author: "test".to_owned(),
            changed_at: 0,
            inventory,
            rules: fleet.deployment.rules_toml(),
        };
        edit::edit(&fleet.store(), &proposed, &edit::Options::default()).await?;
        fleet.wait_for_revision(2).await?;
        fleet.wait_until_ready().await?;
        Ok(Self { fleet, relays, armed })
    }

    fn arm(&self, cut: AnswerCut) {
        *self.armed.lock().expect("no holder of the lock panics") = Some(cut);
    }

    fn is_armed(&self) -> bool {
        self.armed.lock().expect("no holder of the lock panics").is_some()
    }

    /// Number of different cuts that were made.
    fn cuts(&self) -> usize {
        self.relays.values().map(CuttingRelay::cuts).sum()
    }

    /// Where an answer on the path was last cut after this number of bytes.
    fn place(&self, path: &str, bytes: usize) -> Option<CutPlace> {
        self.relays.values().find_map(|relay| relay.place(path, bytes))
    }

    fn forget_places(&self) {
        self.relays.values().for_each(CuttingRelay::forget_places);
    }
}

/// Complete answers of `serve` targets with a status that cannot be final.
fn serve_statuses() -> impl Iterator<Item = AnswerCut> {
    let (framing, end) = (AnswerFraming::Length, ConnectionEnd::Close);
    let statuses = [0, 1, 99, 100, 101, 103, 199, 600, 999];
    statuses.into_iter().map(move |status| AnswerCut { status, framing, end, bytes: usize::MAX })
}

/// The cuts of the answers of `serve` targets, each at several numbers of bytes.
fn serve_cuts() -> impl Iterator<Item = AnswerCut> {
    let (framing, end) = (AnswerFraming::Length, ConnectionEnd::Close);
    let base = AnswerCut { status: 200, framing, end, bytes: 0 };
    let cuts = [
        base,
        AnswerCut { end: ConnectionEnd::Reset, ..base },
        AnswerCut { framing: AnswerFraming::Unstated, ..base },
        AnswerCut { framing: AnswerFraming::Unstated, end: ConnectionEnd::Reset, ..base },
        AnswerCut { framing: AnswerFraming::Chunked, ..base },
        AnswerCut { framing: AnswerFraming::Chunked, end: ConnectionEnd::Reset, ..base },
    ];
    let bytes = (0..MAX_ANSWER_BYTES).step_by(SERVE_STEP);
    cuts.into_iter().flat_map(move |cut| bytes.clone().map(move |bytes| AnswerCut { bytes, ..cut }))
}

/// Guards against an answer that ends early and is taken for a complete one by `serve`.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_of_a_shard_is_searched_again() -> TestResult {
    let cut_fleet = CutFleet::start("/search").await?;
    let fleet = &cut_fleet.fleet;
    let mut answers = 0;
    for (number, cut) in serve_cuts().enumerate() {
        cut_fleet.arm(cut);
        let asked = Instant::now();
        let answer = fleet.send(number % 3, fleet.query("claim-desk")).await?;
        assert_eq!(answer.outcome, CallerOutcome::Answer, "{cut:?}: {answer:?}");
        assert!(is_complete(&answer), "{cut:?}, {:?}: {answer:?}", asked.elapsed());
        assert!(!cut_fleet.is_armed(), "not searched");
        answers += 1;
    }
    println!("{answers} answers, {} different cuts", cut_fleet.cuts());
    fleet.check()
}

/// Guards against an answer that ends early and is taken for the result of a request that may run
/// once, and against one that is stated not to have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_of_a_request_that_ran_once_is_unknown() -> TestResult {
    let cut_fleet = CutFleet::start("/run").await?;
    let fleet = &cut_fleet.fleet;
    let mut places = BTreeMap::new();
    for (key, cut) in (0..).zip(serve_cuts()) {
        cut_fleet.forget_places();
        cut_fleet.arm(cut);
        let answer = fleet.send_once(key as usize % 3, fleet.once("claim-desk", key)).await?;
        let place =
            cut_fleet.place("/run", cut.bytes).ok_or_else(|| format!("not sent: {answer:?}"))?;
        match answer.outcome {
            CallerOutcome::Answer => assert_eq!(place, CutPlace::Complete, "{cut:?}: {answer:?}"),
            CallerOutcome::Unknown(_) => {
                assert!(!cut.must_be_complete(place), "{cut:?}: {answer:?}");
            }
            CallerOutcome::NotRun(_) | CallerOutcome::Failed(_) => {
                return Err(format!("{cut:?} {place:?}: {answer:?}").into());
            }
        }
        *places.entry(format!("{place:?}")).or_insert(0) += 1;
    }
    println!("{places:?}");
    fleet.check()
}

/// Guards against an answer of a target with a status that cannot be final, such as 000 or 101, that
/// a caller of `serve` gets as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_cannot_be_final_answers_no_caller_of_serve() -> TestResult {
    let cut_fleet = CutFleet::start("/search").await?;
    let fleet = &cut_fleet.fleet;
    for (number, answered) in serve_statuses().enumerate() {
        cut_fleet.arm(answered);
        let answer = fleet.send(number % 3, fleet.query("claim-desk")).await?;
        assert_eq!(answer.outcome, CallerOutcome::Answer, "{answered:?}: {answer:?}");
        assert!(is_complete(&answer), "{answered:?}: {answer:?}");
        assert!(!cut_fleet.is_armed(), "not searched");
    }
    fleet.check()?;
    let cut_fleet = CutFleet::start("/run").await?;
    let fleet = &cut_fleet.fleet;
    for (key, answered) in (0..).zip(serve_statuses()) {
        cut_fleet.arm(answered);
        let answer = fleet.send_once(key as usize % 3, fleet.once("claim-desk", key)).await?;
        assert!(!cut_fleet.is_armed(), "not sent: {answer:?}");
        let is_unknown = matches!(answer.outcome, CallerOutcome::Unknown(_));
        assert!(is_unknown, "{answered:?}: {answer:?}");
    }
    fleet.check()
}
