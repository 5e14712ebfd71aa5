//! A caller's request from its head to its answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_platform::caller;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteRule;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::quarantine::RequestIdentity;
use hawthorn_route::retry_after::retry_after;
use hawthorn_route::send_deadline;
use hawthorn_route::send_deadline::RequestArrival;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::connection::head::HeadWatch;
use crate::process::clock::host_now;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::quarantine::Admission;
use crate::request::answer::AnswerBody;
use crate::request::answer::CallerAnswer;
use crate::request::gather;
use crate::request::order;
use crate::request::order::CallerWatch;
use crate::request::order::RequestOrder;
use crate::request::race::AttemptRace;
use crate::request::race::RaceEnd;
use crate::request::story::RequestSummary;

/// Requests open at a time, beyond which the host refuses: at 30 KB each with
/// their attempts, a quarter of a small host's memory.
const MOST_OPEN: usize = 2000;
/// Bytes of callers' bodies held at a time, beyond which the host refuses: an
/// eighth of the memory of a host of 256 MB.
const MOST_BODY_BYTES: usize = 32 << 20;
/// An answer leaves so long before the caller stops waiting.
const END_MARGIN: Duration = Duration::from_millis(4);

/// Counts a caller's body for as long as it is held.
struct HeldBytes(Rc<RouteHost>, usize);

impl HeldBytes {
    fn new(host: Rc<RouteHost>, bytes: usize) -> Self {
        host.body_bytes.set(host.body_bytes.get() + bytes);
        Self(host, bytes)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.0.body_bytes.set(self.0.body_bytes.get() - self.1);
    }
}

/// How long a body says it is; one in chunks says nothing.
fn announced_bytes(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Serves one request; never fails, as every outcome is an answer.
pub(crate) async fn serve(
    host: Rc<RouteHost>,
    request: Request<Incoming>,
    watch: &HeadWatch,
    caller: Option<IpAddr>,
) -> Response<AnswerBody> {
    let clock = watch.clock();
    let started = clock.arrived;
    let mut answer = admit(&host, request, &clock, caller).await;
    watch.due(answer.due);
    // A caller of a host that steps aside is better served by another.
    if host.stopping.is_cancelled() || host.beliefs.stranded.get() {
        let close = HeaderValue::from_static("close");
        answer.response.headers_mut().insert(header::CONNECTION, close);
    }
    host.metrics.count_request(answer.outcome, host_now().saturating_sub(started));
    if let Some(reason) = answer.refusal {
        let aside = host.aside_since.get().map(|since| host_now().saturating_sub(since));
        let after = answer.refused_for;
        answer.come_back(after.unwrap_or_else(|| retry_after(reason, aside, &mut rand::rng())));
        host.metrics.count_refusal(reason, 1);
    }
    answer.response
}

async fn admit(
    host: &Rc<RouteHost>,
    request: Request<Incoming>,
    clock: &RequestArrival,
    caller: Option<IpAddr>,
) -> CallerAnswer {
    let Some(table) = host.beliefs.table() else {
        return CallerAnswer::refused(RefusalReason::NoConfiguration);
    };
    let (mut head, body) = request.into_parts();
    let name = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let Some(route) = table.find(name.unwrap_or_default(), head.uri.path()) else {
        return CallerAnswer::no_route();
    };
    if host.open_requests.get() > MOST_OPEN {
        return CallerAnswer::refused(RefusalReason::HostFull);
    }
    let announced = announced_bytes(&head.headers);
    if host.body_bytes.get() + announced > MOST_BODY_BYTES {
        return CallerAnswer::refused(RefusalReason::HostFull);
    }
    let told = caller::read(&head.headers);
    let wait = told.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let limits = table.document().limits;
    let body = match timeout(wait, Limited::new(body, limits.body_bytes).collect()).await {
        Err(_) => return CallerAnswer::slow_body(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return CallerAnswer::too_large(),
        Ok(Err(_)) => return CallerAnswer::unreadable(),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let _held = HeldBytes::new(Rc::clone(host), body.len());
    order::strip_connection(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(header::EXPECT);
    let started = clock.arrived;
    let departure = host.beliefs.policy.get().departure;
    let lag = host.lag.borrow().lag_within(departure.late_share);
    let leaves = send_deadline::send_deadline(clock, route.target_latency, lag, &departure);
    let fingerprint = order::fingerprint(&head.method, &head.headers, &head.uri, &body);
    let order = Rc::new(RequestOrder {
        identity: RequestIdentity::new(fingerprint, caller, &route.name),
        exposure: RefCell::default(),
        caller,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        attempt_id: told.attempt_id,
        route: Rc::clone(route),
        started,
        leaves,
        ends: started + wait.saturating_sub(END_MARGIN),
        left: CancellationToken::new(),
        answered: CancellationToken::new(),
        sent: Cell::new(0),
        skipped: Cell::new(0),
        spent: 0,
        load: RefCell::default(),
        story: RefCell::default(),
    });
    let watch = CallerWatch(Rc::clone(&order));
    let mut answer = carry(host, &order, table.version()).await;
    if answer.refusal == Some(RefusalReason::Quarantined) && answer.refused_for.is_none() {
        answer.refused_for = quarantine::refused_for(host, &order);
    }
    order.answered.cancel();
    drop(watch);
    tell(host, &order, table.version(), &answer, clock);
    answer
}

/// Sends the request where its route says.
async fn carry(host: &Rc<RouteHost>, order: &Rc<RequestOrder>, version: u64) -> CallerAnswer {
    if order.time_left(host_now()).is_zero() {
        return CallerAnswer::refused(RefusalReason::TooLate);
    }
    let route = Rc::clone(&order.route);
    host.beliefs.count_demand(&route);
    let admission = quarantine::admit(host, order).await;
    match admission {
        Admission::Unrestricted | Admission::Trial { .. } => {}
        Admission::TooLate => return CallerAnswer::refused(RefusalReason::TooLate),
        Admission::Refused(left) => return CallerAnswer::quarantined(left),
    }
    match &route.destination {
        RouteDestination::Single(service) => single(host, order, service).await,
        RouteDestination::Weighted(parts) => match host.beliefs.deal(&route, parts) {
            Some(chosen) => single(host, order, &parts[chosen].service).await,
            None => CallerAnswer::refused(RefusalReason::NoTarget),
        },
        RouteDestination::Gather(rule) => {
            let Some(pass) = DoorPass::ask(host, order) else {
                return CallerAnswer::refused(RefusalReason::HostFull);
            };
            let answer = gather::gather(host, order, rule, version, admission).await;
            pass.finish(answer.parts.is_none());
            answer
        }
    }
}

/// A query's place among those in flight; given back when it ends, however it does.
struct DoorPass<'a> {
    host: &'a RouteHost,
    order: &'a RequestOrder,
    told: bool,
}

impl<'a> DoorPass<'a> {
    fn ask(host: &'a RouteHost, order: &'a RequestOrder) -> Option<Self> {
        let urgent = host.beliefs.is_urgent(&order.route);
        let options = host.beliefs.policy.get().admission;
        let admitted = host.beliefs.door.borrow_mut().admit(host_now(), urgent, &options);
        // A pass that is only made has to be given back: none is, for one refused.
        if admitted { Some(Self { host, order, told: false }) } else { None }
    }

    /// The query has its answer, and tells of the load it met; it `failed` when it has
    /// no parts. What it had sent until then is still the targets' work.
    fn finish(mut self, failed: bool) {
        self.told = true;
        self.order.load.borrow_mut().failed = failed && self.order.sent.get() > 0;
    }
}

impl Drop for DoorPass<'_> {
    fn drop(&mut self) {
        let now = host_now();
        let took = now.saturating_sub(self.order.started);
        let load = self.order.load.borrow();
        let told = self.told.then_some(&*load);
        let aim = self.order.route.target_latency;
        let mut door = self.host.beliefs.door.borrow_mut();
        door.finish(now, took, aim, told, &self.host.beliefs.policy.get().admission);
    }
}

async fn single(host: &Rc<RouteHost>, order: &Rc<RequestOrder>, service: &str) -> CallerAnswer {
    let race = AttemptRace::new(host, order, service).run();
    match timeout(order.time_left(host_now()), race).await {
        Ok(RaceEnd::Answered(answer) | RaceEnd::Failed(answer)) => {
            CallerAnswer::passed(order, answer)
        }
        Ok(RaceEnd::NotRun(reason)) => CallerAnswer::refused(reason),
        Ok(RaceEnd::Unknown) => CallerAnswer::not_known(),
        Err(_) if order.sent.get() == 0 => CallerAnswer::refused(RefusalReason::TooLate),
        Err(_) => CallerAnswer::out_of_time(),
    }
}

fn tell(
    host: &RouteHost,
    order: &RequestOrder,
    version: u64,
    answer: &CallerAnswer,
    clock: &RequestArrival,
) {
    let now = host_now();
    let rule: &RouteRule = &order.route;
    let took = now.saturating_sub(order.started);
    let summary = RequestSummary {
        number: host.next_request(),
        id: order.attempt_id.as_deref().unwrap_or("-"),
        fingerprint: order.identity.fingerprint,
        caller: order.caller,
        route: &rule.name,
        version,
        outcome: answer.outcome,
        status: answer.response.status().as_u16(),
        took,
        left: order.time_left(now),
        early: signed_millis(order.leaves, now),
        round_trip: clock.rtt.map(|path| path.round_trip),
        parts: answer.parts,
        skipped: order.skipped.get(),
    };
    if answer.response.status().is_success() {
        host.metrics.count_departure(order.leaves, now);
    }
    let calm = answer.outcome == "answered" && now <= order.leaves;
    order.story.borrow().tell(&summary, calm);
}

/// Milliseconds from `now` until `due`, below zero once it has passed.
fn signed_millis(due: Duration, now: Duration) -> f64 {
    (due.as_secs_f64() - now.as_secs_f64()) * 1000.0
}
