//! The queue of routed requests that wait for capacity; the order is decided in
//! `hawthorn_route::dispatch`.
//!
//! A request for which there is capacity passes without a timer and without being suspended.
//! One task serves all waiting requests, so that their number does not multiply timers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::dispatch::ArrivalDecision;
use hawthorn_route::dispatch::DispatchCounts;
use hawthorn_route::dispatch::Dispatcher;
use hawthorn_route::dispatch::ExpectedCapacity;
use hawthorn_route::dispatch::FlowName;
use hawthorn_route::dispatch::Rejection;
use hawthorn_route::dispatch::RequestDemand;
use hawthorn_route::dispatch::RetryIdentity;
use hawthorn_route::dispatch::TicketKey;
use log::Level;
use rand::RngExt;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::context::RequestContext;

/// Interval at which waiting requests are checked in addition to each end of an attempt: reports
/// of load expire, and slots that other hosts used become free, without an event here.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Jitter of the time after which a rejected caller retries, as a factor: callers rejected
/// together would otherwise return together.
const RETRY_JITTER: std::ops::Range<f64> = 1.0..1.5;

/// The services that a request needs.
#[derive(Clone, Debug)]
pub(crate) struct NeededServices {
    /// Names of the services, each of which receives one attempt.
    pub(crate) services: Vec<Rc<str>>,
    /// Number of services that may be missing from the answer.
    pub(crate) max_missing: usize,
    /// Whether the request counts towards this host's window of queries in flight.
    pub(crate) windowed: bool,
}

#[derive(Debug)]
struct WaitingTurn {
    context: Rc<RequestContext>,
    needed: NeededServices,
    sender: oneshot::Sender<Result<(), Rejection>>,
}

/// The waiting requests of a host.
#[derive(Debug, Default)]
pub(crate) struct DispatchQueue {
    dispatcher: RefCell<Dispatcher>,
    turns: RefCell<SecondaryMap<TicketKey, WaitingTurn>>,
    /// Notified when a request begins to wait or capacity may have been released.
    changed: Notify,
    /// The counts at the last report.
    reported: Cell<DispatchCounts>,
}

impl DispatchQueue {
    /// Checks the waiting requests, because capacity may have been released.
    pub(crate) fn wake(&self) {
        if self.dispatcher.borrow().waiting() > 0 {
            self.changed.notify_one();
        }
    }
}

/// Whether requests are ordered: if the policy says so or the configuration has customers.
pub(crate) fn is_on(host: &RouteHost) -> bool {
    host.routing.policy.get().dispatch.on
        || host.routing.table().is_some_and(|table| !table.customers().is_empty())
}

/// Removes a waiting request whose future is dropped, because its caller left.
struct LeaveOnDrop<'a>(&'a RouteHost, TicketKey);

impl Drop for LeaveOnDrop<'_> {
    fn drop(&mut self) {
        let queue = &self.0.dispatch;
        if queue.turns.borrow_mut().remove(self.1).is_some() {
            queue.dispatcher.borrow_mut().leave(self.1);
        }
    }
}

/// Waits until the request may be sent.
///
/// # Errors
/// If its answer would be late, with the time until capacity is expected.
pub(crate) async fn wait_turn(
    host: &RouteHost,
    context: &Rc<RequestContext>,
    needed: NeededServices,
) -> Result<(), Rejection> {
    let (now, options) = (host_now(), host.routing.policy.get().dispatch);
    let demand = demand(host, context, &needed);
    let capacity = capacity(host, context, &needed, now);
    let queue = &host.dispatch;
    let arrival = queue.dispatcher.borrow_mut().arrive(now, demand, capacity, &options);
    if let Some((evicted, rejection)) = arrival.evicted {
        end_wait(host, evicted, Err(rejection));
    }
    let ticket = match arrival.decision {
        ArrivalDecision::Send => return Ok(()),
        ArrivalDecision::Reject(rejection) => return Err(with_jitter(rejection)),
        ArrivalDecision::Wait(ticket) => ticket,
    };
    let (sender, receiver) = oneshot::channel();
    let turn = WaitingTurn { context: Rc::clone(context), needed, sender };
    queue.turns.borrow_mut().insert(ticket, turn);
    let guard = LeaveOnDrop(host, ticket);
    queue.changed.notify_one();
    let outcome = receiver.await;
    drop(guard);
    // The sender is dropped only if its turn is removed, which also drops the receiver.
    outcome.unwrap_or(Ok(())).map_err(with_jitter)
}

fn with_jitter(rejection: Rejection) -> Rejection {
    let factor = rand::rng().random_range(RETRY_JITTER);
    Rejection { after: rejection.after.mul_f64(factor) }
}

fn demand(host: &RouteHost, context: &RequestContext, needed: &NeededServices) -> RequestDemand {
    let route = &context.route;
    let service_time = host.routing.execution_time(route);
    let flow = match &context.customer {
        Some(customer) => FlowName::Customer(Rc::clone(&customer.name)),
        None => FlowName::Route(route.name.as_str().into()),
    };
    RequestDemand {
        flow,
        priority: context.priority(),
        identity: RetryIdentity {
            caller: context.identity.caller,
            fingerprint: context.identity.fingerprint,
        },
        target_latency: route.target_latency,
        // A caller may stop waiting before the target latency has passed.
        soft_deadline: context.send_deadline.min(context.deadline),
        deadline: context.deadline,
        service_time,
        slot_time: service_time * u32::try_from(needed.services.len()).unwrap_or(u32::MAX),
    }
}

fn capacity(
    host: &RouteHost,
    context: &RequestContext,
    needed: &NeededServices,
    now: Duration,
) -> ExpectedCapacity {
    let routing = &host.routing;
    let names = needed.services.iter().map(|name| &**name);
    let wait = routing.slot_wait(&context.route, names, needed.max_missing, now);
    let window_full = needed.windowed && {
        let options = routing.policy.get().admission;
        let urgent = routing.is_urgent(context.priority());
        !routing.admission.borrow_mut().has_room(now, urgent, &options)
    };
    ExpectedCapacity { wait, window_full }
}

/// Tells a waiting request the decision on it.
fn end_wait(host: &RouteHost, ticket: TicketKey, outcome: Result<(), Rejection>) {
    let turn = host.dispatch.turns.borrow_mut().remove(ticket);
    if let Some(turn) = turn {
        // The receiver is dropped if the caller has just left.
        let _left = turn.sender.send(outcome);
    }
}

/// Decides on the waiting requests whenever capacity may have been released.
pub(crate) async fn run(host: Rc<RouteHost>) {
    let queue = &host.dispatch;
    loop {
        if queue.dispatcher.borrow().waiting() == 0 {
            queue.changed.notified().await;
        } else {
            tokio::select! {
                biased;
                () = queue.changed.notified() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
        }
        while send_next(&host) {
            // The request records its attempts before the capacity for the next one is computed.
            yield_now().await;
        }
    }
}

/// Sends the next request and rejects what would be late; false if there is no capacity.
fn send_next(host: &RouteHost) -> bool {
    let (now, options) = (host_now(), host.routing.policy.get().dispatch);
    let queue = &host.dispatch;
    let next = {
        let turns = queue.turns.borrow();
        let capacity = |ticket| {
            let turn = turns.get(ticket);
            turn.map(|turn| capacity(host, &turn.context, &turn.needed, now)).unwrap_or_default()
        };
        queue.dispatcher.borrow_mut().next(now, capacity, &options)
    };
    if let Some(ticket) = next {
        end_wait(host, ticket, Ok(()));
    }
    let expired = queue.dispatcher.borrow_mut().expire(now);
    for (ticket, rejection) in expired {
        end_wait(host, ticket, Err(rejection));
    }
    next.is_some()
}

/// Updates the gauges, and logs and counts what happened since the last report.
pub(crate) fn report(host: &RouteHost) {
    let dispatcher = host.dispatch.dispatcher.borrow();
    let (waiting, oldest) = (dispatcher.waiting(), dispatcher.oldest_wait(host_now()));
    host.metrics.set_gauge("dispatch-waiting", waiting as u64);
    host.metrics.set_gauge("dispatch-oldest-ms", oldest.as_millis() as u64);
    let counts = dispatcher.counts();
    let change = counts.since(&host.dispatch.reported.replace(counts));
    host.metrics.count_dispatch(&change);
    if change.queued > 0 || change.rejected > 0 {
        edge_event!(
            Level::Info,
            EdgeEvent::DispatchQueue,
            "waiting={waiting} oldest_ms={} requested={} retried={} queued={} overtook={} \
             rejected={}",
            oldest.as_millis(),
            change.requested,
            change.retried,
            change.queued,
            change.overtook,
            change.rejected
        );
    }
}
