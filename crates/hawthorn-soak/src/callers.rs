//! Callers: their requests, connections and retries.

use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator::HOST;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::balancer::FrontBalancer;
use crate::catalog::CUSTOMERS;
use crate::catalog::KEYS;
use crate::catalog::RouteKind;
use crate::catalog::api_key;
use crate::fleet::SharedFleet;
use crate::history::EndKind;
use crate::history::HistoryRecorder;
use crate::history::HostKey;
use crate::history::ReceivedAnswer;
use crate::history::RequestKey;
use crate::history::SentRequest;
use crate::history::StrayBytes;
use crate::plan::SoakPlan;
use crate::target;
use crate::wire;
use crate::wire::CallerConnection;
use crate::wire::WireAnswer;

/// Share of the requests by route. A third may run at most once, a third may be repeated, and a
/// third is gathered.
const ROUTE_SHARES: [(RouteKind, f64); 7] = [
    (RouteKind::Once, 0.13),
    (RouteKind::Weighted, 0.08),
    (RouteKind::Capped, 0.06),
    (RouteKind::Moving, 0.06),
    (RouteKind::Open, 0.23),
    (RouteKind::CappedSafe, 0.10),
    (RouteKind::Gathered, 0.34),
];
/// Runs at targets that a request takes on average.
const RUNS_PER_REQUEST: f64 = 2.0;
/// Share of the requests of the first customer; the others share the rest.
const FIRST_CUSTOMER_SHARE: f64 = 0.4;
/// Share of the requests with a key that the customer no longer holds.
const OLD_KEY_SHARE: f64 = 0.08;
/// Share of the requests on a connection that was used before, if there is one.
const KEPT_SHARE: f64 = 0.85;
/// Share of the callers that leave before the answer.
const LEAVING_SHARE: f64 = 0.04;
/// Share of the callers that send the end of their request late.
const SLOW_SHARE: f64 = 0.03;
/// Share of the callers that send two requests at once.
const PIPELINED_SHARE: f64 = 0.03;
/// Shortest and longest time that callers wait, in milliseconds.
const WAIT_MS: Range<u64> = 700..2500;
/// How much longer callers wait on a route whose requests may wait long for a connection.
const CAPPED_PATIENCE: u32 = 3;
/// Share of the requests on a kept connection that use the one that was idle longest.
const OLDEST_SHARE: f64 = 0.3;
/// Number of retries of a request.
const MAX_RETRIES: usize = 2;
/// Time for which callers keep a connection that they do not use.
const MAX_IDLE: Duration = Duration::from_secs(6);
/// Interval at which callers without requests close idle connections.
const PAUSE_PERIOD: Duration = Duration::from_millis(100);
/// Number of connections that the callers of a zone keep without using them.
const MAX_KEPT: usize = 100;
/// Number of requests that wait at the same time, of all callers.
const MAX_OPEN: usize = 800;

/// A connection that waits for its next request.
#[derive(Debug)]
struct KeptConnection {
    connection: CallerConnection,
    since: Instant,
}

/// The callers of a run. Clones share their connections.
#[derive(Clone, Debug)]
pub struct SoakCallers {
    fleet: SharedFleet,
    plan: Arc<SoakPlan>,
    balancer: FrontBalancer,
    /// By zone.
    kept: Arc<Vec<Mutex<Vec<KeptConnection>>>>,
    open: Arc<Semaphore>,
    begun: Instant,
}

/// What a caller sends, and how it behaves.
#[derive(Clone, Debug)]
struct CallerRequest {
    route: RouteKind,
    api_key: Option<String>,
    wait: Duration,
    /// When the caller leaves although it would wait longer.
    leaves_after: Option<Duration>,
    /// The pause before the end of the request.
    pause: Option<Duration>,
}

/// Whether a caller may send its request again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RetryDecision {
    Done,
    Again(Duration),
}

impl SoakCallers {
    /// Callers of a fleet; their load begins now.
    pub fn new(fleet: SharedFleet, plan: Arc<SoakPlan>, balancer: FrontBalancer) -> Self {
        let kept = fleet.zones.iter().map(|_| Mutex::default()).collect();
        Self {
            fleet,
            plan,
            balancer,
            kept: Arc::new(kept),
            open: Arc::new(Semaphore::new(MAX_OPEN)),
            begun: Instant::now(),
        }
    }

    /// Sends requests in all zones until cancelled, and waits for their ends.
    pub async fn run(self, stop: &CancellationToken) {
        let mut zones = Vec::new();
        for zone in 0..self.fleet.zones.len() {
            let callers = self.clone();
            let seed = self.plan.seed.wrapping_mul(31).wrapping_add(zone as u64);
            let rng = ChaCha8Rng::seed_from_u64(seed);
            let zone = callers.run_zone(zone, rng);
            zones.push(tokio::spawn(stop.clone().run_until_cancelled_owned(zone)));
        }
        for zone in zones {
            // Ends when cancelled.
            let _ended = zone.await;
        }
        // Each request ends at its deadline at the latest.
        let all = u32::try_from(MAX_OPEN).expect("the limit is a small constant");
        let _all_ended = self.open.acquire_many(all).await;
    }

    async fn run_zone(self, zone: usize, mut rng: ChaCha8Rng) {
        let zones = self.fleet.zones.len() as f64;
        let capacity = self.fleet.capacity() / RUNS_PER_REQUEST / zones;
        let mut due = Instant::now();
        loop {
            let rate = capacity * self.plan.load_at(self.begun.elapsed());
            if rate == 0.0 {
                self.close_idle(zone);
                due += PAUSE_PERIOD;
                sleep_until(due).await;
                continue;
            }
            let gap = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
            due += Duration::from_secs_f64(gap);
            sleep_until(due).await;
            let Ok(permit) = Arc::clone(&self.open).try_acquire_owned() else { continue };
            let callers = self.clone();
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            tokio::spawn(async move {
                callers.call(zone, rng).await;
                drop(permit);
            });
        }
    }

    /// Sends one request, or two at once, and retries as callers do.
    async fn call(&self, zone: usize, mut rng: ChaCha8Rng) {
        let request = self.request(&mut rng);
        let started = Instant::now();
        if rng.random_bool(PIPELINED_SHARE) {
            let second = CallerRequest { pause: None, ..self.request(&mut rng) };
            let first = CallerRequest { pause: None, leaves_after: None, ..request };
            self.pipeline(zone, &first, &second, &mut rng).await;
            return;
        }
        for retry in 0..=MAX_RETRIES {
            let left = request.wait.saturating_sub(started.elapsed());
            if left.is_zero() {
                return;
            }
            // Retries use a new connection.
            let connection = match retry {
                0 => self.connection(zone, &mut rng).await,
                _ => self.balancer.connect(zone, &mut rng).await,
            };
            let Some(connection) = connection else { continue };
            let request = CallerRequest { wait: left, ..request.clone() };
            match self.exchange(zone, connection, &request).await {
                RetryDecision::Done => return,
                RetryDecision::Again(after) => sleep(after).await,
            }
        }
    }

    fn request(&self, rng: &mut ChaCha8Rng) -> CallerRequest {
        let mut sample: f64 = rng.random();
        let chosen = ROUTE_SHARES.iter().find(|(_, share)| {
            sample -= share;
            sample < 0.0
        });
        let route = chosen.map_or(RouteKind::Gathered, |(route, _)| *route);
        let customer = match rng.random_bool(FIRST_CUSTOMER_SHARE) {
            true => 0,
            false => rng.random_range(1..CUSTOMERS),
        };
        let version = self.fleet.version();
        let current = version.customers.get(&customer).map_or(0, |customer| customer.key);
        let key = match rng.random_bool(OLD_KEY_SHARE) {
            true => (current + KEYS - 1) % KEYS,
            false => current,
        };
        let patience = if route == RouteKind::Capped { CAPPED_PATIENCE } else { 1 };
        let wait = Duration::from_millis(rng.random_range(WAIT_MS)) * patience;
        let leaves = rng.random_bool(LEAVING_SHARE);
        let slow = rng.random_bool(SLOW_SHARE);
        CallerRequest {
            route,
            api_key: route.needs_key().then(|| api_key(customer, key)),
            wait,
            leaves_after: leaves.then(|| Duration::from_millis(rng.random_range(1..300))),
            pause: slow.then(|| Duration::from_millis(rng.random_range(50..400))),
        }
    }

    /// A connection that was used before, or a new one.
    async fn connection(&self, zone: usize, rng: &mut ChaCha8Rng) -> Option<CallerConnection> {
        if rng.random_bool(KEPT_SHARE) {
            while let Some(mut connection) = self.take_kept(zone, rng) {
                match connection.is_quiet() {
                    Ok(true) => return Some(connection),
                    Ok(false) => {}
                    Err(bytes) => self.record_stray(connection.host, &bytes),
                }
            }
        }
        self.balancer.connect(zone, rng).await
    }

    /// The connection that was used last, or the one that was idle longest, whose host may have begun
    /// to stop since then.
    fn take_kept(&self, zone: usize, rng: &mut ChaCha8Rng) -> Option<CallerConnection> {
        self.close_idle(zone);
        let mut kept = self.kept[zone].lock().expect("no holder of the lock panics");
        if !kept.is_empty() && rng.random_bool(OLDEST_SHARE) {
            return Some(kept.remove(0).connection);
        }
        Some(kept.pop()?.connection)
    }

    fn close_idle(&self, zone: usize) {
        let mut kept = self.kept[zone].lock().expect("no holder of the lock panics");
        kept.retain(|kept| kept.since.elapsed() < MAX_IDLE);
    }

    fn keep(&self, zone: usize, connection: CallerConnection) {
        let mut kept = self.kept[zone].lock().expect("no holder of the lock panics");
        if kept.len() == MAX_KEPT {
            kept.remove(0);
        }
        kept.push(KeptConnection { connection, since: Instant::now() });
    }

    fn record_stray(&self, host: HostKey, bytes: &[u8]) {
        let at = self.recorder().now();
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        let stray = StrayBytes { host, at, text };
        self.recorder().with(|history| history.stray_bytes.push(stray));
    }

    fn recorder(&self) -> &HistoryRecorder {
        &self.fleet.recorder
    }

    fn record_sent(&self, connection: &CallerConnection, request: &CallerRequest) -> RequestKey {
        self.recorder().send(SentRequest {
            route: request.route,
            host: connection.host,
            api_key: request.api_key.clone(),
            sent: self.recorder().now(),
            sent_whole: None,
            time_left: request.wait,
            kept: connection.uses > 0,
            end: None,
        })
    }

    /// Sends a request and receives its answer; keeps the connection if it can be used again.
    async fn exchange(
        &self,
        zone: usize,
        mut connection: CallerConnection,
        request: &CallerRequest,
    ) -> RetryDecision {
        let key = self.record_sent(&connection, request);
        connection.uses += 1;
        let patience = request.leaves_after.unwrap_or(request.wait);
        let exchange = async {
            self.send(&mut connection, key, request).await?;
            connection.receive().await
        };
        let answer = timeout(patience, exchange).await;
        let left = request.leaves_after.is_some_and(|leaves| leaves < request.wait);
        match answer {
            Ok(Ok(answer)) => {
                let decision = decide(&answer, request);
                self.record_answer(key, request.route, &answer);
                if !answer.closes() {
                    self.keep(zone, connection);
                }
                decision
            }
            Ok(Err(error)) => {
                self.record_failure(key, &error);
                match request.route.is_idempotent() {
                    true => RetryDecision::Again(Duration::ZERO),
                    false => RetryDecision::Done,
                }
            }
            Err(_) => {
                let kind = if left { EndKind::Left } else { EndKind::TimedOut };
                self.recorder().end(key, kind);
                RetryDecision::Done
            }
        }
    }

    /// Sends two requests at once, and receives both answers.
    async fn pipeline(
        &self,
        zone: usize,
        first: &CallerRequest,
        second: &CallerRequest,
        rng: &mut ChaCha8Rng,
    ) {
        let Some(mut connection) = self.connection(zone, rng).await else { return };
        let requests = [first, second];
        let keys = requests.map(|request| self.record_sent(&connection, request));
        connection.uses += 2;
        let [first_bytes, second_bytes] =
            [0, 1].map(|number| encode(keys[number], requests[number]));
        let sent = connection.send(&[first_bytes, second_bytes].concat()).await;
        if sent.is_ok() {
            let now = self.recorder().now();
            for key in keys {
                self.recorder().change(key, |request| request.sent_whole = Some(now));
            }
        }
        let mut closing = false;
        for (key, request) in keys.into_iter().zip(requests) {
            // The host announced that it answers nothing more on the connection.
            if closing {
                self.recorder().end(key, EndKind::Left);
                return;
            }
            match timeout(request.wait, connection.receive()).await {
                Ok(Ok(answer)) => {
                    self.record_answer(key, request.route, &answer);
                    closing = answer.closes();
                }
                Ok(Err(error)) => {
                    self.record_failure(key, &error);
                    closing = true;
                }
                Err(_) => {
                    self.recorder().end(key, EndKind::TimedOut);
                    closing = true;
                }
            }
        }
        if !closing {
            self.keep(zone, connection);
        }
    }

    async fn send(
        &self,
        connection: &mut CallerConnection,
        key: RequestKey,
        request: &CallerRequest,
    ) -> Result<(), wire::Error> {
        let bytes = encode(key, request);
        if let Some(pause) = request.pause {
            let (begin, end) = bytes.split_at(bytes.len() / 2);
            connection.send(begin).await?;
            sleep(pause).await;
            connection.send(end).await?;
        } else {
            connection.send(&bytes).await?;
        }
        let now = self.recorder().now();
        self.recorder().change(key, |request| request.sent_whole = Some(now));
        Ok(())
    }

    fn record_answer(&self, key: RequestKey, route: RouteKind, answer: &WireAnswer) {
        let kind = EndKind::Answered(received(key, route, answer));
        self.recorder().end(key, kind);
    }

    fn record_failure(&self, key: RequestKey, error: &wire::Error) {
        let kind = match error {
            wire::Error::Closed(_) => EndKind::Closed,
            wire::Error::Malformed(what) => EndKind::Malformed(what.clone()),
        };
        self.recorder().end(key, kind);
    }
}

fn encode(key: RequestKey, request: &CallerRequest) -> Vec<u8> {
    let CallerRequest { route, api_key, wait, .. } = request;
    let api_key = match api_key {
        Some(api_key) => format!("{}: {api_key}\r\n", headers::KEY),
        None => String::new(),
    };
    let body = route.body(key);
    format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\n{}: {}\r\n{}: {}\r\n{api_key}\
         Content-Length: {}\r\n\r\n{body}",
        route.method(),
        route.path(key),
        headers::ATTEMPT_ID,
        key.attempt_id(),
        headers::TIME_LEFT,
        wait.as_millis(),
        body.len(),
    )
    .into_bytes()
}

/// What an answer says of a request.
fn received(key: RequestKey, route: RouteKind, answer: &WireAnswer) -> ReceivedAnswer {
    let text = |name: &str| answer.header(name).map(str::to_owned);
    let receipt = text(headers::RECEIPT);
    let named = receipt.as_deref().and_then(target::parse_receipt);
    let body_intact = named.is_some_and(|(target, attempt_id)| {
        attempt_id == key.attempt_id() && target::body(route, target, attempt_id) == answer.body
    });
    let parts = answer.header(headers::PART_RECEIPTS).unwrap_or_default();
    let parts = parts.split(',').map(|part| part.trim().to_owned());
    let is_merged = route == RouteKind::Gathered && answer.status == 200;
    ReceivedAnswer {
        status: answer.status,
        attempt_id: text(headers::ATTEMPT_ID),
        receipt,
        part_receipts: parts.filter(|part| !part.is_empty()).collect(),
        missing: answer.header(headers::MISSING_PARTS).and_then(|text| text.parse().ok()),
        retry_after: answer.header("retry-after").and_then(|text| text.parse().ok()),
        body_intact,
        merged_body: if is_merged { answer.body.clone() } else { Vec::new() },
    }
}

/// Whether a caller sends its request again after an answer.
fn decide(answer: &WireAnswer, request: &CallerRequest) -> RetryDecision {
    let after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    let after = after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let after = after.unwrap_or_default().min(request.wait / 3);
    match answer.status {
        200..=299 | 400 | 401 | 404 | 413 | 431 => RetryDecision::Done,
        408 | 421 | 429 | 503 => RetryDecision::Again(after),
        _ if request.route.is_idempotent() => RetryDecision::Again(after),
        _ => RetryDecision::Done,
    }
}
