//! Serves a caller's request from its head to its answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_connections::body::BodyBuffer;
use hawthorn_connections::table::ConnectionSlot;
use hawthorn_platform::caller;
use hawthorn_platform::caller::CallerHeaders;
use hawthorn_route::customer::KeyRefusalCause;
use hawthorn_route::customer::KeyRejection;
use hawthorn_route::customer::RequestCustomer;
use hawthorn_route::document::GatherRule;
use hawthorn_route::document::RouteDestination;
use hawthorn_route::document::RouteRule;
use hawthorn_route::gather::GatherState;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::quarantine::RequestIdentity;
use hawthorn_route::retry_after::after_confirmation;
use hawthorn_route::retry_after::retry_after;
use hawthorn_route::send_deadline;
use hawthorn_route::table::RouteTable;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::connection::head::HeadWatch;
use crate::process::clock::host_now;
use crate::process::host::KeyRefusal;
use crate::process::host::RouteHost;
use crate::process::quarantine;
use crate::process::quarantine::Admission;
use crate::request::answer::AnswerBody;
use crate::request::answer::CallerAnswer;
use crate::request::commit::QueryCommit;
use crate::request::context;
use crate::request::context::CancelOnDrop;
use crate::request::context::RequestContext;
use crate::request::dispatch;
use crate::request::dispatch::NeededServices;
use crate::request::gather;
use crate::request::quota;
use crate::request::race::AttemptRace;
use crate::request::race::RaceEnd;
use crate::request::rejection;
use crate::request::rejection::RequestFault;
use crate::request::request_log::RequestSummary;
use crate::request::stopping;

/// Margin between a request's deadline and the end of its caller's wait, in which the answer
/// travels to the caller.
const END_MARGIN: Duration = Duration::from_millis(4);

/// Limits on the rest of a body that is read after its request was rejected.
const MAX_DRAIN_BYTES: usize = 64 * 1024;
const DRAIN_TIME: Duration = Duration::from_millis(20);

/// The declared length of a body; 0 for a chunked one.
fn content_length(headers: &HeaderMap) -> usize {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Serves one request; every outcome is an answer.
pub(crate) async fn serve(
    host: Rc<RouteHost>,
    request: Request<Incoming>,
    watch: &HeadWatch,
    slot: &ConnectionSlot,
    caller: Option<IpAddr>,
) -> Response<AnswerBody> {
    let started = watch.arrival().arrived;
    let (head, mut body) = request.into_parts();
    let mut is_unread = false;
    let mut answer = match receive(&host, slot, head, &mut body).await {
        // Allocated once the body is complete: connections that receive one need less memory.
        Ok(received) => Box::pin(run(&host, received, watch, caller)).await,
        Err(answer) => {
            slot.discard();
            is_unread = !drain(&mut body).await;
            *answer
        }
    };
    watch.set_send_time(answer.due);
    // Nothing more is read from a connection that makes room for others. Callers of a host that fails
    // its readiness probe are better served by another.
    let is_closing = is_unread || slot.evicted().is_cancelled();
    if is_closing || host.stopping.is_cancelled() || host.routing.unready.get() {
        let close = HeaderValue::from_static("close");
        answer.response.headers_mut().insert(header::CONNECTION, close);
    }
    host.metrics.count_request(answer.outcome, host_now().saturating_sub(started));
    if let Some(reason) = answer.refusal {
        let stopped = host.shutdown.get().map(|schedule| schedule.started());
        let unready = host.unready_since.get().or(stopped);
        let unready = unready.map(|since| host_now().saturating_sub(since));
        let after = answer.refused_for.or_else(|| until_confirmed(&host, reason));
        answer.set_retry_after(
            after.unwrap_or_else(|| retry_after(reason, unready, &mut rand::rng())),
        );
        host.metrics.count_refusal(reason, 1);
    }
    answer.response
}

/// The time until a stale configuration is expected to be confirmed, if it can be foreseen.
fn until_confirmed(host: &RouteHost, reason: RefusalReason) -> Option<Duration> {
    let expected = host.next_confirmation().filter(|_| reason == RefusalReason::StaleKeys);
    after_confirmation(expected, host_now(), &mut rand::rng())
}

/// Reads and drops the rest of a body that is not needed; false if it does not arrive at once. It
/// would be taken for the head of the next request.
async fn drain(body: &mut Incoming) -> bool {
    let rest = async {
        let mut left = MAX_DRAIN_BYTES;
        while let Some(frame) = body.frame().await {
            let read = frame.ok().map(|frame| frame.data_ref().map_or(0, Bytes::len));
            match read.and_then(|bytes| left.checked_sub(bytes)) {
                Some(rest) => left = rest,
                None => return false,
            }
        }
        true
    };
    timeout(DRAIN_TIME, rest).await.unwrap_or(false)
}

async fn read_body(
    body: &mut Incoming,
    length: usize,
    max_bytes: usize,
) -> Result<Bytes, RequestFault> {
    let mut buffer = BodyBuffer::new(length, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestFault::UnreadableBody)?;
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend(&data).map_err(|_| RequestFault::BodyTooLarge { limit: max_bytes })?;
    }
    Ok(buffer.into_bytes().into())
}

/// A request whose body was read, with the version that it is served by.
struct ReceivedRequest {
    table: Rc<RouteTable>,
    route: Rc<RouteRule>,
    customer: Option<RequestCustomer>,
    head: Parts,
    headers: CallerHeaders,
    /// How long its caller waits.
    wait: Duration,
    body: Bytes,
}

/// Receives a request that fits the configuration; otherwise returns the answer.
async fn receive(
    host: &Rc<RouteHost>,
    slot: &ConnectionSlot,
    mut head: Parts,
    body: &mut Incoming,
) -> Result<ReceivedRequest, Box<CallerAnswer>> {
    let refused = |reason| Err(Box::new(CallerAnswer::refused(reason)));
    let Some(table) = host.routing.table() else {
        return refused(RefusalReason::NoConfiguration);
    };
    let reject = |head: &Parts, fault| Box::new(rejection::reject(host, &table, head, fault));
    let (route, customer) = rejection::find(&table, &head).map_err(|fault| reject(&head, fault))?;
    // Also if the version in force has no customers: it may lack them by mistake, and targets
    // trust the name.
    caller::strip_identity(&mut head.headers);
    match customer.as_ref().and_then(|customer| host.key_refusal(customer)) {
        None => {}
        Some(KeyRefusal::Revoked) => {
            return Err(reject(&head, RequestFault::Key(KeyRejection::Revoked)));
        }
        Some(KeyRefusal::Stale) => {
            host.metrics.count_key_refusal(KeyRefusalCause::StaleAtAdmission, 1);
            return refused(RefusalReason::StaleKeys);
        }
    }
    let length = content_length(&head.headers);
    if host.open_requests.get() > host.max_open_requests || !slot.admits(length) {
        return refused(RefusalReason::HostFull);
    }
    let headers = caller::read(&head.headers);
    let wait = headers.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let limits = table.document().limits;
    let body = tokio::select! {
        biased;
        body = timeout(wait, read_body(body, length, limits.body_bytes)) => {
            body.unwrap_or(Err(RequestFault::SlowBody)).map_err(|fault| reject(&head, fault))?
        }
        () = slot.evicted().cancelled() => return refused(RefusalReason::HostFull),
    };
    if !slot.complete() {
        return refused(RefusalReason::HostFull);
    }
    Ok(ReceivedRequest { table, route, customer, head, headers, wait, body })
}

/// Runs a request, and logs how it ended.
async fn run(
    host: &Rc<RouteHost>,
    received: ReceivedRequest,
    watch: &HeadWatch,
    caller: Option<IpAddr>,
) -> CallerAnswer {
    let ReceivedRequest { table, route, customer, mut head, headers, wait, body } = received;
    let arrival = watch.arrival();
    context::strip_connection(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(header::EXPECT);
    let started = arrival.arrived;
    let departure = host.routing.policy.get().departure;
    let lag = host.lag.borrow().lag_within(departure.late_share);
    let send_deadline =
        send_deadline::send_deadline(&arrival, route.target_latency, lag, &departure);
    let fingerprint = context::fingerprint(&head.method, &head.headers, &head.uri, &body);
    let identity = match &customer {
        Some(customer) => RequestIdentity::of_customer(fingerprint, &customer.name, &route.name),
        None => RequestIdentity::new(fingerprint, caller, &route.name),
    };
    let context = Rc::new(RequestContext {
        identity,
        exposure: RefCell::default(),
        caller,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        attempt_id: headers.attempt_id,
        route,
        customer,
        started,
        send_deadline,
        deadline: started + wait.saturating_sub(END_MARGIN),
        abandoned: CancellationToken::new(),
        answered: CancellationToken::new(),
        sent: Cell::new(0),
        waiting: Cell::new(0),
        awaited_peers: Cell::new(0),
        skipped: Cell::new(0),
        prior_attempts: 0,
        commit: QueryCommit::given(),
        load: RefCell::default(),
        request_log: RefCell::default(),
    });
    let cancel_guard = CancelOnDrop(Rc::clone(&context));
    let mut answer = match quota::take_token(host, &context).await {
        Ok(guard) => {
            let sending = send(host, &context, table.version());
            let answer = stopping::answer_before_exit(host, &context, sending).await;
            guard.finish(answer.refusal.is_some());
            answer
        }
        Err(refusal) => *refusal,
    };
    if let Some(refusal) = answer.key_refusal {
        host.metrics.count_key_refusal(refusal.before_sending(), 1);
        if refusal == KeyRefusal::Revoked {
            host.metrics.count_key_rejection(KeyRejection::Revoked, 1);
        }
    }
    if answer.refusal == Some(RefusalReason::Quarantined) && answer.refused_for.is_none() {
        answer.refused_for = quarantine::refused_for(host, &context);
    }
    context.answered.cancel();
    drop(cancel_guard);
    log_request(host, &context, table.version(), &answer, watch);
    answer
}

/// Sends the request to its route's destination.
async fn send(host: &Rc<RouteHost>, context: &Rc<RequestContext>, version: u64) -> CallerAnswer {
    if context.time_left(host_now()).is_zero() {
        return CallerAnswer::refused(RefusalReason::TooLate);
    }
    let route = Rc::clone(&context.route);
    host.routing.count_demand(&route);
    let admission = quarantine::admit(host, context).await;
    match admission {
        Admission::Unrestricted | Admission::Trial { .. } => {}
        Admission::TooLate => return CallerAnswer::refused(RefusalReason::TooLate),
        Admission::Refused(left) => return CallerAnswer::quarantined(left),
    }
    match &route.destination {
        RouteDestination::Single(service) => single(host, context, service).await,
        RouteDestination::Weighted(services) => {
            match host.routing.select_weighted(&route, services) {
                Some(index) => single(host, context, &services[index].service).await,
                None => CallerAnswer::refused(RefusalReason::NoTarget),
            }
        }
        RouteDestination::Gather(rule) => {
            let permit = match admit_query(host, context, rule).await {
                Ok(permit) => permit,
                Err(answer) => return *answer,
            };
            let answer = gather::gather(host, context, rule, version, admission).await;
            permit.finish(answer.parts.is_none());
            answer
        }
    }
}

/// Admits a query: in order if requests are ordered, otherwise at once or not at all.
async fn admit_query<'a>(
    host: &'a RouteHost,
    context: &'a Rc<RequestContext>,
    rule: &GatherRule,
) -> Result<AdmissionPermit<'a>, Box<CallerAnswer>> {
    if !dispatch::is_on(host) {
        return AdmissionPermit::acquire(host, context)
            .ok_or_else(|| Box::new(CallerAnswer::refused(RefusalReason::HostFull)));
    }
    let (shards, min_share) = (rule.shards.len(), rule.min_share);
    let needed = NeededServices {
        services: rule.shards.iter().map(|shard| shard.as_str().into()).collect(),
        max_missing: GatherState { shards, parts: 0, lost: 0, min_share }.max_missing(),
        windowed: true,
    };
    match dispatch::wait_turn(host, context, needed).await {
        Ok(()) => Ok(AdmissionPermit::ordered(host, context)),
        Err(rejection) => Err(Box::new(CallerAnswer::overloaded(rejection.after))),
    }
}

/// An admitted query in flight; reports its end to admission control on drop.
struct AdmissionPermit<'a> {
    host: &'a RouteHost,
    context: &'a RequestContext,
    completed: bool,
}

impl<'a> AdmissionPermit<'a> {
    fn acquire(host: &'a RouteHost, context: &'a RequestContext) -> Option<Self> {
        let urgent = host.routing.is_urgent(context.priority());
        let options = host.routing.policy.get().admission;
        let admitted = host.routing.admission.borrow_mut().admit(host_now(), urgent, &options);
        // A permit reports on drop, so none may be created for a refused query.
        if admitted { Some(Self { host, context, completed: false }) } else { None }
    }

    /// The permit of a query that has waited its turn.
    fn ordered(host: &'a RouteHost, context: &'a RequestContext) -> Self {
        host.routing.admission.borrow_mut().admit_ordered();
        Self { host, context, completed: false }
    }

    /// Reports the load that a completed query observed; `failed` if it has no parts. The
    /// attempts that a failed query sent are still work for the targets.
    fn finish(mut self, failed: bool) {
        self.completed = true;
        self.context.load.borrow_mut().failed = failed && self.context.sent.get() > 0;
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        let now = host_now();
        let elapsed = now.saturating_sub(self.context.started);
        let load = self.context.load.borrow();
        let feedback = self.completed.then_some(&*load);
        let target_latency = self.context.route.target_latency;
        let mut admission = self.host.routing.admission.borrow_mut();
        admission.finish(
            now,
            elapsed,
            target_latency,
            feedback,
            &self.host.routing.policy.get().admission,
        );
        self.host.dispatch.wake();
    }
}

async fn single(host: &Rc<RouteHost>, context: &Rc<RequestContext>, service: &str) -> CallerAnswer {
    if dispatch::is_on(host) {
        let needed =
            NeededServices { services: vec![service.into()], max_missing: 0, windowed: false };
        if let Err(rejection) = dispatch::wait_turn(host, context, needed).await {
            return CallerAnswer::overloaded(rejection.after);
        }
    }
    let race = AttemptRace::new(host, context, service).run();
    match timeout(context.time_left(host_now()), race).await {
        Ok(RaceEnd::Answered(answer) | RaceEnd::Failed(answer)) => {
            CallerAnswer::forwarded(context, answer)
        }
        Ok(RaceEnd::NotRun(reason)) => CallerAnswer::refused(reason),
        Ok(RaceEnd::Unknown) => CallerAnswer::not_known(),
        Err(_) if context.sent.get() == 0 => CallerAnswer::refused(RefusalReason::TooLate),
        Err(_) => CallerAnswer::out_of_time(),
    }
}

fn log_request(
    host: &RouteHost,
    context: &RequestContext,
    version: u64,
    answer: &CallerAnswer,
    watch: &HeadWatch,
) {
    let now = host_now();
    let rule: &RouteRule = &context.route;
    let elapsed = now.saturating_sub(context.started);
    let summary = RequestSummary {
        number: host.next_request(),
        id: context.attempt_id.as_deref().unwrap_or("-"),
        fingerprint: context.identity.fingerprint,
        caller: context.caller,
        customer: context.customer.as_ref().map(|customer| &*customer.name),
        route: &rule.name,
        version,
        outcome: answer.outcome,
        status: answer.response.status().as_u16(),
        elapsed,
        left: context.time_left(now),
        early_ms: signed_millis(context.send_deadline, now),
        round_trip: watch.arrival().rtt.map(|rtt| rtt.round_trip),
        unread: watch.unread(),
        parts: answer.parts,
        skipped: context.skipped.get(),
    };
    if answer.response.status().is_success() {
        host.metrics.count_departure(context.send_deadline, now);
    }
    let on_time = answer.outcome == "answered" && now <= context.send_deadline;
    context.request_log.borrow().write(&summary, on_time);
}

/// Milliseconds from `now` until `due`, negative after it.
fn signed_millis(due: Duration, now: Duration) -> f64 {
    (due.as_secs_f64() - now.as_secs_f64()) * 1000.0
}
